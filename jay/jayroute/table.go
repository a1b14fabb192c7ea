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
	region    string
	source    *rand.Rand
	upstreams map[string]*Upstream
	pools     map[string]*Pool
	policy    Policy
	ordered   map[string]bool
	// urgent is when urgent work last asked for an upstream.
	urgent time.Time
	// rank is the place of this instance among the count that share the near upstreams.
	rank, count int
}

// Policy names a way to choose among upstreams.
type Policy string

// Policies; all but PolicyPredict are baselines for measurements.
const (
	PolicyPredict Policy = "predict"
	PolicyRound   Policy = "round"
	PolicyLeast   Policy = "least"
)

// NewTable returns an empty table of an instance in a region.
func NewTable(region string, policy Policy, source *rand.Rand) *Table {
	return &Table{
		region:    region,
		source:    source,
		policy:    policy,
		count:     1,
		upstreams: make(map[string]*Upstream),
		pools:     make(map[string]*Pool),
	}
}

// Configure takes in a configuration. Upstreams that stay keep what was observed.
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
		known.ordered = t.ordered[object.Name.Name]
		upstreams[object.Name.Name] = known
	}
	t.upstreams = upstreams
	t.pools = newPools(state, upstreams, t.region)
}

// Finish ends a piece of work that Start began.
func (t *Table) Finish(u *Upstream, w Work) {
	u.running--
	u.decode -= w.Output
	if w.Long {
		u.long--
	}
}

// First records that the first token of a piece of work came after a time.
func (t *Table) First(u *Upstream, w Work, ahead int, took time.Duration) {
	u.prefill -= w.Prompt
	tokens := float64(max(1, ahead+w.Prompt))
	u.lead += weightNew * (took.Seconds()/tokens - u.lead)
	u.observed = true
	u.failures = 0
}

// Forget ends the prefill of work that gave no first token.
func (t *Table) Forget(u *Upstream, w Work) {
	u.prefill -= w.Prompt
}

// Leave records that an upstream said that it takes no new work.
func (t *Table) Leave(u *Upstream) {
	u.leaving = true
}

// List records which upstreams the platform's list shows as leaving.
func (t *Table) List(leaving map[string]bool) {
	for name, u := range t.upstreams {
		u.listed = leaving[name]
	}
}

// Ordered records which engines have orders that are not settled.
func (t *Table) Ordered(engines map[string]bool) {
	t.ordered = engines
	for name, u := range t.upstreams {
		u.ordered = engines[name]
	}
}

// Others records the work that other instances say they run, by upstream.
func (t *Table) Others(running map[string]int) {
	for name, u := range t.upstreams {
		u.others = running[name]
		u.taken = 0
	}
}

// Pace records the time between tokens that a piece of work saw.
func (t *Table) Pace(u *Upstream, gap time.Duration) {
	u.pace += weightNew * (gap.Seconds() - u.pace)
}

// Pool returns the pool of a route or service by its object's name.
func (t *Table) Pool(name string) (*Pool, bool) {
	p, ok := t.pools[name]
	return p, ok
}

// Pools returns all pools.
func (t *Table) Pools() map[string]*Pool {
	return t.pools
}

// Report takes in a load report of an upstream.
func (t *Table) Report(now time.Time, name string, load jayengine.Load) {
	u, ok := t.upstreams[name]
	if !ok {
		return
	}
	if u.report.Role != "" && load.Role != u.report.Role {
		u.lead, u.pace, u.observed = firstLead.Seconds(), firstPace.Seconds(), false
	}
	u.report = load
	u.reported = load.Measured(now)
	u.ownThen = u.running
	if !load.Leaving {
		u.leaving = false
	}
}

// Share sets the place of this instance among those that share the near upstreams.
func (t *Table) Share(rank, count int) {
	t.rank, t.count = rank, count
}

// Start assigns a piece of work to an upstream and returns the prompt tokens ahead of it.
func (t *Table) Start(u *Upstream, w Work) (ahead int) {
	ahead = u.prefill
	if u.running >= t.part(u) {
		u.taken++
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
