package jayrelay

import (
	"net/http"
	"strings"
)

// hopByHopHeaders returns the headers that are not forwarded: those that apply to a single
// connection (RFC 9110, section 7.6.1), Content-Length and Expect.
func hopByHopHeaders() []string {
	return []string{
		"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
		"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
	}
}

// endToEndHeaders returns a copy without the hop-by-hop headers and those that the
// Connection header lists.
func endToEndHeaders(header http.Header) http.Header {
	forwarded := header.Clone()
	for _, value := range header.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			forwarded.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders() {
		forwarded.Del(name)
	}
	return forwarded
}

// copyHeader copies an upstream's headers to a response. It suppresses headers that
// the HTTP server would otherwise add where the upstream sent none.
func copyHeader(to, from http.Header) {
	for name, values := range endToEndHeaders(from) {
		to[name] = values
	}
	for _, name := range []string{"Content-Type", "Date"} {
		if _, ok := to[name]; !ok {
			to[name] = nil
		}
	}
}
