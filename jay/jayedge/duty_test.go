package jayedge

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"jayfield.example/jay/jayduty"
	"jayfield.example/jay/jayerror"
	"jayfield.example/jay/jaymember"
	"jayfield.example/jay/jayprovider"
	"jayfield.example/jay/jaystore"
)

const dutyTTL = 3 * time.Second

// dutyStore is a store with one topic, which may be down.
type dutyStore struct {
	mu      sync.Mutex
	records []jaystore.Record
	// first is the offset of the oldest record that can still be read.
	first jaystore.Position
	era   int64
	down  bool
	// rejected are the instances whose calls fail at once.
	rejected map[string]bool
	// failDelay is how long calls that fail take.
	failDelay time.Duration
	calls     map[string]int
}

// dutyClient is an instance's client of the store.
type dutyClient struct {
	jaystore.Log
	*dutyStore

	name string
}

// wait lets a call that fails take its time.
func (c dutyClient) wait() {
	c.mu.Lock()
	fails, delay := c.down || c.rejected[c.name], c.failDelay
	c.mu.Unlock()
	if fails {
		time.Sleep(delay)
	}
}

func (c dutyClient) enter(call string) error {
	c.calls[c.name]++
	if c.down || c.rejected[c.name] {
		return jayerror.New(call, jaystore.KindUnavailable, "down")
	}
	return nil
}

func (c dutyClient) Newest(context.Context, jaystore.Topic) ([]jaystore.Record, jaystore.Position, error) {
	c.wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.enter("newest"); err != nil {
		return nil, 0, err
	}
	return c.records[max(0, len(c.records)-1):], c.end(), nil
}

func (c dutyClient) Read(_ context.Context, topic jaystore.Topic, from jaystore.Position, _ <-chan struct{}) ([]jaystore.Record, jaystore.Position, error) {
	c.wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	if topic != jaystore.TopicDuty {
		if c.down || c.rejected[c.name] {
			return nil, 0, jayerror.New("read", jaystore.KindUnavailable, "down")
		}
		return nil, from, nil
	}
	if err := c.enter("read"); err != nil {
		return nil, 0, err
	}
	if from < c.first || from.Era() != c.era {
		return nil, 0, jayerror.New("read", jaystore.KindExpired, "expired")
	}
	return c.records[from.Offset():], c.end(), nil
}

func (c dutyClient) Put(context.Context, jaystore.Topic, string, []byte) (jaystore.Position, error) {
	return 0, jayerror.New("put", jaystore.KindFormat, "the lease is written only under a condition")
}

func (c dutyClient) PutAt(_ context.Context, _ jaystore.Topic, key string, value []byte, end jaystore.Position) error {
	c.wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.enter("put"); err != nil {
		return err
	}
	if end != c.end() {
		return jayerror.New("put", jaystore.KindConflict, "the topic has other records")
	}
	c.records = append(c.records, jaystore.Record{Key: key, Value: value, Position: end})
	return nil
}

// end returns the position after the newest record.
func (s *dutyStore) end() jaystore.Position {
	return jaystore.NewPosition(s.era, int64(len(s.records)))
}

// restore has the store come back from a copy that lacks the newest records.
func (s *dutyStore) restore(lost int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era, s.records = s.era+1, slices.Clone(s.records[:max(0, len(s.records)-lost)])
	for n := range s.records {
		s.records[n].Position = jaystore.NewPosition(s.era, int64(n))
	}
}

// newest returns the newest record.
func (s *dutyStore) newest(t *testing.T) jayduty.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	record, err := jayduty.Decode(s.records[len(s.records)-1].Value)
	if err != nil {
		t.Error(err)
	}
	return record
}

func (s *dutyStore) total(name string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[name]
}

// receiver is a control API whose calls take some time and then fail with an error.
type receiver struct {
	delay time.Duration
	err   error
}

func (r *receiver) ReportUsage(ctx context.Context, _ jayprovider.Authority, _ jayprovider.Report) error {
	if !jayprovider.Allowed(ctx) {
		return jayerror.New("usage", jayprovider.KindWithdrawn, "not allowed")
	}
	time.Sleep(r.delay)
	return r.err
}

func (r *receiver) Scale(ctx context.Context, authority jayprovider.Authority, _ jayprovider.Order) error {
	return r.ReportUsage(ctx, authority, jayprovider.Report{})
}

// dutySite is instances whose names order them by incarnation.
type dutySite struct {
	store    *dutyStore
	receiver *receiver
	duties   []*Duty
	clients  []observedStore
	members  []jaymember.Status
}

