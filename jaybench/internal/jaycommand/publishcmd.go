package jaycommand

import (
	"context"
	"fmt"
	"time"

	"github.com/olekukonko/tablewriter"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"jayfield.example/jaybench/internal/jaypublish"
)

// publishFlags are the flags of the publish command.
type publishFlags struct {
	instances, publishes, kills int
}

// publish returns the command that measures how fast configuration and authority spread.
func (c *config) publish() *ffcli.Command {
	var f publishFlags
	flags := c.flagSet("publish")
	flags.IntVar(&f.instances, "instances", 8, "`instances` of the site")
	flags.IntVar(&f.publishes, "publishes", 100, "`publishes` of each case")
	flags.IntVar(&f.kills, "kills", 3, "`kills` of a lease's holder")
	return &ffcli.Command{
		Name:       "publish",
		ShortUsage: "jaybench publish [flags]",
		ShortHelp:  "Measure how long a publish and a lost lease take",
		FlagSet:    flags,
		Exec:       func(ctx context.Context, _ []string) error { return c.runPublish(ctx, f) },
	}
}

func (c *config) runPublish(ctx context.Context, f publishFlags) error {
	spreads, err := jaypublish.Spreads(ctx, f.instances, f.publishes)
	if err != nil {
		return err
	}
	table := tablewriter.NewWriter(c.stdout)
	table.Header("Case", "Instances", "Publishes", "In force p50", "In force p99")
	for _, s := range spreads {
		_ = table.Append([]string{s.Case, fmt.Sprint(s.Instances), fmt.Sprint(s.Publishes), s.P50.String(), s.P99.String()})
	}
	_ = table.Render()
	succession, err := jaypublish.Successions(ctx, f.kills)
	if err != nil {
		return err
	}
	table = tablewriter.NewWriter(c.stdout)
	table.Header("Lease", "Margin", "Time to a new holder")
	for _, took := range succession.Took {
		_ = table.Append([]string{succession.TTL.String(), succession.Margin.String(), took.Round(time.Millisecond).String()})
	}
	return errors.WithStack(table.Render())
}
