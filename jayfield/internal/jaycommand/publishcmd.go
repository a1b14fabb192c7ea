package jaycommand

import (
	"context"
	"flag"
	"io"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"jayfield.example/jay/jayclient"
	"jayfield.example/jay/jayconfig"
)

// waitPoll is how often a publish looks how far it is in force.
const waitPoll = 200 * time.Millisecond

// publish returns the command that publishes a document.
func (c *config) publish() *ffcli.Command {
	var wait, rebase bool
	more := func(flags *flag.FlagSet) {
		flags.BoolVar(&wait, "wait", false, "return when every live instance has the change in force")
		flags.BoolVar(&rebase, "rebase", false, "replace what is in force, whatever its version")
	}
	return c.command("publish", "[flags] FILE", "Publish a configuration document, or - for standard input", more,
		func(ctx context.Context, args []string) error {
			file, err := one(args, "file")
			if err != nil {
				return err
			}
			text, err := c.read(file)
			if err != nil {
				return err
			}
			return c.publishText(ctx, file, text, rebase, wait)
		})
}

// publishText publishes a document and prints the verdict.
func (c *config) publishText(ctx context.Context, file, text string, rebase, wait bool) error {
	operator := c.newOperator()
	defer operator.Close()
	report, err := operator.Publish(ctx, file, text, rebase)
	if err != nil {
		return err
	}
	if wait && report.Verdict.Outcome == jayconfig.OutcomeAccepted {
		if err := c.waitInForce(ctx, operator, &report); err != nil {
			return err
		}
	}
	err = c.print(report, func(w io.Writer) {
		v := report.Verdict
		line(w, "%s\toffset %d\tin force on %d of %d instances", v.Outcome, v.Offset, report.InForce, report.Instances)
		if v.Reason != "" {
			line(w, "%s", v.Reason)
		}
	})
	if err == nil && report.Verdict.Outcome != jayconfig.OutcomeAccepted {
		return errors.Errorf("publish was not accepted: %s", report.Verdict.Outcome)
	}
	return err
}

func (c *config) waitInForce(ctx context.Context, operator *jayclient.Operator, report *jayconfig.Report) error {
	shown := -1
	for report.InForce < report.Instances || report.Instances == 0 {
		if report.InForce != shown {
			shown = report.InForce
			line(c.stderr, "in force on %d of %d instances", report.InForce, report.Instances)
		}
		select {
		case <-time.After(waitPoll):
		case <-ctx.Done():
			return errors.Errorf("accepted, but in force on only %d of %d instances; look with jayfield state", report.InForce, report.Instances)
		}
		state, err := operator.InForce(ctx, report.Verdict.Offset)
		if err != nil {
			return err
		}
		report.InForce, report.Instances = state.InForce, state.Instances
	}
	return nil
}
