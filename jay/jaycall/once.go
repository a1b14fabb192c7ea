package jaycall

import (
	"context"
	"net/http"
	"time"

	"jayfield.example/jay/jayerror"
	"jayfield.example/jay/jaymetric"
	"jayfield.example/jay/jayonce"
)

// once serves work that runs at most once. The home of its key, one instance, runs it.
func (f *Frontend) once(w http.ResponseWriter, r *request, name string, intent bool, timeLimit time.Duration) error {
	key := r.Header.Get(HeaderKey)
	home, hasTicket := jayonce.HomeOf(key)
	if key == "" || len(key) > jayonce.MaxKeySize || !hasTicket && !intent {
		f.setTicketHeader(w, r)
		return jayerror.Newf("once", KindTicket, "service %s runs work at most once; send the ticket of %s as %s", name, HeaderTicket, HeaderKey)
	}
	call := jayonce.Call{
		Key:         jayonce.Key{Caller: r.caller.Name, Key: key},
		Request:     r.id,
		Service:     name,
		Method:      r.Method,
		Path:        servicePath(r),
		ContentType: r.Header.Get("Content-Type"),
		Body:        r.body,
		TimeLeft:    timeLimit - time.Since(r.start),
		Region:      f.Region,
		Intent:      !hasTicket,
	}
	f.writeOutcome(w, r, f.runOnce(r.Context(), home, call))
	return nil
}

// runOnce runs a call at the home of its key. For a key without a ticket, the log decides the home.
func (f *Frontend) runOnce(ctx context.Context, home string, call jayonce.Call) jayonce.Outcome {
	if call.Intent {
		ctx, cancel := context.WithTimeout(ctx, call.TimeLeft)
		defer cancel()
		started := time.Now()
		winner, err := f.Intents.Claim(ctx, call.Key)
		if err != nil {
			return jayonce.Outcome{Run: jayonce.RunUnknown, Reason: err.Error()}
		}
		home = winner
		call.TimeLeft -= time.Since(started)
	}
	return f.callHome(ctx, home, call)
}

const (
	// forwardRetryDelay is the delay before a call is forwarded to its home again.
	forwardRetryDelay = 50 * time.Millisecond
	// maxUnknownHomeWait is the longest time for which a call is retried whose home is unknown: an
	// instance that has just started becomes known with the next exchanges of heartbeats.
	maxUnknownHomeWait = 2 * time.Second
)

// callHome runs a call at the home of its key, on this instance or another. Only the home
// may report that the work did not run. A call to an unreachable home is retried, which is
// safe because the home deduplicates calls by key, until the outcome is recorded on this
// instance or the time is up. A home that stays unknown for half of the time, or for
// maxUnknownHomeWait, is taken to be gone.
func (f *Frontend) callHome(ctx context.Context, home string, call jayonce.Call) jayonce.Outcome {
	if home == f.Incarnation {
		return f.Home.Do(ctx, call)
	}
	started := time.Now()
	deadline, unknownUntil := started.Add(call.TimeLeft), started.Add(min(call.TimeLeft/2, maxUnknownHomeWait))
	for {
		if outcome, ok := f.Home.ArchivedOutcome(ctx, call.Key); ok {
			f.Log.Info("outcome already recorded", "request", call.Request, "home", home, "run", outcome.Run)
			return outcome
		}
		f.Metrics.Add(jaymetric.OnceForwarded, 1)
		outcome, err := f.Homes.Forward(home, call)
		if err == nil {
			return outcome
		}
		unknown := !f.Homes.Known(home) && time.Until(unknownUntil) <= forwardRetryDelay
		if call.TimeLeft = time.Until(deadline); unknown || call.TimeLeft <= forwardRetryDelay || ctx.Err() != nil {
			f.Log.Info("cannot reach home of key", "request", call.Request, "home", home, "error", err)
			return f.Home.Lookup(ctx, call.Key)
		}
		time.Sleep(forwardRetryDelay)
	}
}

// writeOutcome writes the response for the outcome of work that runs at most once.
func (f *Frontend) writeOutcome(w http.ResponseWriter, r *request, outcome jayonce.Outcome) {
	w.Header().Set(HeaderRun, string(outcome.Run))
	switch outcome.Run {
	case jayonce.RunDone:
		w.Header().Set("Content-Type", outcome.ContentType)
		w.WriteHeader(outcome.Status)
		_, _ = w.Write(outcome.Body)
	case jayonce.RunNot:
		f.Metrics.Add(jaymetric.OnceNotRun, 1)
		f.setTicketHeader(w, r)
		failure{http.StatusServiceUnavailable, KindBusy, jayonce.RunNot, time.Second, outcome.Reason}.write(w)
	case jayonce.RunUnknown:
		f.Metrics.Add(jaymetric.OnceUnknown, 1)
		failure{http.StatusGatewayTimeout, KindUpstream, jayonce.RunUnknown, 0, outcome.Reason}.write(w)
	}
	f.Log.Info("once", "request", r.id, "caller", r.caller.Name, "run", outcome.Run, "status", outcome.Status, "reason", outcome.Reason)
}

func (f *Frontend) setTicketHeader(w http.ResponseWriter, r *request) {
	w.Header().Set(HeaderTicket, f.Home.Issue(r.caller.Name))
}
