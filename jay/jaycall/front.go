// Package jaycall serves callers: completions of model engines, plain services
// and the addresses of entry instances.
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
	// answerParts and answerMost are what is kept of a caller's time for the way of the answer.
	answerParts = 10
	answerMost  = 100 * time.Millisecond
	// retryRatio and retryBurst bound retries: a tenth of the requests.
	retryRatio = 0.1
	retryBurst = 20
)

// Front is the callers' side of an instance. It is safe for concurrent use.
type Front struct {
	Options
	retries  *jaylimit.Budget
	hedges   *jaylimit.Budget
	lengths  *lengths
	working  atomic.Int64
	stopping atomic.Bool
	// idle is signalled when the last request ends.
	idle chan struct{}
}

// NewFront returns a front.
func NewFront(options Options) *Front {
	return &Front{
		Options: options,
		retries: jaylimit.NewBudget(retryRatio, retryBurst),
		hedges:  jaylimit.NewBudget(hedgeRatio, hedgeBurst),
		lengths: newLengths(),
		idle:    make(chan struct{}, 1),
	}
}

// Drain refuses new requests and waits until the last one at work has ended.
func (f *Front) Drain(ctx context.Context) error {
	f.stopping.Store(true)
	for f.working.Load() > 0 {
		select {
		case <-f.idle:
		case <-ctx.Done():
			return jayerror.Newf("drain", KindStopping, "%d requests are still at work", f.working.Load())
		}
	}
	return nil
}

// Handler returns the HTTP interface for callers.
func (f *Front) Handler() http.Handler {
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

// Working returns the number of requests at work.
func (f *Front) Working() int {
	return int(f.working.Load())
}

// request is one request of an authenticated caller.
type request struct {
	*http.Request
	id     string
	caller jayconfig.NamedCaller
	view   *jayconfig.View
	start  time.Time
	route  bunrouter.Params
	body   []byte
}

// handler answers a request, or returns the error to answer with.
type handler func(w http.ResponseWriter, r *request) error

// serve bounds, authenticates and counts a request around its handler.
func (f *Front) serve(handle handler) bunrouter.HandlerFunc {
	return func(w http.ResponseWriter, r bunrouter.Request) error {
		f.working.Add(1)
		defer f.end()
		f.Metrics.Add(jaymetric.Requests, 1)
		own := &request{Request: r.Request, id: uuid.NewString(), start: time.Now(), route: r.Params()}
		w.Header().Set(HeaderRequest, own.id)
		err := f.admit(own)
		if err == nil {
			err = handle(w, own)
		}
		f.finish(w, own, err)
		return nil
	}
}

// admit authenticates a request and reads its body.
func (f *Front) admit(r *request) error {
	if f.stopping.Load() {
		return jayerror.New("admit", KindStopping, "instance stops; ask /v1/entries of another for addresses")
	}
	if f.working.Load() > int64(f.Limits.Calls) {
		return jayerror.New("admit", KindBusy, "too many requests at work; try another address of /v1/entries")
	}
	r.view = f.Configs.View()
	if r.view == nil {
		return jayerror.New("admit", KindBusy, "instance has no configuration yet")
	}
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return jayerror.New("admit", KindAuth, "send the account's key as Authorization: Bearer KEY")
	}
	if r.caller, ok = r.view.Caller(key); !ok {
		return jayerror.New("admit", KindAuth, "key belongs to no account")
	}
	return f.readBody(r)
}

func (f *Front) readBody(r *request) error {
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

func (f *Front) end() {
	if f.working.Add(-1) > 0 {
		return
	}
	select {
	case f.idle <- struct{}{}:
	default:
	}
}

// finish answers with an error, if there is one, and logs the request.
func (f *Front) finish(w http.ResponseWriter, r *request, err error) {
	took := time.Since(r.start)
	if err == nil {
		f.Metrics.Add(jaymetric.Completed, 1)
		f.Log.Debug("request", "request", r.id, "caller", r.caller.Name, "path", r.URL.Path, "took", took)
		return
	}
	if r.Context().Err() != nil {
		f.Metrics.Add(jaymetric.CallerGone, 1)
		f.Log.Info("caller gone", "request", r.id, "caller", r.caller.Name, "path", r.URL.Path, "took", took)
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

// timeout returns the time that the caller waits.
func (f *Front) timeout(r *request, usual time.Duration) (time.Duration, error) {
	value := r.Header.Get(HeaderTimeout)
	if value == "" {
		return usual, nil
	}
	d, err := time.ParseDuration(value)
	if err != nil || d <= 0 {
		return 0, jayerror.Newf("timeout", KindInvalid, "%s is %q; write a duration such as 2s", HeaderTimeout, value)
	}
	d -= min(d/answerParts, answerMost)
	return min(d, f.Limits.Time), nil
}

// limited refuses a request above its caller's rate.
func (f *Front) limited(r *request) error {
	wait, ok := f.Rates.Allow(r.start, r.caller.Name, r.caller.Rate)
	if ok {
		return nil
	}
	return &limitError{wait: wait}
}
