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
	// maxUnsent bounds the bytes of a request that the system buffers before it has sent them, for upstreams that
	// read slowly.
	maxUnsent = 128 << 10
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
				// Without the option the system's own limit applies.
				_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_NOTSENT_LOWAT, maxUnsent)
			})
			if err != nil {
				return errors.WithStack(err)
			}
			return errors.WithStack(failed)
		},
	}
}
