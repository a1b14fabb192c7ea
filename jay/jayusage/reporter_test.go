package jayusage_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"jayfield.example/jay/jaystore"
	"jayfield.example/jay/jayusage"
)

const (
	window = 5 * time.Second
	// recoverFor is the age of a window's end up to which its report may be made again.
	recoverFor = 28 * time.Second
)

// reporting is a model of holders that take turns, the store and the receiver.
type reporting struct {
	t *rapid.T
	// faults is the number of 10 calls that fail.
	faults int
	now    time.Time
	store  map[int64]jayusage.Stored
	end    jaystore.Position
	copies []storeCopy
	// late are writes without an answer that may still take effect.
	late    []lateWrite
	holders []*jayusage.Reporter
	holder  int
	sent    map[int64]jayusage.Stored
	// tried are the reports that were sent or may have been sent.
	tried    map[int64]jayusage.Stored
	sentAt   map[int64]time.Time
	requests uint64
	down     bool
	// known are the reports that each holder has read or written.
	known []map[int64]jayusage.Stored
	// lost is the number of reports that may have been sent and that the store lost.
	lost int
}

// storeCopy is a copy of the store.
type storeCopy struct {
	store map[int64]jayusage.Stored
	end   jaystore.Position
	at    time.Time
}

type lateWrite struct {
	end    jaystore.Position
	report jayusage.Stored
}

func newReporting(t *rapid.T, faults int) *reporting {
	m := &reporting{t: t, faults: faults, now: time.Unix(1_000_000, 0), store: make(map[int64]jayusage.Stored), sent: make(map[int64]jayusage.Stored), tried: make(map[int64]jayusage.Stored), sentAt: make(map[int64]time.Time)}
	for range 3 {
		m.holders = append(m.holders, jayusage.NewReporter(window))
		m.known = append(m.known, make(map[int64]jayusage.Stored))
	}
	m.holders[0].Gain(m.now)
	return m
}

func (m *reporting) fails(call string) bool {
	return m.faults > 0 && rapid.IntRange(0, 9).Draw(m.t, call) < m.faults
}

// put executes a conditional write.
func (m *reporting) put(w lateWrite) bool {
	if w.end != m.end {
		return false
	}
	m.copies = append(m.copies, storeCopy{maps.Clone(m.store), m.end, m.now})
	m.end++
	m.store[jayusage.Slot(w.report.Window)] = w.report
	return true
}

// missing returns the number of reports that may have been sent, may be made again, and are neither in a store nor known.
func (m *reporting) missing(store, known map[int64]jayusage.Stored) int {
	count := 0
	for number, report := range m.tried {
		held := store[jayusage.Slot(number)].Window >= number || known[number].Window == number && maps.Equal(known[number].Counts, report.Counts)
		if m.now.Sub(jayusage.WindowEnd(number, window)) <= recoverFor && !held {
			count++
		}
	}
	return count
}

// restore has the store come back from a copy that is not older than its last return, and that has all reports that may have been
// sent and that the holder does not know. Writes without an answer do not take effect after it.
func (m *reporting) restore() {
	copies := slices.DeleteFunc(slices.Clone(m.copies), func(c storeCopy) bool {
		return m.now.Sub(c.at) > 8*time.Second || m.missing(c.store, m.known[m.holder]) > 0
	})
	if len(copies) == 0 {
		return
	}
	c := copies[rapid.IntRange(0, len(copies)-1).Draw(m.t, "copy")]
	m.lost += m.missing(c.store, nil)
	m.store, m.end = maps.Clone(c.store), jaystore.NewPosition(m.end.Era()+1, c.end.Offset())
	m.late, m.copies = nil, []storeCopy{c}
	if rapid.Bool().Draw(m.t, "claimed anew") {
		m.holders[m.holder].Lose()
		m.now = m.now.Add(3 * time.Second)
		m.holders[m.holder].Gain(m.now)
	}
}

