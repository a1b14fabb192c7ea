package jaycall

import (
	"context"
	"time"

	"jayfield.example/jay/jaydispatch"
	"jayfield.example/jay/jayengine"
	"jayfield.example/jay/jaymetric"
)

const (
	// hedgeRatio and hedgeBurst limit hedges to 4% of the requests, with bursts of up to 10.
	hedgeRatio = 0.04
	hedgeBurst = 10
	// hedgeFactor and minHedgeDelay define when a first token counts as late: after
	// hedgeFactor times the expected wait, but not before minHedgeDelay.
	hedgeFactor   = 2
	minHedgeDelay = 80 * time.Millisecond
	// hedgeRetryInterval is the delay before another hedge is attempted when the last one
	// was not possible, because no upstream was free or the budget was spent.
	hedgeRetryInterval = 40 * time.Millisecond
)

// openResult is a stream with its first event, or the error that prevented it.
type openResult struct {
	stream   *jayengine.Stream
	event    jayengine.Event
	progress *progress
	cancel   context.CancelFunc
	err      error
}

// close closes the stream and cancels its context.
func (o *openResult) close() {
	if o.stream != nil {
		o.stream.Close()
	}
	o.cancel()
}

// open opens a stream from an upstream and waits for its first event.
func (f *Frontend) open(ctx context.Context, c *completion, offset int64, p *progress) *openResult {
	ctx, cancel := context.WithCancel(ctx)
	o := &openResult{progress: p, cancel: cancel}
	g := f.generation(c, offset, p)
	if offset == 0 {
		g.KV = f.prefillRemotely(ctx, g, p)
	}
	o.stream, o.err = f.Engines.Generate(ctx, g, f.Limits.FirstTokenTimeout)
	if o.err == nil {
		o.event, o.err = o.stream.Next()
	}
	if o.err == nil {
		p.reportFirst()
		o.stream.SetBound(f.Limits.TokenTimeout)
	}
	return o
}

// openHedged opens a stream and, if its first token is late and the budget
// allows, a hedge at a second upstream. The first stream with a token is used; the
// other is closed as soon as it has its first token or fails.
func (f *Frontend) openHedged(ctx context.Context, c *completion, state *relayState, first *progress) *openResult {
	results := make(chan *openResult, 2)
	offset := state.nextOffset
	start := func(p *progress) {
		go func() { results <- f.open(ctx, c, offset, p) }()
	}
	start(first)
	pending := 1
	timer := time.NewTimer(hedgeDelay(first.grant))
	defer timer.Stop()
	for {
		select {
		case o := <-results:
			pending--
			if o.err != nil && pending > 0 {
				f.closeFailed(ctx, o)
				continue
			}
			if pending > 0 {
				go func() { f.cancelLoser(ctx, <-results) }()
			}
			return o
		case <-timer.C:
			f.Dispatcher.RecordLateFirstToken(first.grant)
			if second, ok := f.hedge(ctx, c, first.grant); ok {
				pending++
				start(second)
			} else if pending == 1 {
				timer.Reset(hedgeRetryInterval)
			}
		}
	}
}

// hedge acquires a second upstream, if one is free and the budget allows.
func (f *Frontend) hedge(ctx context.Context, c *completion, late jaydispatch.Grant) (*progress, bool) {
	if !f.Hedge || !f.hedgeBudget.Spend() {
		return nil, false
	}
	request := f.dispatchRequest(c, late.Upstream)
	request.NoWait = true
	grant, err := f.Dispatcher.Acquire(ctx, request)
	if err != nil {
		f.hedgeBudget.Return()
		return nil, false
	}
	f.Metrics.Add(jaymetric.Hedges, 1)
	return newProgress(f, grant), true
}

// cancelLoser closes the stream that lost the race, after it has its first token or has
// failed. A failure counts like that of any request. If ctx, the request's context, ended first and
// the upstream runs the prefill itself, the time until then is reported as a lower bound of
// its time to the first token.
func (f *Frontend) cancelLoser(ctx context.Context, o *openResult) {
	if o.err != nil && ctx.Err() == nil {
		f.closeFailed(ctx, o)
		return
	}
	o.close()
	if o.progress.firstAt.IsZero() && !o.progress.remotePrefill {
		f.Dispatcher.RecordNoToken(o.progress.grant, time.Since(o.progress.started))
	}
	o.progress.release(jaydispatch.ResultUnused, true)
}

// closeFailed closes a stream that failed while another is still pending.
func (f *Frontend) closeFailed(ctx context.Context, o *openResult) {
	o.close()
	o.progress.end(ctx, o.err)
}

// hedgeDelay returns the time after which a first token counts as late.
func hedgeDelay(g jaydispatch.Grant) time.Duration {
	return max(minHedgeDelay, hedgeFactor*g.ExpectedFirstToken)
}
