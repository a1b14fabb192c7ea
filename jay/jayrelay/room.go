package jayrelay

import (
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"jayfield.example/jay/jayerror"
	"jayfield.example/jay/jaylimit"
	"jayfield.example/jay/jaymetric"
	"jayfield.example/jay/jayplace"
)

const (
	// responseParts is the part of the memory of all requests and responses that may be read ahead for one
	// response: at least that many callers have to stop reading before others are affected.
	responseParts = 16
	// minResponseBound is the least bound of a response, so that small limits leave room for some events.
	minResponseBound = 64 << 10
	// writeChunk is the largest part of a response that is written at once. A caller counts as reading when the
	// system takes such a part; the time without reading is that since the current part was offered.
	writeChunk = 16 << 10
	// heldBackFor is the time without reading from an upstream, in total of the pauses that are less than
	// heldBackGap apart and from the end of the response, from which the end of its response is
	// attributed to the caller or to the lack of memory. Engines cut off responses that stay unread for some
	// seconds, a part of which may pass while the instance itself is slow: 1 s left 2 to 89 of 300 to the engine.
	heldBackFor = 500 * time.Millisecond
	// heldBackGap is the time with reading after which a pause no longer explains the end of a response: an engine
	// that goes on after a pause did not end the response for it.
	heldBackGap = 2 * time.Second
	// endingTime limits the wait for requests that were ended to return their memory.
	endingTime = 500 * time.Millisecond
	// growRetry is the interval in which a request that waits for memory tries again.
	growRetry = 20 * time.Millisecond
)

// Three values tell how a response ended for lack of memory or reading:
//   - KindEnded is the kind of the error of a request that this instance ended while it wrote to the caller.
//   - jayplace.OutcomeEnded is the outcome of a send that ended for either reason and is no evidence about its
//     upstream, whether this instance or the upstream ended it.
//   - endUpstream is the reason in the log and the metric if the upstream ended the response or it timed out after
//     it had been held back. The other reasons, of package jaylimit, are those of requests that this instance ended.
//
// endUpstream is the reason of a response that ended at its upstream since it was not read.
const endUpstream jaylimit.EndReason = "upstream"

// errEnded is the cause of the end of a request that was ended for lack of memory.
var errEnded = errors.New("ended since requests and answers take too much memory together")

// inProgress are the requests in progress, which may be ended for lack of memory.
type inProgress struct {
	mu  sync.Mutex
	set map[*exchange]bool
}

// add adds a request before its body is read, since stalled uploads hold memory as well.
func (p *inProgress) add(x *exchange) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.set[x] = true
}

// beginRead is called before the body of a request is read, endRead after it.
func (p *inProgress) beginRead(x *exchange) {
	p.mu.Lock()
	defer p.mu.Unlock()
	x.reading = true
}

func (p *inProgress) endRead(x *exchange) {
	p.mu.Lock()
	defer p.mu.Unlock()
	x.reading = false
}

// remove removes a request whose memory has been returned.
func (p *inProgress) remove(x *exchange) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.set, x)
	close(x.done)
}

// unread returns the number of responses whose callers have stopped reading.
func (p *inProgress) unread() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for x := range p.set {
		if x.unreadFor() >= jaylimit.MinUnread {
			n++
		}
	}
	return n
}

// responseBound returns how many bytes are read ahead for one response.
func (r *Relay) responseBound() int64 {
	return max(minResponseBound, r.memory.Limit()/responseParts)
}

// grow adds bytes to a message of the request. If the limit of all requests is reached, it waits or ends other
// requests by the rule of jaylimit.Endings, or reports false if the request itself is the one to be ended or its
// context has ended.
func (x *exchange) grow(share *jaylimit.Share, n int64) bool {
	if share.Grow(n) {
		return true
	}
	began := time.Now()
	defer func() { x.heldBack.add(began, time.Now()) }()
	for !x.ended.Load() && !x.isOver() {
		d := x.endRequests(n, time.Since(began))
		for _, e := range d.ended {
			e.report()
		}
		switch d.step {
		case stepGiveUp:
			return false
		case stepAwaitRelease:
			x.awaitRelease(d.pending)
		case stepRetry:
			x.pause(growRetry)
		}
		if share.Grow(n) {
			return true
		}
	}
	return false
}

