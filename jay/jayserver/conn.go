package jayserver

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// newConnTime is how long a connection without a request is kept open during a stop: callers send
// their request as soon as the connection is established.
const newConnTime = time.Second

// callerConn is a connection of a caller. It records whether it is idle, more exactly than the HTTP
// server, to which a connection is idle until the header of the next request is complete.
type callerConn struct {
	net.Conn
	acceptedAt time.Time
	state      atomic.Int64
	// received is set if bytes have arrived since the last write: they belong to a request
	// that has not been answered.
	received atomic.Bool
	// aborting is set by the handler of a request.
	aborting bool
}

func newCallerConn(conn net.Conn) *callerConn {
	return &callerConn{Conn: conn, acceptedAt: time.Now()}
}

// connKey is the key of a connection in the context of its requests.
type connKey struct{}

// withConn adds a connection to the context of its requests.
func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// connOf returns the connection of a request, nil if it is not one of the server.
func connOf(r *http.Request) *callerConn {
	conn, _ := r.Context().Value(connKey{}).(*callerConn)
	return conn
}

// setAborting sets whether closing the connection resets it. During a response of version 1.0, whose body may extend
// to the end of the connection, an orderly end would make a response that is cut off look complete.
func (c *callerConn) setAborting(aborting bool) {
	if c == nil || c.aborting == aborting {
		return
	}
	c.aborting = aborting
	if conn, ok := c.Conn.(*net.TCPConn); ok {
		seconds := -1
		if aborting {
			seconds = 0
		}
		_ = conn.SetLinger(seconds) // It fails only if the connection is closed.
	}
}

// Read reads a part of a request.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.received.Store(true)
	}
	return n, err //nolint:wrapcheck // The HTTP server depends on the errors of net.Conn.
}

// Write writes a part of a response.
func (c *callerConn) Write(p []byte) (int, error) {
	c.received.Store(false)
	return c.Conn.Write(p) //nolint:wrapcheck // The HTTP server depends on the errors of net.Conn.
}

// setState sets the state that the HTTP server reports.
func (c *callerConn) setState(state http.ConnState) {
	c.state.Store(int64(state))
}

// idle reports whether the connection carries no request, not even a part of one.
func (c *callerConn) idle(now time.Time) bool {
	if c.received.Load() {
		return false
	}
	switch http.ConnState(c.state.Load()) {
	case http.StateIdle:
		return true
	case http.StateNew:
		return now.Sub(c.acceptedAt) > newConnTime
	default:
		return false
	}
}

// expire makes the HTTP server close the connection if it is idle. A request that arrives at this
// moment is either served or not read at all, so that its caller may send it elsewhere.
func (c *callerConn) expire(now time.Time) {
	if c.idle(now) {
		_ = c.SetReadDeadline(now) // It fails only if the connection is closed.
	}
}
