package jaydispatch

import (
	"time"

	"jayfield.example/jay/jayconfig"
	"jayfield.example/jay/jayerror"
	"jayfield.example/jay/jayqueue"
	"jayfield.example/jay/jayroute"
)

// state is owned by the dispatcher's goroutine.
type state struct {
	table  *jayroute.Table
	queues map[string]*jayqueue.Queue[*waiter]
	costs  map[string]poolCost
	limit  int
	policy jayroute.Policy
	onSlow func(name string)
	// share is the fraction of the total capacity that this instance owns.
	share float64
	meter *meter
}

// poolCost is the mean time per prompt token (prefill) and per output token (decode)
// over a pool's upstreams, in seconds.
type poolCost struct {
	prefill, decode float64
}

// releaseInfo describes how released work ended.
type releaseInfo struct {
	result      Result
	prefillDone bool
	tokens      int
	took        time.Duration
}

func (s *state) cancel(w *waiter) {
	if w.grant != nil {
		s.release(time.Now(), *w.grant, releaseInfo{result: ResultUnused})
		return
	}
	if w.item != nil {
		w.queue.Remove(w.item)
	}
}

func (s *state) configure(config *jayconfig.State) {
	s.table.Configure(config)
	s.requeue(time.Now())
}

// dispatch grants upstreams to the waiting work of a queue while any can take it.
func (s *state) dispatch(now time.Time, queue *jayqueue.Queue[*waiter]) {
	long := true
	for queue.Size() > 0 {
		item, expired := queue.Peek(now, long)
		refuseExpired(expired)
		if item == nil {
			return
		}
		if s.tryGrant(now, queue, item) {
			continue
		}
		if !item.Long || !long {
			return
		}
		long = false
	}
}

// tryGrant grants an upstream to an item of a queue, if one can take it. Work that
// overtakes urgent work may use the slots reserved for urgent work, since otherwise
// both would wait.
func (s *state) tryGrant(now time.Time, queue *jayqueue.Queue[*waiter], item *jayqueue.Item[*waiter]) bool {
	pool, ok := s.table.Pool(item.Value.request.Pool)
	if !ok {
		return false
	}
	work := s.work(item.Value.request)
	work.Urgent = work.Urgent || queue.Overtakes(item)
	u, ok := s.table.Pick(now, pool, work)
	if !ok {
		return false
	}
	queue.Take(item)
	s.grant(item.Value, pool, u, now.Sub(item.Arrived()))
	return true
}

func (s *state) dispatchAll(now time.Time) {
	for _, queue := range s.queues {
		s.dispatch(now, queue)
	}
}

func (s *state) grant(w *waiter, pool *jayroute.Pool, u *jayroute.Upstream, waited time.Duration) {
	grant := s.assign(pool, u, s.work(w.request))
	grant.Waited = waited
	w.grant = &grant
	w.reply <- reply{grant: grant}
}

// assign assigns work of a pool to an upstream and counts it as running.
func (s *state) assign(pool *jayroute.Pool, u *jayroute.Upstream, work jayroute.Work) Grant {
	return Grant{
		Upstream:           u.Name(),
		Address:            u.Address(),
		Region:             u.Spec().Region,
		Pace:               u.Pace(),
		ExpectedFirstToken: pool.ExpectedFirstToken(u, work),
		pool:               pool.Name(),
		upstream:           u,
		work:               work,
		tokensAhead:        s.table.Start(u, work),
	}
}

// acquirePrefill moves the prefill of granted work from the decode engine to another
// engine.
func (s *state) acquirePrefill(now time.Time, decodeGrant Grant) (Grant, bool) {
	pool, ok := s.table.Pool(decodeGrant.pool)
	if !ok {
		return Grant{}, false
	}
	u, ok := s.table.PrefillUpstream(now, pool, decodeGrant.upstream, decodeGrant.work)
	if !ok {
		return Grant{}, false
	}
	s.table.DropPrefill(decodeGrant.upstream, decodeGrant.work)
	work := decodeGrant.work
	work.Output = 0
	return s.assign(pool, u, work), true
}

// queue returns the queue of a pool, which all pools with the same upstreams share.
func (s *state) queue(pool *jayroute.Pool) *jayqueue.Queue[*waiter] {
	queue, ok := s.queues[pool.Key()]
	if !ok {
		queue = jayqueue.New[*waiter](s.limit)
		s.queues[pool.Key()] = queue
	}
	return queue
}

