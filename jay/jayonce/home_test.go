package jayonce_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"jayfield.example/jay/jayonce"
)

// service is the test oracle: it counts how often the work of each key ran, and records when it last did.
type service struct {
	mu   sync.Mutex
	runs map[jayonce.Key]int
	last map[jayonce.Key]time.Time
}

func (s *service) run(key jayonce.Key) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[key]++
	s.last[key] = time.Now()
}

// worker simulates the queue and the network between a home and the service, with seeded random faults.
type worker struct {
	source  *rand.Rand
	mu      sync.Mutex
	service *service
	dead    bool
}

func (w *worker) draw(n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.source.IntN(n)
}

func (w *worker) killed() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dead
}

func (w *worker) Work(ctx context.Context, call jayonce.Call, gate jayonce.Gate) jayonce.Outcome {
	for {
		select {
		case <-time.After(time.Duration(w.draw(400)) * time.Millisecond):
		case <-ctx.Done():
			return jayonce.Outcome{Run: jayonce.RunNot, Reason: "queue"}
		}
		if w.draw(10) == 0 {
			return jayonce.Outcome{Run: jayonce.RunNot, Reason: "queue is full"}
		}
		if w.killed() || !gate.MarkSent() {
			return jayonce.Outcome{Run: jayonce.RunNot, Reason: "gate"}
		}
		switch w.draw(5) {
		case 0: // The connection is refused; nothing was sent.
			gate.UnmarkSent()
			continue
		case 1: // The work runs, but its reply is lost.
			w.service.run(call.Key)
			return jayonce.Outcome{Run: jayonce.RunUnknown, Reason: "reply lost"}
		}
		time.Sleep(time.Duration(w.draw(20)) * time.Millisecond)
		w.service.run(call.Key)
		time.Sleep(time.Duration(w.draw(300)) * time.Millisecond)
		return jayonce.Outcome{Run: jayonce.RunDone, Status: 200, Body: []byte(call.Key.Key)}
	}
}

// instance is a home with its worker.
type instance struct {
	home   *jayonce.Home
	worker *worker
}

// cluster simulates several homes, callers that retry at any of them, and crashes.
type cluster struct {
	t         *testing.T
	source    *rand.Rand
	service   *service
	instances []*instance
	started   int
	mu        sync.Mutex
	notRun    map[jayonce.Key]bool
	done      map[jayonce.Key]bool
	deadline  map[jayonce.Key]time.Time
	kills     int
}

const ticketLifetime = 5 * time.Second

func newCluster(t *testing.T, seed uint64) *cluster {
	c := &cluster{
		t: t, source: rand.New(rand.NewPCG(seed, 0)),
		service: &service{runs: make(map[jayonce.Key]int), last: make(map[jayonce.Key]time.Time)},
		notRun:  make(map[jayonce.Key]bool), done: make(map[jayonce.Key]bool), deadline: make(map[jayonce.Key]time.Time),
	}
	for range 3 {
		c.instances = append(c.instances, c.start())
	}
	return c
}

func (c *cluster) start() *instance {
	c.started++
	w := &worker{source: rand.New(rand.NewPCG(c.source.Uint64(), 0)), service: c.service}
	issuer := jayonce.NewIssuer(fmt.Sprintf("i-%d", c.started), time.Now(), ticketLifetime)
	home := jayonce.NewHome(issuer, w, func(o jayonce.KeyOutcome) {
		for _, other := range c.all() {
			other.home.AddOutcome(o)
		}
	}, func(invariant string) { c.t.Error("invariant broken:", invariant) })
	return &instance{home: home, worker: w}
}

// kill stops an instance without sending its outcomes to other instances, as a crash does, and starts another
// in its place.
func (c *cluster) kill(n int) {
	c.kills++
	previous := c.instances[n]
	previous.worker.mu.Lock()
	previous.worker.dead = true
	previous.worker.mu.Unlock()
	previous.home.Stop()
	next := c.start()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.instances[n] = next
}

// all returns a snapshot of the running instances.
func (c *cluster) all() []*instance {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*instance(nil), c.instances...)
}

