package jayexperiment

import (
	"time"

	"jayfield.example/jaybench/internal/jaymeasure"
)

// Status is what became of a request.
type Status string

// Statuses of requests.
const (
	// StatusDone means that the whole answer came within the deadline.
	StatusDone Status = "done"
	// StatusLate means that the deadline passed first.
	StatusLate Status = "late"
	// StatusRefused means that the request was refused as not run.
	StatusRefused Status = "refused"
	// StatusFailed means anything else.
	StatusFailed Status = "failed"
)

// Outcome is what became of one request.
type Outcome struct {
	Arrival Arrival
	Status  Status
	// First is the time to the first token, Took to the last or to the refusal.
	First, Took time.Duration
	// Waited is the part of First that an instance's queue took.
	Waited time.Duration
	Tokens int
}

// quantile returns a quantile, in percent, of a duration over the outcomes that a condition picks.
func quantile(outcomes []Outcome, percent float64, pick func(Outcome) bool, value func(Outcome) time.Duration) time.Duration {
	h := jaymeasure.NewHistogram()
	for _, o := range outcomes {
		if pick(o) {
			h.Record(value(o))
		}
	}
	return h.Quantile(percent)
}

// count returns the number of outcomes that a condition picks.
func count(outcomes []Outcome, pick func(Outcome) bool) int {
	n := 0
	for _, o := range outcomes {
		if pick(o) {
			n++
		}
	}
	return n
}

// between picks the outcomes that arrived in a span of time.
func between(outcomes []Outcome, from, to time.Duration) []Outcome {
	var list []Outcome
	for _, o := range outcomes {
		if o.Arrival.At >= from && o.Arrival.At < to {
			list = append(list, o)
		}
	}
	return list
}

func isDone(o Outcome) bool { return o.Status == StatusDone }

func waited(o Outcome) time.Duration { return o.Waited }

func first(o Outcome) time.Duration { return o.First }

func took(o Outcome) time.Duration { return o.Took }

// begun picks requests of a class that got a first token.
func begun(class Class) func(Outcome) bool {
	return func(o Outcome) bool { return o.Arrival.Class == class && o.First > 0 }
}
