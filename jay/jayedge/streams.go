package jayedge

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"jayfield.example/jay/jayerror"
	"jayfield.example/jay/jayfleet"
	"jayfield.example/jay/jaymetric"
	"jayfield.example/jay/jaystore"
	"jayfield.example/jay/jaystream"
	"jayfield.example/jay/jaytraffic"
)

const (
	// streamReadWait is how long a look-up waits for a read. A slow store answers in 240 ms, and a read that has begun
	// before is waited for.
	streamReadWait = 600 * time.Millisecond
	// failingReadWait is the same while calls to the store are known to fail. One that has just come back answers within it.
	failingReadWait = 100 * time.Millisecond
	// streamPause is the time between two reads of the log for one look-up, in which another instance may write the record.
	streamPause = 100 * time.Millisecond
	// registryReads is how often the registry is read for one look-up.
	registryReads = 3
	// streamRetry is the time between two reads of the log by an instance that has just started.
	streamRetry = time.Second
	// maxLoggedAttempt is the number of bytes of the ID of an attempt that are logged. Callers choose its length.
	maxLoggedAttempt = 64
	// appendBurst is the number of appends that an instance may make at once after a time with few of them, so that a stream is
	// recorded as soon as its connection breaks.
	appendBurst = 3
	// fullPage is the size in bytes from which on the response to a read may lack records up to the end. It is below the
	// size of a page by more than the size of a record.
	fullPage = 512 << 10
	// The delays after which a caller may try again: while records may be on their way, and while the store does not answer.
	unknownRetryAfter    = 300 * time.Millisecond
	unansweredRetryAfter = time.Second
)

// resultGone is the result of a look-up whose caller did not wait for it.
const resultGone jaystream.Result = "gone"

// streamStore is the part of the store that holds the records of streams and the registry.
type streamStore interface {
	jaystore.Reader
	jaystore.Log
}

// streamOptions configures streams.
type streamOptions struct {
	adapter Adapter
	store   streamStore
	// instances returns the number of instances that share the store.
	instances func() int
	// storeFails reports whether the calls of the instance to the store are known to fail.
	storeFails func() bool
	// run runs a function in a task of the instance.
	run    func(func(context.Context))
	series *jaymetric.Exposition
	log    *slog.Logger
}

// streams knows the versions of upstreams that began streams, and records those of this instance in the store. It is safe for
// concurrent use.
type streams struct {
	streamOptions

	// registryReads and logReads read the registry and the log up to their ends.
	registryReads, logReads *sharedRead
	// urgent has a value when a record should not wait for the next tick.
	urgent chan struct{}

	mu    sync.Mutex
	table *jaystream.Table
	// keepers is nil until the instance knows others.
	keepers *keepers
	// registry is the position up to which the registry was observed.
	registry jaystore.Position
	loaded   bool
	// dropped is the number of dropped streams that were counted.
	dropped int
	// logNext is the position after the records of the log that were read. Only logReads uses it.
	logNext jaystore.Position
	// failing is set while appends fail. Only Run uses it.
	failing bool
}

func newStreams(options streamOptions) *streams {
	s := &streams{
		streamOptions: options, urgent: make(chan struct{}, 1),
		table: jaystream.NewTable(), registry: jaystore.NoPosition, logNext: jaystore.NoPosition,
	}
	interval := func() time.Duration { return jaystream.ReadInterval(options.instances()) }
	s.registryReads = newSharedRead(s.readRegistry, interval, options.run)
	s.logReads = newSharedRead(s.readLog, interval, options.run)
	return s
}

// Began processes the first event of a stream.
func (s *streams) Began(service, attempt, version string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Begin(time.Now(), service, attempt, version)
}

// Ended processes the end of the response to a stream that began.
func (s *streams) Ended(service, attempt string, complete bool) {
	s.mu.Lock()
	now := time.Now()
	urgent := s.table.End(now, service, attempt, complete)
	var broken jaystream.Group
	kept, keepers := false, s.keepers
	if !complete && keepers != nil {
		broken, kept = s.table.Broken(now, service, attempt)
	}
	s.mu.Unlock()
	if kept {
		keepers.keep(broken)
	}
	if urgent {
		select {
		case s.urgent <- struct{}{}:
		default:
		}
	}
}

