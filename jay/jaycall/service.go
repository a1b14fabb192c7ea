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
	"jayfield.example/jay/jaymetric"
	"jayfield.example/jay/jayonce"
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

// once serves work that runs at most once, at the home of its key.
func (f *Front) once(w http.ResponseWriter, r *request, name string, intent bool, left time.Duration) error {
	key := r.Header.Get(HeaderKey)
	home, ticketed := jayonce.HomeOf(key)
	if key == "" || len(key) > jayonce.MaxKeySize || !ticketed && !intent {
		f.offerTicket(w, r)
		return jayerror.Newf("once", KindTicket, "service %s runs work at most once; send the ticket of %s as %s", name, HeaderTicket, HeaderKey)
	}
	call := jayonce.Call{
		Key:     jayonce.Key{Caller: r.caller.Name, Key: key},
		Request: r.id,
		Service: name,
		Method:  r.Method,
		Path:    servicePath(r),
		Type:    r.Header.Get("Content-Type"),
		Body:    r.body,
		Left:    left - time.Since(r.start),
		Region:  f.Region,
		Intent:  !ticketed,
	}
	f.answer(w, r, f.run(r.Context(), home, call))
	return nil
}

// run has the home of a key run a call. The log decides the home of a key without a ticket.
func (f *Front) run(ctx context.Context, home string, call jayonce.Call) jayonce.Outcome {
	if call.Intent {
		ctx, cancel := context.WithTimeout(ctx, call.Left)
		defer cancel()
		started := time.Now()
		winner, err := f.Intents.Claim(ctx, call.Key)
		if err != nil {
			return jayonce.Outcome{Run: jayonce.RunUnknown, Reason: err.Error()}
		}
		home = winner
		call.Left -= time.Since(started)
	}
	return f.ask(ctx, home, call)
}

// ask has the home of a key run a call, here or on another instance. Only the home may
// say that the work did not run.
func (f *Front) ask(ctx context.Context, home string, call jayonce.Call) jayonce.Outcome {
	if home == f.Incarnation {
		return f.Home.Do(ctx, call)
	}
	f.Metrics.Add(jaymetric.OnceForwarded, 1)
	outcome, err := f.Homes.Forward(home, call)
	if err == nil {
		return outcome
	}
	f.Log.Info("home not reached", "request", call.Request, "home", home, "error", err)
	return f.Home.Lookup(ctx, call.Key)
}

// answer writes what is known of work that runs at most once.
func (f *Front) answer(w http.ResponseWriter, r *request, outcome jayonce.Outcome) {
	w.Header().Set(HeaderRun, string(outcome.Run))
	switch outcome.Run {
	case jayonce.RunDone:
		w.Header().Set("Content-Type", outcome.Type)
		w.WriteHeader(outcome.Status)
		_, _ = w.Write(outcome.Body)
	case jayonce.RunNot:
		f.Metrics.Add(jaymetric.OnceNotRun, 1)
		f.offerTicket(w, r)
		failure{http.StatusServiceUnavailable, KindBusy, jayonce.RunNot, time.Second, outcome.Reason}.write(w)
	case jayonce.RunUnknown:
		f.Metrics.Add(jaymetric.OnceUnknown, 1)
		failure{http.StatusGatewayTimeout, KindUpstream, jayonce.RunUnknown, 0, outcome.Reason}.write(w)
	}
	f.Log.Info("once", "request", r.id, "caller", r.caller.Name, "run", outcome.Run, "status", outcome.Status, "reason", outcome.Reason)
}

func (f *Front) offerTicket(w http.ResponseWriter, r *request) {
	w.Header().Set(HeaderTicket, f.Home.Issue(r.caller.Name))
}
