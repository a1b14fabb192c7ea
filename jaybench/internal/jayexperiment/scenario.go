package jayexperiment

import (
	"context"
	"math/rand/v2"
	"time"

	"jayfield.example/jay/jayroute"
	"jayfield.example/jay/jaysite"
	"jayfield.example/jay/jaystandin"
)

// Metric is one figure of a run.
type Metric struct {
	Name  string  `json:"name"`
	Unit  string  `json:"unit"`
	Value float64 `json:"value"`
	// Goal is the stated bound in words, empty for figures without one.
	Goal string `json:"goal,omitempty"`
}

// Result is what one policy gave for one seed.
type Result struct {
	Scenario string          `json:"scenario"`
	Policy   jayroute.Policy `json:"policy"`
	Seed     uint64          `json:"seed"`
	Metrics  []Metric        `json:"metrics"`
}

// Scenario is a kind of experiment.
type Scenario func(ctx context.Context, policy jayroute.Policy, seed uint64) ([]Metric, error)

// Scenarios returns all experiments by name.
func Scenarios() map[string]Scenario {
	return map[string]Scenario{
		"crest":  crest,
		"block":  block,
		"slow":   slow,
		"region": region,
		"mix":    mix,
	}
}

const (
	quietLength = 6 * time.Second
	crestLength = 10 * time.Second
	afterLength = 4 * time.Second
	// swing is the time between two changes of demand within a crest.
	swing = 2 * time.Second
	// crestDeadline is how long callers wait for the whole answer.
	crestDeadline  = 3 * time.Second
	capacityLength = 5 * time.Second
	// stragglerFactor is how many times longer stragglers are.
	stragglerFactor = 20
)

// shortWork draws short work, a tenth of it urgent.
func shortWork(source *rand.Rand) (class Class, prompt, output int) {
	class = ClassShort
	if source.IntN(10) == 0 {
		class = ClassHigh
	}
	return class, 100 + source.IntN(500), 16 + source.IntN(32)
}

// mixedWork draws short work with one straggler in twenty.
func mixedWork(source *rand.Rand) (class Class, prompt, output int) {
	_, prompt, output = shortWork(source)
	if source.IntN(20) == 0 {
		return ClassLong, prompt, output * stragglerFactor
	}
	return ClassShort, prompt, output
}

// plainWork draws the short work of mixedWork alone.
func plainWork(source *rand.Rand) (class Class, prompt, output int) {
	_, prompt, output = shortWork(source)
	return ClassShort, prompt, output
}

// sixCallers are accounts of equal weight, of which one sends half of all requests.
func sixCallers() []string {
	return []string{"c1", "c1", "c1", "c1", "c1", "c2", "c3", "c4", "c5", "c6"}
}

