package jayroster_test

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
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
	// contactTime is how long the store has to be stable before bounds in time hold.
	contactTime = 4 * time.Second
	// effectTime is the time in which a policy has to be in force; for the registry it is drainTime.
	effectTime = 2500 * time.Millisecond
	// memberAge is the highest age of a copy of the members.
	memberAge = 5 * time.Second
	// eraSeeds is the number of seeds of a run.
	eraSeeds = 4
)

// eraTopic is a topic of an eraStore.
type eraTopic struct {
	records []eraRecord
}

type eraRecord struct {
	key, value string
	at         time.Time
}

// newest returns the newest value of each key that has one.
func (t *eraTopic) newest() map[string]string {
	newest := make(map[string]string)
	for _, r := range t.records {
		newest[r.key] = r.value
	}
	maps.DeleteFunc(newest, func(_, value string) bool { return value == "" })
	return newest
}

// eraStore is a store of topics that may come back from a copy of itself. It is away meanwhile.
type eraStore struct {
	mu      sync.Mutex
	source  *rand.Rand
	era     int64
	away    bool
	topics  map[jaystore.Topic]*eraTopic
	changed chan struct{}
}

func newEraStore(source *rand.Rand) *eraStore {
	s := &eraStore{source: source, topics: make(map[jaystore.Topic]*eraTopic), changed: make(chan struct{})}
	for _, topic := range []jaystore.Topic{jaystore.TopicPolicy, jaystore.TopicUpstreams, jaystore.TopicMembers} {
		s.topics[topic] = &eraTopic{}
	}
	return s
}

func (s *eraStore) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *eraStore) write(topic jaystore.Topic, key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topics[topic]
	t.records = append(t.records, eraRecord{key, value, time.Now()})
	s.notify()
}

func (s *eraStore) setAway(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = away
	s.notify()
}

// restore begins an era without the records of the last while.
func (s *eraStore) restore(lost time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	for _, t := range s.topics {
		for len(t.records) > 0 && time.Since(t.records[len(t.records)-1].at) < lost {
			t.records = slices.Clip(t.records[:len(t.records)-1])
		}
	}
	s.notify()
}

func (*eraStore) Put(context.Context, jaystore.Topic, string, []byte) (jaystore.Position, error) {
	return 0, nil
}

func (*eraStore) PutAt(context.Context, jaystore.Topic, string, []byte, jaystore.Position) error {
	return nil
}

// readEra reads a topic from a position on, all of it if that is negative, and returns when it ends or changes.
func (s *eraStore) readEra(topic jaystore.Topic, from jaystore.Position) ([]jaystore.Record, jaystore.Position, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topics[topic]
	end := jaystore.NewPosition(s.era, int64(len(t.records)))
	if s.away {
		return nil, from, s.changed, jayerror.New("read", jaystore.KindUnavailable, "away")
	}
	if from < 0 {
		from = jaystore.NewPosition(s.era, 0)
	}
	if from.Era() != s.era || from > end {
		return nil, from, s.changed, jayerror.New("read", jaystore.KindExpired, "another era")
	}
	var records []jaystore.Record
	for p := from; p < end; p++ {
		r := t.records[p.Offset()]
		records = append(records, jaystore.Record{Key: r.key, Value: []byte(r.value), Position: p})
	}
	return records, end, s.changed, nil
}

// eraReader is the store as one instance reaches it.
type eraReader struct {
	*eraStore
	// cutUntil is the end of the time in which the store does not answer the instance.
	cutUntil time.Time
}

func (r *eraReader) cut(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cutUntil = time.Now().Add(d)
}

func (r *eraReader) isCut() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Now().Before(r.cutUntil)
}

// lose waits for an answer that does not come.
func (*eraReader) lose(ctx context.Context) error {
	select {
	case <-time.After(time.Second):
	case <-ctx.Done():
	}
	return jayerror.New("read", jaystore.KindUnavailable, "no answer")
}

// delay is the time that an answer takes. It is made at its begin.
func (r *eraReader) delay() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return storeDelay + time.Duration(r.source.Int64N(int64(40*time.Millisecond)))
}

func (r *eraReader) Newest(ctx context.Context, topic jaystore.Topic) ([]jaystore.Record, jaystore.Position, error) {
	if r.isCut() {
		return nil, 0, r.lose(ctx)
	}
	records, end, _, err := r.readEra(topic, -1)
	newest := make(map[string]jaystore.Record)
	for _, record := range records {
		newest[record.Key] = record
	}
	maps.DeleteFunc(newest, func(_ string, record jaystore.Record) bool { return len(record.Value) == 0 })
	time.Sleep(r.delay())
	if r.isCut() {
		return nil, 0, r.lose(ctx)
	}
	return slices.Collect(maps.Values(newest)), end, err
}

