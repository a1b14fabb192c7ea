package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	drainTime = 2500 * time.Millisecond
	// clockStep is how far the clock of the engine's machine is ahead at its first start.
	clockStep = 2 * time.Second
	// upTime and downTime are how long the engine runs before it crashes, and until it is back.
	upTime   = 700 * time.Millisecond
	downTime = 500 * time.Millisecond
	// settledTime is how long the engine then serves before it is told to leave, and
	// lingerTime how long it serves after that.
	settledTime = 8 * time.Second
	lingerTime  = 10 * time.Second
)

// drainAfterRestart lets an engine restart under its id while the clock of its machine returns
// to the true time, and leave much later. It fails if requests reach the engine later than
// drainTime after the store acknowledged that it is draining.
func drainAfterRestart(s *site, trouble bool) (string, error) {
	calm := &engine{id: "i-" + randomID(), service: "order-desk", zone: s.zones[0], record: s.record, store: s.store}
	flaky := &engine{id: "i-" + randomID(), service: "order-desk", zone: s.zones[0], record: s.record, store: s.store}
	if err := calm.start(0); err != nil {
		return "", err
	}
	defer calm.shutdown()
	s.configure(1, "order-desk")
	if err := s.startInstances(); err != nil {
		return "", err
	}
	skew := time.Duration(0)
	if trouble {
		skew = clockStep
	}
	if err := flaky.start(skew); err != nil {
		return "", err
	}
	defer flaky.shutdown()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	done := s.load(ctx, 40*time.Millisecond)
	time.Sleep(upTime)
	flaky.crash()
	time.Sleep(downTime)
	if err := flaky.start(0); err != nil {
		return "", err
	}
	time.Sleep(settledTime)
	acknowledged := flaky.drain()
	time.Sleep(lingerTime)
	flaky.leave()
	time.Sleep(2 * time.Second)
	cancel()
	<-done
	before, late, last := 0, 0, time.Duration(0)
	for _, runs := range s.record.allRuns() {
		for _, r := range runs {
			switch after := r.at.Sub(acknowledged); {
			case r.engine != flaky.id:
			case after <= 0:
				before++
			case after > drainTime:
				late++
				last = max(last, after)
			}
		}
	}
	failed := 0
	for _, c := range s.clients {
		for _, q := range c.all {
			if q.status != 200 && q.at.After(acknowledged) {
				failed++
			}
		}
	}
	if before == 0 {
		return "", fmt.Errorf("no request reached the engine before it drained")
	}
	if late > 0 {
		return fmt.Sprintf("%d requests reached engine %s later than %s after its draining was acknowledged, the last after %s; %d requests sent after the acknowledgement were not answered with 200",
			late, flaky.id, drainTime, last.Round(time.Millisecond), failed), nil
	}
	return "", nil
}

func randomID() string {
	return fmt.Sprintf("%010x", rand.Uint64()>>24)
}