// Version returns the version at which a stream may go on.
func (s *streams) Version(ctx context.Context, service, attempt string) (string, error) {
	began, p := time.Now(), jaystream.Progress{}
	answer := s.lookUp(service, attempt, p)
	for ; answer.Step != jaystream.StepDone && ctx.Err() == nil; answer = s.lookUp(service, attempt, p) {
		p = s.proceed(ctx, service, attempt, answer.Step, p)
		p.Silent = p.Failed && time.Since(began) >= streamReadWait
	}
	if answer.Step != jaystream.StepDone {
		answer.Result = resultGone
	}
	s.series.Count("stream_lookups_total", jaymetric.Label{Name: "result", Value: string(answer.Result)})
	if answer.Result != jaystream.ResultOwn {
		s.log.Info("stream looked up", "service", service, "attempt", attempt[:min(len(attempt), maxLoggedAttempt)], "result", answer.Result, "version", answer.Version,
			"reads", p.Reads, "failed", p.Failed, "took", time.Since(began))
	}
	switch {
	case answer.Result == resultGone:
		return "", jaystream.NewUnknown("the caller has gone", unknownRetryAfter) //nolint:wrapcheck // An error of jaystream.
	case answer.Result != jaystream.ResultUnknown:
		return answer.Version, nil
	case p.Failed:
		return "", jaystream.NewUnknown("the store does not answer", unansweredRetryAfter) //nolint:wrapcheck // An error of jaystream.
	}
	return "", jaystream.NewUnknown(s.doubt(service, attempt), unknownRetryAfter) //nolint:wrapcheck // As above.
}

// doubt returns why a look-up did not find the version of a stream.
func (s *streams) doubt(service, attempt string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Doubt(time.Now(), service, attempt)
}

func (s *streams) lookUp(service, attempt string, p jaystream.Progress) jaystream.Answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.LookUp(time.Now(), service, attempt, p)
}

// proceed carries out a step of a look-up.
func (s *streams) proceed(ctx context.Context, service, attempt string, step jaystream.Step, p jaystream.Progress) jaystream.Progress {
	if step == jaystream.StepConfirm {
		limit := streamReadWait
		if s.storeFails() {
			limit = failingReadWait
		}
		p.Confirmed, p.Unconfirmed = true, !s.registryRead(ctx, limit)
		return p
	}
	if p.Reads > 0 {
		waitUntil(ctx, time.Now().Add(streamPause))
	}
	p.Reads++
	// A record of the log may differ from what another instance knows, so neither is used before the read has ended.
	asked := s.askKeepers(ctx, jaystream.NewKey(service, attempt), p.Reads == 1 && attempt != "")
	p.Failed = s.logReads.wait(ctx, streamReadWait) != nil && ctx.Err() == nil
	if s.lookUp(service, attempt, p).Step != jaystream.StepDone {
		<-asked
	}
	return p
}

// registryRead reads the registry up to its end, for at most a time, and reports whether the store answered. A read that the store
// refuses is repeated.
func (s *streams) registryRead(ctx context.Context, limit time.Duration) bool {
	deadline := time.Now().Add(limit)
	for range registryReads {
		if s.registryReads.wait(ctx, time.Until(deadline)) == nil {
			return true
		}
		waitUntil(ctx, time.Now().Add(min(streamPause, time.Until(deadline))))
		if ctx.Err() != nil || !time.Now().Before(deadline) {
			return false
		}
	}
	return false
}

// Run records the streams of this instance until ctx ends.
func (s *streams) Run(ctx context.Context) {
	var readAt time.Time
	tickAt, appends := time.Now(), rate.NewLimiter(rate.Every(jaystream.Interval(s.instances())), appendBurst)
	for ctx.Err() == nil {
		interval := jaystream.Interval(s.instances())
		appends.SetLimit(rate.Every(interval))
		select {
		case <-time.After(time.Until(tickAt)):
			tickAt = time.Now().Add(interval)
			if s.tick() && time.Since(readAt) >= streamRetry {
				readAt = time.Now()
				s.logReads.request()
			}
		case <-s.urgent:
		case <-ctx.Done():
			return
		}
		// The wait fails only if ctx ends. What becomes due meanwhile is part of the append.
		if len(s.due()) > 0 && appends.Wait(ctx) == nil {
			s.append(ctx)
		}
	}
}

// tick reports whether the log is to be read for the first time.
func (s *streams) tick() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.table.Tick(time.Now()) {
		message := "one software version in play"
		if c.Several {
			message = "several software versions in play"
		}
		s.log.Info(message, "service", c.Service, "versions", c.Versions)
	}
	dropped := s.table.Dropped()
	s.count("dropped", dropped-s.dropped)
	s.dropped = dropped
	return s.loaded && !s.table.Complete(time.Now())
}

// due returns what is to be appended.
func (s *streams) due() []jaystream.Group {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Due(time.Now())
}

