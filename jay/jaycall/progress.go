package jaycall

import (
	"context"
	"time"

	"jayfield.example/jay/jaydispatch"
	"jayfield.example/jay/jayengine"
	"jayfield.example/jay/jayerror"
	"jayfield.example/jay/jaymetric"
)

// progress tracks a stream and reports its timing and result to the dispatcher.
type progress struct {
	frontend *Frontend
	grant    jaydispatch.Grant
	started  time.Time
	firstAt  time.Time
	tokens   int
	// remotePrefill is set when the prefill was assigned to another engine, even if it
	// failed there; the time to the first token is then no measure of this upstream.
	remotePrefill bool
}

func newProgress(f *Frontend, grant jaydispatch.Grant) *progress {
	return &progress{frontend: f, grant: grant, started: time.Now()}
}

// end releases the upstream after the stream ended with err, nil for success.
func (p *progress) end(ctx context.Context, err error) {
	p.release(streamResult(ctx, err), p.remotePrefill || !p.firstAt.IsZero())
}

// release returns the upstream to the dispatcher and reports the result of the stream.
func (p *progress) release(result jaydispatch.Result, prefillDone bool) {
	p.frontend.Metrics.Add(jaymetric.Tokens, int64(p.tokens))
	took := time.Duration(0)
	if p.tokens > 0 {
		took = time.Since(p.firstAt)
	}
	p.frontend.Dispatcher.Release(p.grant, result, prefillDone, p.tokens, took)
}

// reportFirst reports the time to the first token, unless the prefill was remote or the
// stream is resumed, so that its first token was reported before.
func (p *progress) reportFirst() {
	if !p.firstAt.IsZero() {
		return
	}
	p.firstAt = time.Now()
	if p.remotePrefill {
		return
	}
	p.frontend.Dispatcher.RecordFirstToken(p.grant, p.firstAt.Sub(p.started))
}

func streamResult(ctx context.Context, err error) jaydispatch.Result {
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
