package jayroster_test

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"jayfield.example/jay/jayerror"
	"jayfield.example/jay/jaymember"
	"jayfield.example/jay/jaymetric"
	"jayfield.example/jay/jayroster"
	"jayfield.example/jay/jaystore"
)

// store is a keyed topic in memory that counts the reads of each instance.
type store struct {
	mu      sync.Mutex
	records []jaystore.Record
	reads   map[string]int
	// rejected holds the instances whose reads fail.
	rejected map[string]bool
}

// setRejected makes reads of the named instances fail, and only of these.
func (s *store) setRejected(names ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rejected = make(map[string]bool)
	for _, name := range names {
		s.rejected[name] = true
	}
}

func (s *store) Put(_ context.Context, _ jaystore.Topic, key string, value []byte) (jaystore.Position, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	offset := jaystore.Position(len(s.records))
	s.records = append(s.records, jaystore.Record{Key: key, Value: value, Position: offset})
	return offset, nil
}

func (s *store) PutAt(_ context.Context, _ jaystore.Topic, key string, value []byte, end jaystore.Position) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if end != jaystore.Position(len(s.records)) {
		return jayerror.Newf("put", jaystore.KindConflict, "topic ends at %d, not at %d", len(s.records), end)
	}
	s.records = append(s.records, jaystore.Record{Key: key, Value: value, Position: end})
	return nil
}

// forInstance returns a reader of the store for one instance.
func (s *store) forInstance(name string) *reader {
	return &reader{store: s, name: name}
}

type reader struct {
	*store
	name string
}

func (r *reader) Newest(context.Context, jaystore.Topic) ([]jaystore.Record, jaystore.Position, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.rejected[r.name] {
		return nil, 0, jayerror.New("newest", jaystore.KindUnavailable, "status 503")
	}
	return append([]jaystore.Record{}, r.records...), jaystore.Position(len(r.records)), nil
}

func (r *reader) Read(_ context.Context, _ jaystore.Topic, from jaystore.Position, _ <-chan struct{}) ([]jaystore.Record, jaystore.Position, error) {
	time.Sleep(20 * time.Millisecond)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reads[r.name]++
	if r.rejected[r.name] {
		return nil, 0, jayerror.New("read", jaystore.KindUnavailable, "status 503")
	}
	return append([]jaystore.Record{}, r.records[from:]...), jaystore.Position(len(r.records)), nil
}

// source marks an instance as ready in its heartbeat.
type source struct{}

func (source) FillHeartbeat(m *jaymember.Member) { m.Config = 1 }

// instance is a roster with the follower of its member list.
type instance struct {
	roster *jayroster.Roster
	reader *jayroster.TopicReader
	mirror *jaystore.Mirror
	cancel context.CancelFunc
	mu     sync.Mutex
	seen   []jaymember.Status
}

func (i *instance) usableCount() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	count := 0
	for _, m := range i.seen {
		if m.Usable() {
			count++
		}
	}
	return count
}

func start(t *testing.T, s *store, n int, zone string) *instance {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	name, log := fmt.Sprint("i", n), slog.New(slog.DiscardHandler)
	i := &instance{}
	i.roster = jayroster.Start(jayroster.Options{
		Self:   jaymember.Member{Name: name, Incarnation: fmt.Sprintf("%03d", n), Address: name, Peer: listener.Addr().String(), Region: zone, Zone: zone, Config: -1},
		Source: source{}, Writer: s, Key: []byte("0123456789abcdef"), Listener: listener, Log: log, Series: jaymetric.NewExposition(),
		Changed: func(members []jaymember.Status, _ int) {
			i.mu.Lock()
			defer i.mu.Unlock()
			i.seen = members
		},
	})
	ctx, cancel := context.WithCancel(t.Context())
	mirror := jaystore.NewMirror(i.roster)
	reader := i.roster.TopicReader(s.forInstance(name), jaystore.TopicMembers, mirror, 2*time.Second, 0)
	i.reader, i.mirror = reader, mirror
	done := make(chan struct{})
	go func() {
		defer close(done)
		jaystore.NewFollower(reader, jaystore.TopicMembers, mirror, 0, log).Run(ctx)
	}()
	i.cancel = func() {
		cancel()
		<-done
		i.roster.Stop()
	}
	return i
}

