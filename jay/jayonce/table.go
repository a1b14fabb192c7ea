package jayonce

import "time"

// Run states whether the work of a key ran.
type Run string

// Values of Run. RunNot is final: the work of the key never runs afterwards.
const (
	RunDone    Run = "done"
	RunNot     Run = "not-run"
	RunUnknown Run = "unknown"
)

// Phase is the progress of a key's work.
type Phase string

// Phases of a key.
const (
	PhaseReceived Phase = "received"
	PhaseSent     Phase = "sent"
	PhaseSettled  Phase = "settled"
)

// Key identifies work: the caller's account and its idempotency key.
type Key struct {
	Caller string `msgpack:"c"`
	Key    string `msgpack:"k"`
}

// Outcome is the answer to an attempt: whether the work of its key ran, and the response.
type Outcome struct {
	Run         Run    `msgpack:"r"`
	Status      int    `msgpack:"s"`
	ContentType string `msgpack:"t"`
	Body        []byte `msgpack:"b"`
	// Reason explains why the work did not run or why that is unknown.
	Reason string `msgpack:"m"`
}

// Entry is the state of a key at its home.
type Entry struct {
	phase   Phase
	expires time.Time
	outcome Outcome
	done    chan struct{}
	// sends is the number of times that the work was sent to an upstream.
	sends int
}

// Done is closed when the outcome is settled.
func (e *Entry) Done() <-chan struct{} {
	return e.done
}

// Outcome returns the final result. It must be called only once Done is closed.
func (e *Entry) Outcome() Outcome {
	return e.outcome
}

// Action is the next action of an attempt, as decided by the table.
type Action string

// Actions of an attempt.
const (
	// ActionRun makes the attempt the one that runs the work.
	ActionRun Action = "run"
	// ActionWait makes the attempt wait for the entry's outcome.
	ActionWait Action = "wait"
	// ActionReject rejects the attempt since the table is full; the key is not registered.
	ActionReject Action = "full"
	// ActionStop rejects the attempt since the home stops.
	ActionStop Action = "stop"
)

// Table holds the state of the keys of one home. Its methods are called by one task.
type Table struct {
	entries           map[Key]*Entry
	limit             int
	lifetime          time.Duration
	onInvariantBroken func(invariant string)
}

// NewTable returns a table of at most limit keys, each kept for lifetime.
// It calls onInvariantBroken where an invariant would be broken.
func NewTable(limit int, lifetime time.Duration, onInvariantBroken func(invariant string)) *Table {
	return &Table{entries: make(map[Key]*Entry), limit: limit, lifetime: lifetime, onInvariantBroken: onInvariantBroken}
}

// Begin registers an attempt. The first attempt of a key gets ActionRun, all others ActionWait.
func (t *Table) Begin(now time.Time, key Key) (Action, *Entry) {
	if entry, ok := t.entries[key]; ok {
		return ActionWait, entry
	}
	if len(t.entries) >= t.limit {
		return ActionReject, nil
	}
	entry := &Entry{phase: PhaseReceived, expires: now.Add(t.lifetime), done: make(chan struct{})}
	t.entries[key] = entry
	return ActionRun, entry
}

// Expire removes settled keys whose tickets can no longer be used.
func (t *Table) Expire(now time.Time) {
	for key, entry := range t.entries {
		if entry.phase == PhaseSettled && now.After(entry.expires) {
			delete(t.entries, key)
		}
	}
}

// MarkSent reports whether the work may be sent to an upstream now, and marks
// it as sent. It must be called before the first byte is sent; it returns true
// once per key, unless UnmarkSent follows.
func (t *Table) MarkSent(key Key) bool {
	entry, ok := t.entries[key]
	if !ok || entry.phase != PhaseReceived {
		return false
	}
	entry.phase = PhaseSent
	entry.sends++
	if entry.sends > 1 {
		t.onInvariantBroken("once: work sent twice")
	}
	return true
}

// Settle records the outcome of a key. RunNot is accepted only for work that was
// not sent to an upstream, or whose connection was never established.
func (t *Table) Settle(key Key, outcome Outcome) {
	entry, ok := t.entries[key]
	if !ok || entry.phase == PhaseSettled {
		return
	}
	if outcome.Run == RunNot && entry.phase == PhaseSent {
		t.onInvariantBroken("once: not-run reported for sent work")
		outcome.Run = RunUnknown
	}
	entry.phase = PhaseSettled
	entry.outcome = outcome
	close(entry.done)
}

// Size returns the number of keys kept.
func (t *Table) Size() int {
	return len(t.entries)
}

// UnmarkSent undoes MarkSent where no connection was established, so that no byte was sent.
func (t *Table) UnmarkSent(key Key) {
	entry, ok := t.entries[key]
	if !ok || entry.phase != PhaseSent {
		return
	}
	entry.phase = PhaseReceived
	entry.sends--
}

// Outcomes returns every settled key with its outcome.
func (t *Table) Outcomes() []KeyOutcome {
	var list []KeyOutcome
	for key, entry := range t.entries {
		if entry.phase == PhaseSettled {
			list = append(list, KeyOutcome{Key: key, Outcome: entry.outcome})
		}
	}
	return list
}

// Phase returns the phase of a key, or "" for a key that the table does not hold.
func (t *Table) Phase(key Key) Phase {
	entry, ok := t.entries[key]
	if !ok {
		return ""
	}
	return entry.phase
}
