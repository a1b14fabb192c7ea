package jaycall

import (
	"context"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/tidwall/gjson"
	"github.com/tidwall/sjson"

	"jayfield.example/jay/jayconfig"
	"jayfield.example/jay/jaydispatch"
	"jayfield.example/jay/jayerror"
	"jayfield.example/jay/jayroute"
)

const (
	// bytesPerToken estimates the number of prompt tokens from the prompt's size in bytes.
	bytesPerToken = 4
	// prefixBytes is the length of the prompt prefix that prefix affinity hashes.
	prefixBytes = 512
	// promptWeight is the cost of a prompt token relative to an output token.
	promptWeight = 0.01
)

// completion is a parsed completion request.
type completion struct {
	*request
	model  string
	stream bool
	route  jayconfig.NamedRoute
	work   jayroute.Work
	// maxTokens is the caller's limit on output tokens, 0 for none.
	maxTokens int
	// body is the request body sent to the engine; request.body is the caller's.
	body     []byte
	position cursor
	deadline time.Time
}

// complete serves a completion, streamed or as one document.
func (f *Frontend) complete(w http.ResponseWriter, r *request) error {
	if err := f.checkRate(r); err != nil {
		return err
	}
	c, err := f.parse(r)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	f.retryBudget.Earn()
	f.hedgeBudget.Earn()
	out := newSink(w, c, f)
	return f.relay(ctx, c, out)
}

func (f *Frontend) parse(r *request) (*completion, error) {
	if !gjson.ValidBytes(r.body) {
		return nil, jayerror.New("parse", KindInvalid, "body is not JSON")
	}
	fields := gjson.GetManyBytes(r.body, "model", "stream", "max_completion_tokens", "max_tokens", "messages", "prompt")
	c := &completion{request: r, model: fields[0].String(), stream: fields[1].Bool()}
	if !fields[4].Exists() && !fields[5].Exists() {
		return nil, jayerror.New("parse", KindInvalid, "body has neither messages nor prompt")
	}
	var ok bool
	if c.route, ok = r.config.Route(c.model, r.caller.Labels); !ok {
		return nil, jayerror.Newf("parse", KindModel, "model %q is not served to this account; see /v1/models", c.model)
	}
	timeout, err := f.timeout(r, f.Limits.Timeout)
	if err != nil {
		return nil, err
	}
	c.deadline = r.start.Add(timeout)
	c.position = cursor{request: r.id}
	if last := r.Header.Get("Last-Event-ID"); last != "" {
		if c.position, err = f.parseCursor(last, r.caller.Name, r.body); err != nil {
			return nil, err
		}
	}
	c.maxTokens = int(max(fields[2].Int(), fields[3].Int()))
	c.work = f.estimateWork(c, fields[4].Raw+fields[5].Raw)
	c.body, err = engineBody(c)
	return c, err
}

// estimateWork predicts the work of a request.
func (f *Frontend) estimateWork(c *completion, prompt string) jayroute.Work {
	work := jayroute.Work{
		Prompt: len(prompt)/bytesPerToken + 1,
		Output: f.lengthPredictor.predict(c.caller.Name, c.model, c.maxTokens),
		Region: f.Region,
	}
	if len(prompt) >= prefixBytes {
		work.Prefix = xxhash.Sum64String(prompt[:prefixBytes])
	}
	work.Urgent = c.route.Priority == jayconfig.PriorityHigh
	work.Long = f.lengthPredictor.isLong(work.Output + int(promptWeight*float64(work.Prompt)))
	return work
}

// engineBody returns the caller's body with streaming enabled and a seed set, so
// that a stream resumed at another upstream continues with the same tokens.
func engineBody(c *completion) ([]byte, error) {
	body, err := sjson.SetBytes(c.request.body, "stream", true)
	if err == nil && !gjson.GetBytes(body, "seed").Exists() {
		body, err = sjson.SetBytes(body, "seed", xxhash.Sum64String(c.position.request)>>32)
	}
	if err != nil {
		return nil, jayerror.Wrap("parse", KindInvalid, err)
	}
	return body, nil
}

// acquire requests an upstream other than the one to avoid.
func (f *Frontend) acquire(ctx context.Context, c *completion, avoid string) (jaydispatch.Grant, error) {
	request := f.dispatchRequest(c, avoid)
	if avoid == "" {
		request.Prefer = c.position.upstream
	}
	return f.Dispatcher.Acquire(ctx, request)
}

// dispatchRequest returns the dispatcher request for a completion.
func (f *Frontend) dispatchRequest(c *completion, avoid string) jaydispatch.Request {
	return jaydispatch.Request{
		Pool:     c.route.Name,
		Model:    c.model,
		Caller:   c.caller.Name,
		Weight:   c.caller.Weight,
		Priority: c.route.Priority,
		Deadline: c.deadline,
		Work:     c.work,
		Avoid:    avoid,
	}
}
