package jayfleet_test

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"jayfield.example/jay/jayfleet"
)

func ids(f *jayfleet.Fleet) []string {
	available := f.Available()
	list := make([]string, 0, len(available))
	for _, u := range available {
		list = append(list, u.ID)
	}
	return list
}

func TestAvailable(t *testing.T) {
	now := time.Unix(1000, 0)
	a := jayfleet.Upstream{ID: "a", Service: "s", Address: "10.0.0.1:80", Born: 5, Sequence: 3}
	tests := map[string]struct {
		steps func(f *jayfleet.Fleet)
		want  []string
	}{
		"registered": {func(f *jayfleet.Fleet) { f.Put(0, a) }, []string{"a"}},
		"leaving": {func(f *jayfleet.Fleet) {
			leaving := a
			leaving.Leaving, leaving.Sequence = true, 4
			f.Put(0, a)
			f.Put(1, leaving)
		}, []string{}},
		"an older sequence number is ignored": {func(f *jayfleet.Fleet) {
			old := a
			old.Leaving, old.Sequence = true, 2
			f.Put(0, a)
			f.Put(1, old)
		}, []string{"a"}},
		"a restart makes a leaving upstream available": {func(f *jayfleet.Fleet) {
			leaving, again := a, a
			leaving.Leaving = true
			again.Born, again.Sequence = 9, 0
			f.Put(0, leaving)
			f.Put(1, again)
		}, []string{"a"}},
		"the upstream started last holds the address": {func(f *jayfleet.Fleet) {
			b := a
			b.ID, b.Born = "b", 9
			f.Put(0, b)
			f.Put(1, a)
		}, []string{"b"}},
		"an address whose newer holder is leaving is not available": {func(f *jayfleet.Fleet) {
			b := a
			b.ID, b.Born, b.Leaving = "b", 9, true
			f.Put(0, a)
			f.Put(1, b)
		}, []string{}},
		"removed": {func(f *jayfleet.Fleet) {
			f.Put(0, a)
			f.Remove(now, "a", 1)
		}, []string{}},
		"a removal with an older offset is ignored": {func(f *jayfleet.Fleet) {
			f.Put(5, a)
			f.Remove(now, "a", 4)
		}, []string{"a"}},
		"an entry expired during a store outage stays for the grace period": {func(f *jayfleet.Fleet) {
			f.Put(0, a)
			f.StoreUnavailable()
			f.StoreAvailable(now)
			f.Remove(now, "a", 1)
			f.Tick(now.Add(time.Second))
		}, []string{"a"}},
		"an entry missing after the grace period is removed": {func(f *jayfleet.Fleet) {
			f.Put(0, a)
			f.StoreUnavailable()
			f.StoreAvailable(now)
			f.Remove(now, "a", 1)
			f.Tick(now.Add(jayfleet.RemovalGrace))
		}, []string{}},
		"an entry registered again within the grace period stays": {func(f *jayfleet.Fleet) {
			f.Put(0, a)
			f.StoreUnavailable()
			f.StoreAvailable(now)
			f.Remove(now, "a", 1)
			f.Put(2, a)
			f.Tick(now.Add(time.Minute))
		}, []string{"a"}},
		"an entry missing from a snapshot is removed": {func(f *jayfleet.Fleet) {
			f.Put(0, a)
			f.Replace(now, 7, map[string]bool{})
		}, []string{}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := jayfleet.New()
			test.steps(f)
			if got := ids(f); !slices.Equal(got, test.want) {
				t.Errorf("available = %q, want %q", got, test.want)
			}
		})
	}
}

// Registrations may arrive out of order. For each ID, the one with the highest start time and
// sequence number must win, and no two available upstreams may share an address.
func TestAvailableAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := jayfleet.New()
		newest := make(map[string]jayfleet.Upstream)
		for offset := range rapid.IntRange(1, 60).Draw(t, "statements") {
			u := jayfleet.Upstream{
				ID:       rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "id"),
				Address:  rapid.SampledFrom([]string{"10.0.0.1:80", "10.0.0.2:80"}).Draw(t, "address"),
				Born:     int64(rapid.IntRange(0, 3).Draw(t, "born")),
				Sequence: int64(rapid.IntRange(0, 5).Draw(t, "sequence")),
				Leaving:  rapid.Bool().Draw(t, "leaving"),
			}
			f.Put(int64(offset), u)
			known, ok := newest[u.ID]
			if !ok || u.Born > known.Born || u.Born == known.Born && u.Sequence >= known.Sequence {
				newest[u.ID] = u
			}
		}
		seen := make(map[string]bool)
		for _, u := range f.Available() {
			if newest[u.ID] != u {
				t.Fatalf("available %+v, newest %+v", u, newest[u.ID])
			}
			if seen[u.Address] {
				t.Fatalf("two upstreams at %s", u.Address)
			}
			seen[u.Address] = true
		}
	})
}
