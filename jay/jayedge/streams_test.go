package jayedge

import (
	"context"
	"encoding/json"
	"log/slog"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"jayfield.example/jay/jayerror"
	"jayfield.example/jay/jayfleet"
	"jayfield.example/jay/jaymember"
	"jayfield.example/jay/jaymetric"
	"jayfield.example/jay/jaystore"
	"jayfield.example/jay/jaystream"
	"jayfield.example/jay/jaytraffic"
)

const streamService = "chat"

// streamLog is a store with a registry and the log of streams.
type streamLog struct {
	mu       sync.Mutex
	registry []jaystore.Record
	log      [][]byte
	era      int64
	// silent is set while calls get no answer, delay is the time of each call, changedAt when they were set.
	silent    bool
	delay     time.Duration
	changedAt time.Time
	calls     int
}

func (s *streamLog) call(ctx context.Context) error {
	s.mu.Lock()
	s.calls++
	silent, delay := s.silent, s.delay
	s.mu.Unlock()
	if silent {
		delay = time.Second
	}
	select {
	case <-time.After(delay):
	case <-ctx.Done():
	}
	if silent || ctx.Err() != nil {
		return jayerror.New("call", jaystore.KindUnavailable, "no answer")
	}
	return nil
}

// fail sets how the store answers from now on.
func (s *streamLog) fail(silent bool, delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent, s.delay, s.changedAt = silent, delay, time.Now()
}

// isSilent reports whether calls have got no answer for a second.
func (s *streamLog) isSilent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silent && time.Since(s.changedAt) > time.Second
}

// restore brings the store back from a copy with some records of the log.
func (s *streamLog) restore(records int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.log, s.era = s.log[:records], s.era+1
}

func (s *streamLog) register(id, version string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	value, _ := json.Marshal(jayfleet.Upstream{ID: id, Service: streamService, Version: version}) //nolint:errchkjson // It has no part that could fail.
	s.registry = append(s.registry, jaystore.Record{Key: id, Value: value, Position: jaystore.Position(len(s.registry))})
}

func (*streamLog) Newest(context.Context, jaystore.Topic) ([]jaystore.Record, jaystore.Position, error) {
	return nil, 0, jayerror.New("newest", jaystore.KindUnavailable, "not in this test")
}

