package jayroster_test

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"jayfield.example/jay/jayerror"
	"jayfield.example/jay/jaymember"
	"jayfield.example/jay/jayroster"
	"jayfield.example/jay/jaystandin"
	"jayfield.example/jay/jaystore"
)

const (
	// slowLink is 10 Mbit/s, the slowest link of the service requirements, in bytes per second.
	slowLink = 1_250_000
	// maxReadBytes is the most that the store returns for one read.
	maxReadBytes = 1 << 20
	// pollWait is how long a long poll waits at the store for a record.
	pollWait = 4 * time.Second
	// applyBound is the time in which a policy has to be in force.
	applyBound = 4 * time.Second
)

// policyTopic is a topic of the store with long polling. Each read takes the time of a slow link.
type policyTopic struct {
	mu      sync.Mutex
	records []jaystore.Record
	changed chan struct{}
	// wait is how long a long poll waits for a record.
	wait time.Duration
}

func (p *policyTopic) put(value []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.records = append(p.records, jaystore.Record{Key: "policy", Value: value, Position: jaystore.Position(len(p.records))})
	close(p.changed)
	p.changed = make(chan struct{})
}

func (*policyTopic) Put(context.Context, jaystore.Topic, string, []byte) (jaystore.Position, error) {
	return 0, nil
}

func (*policyTopic) PutAt(context.Context, jaystore.Topic, string, []byte, jaystore.Position) error {
	return nil
}

func (p *policyTopic) Newest(ctx context.Context, topic jaystore.Topic) ([]jaystore.Record, jaystore.Position, error) {
	return p.Read(ctx, topic, 0, nil)
}

func (p *policyTopic) Read(ctx context.Context, _ jaystore.Topic, from jaystore.Position, interrupt <-chan struct{}) ([]jaystore.Record, jaystore.Position, error) {
	p.mu.Lock()
	end, changed := jaystore.Position(len(p.records)), p.changed
	p.mu.Unlock()
	if interrupt != nil && end <= from {
		select {
		case <-changed:
		case <-time.After(p.wait):
		case <-interrupt:
			return nil, from, jayerror.New("read", jaystore.KindInterrupted, "interrupted")
		case <-ctx.Done():
			return nil, from, ctx.Err()
		}
	}
	p.mu.Lock()
	unread := p.records[min(from, jaystore.Position(len(p.records))):]
	p.mu.Unlock()
	size, count := 0, 0
	for _, r := range unread {
		if size += len(r.Value); size > maxReadBytes && count > 0 {
			size -= len(r.Value)
			break
		}
		count++
	}
	select {
	case <-time.After(time.Duration(size) * time.Second / slowLink):
	case <-ctx.Done():
		return nil, from, ctx.Err()
	}
	return unread[:count], from + jaystore.Position(count), nil
}

// ownStore is the store as one instance reaches it.
type ownStore struct {
	*policyTopic
	// cut is set once the store does not answer the instance any more.
	cut atomic.Bool
}

func (s *ownStore) Newest(ctx context.Context, topic jaystore.Topic) ([]jaystore.Record, jaystore.Position, error) {
	return s.Read(ctx, topic, 0, nil)
}

func (s *ownStore) Read(ctx context.Context, topic jaystore.Topic, from jaystore.Position, interrupt <-chan struct{}) ([]jaystore.Record, jaystore.Position, error) {
	if s.cut.Load() {
		select {
		case <-time.After(2 * s.wait):
			return nil, from, jayerror.New("read", jaystore.KindUnavailable, "no answer")
		case <-ctx.Done():
			return nil, from, ctx.Err()
		}
	}
	records, next, err := s.policyTopic.Read(ctx, topic, from, interrupt)
	if s.cut.Load() {
		// The answer is lost.
		return s.Read(ctx, topic, from, interrupt)
	}
	return records, next, err
}

// policyInstance is an instance that reads policies through the watcher of its zone.
type policyInstance struct {
	roster   *jayroster.Roster
	follower *jaystore.Follower
	store    ownStore
	host     *jaystandin.Host
	mu       sync.Mutex
	version  int64
	// appliedAt holds when each version was applied.
	appliedAt map[int64]time.Time
	// behind is since when other instances have had a newer version, requested the newest one that was read from the store.
	behind    time.Time
	requested int64
}

func (i *policyInstance) FillHeartbeat(m *jaymember.Member) {
	i.mu.Lock()
	defer i.mu.Unlock()
	m.Config = i.version
}

func (i *policyInstance) Replace(ctx context.Context, records []jaystore.Record, _ jaystore.Position) {
	i.Apply(ctx, records)
}

func (i *policyInstance) Apply(_ context.Context, records []jaystore.Record) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, r := range records {
		for ; i.version < int64(r.Position); i.version++ {
			i.appliedAt[i.version+1] = time.Now()
		}
	}
}

func (*policyInstance) Unavailable(context.Context, error) {}

