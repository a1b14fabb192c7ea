package jaystream_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"jayfield.example/jay/jayerror"
	"jayfield.example/jay/jaystream"
)

func ExampleTable_LookUp() {
	now, t := time.Unix(1000, 0), jaystream.NewTable()
	t.SetRegistered(now, map[string][]string{"chat": {"1.4", "1.5"}})
	t.Begin(now, "chat", "attempt-1", "1.4")
	fmt.Println(t.LookUp(now, "chat", "attempt-1", jaystream.Progress{}))
	fmt.Println(t.LookUp(now, "chat", "attempt-2", jaystream.Progress{}))
	// Output:
	// {done own 1.4}
	// {read  }
}

const service = "chat"

// timeout is the time limit of streams, so a version remains in play for twice as long.
const timeout = 6 * time.Second

// world is a registry, a log and instances. A stream that its instance no longer serves is taken up within the timeout.
type world struct {
	now time.Time
	// registry holds the registered versions after each change of it, and changed when it changed.
	registry  [][]string
	changed   []time.Time
	log       [][]byte
	era       int
	instances []*instance
	streams   []*taken
	attempts  int
	// first is the first entry of the registry that instances which read on still find.
	first int
	// brief is set if instances that start see only a short part of the registry's history.
	brief bool
}

type taken struct {
	attempt, version string
	began            time.Time
	// at is the instance that serves the stream, nil if it broke.
	at *instance
	// recordedIn is the era in which its record is known to be in the log, -1 if it is not.
	recordedIn int
}

type instance struct {
	table *jaystream.Table
	// registry is the number of changes of the registry that were read, next the position in the log.
	registry, next, era int
	cut                 bool
	initial, loaded     bool
	// started is when the instance started, or last skipped entries of the registry, which sets skipped.
	started time.Time
	skipped bool
}

func (w *world) start() *instance {
	i := &instance{table: jaystream.NewTable(), started: w.now}
	i.table.SetTimeout(timeout)
	return i
}

// follow reads the registry.
func (w *world) follow(i *instance) {
	if i.cut {
		return
	}
	if i.registry == 0 {
		for i.registry = range w.registry {
			if next := i.registry + 1; !w.brief || next == len(w.registry) || w.now.Sub(w.changed[next]) < 3*time.Second {
				break
			}
		}
	}
	if i.registry < w.first && i.loaded {
		i.registry, i.started, i.skipped = w.first, w.now, true
		i.table.Gap(w.now)
	}
	i.loaded = true
	for ; i.registry < len(w.registry); i.registry++ {
		for _, version := range w.registry[i.registry] {
			i.table.Observe(w.now, service, version)
		}
	}
	i.table.SetRegistered(w.now, map[string][]string{service: w.registry[len(w.registry)-1]})
}

// read reads the log, and reports whether the store answered.
func (w *world) read(t *rapid.T, i *instance) bool {
	if i.cut {
		return false
	}
	if i.era != w.era {
		i.era, i.next = w.era, 0
	}
	for ; i.next < len(w.log); i.next++ {
		groups, err := jaystream.DecodeRecord(w.log[i.next])
		if err != nil {
			t.Fatal(err)
		}
		i.table.Read(w.now, groups)
	}
	i.table.ReadAll(w.now)
	return true
}

// record appends what is due.
func (w *world) record(t *rapid.T, i *instance) {
	groups := i.table.Due(w.now)
	if slices.ContainsFunc(groups, func(g jaystream.Group) bool { return len(g.Streams) == 0 }) {
		w.follow(i)
		groups = i.table.Due(w.now)
	}
	if len(groups) == 0 || i.cut {
		return
	}
	record, err := jaystream.EncodeRecord(groups)
	if err != nil {
		t.Fatal(err)
	}
	outcome := "answered"
	if !w.brief {
		outcome = rapid.SampledFrom([]string{"answered", "answered", "lost", "refused"}).Draw(t, "append")
	}
	if outcome != "refused" {
		w.log = append(w.log, record)
	}
	if outcome != "answered" {
		return
	}
	i.table.Appended(groups)
	for _, s := range w.streams {
		for _, g := range groups {
			if slices.Contains(g.Streams, jaystream.NewKey(service, s.attempt)) {
				s.recordedIn = w.era
			}
		}
	}
}

