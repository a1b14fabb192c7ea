package jaycall

import (
	"fmt"
	"time"
)

// limitError refuses a request above its caller's rate.
type limitError struct {
	wait time.Duration
}

// Error returns the refusal in one line.
func (e *limitError) Error() string {
	return fmt.Sprintf("account is above its rate; try again in %s", e.wait.Round(time.Millisecond))
}