// step advances the time and lets the holder act until it has nothing to do.
func (m *reporting) step() {
	m.now = m.now.Add(250 * time.Millisecond)
	m.requests++
	if len(m.late) > 0 && rapid.IntRange(0, 3).Draw(m.t, "late write") == 0 {
		m.put(m.late[0])
		m.late = m.late[1:]
	}
	r := m.holders[m.holder]
	for range 10 {
		action := r.Next(m.now)
		switch action.Kind {
		case jayusage.ActionNone:
			return
		case jayusage.ActionRead:
			if m.fails("read") {
				r.RecordReadFailure(m.now)
				continue
			}
			var list []jayusage.Stored
			for _, report := range m.store {
				list = append(list, report)
				m.known[m.holder][report.Window] = report
			}
			r.RecordRead(m.now, list, m.end)
		case jayusage.ActionCollect:
			m.collect(r, action.Window)
		case jayusage.ActionWrite:
			m.write(r, action.End, jayusage.Stored{Window: action.Window, Counts: map[string]int{"a": int(action.Counts[1])}})
		case jayusage.ActionRewrite:
			m.write(r, action.End, action.Report)
		case jayusage.ActionSend:
			m.send(r, action.Report)
		}
	}
}

// collect supplies counts that differ with each collection, so that two reports of a window would differ.
func (m *reporting) collect(r *jayusage.Reporter, number int64) {
	zones := []jayusage.ZoneCounts{{Zone: "y"}, {Zone: "z"}}
	for n := range zones {
		if !m.fails("collect") {
			zones[n].Counts = map[uint32]uint64{1: m.requests, 2: 0}
		}
	}
	r.RecordCounts(m.now, number, zones)
}

func (m *reporting) write(r *jayusage.Reporter, end jaystore.Position, report jayusage.Stored) {
	w := lateWrite{end: end, report: report}
	switch {
	case m.fails("write"):
		if m.fails("executed") {
			m.put(w)
		} else {
			m.late = append(m.late, w)
		}
		r.RecordWrite(m.now, report, jayusage.OutcomeUnavailable)
	case m.put(w):
		m.known[m.holder][report.Window] = report
		r.RecordWrite(m.now, report, jayusage.OutcomeDone)
	default:
		r.RecordWrite(m.now, report, jayusage.OutcomeConflict)
	}
}

// send delivers a report; one without an answer is delivered all the same.
func (m *reporting) send(r *jayusage.Reporter, report jayusage.Stored) {
	m.tried[report.Window] = report
	if m.down {
		r.RecordSend(m.now, report.Window, jayusage.OutcomeUnavailable)
		return
	}
	if before, ok := m.sent[report.Window]; ok && !maps.Equal(before.Counts, report.Counts) {
		m.t.Fatalf("two reports of window %d: %v and %v", report.Window, before.Counts, report.Counts)
	}
	if _, ok := m.sent[report.Window]; !ok {
		m.sent[report.Window], m.sentAt[report.Window] = report, m.now
	}
	outcome := jayusage.OutcomeDone
	if m.fails("send") {
		outcome = jayusage.OutcomeUnavailable
	}
	r.RecordSend(m.now, report.Window, outcome)
}

// takeOver makes an instance the holder. The former one is stopped without a chance to act.
func (m *reporting) takeOver(next int) {
	m.holders[m.holder].Lose()
	m.holder = next
	m.holders[next].Gain(m.now)
}

// Guards against two reports of one window that differ, whatever calls fail, take effect late or go without an answer,
// whoever holds the duty, and if the store loses reports that the holder knows; and against windows that are left out once
// calls succeed again.
func TestReportsOfOneWindowNeverDiffer(t *testing.T) {
	lost := 0
	rapid.Check(t, func(t *rapid.T) {
		m := newReporting(t, rapid.IntRange(0, 6).Draw(t, "faults"))
		for range rapid.IntRange(0, 300).Draw(t, "steps") {
			switch rapid.IntRange(0, 30).Draw(t, "event") {
			case 0:
				// What the holder may have sent is not known to others until it has been written again.
				if m.missing(m.store, nil) == 0 {
					m.takeOver(rapid.IntRange(0, 2).Draw(t, "holder"))
				}
			case 3:
				m.restore()
			case 1:
				m.down = !m.down
			case 2:
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 12).Draw(t, "pause")) * time.Second)
			}
			m.step()
		}
		m.faults, m.down, m.late = 0, false, nil
		from := m.now
		for range 4 * 10 {
			m.step()
		}
		if missing := m.missing(m.store, nil); missing > 0 {
			t.Fatalf("%d reports that may have been sent are not in the store", missing)
		}
		for range 4 * 20 {
			m.step()
		}
		m.checkSent(from, 10*time.Second)
		lost += m.lost
	})
	t.Logf("reports that may have been sent and that the store lost: %d", lost)
	if lost == 0 {
		t.Error("the store lost no report that may have been sent")
	}
}

