package jayquarantine

import (
	"cmp"
	"slices"
	"time"
)

const (
	// eventTTL is how long a crash counts as evidence.
	eventTTL = time.Minute
	// sameCrash is the time between two reports of a crash of one engine within which they are
	// about the same crash.
	sameCrash = 2 * time.Second
	// minCrashes is the number of crashes that put a part in quarantine, and minSpacing the least
	// time between two that count: engines that fail together are no evidence against a part.
	minCrashes = 3
	minSpacing = 400 * time.Millisecond
)

// crash is the end of an engine, identified by the hash of its ID, during an answer.
type crash struct {
	upstream uint32
	at       time.Time
	// own is set if this instance observed it.
	own bool
}

// suspect is a prompt part that was part of a request during a crash.
type suspect struct {
	// name is empty if only other instances have had requests with the part.
	name string
	// service is the hash of the service, depth the position of the part in the prompt.
	service uint32
	depth   int
	// crashes are ordered by time.
	crashes []crash
	// servedAt is when the latest answer to a request with the part completed on any instance,
	// ownServedAt the same for this instance.
	servedAt, ownServedAt time.Time
	quarantine
}

// quarantine is the state of a part in quarantine. It is zero for other parts.
type quarantine struct {
	since, until time.Time
	// period is the length of the quarantine, which doubles each time.
	period time.Duration
	// trialAt is when this instance last let a request pass after the end of the period, trialID
	// the ID of that request.
	trialAt time.Time
	trialID string
	// requestedAt is when a request with the part last arrived.
	requestedAt time.Time
	// announced is set once the quarantine has been returned as a change.
	announced bool
}

// quarantined reports whether the part is in quarantine, also after its period: it ends with a
// trial that is served.
func (s *suspect) quarantined() bool {
	return !s.since.IsZero() && !s.servedAt.After(s.since)
}

// changed reports whether the quarantine began or ended since it was last returned as a change.
func (s *suspect) changed() bool {
	return s.quarantined() != s.announced
}

// isolate begins a quarantine, or the next one after a trial that crashed an engine.
func (s *suspect) isolate(now time.Time) {
	s.period = min(max(2*s.period, minPeriod), maxPeriod)
	s.since, s.until = now, now.Add(s.period)
}

// try reports whether a request may pass as a trial after the period.
func (s *suspect) try(now time.Time, id string) bool {
	if now.Before(s.until) {
		return false
	}
	if now.Sub(s.trialAt) > trialInterval {
		s.trialAt, s.trialID = now, id
	}
	return s.trialID == id
}

// add records a crash unless it is known.
func (s *suspect) add(c crash) {
	for n, known := range s.crashes {
		if known.upstream == c.upstream && known.at.Sub(c.at).Abs() < sameCrash {
			s.crashes[n].own = known.own || c.own
			return
		}
	}
	s.crashes = append(s.crashes, c)
	slices.SortFunc(s.crashes, func(a, b crash) int { return a.at.Compare(b.at) })
}

// has reports whether the part was part of a request during a crash.
func (s *suspect) has(c crash) bool {
	return slices.ContainsFunc(s.crashes, func(own crash) bool {
		return own.upstream == c.upstream && own.at.Sub(c.at).Abs() < sameCrash
	})
}

// outweighs reports whether there is more evidence against the part than against another one,
// or as much and the part is deeper in the prompt.
func (s *suspect) outweighs(other *suspect) bool {
	return cmp.Or(cmp.Compare(len(s.crashes), len(other.crashes)), cmp.Compare(s.depth, other.depth)) > 0
}

// prune drops crashes that are too old or that answers since then have refuted.
func (s *suspect) prune(now time.Time) {
	s.crashes = slices.DeleteFunc(s.crashes, func(c crash) bool {
		return now.Sub(c.at) > eventTTL || !s.quarantined() && !c.at.After(s.servedAt)
	})
}

// evidence returns the number of crashes that count against the part, with the times of the
// first and of the one that completes the evidence. A crash that another part in quarantine
// explains does not count.
func (s *suspect) evidence(explained func(crash) bool) (count int, first, last time.Time) {
	previous := time.Time{}
	for _, c := range s.crashes {
		if explained(c) || c.at.Sub(previous) < minSpacing {
			continue
		}
		previous = c.at
		switch count++; count {
		case 1:
			first = c.at
		case minCrashes:
			last = c.at
		}
	}
	return count, first, last
}