func (s *streamLog) Read(ctx context.Context, _ jaystore.Topic, from jaystore.Position, _ <-chan struct{}) ([]jaystore.Record, jaystore.Position, error) {
	if err := s.call(ctx); err != nil {
		return nil, 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.registry[max(0, from.Offset()):], jaystore.Position(len(s.registry)), nil
}

func (s *streamLog) Append(ctx context.Context, _ jaystore.Topic, records [][]byte) error {
	if err := s.call(ctx); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.log = append(s.log, records...)
	return nil
}

func (s *streamLog) ReadLog(ctx context.Context, _ jaystore.Topic, from jaystore.Position) ([][]byte, jaystore.Position, error) {
	if err := s.call(ctx); err != nil {
		return nil, 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if from == jaystore.NoPosition {
		from = jaystore.NewPosition(s.era, 0)
	}
	if from.Era() != s.era {
		return nil, 0, jayerror.New("read", jaystore.KindExpired, "another era")
	}
	return s.log[from.Offset():], jaystore.NewPosition(s.era, int64(len(s.log))), nil
}

func (s *streamLog) total() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// start starts an instance, which has read the registry.
func (s *streamLog) start(ctx context.Context) (instance *streams, kill func()) {
	return s.startIn(ctx, 3)
}

// startIn starts an instance in a fleet.
func (s *streamLog) startIn(ctx context.Context, instances int) (instance *streams, kill func()) {
	ctx, cancel := context.WithCancel(ctx)
	instance = newStreams(streamOptions{
		adapter: jsonAdapter{}, store: s, instances: func() int { return instances }, storeFails: s.isSilent, run: func(run func(context.Context)) { go run(ctx) },
		series: jaymetric.NewExposition(), log: slog.New(slog.DiscardHandler),
	})
	s.load(instance)
	go instance.Run(ctx)
	return instance, cancel
}

// connectAll connects instances with each other.
func connectAll(instances ...*streams) {
	for self, instance := range instances {
		var others []jaymember.Status
		for n := range instances {
			if n != self {
				others = append(others, jaymember.Status{Member: jaymember.Member{Peer: strconv.Itoa(n)}})
			}
		}
		instance.connect(func(_ context.Context, address string, body []byte, _ time.Duration) ([]byte, error) {
			time.Sleep(time.Millisecond)
			n, err := strconv.Atoi(address)
			if err != nil {
				return nil, err
			}
			return instances[n].handlePeer(body)
		}, func() []jaymember.Status { return others })
	}
}

func (s *streamLog) load(instance *streams) {
	upstreams := make([]jayfleet.Upstream, 0, len(s.registry))
	for _, r := range s.registry {
		u, _ := jsonAdapter{}.ReadUpstream(r.Key, r.Value) // It was written by register.
		upstreams = append(upstreams, u)
		instance.observe(u)
	}
	instance.setRegistered(upstreams)
	instance.observed(jaystore.Position(len(s.registry)))
}

func TestVersionOfStream(t *testing.T) {
	const unknown = ""
	tests := map[string]struct {
		versions []string
		act      func(store *streamLog, first, other *streams, kill func())
		attempt  string
		want     string
		within   time.Duration
	}{
		"in progress at a killed instance": {[]string{"1", "2"}, func(_ *streamLog, first, _ *streams, kill func()) {
			first.Began(streamService, "x", "2")
			time.Sleep(110 * time.Millisecond)
			kill()
		}, "x", "2", 10 * time.Millisecond},
		"broken just now": {[]string{"1", "2"}, func(_ *streamLog, first, _ *streams, _ func()) {
			first.Began(streamService, "x", "2")
			first.Ended(streamService, "x", false)
		}, "x", "2", 110 * time.Millisecond},
		"began before another version came": {[]string{"1"}, func(s *streamLog, first, other *streams, kill func()) {
			first.Began(streamService, "x", "1")
			time.Sleep(time.Second)
			s.register("b", "2")
			s.load(first)
			s.load(other)
			time.Sleep(110 * time.Millisecond)
			kill()
		}, "x", "1", 10 * time.Millisecond},
		"another version came that this instance has not read": {[]string{"1"}, func(s *streamLog, first, _ *streams, kill func()) {
			s.register("b", "2")
			s.load(first)
			first.Began(streamService, "x", "2")
			time.Sleep(110 * time.Millisecond)
			kill()
		}, "x", "2", 20 * time.Millisecond},
		"one version":            {[]string{"1"}, func(*streamLog, *streams, *streams, func()) {}, "x", "1", 10 * time.Millisecond},
		"one version, no answer": {[]string{"1"}, func(s *streamLog, _, _ *streams, _ func()) { s.fail(true, 0) }, "x", "1", streamReadWait},
		"one version, no answer for a while": {[]string{"1"}, func(s *streamLog, _, _ *streams, _ func()) {
			s.fail(true, 0)
			time.Sleep(2 * time.Second)
		}, "x", "1", 100 * time.Millisecond},
		"one version, store is back": {[]string{"1"}, func(s *streamLog, first, _ *streams, _ func()) {
			s.fail(true, 0)
			time.Sleep(2 * time.Second)
			s.register("b", "2")
			s.load(first)
			first.Began(streamService, "x", "2")
			s.fail(false, 4*time.Millisecond)
			first.Ended(streamService, "x", false)
		}, "x", "2", 120 * time.Millisecond},
		"slow store": {[]string{"1", "2"}, func(s *streamLog, first, _ *streams, _ func()) {
			first.Began(streamService, "x", "2")
			time.Sleep(110 * time.Millisecond)
			s.fail(false, 240*time.Millisecond)
		}, "x", "2", 250 * time.Millisecond},
		"no record":  {[]string{"1", "2"}, func(*streamLog, *streams, *streams, func()) {}, "x", unknown, 250 * time.Millisecond},
		"no attempt": {[]string{"1", "2"}, func(*streamLog, *streams, *streams, func()) {}, "", unknown, 0},
		"no answer":  {[]string{"1", "2"}, func(s *streamLog, _, _ *streams, _ func()) { s.fail(true, 0) }, "x", unknown, streamReadWait},
		"store is older, instance killed": {[]string{"1", "2"}, func(s *streamLog, first, other *streams, kill func()) {
			other.Began(streamService, "y", "1")
			time.Sleep(110 * time.Millisecond)
			_, _ = other.Version(context.Background(), streamService, "z")
			first.Began(streamService, "x", "2")
			time.Sleep(110 * time.Millisecond)
			s.restore(1)
			kill()
		}, "x", unknown, 250 * time.Millisecond},
		"store is older, instance runs": {[]string{"1", "2"}, func(s *streamLog, first, _ *streams, _ func()) {
			first.Began(streamService, "x", "2")
			time.Sleep(110 * time.Millisecond)
			s.restore(0)
			first.observed(jaystore.NewPosition(1, 0))
			time.Sleep(110 * time.Millisecond)
		}, "x", "2", 10 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				store := &streamLog{delay: 4 * time.Millisecond}
				for n, version := range test.versions {
					store.register(string(rune('a'+n)), version)
				}
				first, kill := store.start(ctx)
				other, _ := store.start(ctx)
				time.Sleep(time.Second)
				test.act(store, first, other, kill)
				began := time.Now()
				got, err := other.Version(ctx, streamService, test.attempt)
				if got != test.want || (err == nil) != (test.want != unknown) || err != nil && !jayerror.Is(err, jaystream.KindUnknown) {
					t.Errorf("version = %q, %v; want %q", got, err, test.want)
				}
				if took := time.Since(began); took > test.within {
					t.Errorf("took %s, want at most %s", took, test.within)
				}
			})
		})
	}
}

