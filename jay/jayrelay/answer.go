package jayrelay

import (
	"net/http"
	"time"

	"github.com/pkg/errors"

	"jayfield.example/jay/jayerror"
	"jayfield.example/jay/jaymetric"
)

// answerError is a failure with the answer that the caller gets for it.
type answerError struct {
	status int
	// after is when the caller may come back, 0 where that is not known.
	after time.Duration
	cause error
}

// Error returns the cause.
func (e *answerError) Error() string {
	return e.cause.Error()
}

// Unwrap returns the cause.
func (e *answerError) Unwrap() error {
	return e.cause
}

// fail answers with the failure. Where the header is out already the
// connection is cut, so that the answer does not look complete.
func (x *exchange) fail(err error) {
	x.logFailure(err)
	x.measure(kindOf(err))
	if jayerror.Is(err, KindGone) {
		x.metrics.Add(jaymetric.CallerGone, 1)
		panic(http.ErrAbortHandler)
	}
	if x.headed {
		x.metrics.Add(jaymetric.Failed, 1)
		panic(http.ErrAbortHandler)
	}
	var answer *answerError
	if !errors.As(err, &answer) {
		answer = &answerError{status: http.StatusBadGateway, cause: err}
	}
	if jayerror.Is(err, KindNotRun) {
		x.metrics.Add(jaymetric.Refused, 1)
	} else {
		x.metrics.Add(jaymetric.Failed, 1)
	}
	if answer.after > 0 {
		x.dialect.Refusal(x.writer.Header(), answer.after)
	}
	http.Error(x.writer, answer.cause.Error(), answer.status)
}

// logFailure writes the line of a request that got no upstream's answer.
func (x *exchange) logFailure(err error) {
	x.log.With(x.placed()...).Info("request not served",
		"request", x.call.ID, "route", x.route.Name, "service", x.service, "policy", x.version,
		"upstreams", x.tried, "runs", x.runs, "sends", x.sends, "took", time.Since(x.began), "left", x.left(), "error", err)
}

// placed returns the fields of a log line that say where the newest attempt was placed, and why.
func (x *exchange) placed() []any {
	if x.choice.Upstream.ID == "" {
		return nil
	}
	if !x.route.Prompt {
		return []any{"upstream", x.choice.Upstream.ID, "wait", x.choice.Wait}
	}
	return []any{
		"upstream", x.choice.Upstream.ID, "wait", x.choice.Wait, "apart", x.choice.Apart, "host", x.host.ID, "cached", x.choice.Cached,
		"fetch", x.choice.Fetch, "reading", x.choice.Reading, "priority", x.choice.Priority, "read", x.readIn,
	}
}

// endServed is the end of a request whose answer the caller has whole.
const endServed = "served"

// kindOf returns the kind of a failure as the end of its request.
func kindOf(err error) string {
	var failed *Error
	if errors.As(err, &failed) {
		return string(failed.Kind)
	}
	return string(KindUnknown)
}

// measure counts the request by its end.
func (x *exchange) measure(end string) {
	route := jaymetric.Label{Name: "route", Value: x.route.Name}
	x.series.Count("requests_total", route, jaymetric.Label{Name: "end", Value: end})
	x.series.Observe("request_seconds", time.Since(x.began), route)
}

// left returns the time that the caller still waits, 0 before it is known.
func (x *exchange) left() time.Duration {
	if x.deadline.IsZero() {
		return 0
	}
	return time.Until(x.deadline)
}

// malformed returns the failure of a request that no upstream gets.
func (x *exchange) malformed(status int, cause error) error {
	return jayerror.Wrap("admit", KindRequest, &answerError{status: status, cause: cause})
}

// refusal returns the failure of a request that did not run and will not.
func (x *exchange) refusal(status int, after time.Duration, reason string) error {
	return jayerror.Wrap("refuse", KindNotRun, &answerError{status: status, after: after, cause: errors.New(reason)})
}

// unknown returns the failure of a request that may have run.
func (x *exchange) unknown(cause error) error {
	return jayerror.Wrap("relay", KindUnknown, &answerError{status: http.StatusBadGateway, cause: cause})
}

// overdue returns the failure of a request whose time ended after it was sent.
func (x *exchange) overdue(cause error) error {
	return jayerror.Wrap("relay", KindTime, &answerError{status: http.StatusGatewayTimeout, cause: cause})
}
