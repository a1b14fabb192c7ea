package jaycall

import (
	"context"
	"time"

	"jayfield.example/jay/jaydispatch"
	"jayfield.example/jay/jayengine"
	"jayfield.example/jay/jayerror"
	"jayfield.example/jay/jaymetric"
)

// progress reports what a stream observes to the dispatcher.
type progress struct {
	front   *Front
	grant   jaydispatch.Grant
	started time.Time
	begun   time.Time
	tokens  int
	// apart is set when another engine read the prompt, so that the time to
	// the first token says nothing of this one.
	apart bool
}

func newProgress(f *Front, grant jaydispatch.Grant) *progress {
	return &progress{front: f, grant: grant, started: time.Now()}
}

// end releases the upstream after a stream that ended with err.
func (p *progress) end(ctx context.Context, err error) {
	p.finish(endResult(ctx, err), p.apart || !p.begun.IsZero())
}

// finish releases the upstream.
func (p *progress) finish(result jaydispatch.Result, first bool) {
	p.front.Metrics.Add(jaymetric.Tokens, int64(p.tokens))
	took := time.Duration(0)
	if p.tokens > 0 {
		took = time.Since(p.begun)
	}
	p.front.Dispatcher.Release(p.grant, result, first, p.tokens, took)
}

// first reports the first token; a stream that is resumed has had it already.
func (p *progress) first() {
	if !p.begun.IsZero() {
		return
	}
	p.begun = time.Now()
	if p.apart {
		return
	}
	p.front.Dispatcher.First(p.grant, p.begun.Sub(p.started))
}

func endResult(ctx context.Context, err error) jaydispatch.Result {
	switch {
	case err == nil:
		return jaydispatch.ResultDone
	case ctx.Err() != nil:
		return jaydispatch.ResultUnused
	case jayerror.Is(err, jayengine.KindLeaving):
		return jaydispatch.ResultLeaving
	case retryable(err):
		return jaydispatch.ResultFailed
	default:
		return jaydispatch.ResultUnused
	}
}