// Guards against a store that is called for each stream when many clients come back at once.
func TestLookUpsShareReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		store := &streamLog{delay: 4 * time.Millisecond}
		store.register("a", "1")
		store.register("b", "2")
		instance, _ := store.start(ctx)
		time.Sleep(time.Second)
		before := store.total()
		var group sync.WaitGroup
		for range 500 {
			group.Go(func() {
				_, _ = instance.Version(ctx, streamService, "x") // Unknown.
			})
		}
		group.Wait()
		// Each look-up needs three reads. The first to ask in each group starts a read, which does not serve the others.
		if calls := store.total() - before; calls > 2+3+4 {
			t.Errorf("%d calls, want at most 9", calls)
		}
	})
}

// Guards against calls to the store while one version only is in play.
func TestStreamsOfOneVersionAreNotRecorded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		store := &streamLog{}
		store.register("a", "1")
		instance, _ := store.start(ctx)
		time.Sleep(time.Second)
		before := store.total()
		for _, attempt := range []string{"x", "y"} {
			instance.Began(streamService, attempt, "1")
			instance.Ended(streamService, attempt, attempt == "x")
			time.Sleep(time.Second)
		}
		if calls := store.total() - before; calls != 0 {
			t.Errorf("%d calls, want none", calls)
		}
	})
}

// Guards against streams of routes without a timeout, which may last for 30 s, that go on at the version that is left.
func TestWindowCoversRoutesWithoutTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		store := &streamLog{delay: 4 * time.Millisecond}
		store.register("a", "1")
		store.register("b", "2")
		first, _ := store.start(ctx)
		other, _ := store.start(ctx)
		route := jaytraffic.Route{Name: "r", Kind: jaytraffic.KindStream, Resumable: true}
		policy := jaytraffic.New(1, jaytraffic.Limits{}, []jaytraffic.Route{route}, []jaytraffic.Service{{Name: streamService}})
		first.setPolicy(policy)
		other.setPolicy(policy)
		time.Sleep(20 * time.Second)
		first.Began(streamService, "x", "1")
		time.Sleep(time.Second)
		// The upstream has reported that it leaves, goes on with its stream, and its entry is removed.
		for _, instance := range []*streams{first, other} {
			instance.setRegistered([]jayfleet.Upstream{{ID: "b", Service: streamService, Version: "2"}})
		}
		time.Sleep(15 * time.Second)
		if got, err := other.Version(ctx, streamService, "x"); got != "1" {
			t.Errorf("version = %q, %v, 16 s after the begin of a stream of version 1", got, err)
		}
	})
}

// compactedLog is a store that keeps the newest records of the registry only.
type compactedLog struct {
	*streamLog

	mu      sync.Mutex
	removed map[string]bool
	first   jaystore.Position
	// failures is the number of reads that fail next.
	failures int
}

func (s *compactedLog) compact(removed ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removed, s.first = make(map[string]bool), jaystore.Position(len(s.registry))
	for _, id := range removed {
		s.removed[id] = true
	}
}

func (s *compactedLog) Read(ctx context.Context, topic jaystore.Topic, from jaystore.Position, interrupt <-chan struct{}) ([]jaystore.Record, jaystore.Position, error) {
	s.mu.Lock()
	first := s.first
	s.mu.Unlock()
	if err := s.refuse(); err != nil {
		return nil, 0, err
	}
	if from < first {
		return nil, 0, jayerror.New("read", jaystore.KindExpired, "compacted")
	}
	return s.streamLog.Read(ctx, topic, from, interrupt)
}

