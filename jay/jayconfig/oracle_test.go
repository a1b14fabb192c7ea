package jayconfig_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"jayfield.example/jay/jayconfig"
	"jayfield.example/jay/jaylog"
)

// TestReducerMatchesOracle compares the reducer with the documented rule: a publish is
// accepted if each object is at the version that the change is based on and every value
// is valid, and a duplicate record is applied only once.
func TestReducerMatchesOracle(t *testing.T) {
	accepted, refused := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		state := jayconfig.NewState()
		versions := make(map[string]int64)
		writer := jaylog.NewWriter("w")
		var records []jaylog.Record
		var wants []bool
		for offset := range int64(30) {
			record, want, change := drawPublish(t, writer, versions)
			repeat := len(records) > 0 && rapid.IntRange(0, 4).Draw(t, "repeat") == 0
			if repeat {
				n := rapid.IntRange(0, len(records)-1).Draw(t, "which")
				record, want = records[n], wants[n]
			} else {
				records, wants = append(records, record), append(wants, want)
				if want {
					versions[change.Name.Name] = offset + 1
				}
				if want && change.Delete {
					delete(versions, change.Name.Name)
				}
			}
			next, err := state.Apply(jaylog.Entry{Offset: offset, Record: record})
			if err != nil {
				t.Fatal(err)
			}
			state = next
			verdict, _ := state.Verdict(record.ID)
			if got := verdict.Outcome == jayconfig.OutcomeAccepted; got != want {
				t.Fatalf("offset %d: accepted = %t, want %t (%s)", offset, got, want, verdict.Reason)
			}
			if want {
				accepted++
			} else {
				refused++
			}
		}
		if len(state.Objects()) != len(versions) {
			t.Fatalf("%d objects, want %d", len(state.Objects()), len(versions))
		}
		for _, o := range state.Objects() {
			if o.Version != versions[o.Name.Name] {
				t.Fatalf("%s is at version %d, want %d", o.Name, o.Version, versions[o.Name.Name])
			}
		}
	})
	if accepted == 0 || refused == 0 {
		t.Error("the runs did not produce both accepted and refused publishes")
	}
}

// drawPublish draws a publish of one object and returns whether the reducer should accept it.
func drawPublish(t *rapid.T, writer *jaylog.Writer, versions map[string]int64) (jaylog.Record, bool, jayconfig.Change) {
	name := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "name")
	weight := rapid.IntRange(0, 3).Draw(t, "weight")
	stale := rapid.IntRange(0, 2).Draw(t, "stale") == 0
	change := jayconfig.Change{
		Name: jayconfig.Name{Class: jayconfig.ClassCaller, Name: name}, Base: versions[name],
		Delete: rapid.IntRange(0, 5).Draw(t, "delete") == 0,
		Fields: []jayconfig.Field{{Key: "key", Value: jayconfig.HashKey("k")}, {Key: "weight", Value: fmt.Sprint(weight)}},
	}
	if stale {
		change.Base++
	}
	body, err := jayconfig.Publish{Format: jayconfig.Format, Changes: []jayconfig.Change{change}}.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return writer.Record(jayconfig.RecordPublish, body), !stale && (change.Delete || weight > 0), change
}

// A record of a newer format comes from a newer version of the program. Skipping it or applying it by
// the old rules would make this instance's state differ from that of newer instances.
func TestApplyFailsOnNewerFormat(t *testing.T) {
	body, err := jayconfig.Publish{Format: jayconfig.Format + 1}.Encode()
	if err != nil {
		t.Fatal(err)
	}
	record := jaylog.NewWriter("w").Record(jayconfig.RecordPublish, body)
	state := jayconfig.NewState()
	after, err := state.Apply(jaylog.Entry{Offset: 0, Record: record})
	if err == nil || after.Position() != 0 {
		t.Errorf("position = %d, error = %v", after.Position(), err)
	}
}
