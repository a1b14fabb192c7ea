package jaycommand

import (
	"context"
	"encoding/json"
	"io"

	"github.com/peterbourgon/ff/v3/ffcli"
)

// state returns the command that prints an instance's state.
func (c *config) state() *ffcli.Command {
	return c.command("state", "[flags]", "Print the state of every part of an instance", nil,
		func(ctx context.Context, args []string) error {
			if err := none(args); err != nil {
				return err
			}
			operator := c.newOperator()
			defer operator.Close()
			dump, err := operator.State(ctx)
			if err != nil {
				return err
			}
			return c.print(dump, func(w io.Writer) {
				line(w, "instance runs for %s", dump.Age)
				for _, section := range dump.Sections {
					data, err := json.MarshalIndent(section.State, "  ", "  ")
					if err == nil {
						line(w, "%s\n  %s", section.Part, data)
					}
				}
			})
		})
}
