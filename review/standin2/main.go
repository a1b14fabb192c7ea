// Command standin2 plays the cases of the second review: it starts instances of the system as processes and
// stand-ins of the store, the engines and the clients around them.
package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// scenario plays a case with or without its disruption and reports whether the rule was broken.
type scenario func(s *Site, trouble bool) (broken bool, err error)

// Site is a site of a scenario.
type Site struct {
	root, folder string
	log          *Log
	store        *Store
	instances    []*Instance
	engines      []*Engine
	// proxies stand between the instances and the store, one for each instance, if there are any.
	proxies []*Proxy
}

const (
	statusHeld   = 0
	statusBroken = 1
	statusNotRun = 2
)

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	if len(args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin2 SCENARIO ROOT RECORD")
		return statusNotRun
	}
	play, ok := map[string]scenario{"limit": playLimit, "removal": playRemoval, "heartbeats": playHeartbeats, "revival": playRevival}[args[0]]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown scenario", args[0])
		return statusNotRun
	}
	log, err := NewLog(args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return statusNotRun
	}
	folder, err := os.MkdirTemp("", "standin2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return statusNotRun
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(folder) }()
	} else {
		fmt.Println(folder)
	}
	store, err := NewStore()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return statusNotRun
	}
	root, err := filepath.Abs(args[1])
	if err != nil {
		return statusNotRun
	}
	s := &Site{root: root, folder: folder, log: log, store: store}
	defer s.stop()
	go s.endEarly()
	broken, err := play(s, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		log.Add("not run", err)
		fmt.Fprintln(os.Stderr, err)
		return statusNotRun
	case broken:
		log.Add("the rule was broken")
		return statusBroken
	}
	log.Add("the rule held")
	return statusHeld
}

// maxTime is the longest time that a scenario may take.
const maxTime = 110 * time.Second

// endEarly ends everything that was started when the program is told to stop or takes too long.
func (s *Site) endEarly() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case <-signals:
	case <-time.After(maxTime):
	}
	s.stop()
	os.Exit(statusNotRun)
}

// startBehindProxies starts instances, one for each zone, with a proxy between each of them and the store.
func (s *Site) startBehindProxies(zones ...string) error {
	for range zones {
		p, err := NewProxy(s.store.address)
		if err != nil {
			return err
		}
		s.proxies = append(s.proxies, p)
	}
	return s.start(zones...)
}

// start starts instances, one for each zone.
func (s *Site) start(zones ...string) error {
	for n, zone := range zones {
		address := s.store.address
		if s.proxies != nil {
			address = s.proxies[n].Address()
		}
		i, err := NewInstance(s.root, s.folder, fmt.Sprintf("front-%s-%d", zone, n+1), zone, address, s.store.address, "")
		if err != nil {
			return err
		}
		if err := i.Start(); err != nil {
			return err
		}
		s.instances = append(s.instances, i)
	}
	for _, i := range s.instances {
		if err := i.AwaitReady(15 * time.Second); err != nil {
			return err
		}
	}
	return nil
}

// engine starts an engine.
func (s *Site) engine(id, service, zone string, answer func(net.Conn, *http.Request, []byte) bool) (*Engine, error) {
	return s.engineWith(id, service, zone, answer, nil)
}

// engineWith starts an engine of which writes to the store are executed late.
func (s *Site) engineWith(id, service, zone string, answer func(net.Conn, *http.Request, []byte) bool, late func() time.Duration) (*Engine, error) {
	e, err := NewEngine(id, service, zone, s.store, s.log, answer, late)
	if err == nil {
		s.engines = append(s.engines, e)
	}
	return e, err
}

func (s *Site) stop() {
	for _, i := range s.instances {
		i.Kill()
	}
	for _, e := range s.engines {
		e.Stop()
	}
	for _, p := range s.proxies {
		p.Close()
	}
	_ = s.store.server.Close()
}

// route is a route of a configuration.
type route map[string]any

// plainRoute returns a route of a plain service.
func plainRoute(name, prefix, kind, service string, timeout int) route {
	return route{
		"name": name, "host": "ficu95.example", "path_prefix": prefix, "kind": kind, "timeout_ms": timeout, "target_latency_ms": 400,
		"priority": 2, "service": service, "max_attempts": 2,
	}
}

// configuration returns a configuration.
func configuration(version, headerBytes int, routes ...route) map[string]any {
	return map[string]any{
		"version": version, "routes": routes,
		"services": []map[string]any{{"name": "order-desk", "health_path": "/health", "max_connections": 100, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": headerBytes, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

// caller is a client with one kept connection.
type caller struct {
	conn   net.Conn
	reader *bufio.Reader
	log    *Log
}

func dial(log *Log, address string) (*caller, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &caller{conn: conn, reader: bufio.NewReader(conn), log: log}, nil
}

// send sends a request and returns the answer with its body, or an error if the connection ends without one.
func (c *caller) send(method, path, id string, headers []string, body string, limit time.Duration) (*http.Response, string, error) {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: ficu95.example\r\nRequest-Id: %s\r\nDeadline-Ms: 2000\r\n", method, path, id)
	for _, header := range headers {
		b.WriteString(header + "\r\n")
	}
	if method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n" + body)
	c.log.Add("sent", id, method, path, "header and body bytes", b.Len(), "connection", c.conn.LocalAddr())
	_ = c.conn.SetDeadline(time.Now().Add(limit))
	if _, err := c.conn.Write([]byte(b.String())); err != nil {
		c.log.Add("unanswered", id, err)
		return nil, "", err
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		c.log.Add("unanswered", id, err)
		return nil, "", err
	}
	defer func() { _ = response.Body.Close() }()
	data := new(strings.Builder)
	buffer := make([]byte, 32<<10)
	for {
		n, err := response.Body.Read(buffer)
		data.Write(buffer[:n])
		if err != nil {
			if err.Error() != "EOF" {
				c.log.Add("answered", id, response.StatusCode, "and the body is cut off:", err)
				return response, data.String(), err
			}
			break
		}
	}
	c.log.Add("answered", id, response.StatusCode, "signature", response.Header.Get("Response-Signature"), "close", response.Close, "body", len(data.String()))
	return response, data.String(), nil
}
