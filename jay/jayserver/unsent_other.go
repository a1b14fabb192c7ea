//go:build !linux

package jayserver

import "net"

// limitUnsent does nothing where the system has no such limit.
func limitUnsent(net.Conn) {}
