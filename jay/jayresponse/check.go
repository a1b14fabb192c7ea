// Package jayresponse detects HTTP responses that are malformed or truncated and that net/http accepts.
package jayresponse

import (
	"net/http"
	"strings"

	"jayfield.example/jay/jayerror"
)

// maxStatus is the highest status of HTTP (RFC 9110, section 15).
const maxStatus = 599

// Check returns an error of KindMalformed for a response, final or interim, whose status line or header net/http
// has parsed although it is invalid. Such a header may have been meant to delimit the body.
func Check(response *http.Response) error {
	switch status := response.StatusCode; {
	case response.ProtoMajor != 1:
		return jayerror.Newf("check", KindMalformed, "version %q is not one of HTTP/1", response.Proto)
	case status < http.StatusContinue || status > maxStatus:
		return jayerror.Newf("check", KindMalformed, "status %q is not in the range of 100 to %d", response.Status, maxStatus)
	case status == http.StatusSwitchingProtocols:
		return jayerror.New("check", KindMalformed, "response switches to a protocol that was not requested")
	}
	for name := range response.Header {
		if !isToken(name) {
			return jayerror.Newf("check", KindMalformed, "name %q in the header is not a token", name)
		}
	}
	return nil
}

// isToken reports whether a text is a token (RFC 9110, section 5.6.2).
func isToken(text string) bool {
	for i := range len(text) {
		c := text[i]
		alphanumeric := '0' <= c && c <= '9' || 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z'
		if !alphanumeric && strings.IndexByte("!#$%&'*+-.^_`|~", c) < 0 {
			return false
		}
	}
	return text != ""
}
