package jaycommand

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strings"

	"github.com/olekukonko/tablewriter"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"jayfield.example/jay/jayroute"
	"jayfield.example/jaybench/internal/jayexperiment"
)

// runFlags are the flags of the run command.
type runFlags struct {
	seed, seeds      uint64
	policy, baseline string
	json             string
}

// run returns the command that runs an experiment.
func (c *config) run() *ffcli.Command {
	var f runFlags
	flags := c.flagSet("run")
	flags.Uint64Var(&f.seed, "seed", 1, "first `seed` of the arrivals")
	flags.Uint64Var(&f.seeds, "seeds", 1, "`number` of seeds")
	flags.StringVar(&f.policy, "policy", string(jayroute.PolicyPredict), "`policy` to measure")
	flags.StringVar(&f.baseline, "baseline", string(jayroute.PolicyRoundRobin), "`policies` to compare with, separated by commas, or none")
	flags.StringVar(&f.json, "json", "", "write the results as JSON to `file`")
	return &ffcli.Command{
		Name:       "run",
		ShortUsage: "jaybench run [flags] " + strings.Join(scenarioNames(), "|"),
		ShortHelp:  "Offer seeded load to a site and compare policies",
		FlagSet:    flags,
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 1 {
				return &usageError{text: "give one experiment: " + strings.Join(scenarioNames(), ", ")}
			}
			return c.runExperiment(ctx, args[0], f)
		},
	}
}

func scenarioNames() []string {
	scenarios := jayexperiment.Scenarios()
	names := make([]string, 0, len(scenarios))
	for name := range scenarios {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (c *config) runExperiment(ctx context.Context, name string, f runFlags) error {
	scenario, ok := jayexperiment.Scenarios()[name]
	if !ok {
		return &usageError{text: fmt.Sprintf("unknown experiment %q; accepted: %s", name, strings.Join(scenarioNames(), ", "))}
	}
	policies := []jayroute.Policy{jayroute.Policy(f.policy)}
	if f.baseline != "none" {
		for policy := range strings.SplitSeq(f.baseline, ",") {
			policies = append(policies, jayroute.Policy(policy))
		}
	}
	var results []jayexperiment.Result
	for seed := f.seed; seed < f.seed+f.seeds; seed++ {
		for _, policy := range policies {
			metrics, err := scenario(ctx, policy, seed)
			if err != nil {
				return errors.Wrapf(err, "%s, %s, seed %d", name, policy, seed)
			}
			results = append(results, jayexperiment.Result{Scenario: name, Policy: policy, Seed: seed, Metrics: metrics})
		}
	}
	c.printSummary(jayexperiment.Summarize(results))
	return writeResults(f.json, results)
}

func (c *config) printSummary(rows []jayexperiment.Row) {
	table := tablewriter.NewWriter(c.stdout)
	table.Header("Figure", "Unit", "Goal", "Policy", "Median", "Least", "Most")
	for _, r := range rows {
		_ = table.Append([]string{
			r.Metric, r.Unit, r.Goal, string(r.Policy),
			fmt.Sprintf("%.2f", r.Median), fmt.Sprintf("%.2f", r.Least), fmt.Sprintf("%.2f", r.Most),
		})
	}
	_ = table.Render()
}

func writeResults(file string, results []jayexperiment.Result) error {
	if file == "" {
		return nil
	}
	data, err := json.MarshalIndent(results, "", "  ")
	if err != nil {
		return errors.WithStack(err)
	}
	return errors.WithStack(os.WriteFile(file, append(data, '\n'), 0o600))
}
