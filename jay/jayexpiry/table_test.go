package jayexpiry_test

import (
	"fmt"
	"testing"
	"time"

	"jayfield.example/jay/jayexpiry"
)

// observe observes the same for some time, each second, and returns when an entry is first due, or -1 s.
func observe(t *jayexpiry.Table, start time.Time, length time.Duration, o jayexpiry.Observation) time.Duration {
	for at := time.Duration(0); at <= length; at += time.Second {
		if _, due := t.Observe(start.Add(at), o); due {
			return at
		}
	}
	return -time.Second
}

func TestEntryIsDue(t *testing.T) {
	a, b, c := jayexpiry.Instance{Name: "a", Incarnation: "1", Zone: "y"}, jayexpiry.Instance{Name: "b", Incarnation: "2", Zone: "y"}, jayexpiry.Instance{Name: "c", Incarnation: "3", Zone: "z"}
	gone, leaving := jayexpiry.Instance{Name: "gone", Incarnation: "9", Zone: "y"}, jayexpiry.Instance{Name: "d", Incarnation: "0", Zone: "y", Leaving: true}
	tests := map[string]struct {
		o    jayexpiry.Observation
		want time.Duration
	}{
		"all are alive":                        {jayexpiry.Observation{Self: a, Live: []jayexpiry.Instance{b}, Entries: []jayexpiry.Instance{a, b}}, -time.Second},
		"the first of the zone":                {jayexpiry.Observation{Self: a, Live: []jayexpiry.Instance{b, c}, Entries: []jayexpiry.Instance{a, b, gone}}, jayexpiry.Delay},
		"the second of the zone":               {jayexpiry.Observation{Self: b, Live: []jayexpiry.Instance{a, c}, Entries: []jayexpiry.Instance{gone}}, 2 * jayexpiry.Delay},
		"one that is leaving is not in line":   {jayexpiry.Observation{Self: a, Live: []jayexpiry.Instance{leaving}, Entries: []jayexpiry.Instance{gone}}, jayexpiry.Delay},
		"this one is leaving":                  {jayexpiry.Observation{Self: leaving, Live: []jayexpiry.Instance{a}, Entries: []jayexpiry.Instance{gone}}, -time.Second},
		"another zone after those of the zone": {jayexpiry.Observation{Self: c, Live: []jayexpiry.Instance{a, b}, Entries: []jayexpiry.Instance{gone}}, 3 * jayexpiry.Delay},
		"another zone, none of the zone left":  {jayexpiry.Observation{Self: c, Live: []jayexpiry.Instance{{Name: "e", Incarnation: "4", Zone: "z"}}, Entries: []jayexpiry.Instance{gone}}, jayexpiry.Delay},
		"no other instance is observed":        {jayexpiry.Observation{Self: a, Entries: []jayexpiry.Instance{gone}}, 4 * jayexpiry.Delay},
		"a predecessor under the own name":     {jayexpiry.Observation{Self: a, Live: []jayexpiry.Instance{b}, Entries: []jayexpiry.Instance{{Name: "a", Incarnation: "0", Zone: "y"}}}, -time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := observe(jayexpiry.NewTable(), time.Unix(1000, 0), 10*jayexpiry.Delay, test.o); got != test.want {
				t.Errorf("due after %s, want %s", got, test.want)
			}
		})
	}
}

// Guards against an instance that was paused and then takes all others for gone.
func TestPausedInstanceStartsAnew(t *testing.T) {
	self, other, gone := jayexpiry.Instance{Name: "a", Incarnation: "1", Zone: "z"}, jayexpiry.Instance{Name: "b", Incarnation: "2", Zone: "z"}, jayexpiry.Instance{Name: "c", Incarnation: "3", Zone: "z"}
	table, now := jayexpiry.NewTable(), time.Unix(1000, 0)
	o := jayexpiry.Observation{Self: self, Live: []jayexpiry.Instance{other}, Entries: []jayexpiry.Instance{self, other, gone}}
	if at := observe(table, now, jayexpiry.Delay-time.Second, o); at >= 0 {
		t.Fatalf("entry due after %s", at)
	}
	if got := observe(table, now.Add(time.Hour), time.Minute, o); got != jayexpiry.Delay {
		t.Errorf("due %s after the pause, want %s", got, jayexpiry.Delay)
	}
}

// Guards against two instances that can't reach each other, but reach the store: one removes the entry, the other
// registers again, for as long as that lasts.
func TestRemovalOfInstanceThatReturnsBacksOff(t *testing.T) {
	self, other, cut := jayexpiry.Instance{Name: "a", Incarnation: "1", Zone: "z"}, jayexpiry.Instance{Name: "b", Incarnation: "2", Zone: "z"}, jayexpiry.Instance{Name: "c", Incarnation: "3", Zone: "z"}
	table, start, removals := jayexpiry.NewTable(), time.Unix(1000, 0), 0
	for at := time.Duration(0); at < time.Hour; at += time.Second {
		o := jayexpiry.Observation{Self: self, Live: []jayexpiry.Instance{other}, Entries: []jayexpiry.Instance{self, other, cut}}
		if entry, due := table.Observe(start.Add(at), o); due {
			table.Removed(start.Add(at), entry)
			removals++
			o.Entries = o.Entries[:2]
			table.Observe(start.Add(at+time.Second), o)
			at += 2 * time.Second
		}
	}
	if removals < 2 || removals > 8 {
		t.Errorf("%d removals in an hour, want 2 to 8", removals)
	}
}

// Guards against calls to a store that is away, once a second and instance.
func TestFailedRemovalBacksOff(t *testing.T) {
	self, other, gone := jayexpiry.Instance{Name: "a", Incarnation: "1", Zone: "z"}, jayexpiry.Instance{Name: "b", Incarnation: "2", Zone: "z"}, jayexpiry.Instance{Name: "c", Incarnation: "3", Zone: "z"}
	table, start, calls := jayexpiry.NewTable(), time.Unix(1000, 0), 0
	o := jayexpiry.Observation{Self: self, Live: []jayexpiry.Instance{other}, Entries: []jayexpiry.Instance{gone}}
	for at := time.Duration(0); at < time.Hour; at += time.Second {
		if _, due := table.Observe(start.Add(at), o); due {
			table.Failed(start.Add(at))
			calls++
		}
	}
	if calls > 130 {
		t.Errorf("%d calls in an hour, want at most 130", calls)
	}
}

// BenchmarkObserve measures a round at the size of docs/CAPACITY.md.
func BenchmarkObserve(b *testing.B) {
	o := jayexpiry.Observation{Self: jayexpiry.Instance{Name: "self", Incarnation: "self", Zone: "z0"}}
	for n := range 980 {
		i := jayexpiry.Instance{Name: fmt.Sprint("i", n), Incarnation: fmt.Sprint("i", n), Zone: fmt.Sprint("z", n%29)}
		o.Live, o.Entries = append(o.Live, i), append(o.Entries, i)
	}
	table, now := jayexpiry.NewTable(), time.Unix(1000, 0)
	for b.Loop() {
		now = now.Add(500 * time.Millisecond)
		table.Observe(now, o)
	}
}
