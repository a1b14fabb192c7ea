package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	heartbeat = 1200 * time.Millisecond
	workTime  = 60 * time.Millisecond
	// eventGap is the time between two of the events of a stream.
	eventGap = 300 * time.Millisecond
	events   = 15
)

// engine is a stand-in for an engine of a plain service. It registers itself in the store.
type engine struct {
	id, service, zone string
	record            *record
	store             *store

	mu       sync.Mutex
	address  string
	state    string
	born     int64
	sequence int64
	running  bool
	server   *http.Server
	stop     chan struct{}
}

// start starts the engine, at its former address if it had one. Its clock is ahead of the true
// time by skew.
func (e *engine) start(skew time.Duration) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	address := e.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	e.address, e.state, e.sequence, e.running = listener.Addr().String(), "ready", 0, true
	e.born = time.Now().Add(skew).UnixMilli()
	e.server, e.stop = &http.Server{Handler: http.HandlerFunc(e.serve)}, make(chan struct{})
	server, stop := e.server, e.stop
	go func() { _ = server.Serve(listener) }()
	e.record.line("engine %s starts at %s, born %d", e.id, e.address, e.born)
	e.beat()
	go func() {
		for {
			select {
			case <-time.After(heartbeat):
			case <-stop:
				return
			}
			e.mu.Lock()
			if e.stop == stop {
				e.beat()
			}
			e.mu.Unlock()
		}
	}()
	return nil
}

// beat writes the engine's entry and returns when the store acknowledged it.
func (e *engine) beat() time.Time {
	if e.state == "removed" {
		return time.Time{}
	}
	e.sequence++
	entry, _ := json.Marshal(map[string]any{
		"service": e.service, "address": e.address, "zone": e.zone, "version": "v1", "slots": 6,
		"state": e.state, "cold_remaining_ms": 0, "sequence": e.sequence, "born": e.born,
	})
	return e.store.put("keyed.servers", e.id, entry)
}

// drain reports that the engine is draining and returns when the store acknowledged it.
func (e *engine) drain() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.state = "draining"
	at := e.beat()
	e.record.line("engine %s is draining, acknowledged by the store (born %d, sequence %d)", e.id, e.born, e.sequence)
	return at
}

// crash ends the engine at once. Its entry stays.
func (e *engine) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.running {
		return
	}
	close(e.stop)
	e.stop, e.running = nil, false
	_ = e.server.Close()
	e.record.line("engine %s ends", e.id)
}

// unregister removes the engine's entry and returns when the store acknowledged it. The engine
// goes on serving.
func (e *engine) unregister() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.state = "removed"
	e.record.line("the entry of engine %s is removed", e.id)
	return e.store.put("keyed.servers", e.id, nil)
}

// leave ends the engine and removes its entry.
func (e *engine) leave() {
	e.crash()
	e.store.put("keyed.servers", e.id, nil)
}

func (e *engine) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	e.mu.Lock()
	leaving := e.state != "ready"
	e.mu.Unlock()
	w.Header().Set("Request-Id", id)
	w.Header().Set("Engine-Load", "1,0,6")
	if leaving {
		w.Header().Set("Connection", "close")
	}
	switch expected := r.Header.Get("Expect-Instance"); {
	case id == "":
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	case expected != "" && expected != e.id:
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.record.run(id, e.id, e.service)
	if r.URL.Path == streamPath {
		e.stream(w, r, id)
		return
	}
	select {
	case <-time.After(workTime):
	case <-r.Context().Done():
		return
	}
	body := fmt.Sprintf("%s of %s for %s\n", e.id, e.service, id)
	w.Header().Set("Response-Signature", fmt.Sprintf("%s.%s.%d", e.id, id, len(body)))
	w.Header().Set("Content-Type", "text/plain")
	_, _ = w.Write([]byte(body))
}

// stream answers with events, from the one after Last-Event-Id on.
func (e *engine) stream(w http.ResponseWriter, r *http.Request, id string) {
	w.Header().Set("Response-Signature", fmt.Sprintf("%s.%s.stream", e.id, id))
	w.Header().Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for n := last + 1; n <= events; n++ {
		select {
		case <-time.After(eventGap):
		case <-r.Context().Done():
			e.record.line("the caller of request %s has left engine %s", id, e.id)
			return
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s-%d\n\n", n, id, n)
		_ = http.NewResponseController(w).Flush()
	}
	e.record.line("engine %s has ended request %s", e.id, id)
}

// shutdown closes the engine's listener and connections at the end of a script.
func (e *engine) shutdown() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.running {
		_ = e.server.Shutdown(context.Background())
	}
}