// requeue moves all waiting work to the queues of a new configuration.
func (s *state) requeue(now time.Time) {
	queues := s.queues
	s.queues = make(map[string]*jayqueue.Queue[*waiter])
	for _, queue := range queues {
		for queue.Size() > 0 {
			item, expired := queue.Peek(now, true)
			refuseExpired(expired)
			if item == nil {
				break
			}
			queue.Take(item)
			s.submit(now, item.Value)
		}
	}
}

func (s *state) release(now time.Time, g Grant, info releaseInfo) {
	u := g.upstream
	if !info.prefillDone {
		s.table.DropPrefill(u, g.work)
	}
	s.table.Finish(u, g.work)
	switch info.result {
	case ResultFailed:
		s.table.Fail(now, u)
	case ResultLeaving:
		s.table.MarkLeaving(u)
	case ResultDone:
		if info.tokens > 0 {
			s.table.Pace(u, info.took/time.Duration(info.tokens))
		}
	case ResultUnused:
	}
	s.dispatchAll(now)
}

// stall records a stalled stream, and reports its upstream to the other instances if
// it has become slow and was not reported recently.
func (s *state) stall(now time.Time, u *jayroute.Upstream) {
	if s.table.Stall(now, u) {
		s.onSlow(u.Name())
	}
}

func (s *state) submit(now time.Time, w *waiter) {
	pool, ok := s.table.Pool(w.request.Pool)
	if !ok {
		w.reply <- reply{err: jayerror.Newf("acquire", KindNoPool, "%s is not configured", w.request.Pool)}
		return
	}
	if pool.Slots() == 0 {
		w.reply <- reply{err: jayerror.Newf("acquire", KindNoUpstream, "%s has no upstream that takes work", w.request.Pool)}
		return
	}
	if u, ok := s.table.Upstream(w.request.Prefer); ok && !u.Leaving() {
		s.grant(w, pool, u, 0)
		return
	}
	queue := s.queue(pool)
	if queue.Size() == 0 {
		if u, ok := s.table.Pick(now, pool, s.work(w.request)); ok {
			s.grant(w, pool, u, 0)
			return
		}
	}
	if w.request.NoWait {
		w.reply <- reply{err: jayerror.New("acquire", KindNoUpstream, "no upstream is free now")}
		return
	}
	w.item, w.queue = s.item(w), queue
	queue.SetCapacity(pool.Quota(s.table, s.share))
	evicted, err := queue.Push(now, w.item)
	if err != nil {
		w.reply <- reply{err: err}
		return
	}
	for _, item := range evicted {
		item.Value.reply <- reply{err: queue.EvictionError()}
	}
	s.dispatch(now, queue)
}

func (s *state) item(w *waiter) *jayqueue.Item[*waiter] {
	r := w.request
	cost := s.costs[r.Pool]
	return &jayqueue.Item[*waiter]{
		Caller:   r.Caller,
		Weight:   r.Weight,
		Priority: r.Priority,
		Cost:     float64(r.Work.Prompt)*cost.prefill + float64(r.Work.Output)*cost.decode,
		Deadline: r.Deadline,
		Long:     r.Work.Long,
		Value:    w,
	}
}

func (s *state) tick(now time.Time) {
	s.meter.tick(now)
	s.table.Sweep(now)
	for _, queue := range s.queues {
		refuseExpired(queue.Sweep(now))
	}
	for _, pool := range s.table.Pools() {
		prefill, decode := pool.MeanPaces()
		s.costs[pool.Name()] = poolCost{prefill: prefill, decode: decode}
	}
	s.dispatchAll(now)
}

// work returns the request's work, with the upstream to avoid if that is still
// configured.
func (s *state) work(r Request) jayroute.Work {
	work := r.Work
	if r.Avoid != "" {
		if u, ok := s.table.Upstream(r.Avoid); ok {
			work.Avoid = u
		}
	}
	return work
}

func refuseExpired(expired []*jayqueue.Item[*waiter]) {
	for _, item := range expired {
		err := &jayqueue.RefusalError{
			Err:        jayerror.New("acquire", jayqueue.KindDeadline, "answer would be later than the deadline"),
			RetryAfter: time.Second,
		}
		item.Value.reply <- reply{err: err}
	}
}