func (r *eraReader) Read(ctx context.Context, topic jaystore.Topic, from jaystore.Position, interrupt <-chan struct{}) ([]jaystore.Record, jaystore.Position, error) {
	for poll := time.After(jaystore.LongPolled(effectTime).Wait); ; {
		if r.isCut() {
			return nil, from, r.lose(ctx)
		}
		records, next, changed, err := r.readEra(topic, from)
		if err == nil && len(records) == 0 && interrupt != nil {
			select {
			case <-changed:
				continue
			case <-poll:
			case <-interrupt:
				return nil, from, jayerror.New("read", jaystore.KindInterrupted, "interrupted")
			case <-ctx.Done():
				return nil, from, ctx.Err() //nolint:wrapcheck // For tests.
			}
			records, next, _, err = r.readEra(topic, from)
		}
		time.Sleep(r.delay())
		if r.isCut() {
			return nil, from, r.lose(ctx)
		}
		return records, next, err
	}
}

// eraCopy is what an instance acts on of a topic.
type eraCopy struct {
	mu     sync.Mutex
	values map[string]string
}

func (c *eraCopy) Replace(ctx context.Context, records []jaystore.Record, _ jaystore.Position) {
	c.mu.Lock()
	clear(c.values)
	c.mu.Unlock()
	c.Apply(ctx, records)
}

func (c *eraCopy) Apply(_ context.Context, records []jaystore.Record) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range records {
		if c.values[r.Key] = string(r.Value); len(r.Value) == 0 {
			delete(c.values, r.Key)
		}
	}
}

func (*eraCopy) Unavailable(context.Context, error) {}

func (*eraCopy) Available(context.Context) {}

func (c *eraCopy) snapshot() map[string]string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.values)
}

// eraInstance is an instance that follows all three topics.
type eraInstance struct {
	roster  *jayroster.Roster
	host    *jaystandin.Host
	store   *eraReader
	copies  map[jaystore.Topic]*eraCopy
	cancel  context.CancelFunc
	running sync.WaitGroup
}

func (i *eraInstance) FillHeartbeat(m *jaymember.Member) {
	version, err := strconv.Atoi(i.copies[jaystore.TopicPolicy].snapshot()["policy"])
	if m.Config = int64(version); err != nil {
		m.Config = -1
	}
}

// eraZone is a zone of instances that follow a store with eras, each of which may restart.
type eraZone struct {
	*testing.T
	seed     uint64
	source   *rand.Rand
	network  *jaystandin.Network
	store    *eraStore
	list     []jaystore.Record
	running  []*eraInstance
	version  int
	ordinals *rand.Rand
}

func newEraZone(t *testing.T, seed uint64, count int) *eraZone {
	z := &eraZone{
		T: t, seed: seed, source: rand.New(rand.NewPCG(seed, 1)), network: jaystandin.NewNetwork(),
		store: newEraStore(rand.New(rand.NewPCG(seed, 2))), running: make([]*eraInstance, count), ordinals: rand.New(rand.NewPCG(seed, 3)),
	}
	z.publish()
	z.change()
	for n := range count {
		z.start(n)
	}
	return z
}

// start starts the instance with a number under a new incarnation, and lists it.
func (z *eraZone) start(n int) {
	i := &eraInstance{host: z.network.Host(peerAddress(n), fastLink), store: &eraReader{eraStore: z.store}, copies: make(map[jaystore.Topic]*eraCopy)}
	for topic := range z.store.topics {
		i.copies[topic] = &eraCopy{values: make(map[string]string)}
	}
	ctx, cancel := context.WithCancel(z.Context())
	i.cancel = cancel
	var record jaystore.Record
	i.roster, record = startIncarnation(n, fmt.Sprintf("%08x", z.ordinals.Uint32()), i.host, i.host.Listen(), i, z.store, func([]jaymember.Status, int) {})
	z.list = append(z.list, record)
	z.running[n] = i
	for _, other := range z.running {
		if other != nil {
			other.roster.Replace(ctx, z.list, jaystore.Position(len(z.list)))
		}
	}
	policy, registry := jaystore.LongPolled(effectTime), jaystore.Polled(drainTime).WithHistory(2)
	i.follow(ctx, jaystore.TopicPolicy, policy, 0)
	i.follow(ctx, jaystore.TopicUpstreams, registry, 250*time.Millisecond)
	i.follow(ctx, jaystore.TopicMembers, jaystore.Freshness{MaxAge: memberAge}, 0)
}

