package jayresponse

import (
	"io"
	"net"
	"sync"
	"syscall"

	"github.com/pkg/errors"

	"jayfield.example/jay/jayerror"
)

// Conn is a connection to a server whose reads return io.EOF only if the server has closed its side in order.
//
// The kernel reports the failure of a connection to a single system call. If a write gets the error, reads return
// io.EOF, and a response whose body extends to the end of the connection would look complete.
type Conn struct {
	net.Conn
	// end is the result of reads once the connection has ended.
	end error

	// writing is held during a write and guards failure, the error of the first write that failed.
	writing sync.Mutex
	failure error
}

// NewConn returns a connection that checks its end. One goroutine at a time may read from it.
func NewConn(raw net.Conn) *Conn {
	return &Conn{Conn: raw}
}

// Read reads from the connection. It returns an error of KindTruncated if a write has found that the connection failed.
func (c *Conn) Read(p []byte) (int, error) {
	if c.end != nil {
		return 0, c.end
	}
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) {
		if failure := c.writeFailure(); failure != nil {
			err = jayerror.Wrap("receive", KindTruncated, failure)
		}
		c.end = err
	}
	return n, err //nolint:wrapcheck // Readers depend on io.EOF.
}

// Write writes to the connection.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	c.recordWrite(err)
	return n, err //nolint:wrapcheck // Writers depend on the connection's own errors.
}

// WriteBuffers writes several parts, in one system call if possible.
func (c *Conn) WriteBuffers(parts net.Buffers) error {
	c.writing.Lock()
	defer c.writing.Unlock()
	_, err := parts.WriteTo(c.Conn)
	c.recordWrite(err)
	return errors.WithStack(err)
}

// recordWrite records the result of a write.
func (c *Conn) recordWrite(err error) {
	if c.failure == nil {
		c.failure = err
	}
}

// writeFailure returns the error with which a write has consumed the failure of the connection, nil if none has. A
// write in progress may just have done so; it is ended, since no response can follow the end of the connection.
func (c *Conn) writeFailure() error {
	if !c.writing.TryLock() {
		_ = c.Close()
		c.writing.Lock()
	}
	defer c.writing.Unlock()
	// After the server has closed its side, a reset is reported as EPIPE.
	if errors.Is(c.failure, net.ErrClosed) || errors.Is(c.failure, syscall.EPIPE) {
		return nil
	}
	return c.failure
}
