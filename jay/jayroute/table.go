package jayroute

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"jayfield.example/jay/jayconfig"
	"jayfield.example/jay/jayengine"
)

// Table is the state of all upstreams and the pools that they form.
type Table struct {
	region            string
	rng               *rand.Rand
	upstreams         map[string]*Upstream
	pools             map[string]*Pool
	policy            Policy
	enginesWithOrders map[string]bool
	// lastUrgent is the time of the last pick for urgent work.
	lastUrgent time.Time
	// instances is the number of instances that share the near upstreams, rank the index
	// of this one among them, from 0.
	rank, instances int
}

// Policy names a strategy for picking upstreams.
type Policy string

// Policies. All but PolicyPredict are baselines for benchmarks.
const (
	PolicyPredict       Policy = "predict"
	PolicyRoundRobin    Policy = "round"
	PolicyLeastRequests Policy = "least"
)

// NewTable returns an empty table for an instance in a region.
func NewTable(region string, policy Policy, rng *rand.Rand) *Table {
	return &Table{
		region:    region,
		rng:       rng,
		policy:    policy,
		instances: 1,
		upstreams: make(map[string]*Upstream),
		pools:     make(map[string]*Pool),
	}
}

// Configure applies a configuration. Upstreams that keep their name and address
// keep their observed state.
func (t *Table) Configure(state *jayconfig.State) {
	upstreams := make(map[string]*Upstream, len(t.upstreams))
	for _, object := range state.Objects() {
		spec, ok := object.Spec().(*jayconfig.Upstream)
		if !ok {
			continue
		}
		known, ok := t.upstreams[object.Name.Name]
		if !ok || known.spec.Address != spec.Address {
			known = newUpstream(object.Name.Name, spec)
		}
		known.spec = spec
		known.hasOrder = t.enginesWithOrders[object.Name.Name]
		upstreams[object.Name.Name] = known
	}
	t.upstreams = upstreams
	t.pools = newPools(state, upstreams, t.region)
}

// Finish records the end of work that Start assigned.
func (t *Table) Finish(u *Upstream, w Work) {
	u.running--
	u.decode -= w.Output
	if w.Long {
		u.long--
	}
}

// RecordFirstToken records the time to the first token of work that had ahead prompt tokens
// before it.
func (t *Table) RecordFirstToken(u *Upstream, w Work, ahead int, took time.Duration) {
	t.RecordNoToken(u, w, ahead, took)
	u.failures = 0
}

// RecordNoToken records that work was cancelled after a time without a first token, a lower bound of the time to it.
// It is no success, so failures still count as consecutive.
func (t *Table) RecordNoToken(u *Upstream, w Work, ahead int, took time.Duration) {
	u.prefill -= w.Prompt
	tokens := float64(max(1, ahead+w.Prompt))
	u.prefillPace += smoothingFactor * (took.Seconds()/tokens - u.prefillPace)
	u.observed = true
}

// DropPrefill removes the prompt of work from the upstream's queued prefill without a
// first token, because the work ended or its prefill moved to another engine.
func (t *Table) DropPrefill(u *Upstream, w Work) {
	u.prefill -= w.Prompt
}

// MarkLeaving records that an upstream reported that it accepts no new work.
func (t *Table) MarkLeaving(u *Upstream) {
	u.leaving = true
}

// SetListedLeaving records which upstreams are marked as leaving in the platform's list.
func (t *Table) SetListedLeaving(leaving map[string]bool) {
	for name, u := range t.upstreams {
		u.listedLeaving = leaving[name]
	}
}

// SetEnginesWithOrders records which engines have unsettled orders.
func (t *Table) SetEnginesWithOrders(engines map[string]bool) {
	t.enginesWithOrders = engines
	for name, u := range t.upstreams {
		u.hasOrder = engines[name]
	}
}

// SetPeerRunning records the running work reported by other instances, by upstream.
func (t *Table) SetPeerRunning(running map[string]int) {
	for name, u := range t.upstreams {
		u.reportedByPeers = running[name]
		u.borrowed = 0
	}
}

// Pace records the mean time between tokens of finished work.
func (t *Table) Pace(u *Upstream, gap time.Duration) {
	u.pace += smoothingFactor * (gap.Seconds() - u.pace)
}

// Pool returns the pool of a route or service by the name of its object.
func (t *Table) Pool(name string) (*Pool, bool) {
	p, ok := t.pools[name]
	return p, ok
}

// Pools returns all pools.
func (t *Table) Pools() map[string]*Pool {
	return t.pools
}

// Report records a load report of an upstream. A change of role resets the
// observed paces.
func (t *Table) Report(now time.Time, name string, load jayengine.Load) {
	u, ok := t.upstreams[name]
	if !ok {
		return
	}
	if u.report.Role != "" && load.Role != u.report.Role {
		u.prefillPace, u.pace, u.observed = initialPrefillPace.Seconds(), initialPace.Seconds(), false
	}
	u.report = load
	u.reported = load.Measured(now)
	u.runningAtReport = u.running
	if !load.Leaving {
		u.leaving = false
	}
}

// SetRanking sets the number of instances that share the near upstreams and the rank
// of this one among them.
func (t *Table) SetRanking(rank, instances int) {
	t.rank, t.instances = rank, instances
}

// Start assigns work to an upstream and returns the prompt tokens queued ahead of it.
func (t *Table) Start(u *Upstream, w Work) (ahead int) {
	ahead = u.prefill
	if u.running >= t.quota(u) {
		u.borrowed++
	}
	u.running++
	u.prefill += w.Prompt
	u.decode += w.Output
	if w.Long {
		u.long++
	}
	return ahead
}

// Upstream returns the state of an upstream by name.
func (t *Table) Upstream(name string) (*Upstream, bool) {
	u, ok := t.upstreams[name]
	return u, ok
}

func hashName(name string) uint64 {
	return xxhash.Sum64String(name)
}
