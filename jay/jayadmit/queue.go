package jayadmit

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// MaxHeld is the largest number of held requests.
	MaxHeld = 64
	// MaxBytes is the largest size of their bodies together. A larger one is sent at once.
	MaxBytes = 1 << 20
	// leastUrgentTurn is the number of releases of which one goes to the least urgent request.
	leastUrgentTurn = 10
	// minRateTime is the time of measurement from which the rate of releases is known.
	minRateTime = 500 * time.Millisecond
)

// Held is a held request.
type Held struct {
	Request
	Since time.Time
	// Room is that of the engine of its latest placement, at RoomAt.
	Room   Room
	RoomAt time.Time
	// Predicted is the time to its first token as last predicted, with the held requests that go first.
	Predicted time.Duration
	returned  bool
	removed   bool
	rank      rank
}

// Refused is a held request that has been refused.
type Refused struct {
	*Held
	Kind Kind
	Err  error
}

// Engines places held requests.
type Engines interface {
	// Room returns the room of the engine that a request would be sent to now.
	Room(h *Held) Room
	// Release sends a request to the engine that Room was last called for, and reports whether there was one.
	Release(h *Held) bool
}

// Queue holds requests.
type Queue struct {
	shares  *Shares
	returns returns
	held    []*Held
	bytes   int
	// starved holds the accounts far below their share of which a request has been held for its limit since they
	// fell below it. Without it an account would get one request per limit: TestModel failed in 5 of 12 runs.
	starved map[string]bool
	// releases counts the releases of held requests.
	releases int
	// rates are the tokens sent by priority, since the first was sent.
	rates map[int]decayed
	since time.Time
	// stopping is set while held requests are refused because another instance takes them.
	stopping bool
}

// NewQueue returns an empty queue.
func NewQueue() *Queue {
	return &Queue{shares: NewShares(), rates: make(map[int]decayed), starved: make(map[string]bool)}
}

// Shares returns the shares of the accounts.
func (q *Queue) Shares() *Shares { return q.shares }

// Len returns the number of held requests.
func (q *Queue) Len() int { return len(q.held) }

// Held returns the number of held requests of a service.
func (q *Queue) Held(service string) int {
	n := 0
	for _, h := range q.held {
		if h.Service == service {
			n++
		}
	}
	return n
}

// Standing returns the use and fair share of an account.
func (q *Queue) Standing(now time.Time, account string) Standing {
	return q.shares.Standings(now, q.waiting())[account]
}

// Record records that a request was sent that has not been held.
func (q *Queue) Record(now time.Time, r Request) {
	q.shares.Want(now, r.Account, r.Tokens)
	q.sent(now, r)
}

// sent records that a request was sent.
func (q *Queue) sent(now time.Time, r Request) {
	q.shares.Add(now, r.Account, r.Tokens)
	if q.since.IsZero() {
		q.since = now
	}
	q.rates[r.Priority] = q.rates[r.Priority].plus(now, float64(r.Tokens))
}

// Hold adds a request, which the next call of Pass sends, keeps or refuses.
func (q *Queue) Hold(now time.Time, r Request, room Room) *Held {
	h := &Held{Request: r, Since: now, Room: room, RoomAt: now, Predicted: room.Queue + room.Own, returned: q.returns.take(now, r.Caller)}
	q.shares.Want(now, r.Account, r.Tokens)
	q.held = append(q.held, h)
	q.bytes += r.Bytes
	return h
}

// refuseLast refuses the last requests in the order while too many are held.
func (q *Queue) refuseLast(now time.Time) []Refused {
	var refused []Refused
	for len(q.held) > MaxHeld || q.bytes > MaxBytes {
		order := q.keepOrder(now)
		refused = append(refused, q.refuse(now, order[len(order)-1], KindFull, "too many requests wait for engines"))
	}
	return refused
}

// Remove removes a request whose caller has gone. It reports whether the request was still held.
func (q *Queue) Remove(h *Held) bool {
	if h.removed {
		return false
	}
	h.removed = true
	q.bytes -= h.Bytes
	q.held = slices.DeleteFunc(q.held, func(other *Held) bool { return other == h })
	return true
}

// SetStopping sets whether held requests are refused, after a last attempt to place them, because the instance
// stops and another one takes them.
func (q *Queue) SetStopping(stopping bool) { q.stopping = stopping }

