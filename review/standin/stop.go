package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"sync"
	"syscall"
	"time"
)

const (
	// rollGap is the time between the stops of two instances, and restartDelay how long a process
	// that has ended stays down.
	rollGap      = 1300 * time.Millisecond
	restartDelay = 500 * time.Millisecond
	// earlyRequest is when, after SIGTERM, a stream begins on the connection that was opened before
	// the change of the limits; lateRequest is when the first one begins on a later connection, and
	// lateGap the time between two of these.
	earlyRequest = 2 * time.Second
	lateRequest  = 3200 * time.Millisecond
	lateGap      = 250 * time.Millisecond
	lateClients  = 4
	graceTime    = 8 * time.Second
	// changedIdleTimeout is the idle timeout after the change, in ms.
	changedIdleTimeout = 14000
)

// stopAfterLimitsChange restarts two instances in turn after a change of the connection limits. It
// fails if a request that the first one has passed on to an engine is cut off. The clients use a kept
// connection only while the system still returns the instance's address.
func stopAfterLimitsChange(s *site, trouble bool) (string, error) {
	for range 3 {
		e := &engine{id: "i-" + randomID(), service: "order-desk", zone: s.zones[0], record: s.record, store: s.store}
		if err := e.start(0); err != nil {
			return "", err
		}
		defer e.shutdown()
	}
	s.configure(1, "order-desk")
	if err := s.startInstances(); err != nil {
		return "", err
	}
	first, second := s.instances[0], s.instances[1]
	early := newClient(first, s.record)
	early.request("GET", siteHost, sitePath)
	s.idleTimeout = changedIdleTimeout
	s.configure(2, "order-desk")
	time.Sleep(configApplyTime)
	late := make([]*client, lateClients)
	for n := range late {
		late[n] = newClient(first, s.record)
		late[n].request("GET", siteHost, sitePath)
	}
	began := time.Now()
	var group sync.WaitGroup
	if trouble {
		group.Go(func() { s.restart(first) })
		group.Go(func() {
			time.Sleep(rollGap)
			s.restart(second)
		})
	}
	group.Go(func() {
		time.Sleep(earlyRequest)
		early.request("POST", siteHost, streamPath)
	})
	for n, c := range late {
		group.Go(func() {
			time.Sleep(time.Until(began.Add(lateRequest + time.Duration(n)*lateGap)))
			if !s.returned(first) {
				s.record.line("the address of %s is no longer returned", first.name)
				return
			}
			c.request("POST", siteHost, streamPath)
		})
	}
	group.Wait()
	runs, asked, cut := s.record.allRuns(), 0, 0
	for _, c := range append(late, early) {
		for _, q := range c.all[1:] {
			asked += len(runs[q.id])
			// A stream that began up to 3 s after SIGTERM may be cut in the last sixth of the grace time.
			excused := q.at.Sub(began) <= 3*time.Second && q.ended.Sub(began) >= graceTime*5/6
			if len(runs[q.id]) > 0 && q.err != nil && !excused {
				cut++
				s.record.line("request %s, sent %.3f, was cut off at %.3f, %.3f s after SIGTERM", q.id, s.record.since(q.at), s.record.since(q.ended), q.ended.Sub(began).Seconds())
			}
		}
	}
	if asked == 0 {
		return "", fmt.Errorf("no stream ran")
	}
	if cut > 0 {
		return fmt.Sprintf("%d of %d requests that were passed on to an engine were cut off by the planned stop", cut, asked), nil
	}
	return "", nil
}

// restart stops an instance as the platform does and starts it again.
func (s *site) restart(i *instance) {
	s.record.line("instance %s gets SIGTERM", i.name)
	began := time.Now()
	_ = i.cmd.Process.Signal(syscall.SIGTERM)
	killed := time.AfterFunc(graceTime, func() { _ = i.cmd.Process.Kill() })
	_ = i.cmd.Wait()
	killed.Stop()
	s.record.line("instance %s has ended after %.3f s", i.name, time.Since(began).Seconds())
	time.Sleep(restartDelay)
	if err := i.start(); err != nil {
		s.record.line("instance %s does not start: %v", i.name, err)
	}
}

// returned reports whether an instance's address is in the answer that a client gets now.
func (s *site) returned(wanted *instance) bool {
	for _, i := range s.instances {
		query := url.Values{"name": {siteHost}, "region": {"amman"}, "zone": {wanted.zone}}
		response, err := (&http.Client{Timeout: time.Second}).Get(fmt.Sprintf("http://%s:%d/v1/resolve?%s", i.ip, portEntry, query.Encode()))
		if err != nil {
			continue
		}
		var answer struct {
			Addresses []string `json:"addresses"`
		}
		err = json.NewDecoder(response.Body).Decode(&answer)
		_ = response.Body.Close()
		if err != nil || len(answer.Addresses) == 0 {
			continue
		}
		s.record.line("%s answers that clients use %v", i.name, answer.Addresses)
		return slices.Contains(answer.Addresses, wanted.caller())
	}
	return false
}
