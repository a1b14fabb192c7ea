package jayrelay

import (
	"context"
	"strings"
	"time"

	"github.com/pkg/errors"

	"jayfield.example/jay/jaystop"
)

// errStopped is the cause of the end of requests that are still in progress at the end of a planned
// stop.
var errStopped = errors.New("the instance has stopped")

// timeoutCause returns why a request whose context has ended failed: the stop of the instance or, if that is
// not the reason, the cause that its send states.
func timeoutCause(ctx context.Context, cause error) error {
	if errors.Is(context.Cause(ctx), errStopped) {
		return errStopped
	}
	return cause
}

// BeginStop applies the plan of a planned stop to the requests in progress and to later ones. The
// timer that it returns ends those in progress at the deadline of the plan.
func (r *Relay) BeginStop(plan jaystop.Plan) *time.Timer {
	r.stop.Store(&plan)
	return time.AfterFunc(time.Until(plan.Deadline()), r.endAll)
}

// admitDuringStop returns a refusal for a request that the instance, which is stopping, does not take.
func (x *exchange) admitDuringStop(now time.Time) error {
	plan := x.stop.Load()
	if plan == nil {
		return nil
	}
	others := x.others()
	if plan.Admits(now, jaystop.Request{Deadline: x.deadline, Repeatable: x.route.Repeatable()}, len(others) > 0) {
		return nil
	}
	return x.refusalDuringStop(now, others)
}

// refusalDuringStop returns the refusal of a request by an instance that is stopping.
func (x *exchange) refusalDuringStop(now time.Time, others []string) error {
	plan := x.stop.Load()
	if plan == nil {
		return x.refusal(refusedRetryAfter, "the instance is leaving")
	}
	reason := "the instance is leaving and no other one takes requests"
	if len(others) > 0 {
		reason = "the instance is leaving; these take requests: " + strings.Join(others, ", ")
	}
	return x.refusal(plan.RetryAfter(now, len(others) > 0), reason)
}
