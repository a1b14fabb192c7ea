// Package jayexperiment offers seeded load to a whole site and compares
// policies: the daemon's real parts and small stand-in engines, on loopback.
package jayexperiment

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Class tells kinds of work apart in results.
type Class string

// Classes of work.
const (
	ClassHigh  Class = "high"
	ClassShort Class = "short"
	ClassLong  Class = "long"
)

// Arrival is one request of a load.
type Arrival struct {
	At     time.Duration
	Number int
	Caller string
	Class  Class
	Region string
	// Prompt and Output are tokens.
	Prompt, Output int
	// Deadline is how long the caller waits for the whole answer.
	Deadline time.Duration
}

// Work draws the size of a request.
type Work func(source *rand.Rand) (class Class, prompt, output int)

// Phase is a part of a load with one rate.
type Phase struct {
	Name   string
	Length time.Duration
	// Rate returns requests a second at a time since the phase began.
	Rate func(at time.Duration) float64
	Work Work
}

// steady returns a rate that does not change.
func steady(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// draw returns the arrivals of phases, by a Poisson process whose rate changes.
func draw(seed uint64, phases []Phase, regions, callers []string, deadline time.Duration) []Arrival {
	source := rand.New(rand.NewPCG(seed, 0)) //nolint:gosec // Arrivals need no secrets.
	var list []Arrival
	start := time.Duration(0)
	for _, phase := range phases {
		for at := time.Duration(0); at < phase.Length; {
			rate := phase.Rate(at)
			at += time.Duration(source.ExpFloat64() / rate * float64(time.Second))
			if at >= phase.Length {
				break
			}
			class, prompt, output := phase.Work(source)
			caller := callers[source.IntN(len(callers))]
			if class == ClassHigh {
				caller = "urgent"
			}
			list = append(list, Arrival{
				At: start + at, Number: len(list), Caller: caller, Class: class,
				Region: regions[source.IntN(len(regions))], Prompt: prompt, Output: output, Deadline: deadline,
			})
		}
		start += phase.Length
	}
	return list
}

// text returns a prompt of a number of tokens that no other request shares.
func (a Arrival) text() string {
	const line = "field %d pitch 38 slate on battens, eave 11.4 m, zone C2; "
	text := fmt.Sprintf("request %d of %s: ", a.Number, a.Caller)
	for len(text) < a.Prompt*4 {
		text += fmt.Sprintf(line, len(text))
	}
	return text[:a.Prompt*4]
}
