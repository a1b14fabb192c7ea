package jaycall

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"jayfield.example/jay/jaydispatch"
	"jayfield.example/jay/jayerror"
	"jayfield.example/jay/jayonce"
	"jayfield.example/jay/jayqueue"
)

// Headers of requests and responses between callers and instances.
const (
	// HeaderRequest carries the request ID in every response.
	HeaderRequest = "X-Request-Id"
	// HeaderRun reports whether the work of a failed request ran: not-run or unknown.
	// The response of a service to work that runs at most once carries it too, with the
	// value done.
	HeaderRun = "Jay-Run"
	// HeaderTicket carries a newly issued ticket.
	HeaderTicket = "Jay-Ticket"
	// HeaderTimeout carries the caller's timeout, as a duration such as 2s.
	HeaderTimeout = "Jay-Timeout"
	// HeaderKey carries the idempotency key of work that runs at most once.
	HeaderKey = "Idempotency-Key"
	// HeaderRegion carries the caller's region; entries of that region are listed first.
	HeaderRegion = "Jay-Region"
	// HeaderWaited carries the time that a request was queued for an upstream.
	HeaderWaited = "Jay-Waited"
	// HeaderServed carries the name of the upstream that served the request.
	HeaderServed = "Jay-Served-By"
)

// failure is the error response sent to a caller.
type failure struct {
	status     int
	kind       Kind
	run        jayonce.Run
	retryAfter time.Duration
	message    string
}

// errorDocument is the body of an error response in the format that common API clients expect.
type errorDocument struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    Kind   `json:"code"`
}

// failureOf maps an error of any package to an error response.
func failureOf(err error) failure {
	var refused *jayqueue.RefusalError
	if errors.As(err, &refused) {
		return failure{http.StatusTooManyRequests, KindBusy, jayonce.RunNot, refused.RetryAfter, refused.Error()}
	}
	var limited *limitError
	if errors.As(err, &limited) {
		return failure{http.StatusTooManyRequests, KindLimit, jayonce.RunNot, limited.wait, limited.Error()}
	}
	var apiErr *Error
	if errors.As(err, &apiErr) {
		return failure{status: statusOf(apiErr.Kind), kind: apiErr.Kind, run: jayonce.RunNot, message: apiErr.Error()}
	}
	switch {
	case jayerror.Is(err, jaydispatch.KindNoUpstream), jayerror.Is(err, jaydispatch.KindNoPool):
		return failure{http.StatusServiceUnavailable, KindBusy, jayonce.RunNot, time.Second, err.Error()}
	case jayerror.Is(err, jaydispatch.KindGone):
		return failure{http.StatusGatewayTimeout, KindDeadline, jayonce.RunNot, 0, err.Error()}
	default:
		return failure{http.StatusBadGateway, KindUpstream, jayonce.RunUnknown, 0, err.Error()}
	}
}

// statusOf returns the HTTP status of a kind of failure.
func statusOf(kind Kind) int {
	switch kind {
	case KindAuth:
		return http.StatusUnauthorized
	case KindInvalid:
		return http.StatusBadRequest
	case KindModel, KindService:
		return http.StatusNotFound
	case KindLimit:
		return http.StatusTooManyRequests
	case KindBusy, KindStopping:
		return http.StatusServiceUnavailable
	case KindDeadline:
		return http.StatusGatewayTimeout
	case KindTicket:
		return http.StatusPreconditionRequired
	case KindUpstream, KindCallerGone:
		return http.StatusBadGateway
	}
	return http.StatusBadGateway
}

// json returns the encoded error document.
func (f failure) json() []byte {
	kind := "invalid_request_error"
	if f.status >= http.StatusInternalServerError {
		kind = "server_error"
	}
	data, _ := json.Marshal(errorDocument{Error: errorDetail{Message: f.message, Type: kind, Code: f.kind}}) //nolint:errchkjson // Strings only.
	return data
}

// write sends the failure as the response.
func (f failure) write(w http.ResponseWriter) {
	header := w.Header()
	header.Set("Content-Type", "application/json")
	if f.run != "" {
		header.Set(HeaderRun, string(f.run))
	}
	if f.retryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(f.retryAfter.Seconds()))))
		header.Set("Retry-After-Ms", strconv.FormatInt(f.retryAfter.Milliseconds(), 10))
	}
	w.WriteHeader(f.status)
	_, _ = w.Write(f.json())
}
