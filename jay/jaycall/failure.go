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

// Headers between callers and the system.
const (
	// HeaderRequest carries the request's ID in every answer.
	HeaderRequest = "X-Request-Id"
	// HeaderRun tells whether the work of a refused request ran: not-run or unknown.
	HeaderRun = "Jay-Run"
	// HeaderTicket carries a fresh ticket.
	HeaderTicket = "Jay-Ticket"
	// HeaderTimeout carries the time that the caller waits, as a duration such as 2s.
	HeaderTimeout = "Jay-Timeout"
	// HeaderKey carries the key of work that runs at most once.
	HeaderKey = "Idempotency-Key"
	// HeaderRegion tells where the caller is, to be given near addresses.
	HeaderRegion = "Jay-Region"
	// HeaderWaited carries the time that a request waited for its upstream.
	HeaderWaited = "Jay-Waited"
	// HeaderServed names the upstream that served the request.
	HeaderServed = "Jay-Served-By"
)

// failure is an error as a caller sees it.
type failure struct {
	status int
	kind   Kind
	run    jayonce.Run
	retry  time.Duration
	text   string
}

// body is the error in the shape that the common clients read.
type body struct {
	Error bodyError `json:"error"`
}

type bodyError struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    Kind   `json:"code"`
}

// failureOf translates an error of any package.
func failureOf(err error) failure {
	var refused *jayqueue.RefusalError
	if errors.As(err, &refused) {
		return failure{http.StatusTooManyRequests, KindBusy, jayonce.RunNot, refused.Retry, refused.Error()}
	}
	var limited *limitError
	if errors.As(err, &limited) {
		return failure{http.StatusTooManyRequests, KindLimit, jayonce.RunNot, limited.wait, limited.Error()}
	}
	var own *Error
	if errors.As(err, &own) {
		return failure{status: statusOf(own.Kind), kind: own.Kind, run: jayonce.RunNot, text: own.Error()}
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
	case KindUpstream, KindGone:
		return http.StatusBadGateway
	}
	return http.StatusBadGateway
}

// json returns the error's body.
func (f failure) json() []byte {
	kind := "invalid_request_error"
	if f.status >= http.StatusInternalServerError {
		kind = "server_error"
	}
	data, _ := json.Marshal(body{Error: bodyError{Message: f.text, Type: kind, Code: f.kind}}) //nolint:errchkjson // Strings only.
	return data
}

// write answers a request with the failure.
func (f failure) write(w http.ResponseWriter) {
	header := w.Header()
	header.Set("Content-Type", "application/json")
	if f.run != "" {
		header.Set(HeaderRun, string(f.run))
	}
	if f.retry > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(f.retry.Seconds()))))
		header.Set("Retry-After-Ms", strconv.FormatInt(f.retry.Milliseconds(), 10))
	}
	w.WriteHeader(f.status)
	_, _ = w.Write(f.json())
}
