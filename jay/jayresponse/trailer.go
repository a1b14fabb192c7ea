package jayresponse

import (
	"io"
	"net/http"

	"github.com/pkg/errors"

	"jayfield.example/jay/jayerror"
)

// CheckedBody returns the body of a response which ends with an error of KindMalformed in place of io.EOF if a name in
// its trailer is not a token. net/http parses the trailer at the end of the body.
func CheckedBody(response *http.Response) io.ReadCloser {
	return &checkedBody{ReadCloser: response.Body, response: response}
}

type checkedBody struct {
	io.ReadCloser
	response *http.Response
}

// Read reads from the body.
func (b *checkedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err //nolint:wrapcheck // Readers depend on the body's own errors.
	}
	for name := range b.response.Trailer {
		if !isToken(name) {
			return n, jayerror.Newf("receive", KindMalformed, "name %q in the trailer is not a token", name)
		}
	}
	return n, err //nolint:wrapcheck // Readers depend on io.EOF.
}
