package jaycommand

import (
	"context"
	"io"

	"github.com/peterbourgon/ff/v3/ffcli"
)

// history returns the command that lists what was published.
func (c *config) history() *ffcli.Command {
	return c.command("history", "[flags]", "List what was published and what became of it, the newest first", nil,
		func(ctx context.Context, args []string) error {
			if err := none(args); err != nil {
				return err
			}
			operator := c.newOperator()
			defer operator.Close()
			verdicts, err := operator.History(ctx)
			if err != nil {
				return err
			}
			return c.print(verdicts, func(w io.Writer) {
				line(w, "OFFSET\tOPERATOR\tOUTCOME\tOBJECTS\tREASON")
				for _, v := range verdicts {
					names := ""
					if len(v.Names) > 0 {
						names = v.Names[0].String()
					}
					line(w, "%d\t%s\t%s\t%d (%s)\t%s", v.Offset, v.Operator, v.Outcome, len(v.Names), names, v.Reason)
				}
			})
		})
}
