package jaycall

import (
	"context"
	"time"

	"jayfield.example/jay/jaydispatch"
	"jayfield.example/jay/jayengine"
	"jayfield.example/jay/jaymetric"
)

// generation returns the generation request for an engine.
func (f *Frontend) generation(c *completion, offset int64, p *progress) jayengine.Generation {
	return jayengine.Generation{
		Address:  p.grant.Address,
		Path:     c.URL.Path,
		Request:  c.position.request,
		Offset:   offset,
		Priority: string(c.route.Priority),
		Body:     c.body,
	}
}

// prefillRemotely runs the prefill on another engine, if that is expected to finish
// earlier, and returns the address from which the decoding engine fetches the KV cache.
// It returns "" if the decoding engine runs the prefill itself, also after a failure.
func (f *Frontend) prefillRemotely(ctx context.Context, g jayengine.Generation, p *progress) string {
	grant, ok := f.Dispatcher.AcquirePrefill(ctx, p.grant)
	if !ok {
		return ""
	}
	p.remotePrefill = true
	prefill := newProgress(f, grant)
	ctx, cancel := context.WithTimeout(ctx, f.Limits.FirstTokenTimeout)
	defer cancel()
	g.Address = grant.Address
	if err := f.Engines.Prefill(ctx, g); err != nil {
		f.Metrics.Add(jaymetric.PrefillsFailed, 1)
		f.Log.Info("remote prefill failed; prefilling locally", "request", g.Request, "upstream", grant.Upstream, "error", err)
		prefill.end(ctx, err)
		return ""
	}
	f.Metrics.Add(jaymetric.Prefills, 1)
	f.Dispatcher.RecordFirstToken(grant, time.Since(prefill.started))
	prefill.release(jaydispatch.ResultUnused, true)
	return grant.Address
}
