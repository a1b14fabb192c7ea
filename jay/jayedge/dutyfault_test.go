package jayedge

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"jayfield.example/jay/jayerror"
	"jayfield.example/jay/jaymember"
	"jayfield.example/jay/jaystore"
)

const (
	// playStep is the time between two rounds of heartbeats, playDelay the number of rounds after which they arrive
	// through two hubs at the latest.
	playStep, playDelay = 500 * time.Millisecond, 3
	// playWatchers is the number of instances that read the store all the time, one of each zone.
	playWatchers = 6
)

// reject sets whether the store fails for all instances and which ones it rejects.
func (s *dutyStore) reject(down bool, names ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down, s.rejected = down, make(map[string]bool)
	for _, name := range names {
		s.rejected[name] = true
	}
}

// play lets instances exchange heartbeats and watchers read the store for a time. It returns how long nobody held
// the duties.
func (s *dutySite) play(length time.Duration, at func(now time.Duration)) (vacant time.Duration) {
	var heartbeats [][]jaymember.StoreContact
	for now := time.Duration(0); now < length; now += playStep / 10 {
		at(now)
		if now%playStep == 0 {
			heartbeats = append(heartbeats, s.contacts())
			for n, contact := range heartbeats[max(0, len(heartbeats)-1-playDelay)] {
				s.members[n].Store = contact
			}
			s.setMembers()
			for n := 0; n < len(s.clients); n += max(1, len(s.clients)/playWatchers) {
				go func() { _, _, _ = s.clients[n].Read(context.Background(), jaystore.TopicPolicy, 0, nil) }()
			}
		}
		time.Sleep(playStep / 10)
		synctest.Wait()
		if s.holder() < 0 {
			vacant += playStep / 10
		}
	}
	return vacant
}

// calls returns the number of calls for the duty.
func (s *dutySite) calls() int {
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	total := 0
	for _, n := range s.store.calls {
		total += n
	}
	return total
}

func (s *dutySite) contacts() []jaymember.StoreContact {
	contacts := make([]jaymember.StoreContact, 0, len(s.clients))
	for _, c := range s.clients {
		contacts = append(contacts, c.contact.State())
	}
	return contacts
}

// names returns the names of instances by their numbers.
func names(numbers ...int) []string {
	list := make([]string, 0, len(numbers))
	for _, n := range numbers {
		list = append(list, fmt.Sprint("edge-", n))
	}
	return list
}

// Guards against duties that rest while some instances reach the store, because the candidates are those that don't,
// against ones that rest after the store has come back, because a retry waits, and against calls of many instances.
// Nobody holds the duties for 7.5 s if the holder and the candidate are cut off: up to 3 s until others know of it, the
// lease time and 500 ms until a claim and the lease time until it acts, less the 2 s for which the holder still held them.
// Without answers a claim may act just as the store goes down, so that the two times without a holder become one: these
// 7.5 s, the 6 s of the outage, and 2 s for a call that times out and its retry.
func TestDutyUnderStoreFaults(t *testing.T) {
	const all = 60
	half := rand.New(rand.NewPCG(1, 1)).Perm(all)[:all/2]
	tests := map[string]struct {
		// both is set if the candidate is cut off with the holder, others are further instances, from 8 s to until.
		both   bool
		others []int
		until  time.Duration
		// The store is down for all between down and up.
		down, up  time.Duration
		failDelay time.Duration
		// lost is the number of records that the store lacks at up.
		lost   int
		vacant time.Duration
	}{
		"holder cut off":                                    {until: time.Minute, vacant: 6 * time.Second},
		"holder and candidate cut off":                      {both: true, until: time.Minute, vacant: 8 * time.Second},
		"holder and candidate cut off, then the store down": {both: true, until: time.Minute, down: 18 * time.Second, up: 24 * time.Second, vacant: 12 * time.Second},
		"the same without answers":                          {both: true, until: time.Minute, down: 18 * time.Second, up: 24 * time.Second, failDelay: time.Second, vacant: 15500 * time.Millisecond},
		"half of the instances rejected":                    {both: true, others: half, until: 18 * time.Second, vacant: 8 * time.Second},
		"half of the instances without answers":             {both: true, others: half, until: 18 * time.Second, failDelay: time.Second, vacant: 8 * time.Second},
		"store down":                                        {down: 8 * time.Second, up: 18 * time.Second, vacant: 9 * time.Second},
		"store without answers":                             {down: 8 * time.Second, up: 18 * time.Second, failDelay: time.Second, vacant: 9500 * time.Millisecond},
		"newest records lost":                               {down: 8 * time.Second, up: 8500 * time.Millisecond, lost: 4, vacant: 4 * time.Second},
		"all records lost":                                  {down: 8 * time.Second, up: 8500 * time.Millisecond, lost: 1000, vacant: 4 * time.Second},
		"newest records lost, holder cut off":               {until: time.Minute, down: 8 * time.Second, up: 8500 * time.Millisecond, lost: 4, vacant: 7 * time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			runDuties(t, all, func(t *testing.T, s *dutySite) {
				s.play(7*time.Second, func(time.Duration) {})
				cut := append([]int{s.holder()}, test.others...)
				if test.both {
					cut = append(cut, 0, 1)
				}
				s.store.failDelay = test.failDelay
				before := s.calls()
				result := s.play(40*time.Second, func(now time.Duration) {
					now += 7 * time.Second
					rejected := cut
					if now < 8*time.Second || now >= test.until {
						rejected = nil
					}
					if now == test.up && test.lost > 0 {
						s.store.restore(test.lost)
					}
					s.store.reject(now >= test.down && now < test.up, names(rejected...)...)
				})
				calls := s.calls() - before
				t.Logf("nobody holds the duties for %s; %d calls in 40 s", result, calls)
				if result > test.vacant {
					t.Errorf("nobody holds the duties for %s, at most %s expected", result, test.vacant)
				}
				if calls > 40*5 {
					t.Errorf("%d calls in 40 s", calls)
				}
			})
		})
	}
}

