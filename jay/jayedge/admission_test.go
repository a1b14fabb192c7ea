package jayedge

import (
	"context"
	"errors"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"jayfield.example/jay/jayadmit"
	"jayfield.example/jay/jayerror"
	"jayfield.example/jay/jayfleet"
	"jayfield.example/jay/jaymetric"
	"jayfield.example/jay/jayplace"
)

// admissionFixture is a placer with one engine whose figures are measured.
type admissionFixture struct {
	*admission
	work jayplace.Work
}

func newAdmissionFixture(t *testing.T) admissionFixture {
	t.Helper()
	log := slog.New(slog.DiscardHandler)
	p := newPlacer(nil, jayplace.Location{}, nil, log)
	a := newAdmission(p, jaymetric.NewExposition(), log)
	t.Cleanup(func() {
		a.Stop()
		p.owner.Stop()
	})
	w := jayplace.Work{ID: "r", Service: "s", Prompt: true, Prefix: "p", OwnTokens: 4000, Target: time.Second}
	err := p.owner.Call(t.Context(), func(s *placerState) {
		s.table.Configure([]jayfleet.Upstream{{ID: "e", Service: "s", Address: "e", Stage: jayfleet.StageDecode, Slots: 64}})
		for range 100 {
			choice, _ := s.table.Choose(time.Now(), w)
			s.table.StartPrefill(choice)
			choice.Took = 100 * time.Millisecond
			s.table.EndPrefill(time.Now(), choice, w.Prefix, true)
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	return admissionFixture{a, w}
}

// queued returns the prompt tokens queued at the engine by this instance.
func (f admissionFixture) queued(t *testing.T) int {
	t.Helper()
	tokens := 0
	_ = f.owner.Call(t.Context(), func(*admissionState) {})
	_ = f.placer.owner.Call(t.Context(), func(s *placerState) {
		for _, w := range s.table.OwnWork() {
			tokens += w.Work.PrefillTokens
		}
	})
	return tokens
}

// Guards against requests that wait although there is room, that are sent although there is none, or whose
// prefill stays counted after their caller has gone.
func TestAdmission(t *testing.T) {
	const left = 6 * time.Second
	tests := map[string]struct {
		// busy is the number of prefills in the queue, which end after ends. The caller goes after gone.
		busy             int
		ends, gone, want time.Duration
		started          bool
		refused          jayadmit.Kind
	}{
		"room":                   {},
		"held until there is":    {busy: 30, ends: time.Second, want: time.Second, started: true},
		"caller goes meanwhile":  {busy: 30, ends: time.Minute, gone: 300 * time.Millisecond, want: 300 * time.Millisecond},
		"can't be served":        {busy: 1000, ends: time.Minute, refused: jayadmit.KindDeadline},
		"sent before it is late": {busy: 30, ends: time.Minute, want: 3 * time.Second, started: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newAdmissionFixture(t)
				choice, err := f.placer.Choose(t.Context(), f.work)
				if err != nil || !choice.Measured {
					t.Fatal(choice, err)
				}
				for range test.busy {
					f.placer.StartPrefill(choice)
				}
				busy, _ := f.placer.Choose(t.Context(), f.work)
				before := f.queued(t)
				release := time.AfterFunc(test.ends, func() {
					for range test.busy {
						f.placer.EndPrefill(choice, "p", false)
					}
				})
				defer release.Stop()
				ctx, cancel := context.WithTimeout(t.Context(), left)
				if test.gone > 0 {
					ctx, cancel = context.WithTimeout(t.Context(), test.gone)
				}
				defer cancel()
				began := time.Now()
				r := jayadmit.Request{Service: "s", Account: "a", Target: time.Second, Deadline: began.Add(left), Timeout: left, Tokens: 4000}
				// An earlier request gives the account its share.
				f.send(func(s *admissionState) { s.queue.Record(time.Now(), r) })
				got, started, err := f.Admit(ctx, r, f.work, busy)
				waited := time.Since(began)
				switch {
				case test.refused != "" && !jayerror.Is(err, test.refused):
					t.Errorf("error %v, want %s", err, test.refused)
				case test.gone > 0 && !errors.Is(err, context.DeadlineExceeded):
					t.Errorf("error %v, want the end of the context", err)
				case test.refused == "" && test.gone == 0 && (err != nil || got.Upstream.ID != "e" || started != test.started):
					t.Errorf("sent to %q, started %v, error %v", got.Upstream.ID, started, err)
				}
				if waited < test.want || waited > test.want+2*time.Second {
					t.Errorf("waited %s, want %s", waited, test.want)
				}
				if started {
					f.placer.EndPrefill(got, "p", false)
				}
				if waited < test.ends && f.queued(t) != before {
					t.Errorf("%d tokens queued, %d before", f.queued(t), before)
				}
				if n := f.held.Load(); n != 0 {
					t.Errorf("%d requests still held", n)
				}
			})
		})
	}
}

