package jayplace

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"jayfield.example/jay/jayfigure"
	"jayfield.example/jay/jayfleet"
	"jayfield.example/jay/jaymember"
)

const (
	// initialServiceTime is the assumed service time of plain requests before any was
	// observed.
	initialServiceTime = 50 * time.Millisecond
	// smoothingFactor is the weight of a new observation in an exponential moving average.
	smoothingFactor = 0.2
	// loadTTL is how long a reported load counts; it arrives late and changes often.
	loadTTL = time.Second
	// usualSlowness is the slowness, in percent, of an upstream that runs at its usual speed.
	usualSlowness = 100
)

// Load is the load that an upstream reports in a response.
type Load struct {
	Running, Waiting, Slots int
	// Slowness is the current service time in percent of the usual one, 0 if unknown.
	Slowness int
}

// upstream is the state of one upstream.
type upstream struct {
	spec   jayfleet.Upstream
	listed bool
	// wasListed is whether it was listed before the latest configuration.
	wasListed bool
	rtt       time.Duration
	region    string

	// idHash is the hash of the ID, and idHash32 its short form in announcements to other
	// instances.
	idHash   uint64
	idHash32 uint32

	// own is this instance's own work at the upstream, peers the work that other instances
	// report.
	own, peers jaymember.Work
	// serviceTime is a moving average of the service time of plain requests in seconds.
	serviceTime float64

	load   Load
	loadAt time.Time
	// ownAtLoad is the number of this instance's running requests when the load was reported.
	ownAtLoad int
	// placed counts the held requests that have been placed and not sent yet.
	placed int

	cache cache
	tally tally
	// figures are those of the service and stage, factor how many times as long this engine takes.
	figures *stageFigures
	factor  jayfigure.Factor
	speed   speed
	pace    pace
	health
}

func newUpstream(spec jayfleet.Upstream) *upstream {
	return &upstream{spec: spec, serviceTime: initialServiceTime.Seconds(), idHash: xxhash.Sum64String(spec.ID), idHash32: hash32(spec.ID), cache: newCache(), speed: speed{hash: speedHash(spec)}}
}

// busy estimates the requests at the upstream: those of this instance, also those just placed, plus those that other
// instances report or that the latest reported load shows beyond the own ones.
func (u *upstream) busy(now time.Time) int {
	others := u.peers.Running
	if now.Sub(u.loadAt) < loadTTL {
		others = max(others, u.load.Running+u.load.Waiting-u.ownAtLoad)
	}
	return u.own.Running + u.placed + others
}

// expectedLatency returns the expected time until a plain request sent now is answered.
func (u *upstream) expectedLatency(now time.Time) time.Duration {
	slots := max(1, u.spec.Slots)
	rounds := max(1, float64(u.busy(now)+1)/float64(slots))
	// A busy upstream is slower than an idle one even while slots are free.
	rounds += float64(u.busy(now)) / float64(4*slots)
	slow := 1.0
	if u.load.Slowness > usualSlowness && now.Sub(u.loadAt) < loadTTL {
		slow = float64(u.load.Slowness) / usualSlowness
	}
	return u.rtt + time.Duration(u.serviceTime*slow*rounds*float64(time.Second))
}
