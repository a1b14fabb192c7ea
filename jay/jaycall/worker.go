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
)

const (
	// maxOutcomeSize is the maximum size of the response recorded for a key, in bytes.
	maxOutcomeSize = 1 << 20
	// sentTimeout is the timeout for the response to work already sent. It applies even if the
	// caller has disconnected.
	sentTimeout = 5 * time.Minute
)

// Worker sends calls that run at most once to their service.
type Worker struct {
	frontend *Frontend
}

// NewWorker returns a worker. SetFrontend must be called before the first call to Work.
func NewWorker() *Worker {
	return &Worker{}
}

// SetFrontend sets the Frontend that the worker sends calls through.
func (w *Worker) SetFrontend(frontend *Frontend) {
	w.frontend = frontend
}

// Work sends a call to one upstream, and to another only if the first provably
// did not run it.
func (w *Worker) Work(ctx context.Context, call jayonce.Call, gate jayonce.Gate) jayonce.Outcome {
	f := w.frontend
	avoid := ""
	for attempt := 1; ; attempt++ {
		grant, err := f.acquireService(ctx, call.Service, w.caller(call), avoid)
		if err != nil {
			return notRunOutcome(failureOf(err).message)
		}
		outcome, err := w.send(ctx, call, gate, grant)
		if err == nil {
			return outcome
		}
		if !provablyNotRun(err) {
			return jayonce.Outcome{Run: jayonce.RunUnknown, Reason: err.Error()}
		}
		gate.UnmarkSent()
		if !f.allowRetry(ctx, err, attempt) {
			return notRunOutcome(err.Error())
		}
		avoid = grant.Upstream
	}
}

func (w *Worker) caller(call jayonce.Call) jayconfig.NamedCaller {
	caller := jayconfig.NamedCaller{Name: call.Key.Caller, Caller: &jayconfig.Caller{Weight: 1}}
	view := w.frontend.Configs.View()
	if view == nil {
		return caller
	}
	object, ok := view.State().Object(jayconfig.Name{Class: jayconfig.ClassCaller, Name: call.Key.Caller})
	if spec, isCaller := object.Spec().(*jayconfig.Caller); ok && isCaller {
		caller.Caller = spec
	}
	return caller
}

// send sends a call to an upstream. After an error that is not provablyNotRun, it is unknown
// whether the work ran.
func (w *Worker) send(ctx context.Context, call jayonce.Call, gate jayonce.Gate, grant jaydispatch.Grant) (jayonce.Outcome, error) {
	f := w.frontend
	deadline, _ := ctx.Deadline()
	remaining := time.Until(deadline)
	if !gate.MarkSent() {
		f.Dispatcher.Release(grant, jaydispatch.ResultUnused, false, 0, 0)
		return notRunOutcome("time ran out before the work was sent"), nil
	}
	f.Metrics.Add(jaymetric.OnceSent, 1)
	started := time.Now()
	sendCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), sentTimeout)
	defer cancel()
	response, err := f.Engines.CallOnce(sendCtx, ctx, jayengine.Call{
		Address:     grant.Address,
		Method:      call.Method,
		Path:        call.Path,
		Request:     call.Request,
		ContentType: call.ContentType,
		Body:        call.Body,
		TimeLeft:    remaining,
	})
	if err != nil {
		f.Dispatcher.Release(grant, callResult(sendCtx, err), false, 0, 0)
		return jayonce.Outcome{}, err
	}
	defer response.Body.Close() //nolint:errcheck // The body has been read.
	outcome, err := readOutcome(response)
	f.Dispatcher.RecordFirstToken(grant, time.Since(started))
	f.Dispatcher.Release(grant, jaydispatch.ResultDone, true, 1, time.Since(started))
	return outcome, err
}

func readOutcome(response *http.Response) (jayonce.Outcome, error) {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxOutcomeSize+1))
	if err != nil {
		return jayonce.Outcome{}, jayerror.Wrap("answer", KindUpstream, err)
	}
	if len(body) > maxOutcomeSize {
		return jayonce.Outcome{}, jayerror.Newf("answer", KindUpstream, "answer is larger than %d bytes", maxOutcomeSize)
	}
	return jayonce.Outcome{
		Run:         jayonce.RunDone,
		Status:      response.StatusCode,
		ContentType: response.Header.Get("Content-Type"),
		Body:        body,
	}, nil
}

func notRunOutcome(reason string) jayonce.Outcome {
	return jayonce.Outcome{Run: jayonce.RunNot, Reason: reason}
}