// refuse returns the error of a read that fails.
func (s *compactedLog) refuse() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failures == 0 {
		return nil
	}
	s.failures--
	return jayerror.New("read", jaystore.KindUnavailable, "status 429")
}

func (s *compactedLog) Newest(ctx context.Context, _ jaystore.Topic) ([]jaystore.Record, jaystore.Position, error) {
	if err := s.call(ctx); err != nil {
		return nil, 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var records []jaystore.Record
	for _, r := range s.registry {
		if !s.removed[r.Key] {
			records = append(records, r)
		}
	}
	return records, jaystore.Position(len(s.registry)), nil
}

func (s *compactedLog) ReadLog(ctx context.Context, topic jaystore.Topic, from jaystore.Position) ([][]byte, jaystore.Position, error) {
	if err := s.refuse(); err != nil {
		return nil, 0, err
	}
	return s.streamLog.ReadLog(ctx, topic, from)
}

func (s *compactedLog) start(ctx context.Context) *streams {
	instance := newStreams(streamOptions{
		adapter: jsonAdapter{}, store: s, instances: func() int { return 3 }, storeFails: s.isSilent, run: func(run func(context.Context)) { go run(ctx) },
		series: jaymetric.NewExposition(), log: slog.New(slog.DiscardHandler),
	})
	s.load(instance)
	go instance.Run(ctx)
	return instance
}

// Guards against an instance that joins two versions since a snapshot of the registry skipped the entries of one.
func TestVersionThatASnapshotSkipped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		store := &compactedLog{streamLog: &streamLog{delay: 4 * time.Millisecond}}
		store.register("a", "1")
		first, behind := store.start(ctx), store.start(ctx)
		time.Sleep(time.Minute)
		store.register("b", "2")
		store.load(first)
		first.Began(streamService, "x", "2")
		time.Sleep(4 * time.Second)
		store.compact("b")
		if got, err := behind.Version(ctx, streamService, "x"); got != "2" {
			t.Errorf("version = %q, %v; want 2, as recorded", got, err)
		}
	})
}

// Guards against a fleet that uses up the calls of the store, of which the platform allows 400 writes per second, while
// callers leave streams.
func TestFleetDoesNotUseUpWrites(t *testing.T) {
	const allowed = 400
	for name, instances := range map[string]int{"8 instances": 8, "10 instances": 10, "100 instances": 100, "983 instances": 983} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				store := &streamLog{delay: 2 * time.Millisecond}
				store.register("a", "1")
				store.register("b", "2")
				one, _ := store.startIn(ctx, instances)
				time.Sleep(30 * time.Second)
				before, began := store.total(), time.Now()
				for n := range 10_000 {
					store.load(one)
					attempt := "attempt-" + time.Duration(n).String()
					one.Began(streamService, attempt, "2")
					one.Ended(streamService, attempt, false)
					time.Sleep(4 * time.Millisecond)
				}
				perSecond := float64(store.total()-before) / time.Since(began).Seconds()
				t.Logf("%.1f calls per second of one instance, %.0f of all", perSecond, perSecond*float64(instances))
				if total := perSecond * float64(instances); total > allowed {
					t.Errorf("%.0f calls per second of all instances, want at most %d", total, allowed)
				}
			})
		})
	}
}

// Guards against large fleets in which most streams are refused whose instance runs on and whose connections broke.
func TestBrokenStreamsGoOnInLargeFleet(t *testing.T) {
	for name, instances := range map[string]int{"8 instances": 8, "100 instances": 100, "300 instances": 300, "983 instances": 983} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				store := &streamLog{delay: 4 * time.Millisecond}
				store.register("a", "1")
				store.register("b", "2")
				first, _ := store.startIn(ctx, instances)
				other, _ := store.start(ctx)
				third, _ := store.start(ctx)
				fourth, _ := store.start(ctx)
				fifth, _ := store.start(ctx)
				connectAll(first, other, third, fourth, fifth)
				time.Sleep(20 * time.Second)
				const streams = 40
				wentOn := 0
				for n := range streams {
					// All connections of the instance break now and then, as by resets.
					store.load(first)
					store.load(other)
					attempt := string(rune('A' + n))
					first.Began(streamService, attempt, "2")
					time.Sleep(400 * time.Millisecond)
					first.Ended(streamService, attempt, false)
					// Callers try three times, as the responses say.
					for range 3 {
						if _, err := other.Version(ctx, streamService, attempt); err == nil {
							wentOn++
							break
						}
						time.Sleep(unknownRetryAfter)
					}
				}
				t.Logf("%d of %d streams went on", wentOn, streams)
				if wentOn < streams/2 {
					t.Errorf("%d of %d streams went on, want at least half", wentOn, streams)
				}
			})
		})
	}
}

