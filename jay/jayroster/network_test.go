package jayroster_test

import (
	"bytes"
	"context"
	"net"
	"sync"
	"time"
)

// network connects the hosts of a test in memory. In a synctest bubble, its links take virtual time.
type network struct {
	mu        sync.Mutex
	listeners map[string]*memoryListener
}

func newNetwork() *network {
	return &network{listeners: make(map[string]*memoryListener)}
}

// host is a host with one address and one uplink, which its connections share.
type host struct {
	network *network
	address string
	uplink  *uplink
}

func (n *network) host(address string, bytesPerSecond int) *host {
	return &host{network: n, address: address, uplink: &uplink{bytesPerSecond: bytesPerSecond}}
}

func (h *host) listen() net.Listener {
	h.network.mu.Lock()
	defer h.network.mu.Unlock()
	l := &memoryListener{host: h, conns: make(chan net.Conn), closed: make(chan struct{})}
	h.network.listeners[h.address] = l
	return l
}

func (h *host) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	h.network.mu.Lock()
	l := h.network.listeners[address]
	h.network.mu.Unlock()
	near, far := net.Pipe()
	select {
	case l.conns <- newPacedConn(far, l.host.uplink):
		return newPacedConn(near, h.uplink), nil
	case <-l.closed:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

type memoryListener struct {
	host   *host
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *memoryListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *memoryListener) Addr() net.Addr { return &net.UnixAddr{Name: l.host.address} }

// pacedConn buffers what is written to it and sends it no faster than its uplink allows.
type pacedConn struct {
	net.Conn
	uplink  *uplink
	packets chan []byte
	closed  chan struct{}
	once    sync.Once
}

const (
	packetBytes   = 4 << 10
	bufferPackets = 8
)

func newPacedConn(conn net.Conn, u *uplink) *pacedConn {
	c := &pacedConn{Conn: conn, uplink: u, packets: make(chan []byte, bufferPackets), closed: make(chan struct{})}
	go c.send()
	return c
}

func (c *pacedConn) send() {
	defer c.Close()
	for {
		select {
		case packet := <-c.packets:
			c.uplink.send(len(packet))
			if _, err := c.Conn.Write(packet); err != nil {
				return
			}
		case <-c.closed:
			return
		}
	}
}

func (c *pacedConn) Write(p []byte) (int, error) {
	for written := 0; written < len(p); written += packetBytes {
		packet := bytes.Clone(p[written:min(written+packetBytes, len(p))])
		select {
		case c.packets <- packet:
		case <-c.closed:
			return written, net.ErrClosed
		}
	}
	return len(p), nil
}

func (c *pacedConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// SetDeadline sets the deadline of reads; writes have none.
func (c *pacedConn) SetDeadline(t time.Time) error { return c.SetReadDeadline(t) }

// SetWriteDeadline does nothing.
func (*pacedConn) SetWriteDeadline(time.Time) error { return nil }

// uplink sends the packets of all connections one after the other.
type uplink struct {
	bytesPerSecond int
	mu             sync.Mutex
	free           time.Time
}

func (u *uplink) send(size int) {
	u.mu.Lock()
	now := time.Now()
	if u.free.Before(now) {
		u.free = now
	}
	u.free = u.free.Add(time.Duration(size) * time.Second / time.Duration(u.bytesPerSecond))
	wait := u.free.Sub(now)
	u.mu.Unlock()
	time.Sleep(wait)
}
