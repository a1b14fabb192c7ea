// Package jaydaemon runs an entry instance as a process.
package jaydaemon

import (
	"context"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"jayfield.example/jay/jayinstance"
	"jayfield.example/jay/jaysetting"
)

// Exit statuses of the process.
const (
	statusOK       = 0
	statusFailed   = 1
	statusSettings = 2
)

// commandEdge runs an instance that relays requests on the users' platform.
const commandEdge = "edge"

// Main runs the daemon with its arguments and returns the exit status.
func Main(args []string, stdout, stderr io.Writer) int {
	if len(args) > 0 && args[0] == commandEdge {
		return edgeMain(args[1:], stdout, stderr)
	}
	settings, arguments, err := jaysetting.Read(args, stderr)
	if errors.Is(err, flag.ErrHelp) {
		return statusOK
	}
	if err != nil {
		_, _ = fmt.Fprintln(stderr, "jayfieldd:", err)
		return statusSettings
	}
	if arguments.Check {
		_, _ = fmt.Fprintln(stdout, "settings are valid")
		return statusOK
	}
	log := slog.New(slog.NewTextHandler(stderr, &slog.HandlerOptions{Level: settings.Level, ReplaceAttr: plainError}))
	if arguments.Embedded {
		platform, err := startPlatform(log)
		if err != nil {
			log.Error("platform not started", "error", err)
			return statusFailed
		}
		defer platform.stop()
		settings = settings.WithPlatform(platform.address)
		settings.Register = true
	}
	if err := run(settings, log); err != nil {
		log.Error("instance failed", "error", err)
		return statusFailed
	}
	return statusOK
}

// plainError logs an error's text without the stack that it may carry.
func plainError(_ []string, attr slog.Attr) slog.Attr {
	if err, ok := attr.Value.Any().(error); ok {
		attr.Value = slog.StringValue(err.Error())
	}
	return attr
}

// run serves until a signal asks the process to stop.
func run(settings jaysetting.Settings, log *slog.Logger) error {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1)
	defer signal.Stop(signals)
	instance, err := jayinstance.Start(settings, log)
	if err != nil {
		return err
	}
	for received := range signals {
		if received != syscall.SIGUSR1 {
			break
		}
		dump(instance, log)
	}
	return stop(instance, signals, log)
}

// stop ends the instance without cutting a request. A second signal ends it at once.
func stop(instance *jayinstance.Instance, signals <-chan os.Signal, log *slog.Logger) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		select {
		case <-signals:
			log.Warn("second signal; requests at work are cut")
			cancel()
		case <-ctx.Done():
		}
	}()
	return instance.Stop(ctx)
}

// dumpBound bounds the collection of a state dump.
const dumpBound = 5 * time.Second

func dump(instance *jayinstance.Instance, log *slog.Logger) {
	ctx, cancel := context.WithTimeout(context.Background(), dumpBound)
	defer cancel()
	data, err := instance.Dump(ctx).JSON()
	if err != nil {
		log.Error("state not dumped", "error", err)
		return
	}
	log.Info("state", "dump", string(data))
}