func (w *world) pass(t *rapid.T, d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(100 * time.Millisecond)
		for _, i := range w.instances {
			if w.brief || rapid.Bool().Draw(t, "follow") {
				w.follow(i)
				if !i.initial {
					i.initial = w.read(t, i)
				}
			}
			i.table.Tick(w.now)
			w.record(t, i)
		}
	}
}

// only returns whether one version was registered in all the time in which another one can be in play.
func (w *world) only() bool {
	versions := map[string]bool{}
	for n, list := range w.registry {
		if n+1 == len(w.registry) || w.now.Sub(w.changed[n+1]) < 8*timeout {
			for _, v := range list {
				versions[v] = true
			}
		}
	}
	return len(versions) == 1
}

func (w *world) lookUp(t *rapid.T, i *instance, s *taken) {
	var p jaystream.Progress
	answer := i.table.LookUp(w.now, service, s.attempt, p)
	for ; answer.Step != jaystream.StepDone; answer = i.table.LookUp(w.now, service, s.attempt, p) {
		if answer.Step == jaystream.StepConfirm {
			p.Confirmed, p.Unconfirmed = true, i.cut
			w.follow(i)
			continue
		}
		p.Reads++
		p.Failed = !w.read(t, i)
	}
	behind := i.registry < len(w.registry)
	switch {
	case answer.Result == jaystream.ResultUnknown:
		if !i.cut && s.recordedIn == w.era {
			t.Fatalf("stream of the log is unknown: %+v", *s)
		}
		// The history of the registry shows an instance that has just started versions of long ago.
		if !i.cut && w.now.Sub(i.started) > 3*timeout && w.only() {
			t.Fatalf("stream is unknown, and one version only is in play: %+v", *s)
		}
	case answer.Result == jaystream.ResultUnconfirmed && behind:
		// While the store does not answer, an instance goes on with the version that it knows.
	case w.brief && s.recordedIn < 0, i.skipped && s.recordedIn < w.era && !s.began.After(i.started):
		// Neither the log nor a short history of the registry needs to show the version of a stream that began before a kill.
	case answer.Version != s.version:
		t.Fatalf("version = %s by result %s, want %s", answer.Version, answer.Result, s.version)
	}
}

// Guards against a caller that lost the end of a complete response and cannot take the stream up at another instance.
func TestCompleteStreamIsRecorded(t *testing.T) {
	now, table := time.Unix(1000, 0), jaystream.NewTable()
	table.SetRegistered(now, map[string][]string{service: {"a", "b"}})
	table.Begin(now, service, "x", "a")
	if table.End(now, service, "x", true) {
		t.Error("record of a complete stream is urgent")
	}
	due := table.Due(now)
	if len(due) != 1 || due[0].Version != "a" || !slices.Equal(due[0].Streams, []jaystream.Key{jaystream.NewKey(service, "x")}) {
		t.Errorf("due = %+v", due)
	}
}

