package jaysite

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// awaitPoll is how often a condition of the site is looked at.
const awaitPoll = 5 * time.Millisecond

// await waits until a condition holds; what tells that it does not is the error's text.
func await(ctx context.Context, what string, holds func() bool) error {
	for !holds() {
		select {
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), what)
		case <-time.After(awaitPoll):
		}
	}
	return nil
}
