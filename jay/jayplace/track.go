package jayplace

import (
	"time"

	"jayfield.example/jay/jaymember"
)

// End takes in how a request ended at its upstream. It reports whether the
// upstream was ejected for it.
func (t *Table) End(now time.Time, id string, outcome Outcome, took time.Duration, prompt bool) bool {
	u, ok := t.upstreams[id]
	if !ok {
		return false
	}
	u.own.Running = max(0, u.own.Running-1)
	u.tally.note(now, outcome)
	if outcome == OutcomeServed && !prompt {
		worked := max(0, took-u.distance).Seconds()
		u.work += weightNew * (worked - u.work)
	}
	if !u.listed && u.own.Running == 0 {
		delete(t.upstreams, id)
	}
	return u.note(now, outcome)
}

// Heard takes in the load that an upstream stated in an answer.
func (t *Table) Heard(now time.Time, id string, load Load) {
	if u, ok := t.upstreams[id]; ok {
		u.load, u.loaded, u.ownThen = load, now, u.own.Running
	}
}

// Others takes in what the other instances state of their work, by upstream.
func (t *Table) Others(shares map[string]jaymember.Work) {
	for id, u := range t.upstreams {
		u.elsewhere = shares[id]
	}
}

// Own returns this instance's own work by upstream, for the others.
func (t *Table) Own() map[string]jaymember.Work {
	own := make(map[string]jaymember.Work, len(t.upstreams))
	for id, u := range t.upstreams {
		if u.own != (jaymember.Work{}) {
			own[id] = u.own
		}
	}
	return own
}

// Read notes that the prompt of a choice has been read, or that its reading ended.
func (t *Table) Read(now time.Time, c Choice, shared string, done bool) {
	u, ok := t.upstreams[c.Upstream.ID]
	if !ok {
		return
	}
	u.own.Reading = max(0, u.own.Reading-c.Reading)
	if c.Reading < shortReading {
		u.own.Short = max(0, u.own.Short-c.Reading)
	}
	if done {
		t.keep(now, u, shared)
	}
}

// Reading notes that the prompt of a choice is sent to be read.
func (t *Table) Reading(c Choice) {
	u, ok := t.upstreams[c.Upstream.ID]
	if !ok {
		return
	}
	u.own.Reading += c.Reading
	if c.Reading < shortReading {
		u.own.Short += c.Reading
	}
}

// Start notes that a request is sent to an upstream.
func (t *Table) Start(id string) {
	if u, ok := t.upstreams[id]; ok {
		u.own.Running++
	}
}
