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

// service passes a call on to a plain service.
func (f *Front) service(w http.ResponseWriter, r *request) error {
	name := r.route.ByName("name")
	service, ok := r.view.Service(name)
	if !ok {
		return jayerror.Newf("service", KindService, "service %q is not configured", name)
	}
	left, err := f.timeout(r, service.Timeout)
	if err != nil {
		return err
	}
	if service.Once && !idempotent(r.Method) {
		return f.once(w, r, name, service.Intent, left)
	}
	if err := f.limited(r); err != nil {
		return err
	}
	ctx, cancel := context.WithDeadline(r.Context(), r.start.Add(left))
	defer cancel()
	response, grant, err := f.callService(ctx, r, name, left)
	if err != nil {
		return err
	}
	defer response.Body.Close() //nolint:errcheck // The caller has the answer or is gone.
	started := time.Now()
	err = f.copyAnswer(w, r, response, grant.Upstream)
	f.Dispatcher.Release(grant, jaydispatch.ResultDone, true, 1, time.Since(started))
	return err
}

// idempotent reports whether a method may be repeated, by its definition.
func idempotent(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodPut, http.MethodDelete, http.MethodOptions:
		return true
	default:
		return false
	}
}

// callService sends a call. Where the method allows it, a failed call is
// repeated at another upstream; any call is where it provably did not run.
func (f *Front) callService(ctx context.Context, r *request, name string, left time.Duration) (*http.Response, jaydispatch.Grant, error) {
	f.retries.Earn()
	avoid := ""
	for attempt := 1; ; attempt++ {
		grant, err := f.acquireService(ctx, name, r.caller, avoid)
		if err != nil {
			return nil, grant, err
		}
		response, err := f.Engines.Call(ctx, jayengine.Call{
			Address: grant.Address,
			Method:  r.Method,
			Path:    servicePath(r),
			Request: r.id,
			Type:    r.Header.Get("Content-Type"),
			Body:    r.body,
			Left:    left,
		})
		if err == nil {
			f.Dispatcher.First(grant, time.Since(r.start))
			return response, grant, nil
		}
		f.Dispatcher.Release(grant, resultOf(ctx, err), false, 0, 0)
		if !idempotent(r.Method) && !unsent(err) || !f.again(ctx, err, attempt) {
			return nil, grant, err
		}
		avoid = grant.Upstream
	}
}

func (f *Front) acquireService(ctx context.Context, name string, caller jayconfig.NamedCaller, avoid string) (jaydispatch.Grant, error) {
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

// copyAnswer passes the answer of a service on, and cuts the connection where
// the answer ends early, so that a part is never taken for the whole.
func (f *Front) copyAnswer(w http.ResponseWriter, r *request, response *http.Response, upstream string) error {
	if kind := response.Header.Get("Content-Type"); kind != "" {
		w.Header().Set("Content-Type", kind)
	}
	w.Header().Set(HeaderServed, upstream)
	w.WriteHeader(response.StatusCode)
	if _, err := io.Copy(w, response.Body); err != nil {
		f.Log.Warn("answer cut", "request", r.id, "upstream", upstream, "error", err)
		panic(http.ErrAbortHandler)
	}
	return nil
}

// resultOf classifies a failed call for the dispatcher.
func resultOf(ctx context.Context, err error) jaydispatch.Result {
	switch {
	case ctx.Err() != nil, jayerror.Is(err, jayengine.KindRefused):
		return jaydispatch.ResultUnused
	case jayerror.Is(err, jayengine.KindLeaving):
		return jaydispatch.ResultLeaving
	default:
		return jaydispatch.ResultFailed
	}
}

// servicePath returns the path at the upstream, with its query.
func servicePath(r *request) string {
	path := "/" + r.route.ByName("path")
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return path
}

// unsent reports whether a failed call provably did not run.
func unsent(err error) bool {
	return jayerror.Is(err, jayengine.KindUnreachable) || jayerror.Is(err, jayengine.KindLeaving) || jayerror.Is(err, jayengine.KindBusy)
}
