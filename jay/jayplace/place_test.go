package jayplace_test

import (
	"fmt"
	"testing"
	"time"

	"jayfield.example/jay/jayerror"
	"jayfield.example/jay/jayfleet"
	"jayfield.example/jay/jaymember"
	"jayfield.example/jay/jayplace"
	"jayfield.example/jay/jaystore"
)

var start = time.Unix(1000, 0)

// engines returns the table of an instance in zone z0, with engines spread over three zones.
func engines(prefill, decode int) *jayplace.Table {
	table := jayplace.NewTable(jayplace.Location{Zone: "z0", Region: "r0"}, map[string]string{"z0": "r0", "z1": "r1", "z2": "r2"})
	list := make([]jayfleet.Upstream, 0, prefill+decode)
	for i := range prefill + decode {
		u := jayfleet.Upstream{
			ID: fmt.Sprintf("e%02d", i), Service: "model", Address: fmt.Sprintf("10.0.0.%d:80", i+1),
			Zone: fmt.Sprintf("z%d", i%3), Slots: 128, Stage: jayfleet.StageDecode,
		}
		if i < prefill {
			u.Stage = jayfleet.StagePrefill
		}
		list = append(list, u)
	}
	table.Configure(list)
	return table
}

func prompt(id, prefix string, own int) jayplace.Work {
	return jayplace.Work{
		ID: id, Service: "model", Prompt: true, Prefix: prefix, PrefixTokens: 13_000, OwnTokens: own,
	}
}

// Instances that chose different homes for a prefix would have it prefilled several times. All
// must choose the same home, with the homes spread over the engines.
func TestSharedPrefixHasOneHome(t *testing.T) {
	one, other := engines(4, 8), engines(4, 8)
	homes := make(map[string]int)
	for i := range 300 {
		prefix := fmt.Sprintf("part%d", i%100)
		a, err := one.Choose(start, prompt(fmt.Sprint("a", i), prefix, 500))
		if err != nil {
			t.Fatal(err)
		}
		b, err := other.Choose(start, prompt(fmt.Sprint("b", i), prefix, 900))
		if err != nil {
			t.Fatal(err)
		}
		if a.Upstream.ID != b.Upstream.ID {
			t.Fatalf("%s has homes %s and %s", prefix, a.Upstream.ID, b.Upstream.ID)
		}
		homes[a.Upstream.ID]++
	}
	if len(homes) < 10 {
		t.Errorf("only %d of 12 engines are the home of a prefix", len(homes))
	}
}

// Removing an engine must move only the prefixes whose home it was; the others would be
// prefilled again elsewhere without need.
func TestHomesStayWhenAnotherEngineLeaves(t *testing.T) {
	table := engines(0, 9)
	before := make(map[string]string)
	for i := range 100 {
		prefix := fmt.Sprint("part", i)
		choice, err := table.Choose(start, prompt("r", prefix, 500))
		if err != nil {
			t.Fatal(err)
		}
		before[prefix] = choice.Upstream.ID
	}
	var rest []jayfleet.Upstream
	for i := 1; i < 9; i++ {
		rest = append(rest, jayfleet.Upstream{ID: fmt.Sprintf("e%02d", i), Service: "model", Address: fmt.Sprintf("10.0.0.%d:80", i+1), Stage: jayfleet.StageDecode})
	}
	table.Configure(rest)
	for prefix, home := range before {
		choice, err := table.Choose(start, prompt("r", prefix, 500))
		if err != nil {
			t.Fatal(err)
		}
		if home != "e00" && choice.Upstream.ID != home {
			t.Errorf("%s moved from %s to %s", prefix, home, choice.Upstream.ID)
		}
	}
}

