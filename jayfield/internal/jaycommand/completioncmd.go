package jaycommand

import (
	"context"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"
)

// completion returns the command that prints a shell's completion of commands.
func (c *config) completion(root *ffcli.Command) *ffcli.Command {
	return c.command("completion", "bash", "Print a completion script for bash", nil,
		func(_ context.Context, args []string) error {
			shell, err := one(args, "shell")
			if err != nil {
				return err
			}
			if shell != "bash" {
				return usagef("shell %q is not bash", shell)
			}
			var names []string
			for _, command := range root.Subcommands {
				names = append(names, command.Name)
			}
			line(c.stdout, "complete -W %q jayfield", strings.Join(names, " "))
			return nil
		})
}
