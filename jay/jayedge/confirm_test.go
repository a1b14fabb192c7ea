package jayedge

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"jayfield.example/jay/jaystore"
	"jayfield.example/jay/jaytraffic"
)

// testApply is the time in which a policy has to be in force in these tests.
const testApply = 3 * time.Second

// fakeCopy is a copy of the policy that each read confirms after a delay, unless the delay is negative.
type fakeCopy struct {
	mu        sync.Mutex
	confirmed time.Time
	delay     time.Duration
	reads     int
}

func (f *fakeCopy) age() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Since(f.confirmed)
}

func (f *fakeCopy) read() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reads++
	if f.delay >= 0 {
		time.AfterFunc(f.delay, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.confirmed = time.Now()
		})
	}
}

func runTask(f func(context.Context)) {
	go f(context.Background())
}

// Guards against a flood of unknown keys that reads the store more than once a second, against requests
// that wait for longer than 300 ms, and against one that waits although its read is complete.
func TestFloodOfUnknownKeysCostsOneReadASecond(t *testing.T) {
	tests := map[string]struct {
		delay, maxWait time.Duration
		maxReads       int
	}{
		"store answers at once":    {0, confirmPoll, 11},
		"store answers in time":    {40 * time.Millisecond, 40*time.Millisecond + confirmPoll, 11},
		"store answers late":       {400 * time.Millisecond, confirmTimeout, 11},
		"store does not answer":    {-1, confirmTimeout, 11},
		"store answers very late":  {5 * time.Second, confirmTimeout, 11},
		"store answers after 1 s":  {time.Second, confirmTimeout, 11},
		"store answers just in it": {295 * time.Millisecond, confirmTimeout, 11},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				f := &fakeCopy{confirmed: start.Add(-time.Hour), delay: test.delay}
				c := newConfirmer(testApply, f.age, f.read, runTask)
				var wait sync.WaitGroup
				for time.Since(start) < 10*time.Second {
					wait.Go(func() {
						if c.Age() <= c.recent {
							return
						}
						began := time.Now()
						c.Confirm(t.Context())
						if took := time.Since(began); took > test.maxWait {
							t.Errorf("a request waited for %s, want %s at most", took, test.maxWait)
						}
					})
					time.Sleep(3 * time.Millisecond)
				}
				wait.Wait()
				if f.reads == 0 || f.reads > test.maxReads {
					t.Errorf("%d reads in 10 s, want 1 to %d", f.reads, test.maxReads)
				}
				time.Sleep(10 * time.Second) // The reads that are still due end.
			})
		})
	}
}

// Guards against a request that waits for a read although its caller's time is over.
func TestConfirmEndsWithItsRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeCopy{delay: -1}
		c := newConfirmer(testApply, f.age, f.read, runTask)
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
		defer cancel()
		began := time.Now()
		c.Confirm(ctx)
		if took := time.Since(began); took != 20*time.Millisecond {
			t.Errorf("waited for %s", took)
		}
		time.Sleep(time.Second)
	})
}

// policyAdapter decodes policies whose value is their version.
type policyAdapter struct{ Adapter }

func (policyAdapter) IsPolicy(key string) bool { return key == "p" }

func (policyAdapter) ReadPolicy(value []byte) (*jaytraffic.Policy, error) {
	var version int64
	if json.Unmarshal(value, &version) != nil {
		return nil, errors.New("torn")
	}
	return jaytraffic.New(version, jaytraffic.Limits{}, nil, nil), nil
}

// Guards against a copy of the policy that counts as confirmed before the records that the store returned
// are in force: a key that they add would be refused as unknown.
func TestAgeCountsOnceRecordsAreInForce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := t.Context()
		var p *policies
		var during []time.Duration
		p = newPolicies(policyAdapter{}, slog.New(slog.DiscardHandler), func(*jaytraffic.Policy) { during = append(during, p.Age()) })
		if age := p.Age(); age != math.MaxInt64 {
			t.Errorf("age before the first read = %s", age)
		}
		record := func(offset jaystore.Position, value string) jaystore.Record {
			return jaystore.Record{Key: "p", Value: []byte(value), Position: offset}
		}
		check := func(what string, want time.Duration) {
			t.Helper()
			if age := p.Age(); age != want {
				t.Errorf("age %s = %s, want %s", what, age, want)
			}
		}
		p.mirror.MarkPending(time.Now(), 4)
		p.mirror.Replace(ctx, []jaystore.Record{record(2, "1")}, 4)
		check("after a snapshot", 0)
		time.Sleep(time.Second)
		check("a second later", time.Second)
		p.mirror.MarkRead(time.Now(), 4)
		check("after a read without records", 0)
		time.Sleep(time.Second)
		p.mirror.MarkPending(time.Now(), 6)
		check("with records that are still to be applied", time.Second)
		p.mirror.Apply(ctx, []jaystore.Record{record(4, "2"), record(5, "torn")})
		check("after records of which one is malformed", 0)
		if got := fmt.Sprint(during); got != fmt.Sprint([]time.Duration{math.MaxInt64, math.MaxInt64}) {
			t.Errorf("ages while a policy comes into force = %s, want none known", got)
		}
	})
}

// Guards against a policy in force that goes back when the store comes back from a copy, and against one that is written again and does
// not count as confirmed.
func TestPolicyInForceAcrossEras(t *testing.T) {
	at := jaystore.NewPosition
	record := func(position jaystore.Position, value string) jaystore.Record {
		return jaystore.Record{Key: "p", Value: []byte(value), Position: position}
	}
	tests := map[string]struct {
		snapshot []jaystore.Record
		end      jaystore.Position
		then     []jaystore.Record
		want     int64
	}{
		"copy has an older one":             {[]jaystore.Record{record(at(1, 4), "5")}, at(1, 5), nil, 7},
		"copy has none":                     {nil, at(1, 0), nil, 7},
		"the newest is written again":       {[]jaystore.Record{record(at(1, 4), "5")}, at(1, 5), []jaystore.Record{record(at(1, 5), "7")}, 7},
		"a newer one is written":            {[]jaystore.Record{record(at(1, 4), "5")}, at(1, 5), []jaystore.Record{record(at(1, 5), "8")}, 8},
		"the lost ones are written again":   {[]jaystore.Record{record(at(1, 4), "5")}, at(1, 5), []jaystore.Record{record(at(1, 5), "6"), record(at(1, 6), "7")}, 7},
		"one that was not read was lost":    {[]jaystore.Record{record(at(1, 4), "8")}, at(1, 5), nil, 8},
		"two eras later, with an older one": {[]jaystore.Record{record(at(2, 1), "2")}, at(2, 2), nil, 7},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newPolicies(policyAdapter{}, slog.New(slog.DiscardHandler), func(*jaytraffic.Policy) {})
				p.mirror.MarkPending(time.Now(), 10)
				p.mirror.Replace(t.Context(), []jaystore.Record{record(9, "7")}, 10)
				time.Sleep(time.Second)
				p.mirror.MarkPending(time.Now(), test.end)
				p.mirror.Replace(t.Context(), test.snapshot, test.end)
				if len(test.then) > 0 {
					time.Sleep(time.Second)
					p.mirror.MarkPending(time.Now(), test.then[len(test.then)-1].Position+1)
					p.mirror.Apply(t.Context(), test.then)
				}
				if version := p.Policy().Version; version != test.want || p.Age() != 0 {
					t.Errorf("version %d is in force, confirmed %s ago, want %d, confirmed now", version, p.Age(), test.want)
				}
			})
		})
	}
}
