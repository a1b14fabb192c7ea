package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// removeAt is when the entry of the engine is removed after its start: contact after the disruption has ended.
	removeAt = 10700 * time.Millisecond
	// silence is the time without a write after which the store removes an entry: three heartbeats.
	silence = 3 * heartbeat
)

// playRevival loses the answer to one heartbeat of an engine and executes it late, after the engine's entry was removed.
func playRevival(s *Site, trouble bool) (bool, error) {
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
	for n := range 4 {
		late, err := s.removeBeforeLateWrite(n, trouble)
		if err != nil {
			return false, err
		}
		broken = broken || late
	}
	return broken, nil
}

// removeBeforeLateWrite plays one engine and reports whether a request reached it too late.
func (s *Site) removeBeforeLateWrite(n int, trouble bool) (bool, error) {
	id := fmt.Sprintf("i-leaves-%d", n)
	seen, started := &arrivals{}, time.Now()
	late := func() time.Duration {
		since := time.Since(started)
		// The last heartbeat of the disruption.
		if !trouble || since < lostUntil-heartbeat || since > lostUntil {
			return 0
		}
		return lateBy
	}
	engine, err := s.engineWith(id, "order-desk", "amman-a", seen.answer(id), late)
	if err != nil {
		return false, err
	}
	time.Sleep(time.Until(started.Add(removeAt)))
	engine.Remove()
	removed := time.Now()
	s.log.Add("removal acknowledged", id)
	time.Sleep(time.Until(started.Add(lostUntil - heartbeat/2 + lateBy + silence)))
	engine.Remove()
	s.log.Add("the store removes the entry after three heartbeats of silence", id)
	time.Sleep(time.Until(removed.Add(serveOn)))
	seen.mu.Lock()
	defer seen.mu.Unlock()
	tooLate := 0
	for _, a := range seen.list {
		if after := a.at.Sub(removed); after > drain {
			tooLate++
			s.log.Add("late request", a.id, "reached", id, "after", after.Round(time.Millisecond))
		}
	}
	s.log.Add("requests at", id, len(seen.list), "late", tooLate)
	engine.Stop()
	return tooLate > 0, nil
}
