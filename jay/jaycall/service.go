package jaycall

import (
	"context"
	"io"
	"net/http"
	"time"

	"jayfield.example/jay/jayconfig"
	"jayfield.example/jay/jaydispatch"
	"jayfield.example/jay/jayengine"
	"jayfield.example/jay/jayerror"
	"jayfield.example/jay/jayroute"
)

// service forwards a request to a plain service.
func (f *Frontend) service(w http.ResponseWriter, r *request) error {
	name := r.params.ByName("name")
	service, ok := r.config.Service(name)
	if !ok {
		return jayerror.Newf("service", KindService, "service %q is not configured", name)
	}
	timeLimit, err := f.timeout(r, service.Timeout)
	if err != nil {
		return err
	}
	if service.Once && !idempotent(r.Method) {
		return f.once(w, r, name, service.Intent, timeLimit)
	}
	if err := f.checkRate(r); err != nil {
		return err
	}
	ctx, cancel := context.WithDeadline(r.Context(), r.start.Add(timeLimit))
	defer cancel()
	response, grant, err := f.callService(ctx, r, name, timeLimit)
	if err != nil {
		return err
	}
	defer response.Body.Close() //nolint:errcheck // The response has been copied or the caller has disconnected.
	started := time.Now()
	err = f.copyResponse(w, r, response, grant.Upstream)
	f.Dispatcher.Release(grant, jaydispatch.ResultDone, true, 1, time.Since(started))
	return err
}

// idempotent reports whether HTTP defines a method as idempotent.
func idempotent(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodPut, http.MethodDelete, http.MethodOptions:
		return true
	default:
		return false
	}
}

// callService sends a call to an upstream. A failed call is retried at another
// upstream if its method is idempotent or if it provably did not run.
func (f *Frontend) callService(ctx context.Context, r *request, name string, timeLimit time.Duration) (*http.Response, jaydispatch.Grant, error) {
	f.retryBudget.Earn()
	deadline, _ := ctx.Deadline()
	avoid := ""
	for attempt := 1; ; attempt++ {
		grant, err := f.acquireService(ctx, name, r.caller, avoid)
		if err != nil {
			return nil, grant, err
		}
		sentAt := time.Now()
		response, err := f.Engines.Call(ctx, jayengine.Call{
			Address:     grant.Address,
			Method:      r.Method,
			Path:        servicePath(r),
			Request:     r.id,
			ContentType: r.Header.Get("Content-Type"),
			Body:        r.body,
			TimeLeft:    min(timeLimit, time.Until(deadline)),
		})
		if err == nil {
			f.Dispatcher.RecordFirstToken(grant, time.Since(sentAt))
			return response, grant, nil
		}
		f.Dispatcher.Release(grant, callResult(ctx, err), false, 0, 0)
		if !idempotent(r.Method) && !provablyNotRun(err) || !f.allowRetry(ctx, err, attempt) {
			return nil, grant, err
		}
		avoid = grant.Upstream
	}
}

func (f *Frontend) acquireService(ctx context.Context, name string, caller jayconfig.NamedCaller, avoid string) (jaydispatch.Grant, error) {
	deadline, _ := ctx.Deadline()
	return f.Dispatcher.Acquire(ctx, jaydispatch.Request{
		Pool:     jayconfig.Name{Class: jayconfig.ClassService, Name: name}.String(),
		Caller:   caller.Name,
		Weight:   caller.Weight,
		Priority: jayconfig.PriorityNormal,
		Deadline: deadline,
		Work:     jayroute.Work{Output: 1, Region: f.Region},
		Avoid:    avoid,
	})
}

// copyResponse copies the response of a service to the caller. If copying fails, the
// connection is aborted, so that the caller cannot take a truncated response for a complete one.
func (f *Frontend) copyResponse(w http.ResponseWriter, r *request, response *http.Response, upstream string) error {
	if kind := response.Header.Get("Content-Type"); kind != "" {
		w.Header().Set("Content-Type", kind)
	}
	w.Header().Set(HeaderServed, upstream)
	w.WriteHeader(response.StatusCode)
	if _, err := io.Copy(w, response.Body); err != nil {
		f.Log.Warn("response not copied completely; connection aborted", "request", r.id, "upstream", upstream, "error", err)
		panic(http.ErrAbortHandler)
	}
	return nil
}

// callResult classifies a failed call for the dispatcher.
func callResult(ctx context.Context, err error) jaydispatch.Result {
	switch {
	case ctx.Err() != nil, jayerror.Is(err, jayengine.KindRefused):
		return jaydispatch.ResultUnused
	case jayerror.Is(err, jayengine.KindLeaving):
		return jaydispatch.ResultLeaving
	default:
		return jaydispatch.ResultFailed
	}
}

// servicePath returns the path and query to request at the upstream.
func servicePath(r *request) string {
	path := "/" + r.params.ByName("path")
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return path
}

// provablyNotRun reports whether an error proves that a failed call did not run.
func provablyNotRun(err error) bool {
	return jayerror.Is(err, jayengine.KindUnreachable) || jayerror.Is(err, jayengine.KindLeaving) || jayerror.Is(err, jayengine.KindBusy)
}
