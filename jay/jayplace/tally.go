package jayplace

import (
	"cmp"
	"slices"
	"time"

	"jayfield.example/jay/jaymember"
)

const (
	// tallyPeriod is the time of one of the two periods that a tally covers.
	tallyPeriod = time.Second
	// tallyTrust is how long a tally of another instance counts.
	tallyTrust = 2 * time.Second
	// failedTogether is the number of failed sends of all instances from which an upstream is
	// judged; single ones fail at sound upstreams too.
	failedTogether = 3
)

// tally counts how the sends of this instance to an upstream ended, in the
// present period and the one before.
type tally struct {
	since         time.Time
	present, past jaymember.Tally
	// heard is until when other instances' failures call for a statement.
	heard time.Time
}

// note takes in an outcome. Refusals, silence and callers that left say
// nothing: at the crest they come from sound upstreams too.
func (t *tally) note(now time.Time, outcome Outcome) {
	t.turn(now)
	switch outcome {
	case OutcomeServed:
		t.present.Served++
	case OutcomeFailed, OutcomeBroken, OutcomeMoved, OutcomeUnreachable:
		t.present.Failed++
	case OutcomeGone, OutcomeRefused, OutcomeSilent:
	}
}

// sum returns what was counted in both periods.
func (t *tally) sum(now time.Time) jaymember.Tally {
	t.turn(now)
	return t.past.Plus(t.present)
}

// turn begins the present period where the last one has passed.
func (t *tally) turn(now time.Time) {
	switch passed := now.Sub(t.since); {
	case passed < tallyPeriod:
		return
	case passed < 2*tallyPeriod:
		t.past = t.present
	default:
		t.past = jaymember.Tally{}
	}
	t.present, t.since = jaymember.Tally{}, now
}

// Tallies returns what this instance states of upstreams to which it or
// another instance has failed to send.
func (t *Table) Tallies(now time.Time) []jaymember.Tally {
	var list []jaymember.Tally
	for _, u := range t.upstreams {
		sum := u.tally.sum(now)
		if sum.Failed > 0 || now.Before(u.tally.heard) && sum.Served > 0 {
			sum.Upstream = u.hash
			list = append(list, sum)
		}
	}
	slices.SortFunc(list, func(a, b jaymember.Tally) int { return cmp.Compare(a.Upstream, b.Upstream) })
	return list
}

// HeardTallies takes in the sums of what other instances state, and ejects the
// upstreams at which most sends of all instances fail. The load that it answers
// is that of many instances: each sends too little to an upstream to find out
// by itself. It returns the ids of those ejected.
func (t *Table) HeardTallies(now time.Time, sums map[uint32]jaymember.Tally) []string {
	var ejected []string
	if len(sums) == 0 {
		return nil
	}
	for id, u := range t.upstreams {
		others, ok := sums[u.hash]
		if !ok {
			continue
		}
		if others.Failed > 0 {
			u.tally.heard = now.Add(tallyTrust)
		}
		all := u.tally.sum(now).Plus(others)
		if all.Failed >= failedTogether && all.Failed > all.Served && u.eject(now) {
			ejected = append(ejected, id)
		}
	}
	slices.Sort(ejected)
	return ejected
}
