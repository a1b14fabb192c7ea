package jayfigure

import (
	"math"
	"time"
)

// Octaves is the number of classes of a Counts: engines that take 1/4, 1/2, 1, 2 and 4 times as
// long as the model predicts.
const Octaves = 5

// centre is the class of engines that take as long as predicted.
const centre = Octaves / 2

// Counts is the number of samples in each class. Counts of several instances can be added.
type Counts [Octaves]int

// Total returns the number of samples.
func (c Counts) Total() int {
	total := 0
	for _, n := range c {
		total += n
	}
	return total
}

// Plus returns the sum of two counts.
func (c Counts) Plus(other Counts) Counts {
	for i, n := range other {
		c[i] += n
	}
	return c
}

// Minus returns the difference of two counts, at least zero in each class.
func (c Counts) Minus(other Counts) Counts {
	for i, n := range other {
		c[i] = max(0, c[i]-n)
	}
	return c
}

// Median returns the base-2 logarithm of the median factor, interpolated within its class. It
// returns 0 without samples.
func (c Counts) Median() float64 {
	half, below := float64(c.Total())/2, 0.0
	for i, n := range c {
		if n > 0 && below+float64(n) >= half {
			return float64(i-centre) - 0.5 + (half-below)/float64(n)
		}
		below += float64(n)
	}
	return 0
}

// period is the length of each of the two periods that a window covers. Together they span about
// a wave of load, and enough samples of all instances for a median.
const period = 6 * time.Second

// Window counts the samples of the current and the previous period.
type Window struct {
	since             time.Time
	current, previous Counts
}

// Observe counts a sample by its error against the model.
func (w *Window) Observe(now time.Time, e float64) {
	w.rotate(now)
	octave := math.Round(e / math.Ln2)
	w.current[int(min(max(octave, -centre), centre))+centre]++
}

// Counts returns the counts of both periods.
func (w *Window) Counts(now time.Time) Counts {
	w.rotate(now)
	return w.previous.Plus(w.current)
}

// rotate begins a new period if the current one has passed.
func (w *Window) rotate(now time.Time) {
	switch passed := now.Sub(w.since); {
	case passed < period:
		return
	case passed < 2*period:
		w.previous = w.current
	default:
		w.previous = Counts{}
	}
	w.current, w.since = Counts{}, now
}
