package jaylink

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"jayfield.example/jay/jayerror"
	"jayfield.example/jay/jaylimit"
	"jayfield.example/jay/jayresponse"
)

const (
	// readBuffer holds a response header and a few events.
	readBuffer = 4 << 10
	// maxHeaderBytes bounds what is read up to the end of a response header, late answers to
	// earlier requests included; maxForeignBody counts beside it.
	maxHeaderBytes = 64 << 10
	// freeHeaderBytes is the size of a response header that does not count for the memory of all of
	// them. A parsed header takes up to headerWeight times its size: short lines are the worst.
	freeHeaderBytes = 4 << 10
	headerWeight    = 16
	// keepMargin is how long before the announced end of an idle connection it is given up.
	keepMargin = time.Second
	// keepDefault is how long a connection rests where the upstream announces nothing.
	keepDefault = 4 * time.Second
)

// conn is one connection to an upstream.
type conn struct {
	*jayresponse.Conn

	address string
	source  *limitedReader
	reader  *bufio.Reader
	// idleSince is when the connection became idle, until when it may be used again.
	idleSince, until time.Time
	used             bool
}

func newConn(raw net.Conn, address string, memory *jaylimit.Memory) *conn {
	checked := jayresponse.NewConn(raw)
	source := &limitedReader{source: checked, left: noLimit, memory: memory}
	return &conn{Conn: checked, address: address, source: source, reader: bufio.NewReaderSize(source, readBuffer)}
}

// noLimit makes a limitedReader read without a limit.
const noLimit = -1

// limitedReader reads at most a number of bytes and then returns an error, unlike
// io.LimitedReader, which returns io.EOF as if the source had ended.
type limitedReader struct {
	source io.Reader
	left   int
	memory *jaylimit.Memory
	// share is the memory of the response header that is being read, nil while none is.
	share *jaylimit.Share
	// scanner scans what is read while there is a limit.
	scanner jayresponse.Scanner
	// failed is set once a read has failed.
	failed bool
}

// beginHeader limits what is read up to the end of a response header.
func (r *limitedReader) beginHeader() {
	r.left, r.share = maxHeaderBytes, r.memory.Share(freeHeaderBytes*headerWeight)
}

// endHeader ends the limit and returns the memory of the header, which its receiver releases.
func (r *limitedReader) endHeader() *jaylimit.Share {
	share := r.share
	r.left, r.share = noLimit, nil
	return share
}

// Read reads from the source.
func (r *limitedReader) Read(p []byte) (int, error) {
	n, err := r.read(p)
	r.failed = r.failed || err != nil
	return n, err
}

func (r *limitedReader) read(p []byte) (int, error) {
	if r.left == noLimit {
		return r.source.Read(p) //nolint:wrapcheck // Readers depend on io.EOF.
	}
	if r.left == 0 {
		return 0, jayerror.Newf("receive", KindSpoilt, "response header is larger than %d bytes", maxHeaderBytes)
	}
	n, err := r.source.Read(p[:min(len(p), r.left)])
	r.left -= n
	r.scanner.Scan(p[:n])
	if r.share != nil && !r.share.Grow(int64(n)*headerWeight) {
		return 0, jayerror.New("receive", KindSpoilt, "response headers take too much memory together")
	}
	return n, err //nolint:wrapcheck // Readers depend on io.EOF.
}

// clean reports whether nothing has arrived since the last answer: no surplus
// bytes and no end of the connection.
func (c *conn) clean() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	source, ok := c.Conn.Conn.(syscall.Conn)
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
