package jayroster_test

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
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
	// drainTime is the time in which an upstream that leaves has to get no new work.
	drainTime = 2500 * time.Millisecond
	// storeDelay is the time in which the store answers.
	storeDelay = 4 * time.Millisecond
	fastLink   = 125_000_000
)

// registry is a topic of the store that is polled.
type registry struct {
	mu      sync.Mutex
	records []jaystore.Record
}

func (r *registry) remove(id string) {
	r.append(id, nil)
}

func (r *registry) put(id string) {
	r.append(id, []byte("ready"))
}

func (r *registry) append(id string, value []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.records = append(r.records, jaystore.Record{Key: id, Value: value, Position: jaystore.Position(len(r.records))})
}

func (*registry) Put(context.Context, jaystore.Topic, string, []byte) (jaystore.Position, error) {
	return 0, nil
}

func (*registry) PutAt(context.Context, jaystore.Topic, string, []byte, jaystore.Position) error {
	return nil
}

// Newest returns the newest record of each key, without those of removed keys.
func (r *registry) Newest(ctx context.Context, topic jaystore.Topic) ([]jaystore.Record, jaystore.Position, error) {
	records, end, err := r.Read(ctx, topic, 0, nil)
	newest := make(map[string]jaystore.Record)
	for _, record := range records {
		newest[record.Key] = record
	}
	return slices.DeleteFunc(records, func(record jaystore.Record) bool {
		return newest[record.Key].Position != record.Position || len(record.Value) == 0
	}), end, err
}

func (r *registry) Read(_ context.Context, _ jaystore.Topic, from jaystore.Position, _ <-chan struct{}) ([]jaystore.Record, jaystore.Position, error) {
	time.Sleep(storeDelay)
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]jaystore.Record{}, r.records[min(from, jaystore.Position(len(r.records))):]...), jaystore.Position(len(r.records)), nil
}

// registryReader is the registry as one instance reaches it.
type registryReader struct {
	*registry
	// cut is set while the store does not answer the instance.
	cut atomic.Bool
}

func (r *registryReader) Newest(ctx context.Context, topic jaystore.Topic) ([]jaystore.Record, jaystore.Position, error) {
	if err := r.reach(ctx); err != nil {
		return nil, 0, err
	}
	return r.registry.Newest(ctx, topic)
}

func (r *registryReader) Read(ctx context.Context, topic jaystore.Topic, from jaystore.Position, interrupt <-chan struct{}) ([]jaystore.Record, jaystore.Position, error) {
	if err := r.reach(ctx); err != nil {
		return nil, from, err
	}
	return r.registry.Read(ctx, topic, from, interrupt)
}

func (r *registryReader) reach(ctx context.Context) error {
	if !r.cut.Load() {
		return nil
	}
	select {
	case <-time.After(time.Second):
	case <-ctx.Done():
	}
	return jayerror.New("read", jaystore.KindUnavailable, "no answer")
}

// registryInstance is an instance that follows the registry.
type registryInstance struct {
	reader  *registryReader
	host    *jaystandin.Host
	roster  *jayroster.Roster
	mu      sync.Mutex
	known   map[string]bool
	removed map[string]time.Time
	leaving bool
}

func newRegistryInstance(host *jaystandin.Host) *registryInstance {
	return &registryInstance{host: host, known: make(map[string]bool), removed: make(map[string]time.Time)}
}

func (i *registryInstance) FillHeartbeat(m *jaymember.Member) {
	i.mu.Lock()
	defer i.mu.Unlock()
	m.Config, m.Leaving = 1, i.leaving
}

func (i *registryInstance) Replace(ctx context.Context, records []jaystore.Record, _ jaystore.Position) {
	i.Apply(ctx, records)
	i.mu.Lock()
	defer i.mu.Unlock()
	present := make(map[string]bool)
	for _, r := range records {
		present[r.Key] = true
		i.known[r.Key] = true
	}
	for id := range i.known {
		if _, ok := i.removed[id]; !ok && !present[id] {
			i.removed[id] = time.Now()
		}
	}
}

func (i *registryInstance) Apply(_ context.Context, records []jaystore.Record) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, r := range records {
		i.known[r.Key] = true
		if _, ok := i.removed[r.Key]; !ok && len(r.Value) == 0 {
			i.removed[r.Key] = time.Now()
		}
	}
}

// removal returns when the instance applied the removal of an upstream, and whether it did.
func (i *registryInstance) removal(id string) (time.Time, bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	at, ok := i.removed[id]
	return at, ok
}

func (*registryInstance) Unavailable(context.Context, error) {}

func (*registryInstance) Available(context.Context) {}

