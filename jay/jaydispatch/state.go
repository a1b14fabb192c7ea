package jaydispatch

import (
	"time"

	"jayfield.example/jay/jayconfig"
	"jayfield.example/jay/jayerror"
	"jayfield.example/jay/jayqueue"
	"jayfield.example/jay/jayroute"
)

// state is what the dispatcher's task owns.
type state struct {
	table  *jayroute.Table
	queues map[string]*jayqueue.Queue[*waiter]
	costs  map[string]poolCost
	limit  int
	policy jayroute.Policy
	slow   func(name string)
	// share is the part of all capacity that is this instance's.
	share float64
	meter *meter
	// ready is set once a configuration is known.
	ready bool
}

// poolCost is the usual time of a pool's upstreams for a token, in seconds.
type poolCost struct {
	lead, pace float64
}

// ending describes released work.
type ending struct {
	result Result
	first  bool
	tokens int
	took   time.Duration
}

func (s *state) cancel(w *waiter) {
	if w.grant != nil {
		s.release(time.Now(), *w.grant, ending{result: ResultUnused})
		return
	}
	if w.item != nil {
		w.queue.Remove(w.item)
	}
}

func (s *state) configure(config *jayconfig.State) {
	s.table.Configure(config)
	s.ready = true
	s.requeue(time.Now())
}

// drain grants the waiting work of a queue as far as upstreams may take it.
func (s *state) drain(now time.Time, queue *jayqueue.Queue[*waiter]) {
	long := true
	for queue.Size() > 0 {
		item, late := queue.Peek(now, long)
		refuseLate(late)
		if item == nil {
			return
		}
		if s.serve(now, queue, item) {
			continue
		}
		if !item.Long || !long {
			return
		}
		long = false
	}
}

// serve grants an item of a queue, if an upstream may take it. Slots that are
// kept for urgent work are open to work that goes before it: nothing is gained
// by having both wait.
func (s *state) serve(now time.Time, queue *jayqueue.Queue[*waiter], item *jayqueue.Item[*waiter]) bool {
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

func (s *state) drainAll(now time.Time) {
	for _, queue := range s.queues {
		s.drain(now, queue)
	}
}

func (s *state) grant(w *waiter, pool *jayroute.Pool, u *jayroute.Upstream, waited time.Duration) {
	grant := s.assign(pool, u, s.work(w.request))
	grant.Waited = waited
	w.grant = &grant
	w.reply <- reply{grant: grant}
}

// assign starts work of a pool at an upstream.
func (s *state) assign(pool *jayroute.Pool, u *jayroute.Upstream, work jayroute.Work) Grant {
	return Grant{
		Upstream: u.Name(),
		Address:  u.Address(),
		Region:   u.Spec().Region,
		Pace:     u.Pace(),
		Expected: pool.Expected(u, work),
		pool:     pool.Name(),
		upstream: u,
		work:     work,
		ahead:    s.table.Start(u, work),
	}
}

// partner moves the reading of a prompt from the host to another engine.
func (s *state) partner(now time.Time, host Grant) (Grant, bool) {
	pool, ok := s.table.Pool(host.pool)
	if !ok {
		return Grant{}, false
	}
	u, ok := s.table.Partner(now, pool, host.upstream, host.work)
	if !ok {
		return Grant{}, false
	}
	s.table.Forget(host.upstream, host.work)
	work := host.work
	work.Output = 0
	return s.assign(pool, u, work), true
}

// queue returns the queue that a pool shares with all pools of the same upstreams.
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
			item, late := queue.Peek(now, true)
			refuseLate(late)
			if item == nil {
				break
			}
			queue.Take(item)
			s.submit(now, item.Value)
		}
	}
}

func (s *state) release(now time.Time, g Grant, end ending) {
	u := g.upstream
	if !end.first {
		s.table.Forget(u, g.work)
	}
	s.table.Finish(u, g.work)
	switch end.result {
	case ResultFailed:
		s.table.Fail(now, u)
	case ResultLeaving:
		s.table.Leave(u)
	case ResultDone:
		if end.tokens > 0 {
			s.table.Pace(u, end.took/time.Duration(end.tokens))
		}
	case ResultUnused:
	}
	s.drainAll(now)
}

// stall notes a stalled stream, and has the other instances told of its upstream.
func (s *state) stall(now time.Time, u *jayroute.Upstream) {
	if s.table.Stall(now, u) {
		s.slow(u.Name())
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
	if w.request.Now {
		w.reply <- reply{err: jayerror.New("acquire", KindNoUpstream, "no upstream is free now")}
		return
	}
	w.item, w.queue = s.item(w), queue
	queue.SetCapacity(pool.Own(s.table, s.share))
	pushedOut, err := queue.Push(now, w.item)
	if err != nil {
		w.reply <- reply{err: err}
		return
	}
	for _, item := range pushedOut {
		item.Value.reply <- reply{err: queue.EvictionError()}
	}
	s.drain(now, queue)
}

func (s *state) item(w *waiter) *jayqueue.Item[*waiter] {
	r := w.request
	cost := s.costs[r.Pool]
	return &jayqueue.Item[*waiter]{
		Caller:   r.Caller,
		Weight:   r.Weight,
		Priority: r.Priority,
		Cost:     float64(r.Work.Prompt)*cost.lead + float64(r.Work.Output)*cost.pace,
		Deadline: r.Deadline,
		Long:     r.Work.Long,
		Value:    w,
	}
}

func (s *state) tick(now time.Time) {
	s.meter.tick(now)
	s.table.Sweep(now)
	for _, queue := range s.queues {
		refuseLate(queue.Sweep(now))
	}
	for _, pool := range s.table.Pools() {
		lead, pace := pool.Usual()
		s.costs[pool.Name()] = poolCost{lead: lead, pace: pace}
	}
	s.drainAll(now)
}

// work returns the request's work with the upstream to avoid, while it is known.
func (s *state) work(r Request) jayroute.Work {
	work := r.Work
	if r.Avoid != "" {
		if u, ok := s.table.Upstream(r.Avoid); ok {
			work.Avoid = u
		}
	}
	return work
}

func refuseLate(late []*jayqueue.Item[*waiter]) {
	for _, item := range late {
		err := &jayqueue.RefusalError{
			Err:   jayerror.New("acquire", jayqueue.KindDeadline, "answer would be later than the deadline"),
			Retry: time.Second,
		}
		item.Value.reply <- reply{err: err}
	}
}
