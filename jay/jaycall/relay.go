package jaycall

import (
	"context"

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
		err := f.attempt(ctx, c, out, &state)
		if err == nil {
			f.lengths.learn(c.caller.Name, c.model, int(state.next), c.bound)
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

// attempt passes on the tokens of one upstream until the answer is whole. A
// stream that ends early is resumed once at the same upstream, since a
// connection may fail where the work behind it goes on.
func (f *Front) attempt(ctx context.Context, c *completion, out sink, state *relayState) error {
	grant, err := f.acquire(ctx, c, state.avoid)
	if err != nil {
		return err
	}
	o := f.race(ctx, c, state, newProgress(f, grant))
	defer func() { o.close() }()
	state.avoid = o.progress.grant.Upstream
	err = f.pass(o, c, out, state)
	if resumable(err) && o.progress.tokens > 0 && ctx.Err() == nil && f.retries.Spend() {
		f.Metrics.Add(jaymetric.StreamsResumed, 1)
		f.Log.Info("stream resumed in place", "request", c.id, "upstream", state.avoid, "offset", state.next, "error", err)
		o.close()
		o = f.open(ctx, c, state.next, o.progress)
		err = f.pass(o, c, out, state)
	}
	o.progress.end(ctx, err)
	return err
}

// pass copies the events of a stream until the answer is whole.
func (f *Front) pass(o *opened, c *completion, out sink, state *relayState) error {
	if o.err == nil {
		upstream := o.progress.grant.Upstream
		out.served(f.prefix(cursor{request: c.from.request, upstream: upstream}, c.caller.Name, c.request.body), upstream, o.progress.grant.Waited)
		o.err = f.copyEvents(o, out, state)
		f.Metrics.Add(jaymetric.EventsDropped, int64(o.stream.Dropped()))
	}
	if jayerror.Is(o.err, jayengine.KindSilent) {
		f.Metrics.Add(jaymetric.StreamsSilent, 1)
	}
	return o.err
}

func (f *Front) copyEvents(o *opened, out sink, state *relayState) error {
	stall := newStallWatch(f.Dispatcher, o.progress.grant)
	defer stall.stop()
	event := o.event
	for {
		o.progress.tokens++
		if err := out.event(event, o.stream.Pending()); err != nil {
			return err
		}
		state.next = event.Offset + 1
		if event.Done {
			return nil
		}
		var err error
		if event, err = o.stream.Next(); err != nil {
			return err
		}
		stall.token()
	}
}

// resumable reports whether the work behind a failed stream may still go on.
func resumable(err error) bool {
	return jayerror.Is(err, jayengine.KindBroken) || jayerror.Is(err, jayengine.KindSilent) || jayerror.Is(err, jayengine.KindCrossed)
}

// retryable reports whether another upstream may do what one failed to do.
func retryable(err error) bool {
	if resumable(err) {
		return true
	}
	return jayerror.Is(err, jayengine.KindUnreachable) || jayerror.Is(err, jayengine.KindLeaving) || jayerror.Is(err, jayengine.KindBusy)
}
