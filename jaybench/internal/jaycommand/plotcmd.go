package jaycommand

import (
	"context"
	"encoding/json"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"jayfield.example/jaybench/internal/jayexperiment"
)

// plot returns the command that draws the results of an experiment.
func (c *config) plot() *ffcli.Command {
	var metric, out string
	flags := c.flagSet("plot")
	flags.StringVar(&metric, "metric", "", "`figure` to draw, by its name")
	flags.StringVar(&out, "out", "plot.png", "`file` to write")
	return &ffcli.Command{
		Name:       "plot",
		ShortUsage: "jaybench plot --metric NAME [flags] RESULTS.json",
		ShortHelp:  "Draw the results that jaybench run wrote with --json",
		FlagSet:    flags,
		Exec: func(_ context.Context, args []string) error {
			if len(args) != 1 || metric == "" {
				return &usageError{text: "give --metric and one file of results"}
			}
			data, err := os.ReadFile(args[0])
			if err != nil {
				return errors.WithStack(err)
			}
			var results []jayexperiment.Result
			if err := json.Unmarshal(data, &results); err != nil {
				return errors.Wrap(err, "read results")
			}
			return jayexperiment.Plot(results, metric, out)
		},
	}
}
