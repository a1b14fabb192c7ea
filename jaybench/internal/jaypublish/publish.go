// Package jaypublish measures how long configuration and authority take to
// reach every instance.
package jaypublish

import (
	"context"
	"fmt"
	"log/slog"
	"strings"
	"time"

	"github.com/pkg/errors"

	"jayfield.example/jay/jayconfig"
	"jayfield.example/jay/jaymetric"
	"jayfield.example/jay/jaysetting"
	"jayfield.example/jay/jaysite"
	"jayfield.example/jay/jaystandin"
	"jayfield.example/jaybench/internal/jaymeasure"
)

const (
	poll = time.Millisecond
)

// Spread is the time from a publish to its being in force on the last instance.
type Spread struct {
	Case      string
	Instances int
	Publishes int
	P50, P99  time.Duration
}

// Spreads publishes a number of times, with a healthy and with a slow log.
func Spreads(ctx context.Context, instances, publishes int) ([]Spread, error) {
	cases := []struct {
		name   string
		faults jaystandin.Faults
	}{
		{"log healthy", jaystandin.Faults{}},
		{"append latency 1 s", jaystandin.Faults{Latency: 500 * time.Millisecond}},
	}
	var results []Spread
	for _, c := range cases {
		spread, err := spreadOf(ctx, instances, publishes, c.faults)
		if err != nil {
			return nil, errors.Wrap(err, c.name)
		}
		spread.Case = c.name
		results = append(results, spread)
	}
	return results, nil
}

func plan(instances int) jaysite.Plan {
	plan := jaysite.DefaultPlan()
	plan.Instances, plan.Engines = instances, 0
	plan.Adjust = func(s *jaysetting.Settings) { s.Lease, s.Margin = 4*time.Second, 500*time.Millisecond }
	return plan
}

func spreadOf(ctx context.Context, instances, publishes int, faults jaystandin.Faults) (Spread, error) {
	site, err := jaysite.Open(ctx, plan(instances), slog.New(slog.DiscardHandler))
	if err != nil {
		return Spread{}, err
	}
	defer site.Stop()
	site.Platform.SetFaults(faults)
	operator := site.Operator(0)
	defer operator.Close()
	histogram := jaymeasure.NewHistogram()
	for n := range publishes {
		started := time.Now()
		text := fmt.Sprintf("[caller extra]\nkey = sha256:%s\nweight = %d\n", strings.Repeat("0", 64), 1+n%9)
		report, err := operator.Publish(ctx, "publish.ini", text, true)
		if err != nil || report.Verdict.Outcome != jayconfig.OutcomeAccepted {
			return Spread{}, errors.Errorf("publish: %v %s", err, report.Verdict.Reason)
		}
		if err := site.Await(ctx, report.Verdict.Offset); err != nil {
			return Spread{}, err
		}
		histogram.Record(time.Since(started))
	}
	return Spread{
		Instances: instances, Publishes: publishes,
		P50: histogram.Quantile(50),
		P99: histogram.Quantile(99),
	}, nil
}

// Succession is how long a cell is without a holder after its holder is killed.
type Succession struct {
	TTL, Margin time.Duration
	Took        []time.Duration
}

// Successions kills the holder of a cell's lease a number of times.
func Successions(ctx context.Context, kills int) (Succession, error) {
	p := plan(kills + 2)
	p.Regions = p.Regions[:1]
	site, err := jaysite.Open(ctx, p, slog.New(slog.DiscardHandler))
	if err != nil {
		return Succession{}, err
	}
	defer site.Stop()
	result := Succession{TTL: 4 * time.Second, Margin: 500 * time.Millisecond}
	killed := make(map[int]bool)
	holder, err := awaitHolder(ctx, site, killed)
	for range kills {
		if err != nil {
			return result, err
		}
		site.Instances[holder].Kill()
		killed[holder] = true
		started := time.Now()
		holder, err = awaitHolder(ctx, site, killed)
		result.Took = append(result.Took, time.Since(started))
	}
	return result, err
}

// awaitHolder waits until an instance that is not killed holds the lease.
func awaitHolder(ctx context.Context, site *jaysite.Site, killed map[int]bool) (int, error) {
	for ctx.Err() == nil {
		for n, instance := range site.Instances {
			m := instance.Metrics()
			if !killed[n] && m.Value(jaymetric.LeaseHeld) > m.Value(jaymetric.LeaseLost) {
				return n, nil
			}
		}
		time.Sleep(poll)
	}
	return 0, errors.Wrap(ctx.Err(), "nobody took the lease")
}