// Guards against preemptible engines that state when they leave and still are homes of prefixes: the registry
// shows them as leaving, and the homes move with the next configuration, those of other engines stay.
func TestHomesLeavePreemptibleEnginesAtOnce(t *testing.T) {
	fleet, table := jayfleet.New(), jayplace.NewTable(jayplace.Location{Zone: "z", Region: "r"}, map[string]string{"z": "r"})
	entry := func(n int) jayfleet.Upstream {
		id := "engine-" + fmt.Sprint(n)
		return jayfleet.Upstream{ID: id, Service: "model", Address: id, Zone: "z", Slots: 64, Stage: jayfleet.StageDecode, Born: 1, Preemptible: n%2 == 0}
	}
	const engines, prefixes = 8, 200
	for n := range engines {
		fleet.Put(time.Time{}, jaystore.Position(n), entry(n))
	}
	homes := func() map[string]string {
		table.Configure(fleet.Available())
		homes := make(map[string]string)
		for n := range prefixes {
			w := prompt(fmt.Sprint(n), "prefix-"+fmt.Sprint(n), 100)
			w.Service = "model"
			choice, err := table.Choose(time.Unix(1000, 0), w)
			if err != nil {
				t.Fatal(err)
			}
			homes[w.Prefix] = choice.Upstream.ID
		}
		return homes
	}
	before, reclaimed := homes(), make(map[string]bool)
	for n := 0; n < engines; n += 2 {
		u := entry(n)
		u.Leaving, u.LeavesIn, u.Sequence = true, 2*time.Second, 1
		fleet.Put(time.Time{}, jaystore.Position(engines+n), u)
		reclaimed[u.ID] = true
	}
	for prefix, home := range homes() {
		switch {
		case reclaimed[home]:
			t.Errorf("home of %s is %s, which leaves", prefix, home)
		case !reclaimed[before[prefix]] && home != before[prefix]:
			t.Errorf("home of %s moved from %s, which stays, to %s", prefix, before[prefix], home)
		}
	}
}

// A prefix that another instance had prefilled must not count towards the tokens to prefill,
// which set the priority.
func TestPriorityIgnoresCachedTokens(t *testing.T) {
	table, other := engines(0, 8), engines(0, 8)
	work := prompt("r", "part", 700)
	cold, err := table.Choose(start, work)
	if err != nil {
		t.Fatal(err)
	}
	if cold.Cached || cold.PrefillTokens != 13_700 {
		t.Fatalf("cold choice = %+v", cold)
	}
	other.StartPrefill(cold)
	other.EndPrefill(start, cold, work.Prefix, true)
	table.MergePrefixes(start, other.AnnouncedPrefixes(start))
	warm, err := table.Choose(start, work)
	if err != nil {
		t.Fatal(err)
	}
	if !warm.Cached || warm.PrefillTokens != 700 || warm.Priority >= cold.Priority {
		t.Errorf("warm choice = %+v, cold %+v", warm, cold)
	}
	if later := other.AnnouncedPrefixes(start.Add(time.Minute)); len(later) != 0 {
		t.Errorf("announced after a minute: %v", later)
	}
}

// An engine without a shared prefix must fetch it from an engine that has cached it instead of
// prefilling it again.
func TestFetchesPrefixFromCachingEngine(t *testing.T) {
	table := engines(0, 6)
	work := prompt("r", "part", 700)
	first, err := table.Choose(start, work)
	if err != nil {
		t.Fatal(err)
	}
	table.StartPrefill(first)
	table.EndPrefill(start, first, work.Prefix, true)
	work.Avoid = map[string]bool{first.Upstream.ID: true}
	second, err := table.Choose(start, work)
	if err != nil {
		t.Fatal(err)
	}
	if second.Fetch != first.Upstream.Address || second.PrefillTokens != 700 {
		t.Errorf("second choice = %+v, want fetch from %s", second, first.Upstream.Address)
	}
}

// After a disaggregated prefill, the decode engine must be in the prefill engine's zone, and
// requests must spread evenly over the decode engines there.
func TestDecodeEngineIsNearPrefillEngine(t *testing.T) {
	table := engines(3, 6)
	prefillEngine := jayfleet.Upstream{ID: "e00", Zone: "z0"}
	counts := make(map[string]int)
	for i := range 20 {
		engine, err := table.DecodeUpstream(start, prompt(fmt.Sprint(i), "part", 1), prefillEngine)
		if err != nil {
			t.Fatal(err)
		}
		if engine.Zone != "z0" || engine.Stage != jayfleet.StageDecode {
			t.Fatalf("decode engine = %+v", engine)
		}
		counts[engine.ID]++
		table.Start(engine.ID)
	}
	if len(counts) != 2 || counts["e03"] != counts["e06"] {
		t.Errorf("requests by decode engine = %v, want both engines of the zone with the same number", counts)
	}
}

