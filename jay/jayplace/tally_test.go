package jayplace_test

import (
	"slices"
	"testing"
	"time"

	"jayfield.example/jay/jaymember"
	"jayfield.example/jay/jayplace"
)

// send sends requests to the only engine and records the outcomes.
func send(table *jayplace.Table, now time.Time, outcomes ...jayplace.Outcome) {
	for _, outcome := range outcomes {
		table.Start("e00")
		table.End(now, "e00", outcome, time.Millisecond, true)
	}
}

// sum returns the sums of the counts that instances announce.
func sum(now time.Time, tables ...*jayplace.Table) map[uint32]jaymember.Tally {
	sums := make(map[uint32]jaymember.Tally)
	for _, table := range tables {
		for _, tally := range table.Tallies(now) {
			sums[tally.Upstream] = tally.Plus(sums[tally.Upstream])
		}
	}
	return sums
}

// With many instances, each sends too few requests to a failing engine to eject it alone. An
// engine at which most sends of all instances fail must be ejected, though no instance failed
// there more than once.
func TestEjectsOnCombinedFailures(t *testing.T) {
	tests := map[string]struct {
		others  [][]jayplace.Outcome
		ejected bool
	}{
		"failure at one instance does not eject":          {[][]jayplace.Outcome{{"broken"}}, false},
		"failures at three instances eject":               {[][]jayplace.Outcome{{"broken"}, {"failed"}, {"unreachable"}}, true},
		"mostly served sends do not eject":                {[][]jayplace.Outcome{{"broken", "served"}, {"broken", "served"}, {"broken", "served", "served"}}, false},
		"disconnects, refusals and timeouts do not count": {[][]jayplace.Outcome{{"gone", "refused"}, {"silent", "gone"}, {"refused", "silent"}}, false},
		"served sends of another instance count":          {[][]jayplace.Outcome{{"broken"}, {"broken"}, {"broken"}, {"served", "served", "served", "served"}}, false},
		"a moved address counts as failure":               {[][]jayplace.Outcome{{"moved"}, {"moved"}, {"moved"}}, true},
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
			// Instances whose sends were served announce their counts only after others
			// reported failures.
			for _, table := range others {
				table.MergeTallies(start, sum(start, others...))
			}
			if got := self.MergeTallies(start, sum(start, others...)); slices.Contains(got, "e00") != test.ejected {
				t.Errorf("ejected = %v, want %v", got, test.ejected)
			}
		})
	}
}

// Counts older than two periods must not be announced any more.
func TestTalliesExpire(t *testing.T) {
	tests := map[string]struct {
		after time.Duration
		want  int
	}{
		"announced at once":        {0, 2},
		"announced a second later": {1100 * time.Millisecond, 2},
		"later":                    {2500 * time.Millisecond, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			table, failed := engines(0, 1), 0
			send(table, start, "broken", "broken")
			for _, tally := range table.Tallies(start.Add(test.after)) {
				failed += tally.Failed
			}
			if failed != test.want {
				t.Errorf("%d failures announced, want %d", failed, test.want)
			}
		})
	}
}
