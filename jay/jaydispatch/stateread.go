package jaydispatch

import (
	"context"
	"time"

	"jayfield.example/jay/jayroute"
)

// UpstreamState is the state of an upstream in a state dump.
type UpstreamState struct {
	jayroute.View
	Name string `json:"name"`
}

// QueueState is the state of a queue in a state dump.
type QueueState struct {
	Pool string `json:"pool"`
	// Waiting is the number of items waiting for all pools with the same upstreams.
	Waiting int `json:"waiting"`
	Slots   int `json:"slots"`
}

// Dump is the state of the dispatcher in a state dump.
type Dump struct {
	Upstreams []UpstreamState `json:"upstreams"`
	Queues    []QueueState    `json:"queues"`
	// Share is the fraction of the total capacity that this instance owns.
	Share float64 `json:"share"`
}

// Dump returns the dispatcher's state for a state dump.
func (d *Dispatcher) Dump(ctx context.Context) (Dump, error) {
	var dump Dump
	err := d.owner.Call(ctx, func(s *state) {
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

// Explain returns for each upstream of the request's pool whether it may serve the
// request now, or why it may not.
func (d *Dispatcher) Explain(ctx context.Context, request Request) ([]jayroute.Reason, error) {
	var reasons []jayroute.Reason
	err := d.owner.Call(ctx, func(s *state) {
		if pool, ok := s.table.Pool(request.Pool); ok {
			reasons = s.table.Explain(time.Now(), pool, s.work(request))
		}
	})
	return reasons, err
}

// Running returns the number of requests that this instance is running at each
// upstream, without idle upstreams.
func (d *Dispatcher) Running(ctx context.Context) (map[string]int, error) {
	running := make(map[string]int)
	err := d.owner.Call(ctx, func(s *state) {
		for _, u := range s.table.Upstreams() {
			if u.Running() > 0 {
				running[u.Name()] = u.Running()
			}
		}
	})
	return running, err
}
