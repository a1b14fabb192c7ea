package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// heartbeat is the time between two writes of an engine to the store.
const heartbeat = 1200 * time.Millisecond

// Engine is a stand-in of an engine. It serves one request at a time on a connection.
type Engine struct {
	id, service, zone, stage string
	slots                    int
	store                    *Store
	log                      *Log
	listener                 net.Listener
	born                     int64
	// late returns by how much the write of a heartbeat is executed late; nil if all are executed at once.
	late func() time.Duration
	// drained is closed when the engine reports draining.
	drained chan struct{}
	// quiet is set if runs are not recorded.
	quiet bool
	// answer answers a request that the engine runs. It reports whether the connection is kept.
	answer func(conn net.Conn, r *http.Request, body []byte) bool

	mu       sync.Mutex
	state    string
	sequence int
	stopped  chan struct{}
	conns    map[net.Conn]bool
}

// NewEngine starts an engine, which registers itself.
func NewEngine(id, service, zone string, store *Store, log *Log, answer func(net.Conn, *http.Request, []byte) bool, late func() time.Duration) (*Engine, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &Engine{
		id: id, service: service, zone: zone, slots: 6, store: store, log: log, listener: listener, born: time.Now().UnixMilli(),
		answer: answer, late: late, state: "ready", stopped: make(chan struct{}), drained: make(chan struct{}), conns: make(map[net.Conn]bool),
	}
	go e.accept()
	go e.beat()
	return e, nil
}

// Drain reports that the engine is draining.
func (e *Engine) Drain() {
	e.mu.Lock()
	e.state = "draining"
	e.mu.Unlock()
	e.register()
	close(e.drained)
}

// Remove removes the engine's entry without a report that it is draining. The engine serves on.
func (e *Engine) Remove() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.state = "removed"
	e.store.Put("keyed.servers", e.id, nil)
}

func (e *Engine) register() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.state == "removed" {
		return
	}
	e.sequence++
	entry := map[string]any{
		"service": e.service, "address": e.listener.Addr().String(), "zone": e.zone, "version": "1", "slots": e.slots,
		"state": e.state, "cold_remaining_ms": 0, "sequence": e.sequence, "born": e.born,
	}
	if e.stage != "" {
		entry["stage"] = e.stage
	}
	if e.late != nil {
		if late := e.late(); late > 0 {
			e.log.Add("write of a heartbeat without an answer", e.id, "sequence", e.sequence, "state", e.state, "executed after", late)
			time.AfterFunc(late, func() {
				e.store.PutJSON("keyed.servers", e.id, entry)
				e.log.Add("late write executed", e.id, "sequence", entry["sequence"], "state", entry["state"])
			})
			return
		}
	}
	e.store.PutJSON("keyed.servers", e.id, entry)
}

func (e *Engine) beat() {
	ticker, drained := time.NewTicker(heartbeat), e.drained
	defer ticker.Stop()
	for {
		e.register()
		select {
		case <-ticker.C:
		case <-drained:
			// The next write follows the report by a whole interval.
			drained = nil
			ticker.Reset(heartbeat)
			<-ticker.C
		case <-e.stopped:
			return
		}
	}
}

// Stop ends the engine.
func (e *Engine) Stop() {
	_ = e.listener.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	select {
	case <-e.stopped:
	default:
		close(e.stopped)
	}
	for conn := range e.conns {
		_ = conn.Close()
	}
}

func (e *Engine) accept() {
	for {
		conn, err := e.listener.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		e.conns[conn] = true
		e.mu.Unlock()
		go e.serve(conn)
	}
}

func (e *Engine) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		e.mu.Lock()
		delete(e.conns, conn)
		e.mu.Unlock()
	}()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		id := request.Header.Get("Request-Id")
		switch {
		case request.URL.Path == "/health":
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", e.id)
			continue
		case request.Header.Get("Expect-Instance") != "" && request.Header.Get("Expect-Instance") != e.id:
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", id)
			continue
		}
		if !e.quiet {
			e.log.Add("run", id, "engine", e.id, "service", e.service)
		}
		if !e.answer(conn, request, body) {
			return
		}
	}
}

// plain returns an answer of an engine with a body.
func plain(status string, id, signature, body string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\nRequest-Id: %s\r\nResponse-Signature: %s\r\nContent-Length: %d\r\n\r\n%s", status, id, signature, len(body), body)
}
