// Package jaymeasure holds what all measurements use: times and their
// quantiles, and the processor time of the process.
package jaymeasure

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// longest bounds the times that are told apart.
	longest = 5 * time.Minute
	// digits is the number of significant digits of a quantile.
	digits = 3
)

// Histogram collects times. It is not safe for concurrent use.
type Histogram struct {
	times *hdrhistogram.Histogram
}

// NewHistogram returns a histogram without times.
func NewHistogram() Histogram {
	return Histogram{times: hdrhistogram.New(1, longest.Microseconds(), digits)}
}

// Quantile returns the time that a part of all times, in percent, does not exceed.
func (h Histogram) Quantile(percent float64) time.Duration {
	return time.Duration(h.times.ValueAtQuantile(percent)) * time.Microsecond
}

// Record takes in a time; one above the longest is left out.
func (h Histogram) Record(d time.Duration) {
	_ = h.times.RecordValue(d.Microseconds())
}
