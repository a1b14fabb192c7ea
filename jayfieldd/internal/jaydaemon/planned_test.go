package jaydaemon_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"jayfield.example/platform/jayplatformtest"
)

const (
	// drainBound is the time after the removal of its entry in which an engine may get new work, and
	// applyBound the time after its acceptance in which a policy has to be in force.
	drainBound = 2500 * time.Millisecond
	applyBound = 2500 * time.Millisecond
	// absence is how long an engine serves on without an entry before it is registered again.
	absence = 4 * time.Second
	// eventPause is the time before each of the 12 events of a stream, which lasts for a good part of a stop.
	eventPause = 140 * time.Millisecond
)

// span is the time in which an engine had no entry.
type span struct {
	engine   string
	from, to time.Time
}

// plannedWork is planned work alone: stops that overlap, versions that change limits and routes, and engines
// that are taken away and come back. Callers use their open connections until the process is gone.
type plannedWork struct {
	*soak
	work    sync.WaitGroup
	mu      sync.Mutex
	absent  map[string]bool
	removed []span
	version int
}

// Guards against requests that are cut off by planned stops, removals that are lost around restarts, and
// versions that are late. The environment selects the seeds and the length, as for TestSoak.
func TestSoakOfPlannedWork(t *testing.T) {
	first := soakSetting(t, "JAYFIELD_SOAK_SEED", 1)
	length := time.Duration(soakSetting(t, "JAYFIELD_SOAK_TIME", 12)) * time.Second
	for seed := first; seed < first+soakSetting(t, "JAYFIELD_SOAK_SEEDS", 1); seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			p := &plannedWork{soak: newSoak(t, uint64(seed), eventPause), absent: make(map[string]bool), version: 1}
			p.settle("at the start")
			p.planned = true
			p.run(t, length)
		})
	}
}

func (p *plannedWork) run(t *testing.T, length time.Duration) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), length)
	defer cancel()
	for range 8 {
		p.work.Go(func() {
			for ctx.Err() == nil {
				p.call()
			}
		})
	}
	for ctx.Err() == nil {
		p.step()
		time.Sleep(time.Duration(50+p.random.IntN(700)) * time.Millisecond)
	}
	p.work.Wait()
	p.settle("after all planned work")
	t.Logf("served %d, not served %d, %d versions, %d removals", p.served.Load(), p.failed.Load(), p.version, len(p.removed))
	for _, run := range p.ledger.All() {
		for _, s := range p.removed {
			if late := run.At.Sub(s.from); run.Engine == s.engine && late > drainBound && run.At.Before(s.to) {
				t.Errorf("%s ran at %s %s after the removal of its entry", run.Request, run.Engine, late)
			}
		}
	}
	for len(p.broken) > 0 {
		t.Error(<-p.broken)
	}
}

// step does one piece of planned work; pieces overlap.
func (p *plannedWork) step() {
	e, engine := p.edges[p.random.IntN(len(p.edges))], p.engines[p.random.IntN(len(p.engines))]
	switch kind := p.random.IntN(8); kind {
	case 0, 1, 2:
		p.work.Go(func() { p.restart(e, syscall.SIGTERM) })
	case 3, 4:
		p.store.SetIdleTimeout(time.Duration(10+p.random.IntN(10)) * time.Second)
		p.version++
		route := fmt.Sprint("added-", p.version)
		p.added = append(p.added, route)
		p.publish(p.version)
		p.work.Go(func() { p.probe(route) })
	case 5, 6:
		p.takeAway(engine)
	default:
		e.hangUp()
	}
}

// probe checks that no instance is without a route longer than applyBound after it was published.
func (p *plannedWork) probe(route string) {
	time.Sleep(applyBound)
	for n, e := range p.edges {
		if status, _ := p.send(e, route); status == http.StatusNotFound {
			p.recordBroken("instance %d has no route %s %s after it was published", n, route, applyBound)
		}
	}
}

// takeAway removes the entry of an engine, which serves on, unless that leaves its service without engines.
func (p *plannedWork) takeAway(engine *jayplatformtest.Engine) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.absent) > 0 {
		return
	}
	p.absent[engine.ID()] = true
	p.store.Remove(engine)
	from := time.Now()
	p.work.Go(func() {
		time.Sleep(absence)
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.absent, engine.ID())
		p.removed = append(p.removed, span{engine.ID(), from, time.Now()})
		p.store.Register(engine, "ready", int(p.next.Add(1))+1)
	})
}

// checkLost checks that a request which ended without an answer did not run, if there is planned work alone.
// It may have run if it was sent while callers could have the address cached and was still in progress in the last
// sixth of the grace period.
func (s *soak) checkLost(e *edge, id, route string, sentAt time.Time, err error) {
	runs := s.ledger.Runs(id)
	if !s.planned || len(runs) == 0 {
		return
	}
	began := e.stopAt.Load()
	if began != nil && sentAt.Sub(*began) <= soakGrace/2 && time.Since(*began) >= soakGrace*5/6 {
		return
	}
	s.recordBroken("%s of route %s, sent %s after the latest stop began, ran and got no whole answer: %v", id, route, sinceStop(sentAt, began), err)
}

// sinceStop returns the time from the begin of a stop, 0 if there was none.
func sinceStop(at time.Time, began *time.Time) time.Duration {
	if began == nil {
		return 0
	}
	return at.Sub(*began)
}