// Guards against instances that use up the calls of the store when callers come back one after another.
func TestLookUpsThatFollowEachOtherShareReads(t *testing.T) {
	for name, versions := range map[string][]string{"one version": {"1"}, "two versions": {"1", "2"}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				store := &streamLog{delay: 4 * time.Millisecond}
				for n, version := range versions {
					store.register(string(rune('a'+n)), version)
				}
				instance, _ := store.start(ctx)
				time.Sleep(time.Minute)
				before := store.total()
				var group sync.WaitGroup
				for range 1000 {
					group.Go(func() {
						_, _ = instance.Version(ctx, streamService, "x") // Unknown, or the only version.
					})
					time.Sleep(time.Millisecond)
				}
				group.Wait()
				if calls := store.total() - before; calls > 50 {
					t.Errorf("%d calls in a second for 1000 look-ups, want at most 50", calls)
				}
			})
		})
	}
}

// Guards against a stream that is refused since one read of the log was refused.
func TestLookUpAfterOneRefusedRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		store := &compactedLog{streamLog: &streamLog{delay: 4 * time.Millisecond}}
		store.register("a", "1")
		store.register("b", "2")
		first, other := store.start(ctx), store.start(ctx)
		time.Sleep(time.Second)
		first.Began(streamService, "x", "2")
		time.Sleep(time.Second)
		store.mu.Lock()
		store.failures = 1
		store.mu.Unlock()
		if got, err := other.Version(ctx, streamService, "x"); got != "2" {
			t.Errorf("version = %q, %v; want 2, as recorded", got, err)
		}
	})
}

// Guards against a stream that is refused since the former record of it has expired, though it was recorded again since.
func TestStreamThatWasRecordedAgain(t *testing.T) {
	table, now := jaystream.NewTable(), time.Unix(1000, 0)
	set := func() { table.SetRegistered(now, map[string][]string{streamService: {"1", "2"}}) }
	set()
	other := jaystream.NewTable()
	other.SetRegistered(now, map[string][]string{streamService: {"1", "2"}})
	other.Begin(now, streamService, "x", "2")
	groups := other.Due(now)
	table.Read(now, groups)
	now = now.Add(9 * time.Second)
	set()
	table.Read(now, groups)
	now = now.Add(2 * time.Second)
	set()
	table.Tick(now)
	want := jaystream.Answer{Step: jaystream.StepDone, Result: jaystream.ResultRecorded, Version: "2"}
	if got := table.LookUp(now, streamService, "x", jaystream.Progress{Reads: 3}); got != want {
		t.Errorf("2 s after its latest record: %+v, want %+v", got, want)
	}
}

// Guards against a stream that is refused since its last bytes were lost after the instance had written them.
func TestStreamWhoseEndWasLost(t *testing.T) {
	table, now := jaystream.NewTable(), time.Unix(1000, 0)
	table.SetRegistered(now, map[string][]string{streamService: {"1", "2"}})
	table.Begin(now, streamService, "x", "2")
	table.End(now, streamService, "x", true)
	want := jaystream.Answer{Step: jaystream.StepDone, Result: jaystream.ResultOwn, Version: "2"}
	if got := table.LookUp(now, streamService, "x", jaystream.Progress{Reads: 3}); got != want {
		t.Errorf("at the instance that sent its end: %+v, want %+v", got, want)
	}
}

// Guards against a log line whose size a caller chooses.
func TestLookUpLogsShortAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		store := &streamLog{}
		store.register("a", "1")
		instance, _ := store.start(ctx)
		var written countingWriter
		instance.log = slog.New(slog.NewTextHandler(&written, nil))
		_, _ = instance.Version(ctx, streamService, string(make([]byte, 64<<10))) // Only the log counts.
		if written > 4<<10 {
			t.Errorf("%d bytes were logged for one look-up", written)
		}
	})
}

// countingWriter counts the bytes that are written.
type countingWriter int

