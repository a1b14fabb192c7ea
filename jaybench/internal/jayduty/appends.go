// Package jayduty measures what the duties of instances append to the log,
// and what running work at most once costs an order.
package jayduty

import (
	"context"
	"log/slog"
	"time"

	"github.com/pkg/errors"

	"jayfield.example/jay/jaylog"
	"jayfield.example/jay/jaysetting"
	"jayfield.example/jay/jaysite"
)

const (
	// lease and margin are shorter than usual, so that a run sees several renewals.
	lease  = 4 * time.Second
	margin = 500 * time.Millisecond
	// watched is how long appends are counted.
	watched = 12 * time.Second
)

// Appends are the records of one stream that a site appended while nobody called it.
type Appends struct {
	Instances, Engines, Zones int
	Stream                    jaylog.Stream
	PerSecond                 float64
}

// Idle counts the appends of idle sites of several sizes.
func Idle(ctx context.Context) ([]Appends, error) {
	var list []Appends
	for _, size := range []struct{ instances, engines int }{{3, 4}, {6, 4}, {12, 4}, {3, 24}, {3, 48}} {
		counted, err := idle(ctx, size.instances, size.engines)
		if err != nil {
			return nil, err
		}
		list = append(list, counted...)
	}
	return list, nil
}

func idle(ctx context.Context, instances, engines int) ([]Appends, error) {
	plan := jaysite.DefaultPlan()
	plan.Instances, plan.Engines = instances, engines
	plan.Adjust = func(s *jaysetting.Settings) { s.Lease, s.Margin = lease, margin }
	site, err := jaysite.Open(ctx, plan, slog.New(slog.DiscardHandler))
	if err != nil {
		return nil, errors.Wrap(err, "start")
	}
	defer site.Stop()
	if err := site.AwaitHolders(ctx); err != nil {
		return nil, err
	}
	streams := []jaylog.Stream{jaylog.StreamConfig, jaylog.StreamLease, jaylog.StreamOrder, jaylog.StreamOnce}
	before := make(map[jaylog.Stream]int64)
	for _, stream := range streams {
		before[stream] = site.Platform.End(stream)
	}
	time.Sleep(watched)
	var list []Appends
	for _, stream := range streams {
		count := float64(site.Platform.End(stream) - before[stream])
		list = append(list, Appends{instances, engines, len(plan.Regions), stream, count / watched.Seconds()})
	}
	return list, nil
}
