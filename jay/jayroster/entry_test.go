package jayroster_test

import (
	"context"
	"fmt"
	"log/slog"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"jayfield.example/jay/jayerror"
	"jayfield.example/jay/jaylist"
	"jayfield.example/jay/jaymember"
	"jayfield.example/jay/jayroster"
	"jayfield.example/jay/jaystandin"
	"jayfield.example/jay/jaystore"
)

// listedAgain is the time in which an instance that reaches the store has to be listed again.
const listedAgain = 2 * time.Second

// memberLog is the topic of the members. It keeps the records of a short time only, and the newest of each key.
type memberLog struct {
	mu      sync.Mutex
	records []jaystore.Record
	// first is the oldest offset that can still be read.
	first   int
	era     int64
	changed chan struct{}
	away    atomic.Bool
	writes  int
}

// keep is how long the history of the topic is kept.
const keep = 20 * time.Second

func (l *memberLog) put(key string, value []byte) jaystore.Position {
	offset, era := len(l.records), l.era
	position := l.end()
	l.records = append(l.records, jaystore.Record{Key: key, Value: value, Position: position})
	l.writes++
	close(l.changed)
	l.changed = make(chan struct{})
	time.AfterFunc(keep, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		if l.era == era {
			l.first = max(l.first, offset+1)
		}
	})
	return position
}

// end returns the position after the newest record.
func (l *memberLog) end() jaystore.Position {
	return jaystore.NewPosition(l.era, int64(len(l.records)))
}

// length returns the number of records.
func (l *memberLog) length() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.records)
}

// restore has the store come back from a copy that has the first records only.
func (l *memberLog) restore(length int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.era, l.records, l.first = l.era+1, slices.Clone(l.records[:length]), min(l.first, length)
	for n := range l.records {
		l.records[n].Position = jaystore.NewPosition(l.era, int64(n))
	}
	close(l.changed)
	l.changed = make(chan struct{})
}

// newest returns the newest record of each key and the end of the topic.
func (l *memberLog) newest() (map[string]jaystore.Record, jaystore.Position) {
	l.mu.Lock()
	defer l.mu.Unlock()
	newest := make(map[string]jaystore.Record)
	for _, r := range l.records {
		newest[r.Key] = r
		if len(r.Value) == 0 {
			delete(newest, r.Key)
		}
	}
	return newest, l.end()
}

// entries returns the listed incarnations by name.
func (l *memberLog) entries() map[string]string {
	records, _ := l.newest()
	entries := make(map[string]string)
	for name, r := range records {
		var entry jaylist.Instance
		_ = msgpack.Unmarshal(r.Value, &entry) // The test compares incarnations.
		entries[name] = entry.Incarnation
	}
	return entries
}

// memberInstance is an instance, which is also its way to the store.
type memberInstance struct {
	log         *memberLog
	roster      *jayroster.Roster
	host        *jaystandin.Host
	name        string
	incarnation string
	cancel      context.CancelFunc
	done        chan struct{}
	// cut is set while the store does not answer the instance, and slow while its calls arrive late.
	cut, slow atomic.Bool
	// population is the number of instances among which the instance divides shares, least the least so far.
	population, least atomic.Int64
}

func (*memberInstance) FillHeartbeat(m *jaymember.Member) { m.Config = 1 }

func (i *memberInstance) reach(ctx context.Context) error {
	if i.slow.Load() {
		time.Sleep(4 * time.Second)
	}
	if !i.cut.Load() && !i.log.away.Load() {
		return nil
	}
	select {
	case <-time.After(time.Second):
	case <-ctx.Done():
	}
	return jayerror.New("call", jaystore.KindUnavailable, "no answer")
}

func (i *memberInstance) Put(ctx context.Context, _ jaystore.Topic, key string, value []byte) (jaystore.Position, error) {
	if err := i.reach(ctx); err != nil {
		return 0, err
	}
	i.log.mu.Lock()
	defer i.log.mu.Unlock()
	return i.log.put(key, value), nil
}

func (i *memberInstance) PutAt(ctx context.Context, _ jaystore.Topic, key string, value []byte, end jaystore.Position) error {
	if err := i.reach(ctx); err != nil {
		return err
	}
	i.log.mu.Lock()
	defer i.log.mu.Unlock()
	if end != i.log.end() {
		return jayerror.Newf("put", jaystore.KindConflict, "topic ends at %s, not at %s", i.log.end(), end)
	}
	i.log.put(key, value)
	return nil
}

