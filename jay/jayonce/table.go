package jayonce

import "time"

// Run tells what is known about the work of a key.
type Run string

// Answers about a key's work. RunNot is final: the key never runs afterwards.
const (
	RunDone    Run = "done"
	RunNot     Run = "not-run"
	RunUnknown Run = "unknown"
)

// Phase is how far the work of a key has come.
type Phase string

// Phases of a key.
const (
	PhaseReceived Phase = "received"
	PhaseSent     Phase = "sent"
	PhaseSettled  Phase = "settled"
)

// Key identifies the work: the caller's account and its idempotency key.
type Key struct {
	Caller string `msgpack:"c"`
	Key    string `msgpack:"k"`
}

// Outcome is the settled answer of a key.
type Outcome struct {
	Run    Run    `msgpack:"r"`
	Status int    `msgpack:"s"`
	Type   string `msgpack:"t"`
	Body   []byte `msgpack:"b"`
	// Reason says why work did not run or is unknown.
	Reason string `msgpack:"m"`
}

// Entry is the state of a key at its home.
type Entry struct {
	phase   Phase
	expires time.Time
	outcome Outcome
	done    chan struct{}
	// sends counts how often the work was handed to an upstream.
	sends int
}

// Done is closed when the outcome is settled.
func (e *Entry) Done() <-chan struct{} {
	return e.done
}

// Outcome returns the settled answer; call it after Done only.
func (e *Entry) Outcome() Outcome {
	return e.outcome
}

// Step is what the table tells an attempt to do.
type Step string

// Steps of an attempt.
const (
	// StepRun makes the attempt the one that runs the work.
	StepRun Step = "run"
	// StepWait lets the attempt wait for the entry's outcome.
	StepWait Step = "wait"
	// StepFull refuses the attempt; the key is unchanged.
	StepFull Step = "full"
)

// Table is the state of the keys of one home. Its methods are called by one task.
type Table struct {
	entries map[Key]*Entry
	limit   int
	life    time.Duration
	breach  func(rule string)
}

// NewTable returns a table of at most limit keys, each kept for life.
// It calls breach where one of its rules would be broken.
func NewTable(limit int, life time.Duration, breach func(rule string)) *Table {
	return &Table{entries: make(map[Key]*Entry), limit: limit, life: life, breach: breach}
}

// Begin registers an attempt. The first attempt of a key gets StepRun, all others StepWait.
func (t *Table) Begin(now time.Time, key Key) (Step, *Entry) {
	if entry, ok := t.entries[key]; ok {
		return StepWait, entry
	}
	if len(t.entries) >= t.limit {
		return StepFull, nil
	}
	entry := &Entry{phase: PhaseReceived, expires: now.Add(t.life), done: make(chan struct{})}
	t.entries[key] = entry
	return StepRun, entry
}

// Expire forgets settled keys whose tickets can no longer be used.
func (t *Table) Expire(now time.Time) {
	for key, entry := range t.entries {
		if entry.phase == PhaseSettled && now.After(entry.expires) {
			delete(t.entries, key)
		}
	}
}

// Sent allows the work to be handed to an upstream now. It must be called
// before the first byte is sent and allows it once only.
func (t *Table) Sent(key Key) bool {
	entry, ok := t.entries[key]
	if !ok || entry.phase != PhaseReceived {
		return false
	}
	entry.phase = PhaseSent
	entry.sends++
	if entry.sends > 1 {
		t.breach("once: work sent twice")
	}
	return true
}

// Settle records the answer of a key. RunNot is accepted only for work that was
// not handed to an upstream, or whose connection was never made.
func (t *Table) Settle(key Key, outcome Outcome) {
	entry, ok := t.entries[key]
	if !ok || entry.phase == PhaseSettled {
		return
	}
	if outcome.Run == RunNot && entry.phase == PhaseSent {
		t.breach("once: not-run said of sent work")
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

// Unsent takes Sent back: the connection was never made, so no byte left.
func (t *Table) Unsent(key Key) {
	entry, ok := t.entries[key]
	if !ok || entry.phase != PhaseSent {
		return
	}
	entry.phase = PhaseReceived
	entry.sends--
}

// Settled returns the outcome of a key that is settled.
func (t *Table) Settled(key Key) (Outcome, bool) {
	entry, ok := t.entries[key]
	if !ok || entry.phase != PhaseSettled {
		return Outcome{}, false
	}
	return entry.outcome, true
}

// Outcomes returns every settled key with its outcome.
func (t *Table) Outcomes() []Recorded {
	var list []Recorded
	for key, entry := range t.entries {
		if entry.phase == PhaseSettled {
			list = append(list, Recorded{Key: key, Outcome: entry.outcome})
		}
	}
	return list
}

// Phase returns how far the work of a key has come, or "" for an unknown key.
func (t *Table) Phase(key Key) Phase {
	entry, ok := t.entries[key]
	if !ok {
		return ""
	}
	return entry.phase
}
