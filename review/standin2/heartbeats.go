package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// lostFrom and lostUntil are the time in which the store loses answers, after the start of an engine.
	lostFrom, lostUntil = 2 * time.Second, 6500 * time.Millisecond
	// lateBy is by how much the writes are executed late: 1 to 6 s.
	lateBy = 5900 * time.Millisecond
	// drainAt is when the engine reports draining: contact after the disruption of the store has ended.
	drainAt = 10600 * time.Millisecond
)

// playHeartbeats loses the answers to two heartbeats of an engine and executes them late, after the engine has reported
// that it is draining.
func playHeartbeats(s *Site, trouble bool) (bool, error) {
	stock := plainRoute("stock", "/stock/", "idempotent", "order-desk", 1000)
	s.store.PutJSON("keyed.op", "config", configuration(3, 16384, stock))
	for _, id := range []string{"i-1", "i-2"} {
		if _, err := s.engine(id, "order-desk", "amman-a", simpleAnswer(id)); err != nil {
			return false, err
		}
	}
	if err := s.start("amman-a", "amman-a", "amman-a", "irbid-a", "irbid-a", "aqaba-a", "aqaba-a"); err != nil {
		return false, err
	}
	time.Sleep(contact)
	var stopped atomic.Bool
	var clients sync.WaitGroup
	defer clients.Wait()
	defer stopped.Store(true)
	for _, i := range s.instances {
		clients.Add(1)
		go func() {
			defer clients.Done()
			s.ask(i, 0, &stopped)
		}()
	}
	broken := false
	for n := range 5 {
		late, err := s.drainBeforeLateWrites(n, trouble)
		if err != nil {
			return false, err
		}
		broken = broken || late
	}
	return broken, nil
}

// drainBeforeLateWrites plays one engine and reports whether a request reached it too late.
func (s *Site) drainBeforeLateWrites(n int, trouble bool) (bool, error) {
	id := fmt.Sprintf("i-drains-%d", n)
	seen, started, lost := &arrivals{}, time.Now(), 0
	late := func() time.Duration {
		since := time.Since(started)
		// The last two heartbeats of the disruption.
		if !trouble || since < lostUntil-2*heartbeat || since > lostUntil || since < lostFrom {
			return 0
		}
		lost++
		return lateBy
	}
	engine, err := s.engineWith(id, "order-desk", "amman-a", seen.answer(id), late)
	if err != nil {
		return false, err
	}
	time.Sleep(time.Until(started.Add(drainAt)))
	engine.Drain()
	reported := time.Now()
	s.log.Add("draining acknowledged", id)
	time.Sleep(drain + 2*time.Second)
	engine.Remove()
	seen.mu.Lock()
	defer seen.mu.Unlock()
	tooLate := 0
	for _, a := range seen.list {
		if after := a.at.Sub(reported); after > drain {
			tooLate++
			s.log.Add("late request", a.id, "reached", id, "after", after.Round(time.Millisecond))
		}
	}
	s.log.Add("requests at", id, len(seen.list), "late", tooLate)
	engine.Stop()
	return tooLate > 0, nil
}
