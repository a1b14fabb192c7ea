// Package jaytask runs goroutines that own their state.
package jaytask

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"gopkg.in/tomb.v2"
)

// ErrStopped is returned to messages sent to a task that has stopped.
var ErrStopped = errors.New("task has stopped")

// mailboxSize bounds the messages that wait for a task.
const mailboxSize = 256

// Owner is a task that owns a state and handles one message at a time.
type Owner[S any] struct {
	tomb     tomb.Tomb
	messages chan func(*S)
}

// NewOwner starts a task that owns state. It calls tick each period, if tick is set.
func NewOwner[S any](state *S, period time.Duration, tick func(*S, time.Time)) *Owner[S] {
	o := &Owner[S]{messages: make(chan func(*S), mailboxSize)}
	o.tomb.Go(func() error { return o.run(state, period, tick) })
	return o
}

// Call sends a message and waits until the task has handled it.
func (o *Owner[S]) Call(ctx context.Context, message func(*S)) error {
	handled := make(chan struct{})
	err := o.Send(ctx, func(s *S) {
		defer close(handled)
		message(s)
	})
	if err != nil {
		return err
	}
	select {
	case <-handled:
		return nil
	case <-o.tomb.Dead():
		return ErrStopped
	}
}

// Done is closed when the task has stopped.
func (o *Owner[S]) Done() <-chan struct{} {
	return o.tomb.Dead()
}

// Stop ends the task and waits for it.
func (o *Owner[S]) Stop() {
	o.tomb.Kill(nil)
	<-o.tomb.Dead()
}

// Send sends a message without waiting for it to be handled.
func (o *Owner[S]) Send(ctx context.Context, message func(*S)) error {
	select {
	case o.messages <- message:
		return nil
	case <-o.tomb.Dying():
		return ErrStopped
	case <-ctx.Done():
		return errors.WithStack(ctx.Err())
	}
}

func (o *Owner[S]) run(state *S, period time.Duration, tick func(*S, time.Time)) error {
	var ticks <-chan time.Time
	if tick != nil {
		ticker := time.NewTicker(period)
		defer ticker.Stop()
		ticks = ticker.C
	}
	for {
		select {
		case message := <-o.messages:
			message(state)
		case now := <-ticks:
			tick(state, now)
		case <-o.tomb.Dying():
			return nil
		}
	}
}