// checkSent reports windows that ended in the time since one point and were not sent within a time.
func (m *reporting) checkSent(from time.Time, within time.Duration) {
	first := jayusage.WindowAt(from, window)
	for number := first; jayusage.WindowEnd(number, window).Add(within).Before(m.now); number++ {
		if at, ok := m.sentAt[number]; !ok || at.Sub(jayusage.WindowEnd(number, window)) > within {
			m.t.Fatalf("window %d, which ended at %s, was sent at %s (%v)", number, jayusage.WindowEnd(number, window), at, ok)
		}
	}
}

// Guards against reports that are late or left out on a calm day, and during a receiver's outage of 30 s, after which they are due at
// once; and against a successor that leaves out windows that ended before its turn.
func TestReportsAreSentInTime(t *testing.T) {
	tests := map[string]struct {
		outage, takeOver time.Duration
	}{"calm": {}, "receiver down": {outage: 30 * time.Second}, "holder replaced after 7 s without one": {takeOver: 7 * time.Second}}
	for name, test := range tests {
		t.Run(name, rapid.MakeCheck(func(t *rapid.T) {
			m := newReporting(t, 0)
			m.now = m.now.Add(time.Duration(rapid.IntRange(0, 4900).Draw(t, "phase")) * time.Millisecond)
			from := m.now
			for range 4 * rapid.IntRange(6, 20).Draw(t, "before") {
				m.step()
			}
			m.down = test.outage > 0
			for range test.outage / (250 * time.Millisecond) {
				m.step()
			}
			m.down = false
			if test.takeOver > 0 {
				m.now = m.now.Add(test.takeOver)
				m.takeOver(1)
			}
			for range 4 * 30 {
				m.step()
			}
			m.checkSent(from, 10*time.Second+test.outage+test.takeOver)
		}))
	}
}

// Guards against a report made from no zone at all, and against one that waits for a zone for more than 4 s.
func TestReportWithoutZones(t *testing.T) {
	tests := map[string]struct {
		zones []jayusage.ZoneCounts
		want  string
	}{
		"no zone answers":           {[]jayusage.ZoneCounts{{Zone: "y"}, {Zone: "z"}}, "[] []"},
		"no zone is known":          {nil, "[] []"},
		"one zone does not answer":  {[]jayusage.ZoneCounts{{Zone: "y"}, {Zone: "z", Counts: map[uint32]uint64{1: 4}}}, "[z] [y]"},
		"zones without any request": {[]jayusage.ZoneCounts{{Zone: "y", Counts: map[uint32]uint64{}}, {Zone: "z", Counts: map[uint32]uint64{}}}, "[y z] []"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r, now, written := jayusage.NewReporter(window), jayusage.WindowEnd(200_000, window), jayusage.Action{}
			r.Gain(now.Add(-time.Second))
			r.RecordRead(now, []jayusage.Stored{{Window: 199_999}}, 1)
			for end := now.Add(4500 * time.Millisecond); now.Before(end); now = now.Add(100 * time.Millisecond) {
				switch action := r.Next(now); action.Kind {
				case jayusage.ActionCollect:
					r.RecordCounts(now, action.Window, test.zones)
				case jayusage.ActionSend:
					r.RecordSend(now, action.Window, jayusage.OutcomeDone)
				case jayusage.ActionWrite:
					written = action
				default:
				}
			}
			if got := fmt.Sprint(written.Zones, written.Missing); got != test.want {
				t.Errorf("zones and missing zones = %s, want %s", got, test.want)
			}
		})
	}
}

// Guards against calls of a holder whose token the receiver has refused.
func TestReporterStopsWhenFenced(t *testing.T) {
	r, now := jayusage.NewReporter(window), jayusage.WindowEnd(200_000, window)
	r.Gain(now)
	r.RecordRead(now, []jayusage.Stored{{Window: 200_000}}, 1)
	if action := r.Next(now); action.Kind != jayusage.ActionSend {
		t.Fatalf("action = %+v, want a send", action)
	}
	r.RecordSend(now, 200_000, jayusage.OutcomeFenced)
	if action := r.Next(now.Add(time.Minute)); action.Kind != jayusage.ActionNone {
		t.Errorf("action = %+v after the token was refused", action)
	}
	r.Gain(now)
	if action := r.Next(now); action.Kind != jayusage.ActionRead {
		t.Errorf("action = %+v with another token, want a read", action)
	}
}

