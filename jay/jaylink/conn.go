package jaylink

import (
	"bufio"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const (
	// readBuffer holds a response header and a few events.
	readBuffer = 4 << 10
	// keepMargin is how long before the announced end of an idle connection it is given up.
	keepMargin = time.Second
	// keepDefault is how long a connection rests where the upstream announces nothing.
	keepDefault = 4 * time.Second
)

// conn is one connection to an upstream.
type conn struct {
	net.Conn
	address string
	reader  *bufio.Reader
	// idleSince is when the connection became idle, until when it may be used again.
	idleSince, until time.Time
	used             bool
}

func newConn(raw net.Conn, address string) *conn {
	return &conn{Conn: raw, address: address, reader: bufio.NewReaderSize(raw, readBuffer)}
}

// clean reports whether nothing has arrived since the last answer: no surplus
// bytes and no end of the connection.
func (c *conn) clean() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	source, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, err := syscall.Read(int(fd), one[:])
		empty = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && empty
}

// keep returns how long the connection may stay idle after an answer with this header.
func keep(header http.Header) time.Duration {
	for field := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds >= 0 {
			return max(0, time.Duration(seconds)*time.Second-keepMargin)
		}
	}
	return keepDefault
}
