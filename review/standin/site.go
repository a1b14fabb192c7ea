package main

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"
)

const (
	siteHost   = "ficu95.example"
	sitePrefix = "/puxa403/"
	sitePath   = sitePrefix + "2f"
	// streamPath leads to streams.
	streamPath = "/lohu930/2f"
	// readyTimeout is how long the instances may take to become ready, and touchTime how long
	// they have run without disruption when the day begins.
	readyTimeout = 15 * time.Second
	touchTime    = 4500 * time.Millisecond
)

// site is a deployment: a store, instances and a client for each of them.
type site struct {
	zones     []string
	record    *record
	store     *store
	instances []*instance
	clients   []*client
	// idleTimeout is the idle timeout of connections in the configuration, in ms.
	idleTimeout int
}

func newSite(root, dir, scratch string, zones []string, perZone int) (*site, error) {
	r, err := newRecord(dir)
	if err != nil {
		return nil, err
	}
	s := &site{zones: zones, record: r, store: newStore(), idleTimeout: 15000}
	for _, zone := range zones {
		for range perZone {
			i, err := newInstance(root, scratch, len(s.instances)+1, zone, zones, s.store)
			if err != nil {
				return nil, err
			}
			s.instances = append(s.instances, i)
			s.clients = append(s.clients, newClient(i, r))
		}
	}
	return s, nil
}

// configure writes a version of the configuration whose routes lead to a service, and returns when
// the store acknowledged it.
func (s *site) configure(version int, service string) time.Time {
	services := []map[string]any{}
	for _, name := range []string{"order-desk", "order-desk-b"} {
		services = append(services, map[string]any{"name": name, "health_path": "/health", "max_connections": 100, "protocol": "h1", "tls": false})
	}
	config, _ := json.Marshal(map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": "r-stock", "host": siteHost, "path_prefix": sitePrefix, "kind": "idempotent", "timeout_ms": 2000,
			"target_latency_ms": 400, "priority": 2, "service": service, "max_attempts": 2, "sticky": false, "resumable": false,
		}, {
			"name": "r-note", "host": siteHost, "path_prefix": "/lohu930/", "kind": "streaming", "timeout_ms": 6000, "target_gap_ms": 400,
			"target_latency_ms": 1200, "priority": 0, "service": service, "max_attempts": 2, "sticky": false, "resumable": true,
		}},
		"services": services,
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": s.idleTimeout},
	})
	at := s.store.put("keyed.op", "config", config)
	s.record.line("configuration %d is acknowledged by the store: the route leads to %s", version, service)
	return at
}

// startInstances starts all instances and returns once they are ready and in touch.
func (s *site) startInstances() error {
	for _, i := range s.instances {
		if err := i.start(); err != nil {
			return err
		}
		s.record.line("instance %s starts", i.name)
	}
	deadline := time.Now().Add(readyTimeout)
	for _, i := range s.instances {
		for !i.ready() {
			if time.Now().After(deadline) {
				return errors.New(i.name + " does not become ready")
			}
			time.Sleep(100 * time.Millisecond)
		}
		s.record.line("instance %s is ready", i.name)
	}
	time.Sleep(touchTime)
	return nil
}

// load sends requests from all clients until ctx ends. The channel is closed once all are answered.
func (s *site) load(ctx context.Context, interval time.Duration) <-chan struct{} {
	var group sync.WaitGroup
	for _, c := range s.clients {
		group.Go(func() { c.run(ctx, interval, "GET", siteHost, sitePath) })
	}
	done := make(chan struct{})
	go func() {
		group.Wait()
		close(done)
	}()
	return done
}

// stop ends all instances.
func (s *site) stop() {
	for _, i := range s.instances {
		i.kill()
	}
}
