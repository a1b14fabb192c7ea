// Package jayrelay is the reverse proxy between callers and upstreams.
//
// A request is parsed, routed, placed and sent once. It is retried only if that is
// safe: it did not run, or its route allows it to run again. Package jayplace selects
// the upstream, package jaylimit limits retries, and a Dialect defines the names of
// headers.
package jayrelay

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"jayfield.example/jay/jayaccount"
	"jayfield.example/jay/jayadmit"
	"jayfield.example/jay/jayerror"
	"jayfield.example/jay/jayfleet"
	"jayfield.example/jay/jaylimit"
	"jayfield.example/jay/jaylink"
	"jayfield.example/jay/jaymetric"
	"jayfield.example/jay/jayplace"
	"jayfield.example/jay/jaystop"
	"jayfield.example/jay/jaytraffic"
)

// Policies provides the current traffic policy, nil before the first is loaded.
type Policies interface {
	Policy() *jaytraffic.Policy
}

// Placer selects the upstreams of requests and records the outcomes.
type Placer interface {
	Choose(ctx context.Context, w jayplace.Work) (jayplace.Choice, error)
	// DecodeUpstream returns the upstream that decodes a prompt for which prefillUpstream ran prefill.
	DecodeUpstream(ctx context.Context, w jayplace.Work, prefillUpstream jayfleet.Upstream) (jayfleet.Upstream, error)
	// TakesWork reports whether an upstream still takes new requests.
	TakesWork(id string) bool
	// StartPrefill is called when prefill of a choice's prompt starts, EndPrefill when it ends.
	StartPrefill(c jayplace.Choice)
	EndPrefill(c jayplace.Choice, prefix string, done bool)
	// EndPlacement is called once a request that had been held was sent to the upstream of its placement,
	// after Start, or will not be sent there.
	EndPlacement(id string)
	// RecordHandOver is called with the time from the send to the first event at an upstream that
	// decodes a prompt for which another upstream ran prefill.
	RecordHandOver(u jayfleet.Upstream, took time.Duration)
	// Start is called when a request is sent to an upstream, End when it ends there.
	Start(id string)
	End(id string, outcome jayplace.Outcome, took time.Duration, prompt bool)
	// EndAnswer is called when an upstream ends an answer to a prompt that it began, whether
	// or not the answer is complete.
	EndAnswer(w jayplace.Work, id string, outcome jayplace.Outcome)
	// RecordAnswer is called with the times of a complete answer to a prompt.
	RecordAnswer(a jayplace.Answer)
	// RecordStatement is called when an upstream states in its answer to a request that it is
	// leaving or busy.
	RecordStatement(u jayfleet.Upstream, request string, reply Reply)
	// RecordLoad records the load that an upstream reports.
	RecordLoad(id string, load jayplace.Load)
}

// Budget limits the retries of requests to a service.
type Budget interface {
	// Earn counts a request to a service.
	Earn(service string)
	// Spend reports whether the budget allows a retry, and counts it if so.
	Spend(service string) bool
}

// Exchanger sends requests to upstreams.
type Exchanger interface {
	Exchange(ctx context.Context, address string, request *jaylink.Request) (*jaylink.Response, error)
}

// Usage counts the requests that upstreams begin to run, by client account.
type Usage interface {
	// Begun records that an upstream began to run a request of an account at a point in time. It is called
	// at most once for each request.
	Begun(account string, at time.Time)
}

// Demand records the demand for services whose engines may be ordered.
type Demand interface {
	// Admit is called when a prompt is placed, or refused without a placement, with the prompt tokens that
	// have to be prefilled and the output tokens that are expected.
	Admit(service string, prefill, output int)
	// UsePrefix is called with the shared prefix of such a prompt and its tokens.
	UsePrefix(service, prefix string, tokens int)
	// Prefilled is called when these prompt tokens are no longer queued: at the first event or at the end.
	Prefilled(service string, prefill int)
	// End is called when the request ends. missed is set if it missed its latency objective or was not served.
	End(service string, missed bool)
}

// Admission holds requests to engines before their first send while engines are overloaded.
type Admission interface {
	// Admit returns the placement with which the request is sent now, and whether its
	// placement and StartPrefill have been recorded. An error means that the request was not sent and never will be.
	Admit(ctx context.Context, r jayadmit.Request, w jayplace.Work, choice jayplace.Choice) (jayplace.Choice, bool, error)
}