// isOver reports whether the context of the request has ended.
func (x *exchange) isOver() bool {
	select {
	case <-x.over:
		return true
	default:
		return false
	}
}

// awaitRelease waits until requests that were ended have returned their memory. It returns early after endingTime
// or if the context of the request ends.
func (x *exchange) awaitRelease(pending []*exchange) {
	timeout := time.NewTimer(endingTime)
	defer timeout.Stop()
	for _, other := range pending {
		select {
		case <-other.done:
		case <-timeout.C:
			return
		case <-x.over:
			return
		}
	}
}

// pause waits for some time. It returns early if the context of the request ends.
func (x *exchange) pause(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-x.over:
	}
}

// growStep is what a request that needs memory does after a decision.
type growStep int

const (
	// stepRetry means that no request was ended: a caller may turn out to have stopped reading.
	stepRetry growStep = iota
	// stepAwaitRelease means that requests that were ended are about to return enough memory.
	stepAwaitRelease
	// stepGiveUp means that the request itself was ended.
	stepGiveUp
)

// endDecision is the result of endRequests.
type endDecision struct {
	step growStep
	// ended are the requests that the decision ended.
	ended []endedRequest
	// pending are all ended requests that have not returned their memory yet, for stepAwaitRelease.
	pending []*exchange
}

// endedRequest is a request that was ended, with the inputs of the decision.
type endedRequest struct {
	*exchange
	reason     jaylimit.EndReason
	held       jaylimit.Held
	need, used int64
	candidates int
}

// endRequests decides which requests to end so that this one gets n bytes, and ends them.
func (x *exchange) endRequests(n int64, waited time.Duration) endDecision {
	x.requests.mu.Lock()
	defer x.requests.mu.Unlock()
	used := x.memory.Used()
	need := max(1, used+n-x.memory.Limit())
	list, of := []jaylimit.Held{x.state(true)}, []*exchange{x}
	freed, d := int64(0), endDecision{}
	for other := range x.requests.set {
		switch {
		case other == x:
		case other.ended.Load():
			d.pending, freed = append(d.pending, other), freed+other.held.Taken()
		default:
			list, of = append(list, other.state(false)), append(of, other)
		}
	}
	if freed >= need {
		d.step = stepAwaitRelease
		return d
	}
	for _, e := range jaylimit.Endings(list, need-freed, waited) {
		other := of[e.Index]
		other.end()
		d.ended = append(d.ended, endedRequest{exchange: other, reason: e.Reason, held: list[e.Index], need: n, used: used, candidates: len(list)})
		if other == x {
			d.step = stepGiveUp
			return d
		}
		d.pending = append(d.pending, other)
	}
	if len(d.pending) > 0 {
		d.step = stepAwaitRelease
	}
	return d
}

// report logs and counts the end of a request.
func (e endedRequest) report() {
	e.series.Count("responses_ended_total", jaymetric.Label{Name: "reason", Value: string(e.reason)})
	e.log.Warn("response ended", "request", e.call.ID, "route", e.route.Name, "service", e.service, "reason", e.reason,
		"held", e.held.Bytes, "unread", e.held.Unread, "sent", e.held.Sent, "begun", e.held.Begun, "repeatable", e.held.Repeatable,
		"growing", e.held.Growing, "need", e.need, "used", e.used, "limit", e.memory.Limit(), "candidates", e.candidates)
}

// holdBack is the time for which the response of the latest send was not read, since its caller did not read it or
// memory was short. It is safe for concurrent use.
type holdBack struct {
	mu sync.Mutex
	// total is the time in pauses that are less than heldBackGap apart, until is the end of the last one, and
	// ended is when the response ended, zero before.
	total        time.Duration
	until, ended time.Time
}

