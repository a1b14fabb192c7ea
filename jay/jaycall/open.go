package jaycall

import (
	"context"
	"time"

	"jayfield.example/jay/jaydispatch"
	"jayfield.example/jay/jayengine"
	"jayfield.example/jay/jaymetric"
)

const (
	// hedgeRatio and hedgeBurst bound hedges: a part of the requests.
	hedgeRatio = 0.04
	hedgeBurst = 10
	// hedgeFactor and hedgeLeast say when a first token is late: after several
	// times the expected wait, but not before the least.
	hedgeFactor = 2
	hedgeLeast  = 80 * time.Millisecond
	// hedgeAgain is when a late first token is looked at again after no upstream was free for a hedge.
	hedgeAgain = 40 * time.Millisecond
)

// opened is a stream with its first event, or the error instead.
type opened struct {
	stream   *jayengine.Stream
	event    jayengine.Event
	progress *progress
	cancel   context.CancelFunc
	err      error
}

// close ends the stream and what belongs to it.
func (o *opened) close() {
	if o.stream != nil {
		o.stream.Close()
	}
	o.cancel()
}

// open opens a stream of an upstream and waits for its first event.
func (f *Front) open(ctx context.Context, c *completion, offset int64, p *progress) *opened {
	ctx, cancel := context.WithCancel(ctx)
	o := &opened{progress: p, cancel: cancel}
	g := f.generation(c, offset, p)
	if offset == 0 {
		g.KV = f.readApart(ctx, g, p)
	}
	o.stream, o.err = f.Engines.Generate(ctx, g, f.Limits.First)
	if o.err == nil {
		o.event, o.err = o.stream.Next()
	}
	if o.err == nil {
		p.first()
		o.stream.SetBound(f.Limits.Interval)
	}
	return o
}

// race opens a stream and, where its first token is late and the budget
// allows, another at a second upstream. The first to give a token wins; the
// other is cancelled.
func (f *Front) race(ctx context.Context, c *completion, state *relayState, first *progress) *opened {
	results := make(chan *opened, 2)
	offset := state.next
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
				f.giveUp(ctx, o)
				continue
			}
			if pending > 0 {
				go func() { f.lose(<-results) }()
			}
			return o
		case <-timer.C:
			f.Dispatcher.Late(first.grant)
			if second, ok := f.hedge(ctx, c, first.grant); ok {
				pending++
				start(second)
			} else if pending == 1 {
				timer.Reset(hedgeAgain)
			}
		}
	}
}

// hedge assigns a second upstream, if one is free and the budget allows.
func (f *Front) hedge(ctx context.Context, c *completion, late jaydispatch.Grant) (*progress, bool) {
	if !f.Hedge || !f.hedges.Spend() {
		return nil, false
	}
	request := f.requestOf(c, late.Upstream)
	request.Now = true
	grant, err := f.Dispatcher.Acquire(ctx, request)
	if err != nil {
		f.hedges.Return()
		return nil, false
	}
	f.Metrics.Add(jaymetric.Hedges, 1)
	return newProgress(f, grant), true
}

// lose cancels the stream that gave its first token too late, and tells the
// dispatcher how late it was.
func (f *Front) lose(o *opened) {
	o.close()
	if o.progress.begun.IsZero() && !o.progress.apart {
		f.Dispatcher.First(o.progress.grant, time.Since(o.progress.started))
	}
	o.progress.finish(jaydispatch.ResultUnused, true)
}

// giveUp ends a stream that failed while another goes on.
func (f *Front) giveUp(ctx context.Context, o *opened) {
	o.close()
	o.progress.end(ctx, o.err)
}

// hedgeDelay returns when a first token counts as late.
func hedgeDelay(g jaydispatch.Grant) time.Duration {
	return max(hedgeLeast, hedgeFactor*g.Expected)
}
