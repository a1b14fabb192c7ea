package jayrelay

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"jayfield.example/jay/jayerror"
	"jayfield.example/jay/jayfleet"
	"jayfield.example/jay/jaylink"
	"jayfield.example/jay/jaymetric"
	"jayfield.example/jay/jayplace"
	"jayfield.example/jay/jayresponse"
)

const (
	// maxSends limits the sends of one request, whether or not they ran.
	maxSends = 4
	// onceMaxIdle is the longest idle time of a reused connection for a request that must
	// not run again: an upstream may close an idle connection just as the request arrives.
	onceMaxIdle    = 3 * time.Second
	defaultMaxIdle = time.Hour
	// refusedRetryAfter is the retry delay returned when no upstream accepted the request.
	refusedRetryAfter = 300 * time.Millisecond
)

// upstreamResponse is an upstream's response with its parsed metadata.
type upstreamResponse struct {
	*jaylink.Response
	reply    Reply
	upstream jayfleet.Upstream
	sentAt   time.Time
}

// failure describes a failed send and its consequences for the request.
type failure struct {
	cause error
	// ran is set if the request may have run.
	ran bool
	// noUpstream is set if no upstream accepts the request; nothing was sent.
	noUpstream bool
	// response and body are the upstream's own error, which the caller gets if no other upstream
	// is tried; nil if there is none.
	response *upstreamResponse
	body     body
	outcome  jayplace.Outcome
}

// sent reports whether anything of the request may have reached the upstream.
func (f *failure) sent() bool {
	return f.outcome != jayplace.OutcomeUnreachable && f.outcome != jayplace.OutcomeWithdrawn
}

// send sends the request to an upstream. It returns the response if checkResponse
// accepts it, or the failure.
func (x *exchange) send(ctx context.Context, to jayfleet.Upstream, s Send) (*upstreamResponse, *failure) {
	s.Upstream, s.TimeLeft = to.ID, time.Until(x.deadline)
	s.Accounts, s.Account = x.identity.required, x.identity.account.Name
	maxIdle := defaultMaxIdle
	if !x.route.Repeatable() {
		maxIdle = onceMaxIdle
	}
	request := &jaylink.Request{
		Method: x.request.Method, Target: x.request.RequestURI, Host: x.request.Host, Body: x.body, MaxIdle: maxIdle,
		Header: x.dialect.Request(endToEndHeaders(x.request.Header), x.call, s),
		Matches: func(status int, header http.Header) bool {
			id := x.dialect.ParseReply(status, header).ID
			// Refusals and responses to prefill-only requests may have no request ID.
			return id == x.call.ID || id == "" && (s.PrefillOnly || status >= http.StatusMultipleChoices)
		},
		Allowed: func() bool { return x.placer.TakesWork(to.ID) },
	}
	x.sends++
	x.anySent.Store(true)
	x.heldBack.reset()
	x.avoid[to.ID] = true
	x.tried = append(x.tried, to.ID)
	sentAt := time.Now()
	x.placer.Start(to.ID)
	x.endPlacement()
	response, err := x.links.Exchange(ctx, to.Address, request)
	if err != nil {
		f := x.exchangeFailure(ctx, err)
		x.countInvalid(to.ID, err)
		if f.outcome == jayplace.OutcomeWithdrawn {
			x.sends--
		}
		if !jayerror.Is(err, jaylink.KindConnect) && !jayerror.Is(err, jaylink.KindWithdrawn) {
			// The upstream may have got the request just before the response was lost.
			x.recordPlainBegun(sentAt)
		}
		x.recordSend(to, f.outcome, time.Since(sentAt))
		return nil, f
	}
	resp := &upstreamResponse{Response: response, reply: x.dialect.ParseReply(response.Status, response.Header), upstream: to, sentAt: sentAt}
	if resp.reply.Load != nil {
		x.placer.RecordLoad(to.ID, *resp.reply.Load)
	}
	x.recordStatement(to, resp.reply)
	if f := checkResponse(resp, s.PrefillOnly); f != nil {
		f = x.confirmRefusal(ctx, resp, f)
		response.Close()
		x.recordResponse(resp, f.outcome)
		if f.ran {
			x.recordPlainBegun(sentAt)
		}
		return nil, f
	}
	x.recordPlainBegun(sentAt.Add(time.Since(sentAt) / 2))
	return resp, nil
}

// confirmRefusal returns the failure for a response that checkResponse rejects. A rejection of a request that did not run
// is accepted only if the response is complete; otherwise the request may have run.
func (x *exchange) confirmRefusal(ctx context.Context, resp *upstreamResponse, refused *failure) *failure {
	if refused.ran {
		return refused
	}
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxResponseBytes+1))
	if err == nil && n > maxResponseBytes {
		err = errors.Errorf("refusal is larger than %d bytes", maxResponseBytes)
	}
	if err == nil {
		return refused
	}
	x.countInvalid(resp.upstream.ID, err)
	return x.exchangeFailure(ctx, err)
}

// recordStatement reports what an upstream states about itself in an answer to the placer.
func (x *exchange) recordStatement(u jayfleet.Upstream, reply Reply) {
	if reply.Leaving {
		x.series.Count("upstream_leaving_answers_total", jaymetric.Label{Name: "upstream", Value: u.ID})
	}
	if reply.Busy {
		x.series.Count("upstream_busy_answers_total", jaymetric.Label{Name: "upstream", Value: u.ID})
	}
	if reply.Leaving || reply.Busy {
		x.placer.RecordStatement(u, x.call.ID, reply)
	}
}

