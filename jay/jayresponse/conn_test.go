package jayresponse_test

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"

	"jayfield.example/jay/jayerror"
	"jayfield.example/jay/jayresponse"
)

// failingConn is a connection at its end, whose writes block until release is closed or the connection is closed.
type failingConn struct {
	net.Conn
	started, release, closed chan struct{}
	failure                  error
}

func (c *failingConn) Read([]byte) (int, error) { return 0, io.EOF }

func (c *failingConn) Write(p []byte) (int, error) {
	close(c.started)
	select {
	case <-c.release:
	case <-c.closed:
	}
	if c.failure == nil {
		return len(p), nil
	}
	return 0, &net.OpError{Op: "write", Net: "tcp", Err: c.failure}
}

func (c *failingConn) Close() error {
	close(c.closed)
	return nil
}

// Guards against the end of a failed connection that looks like one in order, whether the write that has got the
// error has returned or not, and against an end in order that looks like a failure.
func TestConnReportsFailureOfWrite(t *testing.T) {
	reset := os.NewSyscallError("write", syscall.ECONNRESET)
	timeout := os.NewSyscallError("write", syscall.ETIMEDOUT)
	pipe := os.NewSyscallError("write", syscall.EPIPE)
	tests := map[string]struct {
		failure    error
		inProgress bool
		truncated  bool
	}{
		"reset":                            {reset, false, true},
		"reset, write in progress":         {reset, true, true},
		"timed out":                        {timeout, false, true},
		"timed out, write in progress":     {timeout, true, true},
		"reset after the end":              {pipe, false, false},
		"reset after the end, in progress": {pipe, true, false},
		"closed by the reader":             {net.ErrClosed, true, false},
		"written":                          {nil, false, false},
		"written, write in progress":       {nil, true, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			raw := &failingConn{started: make(chan struct{}), release: make(chan struct{}), closed: make(chan struct{}), failure: test.failure}
			conn := jayresponse.NewConn(raw)
			written := make(chan error, 1)
			go func() {
				_, err := conn.Write([]byte("x"))
				written <- err
			}()
			<-raw.started
			if !test.inProgress {
				close(raw.release)
				<-written
			}
			for range 2 {
				_, err := conn.Read(make([]byte, 1))
				sound := errors.Is(err, io.EOF)
				if test.truncated {
					sound = jayerror.Is(err, jayresponse.KindTruncated) && errors.Is(err, test.failure)
				}
				if !sound {
					t.Errorf("Read = %v, truncated = %t", err, test.truncated)
				}
			}
		})
	}
}
