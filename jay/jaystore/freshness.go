package jaystore

import "time"

// Freshness bounds how old the copy of a topic is on which an instance acts. The bounds follow from
// the time in which a change has to take effect everywhere, and leave the rest of it for the read
// that an instance makes itself once its copy has reached the highest age: the store may answer
// late, and the instance may be busy.
type Freshness struct {
	// Wait is how long a long poll waits at the store for a record, 0 for a topic that is polled.
	Wait time.Duration
	// Interval is the time between two reads of a topic that is polled, 0 for long polling.
	Interval time.Duration
	// MaxAge is the time since the store's last answer up to which another instance's copy is used.
	MaxAge time.Duration
	// History is the number of records for each key that are read after a snapshot, 0 if the newest ones suffice.
	History int
}

// WithHistory returns the bounds with the number of records for each key that are read after a snapshot.
func (f Freshness) WithHistory(perKey int) Freshness {
	f.History = perKey
	return f
}

const (
	// readFraction is the part of the time that passes until the watcher reads the store again.
	readFraction = 0.36
	// longPolledAge and polledAge are the highest ages as parts of the time. A long poll is answered
	// as soon as there is a record, but a read by polling may take place right before the change.
	longPolledAge = 0.75
	polledAge     = 0.6
)

// LongPolled returns the bounds of a topic that is read by long polling.
func LongPolled(effect time.Duration) Freshness {
	return Freshness{Wait: fraction(effect, readFraction), MaxAge: fraction(effect, longPolledAge)}
}

// Polled returns the bounds of a topic that is polled.
func Polled(effect time.Duration) Freshness {
	return Freshness{Interval: fraction(effect, readFraction), MaxAge: fraction(effect, polledAge)}
}

func fraction(d time.Duration, part float64) time.Duration {
	return time.Duration(part * float64(d))
}

// Polls holds how long a long poll of each topic waits at the store for a record.
type Polls map[Topic]time.Duration
