package jayplace

import (
	"time"

	"jayfield.example/jay/jayfleet"
)

const (
	// prefillSpeed and decodeSpeed are prompt tokens read in a ms between the steps of an
	// engine, by the users' sheets: 2,048 tokens at 112 a ms and 512 at half of that, with
	// a step of some 4 ms after each.
	prefillSpeed = 94.0
	decodeSpeed  = 38.0
	// firstStep is the time from a read prompt to its first token.
	firstStep = 31 * time.Millisecond
	// moveTime is the time to move a KV cache to its host.
	moveTime = 25 * time.Millisecond
	// shortReading is the size of a reading from which it counts as long.
	shortReading = 4096
)

// option is an engine that might read a prompt, with what is expected there.
type option struct {
	u      *upstream
	cached bool
	// holder keeps the shared part where u does not.
	holder  *upstream
	reading int
	// wait is the expected time to the first token.
	wait time.Duration
}

// option predicts the reading of a prompt at an engine.
func (t *Table) option(now time.Time, u *upstream, w Work) option {
	part := hash32(w.Shared)
	o := option{u: u, reading: w.OwnTokens, cached: u.kept.holds(now, part)}
	move := time.Duration(0)
	if !o.cached {
		if o.holder = t.holder(now, u, w, part); o.holder != nil {
			move = moving(w.SharedTokens, u, o.holder)
		} else {
			o.reading += w.SharedTokens
		}
	}
	ahead := u.queued()
	if o.reading < shortReading {
		ahead = u.queuedShort()
	}
	o.wait = move + u.idle(o.reading) + time.Duration(float64(ahead)/u.speed()*float64(time.Millisecond))
	return o
}

// idle returns the time to the first token of a reading on an idle engine.
func (u *upstream) idle(reading int) time.Duration {
	wait := u.distance + firstStep + time.Duration(float64(reading)/u.speed()*float64(time.Millisecond))
	if u.spec.Stage == jayfleet.StagePrefill {
		wait += u.distance + moveTime
	}
	return wait
}

// speed returns the prompt tokens that the engine reads in a ms.
func (u *upstream) speed() float64 {
	if u.spec.Stage == jayfleet.StagePrefill {
		return prefillSpeed
	}
	return decodeSpeed
}

// queued returns the prompt tokens that wait at the engine as far as known.
func (u *upstream) queued() int {
	return u.own.Reading + u.elsewhere.Reading
}

// queuedShort returns those of them that are read before longer ones.
func (u *upstream) queuedShort() int {
	return u.own.Short + u.elsewhere.Short
}

// fetch returns the address that the shared part is fetched from.
func (o option) fetch() string {
	if o.holder == nil {
		return ""
	}
	return o.holder.spec.Address
}

// holder returns the engine from which another fetches a part the fastest, nil
// where none is known to keep it.
func (t *Table) holder(now time.Time, to *upstream, w Work, part uint32) *upstream {
	var best *upstream
	for _, u := range t.services[w.Service] {
		if u == to || now.Before(u.ejected) || !u.kept.holds(now, part) {
			continue
		}
		if best == nil || moving(w.SharedTokens, to, u) < moving(w.SharedTokens, to, best) {
			best = u
		}
	}
	return best
}

const (
	// moveStart is the fixed time of a move of KV cache, moveSpeed the tokens moved in a ms
	// within a zone: 18 KB each over 370 Gbit/s.
	moveStart = 5 * time.Millisecond
	moveSpeed = 2500.0
	// zoneMove and regionMove are how many times longer moves between zones and regions take.
	zoneMove   = 2.0
	regionMove = 10.0
)

// moving returns the time to move tokens of KV cache between two engines.
func moving(tokens int, to, from *upstream) time.Duration {
	factor := 1.0
	switch {
	case to.spec.Zone == from.spec.Zone:
	case to.region == from.region && to.region != "":
		factor = zoneMove
	default:
		factor = regionMove
	}
	return moveStart + time.Duration(factor*float64(tokens)/moveSpeed*float64(time.Millisecond))
}
