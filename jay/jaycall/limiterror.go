package jaycall

import (
	"fmt"
	"time"
)

// limitError is returned for a request that exceeds its caller's rate limit.
type limitError struct {
	wait time.Duration
}

// Error implements the error interface.
func (e *limitError) Error() string {
	return fmt.Sprintf("account is above its rate; try again in %s", e.wait.Round(time.Millisecond))
}
