package jayedge

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"jayfield.example/jay/jayerror"
	"jayfield.example/jay/jaymember"
	"jayfield.example/jay/jaystore"
)

const (
	// maxAnswerAge is the age of the store's newest answer up to which the instance reaches the store although later
	// calls have failed or are pending.
	maxAnswerAge = time.Second
	// pendingLimit is how long a call may be pending until it counts as failed. A slow store answers in 240 ms.
	pendingLimit = 300 * time.Millisecond
	// contactTTL is how long the result of the newest call counts. Instances that read the store through others
	// seldom call it.
	contactTTL = 10 * time.Second
)

// contact is what the instance's own calls to the store show of its contact with the store. It is safe for
// concurrent use.
type contact struct {
	mu                   sync.Mutex
	answeredAt, failedAt time.Time
	// failing is set if the newest result is a failure.
	failing bool
	// pending are the starts of the calls in flight, except long polls.
	pending map[uint64]time.Time
	calls   uint64
	// recovered is called when a call succeeds after one that failed.
	recovered func()
}

func newContact() *contact {
	return &contact{pending: make(map[uint64]time.Time), recovered: func() {}}
}

// State returns what the instance knows of its contact with the store.
func (c *contact) State() jaymember.StoreContact {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	failing := c.failing && now.Sub(c.failedAt) <= contactTTL
	if starts := slices.Collect(maps.Values(c.pending)); len(starts) > 0 {
		failing = failing || now.Sub(slices.MinFunc(starts, time.Time.Compare)) >= pendingLimit
	}
	age := now.Sub(c.answeredAt)
	switch {
	case failing && age > maxAnswerAge:
		return jaymember.ContactFails
	case !c.answeredAt.IsZero() && age <= contactTTL:
		return jaymember.ContactAnswers
	}
	return jaymember.ContactUnknown
}

// begin registers a call. The function that it returns records the result.
func (c *contact) begin(ctx context.Context, poll bool) func(error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls++
	number := c.calls
	if !poll {
		c.pending[number] = time.Now()
	}
	return func(err error) { c.end(ctx, number, err) }
}

// end records the result of a call. A call that its caller gave up shows nothing.
func (c *contact) end(ctx context.Context, number uint64, err error) {
	c.mu.Lock()
	delete(c.pending, number)
	recovered := false
	switch {
	case err == nil || jayerror.Is(err, jaystore.KindConflict) || jayerror.Is(err, jaystore.KindExpired):
		recovered = c.failing
		c.failing, c.answeredAt = false, time.Now()
	case jayerror.Is(err, jaystore.KindUnavailable) && !errors.Is(ctx.Err(), context.Canceled):
		c.failing, c.failedAt = true, time.Now()
	}
	notify := c.recovered
	c.mu.Unlock()
	if recovered {
		notify()
	}
}

// onRecovered sets what is called when a call succeeds after one that failed. It must not block.
func (c *contact) onRecovered(notify func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recovered = notify
}

// observedStore is the store with the results of its calls recorded.
type observedStore struct {
	Store

	contact *contact
}

// Newest returns the newest record of each key.
func (s observedStore) Newest(ctx context.Context, topic jaystore.Topic) ([]jaystore.Record, jaystore.Position, error) {
	end := s.contact.begin(ctx, false)
	records, next, err := s.Store.Newest(ctx, topic)
	end(err)
	return records, next, err //nolint:wrapcheck // The store's errors are those of jaystore.
}

// Read returns the records from an offset on.
func (s observedStore) Read(ctx context.Context, topic jaystore.Topic, from jaystore.Position, interrupt <-chan struct{}) ([]jaystore.Record, jaystore.Position, error) {
	end := s.contact.begin(ctx, interrupt != nil)
	records, next, err := s.Store.Read(ctx, topic, from, interrupt)
	end(err)
	return records, next, err //nolint:wrapcheck // The store's errors are those of jaystore.
}

// Put appends a record.
func (s observedStore) Put(ctx context.Context, topic jaystore.Topic, key string, value []byte) (jaystore.Position, error) {
	end := s.contact.begin(ctx, false)
	offset, err := s.Store.Put(ctx, topic, key, value)
	end(err)
	return offset, err //nolint:wrapcheck // The store's errors are those of jaystore.
}

// PutAt appends a record if the topic ends at an offset.
func (s observedStore) PutAt(ctx context.Context, topic jaystore.Topic, key string, value []byte, at jaystore.Position) error {
	end := s.contact.begin(ctx, false)
	err := s.Store.PutAt(ctx, topic, key, value, at)
	end(err)
	return err //nolint:wrapcheck // The store's errors are those of jaystore.
}

// Append appends records to a topic without keys.
func (s observedStore) Append(ctx context.Context, topic jaystore.Topic, records [][]byte) error {
	end := s.contact.begin(ctx, false)
	err := s.Store.Append(ctx, topic, records)
	end(err)
	return err //nolint:wrapcheck // The store's errors are those of jaystore.
}

// ReadLog returns the records of a topic without keys from a position on.
func (s observedStore) ReadLog(ctx context.Context, topic jaystore.Topic, from jaystore.Position) ([][]byte, jaystore.Position, error) {
	end := s.contact.begin(ctx, false)
	records, next, err := s.Store.ReadLog(ctx, topic, from)
	end(err)
	return records, next, err //nolint:wrapcheck // The store's errors are those of jaystore.
}
