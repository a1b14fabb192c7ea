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
	"jayfield.example/jay/jayroster"
	"jayfield.example/jay/jaystore"
)

// store is a keyed topic in memory that counts reads.
type store struct {
	mu      sync.Mutex
	records []jaystore.Record
	reads   map[string]int
	// refused holds the instances that the store turns away.
	refused map[string]bool
}

// refuse has the store turn instances away from now on.
func (s *store) refuse(names ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused = make(map[string]bool)
	for _, name := range names {
		s.refused[name] = true
	}
}

func (s *store) Put(_ context.Context, _ jaystore.Topic, key string, value []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.records = append(s.records, jaystore.Record{Key: key, Value: value, Offset: int64(len(s.records))})
	return nil
}

// as returns the store as one instance sees it.
func (s *store) as(name string) *reader {
	return &reader{store: s, name: name}
}

type reader struct {
	*store
	name string
}

func (r *reader) Newest(context.Context, jaystore.Topic) ([]jaystore.Record, int64, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.refused[r.name] {
		return nil, 0, jayerror.New("newest", jaystore.KindUnavailable, "status 503")
	}
	return append([]jaystore.Record{}, r.records...), int64(len(r.records)), nil
}

func (r *reader) Read(_ context.Context, _ jaystore.Topic, from int64, _ bool) ([]jaystore.Record, int64, error) {
	time.Sleep(20 * time.Millisecond)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reads[r.name]++
	if r.refused[r.name] {
		return nil, 0, jayerror.New("read", jaystore.KindUnavailable, "status 503")
	}
	return append([]jaystore.Record{}, r.records[from:]...), int64(len(r.records)), nil
}

// source states that an instance is ready.
type source struct{}

func (source) State(m *jaymember.Member) { m.Config = 1 }

// instance is a roster with its follower.
type instance struct {
	roster *jayroster.Roster
	feed   *jayroster.Feed
	mirror *jaystore.Mirror
	cancel context.CancelFunc
	mu     sync.Mutex
	seen   []jaymember.Status
}

func (i *instance) usable() int {
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

func start(t *testing.T, s *store, number int, zone string) *instance {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	name, log := fmt.Sprint("i", number), slog.New(slog.DiscardHandler)
	i := &instance{}
	i.roster = jayroster.Start(jayroster.Parts{
		Self:   jaymember.Member{Name: name, Incarnation: fmt.Sprintf("%03d", number), Address: name, Peer: listener.Addr().String(), Region: zone, Zone: zone, Config: -1},
		Source: source{}, Writer: s, Key: []byte("0123456789abcdef"), Listener: listener, Log: log,
		Changed: func(members []jaymember.Status) {
			i.mu.Lock()
			defer i.mu.Unlock()
			i.seen = members
		},
	})
	ctx, cancel := context.WithCancel(t.Context())
	mirror := jaystore.NewMirror(i.roster)
	feed := i.roster.Feed(s.as(name), jaystore.TopicMembers, mirror, 2*time.Second, 0)
	i.feed, i.mirror = feed, mirror
	done := make(chan struct{})
	go func() {
		defer close(done)
		jaystore.NewFollower(feed, jaystore.TopicMembers, mirror, 0, log).Run(ctx)
	}()
	i.cancel = func() {
		cancel()
		<-done
		i.roster.Stop()
	}
	return i
}

func until(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(time.Minute); !condition(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("not seen: ", what)
		}
	}
}

// All instances find each other, also where they are so many that statements are
// passed on; one of each zone reads the store, and another one after its end.
func TestRoster(t *testing.T) {
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
				until(t, fmt.Sprintf("all others by %d", n), func() bool { return i.usable() == count-1 })
			}
			// The first of each zone has the least incarnation.
			reads := func() map[string]int {
				s.mu.Lock()
				defer s.mu.Unlock()
				current := s.reads
				s.reads = make(map[string]int)
				return current
			}
			readers := func() int { return len(reads()) }
			until(t, "three readers", func() bool {
				readers()
				time.Sleep(300 * time.Millisecond)
				return readers() == 3
			})
			instances[0].cancel()
			until(t, "the next instance of the zone as its reader", func() bool {
				time.Sleep(300 * time.Millisecond)
				r := reads()
				return len(r) == 3 && r["i0"] == 0 && r["i3"] > 0
			})
			for n, i := range instances[1:] {
				until(t, fmt.Sprintf("one less by %d", n+1), func() bool { return i.usable() == count-2 })
			}
		})
	}
}

// News that the watcher does not have are read from the store itself: the
// watcher may be cut off from it without knowing yet.
func TestNewsGoRoundTheWatcher(t *testing.T) {
	s := &store{reads: make(map[string]int)}
	watcher, other := start(t, s, 0, "z"), start(t, s, 1, "z")
	defer watcher.cancel()
	defer other.cancel()
	until(t, "the watcher as the only reader", func() bool {
		s.mu.Lock()
		s.reads = make(map[string]int)
		s.mu.Unlock()
		time.Sleep(300 * time.Millisecond)
		s.mu.Lock()
		defer s.mu.Unlock()
		return len(s.reads) == 1 && s.reads["i0"] > 0
	})
	s.mu.Lock()
	end := int64(len(s.records))
	s.mu.Unlock()
	if _, _, err := other.feed.Read(t.Context(), jaystore.TopicMembers, end, false); err != nil {
		t.Fatal(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reads["i1"] == 0 {
		t.Error("the store was not asked")
	}
}

// An instance that the store turns away gets new records from another one, also
// of another zone, and so does one that starts while the store does.
func TestRecordsFromAnotherInstance(t *testing.T) {
	tests := map[string]func(t *testing.T, s *store) *instance{
		"running": func(t *testing.T, s *store) *instance {
			i := start(t, s, 0, "z0")
			until(t, "the other instance", func() bool { return i.usable() == 1 })
			s.refuse("i0")
			return i
		},
		"starting": func(t *testing.T, s *store) *instance {
			s.refuse("i0")
			return start(t, s, 0, "z0")
		},
	}
	for name, begin := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := &store{reads: make(map[string]int)}
			other := start(t, s, 1, "z1")
			defer other.cancel()
			refused := begin(t, s)
			defer refused.cancel()
			if err := s.Put(t.Context(), jaystore.TopicMembers, "news", nil); err != nil {
				t.Fatal(err)
			}
			until(t, "the record at the refused instance", func() bool {
				records, _ := refused.mirror.From(0)
				return slices.ContainsFunc(records, func(r jaystore.Record) bool { return r.Key == "news" })
			})
		})
	}
}
