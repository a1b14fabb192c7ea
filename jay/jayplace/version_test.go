package jayplace_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"jayfield.example/jay/jayerror"
	"jayfield.example/jay/jayfleet"
	"jayfield.example/jay/jayplace"
)

// versions draws engines of three versions, of which the last states none, and what happens to them.
type versions struct {
	table *jayplace.Table
	now   time.Time
	list  []jayfleet.Upstream
	// cached holds the engine, version and prefix of what was prefilled or fetched since the version last changed.
	cached map[[3]string]bool
}

func drawVersions(t *rapid.T) *versions {
	v := &versions{table: jayplace.NewTable(jayplace.Location{Zone: "z0", Region: "r"}, map[string]string{"z0": "r", "z1": "r"}), now: start, cached: make(map[[3]string]bool)}
	for n := range rapid.IntRange(2, 8).Draw(t, "engines") {
		id := fmt.Sprint("e", n)
		v.list = append(v.list, jayfleet.Upstream{
			ID: id, Address: id, Service: "model", Zone: fmt.Sprint("z", n%2), Slots: 4, Born: 1,
			Stage: rapid.SampledFrom([]jayfleet.Stage{jayfleet.StageDecode, jayfleet.StagePrefill}).Draw(t, "stage"), Version: drawVersion(t),
		})
	}
	v.table.Configure(v.list)
	return v
}

func drawVersion(t *rapid.T) string {
	return rapid.SampledFrom([]string{"v1", "v2", ""}).Draw(t, "version")
}

// step changes the state of one engine.
func (v *versions) step(t *rapid.T) {
	v.now = v.now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
	u := &v.list[rapid.IntRange(0, len(v.list)-1).Draw(t, "engine")]
	switch rapid.SampledFrom([]string{"fail", "busy", "leaving", "version", "tick", "none", "none"}).Draw(t, "step") {
	case "fail":
		v.table.Start(u.ID)
		v.table.End(v.now, u.ID, jayplace.OutcomeUnreachable, 0, true)
	case "busy":
		v.table.HoldBusy(v.now, *u, time.Second)
	case "leaving":
		v.table.MarkLeaving(v.now, *u)
	case "version":
		before := u.Version
		if u.Version = drawVersion(t); u.Version != before {
			for key := range v.cached {
				if key[0] == u.ID {
					delete(v.cached, key)
				}
			}
		}
		v.table.Configure(v.list)
	case "tick":
		v.table.AdvancePaces(v.now)
	}
}

// engine returns the engine with an ID, which is its address too.
func (v *versions) engine(id string) jayfleet.Upstream {
	for _, u := range v.list {
		if u.ID == id {
			return u
		}
	}
	return jayfleet.Upstream{}
}

func (v *versions) holds(id, prefix string) bool {
	return v.cached[[3]string{id, v.engine(id).Version, prefix}]
}

func (v *versions) mark(u jayfleet.Upstream, prefix string) {
	v.cached[[3]string{u.ID, u.Version, prefix}] = true
}

// Guards against streams and KV caches that pass from one software version to another, in any mix of versions, stages,
// ejected, limited and held engines, and against a prefill that nobody of its version decodes.
func TestVersionsStayApart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := drawVersions(t)
		for n := range rapid.IntRange(5, 60).Draw(t, "steps") {
			v.step(t)
			w := prompt(fmt.Sprint("r", n), fmt.Sprint("prefix", n%3), rapid.IntRange(1, 20_000).Draw(t, "tokens"))
			w.Prompt = rapid.IntRange(0, 9).Draw(t, "prompt") > 0
			w.Avoid = map[string]bool{v.list[n%len(v.list)].ID: rapid.Bool().Draw(t, "avoid")}
			if w.Pinned = rapid.Bool().Draw(t, "pinned"); w.Pinned {
				w.Version = drawVersion(t)
			}
			choice, err := v.table.Choose(v.now, w)
			if err != nil {
				if w.Pinned != strings.Contains(err.Error(), fmt.Sprintf("at version %q", w.Version)) || !jayerror.Is(err, jayplace.KindNone) {
					t.Fatalf("error %q of a request that is pinned: %v", err, w.Pinned)
				}
				continue
			}
			engine := choice.Upstream
			if w.Pinned && engine.Version != w.Version {
				t.Fatalf("%+v was chosen, want version %q", engine, w.Version)
			}
			if choice.Cached && !v.holds(engine.ID, w.Prefix) {
				t.Fatalf("%+v counts as an engine with the prefix", engine)
			}
			if choice.Fetch != "" && (v.engine(choice.Fetch).Version != engine.Version || !v.holds(choice.Fetch, w.Prefix)) {
				t.Fatalf("%+v fetches the prefix from %+v", engine, v.engine(choice.Fetch))
			}
			if !w.Prompt {
				continue
			}
			v.table.StartPrefill(choice)
			changes := rapid.Bool().Draw(t, "changes during prefill")
			if changes {
				v.step(t)
			}
			v.table.EndPrefill(v.now, choice, w.Prefix, true)
			if v.engine(engine.ID).Version == engine.Version {
				v.mark(engine, w.Prefix)
			}
			if !choice.Disaggregated {
				continue
			}
			decoder, err := v.table.DecodeUpstream(v.now, w, engine)
			if err != nil && !changes || err == nil && decoder.Version != engine.Version {
				t.Fatalf("%+v decodes for %+v, %v", decoder, engine, err)
			}
			if err == nil {
				v.mark(decoder, w.Prefix)
			}
		}
	})
}

