package jaycommand

import (
	"context"
	"io"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"
)

// get returns the command that prints objects as a document with versions.
func (c *config) get() *ffcli.Command {
	return c.command("get", "[flags] [CLASS [NAME]]", "Print objects in force, ready to edit and publish", nil,
		func(ctx context.Context, args []string) error {
			operator := c.newOperator()
			defer operator.Close()
			objects, err := operator.Get(ctx, strings.Join(args, " "))
			if err != nil {
				return err
			}
			return c.print(objects, func(w io.Writer) {
				for _, o := range objects {
					line(w, "%sversion = %d\n", o.Text, o.Version)
				}
			})
		})
}
