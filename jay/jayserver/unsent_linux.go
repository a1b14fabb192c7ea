package jayserver

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// maxUnsent bounds the bytes of a response that the system buffers before it has sent them: without it the buffer
// of a caller that does not read grows to some megabytes, which count for the memory of the process. It does not
// limit what is on its way, so that links with a long round-trip time stay full.
const maxUnsent = 128 << 10

// limitUnsent bounds what the system buffers for a connection.
func limitUnsent(conn net.Conn) {
	source, ok := conn.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return
	}
	// Without the option the system's own limit applies.
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_NOTSENT_LOWAT, maxUnsent)
	})
}
