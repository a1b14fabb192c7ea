package jaycommand

import (
	"bufio"
	"context"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"jayfield.example/jay/jayconfig"
)

// hash returns the command that turns an account's key into what the configuration holds.
func (c *config) hash() *ffcli.Command {
	return c.command("hash", "[flags]", "Print the hash of an account's key, read from standard input", nil,
		func(_ context.Context, args []string) error {
			if err := none(args); err != nil {
				return err
			}
			scanner := bufio.NewScanner(c.stdin)
			if !scanner.Scan() || scanner.Text() == "" {
				return errors.New("no key on standard input; write it as one line")
			}
			line(c.stdout, "%s", jayconfig.HashKey(scanner.Text()))
			return nil
		})
}
