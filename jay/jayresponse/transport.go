package jayresponse

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"

	"github.com/pkg/errors"
)

// Observer is called for each invalid response, to log and count it.
type Observer func(err *Error)

// Transport is a round tripper that returns an error for a malformed response, and whose bodies end with io.EOF only
// if they are complete.
type Transport struct {
	base    *http.Transport
	observe Observer
}

// NewTransport returns a transport that uses base, which it changes. The observer may be nil.
func NewTransport(base *http.Transport, observe Observer) *Transport {
	dial := base.DialContext
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		raw, err := dial(ctx, network, address)
		if err != nil {
			return nil, err //nolint:wrapcheck // net/http adds the address.
		}
		return NewConn(raw), nil
	}
	if observe == nil {
		observe = func(*Error) {}
	}
	return &Transport{base: base, observe: observe}
}

// RoundTrip sends a request and returns its response, which has been checked.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	var conn net.Conn
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { conn = info.Conn }}
	response, err := t.base.RoundTrip(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	if err != nil {
		return nil, t.report(err)
	}
	if err := Check(response); err != nil {
		_ = response.Body.Close()
		// The connection may already be idle again.
		_ = conn.Close()
		return nil, t.report(err)
	}
	response.Body = &body{ReadCloser: CheckedBody(response), report: t.report}
	return response, nil
}

// CloseIdleConnections closes the idle connections.
func (t *Transport) CloseIdleConnections() {
	t.base.CloseIdleConnections()
}

// report calls the observer for an invalid response and returns the error.
func (t *Transport) report(err error) error {
	var invalid *Error
	if errors.As(err, &invalid) {
		t.observe(invalid)
	}
	return err
}

// body reports the error of a malformed or truncated body.
type body struct {
	io.ReadCloser
	report func(error) error
}

// Read reads from the body.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	return n, b.report(err)
}
