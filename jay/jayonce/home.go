package jayonce

import (
	"context"
	"time"

	"jayfield.example/jay/jayerror"
	"jayfield.example/jay/jaylog"
	"jayfield.example/jay/jaytask"
)

const (
	// DefaultTableLimit bounds the keys that a home keeps.
	DefaultTableLimit = 200_000
	expirePeriod      = time.Second
)

// Call is work that runs at most once.
type Call struct {
	Key     Key    `msgpack:"k"`
	Request string `msgpack:"id"`
	Service string `msgpack:"s"`
	Method  string `msgpack:"m"`
	// Path is the path at the upstream with its query.
	Path string `msgpack:"p"`
	Type string `msgpack:"t"`
	Body []byte `msgpack:"b"`
	// Left is the time that the caller still waits. It travels as a
	// duration, since the clocks of two instances differ.
	Left   time.Duration `msgpack:"l"`
	Region string        `msgpack:"r"`
	// Intent marks a key without a ticket, whose home the log decided.
	Intent bool `msgpack:"i"`
}

// Gate lets work out to an upstream once.
type Gate interface {
	// Sent must be called right before the first byte is sent; false forbids to send.
	Sent() bool
	// Unsent takes Sent back where no connection was made.
	Unsent()
}

// Worker does the work of a call.
type Worker interface {
	// Work sends the call through the gate and returns its outcome. The
	// context ends when the caller is gone or its time has run out; work
	// that was sent goes on without it.
	Work(ctx context.Context, call Call, gate Gate) Outcome
}

// Home runs the keys of one incarnation. It is safe for concurrent use.
type Home struct {
	issuer *Issuer
	owner  *jaytask.Owner[homeState]
	worker Worker
	record func(Recorded)
}

// homeState is what the home's task owns.
type homeState struct {
	table   *Table
	archive *Archive
	intents *Intents
	// current is set while the stream has been read to its end.
	current bool
}

// Size tells how many keys and outcomes a home keeps.
type Size struct {
	Keys     int `json:"keys"`
	Archived int `json:"archived"`
	Intents  int `json:"intents"`
}

// NewHome starts a home. It hands each outcome of work that was sent to record.
func NewHome(issuer *Issuer, worker Worker, record func(Recorded), breach func(rule string)) *Home {
	s := &homeState{
		table:   NewTable(DefaultTableLimit, issuer.Life(), breach),
		archive: NewArchive(DefaultTableLimit, issuer.Life()),
		intents: NewIntents(DefaultTableLimit),
	}
	tick := func(s *homeState, _ time.Time) {
		s.table.Expire(time.Now())
		s.archive.Expire(time.Now())
	}
	return &Home{issuer: issuer, owner: jaytask.NewOwner(s, expirePeriod, tick), worker: worker, record: record}
}

// Do runs a call or waits for the attempt that does, and returns what is known
// when the work is settled, the caller is gone or its time has run out.
func (h *Home) Do(ctx context.Context, call Call) Outcome {
	ctx, cancel := context.WithTimeout(ctx, call.Left)
	defer cancel()
	if call.Intent {
		h.awaitIntent(ctx, call.Key)
	}
	step, entry, err := h.begin(ctx, call)
	if err != nil {
		return refusal(err)
	}
	switch step {
	case StepFull:
		return Outcome{Run: RunUnknown, Reason: "home is full"}
	case StepRun:
		go h.run(ctx, call)
	case StepWait:
	}
	select {
	case <-entry.Done():
		return entry.Outcome()
	case <-ctx.Done():
		return h.giveUp(call.Key, step, entry)
	case <-h.owner.Done():
		return Outcome{Run: RunUnknown, Reason: "home stops"}
	}
}

// Done is closed when the home has stopped.
func (h *Home) Done() <-chan struct{} {
	return h.owner.Done()
}

// Behind tells the home that the stream cannot be read.
func (h *Home) Behind() {
	_ = h.owner.Tell(context.Background(), func(s *homeState) { s.current = false })
}

// Incarnation returns the incarnation whose keys the home runs.
func (h *Home) Incarnation() string {
	return h.issuer.incarnation
}

// Issue returns a fresh ticket for a caller.
func (h *Home) Issue(caller string) string {
	return h.issuer.Issue(time.Now(), caller)
}

// Learn keeps an outcome of another incarnation.
func (h *Home) Learn(recorded Recorded) {
	_ = h.owner.Tell(context.Background(), func(s *homeState) { s.archive.Add(time.Now(), recorded) })
}

// Lookup returns what is recorded of a key whose home cannot be asked.
func (h *Home) Lookup(ctx context.Context, key Key) Outcome {
	if outcome, ok := h.Recorded(ctx, key); ok {
		return outcome
	}
	return Outcome{Run: RunUnknown, Reason: "home of the key is gone and recorded no outcome"}
}

// Outcomes returns every settled key, to be handed over before a stop.
func (h *Home) Outcomes(ctx context.Context) []Recorded {
	var list []Recorded
	_ = h.owner.Ask(ctx, func(s *homeState) { list = s.table.Outcomes() })
	return list
}

// Size returns how much the home keeps.
func (h *Home) Size(ctx context.Context) Size {
	var size Size
	_ = h.owner.Ask(ctx, func(s *homeState) {
		size = Size{Keys: s.table.Size(), Archived: s.archive.Size(), Intents: s.intents.Size()}
	})
	return size
}

