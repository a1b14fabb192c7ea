package jaycommand

import (
	"context"
	"io"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
)

// entries returns the command that asks which addresses to use.
func (c *config) entries() *ffcli.Command {
	return c.command("entries", "[flags]", "Ask which instances a caller should use", nil,
		func(ctx context.Context, args []string) error {
			if err := none(args); err != nil {
				return err
			}
			caller := c.newCaller()
			defer caller.Close()
			answer, err := caller.Entries(ctx)
			if err != nil {
				return err
			}
			return c.print(answer, func(w io.Writer) {
				line(w, "NAME\tADDRESS\tREGION\tZONE")
				for _, e := range answer.Entries {
					line(w, "%s\t%s\t%s\t%s", e.Name, e.Address, e.Region, e.Zone)
				}
				line(w, "lifetime %s", time.Duration(answer.Lifetime)*time.Millisecond)
			})
		})
}