// Pass releases the held requests for which there is room, and returns those that it refuses. The bounds hold
// afterwards: before, they would refuse requests for which there is room.
func (q *Queue) Pass(now time.Time, engines Engines) []Refused {
	var refused []Refused
	waits := blocked{below: make(map[string]bool), above: make(map[string]bool)}
	ahead := make(map[line]float64)
	// turn is set once the least urgent request has had its turn. Without room for it, the turn stays due, and
	// trying it before each request would place all held requests as often as there are requests.
	turn := false
	for _, h := range q.order(now) {
		if !turn && q.releases%leastUrgentTurn == leastUrgentTurn-1 {
			turn = true
			q.releaseLeastUrgent(now, engines)
		}
		if h.removed {
			continue
		}
		q.update(now, h, engines, waits)
		h.Predicted = q.predict(now, h, ahead[h.line()])
		switch {
		case h.sendNow(now, waits):
			q.release(now, h, engines)
		case h.hopeless(now, h.Room):
			refused = append(refused, q.refuse(now, h, KindDeadline, "the request can't be served before its deadline"))
		default:
			waits.add(h)
			ahead[h.line()] += float64(h.Tokens)
			if q.stopping {
				refused = append(refused, q.refuse(now, h, KindStopping, "the instance is stopping"))
			}
		}
	}
	return append(refused, q.refuseLast(now)...)
}

// line identifies the held requests of a priority that wait for the same engine.
type line struct {
	engine   string
	priority int
}

func (h *Held) line() line { return line{h.Room.Engine, h.Priority} }

// maxRoomAge is the age up to which the room of a request is not determined again while an earlier
// request waits for the same engine. It bounds the work of a pass with many held requests.
const maxRoomAge = 250 * time.Millisecond

// update determines the room for a request.
func (q *Queue) update(now time.Time, h *Held, engines Engines, waits blocked) {
	if waits.holds(h) && !h.tooLarge() && now.Sub(h.RoomAt) < maxRoomAge && !h.due(now, h.Room, h.rank.above) {
		return
	}
	h.Room, h.RoomAt = engines.Room(h), now
}

// releaseLeastUrgent releases the least urgent request for which there is room. Of requests for the same engine, the
// first is placed again and the others only if their rooms are older than maxRoomAge.
func (q *Queue) releaseLeastUrgent(now time.Time, engines Engines) {
	order := q.order(now)
	slices.SortStableFunc(order, func(a, b *Held) int { return cmp.Compare(b.Priority, a.Priority) })
	tried := make(map[string]bool)
	for _, h := range order {
		if !tried[h.Room.Engine] || now.Sub(h.RoomAt) >= maxRoomAge || h.hasRoom() {
			h.Room, h.RoomAt = engines.Room(h), now
		}
		if h.hasRoom() && h.Deadline.After(now) {
			q.release(now, h, engines)
			return
		}
		tried[h.Room.Engine] = true
	}
}

func (q *Queue) release(now time.Time, h *Held, engines Engines) {
	sent := engines.Release(h)
	q.Remove(h)
	if sent {
		q.releases++
		q.sent(now, h.Request)
	}
}

// refuse removes a request and returns its refusal. Its caller goes before others of its account and
// priority when it returns within the stated time.
func (q *Queue) refuse(now time.Time, h *Held, kind Kind, reason string) Refused {
	after := q.retryAfter(now, h)
	err := refuse(kind, reason, after)
	if kind != KindStopping {
		q.returns.add(now, h.Caller, min(max(after, minRetryAfter), maxRetryAfter))
	}
	q.Remove(h)
	return Refused{Held: h, Kind: kind, Err: err}
}

// retryAfter predicts when there is room for a request of the account: once the engine's queue and the held
// requests before it have been worked off and, for an account above its share, once its use has decayed
// to its share.
func (q *Queue) retryAfter(now time.Time, h *Held) time.Duration {
	wait := h.Predicted - h.Room.Own - h.limit()
	if s := q.Standing(now, h.Account); s.Above() {
		wait = max(wait, time.Duration(math.Log(s.Use/s.Share)*float64(useWindow)))
	}
	return wait
}

// predict returns the expected time to the first token of a held request, with the tokens of held requests
// of its priority that go first at its engine. The rate is what this instance sent lately: after a lull it is far below what
// engines can do, so the prediction serves for retry delays and logs only, never for a refusal.
func (q *Queue) predict(now time.Time, h *Held, ahead float64) time.Duration {
	held := time.Duration(0)
	if rate := q.rate(now, h.Priority); rate > 0 {
		held = time.Duration(ahead / rate * float64(time.Second))
	}
	return max(held+min(h.Room.Queue, h.limit()), h.Room.Queue) + h.Room.Own
}