// exchangeFailure returns the failure for an exchange that got no complete response.
func (x *exchange) exchangeFailure(ctx context.Context, err error) *failure {
	unsent := jayerror.Is(err, jaylink.KindConnect) || jayerror.Is(err, jaylink.KindWithdrawn)
	f := &failure{cause: err, ran: !unsent, outcome: jayplace.OutcomeBroken}
	switch {
	case x.request.Context().Err() != nil:
		f.cause, f.outcome = jayerror.Wrap("send", KindCallerGone, err), jayplace.OutcomeCallerGone
	case x.ended.Load() || errors.Is(err, errNoMemory):
		f.outcome = jayplace.OutcomeEnded
	case jayerror.Is(err, jaylink.KindConnect):
		f.outcome = jayplace.OutcomeUnreachable
	case jayerror.Is(err, jaylink.KindWithdrawn):
		f.outcome = jayplace.OutcomeWithdrawn
	case ctx.Err() != nil:
		f.outcome = jayplace.OutcomeTimeout
	}
	x.attributeEnd(f)
	return f
}

// countInvalid counts a response of an upstream that could not be used since it is invalid.
func (r *Relay) countInvalid(upstream string, err error) {
	var invalid *jayresponse.Error
	if errors.As(err, &invalid) {
		r.series.Count("invalid_responses_total", jaymetric.Label{Name: "upstream", Value: upstream}, jaymetric.Label{Name: "kind", Value: string(invalid.Kind)})
	}
}

// checkResponse returns nil for a response that may be forwarded or, for a
// prefill-only request, used.
func checkResponse(resp *upstreamResponse, prefillOnly bool) *failure {
	switch {
	case resp.reply.Moved:
		return &failure{cause: errors.New("another upstream has the address"), outcome: jayplace.OutcomeMoved}
	case resp.reply.NotRun:
		return &failure{cause: errors.Errorf("upstream refused the request with %d", resp.Status), outcome: jayplace.OutcomeRefused}
	case !prefillOnly && (resp.reply.Encoded || !resp.reply.Signed):
		return &failure{cause: errors.Errorf("answer with status %d is not the upstream's own", resp.Status), ran: true, outcome: jayplace.OutcomeBroken}
	}
	return nil
}

// recordResponse records the outcome of a send that got a response.
func (x *exchange) recordResponse(resp *upstreamResponse, outcome jayplace.Outcome) {
	x.recordSend(resp.upstream, outcome, time.Since(resp.sentAt))
}

// recordSend reports the outcome of a send to the placer and counts it.
func (x *exchange) recordSend(to jayfleet.Upstream, outcome jayplace.Outcome, took time.Duration) {
	x.placer.End(to.ID, outcome, took, x.route.Prompt)
	x.series.Count("sends_total", jaymetric.Label{Name: "upstream", Value: to.ID}, jaymetric.Label{Name: "outcome", Value: string(outcome)})
}

// checkRetry decides what follows a failed send. It returns nil if the request is to
// be retried, else the error for the caller.
func (x *exchange) checkRetry(ctx context.Context, f *failure) error {
	if err := x.recordRun(f); err != nil {
		return err
	}
	switch {
	case f.noUpstream && (x.runs == 0 || ctx.Err() == nil):
		return x.giveUp(f.cause)
	case ctx.Err() != nil:
		return x.timedOut(timeoutCause(ctx, f.cause))
	case f.ran && !x.route.Repeatable():
		return x.unknownOutcome(f.cause)
	case x.exhausted():
	case !f.sent() || x.budget.Spend(x.service):
		x.logRetry(f)
		x.discardResponseBody()
		return nil
	}
	return x.giveUp(f.cause)
}

// recordRun counts a send that may have run. It returns an error if the caller is gone or the request was ended.
func (x *exchange) recordRun(f *failure) error {
	if jayerror.Is(f.cause, KindCallerGone) || jayerror.Is(f.cause, KindEnded) {
		return f.cause
	}
	if f.ran {
		x.runs++
	}
	if x.ended.Load() {
		return x.giveUp(errEnded)
	}
	return nil
}

// exhausted reports whether the request has had all of its runs or sends.
func (x *exchange) exhausted() bool {
	return x.runs >= max(1, x.route.Attempts) || x.sends >= maxSends
}

// giveUp returns the error for a request that is not retried.
func (x *exchange) giveUp(cause error) error {
	if x.runs > 0 {
		return x.unknownOutcome(cause)
	}
	retryAfter := refusedRetryAfter
	var rejection interface{ RetryAfter() time.Duration }
	if errors.As(cause, &rejection) && rejection.RetryAfter() > 0 {
		retryAfter = rejection.RetryAfter()
	}
	if err := x.refusedByAdmission(cause, retryAfter); err != nil {
		return err
	}
	return x.refusal(retryAfter, cause.Error())
}

// logRetry logs a request that is retried.
func (x *exchange) logRetry(f *failure) {
	x.log.Info("request sent again", "request", x.call.ID, "route", x.route.Name, "service", x.service,
		"upstreams", x.tried, "ran", f.ran, "outcome", f.outcome, "sends", x.sends, "left", time.Until(x.deadline),
		"parts", x.promptParts(), "error", f.cause)
}
