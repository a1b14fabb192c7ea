// Package jaycommand is the command line of the bench.
package jaycommand

import (
	"context"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"os/signal"
	"syscall"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"
)

// Exit statuses.
const (
	statusOK     = 0
	statusFailed = 1
	statusUsage  = 2
)

// config is what all commands share.
type config struct {
	stdout, stderr io.Writer
	verbose        bool
}

// usageError is a fault of the command line.
type usageError struct {
	text string
}

// Error returns the fault in one line.
func (e *usageError) Error() string {
	return e.text
}

// Main runs a command and returns the exit status.
func Main(args []string, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	c := &config{stdout: stdout, stderr: stderr}
	root := c.root()
	if err := root.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return statusOK
		}
		_, _ = fmt.Fprintf(stderr, "jaybench: %v\nRun jaybench -h for the commands.\n", err)
		return statusUsage
	}
	err := root.Run(ctx)
	var usage *usageError
	switch {
	case err == nil, errors.Is(err, flag.ErrHelp):
		return statusOK
	case errors.As(err, &usage):
		_, _ = fmt.Fprintf(stderr, "jaybench: %v\nRun jaybench -h for the commands.\n", err)
		return statusUsage
	}
	_, _ = fmt.Fprintln(stderr, "jaybench:", err)
	return statusFailed
}

// root returns the command that all others belong to.
func (c *config) root() *ffcli.Command {
	flags := flag.NewFlagSet("jaybench", flag.ContinueOnError)
	flags.SetOutput(c.stderr)
	flags.BoolVar(&c.verbose, "verbose", false, "print the log lines of the instances")
	return &ffcli.Command{
		Name:        "jaybench",
		ShortUsage:  "jaybench [flags] <command> [flags]",
		FlagSet:     flags,
		Subcommands: []*ffcli.Command{c.cost(), c.demo(), c.duty(), c.plot(), c.publish(), c.run(), c.scale(), c.standin()},
		Exec: func(_ context.Context, args []string) error {
			if len(args) > 0 {
				return &usageError{text: fmt.Sprintf("unknown command %q", args[0])}
			}
			return &usageError{text: "command is missing"}
		},
	}
}

// flagSet returns the flags of a command.
func (c *config) flagSet(name string) *flag.FlagSet {
	flags := flag.NewFlagSet("jaybench "+name, flag.ContinueOnError)
	flags.SetOutput(c.stderr)
	return flags
}

// log returns the log of the instances.
func (c *config) log() *slog.Logger {
	if c.verbose {
		return slog.New(slog.NewTextHandler(c.stderr, nil))
	}
	return slog.New(slog.DiscardHandler)
}
