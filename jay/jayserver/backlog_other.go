//go:build !linux

package jayserver

import "net"

// hasBacklog reports no connections where the system provides no way to look for them.
func hasBacklog(net.Listener) bool {
	return false
}
