package jaycommand

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"jayfield.example/jay/jayclient"
)

// Format is how a command prints.
type Format string

// Formats of output.
const (
	FormatText Format = "text"
	FormatJSON Format = "json"
)

const defaultTimeout = 30 * time.Second

// config is what all commands share.
type config struct {
	stdin          io.Reader
	stdout, stderr io.Writer

	operator string
	caller   string
	key      string
	name     string
	region   string
	format   string
	timeout  time.Duration
}

// flagSet returns the flags that every command takes.
func (c *config) flagSet(name string) *flag.FlagSet {
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	flags.SetOutput(c.stderr)
	flags.StringVar(&c.operator, "operator", or(c.operator, "http://127.0.0.1:7200"), "`address` of an instance's operator listener")
	flags.StringVar(&c.caller, "caller", or(c.caller, "http://127.0.0.1:7100"), "`address` of an instance's caller listener")
	flags.StringVar(&c.key, "key", c.key, "`key` of the operator or account")
	flags.StringVar(&c.name, "name", or(c.name, os.Getenv("USER")), "`name` under which changes are published")
	flags.StringVar(&c.region, "region", c.region, "`region` of the caller")
	flags.StringVar(&c.format, "format", or(c.format, string(FormatText)), "output `format`: text or json")
	flags.DurationVar(&c.timeout, "timeout", orDuration(c.timeout, defaultTimeout), "longest `time` of the command")
	return flags
}

// command returns a command with the shared flags and those that more adds.
func (c *config) command(name, usage, short string, more func(*flag.FlagSet), run func(context.Context, []string) error) *ffcli.Command {
	flags := c.flagSet("jayfield " + name)
	if more != nil {
		more(flags)
	}
	return &ffcli.Command{
		Name:       name,
		ShortUsage: "jayfield " + name + " " + usage,
		ShortHelp:  short,
		FlagSet:    flags,
		Options:    []ff.Option{ff.WithEnvVarPrefix(envPrefix)},
		Exec: func(ctx context.Context, args []string) error {
			if c.format != string(FormatText) && c.format != string(FormatJSON) {
				return usagef("format %q is not text or json", c.format)
			}
			ctx, cancel := context.WithTimeout(ctx, c.timeout)
			defer cancel()
			return run(ctx, args)
		},
	}
}

// caller returns a client of the account.
func (c *config) newCaller() *jayclient.Caller {
	return jayclient.NewCaller(c.key, c.region, c.caller)
}

// newOperator returns a client of the operator listener.
func (c *config) newOperator() *jayclient.Operator {
	return jayclient.NewOperator(c.operator, c.key, c.name)
}

// print writes a value as JSON, or lets text write it.
func (c *config) print(value any, text func(w io.Writer)) error {
	if c.format == string(FormatJSON) {
		encoder := json.NewEncoder(c.stdout)
		encoder.SetIndent("", "  ")
		return errors.WithStack(encoder.Encode(value))
	}
	w := tabwriter.NewWriter(c.stdout, 0, 4, 2, ' ', 0)
	text(w)
	return errors.WithStack(w.Flush())
}

// read returns the text of a file, or of the standard input for "-".
func (c *config) read(file string) (string, error) {
	if file == "-" {
		data, err := io.ReadAll(c.stdin)
		return string(data), errors.WithStack(err)
	}
	data, err := os.ReadFile(file) //nolint:gosec // The operator names the file.
	return string(data), errors.WithStack(err)
}

// one returns the only argument.
func one(args []string, what string) (string, error) {
	if len(args) != 1 {
		return "", usagef("give one %s, not %d arguments", what, len(args))
	}
	return args[0], nil
}

// none refuses arguments.
func none(args []string) error {
	if len(args) > 0 {
		return usagef("unexpected argument %q", args[0])
	}
	return nil
}

func line(w io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(w, format+"\n", args...)
}

func or(value, other string) string {
	if value != "" {
		return value
	}
	return other
}

func orDuration(value, other time.Duration) time.Duration {
	if value > 0 {
		return value
	}
	return other
}
