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
	// maxOutcome bounds the answer that is kept for a key, in bytes.
	maxOutcome = 1 << 20
	// sentBound is how long sent work is waited for, whoever still waits for it.
	sentBound = 5 * time.Minute
)

// Worker sends work that runs at most once to its service.
type Worker struct {
	front *Front
}

// NewWorker returns a worker; its front is set before the first call.
func NewWorker() *Worker {
	return &Worker{}
}

// Serve sets the front that the worker sends through.
func (w *Worker) Serve(front *Front) {
	w.front = front
}

// Work sends a call to one upstream, and to another only where the first
// provably did not run it.
func (w *Worker) Work(ctx context.Context, call jayonce.Call, gate jayonce.Gate) jayonce.Outcome {
	f := w.front
	avoid := ""
	for attempt := 1; ; attempt++ {
		grant, err := f.acquireService(ctx, call.Service, w.caller(call), avoid)
		if err != nil {
			return notRun(failureOf(err).text)
		}
		outcome, err := w.send(ctx, call, gate, grant)
		if err == nil {
			return outcome
		}
		if !unsent(err) {
			return jayonce.Outcome{Run: jayonce.RunUnknown, Reason: err.Error()}
		}
		gate.Unsent()
		if !f.again(ctx, err, attempt) {
			return notRun(err.Error())
		}
		avoid = grant.Upstream
	}
}

func (w *Worker) caller(call jayonce.Call) jayconfig.NamedCaller {
	caller := jayconfig.NamedCaller{Name: call.Key.Caller, Caller: &jayconfig.Caller{Weight: 1}}
	view := w.front.Configs.View()
	if view == nil {
		return caller
	}
	object, ok := view.State().Object(jayconfig.Name{Class: jayconfig.ClassCaller, Name: call.Key.Caller})
	if spec, isCaller := object.Spec().(*jayconfig.Caller); ok && isCaller {
		caller.Caller = spec
	}
	return caller
}

// send hands the work to an upstream. An error that is not unsent leaves unknown whether it ran.
func (w *Worker) send(ctx context.Context, call jayonce.Call, gate jayonce.Gate, grant jaydispatch.Grant) (jayonce.Outcome, error) {
	f := w.front
	deadline, _ := ctx.Deadline()
	left := time.Until(deadline)
	if !gate.Sent() {
		f.Dispatcher.Release(grant, jaydispatch.ResultUnused, false, 0, 0)
		return notRun("time ran out before the work was sent"), nil
	}
	f.Metrics.Add(jaymetric.OnceSent, 1)
	started := time.Now()
	sent, cancel := context.WithTimeout(context.WithoutCancel(ctx), sentBound)
	defer cancel()
	response, err := f.Engines.CallOnce(sent, ctx, jayengine.Call{
		Address: grant.Address,
		Method:  call.Method,
		Path:    call.Path,
		Request: call.Request,
		Type:    call.Type,
		Body:    call.Body,
		Left:    left,
	})
	if err != nil {
		f.Dispatcher.Release(grant, resultOf(sent, err), false, 0, 0)
		return jayonce.Outcome{}, err
	}
	defer response.Body.Close() //nolint:errcheck // The answer has been read.
	outcome, err := readOutcome(response)
	f.Dispatcher.First(grant, time.Since(started))
	f.Dispatcher.Release(grant, jaydispatch.ResultDone, true, 1, time.Since(started))
	return outcome, err
}

func readOutcome(response *http.Response) (jayonce.Outcome, error) {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxOutcome+1))
	if err != nil {
		return jayonce.Outcome{}, jayerror.Wrap("answer", KindUpstream, err)
	}
	if len(body) > maxOutcome {
		return jayonce.Outcome{}, jayerror.Newf("answer", KindUpstream, "answer is larger than %d bytes", maxOutcome)
	}
	return jayonce.Outcome{
		Run:    jayonce.RunDone,
		Status: response.StatusCode,
		Type:   response.Header.Get("Content-Type"),
		Body:   body,
	}, nil
}

func notRun(reason string) jayonce.Outcome {
	return jayonce.Outcome{Run: jayonce.RunNot, Reason: reason}
}
