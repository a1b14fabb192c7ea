package jayrelay

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"jayfield.example/jay/jaymetric"
	"jayfield.example/jay/jayplace"
	"jayfield.example/jay/jaysink"
)

// maxAnswer bounds a plain answer in bytes; it is held until it is whole.
const maxAnswer = 16 << 20

// servePlain serves a request whose answer is passed on as a whole.
func (x *exchange) servePlain(ctx context.Context) {
	x.budget.Earn(x.service)
	for {
		choice, err := x.placer.Choose(ctx, x.work())
		if err != nil {
			x.fail(x.giveUp(err))
			return
		}
		x.choice = choice
		answer, f := x.send(ctx, choice.Upstream, Send{Priority: -1, After: x.call.After})
		var body []byte
		if f == nil {
			body, f = x.whole(ctx, answer)
		}
		if f == nil {
			x.pass(answer, body)
			x.log.Log(ctx, jaysink.LevelRoutine, "request served", jaysink.KeyRequest, x.call.ID, "route", x.route.Name,
				"service", x.service, "policy", x.version, "upstream", choice.Upstream.ID, "status", answer.Status,
				"wait", choice.Wait, "sends", x.sends, "took", time.Since(x.began))
			return
		}
		if err := x.again(ctx, f); err != nil {
			x.fail(err)
			return
		}
	}
}

// whole reads the whole answer. An error answer of work that may be repeated
// is a failure as long as there is time and budget to ask another upstream.
func (x *exchange) whole(ctx context.Context, a *sent) ([]byte, *failure) {
	body, err := io.ReadAll(io.LimitReader(a.Body, maxAnswer+1))
	if err == nil && len(body) > maxAnswer {
		err = errors.Errorf("answer is larger than %d bytes", maxAnswer)
	}
	if err != nil {
		a.Close()
		f := x.broken(ctx, err)
		x.end(a, f.outcome)
		return nil, f
	}
	a.Complete()
	if a.Status < http.StatusInternalServerError {
		x.end(a, jayplace.OutcomeServed)
		return body, nil
	}
	x.end(a, jayplace.OutcomeFailed)
	if x.route.Repeatable() && x.runs+1 < x.route.Attempts && x.sends < maxSends && time.Until(x.deadline) > x.route.Timeout/4 {
		return nil, &failure{cause: errors.Errorf("upstream failed with %d", a.Status), ran: true, outcome: jayplace.OutcomeFailed}
	}
	return body, nil
}

// pass gives the caller an upstream's whole answer.
func (x *exchange) pass(a *sent, body []byte) {
	copyHeader(x.writer.Header(), a.Header)
	x.writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	x.headed = true
	x.writer.WriteHeader(a.Status)
	if x.request.Method != http.MethodHead {
		_, _ = x.writer.Write(body) // A caller that left is seen by the server.
	}
	x.metrics.Add(jaymetric.Completed, 1)
	x.measure(endServed)
}