func (*policyInstance) Available(context.Context) {}

// checkLag reads the store if other instances have had a newer version for some time, like an edge instance.
func (i *policyInstance) checkLag(members []jaymember.Status, _ int) {
	i.mu.Lock()
	defer i.mu.Unlock()
	newest := i.version
	for _, m := range members {
		newest = max(newest, m.Config)
	}
	switch {
	case newest == i.version:
		i.behind = time.Time{}
	case i.behind.IsZero():
		i.behind = time.Now()
	case newest > i.requested && time.Since(i.behind) >= 800*time.Millisecond && i.follower != nil:
		i.requested = newest
		i.follower.ReadNow()
	}
}

// policyZone is a zone of instances with slow links.
type policyZone struct {
	topic     *policyTopic
	instances []*policyInstance
	cancel    context.CancelFunc
	wait      sync.WaitGroup
}

// newPolicyZone starts a zone, with a pause before each instance, so that their rounds of exchanges do not
// coincide, if there is a source.
func newPolicyZone(ctx context.Context, count int, fresh jaystore.Freshness, source *rand.Rand) *policyZone {
	z := &policyZone{topic: &policyTopic{changed: make(chan struct{}), wait: fresh.Wait}}
	ctx, z.cancel = context.WithCancel(ctx)
	network, log := jaystandin.NewNetwork(), slog.New(slog.DiscardHandler)
	list := make([]jaystore.Record, 0, count)
	for n := range count {
		if source != nil {
			time.Sleep(time.Duration(source.Int64N(int64(2 * jayroster.Period))))
		}
		host := network.Host(peerAddress(n), slowLink)
		i := &policyInstance{version: -1, appliedAt: make(map[int64]time.Time), store: ownStore{policyTopic: z.topic}, host: host}
		var record jaystore.Record
		i.roster, record = startPeer(n, host, host.Listen(), i, z.topic, i.checkLag)
		list = append(list, record)
		z.instances = append(z.instances, i)
	}
	for _, i := range z.instances {
		i.roster.Replace(ctx, list, jaystore.Position(count))
		mirror := jaystore.NewMirror(i)
		reader := i.roster.TopicReader(&i.store, jaystore.TopicPolicy, mirror, fresh.MaxAge, 0)
		i.mu.Lock()
		i.follower = jaystore.NewFollower(reader, jaystore.TopicPolicy, mirror, 0, log)
		i.mu.Unlock()
		z.wait.Go(func() { i.follower.Run(ctx) })
	}
	return z
}

func (z *policyZone) stop() {
	z.cancel()
	z.wait.Wait()
	for _, i := range z.instances {
		i.roster.Stop()
	}
}

// slowest returns the time from a point in time until the last instance had applied a version.
func (z *policyZone) slowest(version int64, from time.Time) time.Duration {
	slowest := time.Duration(0)
	for _, i := range z.instances {
		i.mu.Lock()
		at, ok := i.appliedAt[version]
		i.mu.Unlock()
		if !ok {
			at = time.Now()
		}
		slowest = max(slowest, at.Sub(from))
	}
	return slowest
}

// policyText returns an operator's configuration with a number of routes.
func policyText(routes int) []byte {
	source, b := rand.New(rand.NewPCG(1, uint64(routes))), new(bytes.Buffer)
	for n := range routes {
		fmt.Fprintf(b, `{"name":"r-%08x","host":"%08x.example","path_prefix":"/%08x/","kind":"idempotent","timeout_ms":2000,`+
			`"target_latency_ms":400,"priority":%d,"service":"s-%06x","max_attempts":2,"sticky":false,"resumable":false},`,
			source.Uint32(), source.Uint32(), source.Uint32(), n%3, source.Uint32N(1<<24))
	}
	return b.Bytes()
}

// Guards against large policies that come late since each instance of a zone reads a copy from one watcher with a slow link.
func TestLargePolicyIsInForceInTime(t *testing.T) {
	tests := map[string]struct{ instances, routes int }{
		"one zone of a grown site": {14, 2850},
		"three times the routes":   {14, 8500},
		"twice the zone":           {28, 2850},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				z := newPolicyZone(t.Context(), test.instances, jaystore.Freshness{Wait: pollWait, MaxAge: 5500 * time.Millisecond}, nil)
				defer z.stop()
				z.topic.put(policyText(40))
				time.Sleep(10 * time.Second)
				first := time.Now()
				z.topic.put(policyText(test.routes))
				time.Sleep(2200 * time.Millisecond)
				second := time.Now()
				z.topic.put(policyText(test.routes + 1))
				time.Sleep(time.Minute)
				if took := z.slowest(1, first); took > applyBound {
					t.Errorf("first policy in force after %s, want at most %s", took, applyBound)
				}
				if took := z.slowest(2, second); took > applyBound {
					t.Errorf("second policy in force after %s, want at most %s", took, applyBound)
				}
			})
		})
	}
}