// Streams knows the versions of upstreams that began streams. What two versions generate does not fit together, so a stream goes on
// only at the one that began it.
type Streams interface {
	// Version returns the version at which a stream of a service may go on, whose first event came with an attempt, empty if the
	// caller does not state it. It may read the store. The error is of jaystream.KindUnknown if the version cannot be
	// known, and states when the caller may try again.
	Version(ctx context.Context, service, attempt string) (string, error)
	// Began is called with the version of the upstream that generated the first event of a stream, when that has come.
	Began(service, attempt, version string)
	// Ended is called when the response to a stream that began ends, with whether it was complete.
	Ended(service, attempt string, complete bool)
}

// Relay is the HTTP handler for callers. It is safe for concurrent use.
type Relay struct {
	policies  Policies
	confirmer Confirmer
	// apply is the time in which a policy has to be in force.
	apply time.Duration
	// unknownKeys are the keys that were recently found in no account.
	unknownKeys *jayaccount.Recent

	placer  Placer
	budget  Budget
	links   Exchanger
	dialect Dialect
	metrics *jaymetric.Set
	series  *jaymetric.Exposition
	log     *slog.Logger
	memory  *jaylimit.Memory
	// requests are those in progress.
	requests inProgress
	others   func() []string
	usage    Usage
	demand   Demand
	// admission is nil if no requests are held, streams if nothing is known of the streams of other responses.
	admission Admission
	streams   Streams
	// stop is the plan of the planned stop, nil before it begins.
	stop atomic.Pointer[jaystop.Plan]
	// endAll ends all requests in progress, and onEnd calls a function when that happens.
	endAll func()
	onEnd  func(f func()) (cancel func() bool)
}

// Options are the dependencies of a relay.
type Options struct {
	Policies Policies
	// Confirmer confirms that the policy in force is the newest, Apply is the time in which a policy has to
	// be in force. Without a confirmer the policy is always the newest.
	Confirmer Confirmer
	Apply     time.Duration

	Placer  Placer
	Budget  Budget
	Links   Exchanger
	Dialect Dialect
	Metrics *jaymetric.Set
	Series  *jaymetric.Exposition
	Log     *slog.Logger
	// Memory limits the bodies and events of all requests together.
	Memory *jaylimit.Memory
	// Others returns the addresses of other instances that take requests; nil if there are none.
	Others func() []string
	// Usage counts requests by client account, nil if no usage is reported.
	Usage Usage
	// Demand records the demand for services, nil if no engines are ordered.
	Demand Demand
	// Admission holds requests of client accounts, nil if none are held.
	Admission Admission
	// Streams knows the versions that began streams, nil if they are only known within a response.
	Streams Streams
}

// New returns a relay with the given dependencies.
func New(options Options) *Relay {
	ending, endAll := context.WithCancel(context.Background())
	r := &Relay{
		policies: options.Policies, confirmer: options.Confirmer, apply: options.Apply, unknownKeys: jayaccount.NewRecent(), placer: options.Placer, budget: options.Budget, links: options.Links,
		dialect: options.Dialect, metrics: options.Metrics, series: options.Series, log: options.Log, memory: options.Memory, others: options.Others,
		usage: options.Usage, demand: options.Demand, admission: options.Admission, streams: options.Streams,
		endAll: endAll, onEnd: func(f func()) func() bool { return context.AfterFunc(ending, f) },
	}
	if r.confirmer == nil {
		r.confirmer = alwaysConfirmed{}
	}
	if r.others == nil {
		r.others = func() []string { return nil }
	}
	r.requests.set = make(map[*exchange]bool)
	r.series.Gauge("responses_unread", func() float64 { return float64(r.requests.unread()) })
	return r
}

const (
	// noPolicyRetryAfter is the retry delay returned while the instance has no policy.
	noPolicyRetryAfter = 500 * time.Millisecond
	// writeMargin is the time after the request's deadline in which the caller may still
	// receive the response.
	writeMargin = time.Second
)

