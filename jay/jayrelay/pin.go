package jayrelay

import (
	"context"

	"jayfield.example/jay/jayerror"
	"jayfield.example/jay/jayfleet"
	"jayfield.example/jay/jayplace"
	"jayfield.example/jay/jaytraffic"
)

// pinResumed pins a stream that the caller takes up again to the version that began it. An error means that the
// request is not sent.
func (s *stream) pinResumed(ctx context.Context) error {
	if !s.streamsKnown() || s.call.LastEventID == "" && s.call.Resumes == "" {
		return nil
	}
	version, err := s.streams.Version(ctx, s.service, s.call.Resumes)
	if err != nil {
		if s.request.Context().Err() != nil {
			err = jayerror.Wrap("pin", KindCallerGone, err)
		}
		return s.checkRetry(ctx, &failure{cause: err, noUpstream: true})
	}
	s.pinned, s.pinnedVersion = true, version
	return nil
}

// pinStarted pins a stream to the version of the upstream that generated its first event in this response.
func (s *stream) pinStarted(from jayfleet.Upstream) {
	s.pinned, s.pinnedVersion = true, from.Version
	if s.streamsKnown() {
		s.streams.Began(s.service, s.streamID(), from.Version)
	}
}

// noDecoder returns the failure of an attempt whose prompt no upstream of its version decodes. A stream that has not
// begun may be prefilled again at another version.
func (s *stream) noDecoder(err error) *failure {
	if s.pinned || !jayerror.Is(err, jayplace.KindNone) {
		return &failure{cause: err, noUpstream: true}
	}
	return &failure{cause: err, outcome: jayplace.OutcomeWithdrawn}
}

// endKnown records the end of the response to a stream that began.
func (s *stream) endKnown(complete bool) {
	if s.started && s.streamsKnown() {
		s.streams.Ended(s.service, s.streamID(), complete)
	}
}

// streamsKnown reports whether versions of streams are known beyond this response. Callers take up again only
// streams of routes that allow it.
func (s *stream) streamsKnown() bool {
	return s.streams != nil && s.route.Resumable
}

// streamID returns the ID of the attempt that brought the first event of the stream that a caller takes up again, or
// else that of the request.
func (x *exchange) streamID() string {
	if x.call.Resumes != "" && x.route.Kind == jaytraffic.KindStream && x.route.Resumable {
		return x.call.Resumes
	}
	return x.call.ID
}

// pinFields returns the log fields of the version that the stream is pinned to.
func (x *exchange) pinFields() []any {
	if !x.pinned {
		return nil
	}
	return []any{"pinned", x.pinnedVersion}
}
