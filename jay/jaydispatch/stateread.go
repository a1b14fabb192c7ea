package jaydispatch

import (
	"context"
	"time"

	"jayfield.example/jay/jayroute"
)

// UpstreamState is what a state dump shows of an upstream.
type UpstreamState struct {
	jayroute.View
	Name string `json:"name"`
}

// QueueState is what a state dump shows of a queue.
type QueueState struct {
	Pool string `json:"pool"`
	// Waiting counts the work of all pools with the same upstreams.
	Waiting int `json:"waiting"`
	Slots   int `json:"slots"`
}

// Dump is what a state dump shows of the dispatcher.
type Dump struct {
	Upstreams []UpstreamState `json:"upstreams"`
	Queues    []QueueState    `json:"queues"`
	// Share is the part of the capacity that is this instance's.
	Share float64 `json:"share"`
}

// Dump returns the dispatcher's state.
func (d *Dispatcher) Dump(ctx context.Context) (Dump, error) {
	var dump Dump
	err := d.owner.Ask(ctx, func(s *state) {
		now := time.Now()
		dump.Share = s.share
		for _, u := range s.table.Upstreams() {
			dump.Upstreams = append(dump.Upstreams, UpstreamState{Name: u.Name(), View: u.View(now)})
		}
		for _, pool := range s.table.Pools() {
			q := QueueState{Pool: pool.Name(), Slots: pool.Slots()}
			if queue, ok := s.queues[pool.Key()]; ok {
				q.Waiting = queue.Size()
			}
			dump.Queues = append(dump.Queues, q)
		}
	})
	return dump, err
}

// Explain returns why work of a pool would go where it goes now.
func (d *Dispatcher) Explain(ctx context.Context, request Request) ([]jayroute.Reason, error) {
	var reasons []jayroute.Reason
	err := d.owner.Ask(ctx, func(s *state) {
		if pool, ok := s.table.Pool(request.Pool); ok {
			reasons = s.table.Explain(time.Now(), pool, s.work(request))
		}
	})
	return reasons, err
}

// Running returns this instance's running work at each upstream that has any.
func (d *Dispatcher) Running(ctx context.Context) (map[string]int, error) {
	running := make(map[string]int)
	err := d.owner.Ask(ctx, func(s *state) {
		for _, u := range s.table.Upstreams() {
			if u.Running() > 0 {
				running[u.Name()] = u.Running()
			}
		}
	})
	return running, err
}
