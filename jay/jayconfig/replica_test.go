package jayconfig_test

import (
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"jayfield.example/jay/jayconfig"
	"jayfield.example/jay/jaylog"
)

// simulation is the model of the stateful test: a log with expiry, operators that publish
// concurrently, replicas that lag, crash and restart, and an oracle that has read every record.
type simulation struct {
	writer   *jaylog.Writer
	log      []jaylog.Entry
	oldest   int64
	oracle   []*jayconfig.State
	replicas []*jayconfig.Replica
	// highest is the highest offset that each replica has reached.
	highest []int64
	// startedAt is the offset at which each replica started reading after its last gap.
	startedAt []int64
	// gaps counts replicas that restored a state although they never read the records after it.
	gaps     int
	accepted int
	faults   int
}

func newSimulation(replicas int) *simulation {
	s := &simulation{writer: jaylog.NewWriter("operators"), oracle: []*jayconfig.State{jayconfig.NewState()}}
	for range replicas {
		s.replicas = append(s.replicas, &jayconfig.Replica{})
		s.highest = append(s.highest, -1)
		s.startedAt = append(s.startedAt, 0)
	}
	return s
}

func (s *simulation) append(t *rapid.T, record jaylog.Record) {
	entry := jaylog.Entry{Offset: int64(len(s.log)), Record: record}
	s.log = append(s.log, entry)
	next, err := s.oracle[entry.Offset].Apply(entry)
	if err != nil {
		t.Fatal(err)
	}
	s.oracle = append(s.oracle, next)
	if v, ok := next.Verdict(record.ID); ok && v.Offset == entry.Offset && v.Outcome == jayconfig.OutcomeAccepted {
		s.accepted++
	}
}

// describe formats the complete content of a state.
func describe(state *jayconfig.State) string {
	var b strings.Builder
	for _, o := range state.Objects() {
		fmt.Fprintf(&b, "%s%d\n", o.Text(), o.Version)
	}
	for _, v := range state.Verdicts() {
		fmt.Fprintf(&b, "%d %s %s\n", v.Offset, v.Outcome, v.Reason)
	}
	return b.String()
}

// check asserts that each replica's state equals the oracle's at the same offset, and that no replica
// returns to a lower offset.
func (s *simulation) check(t *rapid.T) {
	if s.gaps > 0 {
		t.Fatal("replica restored a checkpoint although it did not read the records after it")
	}
	for n, r := range s.replicas {
		state := r.State()
		if state == nil {
			continue
		}
		if state.Position() < s.highest[n] {
			t.Fatalf("replica %d went back from offset %d to %d", n, s.highest[n], state.Position())
		}
		s.highest[n] = state.Position()
		if got, want := describe(state), describe(s.oracle[state.Position()]); got != want {
			t.Fatalf("state of replica %d at offset %d:\n%s\nwant:\n%s", n, state.Position(), got, want)
		}
	}
}

func (s *simulation) publish(t *rapid.T) {
	name := jayconfig.Name{Class: jayconfig.ClassCaller, Name: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")}
	base := s.oracle[rapid.IntRange(max(0, len(s.oracle)-4), len(s.oracle)-1).Draw(t, "made from")]
	change := jayconfig.Change{
		Name: name, Base: base.Version(name), Delete: rapid.IntRange(0, 9).Draw(t, "delete") == 0,
		Fields: []jayconfig.Field{
			{Key: "key", Value: jayconfig.HashKey("k")},
			{Key: "weight", Value: fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "weight"))},
		},
	}
	body, err := jayconfig.Publish{Format: jayconfig.Format, Changes: []jayconfig.Change{change}}.Encode()
	if err != nil {
		t.Fatal(err)
	}
	record := s.writer.Record(jayconfig.RecordPublish, body)
	s.append(t, record)
	if rapid.IntRange(0, 4).Draw(t, "lost reply") == 0 {
		s.faults++
		s.append(t, record)
	}
}

func (s *simulation) read(n, count int) {
	r := s.replicas[n]
	if r.ReadOffset() < s.oldest {
		r.SkipTo(s.oldest)
		s.startedAt[n] = s.oldest
	}
	if len(s.log) == 0 {
		r.InitEmpty()
	}
	from := r.ReadOffset()
	to := min(from+int64(count), int64(len(s.log)))
	if from == to {
		return
	}
	fresh := r.State() == nil
	_ = r.Consume(s.log[from:to])
	if fresh && r.State() != nil && r.State().Position() < s.startedAt[n] {
		s.gaps++
	}
}

