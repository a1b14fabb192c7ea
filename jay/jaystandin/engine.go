package jaystandin

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/uptrace/bunrouter"

	"jayfield.example/jay/jayengine"
	"jayfield.example/jay/jaytask"
)

const (
	// stepPeriod is the time between two steps of the batch.
	stepPeriod = 5 * time.Millisecond
	// resumeGrace is how long work without a reader is kept for a resumed stream.
	resumeGrace = 300 * time.Millisecond
	// prefixBytes is the length of the prompt prefixes that are cached.
	prefixBytes = 512
	// cachedShare is the part of a prompt that a cached prefix saves.
	cachedShare = 0.7
	// importShare is the work of taking in a prompt's KV cache as part of reading the prompt.
	importShare = 0.02
)

// EngineFaults are the ways in which a stand-in engine misbehaves.
type EngineFaults struct {
	// Slow divides the engine's rates; 0 and 1 are full speed.
	Slow float64
	// Lag is how late load reports are.
	Lag time.Duration
	// Leaving refuses new work.
	Leaving bool
	// MuteAfter makes the next stream silent for good after a number of tokens.
	MuteAfter int
	// BreakAfter breaks the next stream's connection after a number of tokens.
	BreakAfter int
	// Cross sends the next stream an event of another request and a repeated one.
	Cross bool
	// Working makes the engine report a request that never ends.
	Working bool
	// CrashInOrder makes the engine start again halfway through the next order.
	CrashInOrder bool
}

// Engine is a stand-in model engine. It is safe for concurrent use.
type Engine struct {
	model  string
	base   Rates
	checks bool
	group  *jaytask.Group

	mu        sync.Mutex
	batch     batch
	sequences map[string]*sequence
	prefixes  map[uint64]time.Time
	faults    EngineFaults
	status    jayengine.Status
	orders    []jayengine.Order
	reports   []moment
	served    int
	cut       int
	cancelled int
}

// moment is a load report with the time at which it was true.
type moment struct {
	at   time.Time
	load jayengine.Load
}

// EngineOption changes an engine at its construction.
type EngineOption func(*Engine)

// NewEngine starts an engine that runs a model.
func NewEngine(model string, rates Rates, options ...EngineOption) *Engine {
	e := &Engine{
		model:     model,
		base:      rates,
		group:     jaytask.NewGroup(),
		sequences: make(map[string]*sequence),
		prefixes:  make(map[uint64]time.Time),
		status:    jayengine.Status{Boot: uuid.NewString(), Role: "mixed", Model: model},
	}
	e.batch = batch{rates: rates, last: time.Now()}
	for _, option := range options {
		option(e)
	}
	e.group.Every(stepPeriod, func(context.Context) { e.step(time.Now()) })
	return e
}

// WithFence makes the engine refuse orders with an old fencing number.
func WithFence() EngineOption {
	return func(e *Engine) { e.checks = true }
}

// Busy reports whether an order is being carried out.
func (e *Engine) Busy() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.status.Busy
}

// Cut returns how many requests were cut by orders.
func (e *Engine) Cut() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cut
}

// Done is closed when the engine has stopped.
func (e *Engine) Done() <-chan struct{} {
	return e.group.Done()
}

// Handler returns the engine's HTTP interface.
func (e *Engine) Handler() http.Handler {
	router := bunrouter.New()
	router.POST(jayengine.PathChat, e.generate)
	router.POST(jayengine.PathCompletion, e.generate)
	router.POST(jayengine.PathPrefill, e.prefill)
	router.GET(jayengine.PathLoad, e.getLoad)
	router.GET(jayengine.PathStatus, e.getStatus)
	router.POST(jayengine.PathOrders, e.postOrder)
	return router
}

// Orders returns the orders that took effect, in their order.
func (e *Engine) Orders() []jayengine.Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]jayengine.Order(nil), e.orders...)
}

// Served returns how many answers were completed and how many were cancelled.
func (e *Engine) Served() (completed, cancelled int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.served, e.cancelled
}

