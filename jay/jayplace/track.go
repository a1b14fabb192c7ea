package jayplace

import (
	"time"

	"jayfield.example/jay/jaymember"
	"jayfield.example/jay/jaypace"
)

// End records the outcome of a request at its upstream. It reports whether the upstream was
// ejected because of it.
func (t *Table) End(now time.Time, id string, outcome Outcome, took time.Duration, prompt bool) bool {
	u, ok := t.upstreams[id]
	if !ok {
		return false
	}
	u.own.Running = max(0, u.own.Running-1)
	u.tally.record(now, outcome)
	if outcome == OutcomeServed && !prompt {
		elapsed := max(0, took-u.rtt).Seconds()
		u.serviceTime += smoothingFactor * (elapsed - u.serviceTime)
	}
	if !u.listed && u.own.Running == 0 {
		delete(t.upstreams, id)
	}
	t.paceOutcome(now, u, outcome, took, prompt)
	ejected := u.record(now, outcome)
	if ejected {
		t.beginPace(now, u, jaypace.ReasonEjected)
	}
	return ejected
}

// RecordLoad records the load that an upstream reported in a response.
func (t *Table) RecordLoad(now time.Time, id string, load Load) {
	if u, ok := t.upstreams[id]; ok {
		u.load, u.loadAt, u.ownAtLoad = load, now, u.own.Running
	}
}

// SetPeerWork records the work of the other instances, by the hash of the upstream's ID.
func (t *Table) SetPeerWork(work map[uint32]jaymember.Work) {
	for _, u := range t.upstreams {
		u.peers = work[u.idHash32]
	}
}

// OwnWork returns this instance's own work by upstream, to be gossiped to other instances.
func (t *Table) OwnWork() []jaymember.UpstreamWork {
	var own []jaymember.UpstreamWork
	for _, u := range t.upstreams {
		if !u.own.IsZero() {
			own = append(own, jaymember.UpstreamWork{Upstream: u.idHash32, Work: u.own})
		}
	}
	return own
}

// EndPrefill records the end of a choice's prefill; done is set if it completed.
func (t *Table) EndPrefill(now time.Time, c Choice, prefix string, done bool) {
	u, ok := t.upstreams[c.Upstream.ID]
	if !ok {
		return
	}
	u.own.PrefillTokens = max(0, u.own.PrefillTokens-c.PrefillTokens)
	u.own.ShortPrefillTokens = max(0, u.own.ShortPrefillTokens-c.shortTokens())
	if done {
		u.pacePrefill(now, c)
		u.recordPrefill(now, c)
		if c.Upstream.Version == u.spec.Version {
			t.markCached(now, u, prefix)
		}
	}
}

// StartPrefill records that the prompt of a choice was sent to be prefilled.
func (t *Table) StartPrefill(c Choice) {
	u, ok := t.upstreams[c.Upstream.ID]
	if !ok {
		return
	}
	u.figures.addSize(c)
	u.own.PrefillTokens += c.PrefillTokens
	u.own.ShortPrefillTokens += c.shortTokens()
}

// Place records that a held request was placed at an upstream. It counts as in progress until EndPlacement: the
// request is sent later, and further requests are placed before that.
func (t *Table) Place(id string) {
	if u, ok := t.upstreams[id]; ok {
		u.placed++
	}
}

// EndPlacement records that a placed request was sent, after Start, or that it won't be.
func (t *Table) EndPlacement(id string) {
	if u, ok := t.upstreams[id]; ok {
		u.placed = max(0, u.placed-1)
	}
}

// Start records that a request was sent to an upstream.
func (t *Table) Start(id string) {
	if u, ok := t.upstreams[id]; ok {
		u.own.Running++
	}
}
