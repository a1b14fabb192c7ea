// Package jaydelay makes connections over loopback as slow as the way between
// two regions, and counts the bytes that cross.
package jaydelay

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// chunkSize is how much is read at once.
const chunkSize = 16 << 10

// Link is the way between regions.
type Link struct {
	// OneWay is the time that bytes take in each direction.
	OneWay time.Duration
	bytes  atomic.Int64
}

// Bytes returns how many bytes have crossed, in both directions.
func (l *Link) Bytes() int64 {
	return l.bytes.Load()
}

// Dial connects over the link.
func (l *Link) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	select {
	case <-time.After(2 * l.OneWay):
	case <-ctx.Done():
		return nil, errors.WithStack(ctx.Err())
	}
	conn, err := new(net.Dialer).DialContext(ctx, network, address)
	if err != nil {
		return nil, err //nolint:wrapcheck // The transport looks for the type of the error.
	}
	return newConn(conn, l), nil
}

// packet is data on its way.
type packet struct {
	data []byte
	due  time.Time
	err  error
}

// conn delays what is written and what is read by the link's time.
type conn struct {
	net.Conn
	link *Link
	out  chan packet
	in   chan packet
	rest []byte
	end  error
	once sync.Once
	done chan struct{}
}

func newConn(inner net.Conn, link *Link) *conn {
	c := &conn{Conn: inner, link: link, out: make(chan packet, 1024), in: make(chan packet, 1024), done: make(chan struct{})}
	go c.pump()
	go c.fill()
	return c
}

// Close ends the connection.
func (c *conn) Close() error {
	c.once.Do(func() { close(c.done) })
	return c.Conn.Close() //nolint:wrapcheck // It is the connection's own error.
}

// Read returns bytes that have crossed the link.
func (c *conn) Read(p []byte) (int, error) {
	if len(c.rest) == 0 {
		if c.end != nil {
			return 0, c.end
		}
		select {
		case next := <-c.in:
			time.Sleep(time.Until(next.due))
			c.rest, c.end = next.data, next.err
		case <-c.done:
			return 0, net.ErrClosed
		}
	}
	n := copy(p, c.rest)
	c.rest = c.rest[n:]
	if n == 0 {
		return 0, c.end
	}
	return n, nil
}

// Write sends bytes over the link.
func (c *conn) Write(p []byte) (int, error) {
	data := append([]byte(nil), p...)
	select {
	case c.out <- packet{data: data, due: time.Now().Add(c.link.OneWay)}:
		c.link.bytes.Add(int64(len(p)))
		return len(p), nil
	case <-c.done:
		return 0, net.ErrClosed
	}
}

// fill reads from the connection ahead of the reader.
func (c *conn) fill() {
	for {
		buf := make([]byte, chunkSize)
		n, err := c.Conn.Read(buf)
		c.link.bytes.Add(int64(n))
		select {
		case c.in <- packet{data: buf[:n], due: time.Now().Add(c.link.OneWay), err: err}:
		case <-c.done:
			return
		}
		if err != nil {
			return
		}
	}
}

// pump writes what is due.
func (c *conn) pump() {
	for {
		select {
		case next := <-c.out:
			time.Sleep(time.Until(next.due))
			if _, err := c.Conn.Write(next.data); err != nil {
				return
			}
		case <-c.done:
			return
		}
	}
}