func (s *simulation) actions() map[string]func(*rapid.T) {
	pick := func(t *rapid.T) int { return rapid.IntRange(0, len(s.replicas)-1).Draw(t, "replica") }
	return map[string]func(*rapid.T){
		"":         s.check,
		"publish":  s.publish,
		"publish2": s.publish,
		"read":     func(t *rapid.T) { s.read(pick(t), rapid.IntRange(1, 6).Draw(t, "records")) },
		"read2":    func(t *rapid.T) { s.read(pick(t), rapid.IntRange(1, 6).Draw(t, "records")) },
		"checkpoint": func(t *rapid.T) {
			if state := s.replicas[pick(t)].State(); state != nil {
				body, err := state.Snapshot().Encode()
				if err != nil {
					t.Fatal(err)
				}
				s.append(t, s.writer.Record(jayconfig.RecordCheckpoint, body))
			}
		},
		"expire": func(t *rapid.T) {
			s.faults++
			s.oldest = int64(rapid.IntRange(int(s.oldest), len(s.log)).Draw(t, "oldest"))
		},
		"restart": func(t *rapid.T) {
			s.faults++
			n := pick(t)
			s.replicas[n], s.highest[n], s.startedAt[n] = &jayconfig.Replica{}, -1, 0
		},
		"ask peer": func(t *rapid.T) {
			from, to := pick(t), pick(t)
			state := s.replicas[from].State()
			if state == nil {
				return
			}
			body, err := state.Snapshot().Encode()
			if err != nil {
				t.Fatal(err)
			}
			snapshot, err := jayconfig.DecodeSnapshot(body)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := s.replicas[to].Restore(snapshot); err != nil {
				t.Fatal(err)
			}
		},
	}
}

// Checkpoints, snapshots, expired records, duplicate records and restarts must not make the state of one
// replica differ from the state computed from the whole log.
func TestReplicasAgree(t *testing.T) {
	accepted, faults, states := 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(4)
		t.Repeat(s.actions())
		accepted += s.accepted
		faults += s.faults
		for _, r := range s.replicas {
			if r.State() != nil {
				states++
			}
		}
	})
	t.Logf("accepted publishes: %d, faults: %d, replicas with a state at the end: %d", accepted, faults, states)
	if accepted == 0 || states == 0 {
		t.Error("the runs produced no accepted publish or no replica with a state")
	}
}

func TestParsePublishErrorsNameFileLineAndKey(t *testing.T) {
	tests := map[string]struct{ text, want string }{
		"bad rate":       {"[plan p]\nmodel = m\nmixed = fast\nprefill = 2/0\ndecode = 1/2\n", `f.ini:3: [plan p] mixed: "fast" is not prompt tokens and output tokens a second, such as 20000/600`},
		"unknown class":  {"[thing x]\na = b\n", `f.ini:1: [thing x]: "thing" is not one of upstream, service, route, caller, plan`},
		"no name":        {"[route]\nmodel = m\n", "f.ini:1: [route]: section is not named [class name]"},
		"unknown key":    {"[route r]\nmodel = m\nmade = n\n", "f.ini:3: [route r] made: unknown key"},
		"missing key":    {"[route r]\nrank = 1\n", "f.ini:1: [route r] model: key is missing"},
		"twice":          {"[route r]\nmodel = m\nmodel = n\n", "f.ini:2: [route r] model: key appears twice"},
		"bad selector":   {"[route r]\nmodel = m\nupstreams = a in (\n", "f.ini:3: [route r] upstreams: "},
		"bad address":    {"[upstream u]\naddress = engine\n", "f.ini:2: [upstream u] address: \"engine\" is not an address"},
		"clear key":      {"[caller c]\nkey = secret\n", "f.ini:2: [caller c] key: not sha256:"},
		"odd delete":     {"[route r]\ndelete = true\n", "f.ini:2: [route r] delete: "},
		"empty document": {"\n", "f.ini: document has no sections"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := jayconfig.ParsePublish("f.ini", test.text)
			if err == nil || !strings.Contains(err.Error(), test.want) {
				t.Errorf("error = %v, want %q", err, test.want)
			}
		})
	}
}
