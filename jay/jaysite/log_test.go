package jaysite_test

import (
	"log/slog"
	"os"
)

// logger returns the log of tests, which is shown if JAYFIELD_TEST_LOG is set.
func logger() *slog.Logger {
	if os.Getenv("JAYFIELD_TEST_LOG") == "" {
		return slog.New(slog.DiscardHandler)
	}
	return slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelDebug}))
}