// crest offers three times the capacity for ten seconds, in swings.
func crest(ctx context.Context, policy jayroute.Policy, seed uint64) ([]Metric, error) {
	most, err := capacity(ctx, shortWork, seed)
	if err != nil {
		return nil, err
	}
	swinging := func(at time.Duration) float64 {
		if int(at/swing)%2 == 0 {
			return 4 * most
		}
		return 2 * most
	}
	trial := Trial{
		Phases: []Phase{
			{"quiet", quietLength, steady(most / 2), shortWork},
			{"crest", crestLength, swinging, shortWork},
			{"after", afterLength, steady(most / 2), shortWork},
		},
		Callers: sixCallers(), Regions: regionNames(), Deadline: crestDeadline,
	}
	observed, err := trial.run(ctx, policy, seed)
	if err != nil {
		return nil, err
	}
	quiet := between(observed.Outcomes, 0, quietLength)
	peak := between(observed.Outcomes, quietLength, quietLength+crestLength)
	refused := func(o Outcome) bool { return o.Status == StatusRefused }
	highQuiet := quantile(quiet, 99, begun(ClassHigh), first)
	highPeak := quantile(peak, 99, begun(ClassHigh), first)
	return []Metric{
		{"capacity of the engines", "requests/s", most, ""},
		{"done in time of capacity, at the crest", "%", 100 * completed(observed.Outcomes, quietLength, quietLength+crestLength) / (most * crestLength.Seconds()), ">= 95"},
		{"refusal p50", "ms", millis(quantile(peak, 50, refused, took)), ""},
		{"refusal p99", "ms", millis(quantile(peak, 99, refused, took)), "< 50"},
		{"highest priority, first token p99 at the crest over quiet", "times", ratio(highPeak, highQuiet), "<= 1.5"},
		{"highest priority, first token p99 quiet", "ms", millis(highQuiet), ""},
		{"highest priority, first token p50 at the crest", "ms", millis(quantile(peak, 50, begun(ClassHigh), first)), ""},
		{"highest priority, queue wait p50 at the crest", "ms", millis(quantile(peak, 50, begun(ClassHigh), waited)), ""},
		{"highest priority, queue wait p99 at the crest", "ms", millis(quantile(peak, 99, begun(ClassHigh), waited)), ""},
		{"highest priority done at the crest", "%", percentDone(peak, ClassHigh), ""},
		{"least caller's part of its fair share", "%", fairness(peak), ">= 80"},
		{"late or failed at the crest", "%", 100 * float64(count(peak, spoiled)) / float64(max(1, len(peak))), ""},
	}, nil
}

// completed returns the number of answers whose last token came, in time, within a span.
func completed(outcomes []Outcome, from, to time.Duration) float64 {
	return float64(count(outcomes, func(o Outcome) bool {
		end := o.Arrival.At + o.Took
		return isDone(o) && end >= from && end < to
	}))
}

// spoiled picks requests that took work and gave no whole answer in time.
func spoiled(o Outcome) bool {
	return o.Status == StatusLate || o.Status == StatusFailed
}

func percentDone(outcomes []Outcome, class Class) float64 {
	all := count(outcomes, func(o Outcome) bool { return o.Arrival.Class == class })
	done := count(outcomes, func(o Outcome) bool { return o.Arrival.Class == class && isDone(o) })
	return 100 * float64(done) / float64(max(1, all))
}

// fairness returns the least part, in percent, that a caller got of an equal share.
func fairness(outcomes []Outcome) float64 {
	done := make(map[string]int)
	total := 0
	for _, o := range outcomes {
		if o.Arrival.Class != ClassShort {
			continue
		}
		done[o.Arrival.Caller] += 0
		if isDone(o) {
			done[o.Arrival.Caller]++
			total++
		}
	}
	least := 1.0
	for _, n := range done {
		least = min(least, float64(n)*float64(len(done))/float64(max(1, total)))
	}
	return 100 * least
}

const (
	blockLength = 30 * time.Second
	blockLoad   = 0.4
	// blockDeadline lets stragglers end.
	blockDeadline = 60 * time.Second
)

// block offers short work with and without stragglers.
func block(ctx context.Context, policy jayroute.Policy, seed uint64) ([]Metric, error) {
	most, err := capacity(ctx, plainWork, seed)
	if err != nil {
		return nil, err
	}
	run := func(work Work) (Observed, error) {
		trial := Trial{
			Phases:  []Phase{{"all", blockLength, steady(blockLoad * most), work}},
			Callers: sixCallers(), Regions: regionNames(), Deadline: blockDeadline,
		}
		return trial.run(ctx, policy, seed)
	}
	without, err := run(plainWork)
	if err != nil {
		return nil, err
	}
	with, err := run(mixedWork)
	if err != nil {
		return nil, err
	}
	alone := quantile(without.Outcomes, 99, begun(ClassShort), first)
	behind := quantile(with.Outcomes, 99, begun(ClassShort), first)
	return []Metric{
		{"short first token p99 without stragglers", "ms", millis(alone), ""},
		{"short first token p99 behind stragglers", "ms", millis(behind), ""},
		{"short p99 behind stragglers over without", "times", ratio(behind, alone), "<= 1.5"},
		{"short done", "%", percentDone(with.Outcomes, ClassShort), ""},
		{"stragglers done", "%", percentDone(with.Outcomes, ClassLong), ""},
	}, nil
}

