package jaylink

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

const (
	// dialBound is the longest time for a new connection; a far region answers within some 50 ms.
	dialBound = time.Second
	// unackedBound ends a connection whose bytes the other side does not acknowledge.
	unackedBound = 2 * time.Second
	// probeIdle, probeEvery and probeCount end a silent connection after about 3 s.
	probeIdle  = time.Second
	probeEvery = time.Second
	probeCount = 2
)

// NewDialer returns a dialer whose connections end by themselves once the
// other side has fallen silent.
func NewDialer() *net.Dialer {
	return &net.Dialer{
		Timeout: dialBound,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: probeIdle, Interval: probeEvery, Count: probeCount,
		},
		ControlContext: func(_ context.Context, _, _ string, raw syscall.RawConn) error {
			var failed error
			err := raw.Control(func(fd uintptr) {
				failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedBound.Milliseconds()))
			})
			if err != nil {
				return errors.WithStack(err)
			}
			return errors.WithStack(failed)
		},
	}
}