func newDutySite(ctx context.Context, instances int) *dutySite {
	s := &dutySite{store: &dutyStore{calls: make(map[string]int)}, receiver: &receiver{}}
	began := time.Now()
	for n := range instances {
		name := fmt.Sprint("edge-", n)
		self := jaymember.Member{Name: name, Incarnation: name}
		contact := newContact()
		client := observedStore{Store: dutyClient{dutyStore: s.store, name: name}, contact: contact}
		d := newDuty(self, dutyTTL, func() time.Duration { return time.Since(began) }, client, contact, s.receiver, slog.New(slog.DiscardHandler))
		s.duties, s.clients = append(s.duties, d), append(s.clients, client)
		s.members = append(s.members, jaymember.Status{Member: self})
		go d.run(ctx)
	}
	s.setMembers()
	return s
}

func (s *dutySite) setMembers() {
	for n, d := range s.duties {
		d.setMembers(append(append([]jaymember.Status{}, s.members[:n]...), s.members[n+1:]...), s.members[n].Usable())
	}
}

// holder returns the number of the instance that holds the duties, or -1.
func (s *dutySite) holder() int {
	for n, d := range s.duties {
		if _, ok := d.Holds(jayprovider.Timeout); ok {
			return n
		}
	}
	return -1
}

// run runs a test in virtual time and ends the tasks.
func runDuties(t *testing.T, instances int, run func(*testing.T, *dutySite)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := newDutySite(ctx, instances)
		run(t, s)
		cancel()
		for _, d := range s.duties {
			<-d.Done()
		}
	})
}

// Guards against calls to the store by instances that are no candidates, against more than 10 calls a second of
// all instances, and against duties that stay with an instance that is gone.
func TestOnlyCandidatesCallTheStore(t *testing.T) {
	runDuties(t, 60, func(t *testing.T, s *dutySite) {
		time.Sleep(10 * time.Second)
		if holder := s.holder(); holder != 0 && holder != 1 {
			t.Fatalf("holder = %d", holder)
		}
		before := s.store.total("edge-0") + s.store.total("edge-1")
		time.Sleep(time.Minute)
		calls := s.store.total("edge-0") + s.store.total("edge-1") - before
		if t.Logf("%d calls in a minute", calls); calls > 60*5/2 {
			t.Errorf("%d calls in a minute", calls)
		}
		for n := candidates; n < len(s.duties); n++ {
			if calls := s.store.total(s.duties[n].self.Name); calls != 0 {
				t.Fatalf("%s is no candidate and made %d calls", s.duties[n].self.Name, calls)
			}
		}
		s.members[0].Silent, s.members[1].Silent = true, true
		s.setMembers()
		time.Sleep(time.Minute)
		if holder := s.holder(); holder < 0 {
			t.Error("no holder after the candidates are gone")
		}
	})
}

// Guards against a holder that calls on after its fencing token was refused, and against its claim within twice
// the lease time.
func TestRefusedFencingTokenEndsLease(t *testing.T) {
	runDuties(t, 1, func(t *testing.T, s *dutySite) {
		time.Sleep(10 * time.Second)
		d := s.duties[0]
		var events []string
		d.Observe(func(fence int64, held bool) { events = append(events, fmt.Sprint(fence, held)) })
		fence, ok := d.Holds(jayprovider.Timeout)
		if !ok {
			t.Fatal("does not hold the duties")
		}
		s.receiver.err = jayerror.New("usage", jayprovider.KindFenced, "higher")
		authority := jayprovider.Authority{Holder: "edge-0", Fence: fence}
		if err := d.Provider().ReportUsage(t.Context(), authority, jayprovider.Report{}); !jayerror.Is(err, jayprovider.KindFenced) {
			t.Fatalf("error = %v", err)
		}
		if _, ok := d.Holds(0); ok {
			t.Fatal("holds the duties after its fencing token was refused")
		}
		synctest.Wait()
		if newest := s.store.newest(t); newest.Kind != jayduty.KindRelease {
			t.Errorf("newest record = %+v", newest)
		}
		time.Sleep(2*dutyTTL - time.Millisecond)
		if newest := s.store.newest(t); newest.Kind != jayduty.KindRelease {
			t.Errorf("newest record before the end of twice the lease time = %+v", newest)
		}
		if err := d.Provider().ReportUsage(t.Context(), authority, jayprovider.Report{}); !jayerror.Is(err, jayprovider.KindWithdrawn) {
			t.Errorf("error of a call without the duties = %v", err)
		}
		time.Sleep(dutyTTL + time.Second)
		if next, ok := d.Holds(0); !ok || next <= fence {
			t.Errorf("fencing token = %d after %d, holds = %t", next, fence, ok)
		}
		if want := fmt.Sprint([]string{fmt.Sprint(fence, false), fmt.Sprint(s.store.newest(t).Fence, true)}); fmt.Sprint(events) != want {
			t.Errorf("changes = %v, want %s", events, want)
		}
	})
}

