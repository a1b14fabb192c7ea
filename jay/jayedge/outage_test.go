package jayedge

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/time/rate"

	"jayfield.example/jay/jayerror"
	"jayfield.example/jay/jayfleet"
	"jayfield.example/jay/jaymember"
	"jayfield.example/jay/jaymetric"
	"jayfield.example/jay/jayplace"
	"jayfield.example/jay/jayroster"
	"jayfield.example/jay/jaystandin"
	"jayfield.example/jay/jaystore"
	"jayfield.example/jay/jaytask"
)

const (
	// drainTime and contactTime are drain_ms and contact_ms of the deployments.
	drainTime   = 2500 * time.Millisecond
	contactTime = 4 * time.Second
)

// outageStore is a store with a registry, which one instance reads.
type outageStore struct {
	mu  sync.Mutex
	log registryLog
	// cut is how the store fails for the instance, nil while it does not.
	cut atomic.Pointer[outage]
}

// outage is how the store fails for an instance.
type outage struct {
	// silent is set if calls get no answer, else they are rejected at once.
	silent bool
	// share is the part of the calls that fail.
	share float64
}

func (s *outageStore) put(id string, value func(l *registryLog)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if value == nil {
		s.log.put(id, nil)
		return
	}
	value(&s.log)
}

func (s *outageStore) reach(ctx context.Context) error {
	o := s.cut.Load()
	if o == nil || rand.Float64() >= o.share {
		return nil
	}
	if o.silent {
		select {
		case <-time.After(time.Second):
		case <-ctx.Done():
		}
	}
	return jayerror.New("call", jaystore.KindUnavailable, "cut off")
}