// Guards against a stream that goes on at another version, whatever the order of releases, kills, batches, outages and returns of
// the store from a copy; and against one that is refused though its version can be known.
func TestStreamsGoOnAtTheirVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{now: time.Unix(1000, 0), registry: [][]string{{"a"}}, changed: []time.Time{time.Unix(1000, 0)}, brief: rapid.Bool().Draw(t, "brief")}
		for range 3 {
			w.instances = append(w.instances, w.start())
		}
		index := rapid.IntRange(0, len(w.instances)-1)
		change := func(versions []string) {
			w.registry, w.changed = append(w.registry, versions), append(w.changed, w.now)
		}
		versions := func() []string { return w.registry[len(w.registry)-1] }
		begin := func(i *instance, version string) *taken {
			// An instance knows the upstreams that it uses.
			if !slices.Contains(i.table.Versions(w.now, service), version) {
				return nil
			}
			s := &taken{attempt: fmt.Sprint("attempt-", w.attempts), version: version, began: w.now, at: i, recordedIn: -1}
			w.streams, w.attempts = append(w.streams, s), w.attempts+1
			i.table.Begin(w.now, service, s.attempt, version)
			return s
		}
		kill := func(n int) {
			for _, s := range w.streams {
				if s.at == w.instances[n] {
					s.at = nil
				}
			}
			w.instances[n] = w.start()
		}
		t.Repeat(map[string]func(*rapid.T){
			"register": func(t *rapid.T) {
				if v := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "version"); !slices.Contains(versions(), v) {
					change(append(slices.Clone(versions()), v))
				}
			},
			"retire": func(t *rapid.T) {
				if len(versions()) > 1 {
					v := rapid.SampledFrom(versions()).Draw(t, "version")
					change(slices.DeleteFunc(slices.Clone(versions()), func(other string) bool { return other == v }))
				}
			},
			"begin": func(t *rapid.T) {
				begin(w.instances[index.Draw(t, "instance")], rapid.SampledFrom(versions()).Draw(t, "version"))
			},
			"break": func(t *rapid.T) {
				for _, s := range w.streams {
					if s.at != nil && rapid.Bool().Draw(t, "breaks") {
						if s.at.table.End(w.now, service, s.attempt, false) {
							w.record(t, s.at)
						}
						s.at = nil
					}
				}
			},
			"kill": func(t *rapid.T) { kill(index.Draw(t, "instance")) },
			"kill all": func(*rapid.T) {
				for n := range w.instances {
					kill(n)
				}
			},
			"cut": func(t *rapid.T) {
				if !w.brief {
					i := w.instances[index.Draw(t, "instance")]
					i.cut = !i.cut
				}
			},
			"compact": func(*rapid.T) { w.first = len(w.registry) - 1 },
			// A version comes and goes while an instance does not read the registry, whose history is removed after that.
			"compact a release": func(t *rapid.T) {
				behind, other := w.instances[index.Draw(t, "behind")], w.instances[index.Draw(t, "other")]
				was, before := behind.cut, versions()
				behind.cut = true
				change(append(slices.Clone(before), "d"))
				w.follow(other)
				s := begin(other, "d")
				w.pass(t, 200*time.Millisecond)
				change(before)
				w.first, behind.cut = len(w.registry)-1, was
				if s != nil {
					other.table.End(w.now, service, s.attempt, false)
					s.at = nil
				}
			},
			"restore": func(t *rapid.T) {
				if !w.brief {
					w.log = slices.Clone(w.log[:rapid.IntRange(0, len(w.log)).Draw(t, "records")])
					w.era++
					for _, i := range w.instances {
						i.table.Rewind()
					}
				}
			},
			"pass": func(t *rapid.T) {
				w.pass(t, time.Duration(rapid.SampledFrom([]int{1, 3, 20, 140}).Draw(t, "time"))*100*time.Millisecond)
			},
			"take up": func(t *rapid.T) {
				for _, s := range w.streams {
					if s.at == nil && w.now.Sub(s.began) <= timeout {
						w.lookUp(t, w.instances[index.Draw(t, "instance")], s)
					}
				}
			},
			"": func(*rapid.T) {
				w.streams = slices.DeleteFunc(w.streams, func(s *taken) bool { return w.now.Sub(s.began) > timeout })
			},
		})
	})
}