// Read takes in what the stream says of keys.
func (h *Home) Read(batch jaylog.Batch) {
	_ = h.owner.Ask(context.Background(), func(s *homeState) {
		now := time.Now()
		for _, entry := range batch.Entries {
			decodeEntry(entry, s.intents.Add, func(r Recorded) { s.archive.Add(now, r) })
		}
		last := len(batch.Entries) - 1
		s.current = last < 0 || batch.Entries[last].Offset+1 >= batch.End
	})
}

// Recorded returns the outcome that another incarnation has recorded of a key.
func (h *Home) Recorded(ctx context.Context, key Key) (outcome Outcome, ok bool) {
	_ = h.owner.Ask(ctx, func(s *homeState) { outcome, ok = s.archive.Lookup(key) })
	return outcome, ok
}

// Stop ends the home's task.
func (h *Home) Stop() {
	h.owner.Stop()
}

// TicketLife returns how long a ticket may be used.
func (h *Home) TicketLife() time.Duration {
	return h.issuer.Life()
}

// Winner returns the home of a key without a ticket, if the log has decided it
// and has been read to its end.
func (h *Home) Winner(ctx context.Context, key Key) (home string, ok bool) {
	_ = h.owner.Ask(ctx, func(s *homeState) {
		home, ok = s.intents.Home(key)
		ok = ok && s.current
	})
	return home, ok
}

// awaitIntent waits until the home has read the intent of a key: the instance
// that sends the call may have read the log further.
func (h *Home) awaitIntent(ctx context.Context, key Key) {
	known := false
	for !known {
		err := h.owner.Ask(ctx, func(s *homeState) {
			_, known = s.intents.Home(key)
			known = known || s.table.Phase(key) != ""
		})
		if err != nil || known {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(winnerPoll):
		}
	}
}

// begin checks the ticket and registers the attempt at one instant, so that a
// key cannot be forgotten between the two.
func (h *Home) begin(ctx context.Context, call Call) (step Step, entry *Entry, err error) {
	asked := h.owner.Ask(ctx, func(s *homeState) {
		now := time.Now()
		if s.table.Phase(call.Key) == "" {
			if err = h.admit(s, now, call); err != nil {
				return
			}
		}
		step, entry = s.table.Begin(now, call.Key)
	})
	if asked != nil {
		return StepFull, nil, nil
	}
	return step, entry, err
}

// giveUp settles work that was not sent yet as not run; sent work stays unknown to this caller.
func (h *Home) giveUp(key Key, step Step, entry *Entry) Outcome {
	unknown := Outcome{Run: RunUnknown, Reason: "time ran out while the work was under way; ask again with the same key"}
	if step != StepRun {
		return unknown
	}
	h.settle(key, Outcome{Run: RunNot, Reason: "time ran out before the work was sent"}, PhaseReceived)
	select {
	case <-entry.Done():
		return entry.Outcome()
	default:
		return unknown
	}
}

func (h *Home) run(ctx context.Context, call Call) {
	gate := &homeGate{home: h, key: call.Key, ctx: ctx}
	outcome := h.worker.Work(ctx, call, gate)
	h.settle(call.Key, outcome, "")
	if gate.out && outcome.Run != RunNot {
		h.record(Recorded{Key: call.Key, Outcome: outcome})
	}
}

// settle records an outcome, only in the given phase unless that is empty.
func (h *Home) settle(key Key, outcome Outcome, only Phase) {
	_ = h.owner.Ask(context.Background(), func(s *homeState) {
		if only == "" || s.table.Phase(key) == only {
			s.table.Settle(key, outcome)
		}
	})
}

// homeGate is the gate of one attempt.
type homeGate struct {
	home *Home
	key  Key
	ctx  context.Context //nolint:containedctx // It bounds the one attempt that the gate belongs to.
	out  bool
}

// Sent allows the work out if its caller still waits and nothing was sent before.
func (g *homeGate) Sent() bool {
	allowed := false
	_ = g.home.owner.Ask(context.Background(), func(s *homeState) {
		allowed = g.ctx.Err() == nil && s.table.Sent(g.key)
	})
	g.out = allowed
	return allowed
}

// Unsent takes Sent back.
func (g *homeGate) Unsent() {
	_ = g.home.owner.Ask(context.Background(), func(s *homeState) { s.table.Unsent(g.key) })
	g.out = false
}

// admit allows a key that the table does not hold to begin here.
func (h *Home) admit(s *homeState, now time.Time, call Call) error {
	if !call.Intent {
		return h.issuer.Check(now, call.Key.Caller, call.Key.Key)
	}
	if s.table.Size() >= DefaultTableLimit || !s.intents.Begin(call.Key, h.issuer.incarnation) {
		return jayerror.New("admit", KindExpired, "key was begun before")
	}
	return nil
}

// refusal is the outcome of a key that its ticket does not allow.
func refusal(err error) Outcome {
	switch {
	case jayerror.Is(err, KindExpired):
		return Outcome{Run: RunUnknown, Reason: "ticket is too old; its work may have run"}
	case jayerror.Is(err, KindForeign):
		return Outcome{Run: RunUnknown, Reason: "ticket belongs to another instance"}
	default:
		return Outcome{Run: RunNot, Reason: "key does not begin with a ticket issued to this caller"}
	}
}
