package jaydaemon_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os/exec"
	"sync"
	"syscall"
	"testing"
	"time"

	"jayfield.example/platform/jayplatformtest"
)

const (
	// contactTime is how long the store has to be stable before bounds in time hold. applyTime is the time in which a policy has
	// to be in force, drainTime that in which requests to an engine that leaves end.
	contactTime = 4 * time.Second
	applyTime   = 2500 * time.Millisecond
	drainTime   = 2500 * time.Millisecond
	// maxLost is the longest time whose records the store loses.
	maxLost = 4 * time.Second
)

// eraSoak has the store of a soak come back from copies of itself, while the operator adds routes.
type eraSoak struct {
	*soak
	random  *rand.Rand
	version int
	copies  []agedCopy
	mu      sync.Mutex
	// highest is the highest version that each process has shown to be in force.
	highest map[*exec.Cmd]int
}

// agedCopy is a copy of the store and when it was made.
type agedCopy struct {
	lengths jayplatformtest.Copy
	at      time.Time
}

// TestSoakOfEras is TestSoak with a store that comes back from copies of itself some seconds old.
func TestSoakOfEras(t *testing.T) {
	first := soakSetting(t, "JAYFIELD_SOAK_SEED", 1)
	seconds := time.Duration(soakSetting(t, "JAYFIELD_SOAK_TIME", 6)) * time.Second
	for seed := first; seed < first+soakSetting(t, "JAYFIELD_SOAK_SEEDS", 1); seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { runEraSoak(t, uint64(seed), seconds) })
	}
}

func runEraSoak(t *testing.T, seed uint64, length time.Duration) {
	t.Helper()
	s := &eraSoak{
		soak: newSoak(t, seed, 5*time.Millisecond), random: rand.New(rand.NewPCG(seed, 55)), version: 1,
		highest: make(map[*exec.Cmd]int),
	}
	s.settle("at the start")
	ctx, cancel := context.WithTimeout(t.Context(), length)
	defer cancel()
	var work sync.WaitGroup
	for range 8 {
		work.Go(func() {
			for ctx.Err() == nil {
				s.call()
			}
		})
	}
	work.Go(func() {
		for ctx.Err() == nil {
			s.callAdded()
		}
	})
	work.Go(func() {
		for ctx.Err() == nil {
			s.operate()
			time.Sleep(time.Duration(20+s.random.IntN(250)) * time.Millisecond)
			if s.random.IntN(12) == 0 {
				s.restore(time.Duration(s.random.Int64N(int64(maxLost))))
			}
		}
	})
	for ctx.Err() == nil {
		s.fault()
		time.Sleep(time.Duration(50+s.soak.random.IntN(500)) * time.Millisecond)
	}
	work.Wait()
	s.mend()
	s.restore(maxLost)
	s.mend()
	calm := make([]*exec.Cmd, len(s.edges))
	for n, e := range s.edges {
		calm[n] = e.current()
	}
	time.Sleep(contactTime)
	s.checkInForce(calm)
	s.checkDrained()
	t.Logf("served %d, not served %d, versions %d", s.served.Load(), s.failed.Load(), s.version)
	for len(s.broken) > 0 {
		t.Error(<-s.broken)
	}
}

// operate publishes a version with another route, and makes a copy of the store.
func (s *eraSoak) operate() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.copies = append(s.copies, agedCopy{s.store.Copy(), time.Now()})
	s.version++
	s.added = append(s.added, route(s.version))
	s.publish(s.version)
}

func route(version int) string { return fmt.Sprint("r", version) }

// restore has the store go away and come back from a copy that lacks the last while, at times twice and at times while an instance is frozen. The operator and the
// engines write again what they wrote.
func (s *eraSoak) restore(lost time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if frozen := s.edges[s.random.IntN(len(s.edges))]; s.random.IntN(3) == 0 {
		frozen.signal(syscall.SIGSTOP)
		defer time.AfterFunc(time.Duration(s.random.IntN(1500))*time.Millisecond, func() { frozen.signal(syscall.SIGCONT) })
	}
	for range 1 + s.random.IntN(2) {
		s.store.Treat([]jayplatformtest.Mode{jayplatformtest.ModeBusy, jayplatformtest.ModeSilent, jayplatformtest.ModeUp}[s.random.IntN(3)])
		time.Sleep(time.Duration(s.random.IntN(700)) * time.Millisecond)
		from := len(s.copies) - 1
		for from > 0 && time.Since(s.copies[from].at) < lost {
			from--
		}
		if from >= 0 {
			s.store.Restore(s.copies[from].lengths)
			s.copies = s.copies[:from+1]
		}
		s.store.Treat(jayplatformtest.ModeUp)
		time.Sleep(time.Duration(s.random.IntN(500)) * time.Millisecond)
		s.publish(s.version)
		for _, engine := range s.engines {
			s.store.Register(engine, "ready", int(s.next.Add(1))+1)
		}
	}
}

// callAdded sends a request on a route that was added lately. A process that has had its version in force must not refuse it later.
func (s *eraSoak) callAdded() {
	s.mu.Lock()
	version := s.version
	s.mu.Unlock()
	version = max(1, version-rand.IntN(6))
	e := s.edges[rand.IntN(len(s.edges))]
	name := "look"
	if version > 1 {
		name = route(version)
	}
	process := e.current()
	s.mu.Lock()
	before := s.highest[process]
	s.mu.Unlock()
	status, _ := s.send(e, name)
	switch {
	case process != e.current():
	case status == http.StatusNotFound && (version <= before || version == 1):
		s.recordBroken("%s: route of version %d refused, after version %d was in force", e.settings, version, before)
	case status == http.StatusOK:
		s.mu.Lock()
		s.highest[process] = max(s.highest[process], version)
		s.mu.Unlock()
	}
}

// current returns the process of the instance.
func (e *edge) current() *exec.Cmd {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.process
}

// checkInForce checks that the newest policy is in force in time at the instances whose processes have run since the disturbances.
func (s *eraSoak) checkInForce(calm []*exec.Cmd) {
	s.operate()
	time.Sleep(applyTime)
	for n, e := range s.edges {
		if status, _ := s.send(e, route(s.version)); status == http.StatusNotFound && e.current() == calm[n] {
			s.recordBroken("instance %d refuses a route that was added %s before", n, applyTime)
		}
	}
}

// checkDrained checks that an engine that leaves gets no requests later than it may.
func (s *eraSoak) checkDrained() {
	leaving := s.engines[len(s.engines)-1]
	s.store.Register(leaving, "draining", int(s.next.Add(1))+1)
	time.Sleep(drainTime)
	before := s.runsAt(leaving)
	for range 20 {
		for _, e := range s.edges {
			_, _ = s.send(e, "look")
		}
	}
	if late := s.runsAt(leaving) - before; late > 0 {
		s.recordBroken("%d requests reached an engine later than %s after it had said that it leaves", late, drainTime)
	}
}

// runsAt returns the number of requests that an engine ran.
func (s *eraSoak) runsAt(engine *jayplatformtest.Engine) int {
	count := 0
	for _, run := range s.ledger.All() {
		if run.Engine == engine.ID() {
			count++
		}
	}
	return count
}