// Guards against windows that nobody reported and whose counts are still kept, but that the next holder leaves out,
// reports out of order, or reports so slowly that newer windows become late, also while a zone does not answer.
func TestMissedWindowsAreReportedInOrder(t *testing.T) {
	const first = 200_000
	tests := map[string]struct {
		// vacant is the time since the end of the first window without a report, unsent the number of windows before
		// that whose reports the predecessor wrote and did not send.
		vacant time.Duration
		unsent int
		mute   bool
		// lost is the number of these windows whose counts are not kept, took the time until those that were due are sent.
		lost int
		took time.Duration
	}{
		"two windows":                       {vacant: 11 * time.Second, unsent: 1, took: 100 * time.Millisecond},
		"all kept windows":                  {vacant: 27 * time.Second, lost: 1, took: 100 * time.Millisecond},
		"a written report":                  {vacant: 22 * time.Second, took: 100 * time.Millisecond},
		"counts are gone":                   {vacant: 41 * time.Second, lost: 4, took: 100 * time.Millisecond},
		"a zone does not answer":            {vacant: 11 * time.Second, mute: true, took: 2200 * time.Millisecond},
		"a zone does not answer for longer": {vacant: 22 * time.Second, mute: true, took: 2200 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r, began := jayusage.NewReporter(window), jayusage.WindowEnd(first, window).Add(test.vacant)
			stored := make([]jayusage.Stored, 0, test.unsent+1)
			for n := range test.unsent + 1 {
				stored = append(stored, jayusage.Stored{Window: int64(first - 1 - n)})
			}
			r.Gain(began)
			var sent []int64
			took := time.Duration(0)
			for now := began; now.Before(began.Add(4 * time.Second)); now = now.Add(100 * time.Millisecond) {
				for action := r.Next(now); action.Kind != jayusage.ActionNone; action = r.Next(now) {
					switch action.Kind {
					case jayusage.ActionRead:
						r.RecordRead(now, stored, 1)
					case jayusage.ActionCollect:
						zones := []jayusage.ZoneCounts{{Zone: "y", Counts: map[uint32]uint64{1: 4}}, {Zone: "z"}}
						if !test.mute {
							zones[1].Counts = map[uint32]uint64{1: 4}
						}
						r.RecordCounts(now, action.Window, zones)
					case jayusage.ActionWrite:
						r.RecordWrite(now, jayusage.Stored{Window: action.Window}, jayusage.OutcomeDone)
					case jayusage.ActionSend:
						r.RecordSend(now, action.Window, jayusage.OutcomeDone)
						sent = append(sent, action.Window)
						if jayusage.WindowEnd(action.Window, window).Add(4 * time.Second).Before(began) {
							took = now.Sub(began)
						}
					case jayusage.ActionNone, jayusage.ActionRewrite:
					}
				}
			}
			var want []int64
			for w := int64(first - 1 - test.unsent + test.lost); jayusage.WindowEnd(w, window).Before(began.Add(-100 * time.Millisecond)); w++ {
				want = append(want, w)
			}
			if took > test.took || !slices.Equal(sent, want) {
				t.Errorf("windows %v were sent after %s, want %v within %s", sent, took, want, test.took)
			}
		})
	}
}

// Guards against a report that is sent although the store has lost it, so that another holder would make it again.
func TestLostReportIsWrittenAgainBeforeItIsSent(t *testing.T) {
	r, now := jayusage.NewReporter(window), jayusage.WindowEnd(200_000, window)
	report := jayusage.Stored{Window: 200_000, Counts: map[string]int{"a": 4}}
	r.Gain(now)
	r.RecordRead(now, []jayusage.Stored{report}, 1)
	r.Lose()
	r.Gain(now)
	r.RecordRead(now, nil, jaystore.NewPosition(1, 0))
	if action := r.Next(now); action.Kind != jayusage.ActionRewrite || action.End != jaystore.NewPosition(1, 0) || !maps.Equal(action.Report.Counts, report.Counts) {
		t.Fatalf("action = %+v, want the report to be written again", action)
	}
	r.RecordWrite(now, report, jayusage.OutcomeDone)
	if action := r.Next(now); action.Kind != jayusage.ActionSend || action.Window != report.Window {
		t.Errorf("action = %+v, want the report to be sent", action)
	}
}
