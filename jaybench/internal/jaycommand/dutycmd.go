package jaycommand

import (
	"context"
	"fmt"

	"github.com/olekukonko/tablewriter"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"jayfield.example/jaybench/internal/jayduty"
)

// duty returns the command that measures appends and orders.
func (c *config) duty() *ffcli.Command {
	flags := c.flagSet("duty")
	each := flags.Int("orders", 50, "`orders` of each caller in each way")
	return &ffcli.Command{
		Name:       "duty",
		ShortUsage: "jaybench duty [flags]",
		ShortHelp:  "Measure appends to the log and the time of orders",
		FlagSet:    flags,
		Exec:       func(ctx context.Context, _ []string) error { return c.runDuty(ctx, *each) },
	}
}

func (c *config) runDuty(ctx context.Context, each int) error {
	orders, err := jayduty.Place(ctx, each)
	if err != nil {
		return err
	}
	table := tablewriter.NewWriter(c.stdout)
	table.Header("Way", "Callers", "Orders", "Orders/s", "p50", "p99", "Appends", "Appends/s")
	for _, o := range orders {
		_ = table.Append([]string{
			o.Way, fmt.Sprint(o.Callers), fmt.Sprint(o.Placed), fmt.Sprintf("%.0f", float64(o.Placed)/o.Took.Seconds()),
			o.P50.String(), o.P99.String(), fmt.Sprint(o.Appends), fmt.Sprintf("%.1f", float64(o.Appends)/o.Took.Seconds()),
		})
	}
	_ = table.Render()
	idle, err := jayduty.Idle(ctx)
	if err != nil {
		return err
	}
	table = tablewriter.NewWriter(c.stdout)
	table.Header("Idle instances", "Engines", "Zones", "Stream", "Appends/s")
	for _, a := range idle {
		_ = table.Append([]string{
			fmt.Sprint(a.Instances), fmt.Sprint(a.Engines), fmt.Sprint(a.Zones), string(a.Stream), fmt.Sprintf("%.2f", a.PerSecond),
		})
	}
	return errors.WithStack(table.Render())
}