const (
	slowLength = 20 * time.Second
	slowLoad   = 0.5
	slowFactor = 10
	slowMoment = 2 * time.Second
	slowEvery  = 5 * time.Second
	slowLag    = 2 * time.Second
	// slowDeadline lets slowed answers end.
	slowDeadline = 30 * time.Second
)

// slow slows two of twelve engines ten times for moments, with late load reports.
func slow(ctx context.Context, policy jayroute.Policy, seed uint64) ([]Metric, error) {
	most, err := capacity(ctx, plainWork, seed)
	if err != nil {
		return nil, err
	}
	trial := Trial{
		Phases:  []Phase{{"all", slowLength, steady(slowLoad * most), plainWork}},
		Callers: sixCallers(), Regions: regionNames(), Deadline: slowDeadline, Lag: slowLag,
	}
	without, err := trial.run(ctx, policy, seed)
	if err != nil {
		return nil, err
	}
	for at := time.Second; at < slowLength; at += slowEvery {
		trial.Events = append(trial.Events,
			Event{At: at, Run: func(site *jaysite.Site) { slowDown(site, slowFactor) }},
			Event{At: at + slowMoment, Run: func(site *jaysite.Site) { slowDown(site, 1) }})
	}
	with, err := trial.run(ctx, policy, seed)
	if err != nil {
		return nil, err
	}
	even := quantile(without.Outcomes, 99, begun(ClassShort), first)
	slowed := quantile(with.Outcomes, 99, begun(ClassShort), first)
	return []Metric{
		{"first token p99 without slowing", "ms", millis(even), ""},
		{"first token p99 with slowing", "ms", millis(slowed), ""},
		{"first token p99 with slowing over without", "times", ratio(slowed, even), "<= 1.5"},
		{"whole answer p99 with slowing over without", "times", ratio(quantile(with.Outcomes, 99, isDone, took), quantile(without.Outcomes, 99, isDone, took)), ""},
		{"extra work", "%", 100 * float64(with.Extra) / float64(max(1, with.Requests)), "<= 5"},
		{"done", "%", percentDone(with.Outcomes, ClassShort), ""},
	}, nil
}

func slowDown(site *jaysite.Site, factor float64) {
	for _, engine := range site.Engines[:2] {
		engine.SetFaults(jaystandin.EngineFaults{Slow: factor, Lag: slowLag})
	}
}

const (
	regionLength = 20 * time.Second
	regionLoad   = 0.6
)

// region offers most of the work in one region.
func region(ctx context.Context, policy jayroute.Policy, seed uint64) ([]Metric, error) {
	most, err := capacity(ctx, plainWork, seed)
	if err != nil {
		return nil, err
	}
	trial := Trial{
		Phases:  []Phase{{"all", regionLength, steady(regionLoad * most), plainWork}},
		Callers: sixCallers(), Regions: []string{"amman", "amman", "amman", "irbid", "aqaba"}, Deadline: crestDeadline,
	}
	observed, err := trial.run(ctx, policy, seed)
	if err != nil {
		return nil, err
	}
	done := count(observed.Outcomes, isDone)
	return []Metric{
		{"first token p50", "ms", millis(quantile(observed.Outcomes, 50, begun(ClassShort), first)), ""},
		{"first token p99", "ms", millis(quantile(observed.Outcomes, 99, begun(ClassShort), first)), ""},
		{"done in time", "%", percentDone(observed.Outcomes, ClassShort), ""},
		{"bytes between regions for an answer", "KB", float64(observed.Crossed) / 1000 / float64(max(1, done)), ""},
	}, nil
}

func millis(d time.Duration) float64 {
	return float64(d.Microseconds()) / 1000
}

func ratio(a, b time.Duration) float64 {
	if b == 0 {
		return 0
	}
	return float64(a) / float64(b)
}