// append appends what is due.
func (s *streams) append(ctx context.Context) {
	groups := s.confirm(ctx, s.due())
	if len(groups) == 0 {
		return
	}
	record, err := jaystream.EncodeRecord(groups)
	if err == nil {
		err = s.store.Append(ctx, jaystore.TopicStreams, [][]byte{record})
	}
	count := 0
	for _, g := range groups {
		count += len(g.Streams)
	}
	if err != nil {
		if !s.failing {
			s.log.Warn("streams not recorded; they are retried", "streams", count, "error", err)
		}
		s.failing = true
		s.count("failed", count)
		return
	}
	s.failing = false
	s.count("recorded", count)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Appended(groups)
}

// confirm reads the registry if groups state that a version is no longer in play, since it may have come back. They wait for the
// next append if the registry cannot be read.
func (s *streams) confirm(ctx context.Context, groups []jaystream.Group) []jaystream.Group {
	left := func(g jaystream.Group) bool { return len(g.Streams) == 0 }
	if !slices.ContainsFunc(groups, left) {
		return groups
	}
	if !s.registryRead(ctx, streamReadWait) {
		return slices.DeleteFunc(groups, left)
	}
	return s.due()
}

func (s *streams) count(result string, streams int) {
	s.series.Add("stream_records_total", streams, jaymetric.Label{Name: "result", Value: result})
}

// observe processes the version of an upstream in a record of the registry.
func (s *streams) observe(u jayfleet.Upstream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Observe(time.Now(), u.Service, u.Version)
}

// setRegistered replaces the registered upstreams.
func (s *streams) setRegistered(upstreams []jayfleet.Upstream) {
	versions := make(map[string][]string)
	for _, u := range upstreams {
		versions[u.Service] = append(versions[u.Service], u.Version)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loaded = true
	s.table.SetRegistered(time.Now(), versions)
}

// observed processes that the registry was observed up to a position.
func (s *streams) observed(next jaystore.Position) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if next.Era() > s.registry.Era() {
		s.table.Rewind()
	}
	s.registry = max(s.registry, next)
}

// skipped processes that the next records observed are a snapshot up to a position. It may lack versions that came and went
// since the records before, unless these went as far.
func (s *streams) skipped(end jaystore.Position) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.loaded && end > s.registry {
		s.log.Warn("registry skipped; versions of streams are in doubt", "from", s.registry, "to", end)
		s.table.Gap(time.Now())
	}
}

// setPolicy sets the timeouts of streams.
func (s *streams) setPolicy(policy *jaytraffic.Policy) {
	var timeout time.Duration
	for _, r := range policy.RouteList() {
		if r.Kind == jaytraffic.KindStream {
			timeout = max(timeout, r.TimeLimit())
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.SetTimeout(timeout)
}

// readRegistry observes the records of the registry that this instance has not observed yet.
func (s *streams) readRegistry(ctx context.Context) error {
	s.mu.Lock()
	next := s.registry
	s.mu.Unlock()
	for {
		records, end, err := s.store.Read(ctx, jaystore.TopicUpstreams, next, nil)
		if jayerror.Is(err, jaystore.KindExpired) {
			if records, end, err = s.store.Newest(ctx, jaystore.TopicUpstreams); err == nil {
				s.skipped(end)
			}
		}
		if err != nil {
			return err //nolint:wrapcheck // The store's errors are those of jaystore.
		}
		size := 0
		for _, r := range records {
			size += len(r.Key) + len(r.Value)
			if u, err := s.adapter.ReadUpstream(r.Key, r.Value); err == nil {
				// The placer logs malformed entries.
				s.observe(u)
			}
		}
		s.observed(end)
		if next = end; size < fullPage {
			return nil
		}
	}
}

// readLog reads the records of the log that this instance has not read yet.
func (s *streams) readLog(ctx context.Context) error {
	began := time.Now()
	for {
		records, next, err := s.store.ReadLog(ctx, jaystore.TopicStreams, s.logNext)
		if jayerror.Is(err, jaystore.KindExpired) && s.logNext != jaystore.NoPosition {
			s.logNext = jaystore.NoPosition
			continue
		}
		if err != nil {
			return err //nolint:wrapcheck // The store's errors are those of jaystore.
		}
		size := 0
		for _, record := range records {
			size += len(record)
			s.readRecord(record)
		}
		if s.logNext = next; size < fullPage {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.table.ReadAll(began)
			return nil
		}
	}
}

func (s *streams) readRecord(record []byte) {
	groups, err := jaystream.DecodeRecord(record)
	if err != nil {
		s.log.Warn("record of streams malformed", "error", err)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Read(time.Now(), groups)
}
