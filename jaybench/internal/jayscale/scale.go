// Package jayscale measures what the parts of an instance cost as the fleet
// grows, and fits a line through the points.
package jayscale

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"runtime"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
	"gonum.org/v1/gonum/stat"

	"jayfield.example/jay/jayconfig"
	"jayfield.example/jay/jayengine"
	"jayfield.example/jay/jaylog"
	"jayfield.example/jay/jaymember"
	"jayfield.example/jay/jaymesh"
	"jayfield.example/jay/jayroute"
	"jayfield.example/jay/jaysite"
	"jayfield.example/jaybench/internal/jaymeasure"
)

// Point is one measured value at a size.
type Point struct {
	Size, Value float64
}

// Series is a figure at several sizes, with the line through them.
type Series struct {
	Name, Of, Unit string
	Points         []Point
	// Base and Slope are the fit: Value = Base + Slope * Size.
	Base, Slope float64
}

// fit computes the line.
func (s Series) fit() Series {
	x := make([]float64, len(s.Points))
	y := make([]float64, len(s.Points))
	for i, p := range s.Points {
		x[i], y[i] = p.Size, p.Value
	}
	s.Base, s.Slope = stat.LinearRegression(x, y, nil, false)
	return s
}

// document returns a configuration with a number of upstreams and callers.
func document(upstreams, callers int) string {
	var b []byte
	for n := range upstreams {
		b = fmt.Appendf(b, "[upstream engine-%05d]\naddress = http://127.0.0.1:%d\nregion = r%d\nzone = r%d-1\nmodel = m\nlabels = app=a\n", n, 1000+n%60000, n%8, n%8)
	}
	for n := range callers {
		b = fmt.Appendf(b, "[caller c-%05d]\nkey = %s\nlabels = desk=d%d\n", n, jayconfig.HashKey(fmt.Sprint(n)), n%10)
	}
	return string(b) + "[route r]\nmodel = m\nupstreams = app=a\n"
}

// Decisions measures the time and allocations of one routing decision.
func Decisions() ([]Series, error) {
	cost := Series{Name: "routing decision", Of: "known upstreams", Unit: "µs"}
	allocs := Series{Name: "allocations of a decision", Of: "known upstreams", Unit: ""}
	for _, size := range []int{12, 414, 12_000} {
		config, err := jayconfig.StateFromDocument("scale", document(size, 0))
		if err != nil {
			return nil, err
		}
		table := jayroute.NewTable("r0", jayroute.PolicyPredict, rand.New(rand.NewPCG(1, 1))) //nolint:gosec // No secrets.
		table.Configure(config)
		pool, _ := table.Pool("route r")
		took, count := decide(table, pool)
		cost.Points = append(cost.Points, Point{float64(size), took.Seconds() * 1e6})
		allocs.Points = append(allocs.Points, Point{float64(size), count})
	}
	return []Series{cost.fit(), allocs.fit()}, nil
}

// decide returns the mean time and allocations of a decision.
func decide(table *jayroute.Table, pool *jayroute.Pool) (time.Duration, float64) {
	const rounds = 20_000
	now := time.Now()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	started := time.Now()
	for n := range rounds {
		work := jayroute.Work{Prompt: 400, Output: 64, Prefix: uint64(n)}
		if u, ok := table.Pick(now, pool, work); ok {
			table.Start(u, work)
			table.RecordFirstToken(u, work, 0, time.Millisecond)
			table.Finish(u, work)
		}
	}
	took := time.Since(started) / rounds
	runtime.ReadMemStats(&after)
	return took, float64(after.Mallocs-before.Mallocs) / rounds
}

