// Package jayrelay passes the requests of callers on to upstreams and their
// answers back.
//
// A request is parsed, routed, placed and sent once; it is sent again only
// where that is safe: it did not run, or its route lets it run again. The
// decisions where and whether are those of jayplace and jaylimit, and the names
// of headers are those of a Dialect.
package jayrelay

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"jayfield.example/jay/jayerror"
	"jayfield.example/jay/jayfleet"
	"jayfield.example/jay/jaylink"
	"jayfield.example/jay/jaymetric"
	"jayfield.example/jay/jayplace"
	"jayfield.example/jay/jaytraffic"
)

// Policies gives the traffic policy in force, nil before the first.
type Policies interface {
	Policy() *jaytraffic.Policy
}

// Placer decides where requests go and is told what became of them.
type Placer interface {
	Choose(ctx context.Context, w jayplace.Work) (jayplace.Choice, error)
	// Host returns who gives the answer to a prompt that a reader has read.
	Host(ctx context.Context, w jayplace.Work, reader jayfleet.Upstream) (jayfleet.Upstream, error)
	// Reading and Read frame the reading of a choice's prompt.
	Reading(c jayplace.Choice)
	Read(c jayplace.Choice, shared string, done bool)
	// Start and End frame a request at an upstream.
	Start(id string)
	End(id string, outcome jayplace.Outcome, took time.Duration, prompt bool)
	Heard(id string, load jayplace.Load)
}

// Budget bounds the requests that are sent to a service again.
type Budget interface {
	// Earn counts a request for a service.
	Earn(service string)
	// Spend takes one further send and reports whether the budget allows it.
	Spend(service string) bool
}

// Exchanger sends requests to upstreams.
type Exchanger interface {
	Exchange(ctx context.Context, address string, request *jaylink.Request) (*jaylink.Response, error)
}

// Relay serves callers. It is safe for concurrent use.
type Relay struct {
	policies Policies
	placer   Placer
	budget   Budget
	links    Exchanger
	dialect  Dialect
	metrics  *jaymetric.Set
	series   *jaymetric.Exposition
	log      *slog.Logger
}

// Parts are what a relay is made of.
type Parts struct {
	Policies Policies
	Placer   Placer
	Budget   Budget
	Links    Exchanger
	Dialect  Dialect
	Metrics  *jaymetric.Set
	Series   *jaymetric.Exposition
	Log      *slog.Logger
}

// New returns a relay of its parts.
func New(p Parts) *Relay {
	return &Relay{
		policies: p.Policies, placer: p.Placer, budget: p.Budget, links: p.Links,
		dialect: p.Dialect, metrics: p.Metrics, series: p.Series, log: p.Log,
	}
}

const (
	// unknownPatience bounds a request whose route and caller state no time.
	unknownPatience = 30 * time.Second
	// noPolicyPause is when to come back to an instance that has no policy yet.
	noPolicyPause = 500 * time.Millisecond
	// writeSlack is how much longer than the request the caller may take to receive.
	writeSlack = time.Second
)

// ServeHTTP serves one request of a caller.
func (r *Relay) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	r.metrics.Add(jaymetric.Requests, 1)
	x := &exchange{Relay: r, writer: w, request: request, began: time.Now(), avoid: make(map[string]bool)}
	if err := x.admit(); err != nil {
		x.fail(err)
		return
	}
	ctx, cancel := context.WithDeadline(request.Context(), x.deadline)
	defer cancel()
	if x.route.Kind == jaytraffic.KindStream {
		x.serveStream(ctx)
		return
	}
	x.servePlain(ctx)
}

// exchange is one request of a caller and its way.
type exchange struct {
	*Relay
	writer   http.ResponseWriter
	request  *http.Request
	began    time.Time
	deadline time.Time

	call    Call
	route   jaytraffic.Route
	service string
	version int64
	body    []byte
	// tried lists the upstreams that the request was sent to, and avoid holds them as a set;
	// runs counts those that may have run it, sends all, and reads the prompts read for it.
	tried              []string
	avoid              map[string]bool
	runs, sends, reads int
	// choice and host are where the newest attempt runs, readIn is how long after the
	// request's arrival its prompt had been read apart.
	choice jayplace.Choice
	host   jayfleet.Upstream
	readIn time.Duration
	// headed is set once the caller has the header of the answer.
	headed bool
}

// admit parses the request, finds its route and reads its body.
func (x *exchange) admit() error {
	policy := x.policies.Policy()
	if policy == nil {
		return x.refusal(http.StatusServiceUnavailable, noPolicyPause, "no traffic policy is known yet")
	}
	x.version = policy.Version
	call, err := x.dialect.Call(x.request.Header)
	if err != nil {
		return x.malformed(http.StatusBadRequest, err)
	}
	x.call = call
	if !strings.HasPrefix(x.request.RequestURI, "/") {
		return x.malformed(http.StatusBadRequest, errors.New("target is not a path"))
	}
	path, _, _ := strings.Cut(x.request.RequestURI, "?")
	route, ok := policy.Route(x.request.Host, path)
	if !ok {
		return x.malformed(http.StatusNotFound, errors.Errorf("no route of version %d has the host and path", policy.Version))
	}
	x.route = route
	x.service = route.Service(call.ID)
	x.deadline = x.began.Add(x.patience())
	return x.read(policy.Limits.Body)
}

// patience returns the lesser of what the route and the caller allow.
func (x *exchange) patience() time.Duration {
	patience := unknownPatience
	if x.route.Timeout > 0 {
		patience = x.route.Timeout
	}
	if x.call.Patience > 0 {
		patience = min(patience, x.call.Patience)
	}
	return patience
}

// read reads the whole body, as the server notices a caller that leaves only after it.
func (x *exchange) read(limit int) error {
	control := http.NewResponseController(x.writer)
	// A connection without deadlines keeps the server's own bounds.
	_ = control.SetReadDeadline(x.deadline)
	_ = control.SetWriteDeadline(x.deadline.Add(writeSlack))
	if limit > 0 && x.request.ContentLength > int64(limit) {
		return x.malformed(http.StatusRequestEntityTooLarge, errors.Errorf("body is larger than %d bytes", limit))
	}
	source := io.Reader(x.request.Body)
	if limit > 0 {
		source = io.LimitReader(source, int64(limit)+1)
	}
	body, err := io.ReadAll(source)
	switch {
	case err != nil && x.request.Context().Err() != nil:
		return jayerror.Wrap("read", KindGone, err)
	case err != nil:
		return x.malformed(http.StatusBadRequest, errors.Wrap(err, "body cannot be read"))
	case limit > 0 && len(body) > limit:
		return x.malformed(http.StatusRequestEntityTooLarge, errors.Errorf("body is larger than %d bytes", limit))
	}
	_ = control.SetReadDeadline(time.Time{})
	x.body = body
	return nil
}

// work describes the request to the placer.
func (x *exchange) work() jayplace.Work {
	w := jayplace.Work{ID: x.call.ID, Service: x.service, Avoid: x.avoid}
	if p := x.call.Prompt; p != nil && x.route.Prompt {
		w.Prompt = true
		w.Shared, w.SharedTokens, w.OwnTokens, w.AnswerTokens = p.Shared, p.SharedTokens, p.OwnTokens, p.HintTokens
		if p.HintTokens == 0 {
			w.AnswerTokens = p.OutputTokens
		}
	}
	return w
}
