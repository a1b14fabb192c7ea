// Package jaylink exchanges requests with upstreams over kept connections.
//
// It never sends a request twice: a connection that breaks after the first
// byte was written is an error for the caller to judge.
package jaylink

import (
	"context"
	"net"
	"sync"
	"time"

	"jayfield.example/jay/jayerror"
	"jayfield.example/jay/jaylimit"
)

// Dialer makes connections to upstreams.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// Pool keeps idle connections by address. It is safe for concurrent use.
type Pool struct {
	dialer Dialer
	memory *jaylimit.Memory
	mu     sync.Mutex
	idle   map[string][]*conn
	opened int64
	closed bool
}

// NewPool returns a pool without connections. The memory limits the headers of all responses
// together.
func NewPool(dialer Dialer, memory *jaylimit.Memory) *Pool {
	return &Pool{dialer: dialer, memory: memory, idle: make(map[string][]*conn)}
}

// Close closes the idle connections; those in use are closed after their answer.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, list := range p.idle {
		for _, c := range list {
			_ = c.Close()
		}
	}
	clear(p.idle)
}

// Opened returns the number of connections made.
func (p *Pool) Opened() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}

// Sweep closes connections that have been idle too long.
func (p *Pool) Sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.until) {
				kept = append(kept, c)
			} else {
				_ = c.Close()
			}
		}
		if p.idle[address] = kept; len(kept) == 0 {
			delete(p.idle, address)
		}
	}
}

// take returns a connection that is still clean and has been idle for at most maxIdle, or a new one.
func (p *Pool) take(ctx context.Context, address string, maxIdle time.Duration) (*conn, error) {
	now := time.Now()
	for {
		c := p.pop(address)
		if c == nil {
			break
		}
		if now.Before(c.until) && now.Sub(c.idleSince) <= maxIdle && c.clean() {
			c.used = true
			return c, nil
		}
		_ = c.Close()
	}
	raw, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, jayerror.Wrap("dial", KindConnect, err)
	}
	p.mu.Lock()
	p.opened++
	p.mu.Unlock()
	return newConn(raw, address, p.memory), nil
}

// pop returns the connection that has been idle for the shortest time.
func (p *Pool) pop(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	return c
}

// put keeps a connection for later use.
func (p *Pool) put(c *conn, keep time.Duration) {
	c.idleSince = time.Now()
	c.until = c.idleSince.Add(keep)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || keep <= 0 {
		_ = c.Close()
		return
	}
	p.idle[c.address] = append(p.idle[c.address], c)
}
