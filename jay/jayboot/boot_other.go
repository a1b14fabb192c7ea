//go:build !linux

package jayboot

import "time"

// sinceBoot reports that there is no clock that counts suspension.
func sinceBoot() (time.Duration, bool) {
	return 0, false
}
