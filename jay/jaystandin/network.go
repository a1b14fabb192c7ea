package jaystandin

import (
	"bytes"
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Network connects hosts in memory. In a synctest bubble, its links take virtual time.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*memoryListener
}

// NewNetwork returns a network without hosts.
func NewNetwork() *Network {
	return &Network{listeners: make(map[string]*memoryListener)}
}

// Host has one address and one uplink, which its connections share.
type Host struct {
	network *Network
	address string
	uplink  *uplink
}

// Host returns a new host whose uplink carries a number of bytes per second.
func (n *Network) Host(address string, bytesPerSecond int) *Host {
	return &Host{network: n, address: address, uplink: &uplink{bytesPerSecond: bytesPerSecond}}
}

// Listen returns a listener on the address of the host.
func (h *Host) Listen() net.Listener {
	h.network.mu.Lock()
	defer h.network.mu.Unlock()
	l := &memoryListener{host: h, conns: make(chan net.Conn), closed: make(chan struct{})}
	h.network.listeners[h.address] = l
	return l
}

// DialContext connects to the host that listens on an address.
func (h *Host) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	h.network.mu.Lock()
	l, ok := h.network.listeners[address]
	h.network.mu.Unlock()
	if !ok {
		return nil, errors.Errorf("no host listens on %s", address)
	}
	near, far := net.Pipe()
	select {
	case l.conns <- newPacedConn(far, l.host.uplink):
		return newPacedConn(near, h.uplink), nil
	case <-l.closed:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, errors.WithStack(ctx.Err())
	}
}

type memoryListener struct {
	host   *Host
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

// Accept returns the next connection.
func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close ends Accept.
func (l *memoryListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr returns the address of the host.
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
	defer c.Close() //nolint:errcheck // The other end is gone.
	for {
		select {
		case packet := <-c.packets:
			select {
			case <-time.After(c.uplink.reserve(len(packet))):
			case <-c.closed:
				return
			}
			if _, err := c.Conn.Write(packet); err != nil {
				return
			}
		case <-c.closed:
			return
		}
	}
}

// Write buffers data to be sent.
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

// Close ends the connection; what is still buffered is lost.
func (c *pacedConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return errors.WithStack(c.Conn.Close())
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

// reserve returns the time until a packet of a size has been sent.
func (u *uplink) reserve(size int) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := time.Now()
	if u.free.Before(now) {
		u.free = now
	}
	u.free = u.free.Add(time.Duration(size) * time.Second / time.Duration(u.bytesPerSecond))
	return u.free.Sub(now)
}
