package jayplace_test

import (
	"fmt"
	"testing"
	"time"

	"jayfield.example/jay/jayplace"
)

// sendFor sends requests for some seconds and returns the share of them whose home is a
// prefill engine.
func sendFor(t *testing.T, table *jayplace.Table, from time.Time, seconds, answer int) float64 {
	t.Helper()
	const perSecond = 10
	disaggregated := 0
	for i := range seconds * perSecond {
		w := prompt(fmt.Sprint("r", i), fmt.Sprint("part", i%100), 2500)
		w.ExpectedOutputTokens = answer
		choice, err := table.Choose(from.Add(time.Duration(i)*time.Second/perSecond), w)
		if err != nil {
			t.Fatal(err)
		}
		if choice.Disaggregated {
			disaggregated++
		}
	}
	return float64(disaggregated) / float64(seconds*perSecond)
}

// Long answers move prefills to the prefill engines, so that decode engines have shorter gaps
// between events, and usual answers move them back. A burst of one second must not move any
// prefills.
func TestHomesFollowWorkloadMix(t *testing.T) {
	const usual, long = 150, 700
	tests := map[string]struct {
		answer, seconds int
		moved           bool
	}{
		"usual answers keep the homes":                  {usual, 30, false},
		"long answers move homes":                       {long, 30, true},
		"a short burst of long answers keeps the homes": {long, 1, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			table := engines(4, 8)
			start := start
			first := sendFor(t, table, start, 30, usual)
			start = start.Add(30 * time.Second)
			sendFor(t, table, start, test.seconds, test.answer)
			start = start.Add(time.Duration(test.seconds) * time.Second)
			if after := sendFor(t, table, start, 1, test.answer); (after > first) != test.moved {
				t.Errorf("disaggregated share was %.2f and is %.2f, want moved = %v", first, after, test.moved)
			}
			if back := sendFor(t, table, start.Add(time.Minute), 30, usual); back < first-0.05 || back > first+0.05 {
				t.Errorf("disaggregated share was %.2f and is %.2f after the mix returned to the usual one", first, back)
			}
		})
	}
}