// attempt sends a call to an instance after a network delay. As the front end does, it forwards the call to
// the key's home, or looks the outcome up at the receiving instance if the home is gone.
func (c *cluster) attempt(receiver *instance, all []*instance, call jayonce.Call, delay time.Duration) {
	time.Sleep(delay)
	home, _ := jayonce.HomeOf(call.Key.Key)
	outcome := jayonce.Outcome{Run: jayonce.RunUnknown}
	found := false
	for _, i := range all {
		if i.home.Incarnation() == home {
			found = true
			outcome = i.home.Do(context.Background(), call)
			if i.worker.killed() {
				outcome = jayonce.Outcome{Run: jayonce.RunUnknown}
			}
		}
	}
	if !found {
		outcome = receiver.home.Lookup(context.Background(), call.Key)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch outcome.Run {
	case jayonce.RunNot:
		c.notRun[call.Key] = true
	case jayonce.RunDone:
		c.done[call.Key] = true
		if string(outcome.Body) != call.Key.Key {
			c.t.Errorf("got the outcome of %q for key %q", outcome.Body, call.Key.Key)
		}
	case jayonce.RunUnknown:
	}
}

func (c *cluster) run(steps int) {
	var keys []jayonce.Key
	var wg sync.WaitGroup
	for range steps {
		switch draw := c.source.IntN(20); {
		case draw == 0 && len(keys) > 0:
			c.kill(c.source.IntN(len(c.instances)))
		case draw < 8 || len(keys) == 0:
			caller := fmt.Sprintf("c-%d", c.source.IntN(3))
			keys = append(keys, jayonce.Key{Caller: caller, Key: c.instances[c.source.IntN(3)].home.Issue(caller)})
		}
		key := keys[len(keys)-1-c.source.IntN(min(len(keys), 6))]
		timeout := time.Duration(100+c.source.IntN(900)) * time.Millisecond
		delay := time.Duration(c.source.IntN(200)) * time.Millisecond
		call := jayonce.Call{Key: key, TimeLeft: timeout}
		c.mu.Lock()
		if end := time.Now().Add(delay + timeout); end.After(c.deadline[key]) {
			c.deadline[key] = end
		}
		c.mu.Unlock()
		receiver, all := c.instances[c.source.IntN(3)], c.all()
		wg.Go(func() { c.attempt(receiver, all, call, delay) })
		time.Sleep(time.Duration(c.source.IntN(120)) * time.Millisecond)
	}
	wg.Wait()
	time.Sleep(2 * ticketLifetime)
	for _, key := range keys {
		wg.Go(func() { c.attempt(c.instances[0], c.instances, jayonce.Call{Key: key, TimeLeft: time.Second}, 0) })
	}
	wg.Wait()
	for _, i := range c.instances {
		i.home.Stop()
	}
}

// check compares the outcomes that callers received with the work that the service ran.
func (c *cluster) check() (ran int) {
	for key, runs := range c.service.runs {
		ran++
		if runs > 1 {
			c.t.Errorf("work ran %d times", runs)
		}
		if c.notRun[key] {
			c.t.Error("work ran although it was reported as not run")
		}
		// The work may start up to 20 ms after the gate allowed it to be sent.
		if late := c.service.last[key].Sub(c.deadline[key]); late > 20*time.Millisecond {
			c.t.Errorf("work ran %s after the deadline of the last caller", late)
		}
	}
	for key := range c.done {
		if c.service.runs[key] != 1 {
			c.t.Errorf("work reported as done ran %d times", c.service.runs[key])
		}
	}
	return ran
}

// Guards against work that runs twice, that runs after it was reported as not run, or that starts after its
// callers' deadlines. Retries, refused connections, lost replies and crashes of homes can each cause this.
func TestWorkRunsAtMostOnce(t *testing.T) {
	const steps = 150
	seeds, start := envInt("JAYFIELD_SOAK_SEEDS", 60), envInt("JAYFIELD_SOAK_START", 0)
	ran, kills, refused, confirmed := 0, 0, 0, 0
	for seed := start; seed < start+seeds; seed++ {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(t, uint64(seed))
			c.run(steps)
			ran += c.check()
			kills += c.kills
			refused += len(c.notRun)
			confirmed += len(c.done)
			if t.Failed() {
				t.Logf("seed %d", seed)
			}
		})
	}
	t.Logf("runs %d, steps %d, work run %d, kills %d, not-run %d, confirmed %d", seeds, seeds*steps, ran, kills, refused, confirmed)
	if ran == 0 || kills == 0 || refused == 0 || confirmed == 0 {
		t.Error("the runs did not produce work, kills and both final outcomes")
	}
}

// envInt returns an integer from the environment, or fallback if the variable holds none.
func envInt(name string, fallback int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return fallback
}

// Guards against an issuer that accepts a ticket of another caller, secret or incarnation, or an expired one,
// so that a key could run at a second home or after its state has expired.
func TestIssuerAcceptsOnlyItsOwnValidTickets(t *testing.T) {
	start := time.Unix(1000, 0)
	own := jayonce.NewIssuer("i-1", start, time.Minute)
	other := jayonce.NewIssuer("i-1", start, time.Minute)
	ticket := own.Issue(start, "shop")
	tests := map[string]struct {
		caller, key string
		at          time.Duration
		want        string
	}{
		"valid":                           {"shop", ticket, time.Second, ""},
		"valid with a suffix":             {"shop", ticket + ".order-1", time.Second, ""},
		"forged for another caller":       {"desk", ticket, time.Second, "forged"},
		"forged with another secret":      {"shop", other.Issue(start, "shop"), time.Second, "forged"},
		"expired after its lifetime":      {"shop", ticket, time.Minute + 1, "expired"},
		"malformed without a ticket":      {"shop", "order-1", 0, "malformed"},
		"foreign for another incarnation": {"shop", jayonce.NewIssuer("i-2", start, time.Minute).Issue(start, "shop"), 0, "foreign"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			err := own.Check(start.Add(test.at), test.caller, test.key)
			got := ""
			if err != nil {
				var e *jayonce.Error
				if errors.As(err, &e) {
					got = string(e.Kind)
				}
			}
			if got != test.want {
				t.Errorf("kind = %q, want %q", got, test.want)
			}
		})
	}
}
