package jayplace

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"jayfield.example/jay/jayfleet"
	"jayfield.example/jay/jaypace"
)

const (
	// leavingTTL is how long an upstream that stated that it is leaving gets no new requests. By
	// then the registry no longer lists it, unless the answer was wrong.
	leavingTTL = 5 * time.Minute
	// maxBusyTime bounds the time for which an upstream may state that it is busy.
	maxBusyTime = 5 * time.Minute
	// busyJitter is the largest part of a busy time that is added to it, and maxBusyJitter bounds
	// the addition, so that not all instances return at the same time.
	busyJitter    = 0.25
	maxBusyJitter = time.Second
)

// hold is what an upstream has stated about itself. It outlives the upstream's entry in the
// registry, which may lapse and return, but not its restart.
type hold struct {
	born    int64
	address string
	// leavingUntil and busyUntil are the times until which it gets no new requests.
	leavingUntil, busyUntil time.Time
}

// of reports whether the hold is about an upstream: a restarted one and another one at the
// same address are not held.
func (h *hold) of(u jayfleet.Upstream) bool {
	return h != nil && h.born == u.Born && h.address == u.Address
}

// active reports whether the upstream gets no new requests.
func (h *hold) active(now time.Time) bool {
	return now.Before(h.leavingUntil) || now.Before(h.busyUntil)
}

// MarkLeaving records that an upstream stated that it is leaving. It reports whether that is new.
func (t *Table) MarkLeaving(now time.Time, u jayfleet.Upstream) bool {
	h := t.hold(u)
	isNew := !now.Before(h.leavingUntil)
	h.leavingUntil = now.Add(leavingTTL)
	return isNew
}

// HoldBusy records that an upstream stated how long it wants no requests. It returns the time
// until which it gets none, and whether what it stated was out of bounds.
func (t *Table) HoldBusy(now time.Time, u jayfleet.Upstream, stated time.Duration) (until time.Time, outOfBounds bool) {
	length := min(max(stated, 0), maxBusyTime)
	if length == 0 {
		return now, stated < 0
	}
	jitter := time.Duration(busyJitter * fraction(hashPair(xxhash.Sum64String(u.ID), uint64(now.UnixNano()))) * float64(length))
	h := t.hold(u)
	h.busyUntil = later(h.busyUntil, now.Add(length+min(jitter, maxBusyJitter)))
	if known, ok := t.upstreams[u.ID]; ok && h.of(known.spec) {
		t.beginPace(now, known, jaypace.ReasonBusy)
	}
	return h.busyUntil, length != stated
}

// EndHolds drops the holds that are over and returns the IDs of their upstreams.
func (t *Table) EndHolds(now time.Time) []string {
	var ended []string
	for id, h := range t.holds {
		if !h.active(now) {
			delete(t.holds, id)
			ended = append(ended, id)
		}
	}
	slices.Sort(ended)
	return ended
}

// hold returns the hold of an upstream and creates it on first use.
func (t *Table) hold(u jayfleet.Upstream) *hold {
	h := t.holds[u.ID]
	if !h.of(u) {
		h = &hold{born: u.Born, address: u.Address}
		t.holds[u.ID] = h
	}
	return h
}

// held reports whether an upstream gets no new requests because of what it stated.
func (t *Table) held(now time.Time, u *upstream) bool {
	h := t.holds[u.spec.ID]
	return h.of(u.spec) && h.active(now)
}

// noneError is the cause of an error of KindNone.
type noneError struct {
	upstreams int
	// pinned is set if only upstreams of a version count.
	pinned  bool
	version string
	// wait is the time until the first busy upstream gets requests again, 0 if none is busy.
	wait time.Duration
}

// Error returns the reason.
func (e *noneError) Error() string {
	reason := "none of the " + strconv.Itoa(e.upstreams) + " upstreams of the service"
	if e.pinned {
		reason += " at version " + strconv.Quote(e.version)
	}
	reason += " takes work"
	if e.wait > 0 {
		reason += ", the first one again in " + e.wait.Round(time.Millisecond).String()
	}
	return reason
}

// RetryAfter returns how long to wait at least before the request is sent again, 0 if unknown.
func (e *noneError) RetryAfter() time.Duration {
	return e.wait
}

// none returns the cause why no upstream of the service takes a request.
func (t *Table) none(now time.Time, w Work) *noneError {
	e := &noneError{pinned: w.Pinned, version: w.Version}
	for _, u := range t.services[w.Service] {
		if !w.allows(u) {
			continue
		}
		e.upstreams++
		h := t.holds[u.spec.ID]
		if !h.of(u.spec) || now.Before(h.leavingUntil) || !now.Before(h.busyUntil) {
			continue
		}
		if wait := h.busyUntil.Sub(now); e.wait == 0 || wait < e.wait {
			e.wait = wait
		}
	}
	return e
}
