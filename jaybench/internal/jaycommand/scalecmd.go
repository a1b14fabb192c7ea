package jaycommand

import (
	"context"
	"fmt"
	"strings"

	"github.com/olekukonko/tablewriter"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"jayfield.example/jaybench/internal/jayscale"
)

// scale returns the command that measures how costs grow with the fleet.
func (c *config) scale() *ffcli.Command {
	flags := c.flagSet("scale")
	return &ffcli.Command{
		Name:       "scale",
		ShortUsage: "jaybench scale",
		ShortHelp:  "Measure how costs grow with the fleet, and fit lines",
		FlagSet:    flags,
		Exec:       func(ctx context.Context, _ []string) error { return c.runScale(ctx) },
	}
}

func (c *config) runScale(ctx context.Context) error {
	table := tablewriter.NewWriter(c.stdout)
	table.Header("Figure", "Unit", "Points (size: value)", "Fit")
	for _, measure := range []func() ([]jayscale.Series, error){
		jayscale.Decisions, jayscale.Configurations, jayscale.Digests,
		func() ([]jayscale.Series, error) { return jayscale.Sites(ctx) },
	} {
		series, err := measure()
		if err != nil {
			return err
		}
		for _, s := range series {
			points := make([]string, 0, len(s.Points))
			for _, p := range s.Points {
				points = append(points, fmt.Sprintf("%.0f: %.3g", p.Size, p.Value))
			}
			_ = table.Append([]string{s.Name, s.Unit, strings.Join(points, ", "), fmt.Sprintf("%.3g + %.3g per %s", s.Base, s.Slope, s.Of)})
		}
	}
	return errors.WithStack(table.Render())
}
