package jayduty

import (
	"jayfield.example/jay/jaystore"
	"math"
	"time"
)

const (
	// ClaimMargin is added to the lease time before a claim, to allow for clocks that run at different rates.
	ClaimMargin = 500 * time.Millisecond
	// ReadInterval is the time between two reads of the topic by a candidate.
	ReadInterval = time.Second
	// renewDivisor sets when a renewal is due: after 1/renewDivisor of the lease time. Two renewals may fail
	// before calls that take a second have to stop.
	renewDivisor = 4
	// barFactor is for how many lease times an instance is no candidate after a call was fenced.
	barFactor = 2
	// never is later than any time of the clock.
	never = time.Duration(math.MaxInt64)
	// start is the position before the topic has been read.
	start = -1
	// kindMalformed is the kind of a record that cannot be decoded.
	kindMalformed Kind = "malformed"
)

// Options configures a Machine.
type Options struct {
	// Machine is the name of the instance's machine, Incarnation its process.
	Machine, Incarnation string
	// TTL is the lease time, and the waiting time after a claim.
	TTL time.Duration
	// Nonce returns a string that no other append has.
	Nonce func() string
}

// Action is what to do next.
type Action string

// Actions.
const (
	// ActionWait means that nothing is to be done before Step.At.
	ActionWait Action = "wait"
	// ActionNewest means to read the newest record of the topic, ActionRead the records from Step.At on.
	ActionNewest Action = "newest"
	ActionRead   Action = "read"
	// ActionAppend means to append a record on the condition that the topic ends at Step.End.
	ActionAppend Action = "append"
)

// Step is the next action and its arguments.
type Step struct {
	Action Action
	// Until is the end of a wait.
	Until time.Duration
	// End is the offset at which a read begins or at which the topic has to end for an append.
	End    jaystore.Position
	Record Record
}

// Result is the result of an append.
type Result string

// Results of appends.
const (
	ResultDone Result = "done"
	// ResultConflict means that the topic had other records. The append has no effect, unless it was sent
	// twice.
	ResultConflict Result = "conflict"
	// ResultUnknown means that there was no answer. The append may take effect later, as long as the topic
	// has no other records.
	ResultUnknown Result = "unknown"
)

// Machine is the state machine of one instance. It is not safe for concurrent use. Times are of a clock that
// also counts the suspension of the machine.
type Machine struct {
	Options
	// position is the offset to read next.
	position jaystore.Position
	// readAt is when the topic was last read, and doubt is set if the next step has to be a read, since an
	// append had a conflict or no answer.
	readAt time.Duration
	doubt  bool
	// newest is the newest record, of no kind if there is none, and seenAt is when it was first read.
	newest Record
	seenAt time.Duration
	lease  Lease
	// pending is the newest append, and sentAt is when it was sent.
	pending Record
	sentAt  time.Duration
	// barredUntil is the end of the time without claims after a call was fenced.
	barredUntil time.Duration
	// resigned is set while a claim is to be released after a call was fenced, stopping once Stop is called.
	resigned, stopping bool
}

// NewMachine returns the machine of an instance that has not read the topic yet.
func NewMachine(options Options) *Machine {
	return &Machine{Options: options, position: start}
}

// Lease returns the lease of the instance.
func (m *Machine) Lease() Lease {
	return m.lease
}

// Newest returns the newest record that was read, of no kind if there is none.
func (m *Machine) Newest() Record {
	return m.newest
}

// Next returns the next step. An instance that is no candidate only renews or releases its lease.
func (m *Machine) Next(now time.Duration, candidate bool) Step {
	if m.formerLease() && m.lease.Remaining(now) == 0 {
		m.lease = Lease{}
	}
	switch {
	case m.doubt:
		return m.read()
	case m.owesRelease():
		return m.append(now, KindRelease)
	case m.stopping:
		return wait(never)
	case m.lease.Fence != 0:
		return m.renew(now)
	case now < m.barredUntil:
		return wait(m.barredUntil)
	case !candidate:
		return wait(never)
	case m.position == start:
		return m.read()
	case now-m.readAt >= ReadInterval:
		return m.read()
	case m.claimable(now):
		return m.append(now, KindClaim)
	}
	return wait(min(m.readAt+ReadInterval, m.seenAt+m.TTL+ClaimMargin))
}

// ApplyNewest processes the newest record of each key of the topic, read with its end offset.
func (m *Machine) ApplyNewest(now time.Duration, records []jaystore.Record, end jaystore.Position) {
	found := false
	m.position, m.readAt, m.doubt = end, now, false
	for _, r := range records {
		if r.Key == Key {
			found = true
			m.apply(now, r)
			// The end offset may have been read later than the record.
			m.position = r.Position + 1
		}
	}
	switch {
	case found:
	case end.Era() > 0:
		m.applyRecord(now, Record{Kind: KindFormer}, end)
	default:
		m.applyRecord(now, Record{}, start)
	}
}

// ApplyRead processes the records read from the offset of the step on, and the offset after them.
func (m *Machine) ApplyRead(now time.Duration, records []jaystore.Record, next jaystore.Position) {
	if next < m.position {
		m.Restart()
		return
	}
	for _, r := range records {
		if r.Key == Key && r.Position >= m.position {
			m.apply(now, r)
		}
	}
	m.position, m.readAt, m.doubt = next, now, false
}

