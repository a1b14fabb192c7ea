package jayedge

import (
	"context"
	"log/slog"
	"strconv"
	"sync/atomic"
	"time"

	"jayfield.example/jay/jayadmit"
	"jayfield.example/jay/jaymetric"
	"jayfield.example/jay/jayplace"
	"jayfield.example/jay/jaytask"
)

const (
	// admissionInterval is the time between two attempts to place held requests. It is short against the
	// waits above which requests are held.
	admissionInterval = 40 * time.Millisecond
	// loggedWait is the wait from which a held request is logged.
	loggedWait = 100 * time.Millisecond
)

// admission is the task that holds requests while engines are overloaded.
type admission struct {
	owner  *jaytask.Owner[admissionState]
	placer *placer
	series *jaymetric.Exposition
	log    *slog.Logger
	// held is the number of held requests and of those about to be held. While it is 0, a request for which
	// there is room is sent without a message to the task and back.
	held atomic.Int64
}

// admissionState is the state that the task owns.
type admissionState struct {
	queue   *jayadmit.Queue
	waiters map[*jayadmit.Held]*waiter
	// services are those for which the number of held requests is shown, with that number.
	services map[string]*atomic.Int64
	// others reports during a stop whether other instances take requests; nil before.
	others func() bool
}

// waiter is a held request and the channel that gets its placement.
type waiter struct {
	work   jayplace.Work
	choice jayplace.Choice
	err    error
	result chan placement
}

// placement is the result of a held request.
type placement struct {
	choice jayplace.Choice
	err    error
}

func newAdmission(p *placer, series *jaymetric.Exposition, log *slog.Logger) *admission {
	a := &admission{placer: p, series: series, log: log}
	s := &admissionState{queue: jayadmit.NewQueue(), waiters: make(map[*jayadmit.Held]*waiter), services: make(map[string]*atomic.Int64)}
	a.owner = jaytask.NewOwner(s, admissionInterval, func(s *admissionState, _ time.Time) { a.pass(s) })
	return a
}

// Done is closed when the task has stopped.
func (a *admission) Done() <-chan struct{} { return a.owner.Done() }

// Admit returns the placement with which a request is sent now, and whether the placement and the start of
// its prefill have been recorded. It holds the request while engines are overloaded. An error is a refusal, the reason why no
// upstream takes the request, or the end of ctx.
func (a *admission) Admit(ctx context.Context, r jayadmit.Request, w jayplace.Work, choice jayplace.Choice) (jayplace.Choice, bool, error) {
	if a.held.Load() == 0 && r.Fits(room(choice)) {
		a.send(func(s *admissionState) { s.queue.Record(time.Now(), r) })
		return choice, false, nil
	}
	a.held.Add(1)
	w.Held = true
	waiting := &waiter{work: w, choice: choice, result: make(chan placement, 1)}
	var h *jayadmit.Held
	began := time.Now()
	err := a.owner.Call(ctx, func(s *admissionState) {
		h = s.queue.Hold(time.Now(), r, room(choice))
		s.waiters[h] = waiting
		a.showService(s, r.Service)
		a.pass(s)
	})
	if err != nil {
		a.held.Add(-1)
		return choice, false, err //nolint:wrapcheck // The task has stopped or the caller has disconnected.
	}
	select {
	case p := <-waiting.result:
		a.series.Observe("admission_wait_seconds", time.Since(began), jaymetric.Label{Name: "priority", Value: strconv.Itoa(r.Priority)})
		return p.choice, p.err == nil, p.err
	case <-ctx.Done():
		a.abandon(h, waiting)
		return choice, false, context.Cause(ctx) //nolint:wrapcheck // The relay distinguishes the causes.
	case <-a.owner.Done():
		return choice, false, jaytask.ErrStopped
	}
}

// abandon removes a request whose caller has gone. If it was placed meanwhile, its placement and prefill end unsent.
func (a *admission) abandon(h *jayadmit.Held, waiting *waiter) {
	a.send(func(s *admissionState) {
		if s.queue.Remove(h) {
			delete(s.waiters, h)
			a.held.Add(-1)
			a.show(s)
			return
		}
		if p := <-waiting.result; p.err == nil {
			a.placer.EndPrefill(p.choice, waiting.work.Prefix, false)
			a.placer.EndPlacement(p.choice.Upstream.ID)
		}
	})
}

// BeginStop makes the task refuse the held requests, and later ones that would be held, after a last attempt
// to place them, while others reports that other instances take them.
func (a *admission) BeginStop(others func() bool) {
	a.send(func(s *admissionState) {
		s.others = others
		a.pass(s)
	})
}

