package jaycommand

import (
	"context"
	"flag"
	"io"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
)

// explain returns the command that tells where work would go and why.
func (c *config) explain() *ffcli.Command {
	var model, account, service string
	more := func(flags *flag.FlagSet) {
		flags.StringVar(&model, "model", "", "`model` that the work asks for")
		flags.StringVar(&account, "account", "", "`account` that the work belongs to")
		flags.StringVar(&service, "service", "", "plain `service` that the work asks for, instead of a model")
	}
	return c.command("explain", "[flags]", "Tell where work would go now, and why", more,
		func(ctx context.Context, args []string) error {
			if err := none(args); err != nil {
				return err
			}
			if service == "" && (model == "" || account == "") {
				return usagef("give --model and --account, or --service")
			}
			operator := c.newOperator()
			defer operator.Close()
			explanation, err := operator.Explain(ctx, model, account, service)
			if err != nil {
				return err
			}
			return c.print(explanation, func(w io.Writer) {
				line(w, "%s\tpriority %s", explanation.Route, or(string(explanation.Priority), "normal"))
				line(w, "UPSTREAM\tVERDICT\tNEAR\tPREDICTED")
				for _, r := range explanation.Reasons {
					line(w, "%s\t%s\t%t\t%s", r.Upstream, r.Verdict, r.Near, r.Predicted.Round(time.Millisecond))
				}
			})
		})
}
