package jayonce

import (
	"context"
	"time"

	"jayfield.example/jay/jayerror"
	"jayfield.example/jay/jaylog"
	"jayfield.example/jay/jaytask"
)

const (
	// DefaultTableLimit bounds, each on its own, the keys, archived outcomes and intents that a home holds.
	DefaultTableLimit = 200_000
	expirePeriod      = time.Second
)

// Call is a request whose work runs at most once.
type Call struct {
	Key     Key    `msgpack:"k"`
	Request string `msgpack:"id"`
	Service string `msgpack:"s"`
	Method  string `msgpack:"m"`
	// Path is the path at the upstream, including the query.
	Path        string `msgpack:"p"`
	ContentType string `msgpack:"t"`
	Body        []byte `msgpack:"b"`
	// TimeLeft is the remaining time until the caller's deadline. It is sent as a
	// duration, since the clocks of two instances differ.
	TimeLeft time.Duration `msgpack:"l"`
	Region   string        `msgpack:"r"`
	// Intent marks a key without a ticket, whose home was decided by log order.
	Intent bool `msgpack:"i"`
}

// Gate permits the work of a call to be sent to an upstream at most once.
type Gate interface {
	// MarkSent must be called right before the first byte is sent. If it returns false, nothing may be sent.
	MarkSent() bool
	// UnmarkSent undoes MarkSent where no connection was established.
	UnmarkSent()
}

// Worker executes the work of a call.
type Worker interface {
	// Work sends the call through the gate and returns its outcome. The
	// context ends when the caller has disconnected or its deadline has passed;
	// work that was sent continues regardless.
	Work(ctx context.Context, call Call, gate Gate) Outcome
}

// Home runs the work of the keys that belong to one incarnation and holds their state. It is safe for concurrent use.
type Home struct {
	issuer *Issuer
	owner  *jaytask.Owner[homeState]
	worker Worker
	record func(KeyOutcome)
}

// homeState is owned by the home's task.
type homeState struct {
	table   *Table
	archive *Archive
	intents *Intents
	// caughtUp is set while the stream has been read to its end.
	caughtUp bool
}

// Size is the number of keys, archived outcomes and intents that a home holds.
type Size struct {
	Keys     int `json:"keys"`
	Archived int `json:"archived"`
	Intents  int `json:"intents"`
}

// NewHome starts a home. It calls record with each outcome of work that was sent, and
// onInvariantBroken where an invariant would be broken.
func NewHome(issuer *Issuer, worker Worker, record func(KeyOutcome), onInvariantBroken func(invariant string)) *Home {
	s := &homeState{
		table:   NewTable(DefaultTableLimit, issuer.Lifetime(), onInvariantBroken),
		archive: NewArchive(DefaultTableLimit, issuer.Lifetime()),
		intents: NewIntents(DefaultTableLimit),
	}
	tick := func(s *homeState, _ time.Time) {
		s.table.Expire(time.Now())
		s.archive.Expire(time.Now())
	}
	return &Home{issuer: issuer, owner: jaytask.NewOwner(s, expirePeriod, tick), worker: worker, record: record}
}

// Do runs a call, or waits for the attempt that runs it, until the work is settled. If the
// caller disconnects or its deadline passes before that, the outcome is not run where this
// attempt was to run the work and has not sent it, else unknown. It is also unknown where
// the home is full or stops.
func (h *Home) Do(ctx context.Context, call Call) Outcome {
	ctx, cancel := context.WithTimeout(ctx, call.TimeLeft)
	defer cancel()
	if call.Intent {
		h.awaitIntent(ctx, call.Key)
	}
	action, entry, err := h.begin(ctx, call)
	if err != nil {
		return refusal(err)
	}
	switch action {
	case ActionReject:
		return Outcome{Run: RunUnknown, Reason: "home is full"}
	case ActionStop:
		return Outcome{Run: RunUnknown, Reason: "home stops"}
	case ActionRun:
		go h.run(ctx, call)
	case ActionWait:
	}
	select {
	case <-entry.Done():
		return entry.Outcome()
	case <-ctx.Done():
		return h.cancelUnsent(call.Key, action, entry)
	case <-h.owner.Done():
		return Outcome{Run: RunUnknown, Reason: "home stops"}
	}
}

// Done is closed when the home has stopped.
func (h *Home) Done() <-chan struct{} {
	return h.owner.Done()
}

// MarkStale records that the stream cannot be read, so that intents may be missing.
func (h *Home) MarkStale() {
	_ = h.owner.Send(context.Background(), func(s *homeState) { s.caughtUp = false })
}

// Incarnation returns the incarnation whose keys the home runs.
func (h *Home) Incarnation() string {
	return h.issuer.incarnation
}

// Issue returns a new ticket for a caller.
func (h *Home) Issue(caller string) string {
	return h.issuer.Issue(time.Now(), caller)
}

// AddOutcome adds an outcome of another incarnation to the archive.
func (h *Home) AddOutcome(keyOutcome KeyOutcome) {
	_ = h.owner.Send(context.Background(), func(s *homeState) { s.archive.Add(time.Now(), keyOutcome) })
}

// Lookup returns the archived outcome of a key whose home cannot be reached, or one with RunUnknown if there is none.
func (h *Home) Lookup(ctx context.Context, key Key) Outcome {
	if outcome, ok := h.ArchivedOutcome(ctx, key); ok {
		return outcome
	}
	return Outcome{Run: RunUnknown, Reason: "home of the key is gone and recorded no outcome"}
}

