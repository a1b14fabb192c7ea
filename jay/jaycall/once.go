package jaycall

import (
	"context"
	"net/http"
	"time"

	"jayfield.example/jay/jayerror"
	"jayfield.example/jay/jaymetric"
	"jayfield.example/jay/jayonce"
)

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

// forwardRetry is the pause before a call is forwarded to its home again.
const forwardRetry = 50 * time.Millisecond

// ask has the home of a key run a call, here or on another instance. Only the home may
// say that the work did not run. A home that cannot be reached is asked again, since it
// joins both calls by their key, until its outcome is known here or the time is up.
func (f *Front) ask(ctx context.Context, home string, call jayonce.Call) jayonce.Outcome {
	if home == f.Incarnation {
		return f.Home.Do(ctx, call)
	}
	deadline := time.Now().Add(call.Left)
	for {
		if outcome, ok := f.Home.Recorded(ctx, call.Key); ok {
			f.Log.Info("outcome recorded here", "request", call.Request, "home", home, "run", outcome.Run)
			return outcome
		}
		f.Metrics.Add(jaymetric.OnceForwarded, 1)
		outcome, err := f.Homes.Forward(home, call)
		if err == nil {
			return outcome
		}
		if call.Left = time.Until(deadline); call.Left <= forwardRetry || ctx.Err() != nil {
			f.Log.Info("home not reached", "request", call.Request, "home", home, "error", err)
			return f.Home.Lookup(ctx, call.Key)
		}
		time.Sleep(forwardRetry)
	}
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