// Guards against a release while a call is in flight, calls that begin during the release, and a store that is
// down and holds up the stop.
func TestReleaseWaitsForCalls(t *testing.T) {
	runDuties(t, 2, func(t *testing.T, s *dutySite) {
		time.Sleep(10 * time.Second)
		holder := s.holder()
		d := s.duties[holder]
		fence, _ := d.Holds(0)
		authority := jayprovider.Authority{Holder: d.self.Name, Fence: fence}
		s.receiver.delay = 500 * time.Millisecond
		ended := make(chan time.Time, 1)
		go func() {
			if err := d.Provider().ReportUsage(t.Context(), authority, jayprovider.Report{}); err != nil {
				t.Error(err)
			}
			ended <- time.Now()
		}()
		synctest.Wait()
		go func() {
			time.Sleep(100 * time.Millisecond)
			if err := d.Provider().ReportUsage(t.Context(), authority, jayprovider.Report{}); !jayerror.Is(err, jayprovider.KindWithdrawn) {
				t.Errorf("error of a call during the release = %v", err)
			}
			if newest := s.store.newest(t); newest.Kind == jayduty.KindRelease {
				t.Error("released while a call was in flight")
			}
		}()
		ctx, cancel := context.WithTimeout(t.Context(), releaseTimeout)
		defer cancel()
		d.Release(ctx)
		if released := time.Now(); released.Before(<-ended) || s.store.newest(t).Kind != jayduty.KindRelease {
			t.Errorf("newest record = %+v", s.store.newest(t))
		}
		time.Sleep(dutyTTL + 2*time.Second)
		next := s.holder()
		if next < 0 || next == holder {
			t.Fatalf("holder = %d after %d", next, holder)
		}
		s.store.mu.Lock()
		s.store.down = true
		s.store.mu.Unlock()
		began := time.Now()
		stopCtx, cancelStop := context.WithTimeout(t.Context(), releaseTimeout)
		defer cancelStop()
		s.duties[next].Release(stopCtx)
		if took := time.Since(began); took > releaseTimeout {
			t.Errorf("release took %s", took)
		}
		if _, ok := s.duties[next].Holds(0); ok {
			t.Error("holds the duties after its release")
		}
	})
}

// Guards against calls under another authority than the instance's own.
func TestCallsNeedTheOwnAuthority(t *testing.T) {
	runDuties(t, 1, func(t *testing.T, s *dutySite) {
		time.Sleep(10 * time.Second)
		fence, _ := s.duties[0].Holds(0)
		for _, authority := range []jayprovider.Authority{{Holder: "edge-0", Fence: fence + 1}, {Holder: "edge-1", Fence: fence}, {}} {
			if err := s.duties[0].Provider().Scale(t.Context(), authority, jayprovider.Order{}); !jayerror.Is(err, jayprovider.KindWithdrawn) {
				t.Errorf("error of a call under %+v = %v", authority, err)
			}
		}
	})
}

// Guards against a candidate that never learns of a new holder once the records after its position have
// expired, and against one that reads them again without a pause.
func TestExpiredRecordsAreReadAnew(t *testing.T) {
	runDuties(t, 2, func(t *testing.T, s *dutySite) {
		time.Sleep(10 * time.Second)
		s.store.mu.Lock()
		s.store.first = jaystore.Position(len(s.store.records)) + 20
		s.store.mu.Unlock()
		before := s.store.total("edge-0") + s.store.total("edge-1")
		time.Sleep(time.Minute)
		if calls := s.store.total("edge-0") + s.store.total("edge-1") - before; calls > 60*5/2+10 {
			t.Errorf("%d calls in a minute", calls)
		}
		holder := s.holder()
		if holder < 0 {
			t.Fatal("no holder")
		}
		ctx, cancel := context.WithTimeout(t.Context(), releaseTimeout)
		defer cancel()
		s.duties[holder].Release(ctx)
		time.Sleep(dutyTTL + 2*time.Second)
		if next := s.holder(); next != 1-holder {
			t.Errorf("holder = %d after %d", next, holder)
		}
	})
}