// Stop stops the task.
func (a *admission) Stop() { a.owner.Stop() }

// pass places the held requests for which there is room.
func (a *admission) pass(s *admissionState) {
	if s.queue.Len() == 0 {
		a.show(s)
		return
	}
	// Other instances start and stop too while this one stops.
	s.queue.SetStopping(s.others != nil && s.others())
	var refused []jayadmit.Refused
	now := time.Now()
	err := a.placer.owner.Call(context.Background(), func(p *placerState) {
		refused = s.queue.Pass(now, &passEngines{admission: a, now: now, state: s, placer: p})
	})
	if err != nil {
		a.log.Debug("held requests not placed", "error", err)
		return
	}
	a.finish(s, refused)
	a.show(s)
}

// passEngines places held requests within one message to the placer, so that each placement counts for the
// next one.
type passEngines struct {
	*admission
	now    time.Time
	state  *admissionState
	placer *placerState
}

// Room implements jayadmit.Engines. A request that no upstream takes is released with the reason.
func (e *passEngines) Room(h *jayadmit.Held) jayadmit.Room {
	w := e.state.waiters[h]
	if w.err = e.placer.quarantine.Check(e.now, quarantineRequest(w.work)); w.err == nil {
		w.choice, w.err = e.placer.table.Choose(e.now, w.work)
	}
	if w.err != nil {
		return jayadmit.Room{}
	}
	return room(w.choice)
}

// Release implements jayadmit.Engines.
func (e *passEngines) Release(h *jayadmit.Held) bool {
	w := e.state.waiters[h]
	if w.err == nil {
		e.placer.table.StartPrefill(w.choice)
		e.placer.table.Place(w.choice.Upstream.ID)
	}
	if waited := e.now.Sub(h.Since); waited >= loggedWait {
		e.log.Info("request held", append(e.fields(e.state, e.now, h), "waited", waited)...)
	}
	e.answer(e.state, h, placement{choice: w.choice, err: w.err})
	return w.err == nil
}

// finish answers refused requests.
func (a *admission) finish(s *admissionState, refused []jayadmit.Refused) {
	now := time.Now()
	for _, r := range refused {
		a.log.Info("request refused before it was sent", append(a.fields(s, now, r.Held), "waited", now.Sub(r.Since), "left", r.Deadline.Sub(now), "error", r.Err)...)
		a.series.Count("admission_refusals_total", jaymetric.Label{Name: "reason", Value: string(r.Kind)})
		a.answer(s, r.Held, placement{err: r.Err})
	}
}

// answer passes the result to a held request, which the queue no longer holds.
func (a *admission) answer(s *admissionState, h *jayadmit.Held, p placement) {
	s.waiters[h].result <- p
	delete(s.waiters, h)
	a.held.Add(-1)
}

// show updates the numbers of held requests that are shown.
func (a *admission) show(s *admissionState) {
	for service, n := range s.services {
		n.Store(int64(s.queue.Held(service)))
	}
}

// showService begins to show the number of held requests of a service.
func (a *admission) showService(s *admissionState, service string) {
	if _, ok := s.services[service]; ok {
		return
	}
	n := new(atomic.Int64)
	s.services[service] = n
	a.series.Gauge("admission_held", func() float64 { return float64(n.Load()) }, jaymetric.Label{Name: "service", Value: service})
}

// fields returns the log fields of a held request.
func (a *admission) fields(s *admissionState, now time.Time, h *jayadmit.Held) []any {
	standing := s.queue.Standing(now, h.Account)
	return []any{
		"request", s.waiters[h].work.ID, "service", h.Service, "account", h.Account, "priority", h.Priority, "tokens", h.Tokens,
		"use", int(standing.Use), "share", int(standing.Share), "upstream", h.Room.Engine, "queue", h.Room.Queue, "full", h.Room.Full,
		"predicted", h.Predicted, "sharesAge", s.queue.Shares().PeerAge(now), "held", s.queue.Len(),
	}
}

func (a *admission) send(message func(*admissionState)) {
	if err := a.owner.Send(context.Background(), message); err != nil {
		a.log.Debug("update of admission failed", "error", err)
	}
}

// room returns the room of a placement.
func room(c jayplace.Choice) jayadmit.Room {
	return jayadmit.Room{Engine: c.Upstream.ID, Queue: c.Queue, Own: max(0, c.Wait-c.Queue), Full: c.Full, Measured: c.Measured}
}
