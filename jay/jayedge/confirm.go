package jayedge

import (
	"context"
	"sync"
	"time"

	"jayfield.example/jay/jayaccount"
)

const (
	// confirmInterval is the least time between two reads of the policy for unknown keys, which bounds what
	// a flood of them costs.
	confirmInterval = time.Second
	// confirmTimeout is how long a read is waited for. The store answers in 4 ms, from another region in 44 ms.
	confirmTimeout = 300 * time.Millisecond
	// confirmPoll is the time between two looks at the age of the policy during a read.
	confirmPoll = 5 * time.Millisecond
)

// confirmer has the policy read for requests with unknown keys: at most once a second, and once for all
// requests that wait. It is safe for concurrent use.
type confirmer struct {
	// age returns the age of the policy, read requests a read of it.
	age  func() time.Duration
	read func()
	// recent is the age at which a read is complete.
	recent time.Duration
	// run runs a function in a task of the instance.
	run func(func(context.Context))

	mu sync.Mutex
	// requested is when a read was last requested, done is closed at its end.
	requested time.Time
	done      chan struct{}
}

func newConfirmer(apply time.Duration, age func() time.Duration, read func(), run func(func(context.Context))) *confirmer {
	return &confirmer{age: age, read: read, recent: jayaccount.RecentAge(apply), run: run}
}

// Age returns the time since the store confirmed that the policy in force is the newest.
func (c *confirmer) Age() time.Duration {
	return c.age()
}

// Confirm waits until the read in progress ends, or until ctx ends. It requests a read if none is in
// progress and the last request was at least a second ago.
func (c *confirmer) Confirm(ctx context.Context) {
	select {
	case <-c.request(time.Now()):
	case <-ctx.Done():
	}
}

// request returns a channel that is closed at the end of the last read, and requests one if that is due.
func (c *confirmer) request(now time.Time) <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.done != nil && now.Sub(c.requested) < confirmInterval {
		return c.done
	}
	done := make(chan struct{})
	c.requested, c.done = now, done
	c.run(func(ctx context.Context) {
		defer close(done)
		c.await(ctx)
	})
	return done
}

// await requests a read and waits until the policy is recent.
func (c *confirmer) await(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	ticker := time.NewTicker(confirmPoll)
	defer ticker.Stop()
	c.read()
	for c.age() > c.recent {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}
