package jayrelay

import "jayfield.example/jay/jayfleet"

// pinStarted pins a stream to the version of the upstream that generated its first event in this response.
func (s *stream) pinStarted(from jayfleet.Upstream) {
	s.pinned, s.pinnedVersion = true, from.Version
}

// pinFields returns the log fields of the version that the stream is pinned to.
func (x *exchange) pinFields() []any {
	if !x.pinned {
		return nil
	}
	return []any{"pinned", x.pinnedVersion}
}
