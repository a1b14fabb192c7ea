package main

import (
	"context"
	"fmt"
	"time"
)

const (
	// kills is how many instances are killed, one each killInterval; downAfterKill is how long the
	// process stays down.
	kills         = 14
	killInterval  = 6 * time.Second
	downAfterKill = 500 * time.Millisecond
	// removalDelay is the time from a kill until the entry of an engine is removed. The engine
	// then serves for servesOn.
	removalDelay = 450 * time.Millisecond
	servesOn     = 5 * time.Second
)

// removalAroundRestart kills one instance at a time, which is soon back, and removes the entry of an
// engine meanwhile, which goes on serving as engines do that never report draining. It fails if an
// instance in touch sends requests there later than drainTime after the removal.
func removalAroundRestart(s *site, trouble bool) (string, error) {
	start := func() (*engine, error) {
		e := &engine{id: "i-" + randomID(), service: "order-desk", zone: s.zones[0], record: s.record, store: s.store}
		return e, e.start(0)
	}
	var engines []*engine
	for range 3 {
		e, err := start()
		if err != nil {
			return "", err
		}
		engines = append(engines, e)
	}
	defer func() {
		for _, e := range engines {
			e.shutdown()
		}
	}()
	s.configure(1, "order-desk")
	if err := s.startInstances(); err != nil {
		return "", err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	done := s.load(ctx, 60*time.Millisecond)
	down, removed := make(map[int][]span), make(map[string]time.Time)
	for n := range kills {
		began := time.Now()
		i := s.instances[n%len(s.instances)]
		if trouble {
			i.kill()
			s.record.line("instance %s is killed", i.name)
		}
		// The engine that is to take the place of the leaving one starts first.
		e, err := start()
		if err != nil {
			return "", err
		}
		engines = append(engines, e)
		leaving := engines[n]
		time.Sleep(removalDelay)
		removed[leaving.id] = leaving.unregister()
		time.Sleep(downAfterKill - removalDelay)
		if trouble {
			if err := i.start(); err != nil {
				return "", err
			}
			s.record.line("instance %s starts again", i.name)
			down[i.number] = append(down[i.number], span{began, time.Now()})
		}
		time.Sleep(servesOn)
		leaving.crash()
		time.Sleep(time.Until(began.Add(killInterval)))
	}
	cancel()
	<-done
	late, last, engineCount := 0, time.Duration(0), make(map[string]bool)
	runs := s.record.allRuns()
	for _, c := range s.clients {
		for _, q := range c.all {
			if !inTouch(down[q.instance], q.at) {
				continue
			}
			for _, r := range runs[q.id] {
				at, gone := removed[r.engine]
				if after := r.at.Sub(at); gone && after > drainTime {
					late++
					last = max(last, after)
					engineCount[r.engine] = true
					s.record.line("request %s from instance %d reached engine %s %s after its removal", q.id, q.instance, r.engine, after.Round(time.Millisecond))
				}
			}
		}
	}
	if len(runs) == 0 {
		return "", fmt.Errorf("no request ran")
	}
	if late > 0 {
		return fmt.Sprintf("%d requests through instances in touch reached %d of %d engines later than %s after the removal of their entry was acknowledged, the last after %s",
			late, len(engineCount), len(removed), drainTime, last.Round(time.Millisecond)), nil
	}
	return "", nil
}
