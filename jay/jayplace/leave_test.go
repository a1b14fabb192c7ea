package jayplace_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"jayfield.example/jay/jayfleet"
	"jayfield.example/jay/jayplace"
	"jayfield.example/jay/jaystore"
)

// Guards against work, hand-overs and fetches of prefixes that an engine cannot finish before it ends: by the
// entry that states the remaining time, or by a response, whatever else has failed or was tried.
func TestLeavingEnginesGetNoWork(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const count = 6
		fleet, table := jayfleet.New(), jayplace.NewTable(jayplace.Location{Zone: "z0", Region: "r"}, map[string]string{"z0": "r", "z1": "r"})
		now, offset, leaving := start, jaystore.Position(0), make(map[string]bool)
		entries := make(map[string]jayfleet.Upstream)
		put := func(u jayfleet.Upstream) {
			offset++
			u.Sequence = int64(offset)
			entries[u.ID] = u
			fleet.Put(time.Time{}, offset, u)
			table.Configure(fleet.Available())
		}
		for n := range count {
			stage := jayfleet.StageDecode
			if n%3 == 0 {
				stage = jayfleet.StagePrefill
			}
			id := fmt.Sprint("e", n)
			put(jayfleet.Upstream{ID: id, Address: id, Service: "model", Zone: fmt.Sprint("z", n%2), Slots: 4, Stage: stage, Born: 1, Preemptible: n%2 == 0})
		}
		for n := range rapid.IntRange(5, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			id := fmt.Sprint("e", rapid.IntRange(0, count-1).Draw(t, "engine"))
			switch rapid.SampledFrom([]string{"place", "place", "place", "entry", "statement", "fail"}).Draw(t, "step") {
			case "entry":
				u := entries[id]
				u.Leaving, u.LeavesIn = true, time.Duration(rapid.IntRange(1, 10_000).Draw(t, "remaining"))*time.Millisecond
				put(u)
				leaving[id] = true
			case "statement":
				table.MarkLeaving(now, entries[id])
				leaving[id] = true
			case "fail":
				table.Start(id)
				table.End(now, id, jayplace.OutcomeUnreachable, 0, false)
			default:
				w := prompt(fmt.Sprint("r", n), fmt.Sprint("prefix", n%5), rapid.IntRange(1, 20_000).Draw(t, "tokens"))
				w.Avoid = map[string]bool{id: true}
				choice, err := table.Choose(now, w)
				if err != nil {
					continue
				}
				if leaving[choice.Upstream.ID] || leaving[choice.Fetch] {
					t.Fatalf("%s was chosen, with a prefix from %q; %v leave", choice.Upstream.ID, choice.Fetch, leaving)
				}
				table.StartPrefill(choice)
				if !choice.Disaggregated {
					continue
				}
				if decoder, err := table.DecodeUpstream(now, w, choice.Upstream); err == nil && leaving[decoder.ID] {
					t.Fatalf("%s was chosen to decode; %v leave", decoder.ID, leaving)
				}
			}
		}
	})
}