// ServeHTTP serves one request of a caller.
func (r *Relay) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	r.metrics.Add(jaymetric.Requests, 1)
	x := &exchange{Relay: r, writer: w, request: request, began: time.Now(), avoid: make(map[string]bool), done: make(chan struct{})}
	x.buffered = r.memory.ShareOf(&x.held, freeBytes)
	defer x.endDemand()
	bodyLimit, err := x.admit()
	if err != nil {
		x.fail(err)
		return
	}
	ctx, cancel := context.WithDeadline(request.Context(), x.deadline)
	defer cancel()
	ctx, end := context.WithCancelCause(ctx)
	defer end(nil)
	cancelEnd := r.onEnd(func() { end(errStopped) })
	defer cancelEnd()
	x.cancel, x.over = end, ctx.Done()
	r.requests.add(x)
	defer r.requests.remove(x)
	defer x.buffered.Release()
	defer x.discardResponseBody()
	if err = x.readRequestBody(bodyLimit); err == nil {
		err = x.admitDuringStop(time.Now())
	}
	if err != nil {
		x.fail(err)
		return
	}
	if x.route.Kind == jaytraffic.KindStream {
		x.serveStream(ctx)
		return
	}
	x.servePlain(ctx)
}

// exchange is the state of one caller's request.
type exchange struct {
	*Relay
	writer   http.ResponseWriter
	request  *http.Request
	began    time.Time
	deadline time.Time

	call     Call
	route    jaytraffic.Route
	service  string
	version  int64
	identity identity
	body     []byte
	// buffered is the memory of the body of the request, response that of the body of the latest response, nil
	// before the first, and held that of all messages of the request.
	buffered, response *jaylimit.Share
	held               jaylimit.Holder
	// anySent is set once the request was sent to an upstream, anyWritten with headerSent. writingSince is when
	// the current write to the caller began, in ns since the request's arrival, 0 if there is none. ended is set
	// when the request is ended for lack of memory; cancel then ends its context, and done is closed when its
	// memory has been returned. Other requests read these fields.
	anySent, anyWritten, ended atomic.Bool
	// reading is set while the body of the request is read. It is guarded by the lock of the requests in progress.
	reading      bool
	writingSince atomic.Int64
	heldBack     holdBack
	cancel       context.CancelCauseFunc
	done         chan struct{}
	// over is closed when the context of the request ends.
	over <-chan struct{}
	// tried lists the upstreams that the request was sent to, avoid holds them as a set.
	// runs counts the sends that may have run, sends counts all except prefill-only ones
	// that got a valid response, prefills counts the attempts to run prefill separately.
	tried                 []string
	avoid                 map[string]bool
	runs, sends, prefills int
	// placed is the upstream of a placement by admission that has not ended.
	placed string
	// choice, made at chosenAt, and decodeUpstream are the placement of the latest attempt. prefilledAfter is
	// the time from the request's arrival to the end of prefill on another upstream.
	choice         jayplace.Choice
	chosenAt       time.Time
	decodeUpstream jayfleet.Upstream
	prefilledAfter time.Duration
	// firstEventAfter and latestEventAfter are the times from the request's arrival to the first and the
	// latest event of a stream, 0 before the first. longestPause is the longest time between two events.
	firstEventAfter, latestEventAfter, longestPause time.Duration
	// pinned is set once the stream may go on only at upstreams of a version, which is pinnedVersion.
	pinned        bool
	pinnedVersion string
	// headerSent is set once the response header has been sent to the caller.
	headerSent bool
	// begun is set once the request has been counted for its account.
	begun bool
	// demanded is what has been recorded of the request's demand.
	demanded demand
}

// admit parses the request, matches its route and finds its client account. It returns the limit of its body.
func (x *exchange) admit() (bodyLimit int, err error) {
	policy := x.policies.Policy()
	if policy == nil {
		return 0, x.refusal(noPolicyRetryAfter, "no traffic policy is known yet")
	}
	x.version = policy.Version
	call, err := x.dialect.ParseCall(x.request.Header)
	if err != nil {
		return 0, x.invalidRequest(http.StatusBadRequest, err)
	}
	x.call = call
	if !strings.HasPrefix(x.request.RequestURI, "/") {
		return 0, x.invalidRequest(http.StatusBadRequest, errors.New("target is not a path"))
	}
	if err := x.match(policy); err != nil {
		return 0, err
	}
	if policy, err = x.authenticate(policy); err != nil {
		return 0, err
	}
	return policy.Limits.Body, nil
}

