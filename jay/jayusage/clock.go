// Package jayusage counts the requests of client accounts in windows of time, and reports them. It does
// no I/O. Instances agree on the time of day (Clock), count (Counter), merge each other's counts (Cells),
// and the one that holds the duty writes and sends the reports (Reporter). Meter joins the parts that every
// instance has.
package jayusage

import (
	"cmp"
	"slices"
	"time"
)

const (
	// sampleTTL is the age from which a sample of another instance's clock is dropped.
	sampleTTL = 10 * time.Second
	// minCommon is the number of clocks from which an instance states their median to others. A median
	// of fewer could follow two clocks that have stepped.
	minCommon = 5
	// maxWeight bounds the number of clocks that a stated median counts for.
	maxWeight = 64
)

// Sample is what another instance states about the time of day, as an offset to the own monotonic clock.
type Sample struct {
	// Own is the offset of the other instance's own time of day.
	Own time.Duration
	// Common is the offset of the median of Weight clocks that the other instance observes directly.
	// Without a weight only Own is stated.
	Common time.Duration
	Weight int
}

// Clock is the time of day on which instances agree: the own monotonic clock and an offset, the median of
// the offsets of the instances that exchange heartbeats with this one. Times are those of the own monotonic clock.
//
// An instance in a partial mesh exchanges heartbeats with two hubs only, so that two clocks that have stepped
// would be a majority. A hub therefore states the median of the clocks that it observes directly,
// and that median counts for their number. Medians are made of clocks only, never of other medians, so
// that instances do not confirm each other's errors.
type Clock struct {
	own     time.Duration
	known   bool
	samples map[string]timedSample
	agreed  time.Duration
	started bool
}

type timedSample struct {
	Sample
	at time.Duration
}

// NewClock returns a clock without samples.
func NewClock() *Clock {
	return &Clock{samples: make(map[string]timedSample)}
}

// SetOwn sets the offset of the own time of day to the own monotonic clock.
func (c *Clock) SetOwn(now, offset time.Duration) {
	c.own, c.known = offset, true
	c.update(now)
}

// Observe sets the sample of another instance.
func (c *Clock) Observe(now time.Duration, instance string, s Sample) {
	s.Weight = min(s.Weight, maxWeight)
	c.samples[instance] = timedSample{Sample: s, at: now}
	c.update(now)
}

// Offset returns the agreed offset to the own monotonic clock.
func (c *Clock) Offset() time.Duration {
	return c.agreed
}

// Common returns the median of the clocks that this instance observes directly and their number, 0 if they are too
// few to be stated to others.
func (c *Clock) Common() (offset time.Duration, weight int) {
	points := c.clocks()
	if len(points) < minCommon {
		return 0, 0
	}
	return median(points, c.agreed), min(len(points), maxWeight)
}

// Spread returns the difference between the highest and the lowest of the clocks that this instance observes directly.
func (c *Clock) Spread() time.Duration {
	points := c.clocks()
	if len(points) == 0 {
		return 0
	}
	low, high := points[0].offset, points[0].offset
	for _, p := range points {
		low, high = min(low, p.offset), max(high, p.offset)
	}
	return high - low
}

// clocks returns the own clock and those of the samples, with a weight of 1 each.
func (c *Clock) clocks() []point {
	points := make([]point, 0, len(c.samples)+1)
	if c.known {
		points = append(points, point{offset: c.own, weight: 1})
	}
	for _, s := range c.samples {
		points = append(points, point{offset: s.Own, weight: 1})
	}
	return points
}

// update drops old samples and sets the agreed offset.
func (c *Clock) update(now time.Duration) {
	points := make([]point, 0, len(c.samples)+1)
	if c.known {
		points = append(points, point{offset: c.own, weight: 1})
	}
	for instance, s := range c.samples {
		if now-s.at > sampleTTL {
			delete(c.samples, instance)
			continue
		}
		p := point{offset: s.Own, weight: 1}
		if s.Weight > 1 {
			p = point{offset: s.Common, weight: s.Weight}
		}
		points = append(points, p)
	}
	if len(points) == 0 {
		return
	}
	near := c.agreed
	if !c.started {
		c.started, near = true, points[0].offset
	}
	c.agreed = median(points, near)
}

// point is an offset with a weight.
type point struct {
	offset time.Duration
	weight int
}

// median returns the weighted median. If it lies between two offsets, the one that is nearer to a given
// offset is returned: of two clocks that differ, the agreed time stays with the one that did not step.
func median(points []point, near time.Duration) time.Duration {
	slices.SortFunc(points, func(a, b point) int { return cmp.Compare(a.offset, b.offset) })
	total := 0
	for _, p := range points {
		total += p.weight
	}
	below := 0
	for n, p := range points {
		below += p.weight
		if 2*below == total && n+1 < len(points) {
			if upper := points[n+1].offset; (upper - near).Abs() < (near - p.offset).Abs() {
				return upper
			}
			return p.offset
		}
		if 2*below > total {
			return p.offset
		}
	}
	return near
}
