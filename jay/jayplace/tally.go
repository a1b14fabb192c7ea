package jayplace

import (
	"cmp"
	"slices"
	"time"

	"jayfield.example/jay/jaymember"
	"jayfield.example/jay/jaypace"
)

const (
	// tallyPeriod is the length of each of the two periods that a tally covers.
	tallyPeriod = time.Second
	// announceTallyFor is how long after another instance reported failures this instance
	// announces its own counts.
	announceTallyFor = 2 * time.Second
	// minFailures is the number of failed sends, over all instances, that MergeTallies requires
	// to eject an upstream; single sends fail at healthy upstreams too.
	minFailures = 3
)

// tally counts the outcomes of this instance's sends to an upstream in the current and the
// previous period.
type tally struct {
	since             time.Time
	current, previous jaymember.Tally
	// announceUntil is the time until which the tally is announced because other instances
	// reported failures.
	announceUntil time.Time
}

// record counts an outcome. Refusals, timeouts and callers that disconnected do not count: at
// peak load they also occur with healthy upstreams.
func (t *tally) record(now time.Time, outcome Outcome) {
	t.rotate(now)
	switch outcome {
	case OutcomeServed:
		t.current.Served++
	case OutcomeFailed, OutcomeBroken, OutcomeMoved, OutcomeUnreachable:
		t.current.Failed++
	case OutcomeCallerGone, OutcomeEnded, OutcomeRefused, OutcomeTimeout, OutcomeWithdrawn:
	}
}

// sum returns the counts of both periods.
func (t *tally) sum(now time.Time) jaymember.Tally {
	t.rotate(now)
	return t.previous.Plus(t.current)
}

// rotate begins a new period if the current one has passed.
func (t *tally) rotate(now time.Time) {
	switch passed := now.Sub(t.since); {
	case passed < tallyPeriod:
		return
	case passed < 2*tallyPeriod:
		t.previous = t.current
	default:
		t.previous = jaymember.Tally{}
	}
	t.current, t.since = jaymember.Tally{}, now
}

// Tallies returns this instance's counts for the upstreams to which it or another instance
// failed to send.
func (t *Table) Tallies(now time.Time) []jaymember.Tally {
	var list []jaymember.Tally
	for _, u := range t.upstreams {
		sum := u.tally.sum(now)
		if sum.Failed > 0 || now.Before(u.tally.announceUntil) && sum.Served > 0 {
			sum.Upstream = u.idHash32
			list = append(list, sum)
		}
	}
	slices.SortFunc(list, func(a, b jaymember.Tally) int { return cmp.Compare(a.Upstream, b.Upstream) })
	return list
}

// MergeTallies merges the sums of the counts of other instances, ejects the upstreams at which
// most sends of all instances fail, and returns their IDs. It handles deployments with many
// instances, where each sends too few requests to an upstream to detect the failure alone.
func (t *Table) MergeTallies(now time.Time, sums map[uint32]jaymember.Tally) []string {
	var ejected []string
	if len(sums) == 0 {
		return nil
	}
	for id, u := range t.upstreams {
		others, ok := sums[u.idHash32]
		if !ok {
			continue
		}
		if others.Failed > 0 {
			u.tally.announceUntil = now.Add(announceTallyFor)
		}
		all := u.tally.sum(now).Plus(others)
		if all.Failed >= minFailures && all.Failed > all.Served && u.eject(now) {
			t.beginPace(now, u, jaypace.ReasonEjected)
			ejected = append(ejected, id)
		}
	}
	slices.Sort(ejected)
	return ejected
}