func (i *memberInstance) Newest(ctx context.Context, _ jaystore.Topic) ([]jaystore.Record, jaystore.Position, error) {
	if err := i.reach(ctx); err != nil {
		return nil, 0, err
	}
	newest, end := i.log.newest()
	records := make([]jaystore.Record, 0, len(newest))
	for _, r := range newest {
		records = append(records, r)
	}
	return records, end, nil
}

func (i *memberInstance) Read(ctx context.Context, _ jaystore.Topic, from jaystore.Position, interrupt <-chan struct{}) ([]jaystore.Record, jaystore.Position, error) {
	deadline := time.After(9 * time.Second)
	for {
		if err := i.reach(ctx); err != nil {
			return nil, from, err
		}
		i.log.mu.Lock()
		end, changed := i.log.end(), i.log.changed
		if from.Era() != end.Era() || from.Offset() < int64(i.log.first) {
			i.log.mu.Unlock()
			return nil, from, jayerror.New("read", jaystore.KindExpired, "records have expired")
		}
		records := slices.Clone(i.log.records[from.Offset():])
		i.log.mu.Unlock()
		if len(records) > 0 || interrupt == nil {
			return records, end, nil
		}
		select {
		case <-changed:
		case <-deadline:
			return nil, from, nil
		case <-interrupt:
			return nil, from, jayerror.New("read", jaystore.KindInterrupted, "interrupted")
		case <-ctx.Done():
			return nil, from, ctx.Err()
		}
	}
}

// memberSite is a zone of instances that follow the list of members.
type memberSite struct {
	t         *testing.T
	log       *memberLog
	network   *jaystandin.Network
	started   int
	instances map[int]*memberInstance
	mu        sync.Mutex
	monitored chan struct{}
}

func newMemberSite(t *testing.T, count int) *memberSite {
	s := &memberSite{t: t, log: &memberLog{changed: make(chan struct{})}, network: jaystandin.NewNetwork(), instances: make(map[int]*memberInstance), monitored: make(chan struct{})}
	for n := range count {
		s.start(n)
	}
	go s.monitor()
	return s
}

// start starts the instance with a number, under its name and at its address, as a new incarnation.
func (s *memberSite) start(n int) {
	s.started++
	i := &memberInstance{log: s.log, incarnation: fmt.Sprintf("%03d", s.started), name: fmt.Sprint("i", n), done: make(chan struct{})}
	i.host = s.network.Host(peerAddress(n), slowLink)
	i.least.Store(math.MaxInt64)
	i.roster, _ = startIncarnation(n, i.incarnation, i.host, i.host.Listen(), i, i, func(_ []jaymember.Status, population int) {
		i.population.Store(int64(population))
		i.least.Store(min(i.least.Load(), int64(population)))
	})
	mirror := jaystore.NewMirror(i.roster)
	reader := i.roster.TopicReader(i, jaystore.TopicMembers, mirror, 12*time.Second, 0)
	follower := jaystore.NewFollower(reader, jaystore.TopicMembers, mirror, 0, slog.New(slog.DiscardHandler), jaystore.WithBatchDelay(time.Second))
	ctx, cancel := context.WithCancel(s.t.Context())
	i.cancel = cancel
	go func() {
		defer close(i.done)
		follower.Run(ctx)
	}()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.instances[n] = i
}

// kill ends an instance, which removes nothing.
func (s *memberSite) kill(n int) {
	s.mu.Lock()
	i := s.instances[n]
	delete(s.instances, n)
	s.mu.Unlock()
	i.cancel()
	<-i.done
	i.roster.Stop()
}

// isolate cuts an instance off from the others, and from the store too if cut is set.
func (s *memberSite) isolate(n int, d time.Duration, cut bool) {
	s.instances[n].cut.Store(cut)
	s.instances[n].host.Pause(d)
	time.Sleep(d)
	s.instances[n].cut.Store(false)
}

