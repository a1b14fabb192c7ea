package jaycommand

import (
	"context"
	"flag"
	"fmt"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"jayfield.example/jay/jayadmin"
)

// drain returns the command that takes an upstream out of service, or back into it.
func (c *config) drain() *ffcli.Command {
	var undo, wait bool
	more := func(flags *flag.FlagSet) {
		flags.BoolVar(&undo, "undo", false, "give the upstream work again")
		flags.BoolVar(&wait, "wait", false, "return when every live instance has the change in force")
	}
	return c.command("drain", "[flags] UPSTREAM", "Give an upstream no new work", more,
		func(ctx context.Context, args []string) error {
			name, err := one(args, "upstream")
			if err != nil {
				return err
			}
			operator := c.newOperator()
			defer operator.Close()
			objects, err := operator.Get(ctx, "upstream "+name)
			if err != nil {
				return err
			}
			for _, o := range objects {
				if o.Name == "upstream "+name {
					return c.publishText(ctx, "drain", drained(o, undo), false, wait)
				}
			}
			return errors.Errorf("upstream %q is not configured; see jayfield get upstream", name)
		})
}

// drained returns an upstream's section with its drain key set.
func drained(o jayadmin.Object, undo bool) string {
	var kept []string
	for text := range strings.Lines(o.Text) {
		if key, _, _ := strings.Cut(text, "="); strings.TrimSpace(key) != "drain" {
			kept = append(kept, text)
		}
	}
	value := "yes"
	if undo {
		value = "no"
	}
	return fmt.Sprintf("%sdrain = %s\nversion = %d\n", strings.Join(kept, ""), value, o.Version)
}
