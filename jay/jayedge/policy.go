package jayedge

import (
	"context"
	"log/slog"
	"sync/atomic"

	"jayfield.example/jay/jaystore"
	"jayfield.example/jay/jaytraffic"
)

// policies holds the traffic policy in force. A lower version never replaces a higher one.
type policies struct {
	adapter Adapter
	log     *slog.Logger
	current atomic.Pointer[jaytraffic.Policy]
	changed func(*jaytraffic.Policy)
}

// Policy returns the policy in force, nil before the first.
func (p *policies) Policy() *jaytraffic.Policy {
	return p.current.Load()
}

// Replace takes in the newest records of the topic.
func (p *policies) Replace(ctx context.Context, records []jaystore.Record, _ int64) {
	p.Apply(ctx, records)
}

// Apply takes in records of the topic.
func (p *policies) Apply(_ context.Context, records []jaystore.Record) {
	for _, record := range records {
		if !p.adapter.IsPolicy(record.Key) || len(record.Value) == 0 {
			continue
		}
		policy, err := p.adapter.ReadPolicy(record.Value)
		if err != nil {
			p.log.Warn("policy not read", "offset", record.Offset, "error", err)
			continue
		}
		if known := p.current.Load(); known != nil && policy.Version <= known.Version {
			p.log.Info("policy is not newer", "version", policy.Version, "inForce", known.Version, "offset", record.Offset)
			continue
		}
		p.current.Store(policy)
		p.log.Info("policy in force", "version", policy.Version, "offset", record.Offset, "routes", policy.Routes())
		p.changed(policy)
	}
}

// Lost keeps the policy in force.
func (*policies) Lost(context.Context, error) {}

// Returned changes nothing, as the newer records follow.
func (*policies) Returned(context.Context) {}
