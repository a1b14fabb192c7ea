package jaystandin

import (
	"bytes"
	"context"
	stderrors "errors"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Network connects hosts in memory. In a synctest bubble, its links take virtual time.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*memoryListener
	// open holds the open connections, each by its dialing end.
	open map[*pacedConn]bool
	// ends holds both ends of the connections that are not closed.
	ends map[*pacedConn]bool
}

// Close closes all connections, those too whose host has stopped without closing them.
func (n *Network) Close() {
	n.mu.Lock()
	ends := slices.Collect(maps.Keys(n.ends))
	n.mu.Unlock()
	for _, c := range ends {
		_ = c.Close() // The other end may have closed it.
	}
}

// NewNetwork returns a network without hosts.
func NewNetwork() *Network {
	return &Network{listeners: make(map[string]*memoryListener), open: make(map[*pacedConn]bool), ends: make(map[*pacedConn]bool)}
}

// Silence makes a share of the open connections silent for good: they stay open, and what is
// written to either end is lost. New connections work.
func (n *Network) Silence(share float64, source *rand.Rand) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for near := range n.open {
		if source.Float64() < share {
			near.silent.Store(true)
			near.far.silent.Store(true)
		}
	}
}

// Host has one address and one uplink, which its connections share.
type Host struct {
	network *Network
	address string
	uplink  *uplink
	// pausedUntil is the time until which the host sends and receives nothing.
	pausedUntil atomic.Pointer[time.Time]
}

// Pause makes the host send and receive nothing for some time, like a frozen process. What is
// sent to it meanwhile arrives afterwards.
func (h *Host) Pause(d time.Duration) {
	until := time.Now().Add(d)
	h.pausedUntil.Store(&until)
}

// awaitPause waits until the host is no longer paused. It reports false if closed ends the wait.
func (h *Host) awaitPause(closed <-chan struct{}) bool {
	until := h.pausedUntil.Load()
	if until == nil || time.Now().After(*until) {
		return true
	}
	select {
	case <-time.After(time.Until(*until)):
		return true
	case <-closed:
		return false
	}
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
	near, far := newPacedConns(h, l.host)
	select {
	case l.conns <- far:
		return near, nil
	case <-l.closed:
		return nil, errors.WithStack(stderrors.Join(net.ErrClosed, near.Close(), far.Close()))
	case <-ctx.Done():
		return nil, errors.WithStack(stderrors.Join(ctx.Err(), near.Close(), far.Close()))
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
	host *Host
	// far is the other end.
	far     *pacedConn
	packets chan []byte
	closed  chan struct{}
	once    sync.Once
	// silent is set if what is sent is lost.
	silent atomic.Bool
}

const (
	packetBytes   = 4 << 10
	bufferPackets = 8
)

// newPacedConns returns the two ends of a new connection between hosts.
func newPacedConns(dialer, listener *Host) (near, far *pacedConn) {
	a, b := net.Pipe()
	near, far = newPacedConn(a, dialer), newPacedConn(b, listener)
	near.far, far.far = far, near
	dialer.network.mu.Lock()
	dialer.network.open[near] = true
	dialer.network.ends[near], dialer.network.ends[far] = true, true
	dialer.network.mu.Unlock()
	go near.send()
	go far.send()
	return near, far
}

func newPacedConn(conn net.Conn, h *Host) *pacedConn {
	return &pacedConn{Conn: conn, host: h, packets: make(chan []byte, bufferPackets), closed: make(chan struct{})}
}

func (c *pacedConn) send() {
	defer c.Close() //nolint:errcheck // The other end is gone.
	for {
		select {
		case packet := <-c.packets:
			if !c.transmit(packet) {
				return
			}
		case <-c.closed:
			return
		}
	}
}

// transmit sends a packet to the other end. It reports false if the connection has ended.
func (c *pacedConn) transmit(packet []byte) bool {
	select {
	case <-time.After(c.host.uplink.reserve(len(packet))):
	case <-c.closed:
		return false
	}
	if !c.host.awaitPause(c.closed) || !c.far.host.awaitPause(c.closed) {
		return false
	}
	if c.silent.Load() {
		return true
	}
	_, err := c.Conn.Write(packet)
	return err == nil
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
	c.once.Do(func() {
		close(c.closed)
		c.host.network.mu.Lock()
		delete(c.host.network.open, c)
		delete(c.host.network.ends, c)
		c.host.network.mu.Unlock()
	})
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