func TestLookUp(t *testing.T) {
	now := time.Unix(1000, 0)
	later := now.Add(time.Hour)
	several := func(t *jaystream.Table) {
		t.SetRegistered(now, map[string][]string{service: {"a", "b"}, "other": {"a"}})
	}
	only := func(t *jaystream.Table) { t.SetRegistered(now, map[string][]string{service: {"a"}}) }
	read, confirm := jaystream.Answer{Step: jaystream.StepRead}, jaystream.Answer{Step: jaystream.StepConfirm}
	unknown := jaystream.Answer{Step: jaystream.StepDone, Result: jaystream.ResultUnknown}
	done := func(r jaystream.Result, v string) jaystream.Answer {
		return jaystream.Answer{Step: jaystream.StepDone, Result: r, Version: v}
	}
	tests := map[string]struct {
		prepare  func(*jaystream.Table)
		at       time.Time
		attempt  string
		progress jaystream.Progress
		want     jaystream.Answer
	}{
		"registry not read":                    {func(*jaystream.Table) {}, now, "x", jaystream.Progress{}, read},
		"registry not read, log has nothing":   {func(*jaystream.Table) {}, now, "x", jaystream.Progress{Reads: 3}, unknown},
		"started just now, one version":        {only, now, "x", jaystream.Progress{}, read},
		"started just now, read refused":       {only, now, "x", jaystream.Progress{Reads: 1, Failed: true}, read},
		"started just now, all reads refused":  {only, now, "x", jaystream.Progress{Reads: 3, Failed: true}, unknown},
		"started just now, log does not reply": {only, now, "x", jaystream.Progress{Reads: 1, Failed: true, Silent: true}, unknown},
		"one version":                          {only, later, "x", jaystream.Progress{}, confirm},
		"one version, confirmed":               {only, later, "", jaystream.Progress{Confirmed: true}, done(jaystream.ResultOnly, "a")},
		"one version, no reply":                {only, later, "x", jaystream.Progress{Confirmed: true, Unconfirmed: true}, done(jaystream.ResultUnconfirmed, "a")},
		"several versions":                     {several, later, "x", jaystream.Progress{Confirmed: true}, read},
		"no version": {func(t *jaystream.Table) {
			t.SetRegistered(now, map[string][]string{"other": {"a"}})
		}, later, "x", jaystream.Progress{}, unknown},
		"several versions, no attempt":         {several, later, "", jaystream.Progress{}, unknown},
		"several versions, not in the log":     {several, later, "x", jaystream.Progress{Reads: 3}, unknown},
		"several versions, read refused":       {several, later, "x", jaystream.Progress{Reads: 1, Failed: true}, read},
		"several versions, all reads refused":  {several, later, "x", jaystream.Progress{Reads: 3, Failed: true}, unknown},
		"several versions, log does not reply": {several, later, "x", jaystream.Progress{Reads: 1, Failed: true, Silent: true}, unknown},
		"stream of another service": {func(t *jaystream.Table) {
			several(t)
			t.Begin(later, "other", "x", "a")
		}, later, "x", jaystream.Progress{Reads: 3}, unknown},
		"one attempt at two versions": {func(t *jaystream.Table) {
			several(t)
			t.Begin(later, service, "x", "a")
			t.Begin(later, service, "x", "b")
		}, later, "x", jaystream.Progress{}, unknown},
		"stream that ended complete": {func(t *jaystream.Table) {
			several(t)
			t.Begin(later, service, "x", "a")
			t.End(later, service, "x", true)
		}, later, "x", jaystream.Progress{}, done(jaystream.ResultOwn, "a")},
		"started just now, log shows a version that left": {func(t *jaystream.Table) {
			only(t)
			t.Read(now, []jaystream.Group{{Service: 1}, recorded("y", "b")})
			t.ReadAll(now)
		}, now, "x", jaystream.Progress{Reads: 3}, unknown},
		"started just now, log shows that a version has left": {func(t *jaystream.Table) {
			only(t)
			left := recorded("y", "b")
			left.Streams = nil
			t.Read(now, []jaystream.Group{recorded("y", "b"), left})
			t.ReadAll(now)
		}, now, "x", jaystream.Progress{}, confirm},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			table := jaystream.NewTable()
			test.prepare(table)
			if got := table.LookUp(test.at, service, test.attempt, test.progress); got != test.want {
				t.Errorf("answer = %+v, want %+v", got, test.want)
			}
		})
	}
}

