package jayrelay

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"jayfield.example/jay/jayerror"
	"jayfield.example/jay/jayfleet"
	"jayfield.example/jay/jaylink"
	"jayfield.example/jay/jaymetric"
	"jayfield.example/jay/jayplace"
)

const (
	// maxSends bounds the sends of one request, whether they ran or not.
	maxSends = 4
	// onceRest is the longest rest of a kept connection that carries work that may not be
	// repeated: an upstream may close a resting connection as the request arrives.
	onceRest = 3 * time.Second
	anyRest  = time.Hour
	// refusedPause is when to come back after upstreams had no room.
	refusedPause = 300 * time.Millisecond
)

// sent is an answer of an upstream with what it says of itself.
type sent struct {
	*jaylink.Response
	reply    Reply
	upstream jayfleet.Upstream
	at       time.Time
}

// failure says what a failed send means for the request.
type failure struct {
	cause error
	// ran is set where the request may have run.
	ran bool
	// nowhere is set where no upstream takes the request; nothing was sent.
	nowhere bool
	outcome jayplace.Outcome
}

// send sends the request to an upstream. It returns an answer that is the
// upstream's own, or what the failed send means.
func (x *exchange) send(ctx context.Context, to jayfleet.Upstream, s Send) (*sent, *failure) {
	s.Upstream, s.Left = to.ID, time.Until(x.deadline)
	rest := anyRest
	if !x.route.Repeatable() {
		rest = onceRest
	}
	request := &jaylink.Request{
		Method: x.request.Method, Target: x.request.RequestURI, Host: x.request.Host, Body: x.body, Rest: rest,
		Header: x.dialect.Request(endToEnd(x.request.Header), x.call, s),
		Own: func(status int, header http.Header) bool {
			id := x.dialect.Reply(status, header).ID
			// Refusals and the answers of engines that only read a prompt may name no request.
			return id == x.call.ID || id == "" && (s.ReadOnly || status >= http.StatusMultipleChoices)
		},
	}
	x.sends++
	x.avoid[to.ID] = true
	x.tried = append(x.tried, to.ID)
	at := time.Now()
	x.placer.Start(to.ID)
	response, err := x.links.Exchange(ctx, to.Address, request)
	if err != nil {
		f := x.broken(ctx, err)
		x.ended(to, f.outcome, time.Since(at))
		return nil, f
	}
	answer := &sent{Response: response, reply: x.dialect.Reply(response.Status, response.Header), upstream: to, at: at}
	if answer.reply.Load != nil {
		x.placer.Heard(to.ID, *answer.reply.Load)
	}
	if f := judge(answer, s.ReadOnly); f != nil {
		response.Close()
		x.end(answer, f.outcome)
		return nil, f
	}
	return answer, nil
}

// broken says what an exchange without an answer means.
func (x *exchange) broken(ctx context.Context, err error) *failure {
	f := &failure{cause: err, ran: true, outcome: jayplace.OutcomeBroken}
	switch {
	case x.request.Context().Err() != nil:
		f.cause, f.outcome = jayerror.Wrap("send", KindGone, err), jayplace.OutcomeGone
	case jayerror.Is(err, jaylink.KindConnect):
		f.ran, f.outcome = false, jayplace.OutcomeUnreachable
	case ctx.Err() != nil:
		f.outcome = jayplace.OutcomeSilent
	}
	return f
}

// judge returns nil for an answer that may be passed on, or used where the
// prompt was only read.
func judge(a *sent, readOnly bool) *failure {
	switch {
	case a.reply.Moved:
		return &failure{cause: errors.New("another upstream has the address"), outcome: jayplace.OutcomeMoved}
	case a.reply.NotRun:
		return &failure{cause: errors.Errorf("upstream refused the request with %d", a.Status), outcome: jayplace.OutcomeRefused}
	case !readOnly && (a.reply.Encoded || !a.reply.Signed):
		return &failure{cause: errors.Errorf("answer with status %d is not the upstream's own", a.Status), ran: true, outcome: jayplace.OutcomeBroken}
	}
	return nil
}

// end tells the placer how the request ended at its upstream.
func (x *exchange) end(a *sent, outcome jayplace.Outcome) {
	x.ended(a.upstream, outcome, time.Since(a.at))
}

// ended tells the placer how a send ended and counts it.
func (x *exchange) ended(to jayfleet.Upstream, outcome jayplace.Outcome, took time.Duration) {
	x.placer.End(to.ID, outcome, took, x.route.Prompt)
	x.series.Count("sends_total", jaymetric.Label{Name: "upstream", Value: to.ID}, jaymetric.Label{Name: "outcome", Value: string(outcome)})
}

// again decides what follows a failed send: nil where the request is sent
// once more, else the failure that the caller gets.
func (x *exchange) again(ctx context.Context, f *failure) error {
	if jayerror.Is(f.cause, KindGone) {
		return f.cause
	}
	if f.ran {
		x.runs++
	}
	switch {
	case ctx.Err() != nil:
		return x.overdue(f.cause)
	case f.nowhere:
		return x.giveUp(f.cause)
	case f.ran && !x.route.Repeatable():
		return x.unknown(f.cause)
	case x.runs >= max(1, x.route.Attempts) || x.sends >= maxSends:
	case f.outcome == jayplace.OutcomeUnreachable || x.budget.Spend(x.service):
		x.logAgain(f)
		return nil
	}
	return x.giveUp(f.cause)
}

// giveUp returns the failure of a request that is not sent again.
func (x *exchange) giveUp(cause error) error {
	if x.runs > 0 {
		return x.unknown(cause)
	}
	return x.refusal(http.StatusServiceUnavailable, refusedPause, cause.Error())
}

// logAgain writes the line of a request that is sent once more.
func (x *exchange) logAgain(f *failure) {
	x.log.Info("request sent again", "request", x.call.ID, "route", x.route.Name, "service", x.service,
		"upstreams", x.tried, "ran", f.ran, "outcome", f.outcome, "sends", x.sends, "left", time.Until(x.deadline), "error", f.cause)
}
