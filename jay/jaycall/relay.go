package jaycall

import (
	"context"

	"jayfield.example/jay/jayengine"
	"jayfield.example/jay/jayerror"
	"jayfield.example/jay/jaymetric"
)

// maxAttempts limits the attempts to start or resume one response, or to call a service.
const maxAttempts = 6

// relayState is the progress of a response across attempts.
type relayState struct {
	// nextOffset is the offset of the first event that has not been forwarded.
	nextOffset int64
	// avoid is the name of the upstream that failed last.
	avoid string
}

// relay copies the tokens of a response to a sink. A stream that breaks, times out
// or skips an offset is resumed after the last forwarded event.
func (f *Frontend) relay(ctx context.Context, c *completion, out sink) error {
	state := relayState{nextOffset: c.position.nextOffset}
	for attempt := 1; ; attempt++ {
		err := f.attempt(ctx, c, out, &state)
		if err == nil {
			f.lengthPredictor.observe(c.caller.Name, c.model, int(state.nextOffset), c.maxTokens)
			return nil
		}
		if !f.allowRetry(ctx, err, attempt) {
			return out.fail(err)
		}
		f.Log.Info("stream resumed", "request", c.id, "upstream", state.avoid, "offset", state.nextOffset, "attempt", attempt, "error", err)
		f.Metrics.Add(jaymetric.StreamsResumed, 1)
	}
}

// allowRetry reports whether a failed attempt may be retried, and spends retry budget if so.
func (f *Frontend) allowRetry(ctx context.Context, err error, attempt int) bool {
	if attempt >= maxAttempts || ctx.Err() != nil || !retryable(err) {
		return false
	}
	if !f.retryBudget.Spend() {
		f.Metrics.Add(jaymetric.RetriesRefused, 1)
		return false
	}
	f.Metrics.Add(jaymetric.Retries, 1)
	return true
}

// attempt relays the tokens of one upstream until the response is complete. A
// stream that ends early is resumed once at the same upstream, since the
// connection may fail while the work behind it continues.
func (f *Frontend) attempt(ctx context.Context, c *completion, out sink, state *relayState) error {
	grant, err := f.acquire(ctx, c, state.avoid)
	if err != nil {
		return err
	}
	o := f.openHedged(ctx, c, state, newProgress(f, grant))
	defer func() { o.close() }()
	state.avoid = o.progress.grant.Upstream
	err = f.relayStream(o, c, out, state)
	if resumable(err) && o.progress.tokens > 0 && ctx.Err() == nil && f.retryBudget.Spend() {
		f.Metrics.Add(jaymetric.StreamsResumed, 1)
		f.Log.Info("stream resumed at the same upstream", "request", c.id, "upstream", state.avoid, "offset", state.nextOffset, "error", err)
		o.close()
		o = f.open(ctx, c, state.nextOffset, o.progress)
		err = f.relayStream(o, c, out, state)
	}
	o.progress.end(ctx, err)
	return err
}

// relayStream copies the events of an opened stream until the response is complete.
func (f *Frontend) relayStream(o *openResult, c *completion, out sink, state *relayState) error {
	if o.err == nil {
		upstream := o.progress.grant.Upstream
		out.setUpstream(f.eventIDPrefix(cursor{request: c.position.request, upstream: upstream}, c.caller.Name, c.request.body), upstream, o.progress.grant.Waited)
		o.err = f.copyEvents(o, out, state)
		f.Metrics.Add(jaymetric.EventsDropped, int64(o.stream.Dropped()))
	}
	if jayerror.Is(o.err, jayengine.KindSilent) {
		f.Metrics.Add(jaymetric.StreamsSilent, 1)
	}
	return o.err
}

func (f *Frontend) copyEvents(o *openResult, out sink, state *relayState) error {
	detector := newStallDetector(f.Dispatcher, o.progress.grant)
	defer detector.stop()
	event := o.event
	for {
		o.progress.tokens++
		if err := out.writeEvent(event, o.stream.Pending()); err != nil {
			return err
		}
		state.nextOffset = event.Offset + 1
		if event.Done {
			return nil
		}
		var err error
		if event, err = o.stream.Next(); err != nil {
			return err
		}
		detector.reset()
	}
}

// resumable reports whether the work behind a failed stream may still be running.
func resumable(err error) bool {
	return jayerror.Is(err, jayengine.KindBroken) || jayerror.Is(err, jayengine.KindSilent) || jayerror.Is(err, jayengine.KindCrossed)
}

// retryable reports whether a failed request may be retried at another upstream.
func retryable(err error) bool {
	if resumable(err) {
		return true
	}
	return jayerror.Is(err, jayengine.KindUnreachable) || jayerror.Is(err, jayengine.KindLeaving) || jayerror.Is(err, jayengine.KindBusy)
}
