package jaycommand

import (
	"context"
	"fmt"
	"os"
	"runtime/pprof"
	"time"

	"github.com/olekukonko/tablewriter"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"jayfield.example/jaybench/internal/jaycost"
)

// costFlags are the flags of the cost command.
type costFlags struct {
	duration time.Duration
	requests int
	streams  int
	seed     uint64
	profile  string
}

// cost returns the command that measures what the path costs.
func (c *config) cost() *ffcli.Command {
	var f costFlags
	flags := c.flagSet("cost")
	flags.DurationVar(&f.duration, "duration", 5*time.Second, "`time` of each rate")
	flags.IntVar(&f.requests, "requests", 3000, "`requests` for processor time and allocations")
	flags.IntVar(&f.streams, "streams", 5000, "open `streams` for memory")
	flags.Uint64Var(&f.seed, "seed", 1, "`seed` of the arrivals")
	flags.StringVar(&f.profile, "profile", "", "write a processor profile to `file`")
	return &ffcli.Command{
		Name:       "cost",
		ShortUsage: "jaybench cost [flags]",
		ShortHelp:  "Measure what the path through an instance costs",
		FlagSet:    flags,
		Exec:       func(ctx context.Context, _ []string) error { return c.runCost(ctx, f) },
	}
}

func (c *config) runCost(ctx context.Context, f costFlags) error {
	stop, err := startProfile(f.profile)
	if err != nil {
		return err
	}
	defer stop()
	latency := tablewriter.NewWriter(c.stdout)
	latency.Header("Requests/s", "Path", "First p50", "First p99", "Failed")
	for _, rate := range []int{50, 500, 2000} {
		results, err := jaycost.Latencies(ctx, rate, f.duration, f.seed)
		if err != nil {
			return err
		}
		for _, r := range results {
			_ = latency.Append([]string{fmt.Sprint(r.Rate), string(r.Path), r.P50.String(), r.P99.String(), fmt.Sprint(r.Failed)})
		}
		_ = latency.Append([]string{fmt.Sprint(rate), "added", (results[1].P50 - results[0].P50).String(), (results[1].P99 - results[0].P99).String(), ""})
	}
	_ = latency.Render()
	return c.runCostWork(ctx, f)
}

func (c *config) runCostWork(ctx context.Context, f costFlags) error {
	works, err := jaycost.Works(ctx, f.requests)
	if err != nil {
		return err
	}
	table := tablewriter.NewWriter(c.stdout)
	table.Header("Path", "Processor time/request", "Allocations/request", "Bytes/request")
	for _, w := range works {
		_ = table.Append([]string{string(w.Path), w.CPU.String(), fmt.Sprint(w.Allocs), fmt.Sprint(w.Bytes)})
	}
	_ = table.Render()
	memories, err := jaycost.Memories(ctx, f.streams)
	if err != nil {
		return err
	}
	table = tablewriter.NewWriter(c.stdout)
	table.Header("Path", "Streams", "Memory/stream")
	for _, m := range memories {
		_ = table.Append([]string{string(m.Path), fmt.Sprint(m.Streams), fmt.Sprintf("%d B", m.Bytes)})
	}
	return errors.WithStack(table.Render())
}

// startProfile starts a processor profile, if a file is named.
func startProfile(file string) (stop func(), err error) {
	if file == "" {
		return func() {}, nil
	}
	out, err := os.Create(file) //nolint:gosec // The user names the file.
	if err != nil {
		return nil, errors.WithStack(err)
	}
	if err := pprof.StartCPUProfile(out); err != nil {
		return nil, errors.WithStack(err)
	}
	return func() {
		pprof.StopCPUProfile()
		_ = out.Close()
	}, nil
}