// monitor reports instances that reach the store and are not listed for longer than listedAgain.
func (s *memberSite) monitor() {
	since := make(map[string]time.Time)
	for {
		entries := s.log.entries()
		s.mu.Lock()
		for _, i := range s.instances {
			if entries[i.name] == i.incarnation || i.cut.Load() || s.log.away.Load() {
				delete(since, i.incarnation)
				continue
			}
			if at, ok := since[i.incarnation]; !ok {
				since[i.incarnation] = time.Now()
			} else if missing := time.Since(at); missing > listedAgain {
				s.t.Errorf("%s (%s) is alive and not listed for %s: %v", i.name, i.incarnation, missing, entries)
				delete(since, i.incarnation)
			}
		}
		s.mu.Unlock()
		select {
		case <-time.After(100 * time.Millisecond):
		case <-s.monitored:
			return
		}
	}
}

func (s *memberSite) stop() {
	close(s.monitored)
	for n := range s.instances {
		s.kill(n)
	}
	s.network.Close()
}

// checkEntries reports entries whose instance is gone, and instances without an entry.
func (s *memberSite) checkEntries() {
	entries := s.log.entries()
	if len(entries) != len(s.instances) {
		s.t.Errorf("%d entries of %d instances: %v", len(entries), len(s.instances), entries)
	}
	for _, i := range s.instances {
		if entries[i.name] != i.incarnation {
			s.t.Errorf("entry of %s is of incarnation %q, want %s", i.name, entries[i.name], i.incarnation)
		}
	}
}

// Guards against entries that outlive their instances for good: what counts or walks the list grows with each instance that
// is killed and replaced, and an instance whose entry was removed by mistake stays unknown to those that start later.
func TestEntriesAreThoseOfLiveInstances(t *testing.T) {
	tests := map[string]struct {
		disturb func(s *memberSite)
		// within is the time after which the list has to be right.
		within time.Duration
	}{
		"killed and replaced one after the other": {func(s *memberSite) {
			for n := range 6 {
				s.kill(n)
				s.start(10 + n)
				time.Sleep(2 * time.Second)
			}
		}, time.Minute},
		"all killed at once, others started": {func(s *memberSite) {
			for n := range 6 {
				s.kill(n)
			}
			for n := range 4 {
				s.start(10 + n)
			}
		}, time.Minute},
		"all killed at once, a single other one started": {func(s *memberSite) {
			for n := range 6 {
				s.kill(n)
			}
			s.start(10)
		}, 2 * time.Minute},
		"restarted under their names": {func(s *memberSite) {
			for n := range 6 {
				s.kill(n)
				s.start(n)
			}
		}, time.Minute},
		"killed while the store is away": {func(s *memberSite) {
			s.log.away.Store(true)
			s.kill(0)
			s.kill(3)
			time.Sleep(2 * time.Minute)
			s.log.away.Store(false)
		}, time.Minute},
		"leave while the store is away": {func(s *memberSite) {
			s.log.away.Store(true)
			ctx, cancel := context.WithTimeout(s.t.Context(), time.Second)
			defer cancel()
			s.instances[2].roster.Leave(ctx)
			s.kill(2)
			s.log.away.Store(false)
		}, time.Minute},
		"the first in line does not reach the store": {func(s *memberSite) {
			s.instances[0].cut.Store(true)
			s.kill(3)
			time.Sleep(time.Minute)
			s.instances[0].cut.Store(false)
		}, 10 * time.Second},
		"the first in line is late, the instance restarts meanwhile": {func(s *memberSite) {
			s.instances[0].slow.Store(true)
			s.kill(3)
			time.Sleep(20 * time.Second)
			s.start(3)
		}, time.Minute},
		"cut off, and removed meanwhile": {func(s *memberSite) {
			s.isolate(4, 5*time.Minute, true)
		}, 10 * time.Second},
		"the store loses a registration": {func(s *memberSite) {
			length := s.log.length()
			s.start(6)
			time.Sleep(3 * time.Second)
			s.log.restore(length)
		}, 10 * time.Second},
		"the store loses a registration under the name of a former instance": {func(s *memberSite) {
			s.kill(3)
			length := s.log.length()
			s.start(3)
			time.Sleep(3 * time.Second)
			s.log.restore(length)
		}, 10 * time.Second},
		"the store loses a removal": {func(s *memberSite) {
			s.kill(3)
			length := s.log.length()
			time.Sleep(time.Minute)
			s.log.restore(length)
		}, time.Minute},
		"the store loses a removal in a planned stop": {func(s *memberSite) {
			length := s.log.length()
			s.instances[2].roster.Leave(s.t.Context())
			s.kill(2)
			s.log.restore(length)
		}, time.Minute},
		"one reaches only the store": {func(s *memberSite) {
			s.isolate(4, 3*time.Minute, false)
		}, 10 * time.Second},
		"the first in line reaches only the store": {func(s *memberSite) {
			s.isolate(0, 3*time.Minute, false)
		}, 10 * time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				s := newMemberSite(t, 6)
				defer s.stop()
				time.Sleep(5 * time.Second)
				test.disturb(s)
				time.Sleep(test.within)
				s.checkEntries()
				t.Logf("%d writes", s.log.writes)
			})
		})
	}
}