// registryZone is a zone of instances that follow the registry.
type registryZone struct {
	network   *jaystandin.Network
	registry  *registry
	instances []*registryInstance
	cancel    context.CancelFunc
	wait      sync.WaitGroup
}

func newRegistryZone(ctx context.Context, count int) *registryZone {
	z := &registryZone{network: jaystandin.NewNetwork(), registry: &registry{}}
	ctx, z.cancel = context.WithCancel(ctx)
	log := slog.New(slog.DiscardHandler)
	list := make([]jaystore.Record, 0, count)
	for n := range count {
		i := newRegistryInstance(z.network.Host(peerAddress(n), fastLink))
		i.reader = &registryReader{registry: z.registry}
		var record jaystore.Record
		i.roster, record = startPeer(n, i.host, i.host.Listen(), i, z.registry, func([]jaymember.Status, int) {})
		list = append(list, record)
		z.instances = append(z.instances, i)
	}
	for _, i := range z.instances {
		i.roster.Replace(ctx, list, jaystore.Position(count))
		mirror := jaystore.NewMirror(i)
		reader := i.roster.TopicReader(i.reader, jaystore.TopicUpstreams, mirror, 7*drainTime/10, 36*drainTime/100)
		follower := jaystore.NewFollower(reader, jaystore.TopicUpstreams, mirror, 250*time.Millisecond, log)
		z.wait.Go(func() { follower.Run(ctx) })
	}
	return z
}

func (z *registryZone) stop() {
	z.cancel()
	z.wait.Wait()
	for _, i := range z.instances {
		i.roster.Stop()
	}
}

// leave marks an instance as leaving, in an exchange at once.
func (z *registryZone) leave(ctx context.Context, n int) {
	i := z.instances[n]
	i.mu.Lock()
	i.leaving = true
	i.mu.Unlock()
	i.roster.Leave(ctx)
}

// Guards against an upstream that gets new work after its drain time, since an instance waits for
// other instances one after the other: each over a connection that is silent, or one whose
// process is frozen or leaves.
func TestRegistryIsNeverOlderThanDrainTime(t *testing.T) {
	const seeds = 3
	tests := map[string]struct {
		instances int
		frozen    []int
		leaving   int
		// cut are the instances that the store does not answer, while other instances reach them.
		cut []int
	}{
		"silent connections":                       {8, nil, -1, nil},
		"silent connections, watcher frozen":       {8, []int{0}, 1, nil},
		"silent connections, many instances":       {16, nil, -1, nil},
		"many instances, first frozen":             {16, []int{0}, 1, nil},
		"many instances, first three frozen":       {16, []int{0, 1, 2}, 3, nil},
		"silent connections, last one leaving":     {8, nil, 7, nil},
		"watcher cut off from the store":           {8, nil, -1, []int{0}},
		"many instances, both hubs cut off":        {16, nil, -1, []int{0, 1}},
		"many instances, cut off, another leaving": {16, nil, 2, []int{0}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(seeds) {
				synctest.Test(t, func(t *testing.T) {
					source := rand.New(rand.NewPCG(seed, 1))
					z := newRegistryZone(t.Context(), test.instances)
					defer z.stop()
					// Each change opens connections for records.
					for n := range 12 {
						time.Sleep(750 * time.Millisecond)
						z.registry.remove(fmt.Sprint("former-", n))
					}
					z.network.Silence(0.7, source)
					time.Sleep(4*time.Second + time.Duration(source.Int64N(int64(2*time.Second))))
					outOfTouch := make(map[int]bool)
					for _, n := range test.frozen {
						z.instances[n].host.Pause(3 * time.Second)
						outOfTouch[n] = true
					}
					for _, n := range test.cut {
						z.instances[n].reader.cut.Store(true)
						outOfTouch[n] = true
					}
					if test.leaving >= 0 {
						go z.leave(t.Context(), test.leaving)
					}
					for n := range 6 {
						time.Sleep(time.Duration(source.Int64N(int64(700 * time.Millisecond))))
						id, removedAt := fmt.Sprint("upstream-", n), time.Now()
						z.registry.remove(id)
						defer z.check(t, seed, id, removedAt, outOfTouch)
					}
					time.Sleep(10 * time.Second)
				})
			}
		})
	}
}

// check reports the instances that were neither frozen nor cut off and applied a removal later than drainTime.
func (z *registryZone) check(t *testing.T, seed uint64, id string, removedAt time.Time, outOfTouch map[int]bool) {
	t.Helper()
	for n, i := range z.instances {
		at, ok := i.removal(id)
		if took := at.Sub(removedAt); !outOfTouch[n] && (!ok || took > drainTime) {
			t.Errorf("seed %d: instance %d applied the removal of %s after %s, want at most %s", seed, n, id, took, drainTime)
		}
	}
}
