package jaydaemon

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"jayfield.example/jay/jaystandin"
)

// headerBound bounds the time to read a request's header.
const headerBound = 10 * time.Second

// platform is a stand-in platform inside the process.
type platform struct {
	address string
	server  *http.Server
}

func startPlatform(log *slog.Logger) (*platform, error) {
	listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.WithStack(err)
	}
	p := &platform{
		address: "http://" + listener.Addr().String(),
		server:  &http.Server{Handler: jaystandin.NewPlatform().Handler(), ReadHeaderTimeout: headerBound},
	}
	go func() { _ = p.server.Serve(listener) }()
	log.Warn("platform is a stand-in inside the process; nothing lasts", "address", p.address)
	return p, nil
}

func (p *platform) stop() {
	_ = p.server.Close()
}
