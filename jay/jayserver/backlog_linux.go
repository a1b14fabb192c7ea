package jayserver

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// hasBacklog reports whether a listener has connections that are established but not accepted.
func hasBacklog(listener net.Listener) bool {
	source, ok := listener.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return false
	}
	ready := false
	// Control also works after the deadline of Accept. It fails only if the listener is closed.
	_ = raw.Control(func(fd uintptr) {
		n, err := unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0) //nolint:gosec // A file descriptor fits.
		ready = err == nil && n > 0
	})
	return ready
}
