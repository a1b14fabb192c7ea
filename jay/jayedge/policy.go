package jayedge

import (
	"context"
	"log/slog"
	"math"
	"sync/atomic"
	"time"

	"jayfield.example/jay/jaystore"
	"jayfield.example/jay/jaytraffic"
)

// policies holds the traffic policy in force. Only a higher version replaces it.
type policies struct {
	adapter  Adapter
	log      *slog.Logger
	current  atomic.Pointer[jaytraffic.Policy]
	onChange func(*jaytraffic.Policy)
	// mirror forwards the records of the topic to the policies.
	mirror *jaystore.Mirror
	// applied is the position after the last record that was processed.
	applied atomic.Int64
}

func newPolicies(adapter Adapter, log *slog.Logger, onChange func(*jaytraffic.Policy)) *policies {
	p := &policies{adapter: adapter, log: log, onChange: onChange}
	p.mirror = jaystore.NewMirror(p)
	return p
}

// Age returns the time since the store confirmed that the policy in force is the newest. The mirror counts
// records as read before they are processed; until then the age is unknown, which is the highest age.
func (p *policies) Age() time.Duration {
	changed, readAt := p.mirror.Position()
	if readAt.IsZero() || jaystore.Position(p.applied.Load()) < changed {
		return math.MaxInt64
	}
	return time.Since(readAt)
}

// Policy returns the policy in force, or nil before the first one.
func (p *policies) Policy() *jaytraffic.Policy {
	return p.current.Load()
}

// AccountNames returns the names of the client accounts of the policy in force.
func (p *policies) AccountNames() []string {
	if policy := p.Policy(); policy != nil && policy.Accounts() != nil {
		return policy.Accounts().Names()
	}
	return nil
}

// Replace processes a snapshot of the topic.
func (p *policies) Replace(ctx context.Context, records []jaystore.Record, end jaystore.Position) {
	p.Apply(ctx, records)
	p.markApplied(end)
}

// markApplied records that all records before a position were processed.
func (p *policies) markApplied(next jaystore.Position) {
	p.applied.Store(max(p.applied.Load(), int64(next)))
}

// Apply puts each policy among the records into force if its version is higher than the one in force.
func (p *policies) Apply(_ context.Context, records []jaystore.Record) {
	for _, record := range records {
		p.apply(record)
		p.markApplied(record.Position + 1)
	}
}

func (p *policies) apply(record jaystore.Record) {
	if !p.adapter.IsPolicy(record.Key) || len(record.Value) == 0 {
		return
	}
	policy, err := p.adapter.ReadPolicy(record.Value)
	if err != nil {
		p.log.Warn("policy malformed", "offset", record.Position, "error", err)
		return
	}
	if inForce := p.current.Load(); inForce != nil && policy.Version <= inForce.Version {
		p.log.Info("policy is not newer", "version", policy.Version, "inForce", inForce.Version, "offset", record.Position)
		return
	}
	p.current.Store(policy)
	p.log.Info("policy in force", "version", policy.Version, "offset", record.Position, "routes", policy.Routes(), "accounts", accountCount(policy))
	if n := policy.MalformedAccounts(); n > 0 {
		p.log.Warn("accounts of the policy left out as malformed", "version", policy.Version, "accounts", n)
	}
	p.onChange(policy)
}

// accountCount returns the number of accounts of a policy, -1 if nobody is authenticated.
func accountCount(policy *jaytraffic.Policy) int {
	if policy.Accounts() == nil {
		return -1
	}
	return policy.Accounts().Len()
}

// Unavailable keeps the policy in force.
func (*policies) Unavailable(context.Context, error) {}

// Available does nothing, since the follower applies the newer records.
func (*policies) Available(context.Context) {}
