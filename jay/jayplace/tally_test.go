package jayplace_test

import (
	"slices"
	"testing"
	"time"

	"jayfield.example/jay/jaymember"
	"jayfield.example/jay/jayplace"
)

// send has an instance send to the only engine and tells how that ended.
func send(table *jayplace.Table, now time.Time, outcomes ...jayplace.Outcome) {
	for _, outcome := range outcomes {
		table.Start("e00")
		table.End(now, "e00", outcome, time.Millisecond, true)
	}
}

// sum returns the sums of what instances state.
func sum(now time.Time, tables ...*jayplace.Table) map[uint32]jaymember.Tally {
	sums := make(map[uint32]jaymember.Tally)
	for _, table := range tables {
		for _, tally := range table.Tallies(now) {
			sums[tally.Upstream] = tally.Plus(sums[tally.Upstream])
		}
	}
	return sums
}

// An engine at which most sends of all instances fail gets no more work from
// any, though none of them has failed there more than once.
func TestEjectedTogether(t *testing.T) {
	tests := map[string]struct {
		others  [][]jayplace.Outcome
		ejected bool
	}{
		"one instance fails":         {[][]jayplace.Outcome{{"broken"}}, false},
		"three instances fail":       {[][]jayplace.Outcome{{"broken"}, {"failed"}, {"unreachable"}}, true},
		"most sends are served":      {[][]jayplace.Outcome{{"broken", "served"}, {"broken", "served"}, {"broken", "served", "served"}}, false},
		"callers left, no room":      {[][]jayplace.Outcome{{"gone", "refused"}, {"silent", "gone"}, {"refused", "silent"}}, false},
		"others are served there":    {[][]jayplace.Outcome{{"broken"}, {"broken"}, {"broken"}, {"served", "served", "served", "served"}}, false},
		"the address went elsewhere": {[][]jayplace.Outcome{{"moved"}, {"moved"}, {"moved"}}, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			self := engines(0, 1)
			others := make([]*jayplace.Table, 0, len(test.others))
			for _, outcomes := range test.others {
				table := engines(0, 1)
				send(table, start, outcomes...)
				others = append(others, table)
			}
			// Those that were served state so once they have heard of failures.
			for _, table := range others {
				table.HeardTallies(start, sum(start, others...))
			}
			if got := self.HeardTallies(start, sum(start, others...)); slices.Contains(got, "e00") != test.ejected {
				t.Errorf("ejected = %v, want %v", got, test.ejected)
			}
		})
	}
}

// What happened some seconds ago is not stated any more.
func TestTalliesEnd(t *testing.T) {
	tests := map[string]struct {
		after time.Duration
		want  int
	}{
		"at once":        {0, 2},
		"a second later": {1100 * time.Millisecond, 2},
		"later":          {2500 * time.Millisecond, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			table, failed := engines(0, 1), 0
			send(table, start, "broken", "broken")
			for _, tally := range table.Tallies(start.Add(test.after)) {
				failed += tally.Failed
			}
			if failed != test.want {
				t.Errorf("%d failures stated, want %d", failed, test.want)
			}
		})
	}
}