func TestChoosePlainRequest(t *testing.T) {
	slow := jayplace.Load{Running: 1, Slots: 6, Slowness: 400}
	full := jayplace.Load{Running: 6, Waiting: 9, Slots: 6}
	tests := map[string]struct {
		observe func(table *jayplace.Table)
		avoid   map[string]bool
		want    string
	}{
		"prefers the near upstream":        {func(*jayplace.Table) {}, nil, "near"},
		"avoids a slow upstream":           {func(table *jayplace.Table) { table.RecordLoad(start, "near", slow) }, nil, "far"},
		"avoids a full upstream":           {func(table *jayplace.Table) { table.RecordLoad(start, "near", full) }, nil, "far"},
		"avoids an upstream already tried": {func(*jayplace.Table) {}, map[string]bool{"near": true}, "far"},
		"avoids an upstream after repeated timeouts": {func(table *jayplace.Table) {
			for range 2 {
				table.Start("near")
				table.End(start, "near", jayplace.OutcomeTimeout, time.Second, false)
			}
		}, nil, "far"},
		"counts the work of other instances": {func(table *jayplace.Table) {
			table.SetPeerWork(map[uint32]jaymember.Work{jayplace.UpstreamHash("near"): {Running: 20}})
		}, nil, "far"},
		"uses an ejected upstream if there is no other": {func(table *jayplace.Table) {
			table.Start("near")
			table.End(start, "near", jayplace.OutcomeUnreachable, time.Second, false)
		}, map[string]bool{"far": true}, "near"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			table := jayplace.NewTable(jayplace.Location{Zone: "z0", Region: "r0"}, map[string]string{"z0": "r0", "z1": "r1"})
			table.Configure([]jayfleet.Upstream{
				{ID: "near", Service: "desk", Address: "10.0.0.1:80", Zone: "z0", Slots: 6},
				{ID: "far", Service: "desk", Address: "10.0.0.2:80", Zone: "z1", Slots: 6},
			})
			test.observe(table)
			choice, err := table.Choose(start, jayplace.Work{ID: "r", Service: "desk", Avoid: test.avoid})
			if err != nil {
				t.Fatal(err)
			}
			if choice.Upstream.ID != test.want {
				t.Errorf("upstream = %s, want %s", choice.Upstream.ID, test.want)
			}
		})
	}
}

func TestChooseWithoutUsableUpstream(t *testing.T) {
	table := engines(2, 0)
	if _, err := table.Choose(start, jayplace.Work{Service: "unknown"}); !jayerror.Is(err, jayplace.KindNone) {
		t.Errorf("error = %v, want kind none", err)
	}
	if _, err := table.Choose(start, prompt("r", "part", 1)); !jayerror.Is(err, jayplace.KindNone) {
		t.Errorf("error = %v, want kind none before a prefill without a decode engine", err)
	}
	if _, err := table.DecodeUpstream(start, prompt("r", "part", 1), jayfleet.Upstream{}); !jayerror.Is(err, jayplace.KindNone) {
		t.Errorf("error = %v, want kind none", err)
	}
}

// Single failed answers of a healthy service must not eject an upstream; a series must.
func TestEjection(t *testing.T) {
	tests := map[string]struct {
		outcomes []jayplace.Outcome
		want     bool
	}{
		"one failure in three does not eject": {[]jayplace.Outcome{"failed", "served", "served", "failed", "served", "served"}, false},
		"consecutive failures eject":          {[]jayplace.Outcome{"failed", "failed", "failed", "failed"}, true},
		"disconnected callers do not eject":   {[]jayplace.Outcome{"gone", "gone", "gone", "gone", "gone"}, false},
		"single timeouts do not eject":        {[]jayplace.Outcome{"silent", "served", "silent"}, false},
		"consecutive timeouts eject":          {[]jayplace.Outcome{"silent", "silent"}, true},
		"an unreachable upstream is ejected":  {[]jayplace.Outcome{"unreachable"}, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			table, ejected := engines(0, 1), false
			for _, outcome := range test.outcomes {
				table.Start("e00")
				ejected = table.End(start, "e00", outcome, time.Second, true) || ejected
			}
			if ejected != test.want {
				t.Errorf("ejected = %v, want %v", ejected, test.want)
			}
		})
	}
}

// Guards against a prefix that is in use all the time and announced only once: other instances take
// it for dropped after 30 s, and read it anew elsewhere.
func TestPrefixInUseIsAnnouncedAgain(t *testing.T) {
	table := jayplace.NewTable(jayplace.Location{Zone: "z0", Region: "r0"}, map[string]string{"z0": "r0"})
	table.Configure([]jayfleet.Upstream{{ID: "e", Service: "s", Address: "10.0.0.1:80", Zone: "z0", Slots: 4, Stage: jayfleet.StageDecode}})
	w := jayplace.Work{Service: "s", Prompt: true, Prefix: "p", PrefixTokens: 1000, OwnTokens: 10}
	latest := start
	for second := range 60 {
		now := start.Add(time.Duration(second) * time.Second)
		choice, err := table.Choose(now, w)
		if err != nil {
			t.Fatal(err)
		}
		table.StartPrefill(choice)
		table.EndPrefill(now, choice, w.Prefix, true)
		if len(table.AnnouncedPrefixes(now)) > 0 {
			latest = now
		}
		if age := now.Sub(latest); age > 10*time.Second {
			t.Fatalf("prefix in use was announced %s ago", age)
		}
	}
}