func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(time.Minute); !condition(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("timed out waiting for: ", what)
		}
	}
}

// All instances discover each other, also if there are so many that heartbeats are
// forwarded. One instance of each zone reads the store, and another one of the zone takes
// over when it stops.
func TestDiscoveryAndWatcherFailover(t *testing.T) {
	tests := map[string]int{"few": 5, "many": 18}
	for name, count := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := &store{reads: make(map[string]int)}
			instances := make([]*instance, count)
			for n := range instances {
				instances[n] = start(t, s, n, fmt.Sprint("z", n%3))
			}
			defer func() {
				for _, i := range instances[1:] {
					i.cancel()
				}
			}()
			for n, i := range instances {
				waitFor(t, fmt.Sprintf("all others to be usable at instance %d", n), func() bool { return i.usableCount() == count-1 })
			}
			// The first instance of each zone has the lowest incarnation, so it is the watcher.
			reads := func() map[string]int {
				s.mu.Lock()
				defer s.mu.Unlock()
				counts := s.reads
				s.reads = make(map[string]int)
				return counts
			}
			readers := func() int { return len(reads()) }
			waitFor(t, "one reader of each of three zones", func() bool {
				readers()
				time.Sleep(300 * time.Millisecond)
				return readers() == 3
			})
			instances[0].cancel()
			waitFor(t, "the next instance of the zone to read the store", func() bool {
				time.Sleep(300 * time.Millisecond)
				r := reads()
				return len(r) == 3 && r["i0"] == 0 && r["i3"] > 0
			})
			for n, i := range instances[1:] {
				waitFor(t, fmt.Sprintf("one usable instance less at instance %d", n+1), func() bool { return i.usableCount() == count-2 })
			}
		})
	}
}

// A read without waiting goes to the store if the watcher has no newer records: the
// watcher may be cut off from the store before it detects that.
func TestReadWithoutWaitBypassesWatcher(t *testing.T) {
	s := &store{reads: make(map[string]int)}
	watcher, other := start(t, s, 0, "z"), start(t, s, 1, "z")
	defer watcher.cancel()
	defer other.cancel()
	waitFor(t, "the watcher to be the only reader", func() bool {
		s.mu.Lock()
		s.reads = make(map[string]int)
		s.mu.Unlock()
		time.Sleep(300 * time.Millisecond)
		s.mu.Lock()
		defer s.mu.Unlock()
		return len(s.reads) == 1 && s.reads["i0"] > 0
	})
	s.mu.Lock()
	end := jaystore.Position(len(s.records))
	s.mu.Unlock()
	if _, _, err := other.reader.Read(t.Context(), jaystore.TopicMembers, end, nil); err != nil {
		t.Fatal(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reads["i1"] == 0 {
		t.Error("read without waiting did not reach the store")
	}
}

// An instance whose reads the store rejects gets new records from another instance, also
// of another zone. So does an instance that starts while the store rejects it.
func TestRejectedInstanceReadsFromAnother(t *testing.T) {
	tests := map[string]func(t *testing.T, s *store) *instance{
		"running": func(t *testing.T, s *store) *instance {
			i := start(t, s, 0, "z0")
			waitFor(t, "the other instance to be usable", func() bool { return i.usableCount() == 1 })
			s.setRejected("i0")
			return i
		},
		"starting": func(t *testing.T, s *store) *instance {
			s.setRejected("i0")
			return start(t, s, 0, "z0")
		},
	}
	for name, startRejected := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := &store{reads: make(map[string]int)}
			other := start(t, s, 1, "z1")
			defer other.cancel()
			rejected := startRejected(t, s)
			defer rejected.cancel()
			if _, err := s.Put(t.Context(), jaystore.TopicMembers, "news", []byte("x")); err != nil {
				t.Fatal(err)
			}
			waitFor(t, "the record at the rejected instance", func() bool {
				records, _, _ := rejected.mirror.From(-1)
				return slices.ContainsFunc(records, func(r jaystore.Record) bool { return r.Key == "news" })
			})
		})
	}
}