func (s *outageStore) Newest(ctx context.Context, topic jaystore.Topic) ([]jaystore.Record, jaystore.Position, error) {
	if err := s.reach(ctx); err != nil {
		return nil, 0, err
	}
	time.Sleep(4 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	if topic != jaystore.TopicUpstreams {
		return nil, 0, nil
	}
	records, _ := s.log.snapshot()
	return records, s.log.end(), nil
}

func (s *outageStore) Read(ctx context.Context, topic jaystore.Topic, from jaystore.Position, interrupt <-chan struct{}) ([]jaystore.Record, jaystore.Position, error) {
	if err := s.reach(ctx); err != nil {
		return nil, from, err
	}
	if interrupt != nil {
		select {
		case <-time.After(900 * time.Millisecond):
		case <-interrupt:
			return nil, from, jayerror.New("read", jaystore.KindInterrupted, "interrupted")
		case <-ctx.Done():
		}
		if err := s.reach(ctx); err != nil {
			return nil, from, err
		}
	}
	time.Sleep(4 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	if topic != jaystore.TopicUpstreams {
		return nil, from, nil
	}
	return s.log.records[from:], s.log.end(), nil
}

func (*outageStore) Put(context.Context, jaystore.Topic, string, []byte) (jaystore.Position, error) {
	return 0, nil
}

func (*outageStore) PutAt(context.Context, jaystore.Topic, string, []byte, jaystore.Position) error {
	return nil
}

type readySource struct{}

func (readySource) FillHeartbeat(m *jaymember.Member) { m.Config = 1 }

// follow makes an instance follow the topics of a store as an Edge does.
func (s *outageStore) follow(network *jaystandin.Network) (p *placer, stop func()) {
	host, log := network.Host("10.0.1.1:1", 1<<30), slog.New(slog.DiscardHandler)
	p = newPlacer(jsonAdapter{}, jayplace.Location{Zone: "z", Region: "r"}, nil, log)
	roster := jayroster.Start(jayroster.Options{
		Self: jaymember.Member{Name: "i", Incarnation: "i", Peer: "10.0.1.1:1", Region: "r", Zone: "z", Config: -1}, Source: readySource{}, Writer: s,
		Key: []byte("0123456789abcdef"), Listener: host.Listen(), Log: log, Series: jaymetric.NewExposition(), Changed: func([]jaymember.Status, int) {},
	})
	e := &Edge{roster: roster, log: log, followers: jaystore.NewGroup(rate.NewLimiter(rate.Every(retryInterval), retryBurst)), group: jaytask.NewGroup()}
	store := struct {
		jaystore.Reader
		jaystore.Writer
		jaystore.Log
	}{s, s, nil}
	e.follow(store, jaystore.TopicMembers, jaystore.NewMirror(roster), 0, jaystore.Freshness{MaxAge: memberMaxAge})
	e.follow(store, jaystore.TopicPolicy, jaystore.NewMirror(ignoringConsumer{}), 0, jaystore.LongPolled(drainTime))
	mirror := jaystore.NewMirror(p, jaystore.WithHistory(newRegistryHistory(jsonAdapter{}), jayfleet.Retention))
	e.follow(store, jaystore.TopicUpstreams, mirror, registryPollInterval, jaystore.Polled(drainTime).WithHistory(registryHistoryLen))
	return p, func() {
		e.group.Stop()
		roster.Stop()
		p.owner.Stop()
	}
}

type ignoringConsumer struct{}

func (ignoringConsumer) Replace(context.Context, []jaystore.Record, jaystore.Position) {}
func (ignoringConsumer) Apply(context.Context, []jaystore.Record)                      {}
func (ignoringConsumer) Unavailable(context.Context, error)                            {}
func (ignoringConsumer) Available(context.Context)                                     {}

// register makes an engine register.
func (s *outageStore) register(id string, sequence *int64) {
	*sequence++
	u := jayfleet.Upstream{ID: id, Service: "s", Address: id, Zone: "z", Slots: 1, Born: 1, Sequence: *sequence}
	s.put(id, func(l *registryLog) { l.write(u) })
}

var outages = map[string]outage{
	"no answers":                        {true, 1},
	"all calls are rejected":            {false, 1},
	"most calls get no answer":          {true, 0.8},
	"most calls are rejected, but some": {false, 0.7},
}

// Guards against an instance that was cut off alone and sends to an engine that was removed, later than drainTime after the
// removal, though it reaches the store again for contactTime.
func TestRemovalAfterCut(t *testing.T) {
	for name, o := range outages {
		t.Run(name, func(t *testing.T) {
			for run := range 40 {
				synctest.Test(t, func(t *testing.T) {
					s, network := &outageStore{}, jaystandin.NewNetwork()
					defer network.Close()
					p, stop := s.follow(network)
					defer stop()
					var sequence int64
					length := 3*time.Second + time.Duration(run)*170*time.Millisecond
					removeAfter := time.Duration(run%8-2) * 400 * time.Millisecond
					began := time.Now()
					cutAt, healAt := 5*time.Second, 5*time.Second+length
					removeAt := healAt + removeAfter
					next := time.Duration(0)
					var healed, removed time.Time
					for time.Since(began) < healAt+8*time.Second {
						now := time.Since(began)
						if now >= next && removed.IsZero() {
							s.register("e", &sequence)
							next += beatInterval
						}
						if now >= cutAt && now < healAt {
							s.cut.Store(&o)
						}
						if now >= healAt && healed.IsZero() {
							s.cut.Store(nil)
							healed = time.Now()
						}
						if now >= removeAt && removed.IsZero() {
							s.put("e", nil)
							removed = time.Now()
						}
						if !healed.IsZero() && !removed.IsZero() && time.Since(healed) > contactTime && time.Since(removed) > drainTime && p.TakesWork("e") {
							t.Fatalf("run %d: sends %s after the removal, %s after the heal", run, time.Since(removed), time.Since(healed))
						}
						time.Sleep(10 * time.Millisecond)
					}
				})
			}
		})
	}
}

// Guards against engines that are taken out at the end of an outage of the store for all, and against one that is kept though
// it is not back soon after: their entries expire, and those of engines that are alive are back with the next heartbeat.
func TestEntriesThatExpireInOutage(t *testing.T) {
	playExpiry(t, beatInterval)
}

// Guards against engines that are taken out although they are back within the time for which removed entries are kept.
func TestEntriesBackWithinGrace(t *testing.T) {
	playExpiry(t, jayfleet.RemovalGrace)
}

// playExpiry plays outages after which a live engine is registered again up to a time after the return of the store.
func playExpiry(t *testing.T, latest time.Duration) {
	t.Helper()
	for name, o := range outages {
		t.Run(name, func(t *testing.T) {
			for run := range 40 {
				synctest.Test(t, func(t *testing.T) {
					s, network := &outageStore{}, jaystandin.NewNetwork()
					defer network.Close()
					p, stop := s.follow(network)
					defer stop()
					var alive, dead int64
					length := silence + time.Duration(run)*170*time.Millisecond
					for range 5 {
						s.register("alive", &alive)
						s.register("dead", &dead)
						time.Sleep(beatInterval)
					}
					s.cut.Store(&o)
					began := time.Now()
					time.Sleep(silence)
					for _, id := range []string{"alive", "dead"} {
						s.put(id, nil)
					}
					time.Sleep(length - silence)
					s.cut.Store(nil)
					returned := time.Now()
					back := time.Duration(run%5) * latest / 4
					registered := false
					for time.Since(returned) < contactTime+2*beatInterval {
						if !registered && time.Since(returned) >= back {
							s.register("alive", &alive)
							registered = true
						}
						if !p.TakesWork("alive") && o.share == 1 {
							t.Fatalf("run %d: a live engine is left out %s after an outage of %s, back after %s", run, time.Since(returned), returned.Sub(began), back)
						}
						if p.TakesWork("dead") && time.Since(returned) > contactTime {
							t.Fatalf("run %d: sends to an engine that is not back %s after the outage", run, time.Since(returned))
						}
						time.Sleep(10 * time.Millisecond)
					}
				})
			}
		})
	}
}
