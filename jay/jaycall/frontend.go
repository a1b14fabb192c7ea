// Package jaycall implements the HTTP API for callers: completions from model
// engines, calls to plain services and the addresses of instances.
package jaycall

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/uptrace/bunrouter"

	"jayfield.example/jay/jayconfig"
	"jayfield.example/jay/jayengine"
	"jayfield.example/jay/jayerror"
	"jayfield.example/jay/jaylimit"
	"jayfield.example/jay/jaymetric"
	"jayfield.example/jay/jayonce"
)

const (
	// responseMarginParts and maxResponseMargin define the part of a caller's timeout that is
	// reserved for sending the response back: a tenth, at most 100 ms.
	responseMarginParts = 10
	maxResponseMargin   = 100 * time.Millisecond
	// retryRatio and retryBurst limit retries to a tenth of the requests, with bursts of up to 20.
	retryRatio = 0.1
	retryBurst = 20
)

// Frontend serves the caller API of an instance. It is safe for concurrent use.
type Frontend struct {
	Options
	retryBudget     *jaylimit.Budget
	hedgeBudget     *jaylimit.Budget
	lengthPredictor *lengthPredictor
	inFlight        atomic.Int64
	stopping        atomic.Bool
	// idle is signalled when no requests remain in flight.
	idle chan struct{}
}

// NewFrontend returns a Frontend with the given options.
func NewFrontend(options Options) *Frontend {
	return &Frontend{
		Options:         options,
		retryBudget:     jaylimit.NewBudget(retryRatio, retryBurst),
		hedgeBudget:     jaylimit.NewBudget(hedgeRatio, hedgeBurst),
		lengthPredictor: newLengthPredictor(),
		idle:            make(chan struct{}, 1),
	}
}

// Drain rejects new requests and waits until none are in flight.
func (f *Frontend) Drain(ctx context.Context) error {
	f.stopping.Store(true)
	for f.inFlight.Load() > 0 {
		select {
		case <-f.idle:
		case <-ctx.Done():
			return jayerror.Newf("drain", KindStopping, "%d requests are still at work", f.inFlight.Load())
		}
	}
	return nil
}

// Handler returns the HTTP handler of the caller API.
func (f *Frontend) Handler() http.Handler {
	router := bunrouter.New()
	router.POST(jayengine.PathChat, f.serve(f.complete))
	router.POST(jayengine.PathCompletion, f.serve(f.complete))
	router.GET("/v1/models", f.serve(f.models))
	router.GET("/v1/entries", f.serve(f.entries))
	for _, method := range []string{http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete} {
		router.Handle(method, "/services/:name", f.serve(f.service))
		router.Handle(method, "/services/:name/*path", f.serve(f.service))
	}
	return router
}

// InFlight returns the number of requests in flight.
func (f *Frontend) InFlight() int {
	return int(f.inFlight.Load())
}

// request is a caller's request; admit sets the caller, the configuration view and the body.
type request struct {
	*http.Request
	id     string
	caller jayconfig.NamedCaller
	config *jayconfig.View
	start  time.Time
	params bunrouter.Params
	body   []byte
}

// handler responds to a request, or returns the error to respond with.
type handler func(w http.ResponseWriter, r *request) error

// serve wraps a handler with admission control, authentication, metrics and error responses.
func (f *Frontend) serve(handle handler) bunrouter.HandlerFunc {
	return func(w http.ResponseWriter, r bunrouter.Request) error {
		f.inFlight.Add(1)
		defer f.requestDone()
		f.Metrics.Add(jaymetric.Requests, 1)
		req := &request{Request: r.Request, id: uuid.NewString(), start: time.Now(), params: r.Params()}
		w.Header().Set(HeaderRequest, req.id)
		err := f.admit(req)
		if err == nil {
			err = handle(w, req)
		}
		f.finish(w, req, err)
		return nil
	}
}

// admit applies the concurrency limit, authenticates the request and reads its body.
func (f *Frontend) admit(r *request) error {
	if f.stopping.Load() {
		return jayerror.New("admit", KindStopping, "instance stops; ask /v1/entries of another for addresses")
	}
	if f.inFlight.Load() > int64(f.Limits.Calls) {
		return jayerror.New("admit", KindBusy, "too many requests at work; try another address of /v1/entries")
	}
	r.config = f.Configs.View()
	if r.config == nil {
		return jayerror.New("admit", KindBusy, "instance has no configuration yet")
	}
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return jayerror.New("admit", KindAuth, "send the account's key as Authorization: Bearer KEY")
	}
	if r.caller, ok = r.config.Caller(key); !ok {
		return jayerror.New("admit", KindAuth, "key belongs to no account")
	}
	return f.readBody(r)
}

func (f *Frontend) readBody(r *request) error {
	body, err := io.ReadAll(io.LimitReader(r.Body, int64(f.Limits.Body)+1))
	if err != nil {
		return jayerror.Wrap("read body", KindInvalid, err)
	}
	if len(body) > f.Limits.Body {
		return jayerror.Newf("read body", KindInvalid, "body is larger than %d bytes", f.Limits.Body)
	}
	r.body = body
	return nil
}

func (f *Frontend) requestDone() {
	if f.inFlight.Add(-1) > 0 {
		return
	}
	select {
	case f.idle <- struct{}{}:
	default:
	}
}

// finish writes the error response, if any, and logs the request.
func (f *Frontend) finish(w http.ResponseWriter, r *request, err error) {
	took := time.Since(r.start)
	if err == nil {
		f.Metrics.Add(jaymetric.Completed, 1)
		f.Log.Debug("request", "request", r.id, "caller", r.caller.Name, "path", r.URL.Path, "took", took)
		return
	}
	if r.Context().Err() != nil {
		f.Metrics.Add(jaymetric.CallerGone, 1)
		f.Log.Info("caller disconnected", "request", r.id, "caller", r.caller.Name, "path", r.URL.Path, "took", took)
		return
	}
	failed := failureOf(err)
	if failed.run == jayonce.RunNot {
		f.Metrics.Add(jaymetric.Refused, 1)
	} else {
		f.Metrics.Add(jaymetric.Failed, 1)
	}
	f.Log.Info("request failed", "request", r.id, "caller", r.caller.Name, "path", r.URL.Path,
		"status", failed.status, "code", failed.kind, "run", failed.run, "took", took, "error", err)
	failed.write(w)
}

// timeout returns the time allowed for a request, from the caller's timeout header if set.
func (f *Frontend) timeout(r *request, defaultTimeout time.Duration) (time.Duration, error) {
	value := r.Header.Get(HeaderTimeout)
	if value == "" {
		return defaultTimeout, nil
	}
	d, err := time.ParseDuration(value)
	if err != nil || d <= 0 {
		return 0, jayerror.Newf("timeout", KindInvalid, "%s is %q; write a duration such as 2s", HeaderTimeout, value)
	}
	d -= min(d/responseMarginParts, maxResponseMargin)
	return min(d, f.Limits.Timeout), nil
}

// checkRate returns an error for a request that exceeds its caller's rate limit.
func (f *Frontend) checkRate(r *request) error {
	wait, ok := f.Rates.Allow(r.start, r.caller.Name, r.caller.Rate)
	if ok {
		return nil
	}
	return &limitError{wait: wait}
}
