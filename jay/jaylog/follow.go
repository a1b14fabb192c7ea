package jaylog

import (
	"context"
	"time"

	"jayfield.example/jay/jayerror"
)

// followDelay is the pause after a read that failed.
const followDelay = 250 * time.Millisecond

// Reader reads streams.
type Reader interface {
	Read(ctx context.Context, stream Stream, from int64, wait time.Duration) (Batch, error)
}

// Handler takes in what a stream gives.
type Handler struct {
	// Read takes in a batch and returns the offset to read next. Expired says
	// that the records before the batch's oldest are gone.
	Read func(batch Batch, expired bool) int64
	// Failed is called after a read that failed, if it is set.
	Failed func()
}

// Follow reads a stream from its first offset until ctx ends, waiting at its
// end for up to wait.
func Follow(ctx context.Context, reader Reader, stream Stream, wait time.Duration, handler Handler) {
	next := int64(0)
	for ctx.Err() == nil {
		batch, err := reader.Read(ctx, stream, next, wait)
		expired := jayerror.Is(err, KindExpired)
		if err == nil || expired {
			next = handler.Read(batch, expired)
			continue
		}
		if handler.Failed != nil {
			handler.Failed()
		}
		select {
		case <-time.After(followDelay):
		case <-ctx.Done():
		}
	}
}
