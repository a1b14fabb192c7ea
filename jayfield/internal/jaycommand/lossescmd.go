package jaycommand

import (
	"context"
	"flag"
	"io"
	"os"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"jayfield.example/jayfield/internal/jayloss"
)

// losses returns the command that sums up which requests were not served or late.
func (c *config) losses() *ffcli.Command {
	by := "route,cause"
	more := func(flags *flag.FlagSet) {
		flags.StringVar(&by, "by", by, "what to group by: `list` of route, account, zone and cause")
	}
	return c.command("losses", "[flags] FILE...", "Sum up from the logs of all instances what was not served or late, and why", more,
		func(_ context.Context, args []string) error {
			if len(args) == 0 {
				return usagef("name the log files of the instances; - is standard input")
			}
			group, err := grouping(by)
			if err != nil {
				return err
			}
			report := jayloss.NewReport()
			for _, name := range args {
				if err := c.addLog(report, name); err != nil {
					return err
				}
			}
			rows := report.Rows(group)
			return c.print(rows, func(w io.Writer) {
				line(w, "route\taccount\tzone\tcause\toutcome\tcount\tfirst")
				for _, row := range rows {
					outcome := "not served"
					if row.Late {
						outcome = "late"
					}
					line(w, "%s\t%s\t%s\t%s\t%s\t%d\t%s", row.Route, row.Account, row.Zone, row.Cause, outcome, row.Count, row.First)
				}
				line(w, "%d of %d requests", len(report.Losses), report.Requests)
			})
		})
}

// addLog adds the log in a file, or on standard input.
func (c *config) addLog(report *jayloss.Report, name string) error {
	if name == "-" {
		return report.Add(c.stdin) //nolint:wrapcheck // The error names the operation.
	}
	file, err := os.Open(name) //nolint:gosec // The operator names the file.
	if err != nil {
		return errors.WithStack(err)
	}
	defer file.Close()      //nolint:errcheck // It is only read.
	return report.Add(file) //nolint:wrapcheck // The error names the operation.
}

// grouping returns the function that keeps the fields of a list. Whether a request was late is always kept.
func grouping(list string) (func(jayloss.Key) jayloss.Key, error) {
	keep := make(map[string]bool)
	for name := range strings.SplitSeq(list, ",") {
		switch name {
		case "route", "account", "zone", "cause":
			keep[name] = true
		default:
			return nil, usagef("--by: %q is not one of route, account, zone, cause", name)
		}
	}
	return func(k jayloss.Key) jayloss.Key {
		kept := jayloss.Key{Late: k.Late}
		if keep["route"] {
			kept.Route = k.Route
		}
		if keep["account"] {
			kept.Account = k.Account
		}
		if keep["zone"] {
			kept.Zone = k.Zone
		}
		if keep["cause"] {
			kept.Cause = k.Cause
		}
		return kept
	}, nil
}