// SetFaults replaces the engine's faults.
func (e *Engine) SetFaults(faults EngineFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = faults
	e.batch.slow = faults.Slow
}

// Stop ends the engine.
func (e *Engine) Stop() {
	e.group.Stop()
}

// Working returns the number of requests that run or wait.
func (e *Engine) Working() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.sequences)
}

func (e *Engine) getLoad(w http.ResponseWriter, _ bunrouter.Request) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if len(e.reports) == 0 {
		e.report(now)
	}
	chosen := e.reports[0]
	for _, m := range e.reports {
		if now.Sub(m.at) >= e.faults.Lag {
			chosen = m
		}
	}
	chosen.load.Age = now.Sub(chosen.at).Milliseconds()
	return json.NewEncoder(w).Encode(chosen.load)
}

func (e *Engine) getStatus(w http.ResponseWriter, _ bunrouter.Request) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	return json.NewEncoder(w).Encode(e.status)
}

// join returns the sequence of a request, new or resumed, and the attachment
// that replaces any earlier one.
func (e *Engine) join(id, prompt, priority string, offset, count int, kv bool) (*sequence, *attachment) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.sequences[id]
	if !ok {
		s = e.newSequence(id, prompt, priority, offset, count, kv)
		e.sequences[id] = s
		e.batch.add(s)
	}
	if s.attached != nil {
		close(s.attached.ended)
	}
	s.attached = newAttachment(offset)
	s.gone = time.Time{}
	return s, s.attached
}

// leave ends an attachment; its sequence is kept for a short time.
func (e *Engine) leave(s *sequence, a *attachment) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s.attached == a {
		s.attached = nil
		s.gone = time.Now()
	}
}

func (e *Engine) newSequence(id, prompt, priority string, offset, count int, kv bool) *sequence {
	tokens := len(prompt)/4 + 1
	read := tokens + offset
	key := xxhash.Sum64String(prompt[:min(prefixBytes, len(prompt))])
	if _, hit := e.prefixes[key]; hit {
		read -= int(cachedShare * float64(tokens))
	}
	e.prefixes[key] = time.Now()
	if kv {
		read = 1 + int(importShare*float64(tokens)) + offset
	}
	return &sequence{
		id: id, prompt: tokens, left: read, tokens: Tokens(prompt, count),
		emitted: offset, priority: priority, arrived: time.Now(),
	}
}

// refuses answers a request for new work if the engine takes none.
func (e *Engine) refuses(w http.ResponseWriter) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.faults.Leaving && !e.status.Busy {
		return false
	}
	if e.faults.Leaving {
		w.Header().Set(jayengine.HeaderLeaving, "yes")
	}
	w.WriteHeader(http.StatusServiceUnavailable)
	return true
}

func (e *Engine) report(now time.Time) {
	load := jayengine.Load{
		Running: len(e.batch.running),
		Waiting: len(e.batch.waiting),
		Prefill: e.batch.queued(),
		Blocks:  max(0, e.batch.rates.Blocks-e.batch.used()),
		Leaving: e.faults.Leaving,
		Role:    e.status.Role,
	}
	if e.faults.Working {
		load.Running++
	}
	e.reports = append(e.reports, moment{at: now, load: load})
	if len(e.reports) > 1000 {
		e.reports = e.reports[500:]
	}
}

// step advances the batch, drops work that nobody reads, and wakes the readers.
func (e *Engine) step(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.batch.step(now)
	e.report(now)
	for id, s := range e.sequences {
		if s.attached == nil && !s.gone.IsZero() && now.Sub(s.gone) > resumeGrace {
			e.batch.remove(s)
			delete(e.sequences, id)
			e.cancelled++
			continue
		}
		if s.attached != nil {
			s.attached.notify()
		}
	}
}

func offsetOf(r *http.Request) int {
	n, err := strconv.Atoi(r.Header.Get(jayengine.HeaderResume))
	if err != nil {
		return 0
	}
	return n
}

// Checks reports whether the engine refuses old fencing numbers.
func (e *Engine) Checks() bool {
	return e.checks
}
