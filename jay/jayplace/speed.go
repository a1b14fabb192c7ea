package jayplace

import (
	"cmp"
	"math"
	"slices"
	"strconv"
	"time"

	"jayfield.example/jay/jayfigure"
	"jayfield.example/jay/jayfleet"
	"jayfield.example/jay/jaymember"
)

const (
	// minModelSamples is the number of samples of a stage from which the samples of single
	// engines are counted: before, the stage's own figures are unknown.
	minModelSamples = 16
	// minSpeedSamples is the number of recent samples of all instances from which an engine is
	// compared with others.
	minSpeedSamples = 6
	// riseOctaves and fallOctaves are the octaves by which an engine must differ from its step
	// before the step rises or falls. An engine twice as slow as others stays at the usual
	// weight: engines of equal pools seem 1.9 times as slow while they have hot prefixes. One
	// that seemed slow during a burst returns to it.
	riseOctaves, fallOctaves = 1, 0.55
	// voteAfter is how long an engine must differ without a break before the vote for its step
	// changes, so that a burst of queued work does not change it.
	voteAfter = 4 * time.Second
	// maxStep bounds the steps. An engine faster than its stage has the usual weight.
	maxStep = 2
	// slowWeight and slowLargeWeight multiply the weight of an engine at each step; the second
	// one for large prompts, which keep a slow engine busy the longest.
	slowWeight, slowLargeWeight = 1.0 / 2, 1.0 / 3
	// announceSpeedFor is how long after another instance reported an engine as unusual this
	// instance announces its own samples of it.
	announceSpeedFor = 2 * time.Second
	// minFactorSamples is the number of own samples from which an engine's own factor counts.
	minFactorSamples = 4
)

// speed is how fast an engine is compared with others of its service and stage.
type speed struct {
	// hash identifies the engine and its start in reports to other instances.
	hash   uint32
	window jayfigure.Window
	// merged are the samples of all instances as of the latest report, median their median.
	merged jayfigure.Counts
	median float64
	// vote is the step by this instance, step the one by the votes of all, which is in force: the
	// octaves by which the engine takes longer than others.
	vote, step int
	// next is the vote that replaces this instance's once it has been due since differsSince, which is zero
	// if none is due.
	next         int
	differsSince time.Time
	// announceUntil is the time until which own samples are announced because other instances
	// reported unusual ones.
	announceUntil time.Time
}

// speedHash returns the hash of an upstream's ID and start.
func speedHash(u jayfleet.Upstream) uint32 {
	return hash32(u.ID + " " + strconv.FormatInt(u.Born, 10))
}

// own returns what this instance reports about the engine.
func (s *speed) own(now time.Time) jaymember.Speed {
	return jaymember.Speed{Upstream: s.hash, Counts: s.window.Counts(now), Votes: 1, Steps: s.vote}
}

// weight returns the factor of the engine's rendezvous weight.
func (s *speed) weight(large bool) float64 {
	if large && s.step > 0 {
		return math.Pow(slowLargeWeight, float64(s.step))
	}
	return math.Pow(slowWeight, float64(s.step))
}

// Speeds returns this instance's samples of the engines that it or another instance takes for
// unusual.
func (t *Table) Speeds(now time.Time) []jaymember.Speed {
	var list []jaymember.Speed
	for _, u := range t.upstreams {
		own := u.speed.own(now)
		if own.Unusual() || u.speed.step != 0 || now.Before(u.speed.announceUntil) {
			list = append(list, own)
		}
	}
	slices.SortFunc(list, func(a, b jaymember.Speed) int { return cmp.Compare(a.Upstream, b.Upstream) })
	return list
}

// SpeedChange is a change of the step of an engine.
type SpeedChange struct {
	ID           string
	Before, Step int
	// Median is the base-2 logarithm of the factor by which the engine takes longer than its stage.
	Median         float64
	Samples, Votes int
}

// MergeSpeeds merges the sums of the samples and votes of other instances, and returns the
// engines whose step has changed. An engine that is not reported is as fast as its stage.
func (t *Table) MergeSpeeds(now time.Time, sums map[uint32]jaymember.Speed) []SpeedChange {
	medians := make(map[*stageFigures][]float64)
	for _, u := range t.upstreams {
		s, others := &u.speed, sums[u.speed.hash]
		if others.Unusual() {
			s.announceUntil = now.Add(announceSpeedFor)
		}
		s.merged, s.median = s.window.Counts(now).Plus(others.Counts), 0
		if s.merged.Total() >= minSpeedSamples {
			s.median = s.merged.Median()
		}
		if u.listed {
			medians[u.figures] = append(medians[u.figures], s.median)
		}
	}
	for _, list := range medians {
		slices.Sort(list)
	}
	var changes []SpeedChange
	for id, u := range t.upstreams {
		s, list := &u.speed, medians[u.figures]
		if len(list) > 0 {
			s.updateVote(now, (list[(len(list)-1)/2]+list[len(list)/2])/2)
		}
		all := s.own(now).Plus(sums[s.hash])
		if step := min(max(all.Step(), 0), maxStep); step != s.step {
			changes = append(changes, SpeedChange{ID: id, Before: s.step, Step: step, Median: s.median, Samples: s.merged.Total(), Votes: all.Votes})
			s.step = step
		}
	}
	slices.SortFunc(changes, func(a, b SpeedChange) int { return cmp.Compare(a.ID, b.ID) })
	return changes
}

// updateVote votes for a step by the distance from the median engine of the stage. Within the hysteresis it
// adopts the step in force, so that instances do not keep different votes. Each change waits for voteAfter, which is
// longer than reports take: instances that adopt the step at once vote by what others voted before, and the step
// rises and falls with each exchange.
func (s *speed) updateVote(now time.Time, centre float64) {
	octaves, next := s.median-centre, s.vote
	rises, falls := octaves-float64(s.vote) > riseOctaves, float64(s.vote)-octaves > fallOctaves
	switch {
	case s.merged.Total() < minSpeedSamples:
		next = s.step
	case rises, falls:
		next = int(min(max(math.Round(octaves), 0), maxStep))
	case octaves-float64(s.step) <= riseOctaves && float64(s.step)-octaves <= fallOctaves:
		next = s.step
	}
	if next == s.vote {
		s.differsSince = time.Time{}
		return
	}
	if s.differsSince.IsZero() || next != s.next {
		s.differsSince, s.next = now, next
	}
	if now.Sub(s.differsSince) >= voteAfter {
		s.vote, s.differsSince = next, time.Time{}
	}
}
