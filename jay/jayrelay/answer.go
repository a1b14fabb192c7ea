package jayrelay

import (
	"net/http"
	"time"

	"github.com/pkg/errors"

	"jayfield.example/jay/jayerror"
	"jayfield.example/jay/jaymetric"
)

// statusError is an error with the HTTP status that is returned to the caller.
type statusError struct {
	status int
	// retryAfter is the delay after which the caller may retry, 0 if unknown.
	retryAfter time.Duration
	cause      error
}

// Error returns the message of the cause.
func (e *statusError) Error() string {
	return e.cause.Error()
}

// Unwrap returns the cause.
func (e *statusError) Unwrap() error {
	return e.cause
}

// fail responds with the error. If the response header has already been sent, it
// aborts the connection so that the caller does not take the response for complete.
func (x *exchange) fail(err error) {
	x.logFailure(err)
	x.recordResult(failureKind(err))
	if jayerror.Is(err, KindCallerGone) {
		x.metrics.Add(jaymetric.CallerGone, 1)
		panic(http.ErrAbortHandler)
	}
	if x.headerSent {
		x.metrics.Add(jaymetric.Failed, 1)
		panic(http.ErrAbortHandler)
	}
	var statusErr *statusError
	if !errors.As(err, &statusErr) {
		statusErr = &statusError{status: http.StatusBadGateway, cause: err}
	}
	if jayerror.Is(err, KindNotRun) {
		x.metrics.Add(jaymetric.Refused, 1)
	} else {
		x.metrics.Add(jaymetric.Failed, 1)
	}
	if statusErr.retryAfter > 0 {
		x.dialect.Refusal(x.writer.Header(), statusErr.retryAfter)
	}
	http.Error(x.writer, statusErr.cause.Error(), statusErr.status)
}

// logFailure logs a request that ended without an upstream's response.
func (x *exchange) logFailure(err error) {
	x.log.With(x.placementFields()...).With(x.accountFields()...).With(x.pinFields()...).Info("request not served",
		"request", x.call.ID, "route", x.route.Name, "service", x.service, "policy", x.version,
		"upstreams", x.tried, "runs", x.runs, "sends", x.sends, "first", x.firstEventAfter, "pause", x.longestPause, "took", time.Since(x.began), "left", x.timeLeft(),
		"parts", x.promptParts(), "error", err)
}

// promptParts returns the prompt parts that the request shares with others.
func (x *exchange) promptParts() []string {
	if x.call.Prompt == nil {
		return nil
	}
	return x.call.Prompt.Parts
}

// placementFields returns the log fields for the latest attempt: its upstream and
// what the placement was based on.
func (x *exchange) placementFields() []any {
	if x.choice.Upstream.ID == "" {
		return nil
	}
	if !x.route.Prompt {
		return []any{"upstream", x.choice.Upstream.ID, "wait", x.choice.Wait}
	}
	return []any{
		"upstream", x.choice.Upstream.ID, "wait", x.choice.Wait, "apart", x.choice.Disaggregated, "host", x.decodeUpstream.ID, "cached", x.choice.Cached,
		"fetch", x.choice.Fetch, "reading", x.choice.PrefillTokens, "priority", x.choice.Priority, "read", x.prefilledAfter,
	}
}

// resultServed is the result of a request whose response was sent completely.
const resultServed = "served"

// failureKind returns the kind of an error as the result of its request.
func failureKind(err error) string {
	var failed *Error
	if errors.As(err, &failed) {
		return string(failed.Kind)
	}
	return string(KindUnknownOutcome)
}

// recordResult counts the request by its result and records its duration.
func (x *exchange) recordResult(result string) {
	x.demanded.served = x.demanded.served || result == resultServed
	x.demanded.callerGone = result == string(KindCallerGone)
	route := jaymetric.Label{Name: "route", Value: x.route.Name}
	x.series.Count("requests_total", route, jaymetric.Label{Name: "end", Value: result})
	x.series.Observe("request_seconds", time.Since(x.began), route)
}

// timeLeft returns the time until the deadline, 0 if the deadline is not set yet.
func (x *exchange) timeLeft() time.Duration {
	if x.deadline.IsZero() {
		return 0
	}
	return time.Until(x.deadline)
}

// invalidRequest returns the error for a request that is rejected without being sent
// to an upstream.
func (x *exchange) invalidRequest(status int, cause error) error {
	return jayerror.Wrap("admit", KindInvalidRequest, &statusError{status: status, cause: cause})
}

// refusal returns the error for a request that did not run and will not run.
func (x *exchange) refusal(retryAfter time.Duration, reason string) error {
	return jayerror.Wrap("refuse", KindNotRun, &statusError{status: http.StatusServiceUnavailable, retryAfter: retryAfter, cause: errors.New(reason)})
}

// unknownOutcome returns the error for a request that may have run.
func (x *exchange) unknownOutcome(cause error) error {
	return jayerror.Wrap("relay", KindUnknownOutcome, &statusError{status: http.StatusBadGateway, cause: cause})
}

// timedOut returns the error for a request whose deadline passed. It may have run.
func (x *exchange) timedOut(cause error) error {
	return jayerror.Wrap("relay", KindTimeout, &statusError{status: http.StatusGatewayTimeout, cause: cause})
}
