package jayrelay

import (
	"time"

	"jayfield.example/jay/jayplace"
	"jayfield.example/jay/jaytraffic"
)

// recordBegun counts the request for its account, once even if it runs on several upstreams.
func (x *exchange) recordBegun(at time.Time) {
	if x.begun || x.usage == nil || x.identity.account.Name == "" {
		return
	}
	x.begun = true
	x.usage.Begun(x.identity.account.Name, at)
}

// recordPlainBegun counts a request that is not a stream. Streams count at their first event, so that
// prefill-only sends do not count.
func (x *exchange) recordPlainBegun(at time.Time) {
	if x.route.Kind != jaytraffic.KindStream {
		x.recordBegun(at)
	}
}

// demand is what has been recorded of the demand of a request.
type demand struct {
	// scaled is set if engines of the service may be ordered.
	scaled bool
	// admitted is set once the demand has been recorded, queued holds the prompt tokens until they are prefilled.
	admitted bool
	queued   int
	// late is set if the first event missed the latency objective.
	late               bool
	served, callerGone bool
}

// isScaled reports whether the demand of the request is recorded: it is a prompt for a service whose
// engines may be ordered.
func (x *exchange) isScaled(policy *jaytraffic.Policy) bool {
	service, ok := policy.Service(x.service)
	return ok && service.Scaling != nil && x.demand != nil && x.route.Prompt && x.call.Prompt != nil
}

// admitDemand records the demand of a prompt at its first placement. A prompt that is not placed counts
// with its own tokens, since its shared prefix is likely to be cached.
func (x *exchange) admitDemand(w jayplace.Work, choice jayplace.Choice, placed bool) {
	if !x.demanded.scaled || x.demanded.admitted {
		return
	}
	x.demanded.admitted, x.demanded.queued = true, w.OwnTokens
	if placed {
		x.demanded.queued = choice.PrefillTokens
	}
	x.demand.Admit(x.service, x.demanded.queued, w.ExpectedOutputTokens)
	x.demand.UsePrefix(x.service, w.Prefix, w.PrefixTokens)
}

// recordPrefilled records that the prompt has been prefilled.
func (x *exchange) recordPrefilled(after time.Duration) {
	if !x.demanded.admitted {
		return
	}
	x.demanded.late = x.route.Target > 0 && after > x.route.Target
	x.endQueue()
}

// endQueue records that the prompt tokens of the request are no longer queued.
func (x *exchange) endQueue() {
	x.demand.Prefilled(x.service, x.demanded.queued)
	x.demanded.queued = 0
}

// endDemand records the end of the request. A request whose caller has gone away missed nothing.
func (x *exchange) endDemand() {
	if !x.demanded.admitted {
		return
	}
	x.endQueue()
	d := x.demanded
	x.demand.End(x.service, d.late || !d.served && !d.callerGone)
}
