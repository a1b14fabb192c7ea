package jayedge

import "time"

// lagPause is how long an instance waits for the watcher of its zone once it has
// heard of a newer policy: two exchanges within a zone, and a third of the time
// in which the policy has to be in force.
const lagPause = 800 * time.Millisecond

// lag tells when an instance that is behind the others is to read the store
// itself. The load that it answers is that of many instances, all of which hear
// of a new policy within the same second.
type lag struct {
	// since is when the instance fell behind, zero while it is not.
	since time.Time
	// asked is the version for which the store was read.
	asked int64
}

// due reports, once for each version heard, that the store is to be read.
func (l *lag) due(now time.Time, inForce, heard int64) bool {
	if heard <= inForce {
		l.since = time.Time{}
		return false
	}
	if l.since.IsZero() {
		l.since = now
	}
	if heard <= l.asked || now.Sub(l.since) < lagPause {
		return false
	}
	l.asked = heard
	return true
}