// reset begins a new response.
func (h *holdBack) reset() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.total, h.until, h.ended = 0, time.Time{}, time.Time{}
}

// add adds a pause.
func (h *holdBack) add(began, until time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if began.Sub(h.until) > heldBackGap {
		h.total = 0
	}
	h.total += until.Sub(began)
	h.until = until
}

// end records that the response has ended.
func (h *holdBack) end(at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ended = at
}

// atEnd returns the time for which the response was held back before its end, which is now unless it was recorded.
func (h *holdBack) atEnd(now time.Time) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.ended.IsZero() {
		now = h.ended
	}
	if now.Sub(h.until) > heldBackGap {
		return 0
	}
	return h.total
}

// attributeEnd changes the outcome of a response that its upstream ended, or that timed out, after it had not been
// read for some time: that is no evidence about the upstream.
func (x *exchange) attributeEnd(f *failure) {
	heldBack := x.heldBack.atEnd(time.Now())
	if f.outcome != jayplace.OutcomeBroken && f.outcome != jayplace.OutcomeTimeout || heldBack < heldBackFor {
		return
	}
	f.outcome = jayplace.OutcomeEnded
	x.series.Count("responses_ended_total", jaymetric.Label{Name: "reason", Value: string(endUpstream)})
	x.log.Warn("response ended", "request", x.call.ID, "route", x.route.Name, "service", x.service, "reason", endUpstream,
		"upstreams", x.tried, "held", x.held.Taken(), "heldBack", heldBack, "unread", x.unreadFor(), "bound", x.responseBound(),
		"used", x.memory.Used(), "limit", x.memory.Limit(), "error", f.cause)
}

// state returns what decides whether the request is ended.
func (x *exchange) state(growing bool) jaylimit.Held {
	bytes := x.held.Taken()
	return jaylimit.Held{
		Bytes: bytes, Large: bytes > x.responseBound(), Unread: x.unreadFor(), Sent: x.anySent.Load(), Begun: x.anyWritten.Load(), Repeatable: x.route.Repeatable(), Growing: growing,
	}
}

// end ends the request: the read of its body, after which it is refused, its connection to the upstream and the
// write to its caller. The lock of the requests in progress must be held.
func (x *exchange) end() {
	x.ended.Store(true)
	if x.cancel != nil {
		x.cancel(errEnded)
	}
	if x.reading {
		_ = http.NewResponseController(x.writer).SetReadDeadline(time.Unix(1, 0)) // It fails only if the connection is closed.
	}
	if x.writingSince.Load() != 0 {
		_ = http.NewResponseController(x.writer).SetWriteDeadline(time.Unix(1, 0)) // It fails only if the connection is closed.
	}
}

// unreadFor returns the time since the caller has taken a part of the response that is being written, 0 if none is.
func (x *exchange) unreadFor() time.Duration {
	since := x.writingSince.Load()
	if since == 0 {
		return 0
	}
	return time.Since(x.began) - time.Duration(since)
}

// write writes a part of the response to the caller and, for a stream, flushes it.
func (x *exchange) write(data []byte, flush bool) error {
	defer x.writingSince.Store(0)
	for len(data) > 0 {
		x.writingSince.Store(max(1, int64(time.Since(x.began))))
		if x.ended.Load() {
			return jayerror.Wrap("write", KindEnded, errEnded)
		}
		part := data[:min(len(data), writeChunk)]
		data = data[len(part):]
		_, err := x.writer.Write(part)
		if err == nil && flush && len(data) == 0 {
			err = http.NewResponseController(x.writer).Flush()
		}
		switch {
		case err == nil:
		case x.ended.Load():
			return jayerror.Wrap("write", KindEnded, errEnded)
		default:
			return jayerror.Wrap("pass", KindCallerGone, err)
		}
	}
	return nil
}
