package jayrelay

import (
	"net/http"
	"strings"
)

// connectionHeaders concern one connection only (RFC 9110, section 7.6.1).
func connectionHeaders() []string {
	return []string{
		"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
		"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
	}
}

// endToEnd returns the headers that are passed on, less those that the
// Connection header names.
func endToEnd(header http.Header) http.Header {
	passed := header.Clone()
	for _, value := range header.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			passed.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range connectionHeaders() {
		passed.Del(name)
	}
	return passed
}

// copyHeader sets an upstream's headers on an answer. Headers that the server
// would add by itself stay away where the upstream has none.
func copyHeader(to, from http.Header) {
	for name, values := range endToEnd(from) {
		to[name] = values
	}
	for _, name := range []string{"Content-Type", "Date"} {
		if _, ok := to[name]; !ok {
			to[name] = nil
		}
	}
}
