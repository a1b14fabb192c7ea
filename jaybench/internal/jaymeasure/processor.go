package jaymeasure

import (
	"syscall"
	"time"
)

// ProcessorTime returns the processor time that the process has used, 0 where the system does not say.
func ProcessorTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