// match finds the route of the request in a policy.
func (x *exchange) match(policy *jaytraffic.Policy) error {
	x.version = policy.Version
	path, _, _ := strings.Cut(x.request.RequestURI, "?")
	route, ok := policy.Route(x.request.Host, path)
	if !ok {
		return x.invalidRequest(http.StatusNotFound, errors.Errorf("no route of version %d has the host and path", policy.Version))
	}
	x.route = route
	x.service = route.Service(x.streamID())
	x.demanded.scaled = x.isScaled(policy)
	x.deadline = x.began.Add(x.timeout())
	return nil
}

// markHeaderSent records that the response header is being sent to the caller.
func (x *exchange) markHeaderSent() {
	x.headerSent = true
	x.anyWritten.Store(true)
}

// timeout returns the shorter of the route's timeout and the caller's.
func (x *exchange) timeout() time.Duration {
	timeout := x.route.TimeLimit()
	if x.call.Timeout > 0 {
		timeout = min(timeout, x.call.Timeout)
	}
	return timeout
}

// readRequestBody reads the complete body, since the HTTP server detects a closed
// connection only after that.
func (x *exchange) readRequestBody(limit int) error {
	control := http.NewResponseController(x.writer)
	// If the connection does not support deadlines, the server's own limits apply.
	_ = control.SetReadDeadline(x.deadline)
	_ = control.SetWriteDeadline(x.deadline.Add(writeMargin))
	if limit > 0 && x.request.ContentLength > int64(limit) {
		return x.invalidRequest(http.StatusRequestEntityTooLarge, errors.Errorf("body is larger than %d bytes", limit))
	}
	source := io.Reader(x.request.Body)
	if limit > 0 {
		source = io.LimitReader(source, int64(limit)+1)
	}
	x.requests.beginRead(x)
	body, err := io.ReadAll(&countingReader{source: source, share: x.buffered, grow: x.grow})
	x.requests.endRead(x)
	switch {
	case x.ended.Load() || errors.Is(err, errNoMemory):
		// The read deadline has passed, so that the server can read no other request from the connection.
		x.writer.Header().Set("Connection", "close")
		return x.refusal(refusedRetryAfter, errNoMemory.Error())
	case err != nil && x.request.Context().Err() != nil:
		return jayerror.Wrap("read", KindCallerGone, err)
	case err != nil:
		return x.invalidRequest(http.StatusBadRequest, errors.Wrap(err, "body cannot be read"))
	case limit > 0 && len(body) > limit:
		return x.invalidRequest(http.StatusRequestEntityTooLarge, errors.Errorf("body is larger than %d bytes", limit))
	}
	_ = control.SetReadDeadline(time.Time{})
	x.body = body
	return nil
}

// errNoMemory is returned if the bodies of all requests and responses reach the memory limit.
var errNoMemory = errors.New("requests and answers take too much memory together")

// countingReader counts what it reads as the memory of a message.
type countingReader struct {
	source io.Reader
	share  *jaylimit.Share
	grow   grower
}

// Read reads from the source.
func (r *countingReader) Read(p []byte) (int, error) {
	n, err := r.source.Read(p)
	if !r.grow(r.share, int64(n)) {
		return 0, errNoMemory
	}
	return n, err //nolint:wrapcheck // io.ReadAll depends on io.EOF.
}

// work returns the description of the request for the placer.
func (x *exchange) work() jayplace.Work {
	account := x.identity.account
	w := jayplace.Work{
		ID: x.call.ID, Service: x.service, Account: account.Name, Priority: account.PriorityOr(x.route.Priority), Target: x.route.Target, Avoid: x.avoid,
		Pinned: x.pinned, Version: x.pinnedVersion,
	}
	if p := x.call.Prompt; p != nil && x.route.Prompt {
		w.Prompt, w.Parts = true, p.Parts
		w.Prefix, w.PrefixTokens, w.OwnTokens, w.ExpectedOutputTokens = p.Prefix, p.PrefixTokens, p.OwnTokens, p.EstimatedOutputTokens
		if p.EstimatedOutputTokens == 0 {
			w.ExpectedOutputTokens = p.OutputTokens
		}
	}
	return w
}