// Guards against one free slot that releases all requests held for its engine, and against placements that stay
// counted after their caller has gone.
func TestPlacementsTakeSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newAdmissionFixture(t)
		choice, _ := f.placer.Choose(t.Context(), f.work)
		for range 64 {
			f.placer.Start("e")
		}
		var held []*jayadmit.Held
		var waiters []*waiter
		_ = f.owner.Call(t.Context(), func(s *admissionState) {
			for range 5 {
				h := s.queue.Hold(time.Now(), jayadmit.Request{Service: "s", Deadline: time.Now().Add(time.Minute), Timeout: time.Minute}, room(choice))
				held, waiters = append(held, h), append(waiters, &waiter{work: f.work, choice: choice, result: make(chan placement, 1)})
				s.waiters[h] = waiters[len(waiters)-1]
				f.held.Add(1)
			}
		})
		time.Sleep(2 * admissionInterval)
		f.placer.End("e", jayplace.OutcomeServed, time.Second, true)
		time.Sleep(5 * admissionInterval)
		if n := f.held.Load(); n != 4 {
			t.Errorf("%d of 5 requests still held after one slot became free, want 4", n)
		}
		for i, h := range held {
			f.abandon(h, waiters[i])
		}
		_ = f.queued(t)
		if free, _ := f.placer.Choose(t.Context(), f.work); free.Full {
			t.Error("the slot stays taken after all callers have gone")
		}
	})
}

// Guards against a stop that refuses held requests although no other instance takes them, or that keeps them once
// another one does.
func TestStopFollowsOtherInstances(t *testing.T) {
	tests := map[string]struct {
		// before and after say whether another instance takes requests when the stop begins and a second later.
		before, after bool
		want          time.Duration
	}{
		"another instance":          {true, true, 0},
		"another one a second on":   {false, true, time.Second},
		"no other instance":         {false, false, 3600 * time.Millisecond},
		"the other one is gone too": {true, false, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newAdmissionFixture(t)
				choice, _ := f.placer.Choose(t.Context(), f.work)
				for range 30 {
					f.placer.StartPrefill(choice)
				}
				busy, _ := f.placer.Choose(t.Context(), f.work)
				began := time.Now()
				f.BeginStop(func() bool {
					if time.Since(began) < time.Second {
						return test.before
					}
					return test.after
				})
				r := jayadmit.Request{Service: "s", Account: "a", Target: time.Second, Deadline: began.Add(6 * time.Second), Timeout: 6 * time.Second, Tokens: 4000}
				f.send(func(s *admissionState) { s.queue.Record(time.Now(), r) })
				_, _, err := f.Admit(t.Context(), r, f.work, busy)
				waited := time.Since(began)
				if refused := jayerror.Is(err, jayadmit.KindStopping); refused != (test.before || test.after) || waited < test.want || waited > test.want+200*time.Millisecond {
					t.Errorf("error %v after %s, want the end after %s", err, waited, test.want)
				}
			})
		})
	}
}

// Guards against the prefill of a request that stays counted if its caller goes just when it is placed.
func TestAbandonAfterPlacement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newAdmissionFixture(t)
		choice, _ := f.placer.Choose(t.Context(), f.work)
		waiting := &waiter{work: f.work, choice: choice, result: make(chan placement, 1)}
		var h *jayadmit.Held
		_ = f.owner.Call(t.Context(), func(s *admissionState) {
			f.held.Add(1)
			h = s.queue.Hold(time.Now(), jayadmit.Request{Service: "s", Deadline: time.Now().Add(time.Second)}, room(choice))
			s.waiters[h] = waiting
		})
		time.Sleep(2 * admissionInterval)
		if f.queued(t) == 0 {
			t.Fatal("request not placed")
		}
		f.abandon(h, waiting)
		if tokens := f.queued(t); tokens != 0 {
			t.Errorf("%d tokens still queued", tokens)
		}
	})
}

// Guards against a held request that is sent to another software version than the one it is pinned to.
func TestHeldRequestStaysAtItsVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newAdmissionFixture(t)
		_ = f.placer.owner.Call(t.Context(), func(s *placerState) {
			s.table.Configure([]jayfleet.Upstream{
				{ID: "e", Service: "s", Address: "e", Stage: jayfleet.StageDecode, Slots: 64, Version: "v1"},
				{ID: "f", Service: "s", Address: "f", Stage: jayfleet.StageDecode, Slots: 64, Version: "v2"},
			})
		})
		f.work.Prefix = "q"
		if other, err := f.placer.Choose(t.Context(), f.work); err != nil || other.Upstream.Version != "v2" {
			t.Fatalf("home of the prefix is %+v, %v; the test needs one of v2", other.Upstream, err)
		}
		f.work.Pinned, f.work.Version = true, "v1"
		choice, _ := f.placer.Choose(t.Context(), f.work)
		for range 30 {
			f.placer.StartPrefill(choice)
		}
		busy, _ := f.placer.Choose(t.Context(), f.work)
		release := time.AfterFunc(time.Second, func() {
			for range 30 {
				f.placer.EndPrefill(choice, "p", false)
			}
		})
		defer release.Stop()
		began := time.Now()
		r := jayadmit.Request{Service: "s", Account: "a", Target: time.Second, Deadline: began.Add(6 * time.Second), Timeout: 6 * time.Second, Tokens: 4000}
		f.send(func(s *admissionState) { s.queue.Record(time.Now(), r) })
		got, _, err := f.Admit(t.Context(), r, f.work, busy)
		if waited := time.Since(began); err != nil || got.Upstream.ID != "e" || waited < 500*time.Millisecond {
			t.Errorf("sent to %q after %s, %v; want e", got.Upstream.ID, waited, err)
		}
	})
}