func (w *countingWriter) Write(data []byte) (int, error) {
	*w += countingWriter(len(data))
	return len(data), nil
}

// Guards against an instance that joins two versions since another one, which did not know of a new version yet, recorded that
// one was left.
func TestRecordThatOneVersionIsLeftMayBeOutOfDate(t *testing.T) {
	now := time.Unix(1000, 0)
	registered := func(table *jaystream.Table, versions ...string) {
		table.SetRegistered(now, map[string][]string{streamService: versions})
	}
	late, first := jaystream.NewTable(), jaystream.NewTable()
	registered(late, "1", "2")
	late.Tick(now)
	registered(late, "2")
	now = now.Add(jaystream.Window(0) + 1)
	// Version 3 has come, which the late instance has not read. Stream y is not recorded yet when all are killed.
	registered(first, "2", "3")
	first.Begin(now, streamService, "x", "3")
	recorded := first.Due(now)
	late.Tick(now)
	settled := late.Due(now)
	// The upstreams of version 3 have ended, and the registry no longer shows them.
	started := jaystream.NewTable()
	registered(started, "2")
	started.Read(now, recorded)
	started.Read(now, settled)
	started.ReadAll(now)
	got := started.LookUp(now, streamService, "y", jaystream.Progress{Confirmed: true, Reads: 3})
	if got.Result != jaystream.ResultUnknown {
		t.Errorf("answer = %+v for a stream that version 3 may have begun, want it to be unknown", got)
	}
}

// Guards against a record that a version is no longer in play by an instance that has not read its return.
func TestReturnOfVersionIsReadBeforeItIsRecordedAsLeft(t *testing.T) {
	for name, returns := range map[string]bool{"returned": true, "left": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				store := &streamLog{delay: 4 * time.Millisecond}
				store.register("a", "1")
				store.register("b", "2")
				instance, _ := store.start(ctx)
				instance.setRegistered([]jayfleet.Upstream{{ID: "b", Service: streamService, Version: "2"}})
				time.Sleep(jaystream.Window(0) - time.Second)
				if returns {
					store.register("c", "1")
				}
				time.Sleep(2 * time.Second)
				recorded := false
				store.mu.Lock()
				defer store.mu.Unlock()
				for _, record := range store.log {
					groups, err := jaystream.DecodeRecord(record)
					recorded = recorded || err == nil && len(groups[0].Streams) == 0 && groups[0].Version == "1"
				}
				if recorded == returns {
					t.Errorf("recorded as left = %v, want %v", recorded, !returns)
				}
			})
		})
	}
}

// Guards against an instance that joins two versions since one read of the registry was refused.
func TestConfirmationAfterOneRefusedRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		store := &compactedLog{streamLog: &streamLog{delay: 4 * time.Millisecond}}
		store.register("a", "1")
		first, behind := store.start(ctx), store.start(ctx)
		time.Sleep(time.Minute)
		store.register("b", "2")
		store.load(first)
		first.Began(streamService, "x", "2")
		time.Sleep(time.Second)
		store.mu.Lock()
		store.failures = 1
		store.mu.Unlock()
		if got, err := behind.Version(ctx, streamService, "x"); got != "2" {
			t.Errorf("version = %q, %v; want 2, as recorded", got, err)
		}
	})
}

// Guards against streams that are refused while the store does not answer, though the instance that began them is alive.
func TestBrokenStreamGoesOnWithoutStore(t *testing.T) {
	tests := map[string]struct {
		connected bool
		versions  []string
		want      string
	}{
		"connected":                           {true, []string{"2"}, "2"},
		"two versions began under an attempt": {true, []string{"2", "1"}, ""},
		"not connected":                       {false, []string{"2"}, ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				store := &streamLog{delay: 4 * time.Millisecond}
				store.register("a", "1")
				store.register("b", "2")
				instances := make([]*streams, 5)
				for n := range instances {
					instances[n], _ = store.start(ctx)
				}
				if test.connected {
					connectAll(instances...)
				}
				time.Sleep(time.Second)
				store.fail(true, 0)
				time.Sleep(2 * time.Second)
				for n, version := range test.versions {
					instances[n].Began(streamService, "x", version)
					instances[n].Ended(streamService, "x", false)
				}
				time.Sleep(100 * time.Millisecond)
				if got, err := instances[4].Version(ctx, streamService, "x"); got != test.want {
					t.Errorf("version = %q, %v; want %q", got, err, test.want)
				}
			})
		})
	}
}
