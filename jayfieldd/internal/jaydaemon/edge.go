package jaydaemon

import (
	"flag"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/peterbourgon/ff/v3"
	"github.com/pkg/errors"

	"jayfield.example/jay/jayedge"
	"jayfield.example/jay/jaysink"
	jayplatform "jayfield.example/platform"
)

// EdgePrefix begins the names of environment variables of an edge instance.
const edgePrefix = "JAYFIELD"

// edgeMain runs an edge instance with its arguments and returns the exit status.
func edgeMain(args []string, stdout, stderr io.Writer) int {
	// A SIGHUP that comes before the instance has started must not end the process.
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	defer signal.Stop(signals)
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
	level := new(slog.LevelVar)
	level.Set(settings.Level)
	handler := jaysink.New(stdout, &slog.HandlerOptions{Level: level, ReplaceAttr: edgeAttr})
	defer handler.Close()
	log := slog.New(handler)
	if err := runEdge(*file, settings, signals, level, log); err != nil {
		log.Error("instance failed", "error", err)
		return statusFailed
	}
	return statusOK
}

// edgeAttr writes errors without their stacks and names the routine level.
func edgeAttr(groups []string, attr slog.Attr) slog.Attr {
	return jaysink.LevelName(groups, plainError(groups, attr))
}

// settingsPause is the time between two looks at the settings file, which may change without a signal.
const settingsPause = 2 * time.Second

// runEdge runs an instance until it is told to stop.
func runEdge(file string, settings jayedge.Settings, signals <-chan os.Signal, level *slog.LevelVar, log *slog.Logger) error {
	// The collector works harder from half of the memory at which the process is killed.
	debug.SetMemoryLimit(int64(settings.Memory) << 20 / 2)
	edge, err := jayedge.Start(settings, jayplatform.NewAdapter(), log)
	if err != nil {
		return err //nolint:wrapcheck // It says what failed.
	}
	ticker := time.NewTicker(settingsPause)
	defer ticker.Stop()
	for {
		select {
		case received := <-signals:
			if received != syscall.SIGHUP {
				edge.Stop()
				return nil
			}
		case <-ticker.C:
		}
		settings = reload(edge, file, settings, level, log)
	}
}

// reload puts changed settings into force. Those that cannot be read change nothing.
func reload(edge *jayedge.Edge, file string, settings jayedge.Settings, level *slog.LevelVar, log *slog.Logger) jayedge.Settings {
	changed, err := jayedge.ReadSettings(file)
	if err != nil {
		log.Error("settings not reloaded; the former ones stay in force", "error", err)
		return settings
	}
	if changed.Equal(settings) {
		return settings
	}
	level.Set(changed.Level)
	edge.Reload(changed)
	return changed
}
