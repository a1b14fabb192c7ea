// Package jaycommand is the command line of operators and callers.
package jaycommand

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os/signal"
	"strings"
	"syscall"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"jayfield.example/jay/jayclient"
	"jayfield.example/jay/jayerror"
)

// Exit statuses.
const (
	statusOK = 0
	// statusFailed means that the request failed or was refused.
	statusFailed = 1
	// statusUsage means that the command line is wrong.
	statusUsage = 2
	// statusUnknown means that it is unknown whether the change or the work took effect.
	statusUnknown = 3
)

// envPrefix begins the names of environment variables that hold flags.
const envPrefix = "JAYFIELD"

// Main runs a command and returns the exit status.
func Main(args []string, stdin io.Reader, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	c := &config{stdin: stdin, stdout: stdout, stderr: stderr}
	root := c.root()
	err := root.ParseAndRun(ctx, args)
	switch {
	case err == nil, errors.Is(err, flag.ErrHelp):
		return statusOK
	case isUsage(err):
		_, _ = fmt.Fprintf(stderr, "jayfield: %v\nRun jayfield -h for the commands and jayfield COMMAND -h for flags.\n", err)
		return statusUsage
	}
	_, _ = fmt.Fprintln(stderr, "jayfield:", err)
	if jayerror.Is(err, jayclient.KindUnknown) {
		return statusUnknown
	}
	return statusFailed
}

// usageError is a fault of the command line.
type usageError struct {
	text string
}

// Error returns the fault in one line.
func (e *usageError) Error() string {
	return e.text
}

func usagef(format string, args ...any) error {
	return &usageError{text: fmt.Sprintf(format, args...)}
}

// isUsage reports whether an error comes from the command line, not from the system.
func isUsage(err error) bool {
	var usage *usageError
	if errors.As(err, &usage) {
		return true
	}
	return strings.Contains(err.Error(), "flag provided but not defined") ||
		strings.Contains(err.Error(), "invalid value") ||
		strings.Contains(err.Error(), "flag needs an argument") ||
		strings.HasPrefix(err.Error(), "error parsing commandline")
}

// root returns the command that all others belong to.
func (c *config) root() *ffcli.Command {
	flags := c.flagSet("jayfield")
	root := &ffcli.Command{
		Name:       "jayfield",
		ShortUsage: "jayfield [flags] <command> [flags] [arguments]",
		LongHelp: "Operators publish and read configuration and look at instances; callers ask for\n" +
			"addresses and send requests. Flags may be given as " + envPrefix + "_NAME in the environment.",
		FlagSet: flags,
		Options: []ff.Option{ff.WithEnvVarPrefix(envPrefix)},
	}
	root.Subcommands = []*ffcli.Command{
		c.publish(), c.check(), c.get(), c.history(), c.drain(), c.hash(),
		c.losses(), c.entries(), c.state(), c.explain(), c.explainRequest(), c.call(), c.completion(root),
	}
	root.Exec = func(_ context.Context, args []string) error {
		if len(args) == 0 {
			return usagef("command is missing")
		}
		return usagef("unknown command %q%s", args[0], hint(args[0], root.Subcommands))
	}
	return root
}

// hint returns the command that a wrong one comes nearest to.
func hint(wrong string, commands []*ffcli.Command) string {
	for _, command := range commands {
		if strings.HasPrefix(command.Name, wrong[:1]) {
			return "; did you mean " + command.Name + "?"
		}
	}
	return ""
}