// Guards against more than one retry a second while the store fails, and against one that waits although another
// call of the instance has shown that the store answers again.
func TestRetriesOfDuty(t *testing.T) {
	runDuties(t, 1, func(t *testing.T, s *dutySite) {
		s.play(5*time.Second, func(time.Duration) {})
		s.store.reject(true)
		before := s.calls()
		time.Sleep(10*time.Second + 300*time.Millisecond)
		if calls := s.calls() - before; calls < 8 || calls > 12 {
			t.Errorf("%d calls in 10 s while the store fails", calls)
		}
		s.store.reject(false)
		if _, _, err := s.clients[0].Read(t.Context(), jaystore.TopicPolicy, 0, nil); err != nil {
			t.Fatal(err)
		}
		synctest.Wait()
		if s.holder() != 0 {
			t.Error("does not hold the duties at once after another call has succeeded")
		}
	})
}

// Guards against a contact that is taken for good while calls hang or fail, for lost after one failure, and against
// calls that their caller gave up or that wait for a record.
func TestContactWithStore(t *testing.T) {
	unavailable := jayerror.New("read", jaystore.KindUnavailable, "down")
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	tests := map[string]struct {
		answered, failed, pending time.Duration
		ctx                       context.Context //nolint:containedctx // It belongs to the failed call.
		poll                      bool
		want                      jaymember.StoreContact
	}{
		"no call":                      {want: jaymember.ContactUnknown},
		"an answer":                    {answered: 9 * time.Second, want: jaymember.ContactAnswers},
		"an old answer":                {answered: 11 * time.Second, want: jaymember.ContactUnknown},
		"a failure":                    {failed: time.Second, want: jaymember.ContactFails},
		"a failure after an answer":    {answered: 900 * time.Millisecond, failed: time.Millisecond, want: jaymember.ContactAnswers},
		"failures for a second":        {answered: 1100 * time.Millisecond, failed: time.Millisecond, want: jaymember.ContactFails},
		"an old failure":               {answered: 12 * time.Second, failed: 11 * time.Second, want: jaymember.ContactUnknown},
		"an abandoned call":            {answered: 2 * time.Second, failed: time.Second, ctx: cancelled, want: jaymember.ContactAnswers},
		"a call that hangs":            {answered: 1100 * time.Millisecond, pending: 300 * time.Millisecond, want: jaymember.ContactFails},
		"a call that has just begun":   {answered: 1100 * time.Millisecond, pending: 200 * time.Millisecond, want: jaymember.ContactAnswers},
		"a poll that waits for news":   {answered: 1100 * time.Millisecond, pending: 900 * time.Millisecond, poll: true, want: jaymember.ContactAnswers},
		"an answer newer than failure": {answered: time.Second, failed: 2 * time.Second, want: jaymember.ContactAnswers},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, began, ctx := newContact(), time.Now(), context.Background()
				if test.ctx != nil {
					ctx = test.ctx
				}
				for left := 12 * time.Second; left >= 0; left -= 100 * time.Millisecond {
					switch {
					case left == test.answered && left > 0:
						c.begin(ctx, false)(nil)
					case left/(100*time.Millisecond) == test.failed/(100*time.Millisecond) && test.failed > 0:
						c.begin(ctx, false)(unavailable)
					case left == test.pending && left > 0:
						c.begin(ctx, test.poll)
					}
					if left > 0 {
						time.Sleep(100 * time.Millisecond)
					}
				}
				if got := c.State(); got != test.want {
					t.Errorf("contact = %q after %s, want %q", got, time.Since(began), test.want)
				}
			})
		})
	}
}
