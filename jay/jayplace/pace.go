package jayplace

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"jayfield.example/jay/jayfleet"
	"jayfield.example/jay/jaypace"
)

// establishedAfter is how long an upstream has to be known until others are compared with it. The upstreams
// of a system that starts register one after the other.
const establishedAfter = 3 * time.Second

// pace is the limit of an upstream that has just started or recovered.
type pace struct {
	jaypace.Pace
	// pending is why a pace begins with the next call of AdvancePaces.
	pending jaypace.Reason
	// seen is the time of the first call of AdvancePaces since the upstream registered.
	seen time.Time
	// reported is set once AdvancePaces has returned the begin.
	reported bool
}

// PaceChange is the begin or the end of the pace of an upstream.
type PaceChange struct {
	ID     string
	Reason jaypace.Reason
	// Ended is set if the pace has ended, after the time Took.
	Ended bool
	Took  time.Duration
}

// group is what is known of the upstreams of a service and stage.
type group struct {
	size, established int
	// running is the number of this instance's requests in progress at established ones.
	running int
}

// usual returns the mean number of requests in progress at an established upstream, rounded up.
func (g group) usual() int {
	return (g.running + g.established - 1) / max(1, g.established)
}

// AdvancePaces begins and ends paces and returns the changes. No upstream is limited unless at least half of
// its service and stage are established: nobody else could take the work.
func (t *Table) AdvancePaces(now time.Time) []PaceChange {
	groups := t.groups(now)
	var changes []PaceChange
	for id, u := range t.upstreams {
		if !u.listed {
			continue
		}
		p, g := &u.pace, groups[figuresKey{u.spec.Service, u.spec.Stage}]
		if p.pending != "" {
			p.Pace = jaypace.Begin(later(now, later(u.ejectedUntil, t.busyUntil(u))), p.pending, g.usual())
			p.pending, p.reported = "", false
		}
		if p.IsZero() || p.Elapsed(now) < 0 {
			continue
		}
		few := 2*g.established < g.size
		if !p.reported && !few {
			p.reported = true
			changes = append(changes, PaceChange{ID: id, Reason: p.Reason()})
		}
		if !few && !p.Ended(now, g.usual()) {
			continue
		}
		if p.reported {
			changes = append(changes, PaceChange{ID: id, Reason: p.Reason(), Ended: true, Took: p.Elapsed(now)})
		}
		p.Pace = jaypace.Pace{}
	}
	slices.SortStableFunc(changes, func(a, b PaceChange) int { return cmp.Compare(a.ID, b.ID) })
	return changes
}

// groups returns what is known of the upstreams by service and stage.
func (t *Table) groups(now time.Time) map[figuresKey]group {
	groups := make(map[figuresKey]group)
	for _, list := range t.services {
		for _, u := range list {
			if u.pace.seen.IsZero() {
				u.pace.seen = now
			}
			key := figuresKey{u.spec.Service, u.spec.Stage}
			g := groups[key]
			g.size++
			if t.established(now, u) {
				g.established++
				g.running += u.own.Running
			}
			groups[key] = g
		}
	}
	return groups
}

// established reports whether others are compared with an upstream.
func (t *Table) established(now time.Time, u *upstream) bool {
	return u.pace.IsZero() && u.pace.pending == "" && now.Sub(u.pace.seen) >= establishedAfter &&
		!now.Before(u.ejectedUntil) && !t.held(now, u)
}

// busyUntil returns the time until which an upstream stated that it is busy.
func (t *Table) busyUntil(u *upstream) time.Time {
	if h := t.holds[u.spec.ID]; h.of(u.spec) {
		return h.busyUntil
	}
	return time.Time{}
}

// beginPace begins the pace of an upstream that takes work again once it is neither ejected nor held.
func (t *Table) beginPace(now time.Time, u *upstream, reason jaypace.Reason) {
	usual := t.groups(now)[figuresKey{u.spec.Service, u.spec.Stage}].usual()
	u.pace.Pace, u.pace.pending, u.pace.reported = jaypace.Begin(later(now, later(u.ejectedUntil, t.busyUntil(u))), reason, usual), "", false
}

// limited reports whether an upstream that has just started or recovered already has as many requests as it
// may get. Below a limit of one it takes a share of the prefixes, the same ones from all instances.
func (t *Table) limited(now time.Time, u *upstream, w Work) bool {
	if u.pace.IsZero() {
		return false
	}
	key := w.ID
	if w.Prompt {
		key = w.Prefix
	}
	// The rendezvous score is a function of the same two hashes in the other order.
	position := fraction(hashPair(xxhash.Sum64String(key), u.idHash))
	return !u.pace.Allows(now, u.own.Running+u.placed, position)
}

// paceOutcome adjusts the pace by the outcome of a request. The time of a prompt is recorded with its prefill.
func (t *Table) paceOutcome(now time.Time, u *upstream, outcome Outcome, took time.Duration, prompt bool) {
	if u.pace.IsZero() {
		return
	}
	switch outcome {
	case OutcomeServed:
		if !prompt {
			u.pace.Pace = u.pace.WithAnswer(now, took-u.rtt, t.usualServiceTime(now, u))
		}
	case OutcomeRefused, OutcomeFailed, OutcomeUnreachable, OutcomeBroken, OutcomeTimeout, OutcomeMoved:
		u.pace.Pace = u.pace.WithRefusal(now)
	case OutcomeWithdrawn, OutcomeCallerGone, OutcomeEnded:
	}
}

// usualServiceTime returns the median service time of the established upstreams of the service, or that of
// the upstream itself if there are none.
func (t *Table) usualServiceTime(now time.Time, u *upstream) time.Duration {
	var times []float64
	for _, other := range t.services[u.spec.Service] {
		if other != u && t.established(now, other) {
			times = append(times, other.serviceTime)
		}
	}
	median := u.serviceTime
	if len(times) > 0 {
		slices.Sort(times)
		median = times[len(times)/2]
	}
	return time.Duration(median * float64(time.Second))
}

// pacePrefill adjusts the pace by the time of a prefill, against the figures of the stage: the engine's own
// factor would follow its slowness.
func (u *upstream) pacePrefill(now time.Time, c Choice) {
	if c.Took <= 0 || u.spec.Stage == jayfleet.StageNone || u.spec.Born != c.Upstream.Born || u.spec.Address != c.Upstream.Address {
		return
	}
	model := u.figures.prefill
	u.pace.Pace = u.pace.WithAnswer(now, c.Took-u.rtt-c.transfer, model.Fixed()+model.Prefill(c.PrefillTokens+c.ahead))
}