func TestDoubt(t *testing.T) {
	now := time.Unix(1000, 0)
	load := func(versions ...string) func(*jaystream.Table) {
		return func(t *jaystream.Table) {
			t.SetRegistered(now, map[string][]string{service: versions})
			t.ReadAll(now)
		}
	}
	tests := map[string]struct {
		prepare       func(*jaystream.Table)
		attempt, want string
	}{
		"registry not read": {func(*jaystream.Table) {}, "x", "the instance does not know yet which versions were in play"},
		"registry skipped": {func(t *jaystream.Table) {
			load("a", "b")(t)
			t.Gap(now.Add(1))
		}, "x", "the instance does not know yet which versions were in play"},
		"no version": {load(), "x", "no version is in play"},
		"no attempt": {load("a", "b"), "", "the attempt is not named, and several versions were in play"},
		"no record":  {load("a", "b"), "x", "no record of the stream, and several versions were in play"},
		"ambiguous": {func(t *jaystream.Table) {
			load("a", "b")(t)
			t.Begin(now, service, "x", "a")
			t.Begin(now, service, "x", "b")
		}, "x", "several versions began streams under the attempt"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			table := jaystream.NewTable()
			test.prepare(table)
			if got := table.Doubt(now.Add(time.Second), service, test.attempt); got != test.want {
				t.Errorf("doubt = %q, want %q", got, test.want)
			}
		})
	}
}

// Guards against instances that start after a release and refuse streams, since the log shows the former version.
func TestLogStatesThatVersionHasLeft(t *testing.T) {
	table, now := jaystream.NewTable(), time.Unix(1000, 0)
	table.SetRegistered(now, map[string][]string{service: {"a", "b"}})
	if changes := table.Tick(now); len(changes) != 1 || !changes[0].Several {
		t.Errorf("changes = %v, want several versions", changes)
	}
	table.SetRegistered(now, map[string][]string{service: {"b"}})
	now = now.Add(jaystream.Window(0))
	if changes, due := table.Tick(now), table.Due(now); len(changes) != 0 || len(due) != 0 {
		t.Errorf("changes = %v, due = %v within the window", changes, due)
	}
	now = now.Add(1)
	if changes := table.Tick(now); len(changes) != 1 || changes[0].Several {
		t.Errorf("changes = %v, want one version", changes)
	}
	due := table.Due(now)
	if len(due) != 1 || due[0].Version != "a" || len(due[0].Streams) != 0 {
		t.Errorf("due = %v, want that a has left", due)
	}
	table.Appended(due)
	if due := table.Due(now); len(due) != 0 {
		t.Errorf("due = %v after it was appended", due)
	}
}

// recorded returns the group of one stream as an instance records it.
func recorded(attempt, version string) jaystream.Group {
	t, now := jaystream.NewTable(), time.Unix(1000, 0)
	t.SetRegistered(now, map[string][]string{service: {version, version + "'"}})
	t.Begin(now, service, attempt, version)
	return t.Due(now)[0]
}

func TestDecodeRecordOfAnotherFormat(t *testing.T) {
	for _, record := range []string{"", "x", "\x91\x93\xa1x\xa1a\x90"} {
		if groups, err := jaystream.DecodeRecord([]byte(record)); !jayerror.Is(err, jaystream.KindFormat) {
			t.Errorf("decode %q = %v, %v; want kind %s", record, groups, err, jaystream.KindFormat)
		}
	}
}