// rate returns the tokens of a priority that are sent per second, at least the part that the least urgent
// ones get; 0 if unknown.
func (q *Queue) rate(now time.Time, priority int) float64 {
	measured := now.Sub(q.since)
	if q.since.IsZero() || measured < minRateTime {
		return 0
	}
	total := 0.0
	for _, d := range q.rates {
		total += d.on(now)
	}
	seconds := useWindow.Seconds() * (1 - math.Exp(-measured.Seconds()/useWindow.Seconds()))
	return max(q.rates[priority].on(now), total/leastUrgentTurn) / seconds
}

// waiting returns the tokens of held requests by account.
func (q *Queue) waiting() map[string]int {
	waiting := make(map[string]int)
	for _, h := range q.held {
		waiting[h.Account] += h.Tokens
	}
	return waiting
}

// rank is the place of a request in the order.
type rank struct {
	// starved is set for accounts that get much less than their fair share and of which a request has been held
	// for its limit: they go before all others, whatever their priority, so that no demand of others keeps
	// them from half of their share. Use alone is no evidence: with many accounts, nearly all of them have used
	// much less than their share at any time.
	starved bool
	// above is set for accounts that get their fair share or more.
	above    bool
	standing Standing
	deadline time.Time
}

// order returns the held requests in the order of release.
func (q *Queue) order(now time.Time) []*Held {
	standings := q.shares.Standings(now, q.waiting())
	type group struct {
		account  string
		priority int
	}
	earliest := make(map[group]time.Time)
	maps.DeleteFunc(q.starved, func(account string, _ bool) bool { return !standings[account].starved() })
	for _, h := range q.held {
		if now.Sub(h.Since) >= h.limit() && standings[h.Account].starved() {
			q.starved[h.Account] = true
		}
		g := group{h.Account, h.Priority}
		if at, ok := earliest[g]; !ok || h.Deadline.Before(at) {
			earliest[g] = h.Deadline
		}
	}
	for _, h := range q.held {
		s := standings[h.Account]
		h.rank = rank{starved: q.starved[h.Account], above: s.Above(), standing: s, deadline: h.Deadline}
		if h.returned {
			// A caller that came back goes before all others of its account and priority.
			h.rank.deadline = earliest[group{h.Account, h.Priority}]
		}
	}
	order := slices.Clone(q.held)
	slices.SortStableFunc(order, compare)
	return order
}

// compare orders two held requests.
func compare(a, b *Held) int {
	return cmp.Or(
		falseFirst(!a.rank.starved, !b.rank.starved),
		cmp.Compare(a.Priority, b.Priority),
		falseFirst(a.rank.above, b.rank.above),
		a.rank.deadline.Compare(b.rank.deadline),
		falseFirst(!a.returned, !b.returned),
		a.Since.Compare(b.Since),
	)
}

// keepOrder returns the order in which held requests are kept if too many are held. Those with which an account
// still gets much less than its share are kept first, even if none was held for its limit yet: otherwise the more
// urgent ones of other accounts would keep them from ever being held that long.
func (q *Queue) keepOrder(now time.Time) []*Held {
	order := q.order(now)
	ahead, below := make(map[string]int), make(map[*Held]bool, len(order))
	for _, h := range order {
		s := h.rank.standing
		s.Use += float64(ahead[h.Account])
		ahead[h.Account] += h.Tokens
		below[h] = s.starved()
	}
	slices.SortStableFunc(order, func(a, b *Held) int { return falseFirst(!below[a], !below[b]) })
	return order
}

func falseFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// sendNow reports whether a held request is sent now: there is room, or it has to be sent to be in time. For a
// starved account any free slot is room, since queues at the engines are then long because of others, unless it is
// too late there.
func (h *Held) sendNow(now time.Time, waits blocked) bool {
	return h.Deadline.After(now) && (h.tooLarge() || !waits.holds(h) && h.hasRoom() ||
		!h.hopeless(now, h.Room) && (h.due(now, h.Room, h.rank.above) || !waits.holds(h) && h.rank.starved && !h.Room.Full))
}

// hasRoom reports whether there is room for a held request.
func (h *Held) hasRoom() bool {
	return h.Fits(h.Room) || !h.rank.above && !h.Room.Full && h.Room.Queue <= h.belowShareLimit()
}

// blocked holds the engines for which a request is held. Later ones in the order wait there too, except that
// accounts above their share do not keep those below it waiting. Engines run prefills by rank: one that would
// start at once at an engine with a free slot doesn't wait for another.
type blocked struct{ below, above map[string]bool }

func (b blocked) add(h *Held) {
	if h.rank.above {
		b.above[h.Room.Engine] = true
		return
	}
	b.below[h.Room.Engine] = true
}

func (b blocked) holds(h *Held) bool {
	if h.Room.Queue == 0 && !h.Room.Full {
		return false
	}
	return b.below[h.Room.Engine] || h.rank.above && b.above[h.Room.Engine]
}
