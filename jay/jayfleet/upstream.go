// Package jayfleet holds the registered upstreams as one instance observes them: which exist,
// which are leaving, and which of two at the same address is the current one. It does no I/O
// and reads no clock: one goroutine owns a Fleet and passes it the time.
package jayfleet

import "time"

// Stage is the phase of a completion that an engine runs.
type Stage string

// Stages of a completion. An upstream without a model has StageNone.
const (
	StageNone    Stage = ""
	StagePrefill Stage = "prefill"
	StageDecode  Stage = "decode"
)

// Upstream is the registration of one upstream. It is immutable.
type Upstream struct {
	// ID identifies one start of the upstream, unless the upstream restarted under the same
	// ID.
	ID      string
	Service string
	// Address is an IP address and a port.
	Address string
	Zone    string
	// Version is the version of its software, empty if not reported. Versions have no order.
	Version string
	Slots   int
	// Leaving is set while the upstream finishes its requests before a planned stop.
	Leaving bool
	Stage   Stage
	// Born is the Unix time of its start in ms, 0 if not reported.
	Born int64
	// Preemptible is set if the upstream was ordered at a lower price and may be reclaimed.
	Preemptible bool
	// LeavesIn is the time that remained until a leaving upstream ends when it registered, 0 if unknown.
	LeavesIn time.Duration
	// Sequence grows with each registration since the start.
	Sequence int64
}

// Same reports whether two registrations differ in nothing but the sequence number and the time that remains.
func (u Upstream) Same(other Upstream) bool {
	u.Sequence, u.LeavesIn = other.Sequence, other.LeavesIn
	return u == other
}
