package jaypeer

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"jayfield.example/jay/jayerror"
	"jayfield.example/jay/jaytask"
)

const (
	dialBound = 2 * time.Second
	// connectBound bounds the time to connect, the handshake included; a shorter bound of the
	// request goes before it.
	connectBound = 5 * time.Second
	// maxIdle is the longest time for which a connection without requests is used again. It is
	// shorter than the time after which an instance has to be up to date again once connections
	// have become silent.
	maxIdle = 3 * time.Second
	// SilentBound is how long a request may wait for its reply before the connection
	// counts as silent, or for a further part of a reply that has begun to arrive; calls
	// that run work have a bound of their own.
	SilentBound = 2 * time.Second
	// maxPending bounds the requests that wait for a reply on one connection.
	maxPending = 256
)

// Dialer opens connections to instances.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// ClientOption configures a client.
type ClientOption func(*Client)

// WithDialer makes a client open its connections with a dialer other than that of package net.
func WithDialer(dialer Dialer) ClientOption {
	return func(c *Client) { c.dialer = dialer }
}

// Client sends requests to one instance over one connection, which it
// makes when needed and replaces when it is silent. It is safe for concurrent use.
type Client struct {
	address string
	key     []byte
	dialer  Dialer
	traffic Traffic
	// connecting is held while a connection is made.
	connecting chan struct{}
	mu         sync.Mutex
	link       *link
}

// NewClient returns a client of the instance at an address such as 127.0.0.1:7300.
func NewClient(address string, key []byte, options ...ClientOption) *Client {
	c := &Client{address: address, key: key, dialer: &net.Dialer{Timeout: dialBound}, traffic: noTraffic{}, connecting: make(chan struct{}, 1)}
	for _, option := range options {
		option(c)
	}
	return c
}

// Ask sends a request and returns the body of its reply. The bound limits the time to connect
// and then the time without any byte of a reply. KindUnreachable and KindBusy mean that the
// request was not sent.
func (c *Client) Ask(ctx context.Context, topic Topic, body []byte, bound time.Duration) ([]byte, error) {
	l, err := c.connect(ctx, min(bound, connectBound))
	if err != nil {
		return nil, err
	}
	return l.ask(ctx, topic, body, bound)
}

// Close gives up the connection.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.link != nil {
		c.link.group.Stop()
	}
}

func (c *Client) connect(ctx context.Context, bound time.Duration) (*link, error) {
	ctx, cancel := context.WithTimeout(ctx, bound)
	defer cancel()
	select {
	case c.connecting <- struct{}{}:
		defer func() { <-c.connecting }()
	case <-ctx.Done():
		return nil, jayerror.Wrap("dial", KindUnreachable, ctx.Err())
	}
	if l := c.reusable(); l != nil {
		return l, nil
	}
	conn, err := c.dialer.DialContext(ctx, "tcp", c.address)
	if err != nil {
		return nil, jayerror.Wrap("dial", KindUnreachable, err)
	}
	deadline, _ := ctx.Deadline()
	if err := handshake(conn, c.key, sideDialer, deadline); err != nil {
		_ = conn.Close()
		return nil, jayerror.Wrap("dial", KindUnreachable, err)
	}
	l := newLink(conn, c.traffic)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.link = l
	return l, nil
}

// reusable returns the current connection, or nil if there is none that is known to work.
func (c *Client) reusable() *link {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.link == nil || !c.link.alive():
		return nil
	case c.link.idle() > maxIdle:
		go c.link.group.Stop()
		return nil
	}
	return c.link
}

// link is one connection with its waiting requests.
type link struct {
	conn    *countingConn
	traffic Traffic
	group   *jaytask.Group
	writes  chan Envelope
	mu      sync.Mutex
	next    uint64
	waits   map[uint64]chan Envelope
	usedAt  time.Time
	// receiving is set while a part of a frame has arrived.
	receiving atomic.Bool
}

func newLink(conn net.Conn, traffic Traffic) *link {
	l := &link{
		conn:    &countingConn{Conn: conn},
		traffic: traffic,
		group:   jaytask.NewGroup(),
		writes:  make(chan Envelope, maxPending),
		waits:   make(map[uint64]chan Envelope),
		usedAt:  time.Now(),
	}
	l.group.Go(l.read)
	l.group.Go(l.write)
	l.group.Go(func(ctx context.Context) {
		<-ctx.Done()
		_ = conn.Close()
	})
	return l
}

// countingConn counts the bytes that it has read.
type countingConn struct {
	net.Conn
	received atomic.Int64
}

// Read reads from the connection.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.received.Add(int64(n))
	return n, err //nolint:wrapcheck // Readers depend on the connection's own errors.
}

func (l *link) alive() bool {
	return l.group.Context().Err() == nil
}

// idle returns the time since the latest request, 0 while one waits for its reply.
func (l *link) idle() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.waits) > 0 {
		return 0
	}
	return time.Since(l.usedAt)
}

func (l *link) ask(ctx context.Context, topic Topic, body []byte, bound time.Duration) ([]byte, error) {
	number, wait, err := l.register()
	if err != nil {
		return nil, err
	}
	defer l.unregister(number)
	request := Envelope{Version: Version, Number: number, Topic: topic, Body: body}
	select {
	case l.writes <- request:
	default:
		return nil, jayerror.New("ask", KindBusy, "queue to the instance is full")
	}
	return l.await(ctx, wait, bound)
}

// await returns the body of a reply, or an error if the connection is silent for bound.
func (l *link) await(ctx context.Context, wait <-chan Envelope, bound time.Duration) ([]byte, error) {
	received := l.conn.received.Load()
	timer := time.NewTimer(bound)
	defer timer.Stop()
	for {
		select {
		case reply := <-wait:
			if reply.Refused != "" {
				return nil, jayerror.New("ask", KindRefused, reply.Refused)
			}
			return reply.Body, nil
		case <-timer.C:
			before := received
			if received = l.conn.received.Load(); received > before && l.receiving.Load() {
				timer.Reset(bound)
				continue
			}
			go l.group.Stop()
			return nil, jayerror.Newf("ask", KindSilent, "no reply within %s, in which %d bytes arrived", bound, received-before)
		case <-ctx.Done():
			return nil, jayerror.Wrap("ask", KindSilent, ctx.Err())
		case <-l.group.Context().Done():
			return nil, jayerror.New("ask", KindSilent, "connection ended before the reply")
		}
	}
}

func (l *link) read(context.Context) {
	defer func() { go l.group.Stop() }()
	for {
		length, err := readLength(l.conn, MaxFrame)
		if err != nil {
			return
		}
		l.receiving.Store(true)
		reply, err := readEnvelope(l.conn, length, l.traffic)
		if err != nil {
			return
		}
		l.receiving.Store(false)
		l.mu.Lock()
		wait, ok := l.waits[reply.Number]
		delete(l.waits, reply.Number)
		l.mu.Unlock()
		if ok {
			wait <- reply
		}
	}
}

func (l *link) register() (uint64, chan Envelope, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.waits) >= maxPending {
		return 0, nil, jayerror.New("ask", KindBusy, "too many requests wait for the instance")
	}
	l.next++
	l.usedAt = time.Now()
	wait := make(chan Envelope, 1)
	l.waits[l.next] = wait
	return l.next, wait, nil
}

func (l *link) unregister(number uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.waits, number)
}

func (l *link) write(ctx context.Context) {
	defer func() { go l.group.Stop() }()
	for {
		select {
		case request := <-l.writes:
			if err := writeEnvelope(l.conn, request, l.traffic); err != nil {
				return
			}
		case <-ctx.Done():
			return
		}
	}
}
