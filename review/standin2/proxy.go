package main

import (
	"io"
	"net"
	"sync"
)

// Proxy forwards the connections of one machine to the store. While it is cut, it resets them and new ones.
type Proxy struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	cut      bool
	conns    map[net.Conn]bool
}

// NewProxy starts a proxy on a free loopback port.
func NewProxy(target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: listener, target: target, conns: make(map[net.Conn]bool)}
	go p.accept()
	return p, nil
}

// Address returns the address of the proxy.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Cut resets all connections and new ones until Heal is called.
func (p *Proxy) Cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = true
	for conn := range p.conns {
		reset(conn)
	}
}

// Heal ends the cut.
func (p *Proxy) Heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = false
}

// Close stops the proxy.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.Cut()
}

func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// add registers a connection, or resets it during a cut.
func (p *Proxy) add(conn net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cut {
		reset(conn)
		return false
	}
	p.conns[conn] = true
	return true
}

func (p *Proxy) remove(conn net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, conn)
	_ = conn.Close()
}

func (p *Proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		if p.add(conn) {
			go p.forward(conn)
		}
	}
}

func (p *Proxy) forward(conn net.Conn) {
	defer p.remove(conn)
	other, err := net.Dial("tcp", p.target)
	if err != nil || !p.add(other) {
		return
	}
	defer p.remove(other)
	go func() {
		_, _ = io.Copy(other, conn)
		_ = other.Close()
		_ = conn.Close()
	}()
	_, _ = io.Copy(conn, other)
}