func (i *eraInstance) follow(ctx context.Context, topic jaystore.Topic, fresh jaystore.Freshness, interval time.Duration) {
	mirror := jaystore.NewMirror(i.copies[topic])
	reader := i.roster.TopicReader(i.store, topic, mirror, fresh.MaxAge, fresh.Interval).WithPollWait(fresh.Wait).WithHistory(fresh.History)
	follower := jaystore.NewFollower(reader, topic, mirror, interval, slog.New(slog.DiscardHandler))
	i.running.Go(func() { follower.Run(ctx) })
}

func (z *eraZone) kill(n int) {
	i := z.running[n]
	i.cancel()
	i.running.Wait()
	i.roster.Stop()
}

func (z *eraZone) stop() {
	for n := range z.running {
		z.kill(n)
	}
	z.network.Close()
}

// upTo returns a random time.
func (z *eraZone) upTo(d time.Duration) time.Duration {
	return time.Duration(z.source.Int64N(int64(d)))
}

// publish publishes a policy.
func (z *eraZone) publish() {
	z.version++
	z.store.write(jaystore.TopicPolicy, "policy", strconv.Itoa(z.version))
}

// change adds or removes an upstream and a member.
func (z *eraZone) change() {
	for _, topic := range []jaystore.Topic{jaystore.TopicUpstreams, jaystore.TopicMembers} {
		value := []string{"", "ready"}[z.source.IntN(2)]
		z.store.write(topic, fmt.Sprint("k", z.source.IntN(12)), value)
	}
}

// restore has the store come back from a copy. The operator then writes the newest policy again.
func (z *eraZone) restore() {
	for range 1 + z.source.IntN(2) {
		if z.source.IntN(2) == 0 {
			z.store.setAway(true)
			time.Sleep(z.upTo(700 * time.Millisecond))
		}
		z.store.restore(z.upTo(5 * time.Second))
		z.store.setAway(false)
		// Offsets may be given out again before anybody has read.
		for range z.source.IntN(2) * 30 {
			z.change()
		}
		time.Sleep(z.upTo(300 * time.Millisecond))
		z.store.write(jaystore.TopicPolicy, "policy", strconv.Itoa(z.version))
	}
}

// disturb does something to the zone.
func (z *eraZone) disturb() {
	n := z.source.IntN(len(z.running))
	switch z.source.IntN(9) {
	case 0, 1, 2:
		z.publish()
	case 3, 4:
		z.change()
	case 5:
		z.running[n].store.cut(z.upTo(3 * time.Second))
	case 6:
		d := z.upTo(3 * time.Second)
		z.running[n].store.cut(d)
		z.running[n].host.Pause(d)
	case 7:
		z.kill(n)
		z.start(n)
	case 8:
		z.restore()
	}
}

// Guards against copies that stay behind after the store came back from a copy of itself, whoever was frozen, cut off or
// started meanwhile: all topics at all instances have to be as in the store in time, once it has been stable.
func TestCopiesFollowStoreThroughEras(t *testing.T) {
	for _, count := range []int{2, 3, 7, 16} {
		t.Run(fmt.Sprint(count, " instances"), func(t *testing.T) {
			for seed := range uint64(eraSeeds) {
				synctest.Test(t, func(t *testing.T) {
					z := newEraZone(t, seed, count)
					defer z.stop()
					time.Sleep(5 * time.Second)
					for range 25 {
						z.disturb()
						time.Sleep(z.upTo(600 * time.Millisecond))
					}
					n := z.source.IntN(count)
					z.running[n].store.cut(2 * time.Second)
					z.running[n].host.Pause(2 * time.Second)
					z.restore()
					time.Sleep(z.upTo(500 * time.Millisecond))
					z.kill((n + 1) % count)
					z.start((n + 1) % count)
					// The instances are in touch once the last disturbance of them has ended for some time too.
					time.Sleep(3 * time.Second)
					for range 5 {
						z.publish()
						z.change()
						time.Sleep(contactTime / 5)
					}
					z.publish()
					z.change()
					time.Sleep(max(effectTime, drainTime))
					z.check(jaystore.TopicPolicy, jaystore.TopicUpstreams)
					time.Sleep(memberAge)
					z.check(jaystore.TopicPolicy, jaystore.TopicUpstreams, jaystore.TopicMembers)
				})
			}
		})
	}
}

// check compares what the instances act on with what the store has.
func (z *eraZone) check(topics ...jaystore.Topic) {
	z.Helper()
	for _, topic := range topics {
		want := z.store.topics[topic].newest()
		for n, i := range z.running {
			if got := i.copies[topic].snapshot(); !maps.Equal(got, want) {
				z.Errorf("seed %d: instance %d acts on %v of topic %s, the store has %v", z.seed, n, got, topic, want)
			}
		}
	}
}
