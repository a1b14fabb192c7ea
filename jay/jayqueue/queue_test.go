package jayqueue_test

import (
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"jayfield.example/jay/jayconfig"
	"jayfield.example/jay/jayqueue"
	"jayfield.example/jay/jayseed"
)

func TestMain(m *testing.M) {
	os.Exit(jayseed.Main(m))
}

type item = jayqueue.Item[int]

// model is the test oracle: it tracks the waiting items and how each item ended.
type model struct {
	now     time.Time
	queue   *jayqueue.Queue[int]
	waiting map[*item]bool
	ended   map[*item]string
	limit   int
}

// end records how an item ended, and fails if the item was not waiting.
func (m *model) end(t *rapid.T, i *item, outcome string) {
	if !m.waiting[i] {
		t.Fatalf("item ended as %s was not waiting; earlier outcome: %q", outcome, m.ended[i])
	}
	delete(m.waiting, i)
	m.ended[i] = outcome
}

func (m *model) push(t *rapid.T) {
	i := &item{
		Caller:   fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "caller")),
		Weight:   rapid.IntRange(1, 3).Draw(t, "weight"),
		Priority: rapid.SampledFrom([]jayconfig.Priority{"high", "normal", "low"}).Draw(t, "priority"),
		Cost:     float64(rapid.IntRange(1, 40).Draw(t, "cost")) / 10,
		Long:     rapid.Bool().Draw(t, "long"),
	}
	if rapid.Bool().Draw(t, "bounded") {
		i.Deadline = m.now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "deadline")) * time.Second)
	}
	evicted, err := m.queue.Push(m.now, i)
	if err == nil {
		m.waiting[i] = true
	}
	for _, other := range evicted {
		if other.Priority == "high" && i.Priority != "high" {
			t.Fatal("item of lower priority evicted one of high priority")
		}
		m.end(t, other, "evicted by a push")
	}
}

func (m *model) serve(t *rapid.T) {
	long := rapid.Bool().Draw(t, "long")
	next, late := m.queue.Peek(m.now, long)
	for _, i := range late {
		m.end(t, i, "late")
	}
	if next == nil {
		for i := range m.waiting {
			if long || !i.Long {
				t.Fatal("no item returned although eligible items wait")
			}
		}
		return
	}
	if next.Long && !long {
		t.Fatal("long item returned although long is not set")
	}
	m.queue.Take(next)
	m.end(t, next, "served")
}

func (m *model) check(t *rapid.T) {
	if m.queue.Size() != len(m.waiting) || len(m.waiting) > m.limit {
		t.Fatalf("size = %d, waiting = %d, limit = %d", m.queue.Size(), len(m.waiting), m.limit)
	}
}

// Every accepted item ends exactly once: served, expired, evicted or removed. The
// test guards against items that are lost or returned twice when these happen in
// any order.
func TestEveryItemEndsOnce(t *testing.T) {
	served := 0
	rapid.Check(t, func(t *rapid.T) {
		m := &model{
			now: time.Unix(0, 0), queue: jayqueue.New[int](20), limit: 20,
			waiting: make(map[*item]bool), ended: make(map[*item]string),
		}
		m.queue.SetCapacity(4)
		t.Repeat(map[string]func(*rapid.T){
			"":      m.check,
			"push":  m.push,
			"push2": m.push,
			"serve": m.serve,
			"time": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond)
			},
			"sweep": func(t *rapid.T) {
				for _, i := range m.queue.Sweep(m.now) {
					m.end(t, i, "late")
				}
			},
			"leave": func(t *rapid.T) {
				for i := range m.waiting {
					if !m.queue.Remove(i) || m.queue.Remove(i) {
						t.Fatal("waiting item was not removed exactly once")
					}
					m.end(t, i, "left")
					return
				}
			},
		})
		for _, outcome := range m.ended {
			if outcome == "served" {
				served++
			}
		}
	})
	if served == 0 {
		t.Error("no run served an item")
	}
}

// While all callers have waiting items, each is served in proportion to its weight,
// and high priority is served first except for the share reserved for lower ones.
func TestServiceFollowsWeightsAndReservedShare(t *testing.T) {
	tests := map[string]struct {
		weights    map[string]int
		priorities map[string]jayconfig.Priority
		want       map[string]int
	}{
		"equal weights get equal shares":          {map[string]int{"a": 1, "b": 1}, nil, map[string]int{"a": 50, "b": 50}},
		"double weight gets a double share":       {map[string]int{"a": 2, "b": 1}, nil, map[string]int{"a": 66, "b": 33}},
		"lower priority keeps its reserved share": {map[string]int{"a": 1, "b": 1}, map[string]jayconfig.Priority{"a": "high"}, map[string]int{"a": 83, "b": 16}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(0, 0)
			queue := jayqueue.New[int](1000)
			for caller, weight := range test.weights {
				priority := test.priorities[caller]
				if priority == "" {
					priority = jayconfig.PriorityNormal
				}
				for range 200 {
					if _, err := queue.Push(now, &item{Caller: caller, Weight: weight, Priority: priority, Cost: 1}); err != nil {
						t.Fatal(err)
					}
				}
			}
			got := make(map[string]int)
			for range 100 {
				next, _ := queue.Peek(now, true)
				queue.Take(next)
				got[next.Caller]++
			}
			for caller, want := range test.want {
				if diff := got[caller] - want; diff < -2 || diff > 2 {
					t.Errorf("served %v, want %v", got, test.want)
				}
			}
		})
	}
}

// Items that are removed before they are served do not count against their
// caller's share. Without recomputed virtual start times, the caller's next items
// would be scheduled after the removed ones.
func TestRemovedItemsCostNoShare(t *testing.T) {
	t.Parallel()
	now := time.Unix(1000, 0)
	queue := jayqueue.New[int](100)
	queue.SetCapacity(1)
	push := func(caller string) *item {
		i := &item{Caller: caller, Weight: 1, Priority: jayconfig.PriorityNormal, Cost: 1}
		if _, err := queue.Push(now, i); err != nil {
			t.Fatal(err)
		}
		return i
	}
	var removed []*item
	for n := range 10 {
		if i := push("a"); n > 0 {
			removed = append(removed, i)
		}
	}
	for _, i := range removed {
		queue.Remove(i)
	}
	for range 4 {
		push("a")
		push("b")
	}
	served := map[string]int{}
	for range 6 {
		next, _ := queue.Peek(now, true)
		queue.Take(next)
		served[next.Caller]++
	}
	if served["a"] != 3 || served["b"] != 3 {
		t.Errorf("served %v of the first six, want three each", served)
	}
}
