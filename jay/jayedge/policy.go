package jayedge

import (
	"context"
	"log/slog"
	"sync/atomic"

	"jayfield.example/jay/jaystore"
	"jayfield.example/jay/jaytraffic"
)

// policies holds the traffic policy in force. Only a higher version replaces it.
type policies struct {
	adapter  Adapter
	log      *slog.Logger
	current  atomic.Pointer[jaytraffic.Policy]
	onChange func(*jaytraffic.Policy)
}

// Policy returns the policy in force, or nil before the first one.
func (p *policies) Policy() *jaytraffic.Policy {
	return p.current.Load()
}

// Replace processes a snapshot of the topic.
func (p *policies) Replace(ctx context.Context, records []jaystore.Record, _ int64) {
	p.Apply(ctx, records)
}

// Apply puts each policy among the records into force if its version is higher than the one in force.
func (p *policies) Apply(_ context.Context, records []jaystore.Record) {
	for _, record := range records {
		if !p.adapter.IsPolicy(record.Key) || len(record.Value) == 0 {
			continue
		}
		policy, err := p.adapter.ReadPolicy(record.Value)
		if err != nil {
			p.log.Warn("policy malformed", "offset", record.Offset, "error", err)
			continue
		}
		if inForce := p.current.Load(); inForce != nil && policy.Version <= inForce.Version {
			p.log.Info("policy is not newer", "version", policy.Version, "inForce", inForce.Version, "offset", record.Offset)
			continue
		}
		p.current.Store(policy)
		p.log.Info("policy in force", "version", policy.Version, "offset", record.Offset, "routes", policy.Routes())
		p.onChange(policy)
	}
}

// Unavailable keeps the policy in force.
func (*policies) Unavailable(context.Context, error) {}

// Available does nothing, since the follower applies the newer records.
func (*policies) Available(context.Context) {}
