package jaycall

import (
	"context"
	"time"

	"jayfield.example/jay/jaydispatch"
	"jayfield.example/jay/jayengine"
	"jayfield.example/jay/jayerror"
	"jayfield.example/jay/jaymetric"
)

// maxAttempts bounds how often one answer is begun or resumed.
const maxAttempts = 6

// relayState is how far an answer has come.
type relayState struct {
	// next is the offset of the first event that is not passed on.
	next int64
	// avoid names the upstream that failed last.
	avoid string
}

// relay passes the tokens of an answer on to a sink. A stream that breaks,
// falls silent or goes wrong is resumed from its offset.
func (f *Front) relay(ctx context.Context, c *completion, out sink) error {
	state := relayState{next: c.from.next}
	for attempt := 1; ; attempt++ {
		done, err := f.attempt(ctx, c, out, &state)
		if done {
			f.lengths.learn(c.caller.Name, c.model, int(state.next))
			return nil
		}
		if !f.again(ctx, err, attempt) {
			return out.fail(err)
		}
		f.Log.Info("stream resumed", "request", c.id, "upstream", state.avoid, "offset", state.next, "attempt", attempt, "error", err)
		f.Metrics.Add(jaymetric.StreamsResumed, 1)
	}
}

// again reports whether a failed attempt may be followed by another.
func (f *Front) again(ctx context.Context, err error, attempt int) bool {
	if attempt >= maxAttempts || ctx.Err() != nil || !retryable(err) {
		return false
	}
	if !f.retries.Spend() {
		f.Metrics.Add(jaymetric.RetriesRefused, 1)
		return false
	}
	f.Metrics.Add(jaymetric.Retries, 1)
	return true
}

// retryable reports whether another upstream may do what one failed to do.
func retryable(err error) bool {
	for _, kind := range []jayengine.Kind{
		jayengine.KindUnreachable, jayengine.KindBroken, jayengine.KindSilent,
		jayengine.KindLeaving, jayengine.KindBusy, jayengine.KindCrossed,
	} {
		if jayerror.Is(err, kind) {
			return true
		}
	}
	return false
}

// attempt passes on the tokens of one upstream. It reports whether the answer
// is whole. A stream that ends early is resumed once at the same upstream,
// since a connection may fail where the work behind it goes on.
func (f *Front) attempt(ctx context.Context, c *completion, out sink, state *relayState) (bool, error) {
	grant, err := f.acquire(ctx, c, state.avoid)
	if err != nil {
		return false, err
	}
	state.avoid = grant.Upstream
	progress := &progress{front: f, grant: grant, started: time.Now()}
	err = f.stream(ctx, c, out, state, progress)
	if resumable(err) && progress.tokens > 0 && ctx.Err() == nil && f.retries.Spend() {
		f.Metrics.Add(jaymetric.StreamsResumed, 1)
		f.Log.Info("stream resumed in place", "request", c.id, "upstream", grant.Upstream, "offset", state.next, "error", err)
		err = f.stream(ctx, c, out, state, progress)
	}
	progress.end(ctx, err)
	return err == nil, err
}

// resumable reports whether the work behind a failed stream may still go on.
func resumable(err error) bool {
	return jayerror.Is(err, jayengine.KindBroken) || jayerror.Is(err, jayengine.KindSilent) || jayerror.Is(err, jayengine.KindCrossed)
}

// stream opens one stream of an upstream and passes its tokens on.
func (f *Front) stream(ctx context.Context, c *completion, out sink, state *relayState, progress *progress) error {
	grant := progress.grant
	stream, err := f.Engines.Generate(ctx, jayengine.Generation{
		Address:  grant.Address,
		Path:     c.URL.Path,
		Request:  c.from.request,
		Offset:   state.next,
		Priority: string(c.route.Priority),
		Body:     c.body,
	}, f.Limits.First)
	if err != nil {
		return err
	}
	defer stream.Close()
	out.served(f.prefix(cursor{request: c.from.request, upstream: grant.Upstream}, c.caller.Name, c.request.body), grant.Upstream)
	err = f.pass(stream, out, state, progress)
	if jayerror.Is(err, jayengine.KindSilent) {
		f.Metrics.Add(jaymetric.StreamsSilent, 1)
	}
	f.Metrics.Add(jaymetric.EventsDropped, int64(stream.Dropped()))
	return err
}

// pass copies events until the answer is whole.
func (f *Front) pass(stream *jayengine.Stream, out sink, state *relayState, progress *progress) error {
	for {
		event, err := stream.Next()
		if err != nil {
			return err
		}
		if progress.tokens == 0 {
			progress.first()
			stream.SetBound(f.Limits.Interval)
		}
		progress.tokens++
		if err := out.event(event, stream.Pending()); err != nil {
			return err
		}
		state.next = event.Offset + 1
		if event.Done {
			return nil
		}
	}
}

// progress reports what an attempt observes to the dispatcher.
type progress struct {
	front   *Front
	grant   jaydispatch.Grant
	started time.Time
	begun   time.Time
	tokens  int
}

// end releases the upstream.
func (p *progress) end(ctx context.Context, err error) {
	result := jaydispatch.ResultDone
	switch {
	case err == nil:
	case ctx.Err() != nil:
		result = jaydispatch.ResultUnused
	case jayerror.Is(err, jayengine.KindLeaving):
		result = jaydispatch.ResultLeaving
	case retryable(err):
		result = jaydispatch.ResultFailed
	default:
		result = jaydispatch.ResultUnused
	}
	p.front.Metrics.Add(jaymetric.Tokens, int64(p.tokens))
	took := time.Duration(0)
	if p.tokens > 0 {
		took = time.Since(p.begun)
	}
	p.front.Dispatcher.Release(p.grant, result, p.tokens > 0, p.tokens, took)
}

func (p *progress) first() {
	p.begun = time.Now()
	p.front.Dispatcher.First(p.grant, p.begun.Sub(p.started))
}
