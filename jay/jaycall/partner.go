package jaycall

import (
	"context"
	"time"

	"jayfield.example/jay/jaydispatch"
	"jayfield.example/jay/jayengine"
	"jayfield.example/jay/jaymetric"
)

// generation returns what an engine is asked for.
func (f *Front) generation(c *completion, offset int64, p *progress) jayengine.Generation {
	return jayengine.Generation{
		Address:  p.grant.Address,
		Path:     c.URL.Path,
		Request:  c.from.request,
		Offset:   offset,
		Priority: string(c.route.Priority),
		Body:     c.body,
	}
}

// readApart has another engine read the prompt, where that is expected to be
// earlier, and returns the address from which the host takes the KV cache. It
// returns "" where the host reads the prompt itself, also after a failure.
func (f *Front) readApart(ctx context.Context, g jayengine.Generation, p *progress) string {
	partner, ok := f.Dispatcher.Partner(ctx, p.grant)
	if !ok {
		return ""
	}
	p.apart = true
	own := newProgress(f, partner)
	ctx, cancel := context.WithTimeout(ctx, f.Limits.First)
	defer cancel()
	g.Address = partner.Address
	if err := f.Engines.Prefill(ctx, g); err != nil {
		f.Metrics.Add(jaymetric.PrefillsFailed, 1)
		f.Log.Info("prompt not read apart", "request", g.Request, "upstream", partner.Upstream, "error", err)
		own.end(ctx, err)
		return ""
	}
	f.Metrics.Add(jaymetric.Prefills, 1)
	f.Dispatcher.First(partner, time.Since(own.started))
	own.finish(jaydispatch.ResultUnused, true)
	return partner.Address
}
