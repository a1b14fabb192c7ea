package jaydaemon

import (
	"flag"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/peterbourgon/ff/v3"
	"github.com/pkg/errors"

	"jayfield.example/jay/jayedge"
	jayplatform "jayfield.example/platform"
)

// EdgePrefix begins the names of environment variables of an edge instance.
const edgePrefix = "JAYFIELD"

// edgeMain runs an edge instance with its arguments and returns the exit status.
func edgeMain(args []string, stdout, stderr io.Writer) int {
	flags := flag.NewFlagSet("jayfieldd edge", flag.ContinueOnError)
	flags.SetOutput(stderr)
	file := flags.String("settings", "", "settings `file`; JAYFIELD_SETTINGS names it too")
	check := flags.Bool("check", false, "check the settings and exit")
	err := ff.Parse(flags, args, ff.WithEnvVarPrefix(edgePrefix))
	if errors.Is(err, flag.ErrHelp) {
		return statusOK
	}
	if err == nil && *file == "" {
		err = errors.New("no settings file; give --settings or JAYFIELD_SETTINGS")
	}
	var settings jayedge.Settings
	if err == nil {
		settings, err = jayedge.ReadSettings(*file)
	}
	if err != nil {
		_, _ = fmt.Fprintln(stderr, "jayfieldd edge:", err)
		return statusSettings
	}
	if *check {
		_, _ = fmt.Fprintln(stdout, "settings are valid")
		return statusOK
	}
	log := slog.New(slog.NewTextHandler(stdout, &slog.HandlerOptions{Level: settings.Level, ReplaceAttr: plainError}))
	if err := runEdge(settings, log); err != nil {
		log.Error("instance failed", "error", err)
		return statusFailed
	}
	return statusOK
}

func runEdge(settings jayedge.Settings, log *slog.Logger) error {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	defer signal.Stop(signals)
	edge, err := jayedge.Start(settings, jayplatform.NewAdapter(), log)
	if err != nil {
		return err //nolint:wrapcheck // It says what failed.
	}
	for received := range signals {
		if received != syscall.SIGHUP {
			break
		}
		log.Info("settings reload asked for")
	}
	edge.Stop()
	return nil
}
