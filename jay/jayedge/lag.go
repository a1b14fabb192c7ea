package jayedge

import "time"

// lagTolerance is how long an instance waits for the watcher of its zone once it
// has observed that another instance has a newer policy: the time of two exchanges
// within a zone, and a third of the time within which a policy must be in force.
const lagTolerance = 800 * time.Millisecond

// lag decides when an instance whose policy is older than another's reads the
// store itself. The wait limits the load on the store: there are many instances, and
// all of them observe a new version within the same second.
type lag struct {
	// since is when the instance fell behind, zero if it is not behind.
	since time.Time
	// requested is the newest version for which the store was read.
	requested int64
}

// due reports whether the store is to be read now, at most once per newer version.
func (l *lag) due(now time.Time, inForce, newest int64) bool {
	if newest <= inForce {
		l.since = time.Time{}
		return false
	}
	if l.since.IsZero() {
		l.since = now
	}
	if newest <= l.requested || now.Sub(l.since) < lagTolerance {
		return false
	}
	l.requested = newest
	return true
}
