package main

import (
	"net"
	"sync"
)

// proxy relays connections to an address. While it is cut it holds all bytes in both
// directions, as a partition does, and passes them on afterwards.
type proxy struct {
	mu   sync.Mutex
	cond *sync.Cond
	cut  bool
}

func newProxy(target string) (*proxy, string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", err
	}
	p := &proxy{}
	p.cond = sync.NewCond(&p.mu)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go p.serve(conn, target)
		}
	}()
	return p, listener.Addr().String(), nil
}

func (p *proxy) setCut(cut bool) {
	p.mu.Lock()
	p.cut = cut
	p.mu.Unlock()
	p.cond.Broadcast()
}

// wait returns once the path is not cut.
func (p *proxy) wait() {
	p.mu.Lock()
	for p.cut {
		p.cond.Wait()
	}
	p.mu.Unlock()
}

func (p *proxy) serve(near net.Conn, target string) {
	p.wait()
	far, err := net.Dial("tcp", target)
	if err != nil {
		_ = near.Close()
		return
	}
	go p.pass(near, far)
	p.pass(far, near)
}

func (p *proxy) pass(to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		p.wait()
		if n > 0 {
			if _, failed := to.Write(buffer[:n]); failed != nil {
				err = failed
			}
		}
		if err != nil {
			_ = to.Close()
			_ = from.Close()
			return
		}
	}
}
