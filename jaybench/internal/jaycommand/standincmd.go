package jaycommand

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"jayfield.example/jay/jaysite"
	"jayfield.example/jay/jaystandin"
)

// headerBound bounds the time to read a request's header.
const headerBound = 10 * time.Second

// standinFlags are the flags of the standin command.
type standinFlags struct {
	platform, engines, services, model string
}

// standin returns the command that serves stand-ins as a process of their own.
func (c *config) standin() *ffcli.Command {
	var f standinFlags
	flags := c.flagSet("standin")
	flags.StringVar(&f.platform, "platform", "", "`address` to serve the log and the instance list at")
	flags.StringVar(&f.engines, "engines", "", "`addresses` to serve engines at, separated by commas")
	flags.StringVar(&f.services, "services", "", "`addresses` to serve plain services at, separated by commas")
	flags.StringVar(&f.model, "model", jaysite.Model, "`model` that the engines run")
	return &ffcli.Command{
		Name:       "standin",
		ShortUsage: "jaybench standin [flags]",
		ShortHelp:  "Serve a stand-in platform, engines and plain services until it is stopped",
		FlagSet:    flags,
		Exec:       func(ctx context.Context, _ []string) error { return c.runStandin(ctx, f) },
	}
}

func (c *config) runStandin(ctx context.Context, f standinFlags) error {
	handlers := make(map[string]http.Handler)
	if f.platform != "" {
		handlers[f.platform] = jaystandin.NewPlatform().Handler()
	}
	for _, address := range addresses(f.engines) {
		engine := jaystandin.NewEngine(f.model, jaysite.DefaultRates(), jaystandin.WithFence())
		defer engine.Stop()
		handlers[address] = engine.Handler()
	}
	for _, address := range addresses(f.services) {
		handlers[address] = jaystandin.NewService()
	}
	if len(handlers) == 0 {
		return &usageError{text: "give --platform, --engines or --services"}
	}
	for address, handler := range handlers {
		server, err := serveAt(ctx, address, handler)
		if err != nil {
			return err
		}
		defer server.Close() //nolint:errcheck // The process ends.
	}
	_, _ = fmt.Fprintf(c.stdout, "%d stand-ins serve\n", len(handlers))
	<-ctx.Done()
	return nil
}

func addresses(list string) []string {
	var found []string
	for address := range strings.SplitSeq(list, ",") {
		if address != "" {
			found = append(found, address)
		}
	}
	return found
}

func serveAt(ctx context.Context, address string, handler http.Handler) (*http.Server, error) {
	listener, err := new(net.ListenConfig).Listen(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen; choose a free port")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerBound}
	go func() { _ = server.Serve(listener) }()
	return server, nil
}
