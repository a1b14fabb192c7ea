package jayplace

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"jayfield.example/jay/jayfleet"
	"jayfield.example/jay/jaymember"
)

const (
	// firstWork is the assumed time of plain work before any was observed.
	firstWork = 50 * time.Millisecond
	// weightNew is the share of a new observation in a moving average.
	weightNew = 0.2
	// loadTrust is how long a load figure counts; it is late and changes often.
	loadTrust = time.Second
	// usual is the slowness figure of an upstream that works at its usual speed.
	usual = 100
)

// Load is what an upstream says of its load in an answer.
type Load struct {
	Running, Waiting, Slots int
	// Slowness is how long work takes now, 100 as usual, 0 where unknown.
	Slowness int
}

// upstream is the state of one upstream.
type upstream struct {
	spec     jayfleet.Upstream
	listed   bool
	distance time.Duration
	region   string

	// name is the hash of the id, hash its short form in statements to other instances.
	name uint64
	hash uint32

	// own is this instance's own work there, elsewhere what the other instances state of theirs.
	own, elsewhere jaymember.Work
	// work is a moving average of the seconds that plain work takes.
	work float64

	load   Load
	loaded time.Time
	// ownThen is this instance's running work when the load figure came.
	ownThen int

	kept  kept
	tally tally
	health
}

func newUpstream(spec jayfleet.Upstream) *upstream {
	return &upstream{spec: spec, work: firstWork.Seconds(), name: xxhash.Sum64String(spec.ID), hash: hash32(spec.ID), kept: kept{used: make(map[uint32]time.Time)}}
}

// busy estimates the requests at the upstream: the own ones and those that
// others state or that its newest load figure shows beyond the own.
func (u *upstream) busy(now time.Time) int {
	others := u.elsewhere.Running
	if now.Sub(u.loaded) < loadTrust {
		others = max(others, u.load.Running+u.load.Waiting-u.ownThen)
	}
	return u.own.Running + others
}

// plainWait returns the expected time until plain work sent now is answered.
func (u *upstream) plainWait(now time.Time) time.Duration {
	slots := max(1, u.spec.Slots)
	rounds := max(1, float64(u.busy(now)+1)/float64(slots))
	// A busy upstream is worse than an idle one also below its slots.
	rounds += float64(u.busy(now)) / float64(4*slots)
	slow := 1.0
	if u.load.Slowness > usual && now.Sub(u.loaded) < loadTrust {
		slow = float64(u.load.Slowness) / usual
	}
	return u.distance + time.Duration(u.work*slow*rounds*float64(time.Second))
}