// Restart makes the next read begin anew, since the records at the position have expired.
func (m *Machine) Restart() {
	m.position = start
}

// Appended processes the result of the append of the last step.
func (m *Machine) Appended(now time.Duration, result Result) {
	if result != ResultDone {
		m.doubt = true
		return
	}
	offset := m.position
	m.position++
	m.applyRecord(now, m.pending, offset)
	m.readAt = now
}

// Fenced ends the lease if its fencing token is not above the given one, which the control API refused, and
// reports whether it did.
func (m *Machine) Fenced(now time.Duration, fence int64) bool {
	if m.lease.Fence == 0 || m.lease.Fence > fence {
		return false
	}
	m.lease, m.resigned = Lease{}, true
	m.barredUntil = now + barFactor*m.TTL
	return true
}

// Stop ends the lease, which the next steps release, and reports whether this is the first call.
func (m *Machine) Stop() bool {
	first := !m.stopping
	m.lease, m.stopping = Lease{}, true
	return first
}

// Released reports whether nothing is to be appended after Stop.
func (m *Machine) Released() bool {
	return m.stopping && !m.doubt && !m.owesRelease()
}

// claimable reports whether no lease can be valid: the topic never had a record, the newest record releases
// the lease, or it is old enough. A topic that is empty in a later era may have had records.
func (m *Machine) claimable(now time.Duration) bool {
	return m.position == 0 || m.newest.Kind == KindRelease || now-m.seenAt >= m.TTL+ClaimMargin
}

// fenceOf returns the fencing token of a claim at a position. That of a later claim is higher, also where the store has come back
// from a copy that lacks the claim before it.
func fenceOf(position jaystore.Position) int64 {
	return int64(position) + 1
}

// eraOf returns the era of the claim that has a fencing token.
func eraOf(fence int64) int64 {
	return jaystore.Position(fence - 1).Era()
}

// formerLease reports whether the instance's lease was claimed in a former era of the store. It is not renewed: others may have
// claimed since, and a renewal may be in the log by accident. It holds until its end, since nobody else claims in the
// new era before then, and so the instance itself may claim at once.
func (m *Machine) formerLease() bool {
	return m.lease.Fence != 0 && m.position != start && eraOf(m.lease.Fence) < m.position.Era()
}

// actsFrom returns when the holder of a claim at a position may begin to call the control API: calls of a former
// holder may arrive until then. The first record of the topic has none before it.
func (m *Machine) actsFrom(now time.Duration, position jaystore.Position) time.Duration {
	if position == 0 {
		return now
	}
	return now + m.TTL
}

// owesRelease reports whether the instance has to release its claim.
func (m *Machine) owesRelease() bool {
	return (m.stopping || m.resigned) && m.own() && m.newest.Kind != KindRelease
}

// own reports whether the newest record is the instance's own.
func (m *Machine) own() bool {
	return m.newest.Incarnation == m.Incarnation
}

func (m *Machine) renew(now time.Duration) Step {
	if m.formerLease() {
		return m.append(now, KindClaim)
	}
	if due := m.lease.ExpiresAt - m.TTL + m.TTL/renewDivisor; now < due {
		return wait(due)
	}
	return m.append(now, KindRenew)
}

func (m *Machine) read() Step {
	if m.position == start {
		return Step{Action: ActionNewest}
	}
	return Step{Action: ActionRead, End: m.position}
}

func (m *Machine) append(now time.Duration, kind Kind) Step {
	fence := m.newest.Fence
	if kind == KindClaim {
		fence = fenceOf(m.position)
	}
	m.pending = Record{Kind: kind, Machine: m.Machine, Incarnation: m.Incarnation, Fence: fence, Nonce: m.Nonce()}
	m.sentAt = now
	return Step{Action: ActionAppend, End: m.position, Record: m.pending}
}

func wait(until time.Duration) Step {
	return Step{Action: ActionWait, Until: until}
}

// apply processes a record of the topic. A record that cannot be decoded counts as another instance's. One that was written
// under a token of a former era shows only that there may be a lease: newer records may have been lost, and its writer may
// not have read those before it.
func (m *Machine) apply(now time.Duration, r jaystore.Record) {
	record, err := Decode(r.Value)
	switch {
	case err != nil:
		record = Record{Kind: kindMalformed}
	case eraOf(record.Fence) < r.Position.Era():
		record = Record{Kind: KindFormer}
	}
	m.applyRecord(now, record, r.Position)
}

func (m *Machine) applyRecord(now time.Duration, record Record, position jaystore.Position) {
	m.newest, m.seenAt = record, now
	switch {
	case record.Kind == KindFormer:
		m.resigned = false
		// In the era of the lease, the record came late and may hide a claim.
		if eraOf(m.lease.Fence) >= position.Era() {
			m.lease = Lease{}
		}
		return
	case !m.own() || record.Kind == KindRelease:
		m.lease, m.resigned = Lease{}, false
	case m.stopping || m.resigned:
		return
	case record.Kind == KindClaim && m.lease.Fence != fenceOf(position):
		m.lease = Lease{Fence: fenceOf(position), ActsFrom: m.actsFrom(now, position)}
	}
	// The lease of an older append whose effect came late has run from before its own send, which is no
	// longer known: it is left as it is and renewed at once.
	if m.lease.Fence != 0 && record.Nonce == m.pending.Nonce {
		m.lease.ExpiresAt = m.sentAt + m.TTL
	}
}
