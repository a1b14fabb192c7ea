package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// sent is one request of a client.
type sent struct {
	id       string
	instance int
	at       time.Time
	status   int
	body     string
	err      error
	ended    time.Time
}

// client sends requests to one instance over kept connections.
type client struct {
	instance *instance
	record   *record
	http     *http.Client
	mu       sync.Mutex
	all      []sent
}

var requests atomic.Int64

const (
	clientTimeout = 2 * time.Second
	streamTimeout = 6 * time.Second
)

func newClient(i *instance, r *record) *client {
	transport := &http.Transport{MaxIdleConnsPerHost: 8, DisableCompression: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	return &client{instance: i, record: r, http: &http.Client{Transport: transport, Timeout: streamTimeout + time.Second}}
}

// request sends one request and waits for its answer.
func (c *client) request(method, host, path string) sent {
	s := sent{id: fmt.Sprintf("%016x", 0x1c41000000000000+requests.Add(1)), instance: c.instance.number, at: time.Now()}
	request, err := http.NewRequest(method, "http://"+c.instance.caller()+path, nil)
	if err == nil {
		request.Host = host
		request.Header.Set("Request-Id", s.id)
		timeout := clientTimeout
		if path == streamPath {
			timeout = streamTimeout
		}
		request.Header.Set("Deadline-Ms", fmt.Sprint(timeout.Milliseconds()))
		c.record.line("request %s is sent to %s", s.id, c.instance.name)
		var response *http.Response
		if response, err = c.http.Do(request); err == nil {
			var body []byte
			body, err = io.ReadAll(response.Body)
			_ = response.Body.Close()
			s.status, s.body = response.StatusCode, string(body)
		}
	}
	s.err, s.ended = err, time.Now()
	c.record.line("request %s is answered with %d %v", s.id, s.status, err)
	c.mu.Lock()
	c.all = append(c.all, s)
	c.mu.Unlock()
	return s
}

// run sends a request each interval until ctx ends, and waits for the answers.
func (c *client) run(ctx context.Context, interval time.Duration, method, host, path string) {
	var group sync.WaitGroup
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-ticker.C:
			group.Go(func() { c.request(method, host, path) })
		case <-ctx.Done():
		}
	}
	group.Wait()
}