// Configurations measures memory, the time of a change and the size of a checkpoint.
func Configurations() ([]Series, error) {
	memory := Series{Name: "configuration in memory", Of: "objects", Unit: "KB"}
	change := Series{Name: "processor time of a change in force", Of: "objects", Unit: "ms"}
	size := Series{Name: "checkpoint", Of: "objects", Unit: "KB"}
	for _, objects := range []int{2_000, 8_000, 18_400} {
		before := inUse()
		config, err := jayconfig.StateFromDocument("scale", document(objects*2/3, objects/3))
		if err != nil {
			return nil, err
		}
		view := jayconfig.NewView(config)
		table := jayroute.NewTable("r0", jayroute.PolicyPredict, rand.New(rand.NewPCG(1, 1))) //nolint:gosec // No secrets.
		table.Configure(config)
		used := inUse() - before
		took, err := changeTime(config, table)
		if err != nil {
			return nil, err
		}
		snapshot, err := config.Snapshot().Encode()
		if err != nil {
			return nil, errors.Wrap(err, "encode")
		}
		runtime.KeepAlive(view)
		x := float64(objects)
		memory.Points = append(memory.Points, Point{x, float64(used) / 1000})
		change.Points = append(change.Points, Point{x, took.Seconds() * 1e3})
		size.Points = append(size.Points, Point{x, float64(len(snapshot)) / 1000})
	}
	return []Series{memory.fit(), change.fit(), size.fit()}, nil
}

// changeTime returns the processor time from a record to its being in force.
func changeTime(config *jayconfig.State, table *jayroute.Table) (time.Duration, error) {
	const rounds = 10
	publish, err := jayconfig.ParsePublish("scale", "[caller extra]\nkey = "+jayconfig.HashKey("x")+"\n")
	if err != nil {
		return 0, errors.Wrap(err, "parse")
	}
	started := jaymeasure.ProcessorTime()
	for range rounds {
		body, err := publish.WithBases(config.Version).Encode()
		if err != nil {
			return 0, errors.Wrap(err, "encode")
		}
		record := jaylog.NewWriter("scale").Record(jayconfig.RecordPublish, body)
		if config, err = config.Apply(jaylog.Entry{Offset: config.Position(), Record: record}); err != nil {
			return 0, errors.Wrap(err, "apply")
		}
		_ = jayconfig.NewView(config)
		table.Configure(config)
	}
	return (jaymeasure.ProcessorTime() - started) / rounds, nil
}

// Digests measures the size of a digest within a zone.
func Digests() ([]Series, error) {
	size := Series{Name: "digest within a zone", Of: "engines watched", Unit: "B"}
	for _, engines := range []int{3, 12, 48} {
		digest := jaymesh.Digest{From: jaymember.Member{
			Name: "entry-001", Incarnation: jaylog.NewIncarnation(), Address: "http://10.0.0.1:7100",
			Peer: "10.0.0.1:7300", Region: "amman", Zone: "amman-1", Config: 160_000, Load: 35, Sequence: 1 << 30,
		}}
		for n := range engines {
			name := fmt.Sprintf("engine-%05d", n)
			digest.Loads = append(digest.Loads, jaymesh.EngineLoad{Upstream: name, Load: jayengine.Load{Age: 300, Running: 9, Waiting: 1, Prefill: 900, Blocks: 40, Role: "mixed"}})
			digest.Running = append(digest.Running, jaymesh.Running{Upstream: name, Count: 3})
		}
		data, err := msgpack.Marshal(&digest)
		if err != nil {
			return nil, errors.Wrap(err, "encode")
		}
		size.Points = append(size.Points, Point{float64(engines), float64(len(data))})
	}
	return []Series{size.fit()}, nil
}

// idleTime is how long an idle site is observed.
const idleTime = 6 * time.Second

// Sites measures the control work of idle instances.
func Sites(ctx context.Context) ([]Series, error) {
	cpu := Series{Name: "processor time of all idle instances and stand-ins", Of: "instances", Unit: "% of a core"}
	for _, instances := range []int{3, 12, 24} {
		plan := jaysite.DefaultPlan()
		plan.Instances, plan.Engines, plan.Services = instances, 0, 0
		site, err := jaysite.Open(ctx, plan, slog.New(slog.DiscardHandler))
		if err != nil {
			return nil, errors.Wrap(err, "start")
		}
		time.Sleep(2 * time.Second)
		used := jaymeasure.ProcessorTime()
		time.Sleep(idleTime)
		used = jaymeasure.ProcessorTime() - used
		site.Stop()
		cpu.Points = append(cpu.Points, Point{float64(instances), 100 * used.Seconds() / idleTime.Seconds()})
	}
	return []Series{cpu.fit()}, nil
}

func inUse() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapInuse
}