// Guards against placement that changes with the name of the only version, or with the pin to it.
func TestOnlyVersionChangesNoChoice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		drawn := drawVersions(t)
		unnamed, named, pinned := drawn.named(""), drawn.named("v1"), drawn.named("v1")
		for n := range rapid.IntRange(5, 60).Draw(t, "steps") {
			now := start.Add(time.Duration(n) * 300 * time.Millisecond)
			id, failed := unnamed.list[rapid.IntRange(0, len(unnamed.list)-1).Draw(t, "engine")].ID, rapid.IntRange(0, 4).Draw(t, "failed") == 0
			w := prompt(fmt.Sprint("r", n), fmt.Sprint("prefix", n%5), rapid.IntRange(1, 20_000).Draw(t, "tokens"))
			results := make([]string, 0, 3)
			for _, v := range []*versions{unnamed, named, pinned} {
				if failed {
					v.table.Start(id)
					v.table.End(now, id, jayplace.OutcomeUnreachable, 0, true)
					v.table.AdvancePaces(now)
				}
				w.Pinned, w.Version = v == pinned, ""
				if w.Pinned {
					w.Version = "v1"
				}
				choice, err := v.table.Choose(now, w)
				result := fmt.Sprint(choice.Upstream.ID, choice.Disaggregated, choice.Cached, choice.Fetch, choice.Wait, choice.PrefillTokens, choice.Priority, choice.Full, err != nil)
				if err == nil {
					v.table.Start(choice.Upstream.ID)
					v.table.StartPrefill(choice)
					v.table.EndPrefill(now, choice, w.Prefix, true)
				}
				if choice.Disaggregated {
					decoder, err := v.table.DecodeUpstream(now, w, choice.Upstream)
					result += fmt.Sprint(decoder.ID, err != nil)
				}
				results = append(results, result)
			}
			if results[0] != results[1] || results[0] != results[2] {
				t.Fatalf("choices = %q", results)
			}
		}
	})
}

// named returns a table of the same engines at a version.
func (v *versions) named(version string) *versions {
	named := &versions{table: jayplace.NewTable(jayplace.Location{Zone: "z0", Region: "r"}, map[string]string{"z0": "r", "z1": "r"})}
	for _, u := range v.list {
		u.Version = version
		named.list = append(named.list, u)
	}
	named.table.Configure(named.list)
	return named
}

// Guards against a prefill that is lost since the only decode engine of its version is ejected while others are not.
func TestEjectedEngineDecodesForItsVersion(t *testing.T) {
	table := jayplace.NewTable(jayplace.Location{Zone: "z", Region: "r"}, map[string]string{"z": "r"})
	engine := func(id, version string, stage jayfleet.Stage) jayfleet.Upstream {
		return jayfleet.Upstream{ID: id, Address: id, Service: "model", Zone: "z", Slots: 4, Stage: stage, Version: version}
	}
	prefill := engine("p1", "v1", jayfleet.StagePrefill)
	table.Configure([]jayfleet.Upstream{prefill, engine("d1", "v1", jayfleet.StageDecode), engine("d2", "v2", jayfleet.StageDecode)})
	table.Start("d1")
	table.End(start, "d1", jayplace.OutcomeUnreachable, 0, true)
	w := prompt("r", "p", 100)
	w.Avoid = map[string]bool{prefill.ID: true}
	if decoder, err := table.DecodeUpstream(start, w, prefill); err != nil || decoder.ID != "d1" {
		t.Errorf("%s decodes, %v; want d1", decoder.ID, err)
	}
}