// Guards against an instance that stays off the list after an hour without the store and the others, whose entry was
// removed and whose position has expired meanwhile, and against entries that stay after an outage of an hour.
func TestEntriesAfterAnHour(t *testing.T) {
	tests := map[string]struct {
		disturb func(s *memberSite)
		within  time.Duration
	}{
		"an instance cut off": {func(s *memberSite) {
			s.isolate(4, time.Hour, true)
		}, 10 * time.Second},
		"the store away, two instances killed": {func(s *memberSite) {
			s.log.away.Store(true)
			s.kill(0)
			s.kill(3)
			time.Sleep(time.Hour)
			s.log.away.Store(false)
		}, time.Minute},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				s := newMemberSite(t, 6)
				defer s.stop()
				time.Sleep(5 * time.Second)
				test.disturb(s)
				time.Sleep(test.within)
				s.checkEntries()
			})
		})
	}
}

// Guards against instances that divide the retry budget by different numbers: those that saw others die count their
// entries for good, and a new one, to which all entries are seeds, counts only itself at first, and the dead never.
func TestInstancesDivideByTheSameNumber(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const live = 6
		s := newMemberSite(t, live)
		defer s.stop()
		time.Sleep(5 * time.Second)
		for n := range 14 {
			s.kill(n)
			s.start(n + live)
			time.Sleep(400 * time.Millisecond)
			if least := s.instances[n+live].least.Load(); least < live {
				t.Errorf("replacement %d divided by %d, want at least %d", n, least, live)
			}
			time.Sleep(400 * time.Millisecond)
		}
		time.Sleep(45 * time.Second)
		for _, i := range s.instances {
			if got := i.population.Load(); got != live {
				t.Errorf("%s divides by %d, want %d", i.name, got, live)
			}
		}
	})
}

// Guards against connections to instances that are gone, which are kept for good.
func TestConnectionsAreThoseToKnownInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const live = 4
		s := newMemberSite(t, live)
		defer s.stop()
		time.Sleep(5 * time.Second)
		for n := range 12 {
			s.kill(n)
			s.start(n + live)
			time.Sleep(time.Second)
		}
		time.Sleep(90 * time.Second)
		for _, i := range s.instances {
			// One for heartbeats and one for the topic to each of the others.
			if got := i.roster.Connections(); got > 2*(live-1) {
				t.Errorf("%s keeps %d connections to %d instances", i.name, got, live-1)
			}
		}
	})
}

// Guards against an instance that takes an entry of its name, which another has written since the store came back from a copy,
// for one that the copy has again.
func TestLaterEntryOfOwnNameIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newMemberSite(t, 2)
		defer s.stop()
		time.Sleep(5 * time.Second)
		s.log.restore(s.log.length())
		time.Sleep(2 * time.Second)
		value, err := msgpack.Marshal(jaylist.Instance{Name: "i1", Sort: jaylist.SortEntry, Incarnation: "other"})
		if err != nil {
			t.Fatal(err)
		}
		s.log.mu.Lock()
		s.log.put("i1", value)
		s.log.mu.Unlock()
		time.Sleep(listedAgain / 2)
		if got := s.log.entries()["i1"]; got != "other" {
			t.Errorf("entry is of incarnation %q, want that of the later writer", got)
		}
		s.log.mu.Lock()
		s.log.put("i1", nil)
		s.log.mu.Unlock()
		time.Sleep(time.Second)
		s.checkEntries()
	})
}
