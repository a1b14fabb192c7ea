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
	u.running = max(0, u.running-1)
	if outcome == OutcomeServed && !prompt {
		worked := max(0, took-u.distance).Seconds()
		u.work += weightNew * (worked - u.work)
	}
	if !u.listed && u.running == 0 {
		delete(t.upstreams, id)
	}
	return u.note(now, outcome)
}

// Heard takes in the load that an upstream stated in an answer.
func (t *Table) Heard(now time.Time, id string, load Load) {
	if u, ok := t.upstreams[id]; ok {
		u.load, u.loaded, u.ownThen = load, now, u.running
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
		if u.running > 0 || u.reading > 0 {
			own[id] = jaymember.Work{Running: u.running, Reading: u.reading}
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
	u.reading = max(0, u.reading-c.Reading)
	if done && shared != "" {
		u.kept[shared] = now
	}
}

// Reading notes that the prompt of a choice is sent to be read.
func (t *Table) Reading(c Choice) {
	if u, ok := t.upstreams[c.Upstream.ID]; ok {
		u.reading += c.Reading
	}
}

// Start notes that a request is sent to an upstream.
func (t *Table) Start(id string) {
	if u, ok := t.upstreams[id]; ok {
		u.running++
	}
}
