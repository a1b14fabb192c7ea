package jaycommand

import (
	"context"
	"fmt"
	"time"

	"github.com/olekukonko/tablewriter"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"jayfield.example/jay/jaysite"
	"jayfield.example/jaybench/internal/jaydemo"
)

// demoBound bounds the demonstration.
const demoBound = 30 * time.Second

// demo returns the command that shows the whole path in one process.
func (c *config) demo() *ffcli.Command {
	flags := c.flagSet("demo")
	platform := flags.Bool("platform", false, "relay requests before stand-ins of the users' platform")
	return &ffcli.Command{
		Name:       "demo",
		ShortUsage: "jaybench demo [--platform]",
		ShortHelp:  "Run a site in one process and serve both users' requests",
		FlagSet:    flags,
		Exec: func(ctx context.Context, _ []string) error {
			ctx, cancel := context.WithTimeout(ctx, demoBound)
			defer cancel()
			if *platform {
				return c.runPlatformDemo(ctx)
			}
			return c.runDemo(ctx)
		},
	}
}

func (c *config) runDemo(ctx context.Context) error {
	site, err := jaysite.Start(jaydemo.Plan(), c.log())
	if err != nil {
		return err
	}
	defer site.Stop()
	report, err := site.Configure(ctx)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(c.stdout, "configuration %s at offset %d, in force on %d instances\n",
		report.Verdict.Outcome, report.Verdict.Offset, len(site.Instances))
	results, failed := jaydemo.Run(ctx, site)
	c.printResults(results)
	c.printState(ctx, site)
	if failed > 0 {
		return errors.Errorf("%d answers were not whole or not the caller's own", failed)
	}
	return nil
}

func (c *config) runPlatformDemo(ctx context.Context) error {
	site, err := jaydemo.StartPlatform(ctx, c.log())
	if err != nil {
		return err
	}
	defer site.Stop()
	results, failed := site.Run(ctx)
	c.printResults(results)
	if failed > 0 {
		return errors.Errorf("%d answers were not whole or not the caller's own", failed)
	}
	return nil
}

func (c *config) printResults(results []jaydemo.Result) {
	table := tablewriter.NewWriter(c.stdout)
	table.Header("Caller", "Region", "Request", "Served by", "Tokens", "First", "Took", "Verdict")
	for _, r := range results {
		_ = table.Append([]string{
			r.Caller, r.Region, r.Request, r.Upstream, fmt.Sprint(r.Tokens),
			r.First.Round(time.Millisecond).String(), r.Took.Round(time.Millisecond).String(), string(r.Verdict),
		})
	}
	_ = table.Render()
}

// printState prints a summary of each instance's state dump.
func (c *config) printState(ctx context.Context, site *jaysite.Site) {
	for _, instance := range site.Instances {
		dump := instance.Dump(ctx)
		_, _ = fmt.Fprintf(c.stdout, "%s: state of %d parts, age %s, requests %d, completed %d, invariants broken %d\n",
			instance.Addresses().Caller, len(dump.Sections), dump.Age.Round(time.Millisecond),
			instance.Metrics().Value("requests"), instance.Metrics().Value("requests_completed"),
			instance.Metrics().Value("invariants_broken"))
	}
}
