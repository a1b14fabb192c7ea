package jayplace_test

import (
	"fmt"
	"testing"
	"time"

	"jayfield.example/jay/jayplace"
)

// ask sends requests for some seconds and returns the share of them whose home only reads prompts.
func ask(t *testing.T, table *jayplace.Table, from time.Time, seconds, answer int) float64 {
	t.Helper()
	const perSecond = 10
	apart := 0
	for i := range seconds * perSecond {
		w := prompt(fmt.Sprint("r", i), fmt.Sprint("part", i%100), 2500)
		w.AnswerTokens = answer
		choice, err := table.Choose(from.Add(time.Duration(i)*time.Second/perSecond), w)
		if err != nil {
			t.Fatal(err)
		}
		if choice.Apart {
			apart++
		}
	}
	return float64(apart) / float64(seconds*perSecond)
}

// Prompts move to the engines that only read them while answers are long, and back after it.
func TestHomesFollowTheMix(t *testing.T) {
	const usual, long = 150, 700
	tests := map[string]struct {
		answer, seconds int
		moved           bool
	}{
		"usual answers":      {usual, 30, false},
		"long answers":       {long, 30, true},
		"one second of them": {long, 1, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			table := engines(4, 8)
			start := start
			first := ask(t, table, start, 30, usual)
			start = start.Add(30 * time.Second)
			ask(t, table, start, test.seconds, test.answer)
			start = start.Add(time.Duration(test.seconds) * time.Second)
			if after := ask(t, table, start, 1, test.answer); (after > first) != test.moved {
				t.Errorf("share read apart was %.2f and is %.2f, moved = %v wanted", first, after, test.moved)
			}
			if back := ask(t, table, start.Add(time.Minute), 30, usual); back < first-0.05 || back > first+0.05 {
				t.Errorf("share read apart was %.2f and is %.2f after the mix was usual again", first, back)
			}
		})
	}
}
