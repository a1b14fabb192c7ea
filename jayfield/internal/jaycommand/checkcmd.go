package jaycommand

import (
	"context"
	"io"

	"github.com/peterbourgon/ff/v3/ffcli"

	"jayfield.example/jay/jayadmin"
	"jayfield.example/jay/jayconfig"
)

// check returns the command that checks a document without an instance.
func (c *config) check() *ffcli.Command {
	return c.command("check", "[flags] FILE", "Check a configuration document and change nothing", nil,
		func(_ context.Context, args []string) error {
			file, err := one(args, "file")
			if err != nil {
				return err
			}
			text, err := c.read(file)
			if err != nil {
				return err
			}
			publish, err := jayconfig.ParsePublish(file, text)
			if err != nil {
				return err
			}
			checked := jayadmin.Checked{Changes: len(publish.Changes)}
			return c.print(checked, func(w io.Writer) { line(w, "valid\t%d objects", checked.Changes) })
		})
}
