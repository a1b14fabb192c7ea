package jayboot

import (
	"time"

	"golang.org/x/sys/unix"
)

// sinceBoot returns the time since the machine started, and whether the kernel provides it.
func sinceBoot() (time.Duration, bool) {
	var at unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &at); err != nil {
		return 0, false
	}
	return time.Duration(at.Nano()), true
}
