package jayedge

import "time"

const (
	// maxLagTolerance is the time of three exchanges within a zone.
	maxLagTolerance = 800 * time.Millisecond
	// lagParts is the number of parts of the time in which a policy has to be in force, of which
	// one is spent on waiting for the watcher.
	lagParts = 3
)

// lagTolerance returns how long an instance waits for the watcher of its zone once it has observed
// that another instance has a newer policy, which has to be in force within a time.
func lagTolerance(apply time.Duration) time.Duration {
	return min(maxLagTolerance, apply/lagParts)
}

// lag decides when an instance whose policy is older than another's reads the
// store itself. The wait limits the load on the store: there are many instances, and
// all of them observe a new version within the same second.
type lag struct {
	tolerance time.Duration
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
	if newest <= l.requested || now.Sub(l.since) < l.tolerance {
		return false
	}
	l.requested = newest
	return true
}