// Outcomes returns every settled key with its outcome, to be sent to other instances before a stop.
func (h *Home) Outcomes(ctx context.Context) []KeyOutcome {
	var list []KeyOutcome
	_ = h.owner.Call(ctx, func(s *homeState) { list = s.table.Outcomes() })
	return list
}

// Size returns the number of keys, archived outcomes and intents held.
func (h *Home) Size(ctx context.Context) Size {
	var size Size
	_ = h.owner.Call(ctx, func(s *homeState) {
		size = Size{Keys: s.table.Size(), Archived: s.archive.Size(), Intents: s.intents.Size()}
	})
	return size
}

// Apply applies the intents and outcomes of a batch read from the stream.
func (h *Home) Apply(batch jaylog.Batch) {
	_ = h.owner.Call(context.Background(), func(s *homeState) {
		now := time.Now()
		for _, entry := range batch.Entries {
			decodeEntry(entry, s.intents.Add, func(o KeyOutcome) { s.archive.Add(now, o) })
		}
		last := len(batch.Entries) - 1
		s.caughtUp = last < 0 || batch.Entries[last].Offset+1 >= batch.End
		oldest := batch.Oldest
		if !s.caughtUp {
			oldest = 0 // Later intents of the same keys may not have been read.
		}
		s.intents.Trim(oldest)
	})
}

// ArchivedOutcome returns the archived outcome of a key and whether there is one.
func (h *Home) ArchivedOutcome(ctx context.Context, key Key) (outcome Outcome, ok bool) {
	_ = h.owner.Call(ctx, func(s *homeState) { outcome, ok = s.archive.Lookup(key) })
	return outcome, ok
}

// Stop stops the home's task.
func (h *Home) Stop() {
	h.owner.Stop()
}

// TicketLifetime returns how long a ticket may be used.
func (h *Home) TicketLifetime() time.Duration {
	return h.issuer.Lifetime()
}

// IntentHome returns the home of a key without a ticket, if log order has decided it
// and the log has been read to its end.
func (h *Home) IntentHome(ctx context.Context, key Key) (home string, ok bool) {
	_ = h.owner.Call(ctx, func(s *homeState) {
		home, ok = s.intents.Home(key)
		ok = ok && s.caughtUp
	})
	return home, ok
}

// awaitIntent waits until the home has read the intent of a key: the instance
// that forwards the call may have read further in the log.
func (h *Home) awaitIntent(ctx context.Context, key Key) {
	found := false
	for !found {
		err := h.owner.Call(ctx, func(s *homeState) {
			_, found = s.intents.Home(key)
			found = found || s.table.Phase(key) != ""
		})
		if err != nil || found {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(homePollPeriod):
		}
	}
}

// begin admits the key if it is new and registers the attempt in one message to the task, so that
// the key cannot expire between the two.
func (h *Home) begin(ctx context.Context, call Call) (action Action, entry *Entry, err error) {
	callErr := h.owner.Call(ctx, func(s *homeState) {
		now := time.Now()
		if s.table.Phase(call.Key) == "" {
			if err = h.admit(s, now, call); err != nil {
				return
			}
		}
		action, entry = s.table.Begin(now, call.Key)
	})
	if callErr != nil {
		return ActionStop, nil, nil
	}
	return action, entry, err
}

// cancelUnsent settles work that this attempt has not sent yet as not run. If the work was sent and is not
// settled, or belongs to another attempt, it returns an unknown outcome to this caller.
func (h *Home) cancelUnsent(key Key, action Action, entry *Entry) Outcome {
	unknown := Outcome{Run: RunUnknown, Reason: "time ran out while the work was under way; ask again with the same key"}
	if action != ActionRun {
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
	if gate.sent && outcome.Run != RunNot {
		h.record(KeyOutcome{Key: call.Key, Outcome: outcome})
	}
}

// settle records an outcome. Unless expected is empty, it does so only if the key is in that phase.
func (h *Home) settle(key Key, outcome Outcome, expected Phase) {
	_ = h.owner.Call(context.Background(), func(s *homeState) {
		if expected == "" || s.table.Phase(key) == expected {
			s.table.Settle(key, outcome)
		}
	})
}

// homeGate is the Gate of one attempt.
type homeGate struct {
	home *Home
	key  Key
	ctx  context.Context //nolint:containedctx // It bounds the single attempt that the gate belongs to.
	sent bool
}

// MarkSent allows the work to be sent if its caller still waits and nothing was sent before.
func (g *homeGate) MarkSent() bool {
	allowed := false
	_ = g.home.owner.Call(context.Background(), func(s *homeState) {
		allowed = g.ctx.Err() == nil && s.table.MarkSent(g.key)
	})
	g.sent = allowed
	return allowed
}

// UnmarkSent undoes MarkSent.
func (g *homeGate) UnmarkSent() {
	_ = g.home.owner.Call(context.Background(), func(s *homeState) { s.table.UnmarkSent(g.key) })
	g.sent = false
}

// admit checks whether the work of a key that the table does not hold may begin here.
func (h *Home) admit(s *homeState, now time.Time, call Call) error {
	if !call.Intent {
		return h.issuer.Check(now, call.Key.Caller, call.Key.Key)
	}
	if s.table.Size() >= DefaultTableLimit || !s.intents.Begin(call.Key, h.issuer.incarnation) {
		return jayerror.New("admit", KindExpired, "key was begun before")
	}
	return nil
}

// refusal returns the outcome of a key that was not admitted.
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
