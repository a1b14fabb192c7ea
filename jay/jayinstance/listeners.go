package jayinstance

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"

	"jayfield.example/jay/jaysetting"
	"jayfield.example/jay/jaytraffic"
)

const (
	// headerBound bounds the time to read a request's header.
	headerBound = 10 * time.Second
	// maxHeader bounds a request's header in bytes.
	maxHeader = 32 << 10
	// idleBound bounds the time that an idle connection is kept.
	idleBound = 2 * time.Minute
)

// listeners are the open sockets of an instance.
type listeners struct {
	caller, operator, peer net.Listener
}

func listen(settings jaysetting.Settings) (listeners, error) {
	var l listeners
	for _, item := range []struct {
		address string
		target  *net.Listener
	}{{settings.Caller, &l.caller}, {settings.Operator, &l.operator}, {settings.Peer, &l.peer}} {
		listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp", item.address)
		if err != nil {
			l.close()
			return l, errors.Wrap(err, "listen; choose a free port in section [listen]")
		}
		*item.target = listener
	}
	return l, nil
}

func (l listeners) addresses() Addresses {
	return Addresses{
		Caller:   l.caller.Addr().String(),
		Operator: l.operator.Addr().String(),
		Peer:     l.peer.Addr().String(),
	}
}

func (l listeners) close() {
	for _, listener := range []net.Listener{l.caller, l.operator, l.peer} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}

// connectionLimits returns the limits of connections of callers and operators.
func connectionLimits() jaytraffic.Limits {
	return jaytraffic.Limits{Header: maxHeader, HeaderTimeout: headerBound, IdleTimeout: idleBound}
}
