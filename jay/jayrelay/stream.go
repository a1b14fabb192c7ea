package jayrelay

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"jayfield.example/jay/jayerror"
	"jayfield.example/jay/jayfleet"
	"jayfield.example/jay/jaylink"
	"jayfield.example/jay/jaymetric"
	"jayfield.example/jay/jayplace"
	"jayfield.example/jay/jaysink"
)

// serveStream serves a request whose response is a stream of events. If the route
// allows it, an interrupted stream is resumed on another upstream within the same
// response.
func (x *exchange) serveStream(ctx context.Context) {
	x.budget.Earn(x.service)
	s := &stream{exchange: x, lastEventID: x.call.LastEventID}
	if err := s.pinResumed(ctx); err != nil {
		x.fail(err)
		return
	}
	complete := false
	// Failures abort the handler.
	defer func() { s.endKnown(complete) }()
	for {
		f := s.attempt(ctx)
		if f == nil {
			complete = true
			s.recordServed(ctx)
			return
		}
		if err := x.checkRetry(ctx, f); err != nil {
			x.fail(err)
			return
		}
	}
}

// stream is the state of a streaming response.
type stream struct {
	*exchange
	// lastEventID is the ID of the last event sent to the caller, or the one that the
	// caller's request states. lastID is the same as a number, of sent events only.
	lastEventID string
	lastID      int64
	// started is set once an event has been forwarded, and hasLastID once an event had an ID.
	started, hasLastID bool
	// forwardedError is set if the response is an upstream's error.
	forwardedError bool
}

// attempt places the request and forwards the upstream's response. It returns nil
// once the complete response has been sent to the caller.
func (s *stream) attempt(ctx context.Context) *failure {
	w := s.work()
	choice, err := s.placer.Choose(ctx, w)
	s.admitDemand(w, choice, err == nil)
	prefillStarted := false
	if err == nil && s.mayBeHeld(w) {
		choice, prefillStarted, err = s.admitToEngine(ctx, w, choice)
	}
	if err != nil {
		return &failure{cause: err, noUpstream: true}
	}
	s.choice, s.chosenAt, s.decodeUpstream, s.prefilledAfter = choice, time.Now(), jayfleet.Upstream{}, 0
	if prefillStarted {
		s.placed = choice.Upstream.ID
		defer s.endPlacement()
	} else {
		s.placer.StartPrefill(choice)
	}
	prefillEnded := false
	endPrefill := func(ok bool, took time.Duration) {
		if !prefillEnded {
			prefillEnded, choice.Took = true, took
			s.placer.EndPrefill(choice, w.Prefix, ok)
		}
	}
	defer endPrefill(false, 0)
	send := Send{Priority: choice.Priority, LastEventID: s.lastEventID, Fetch: choice.Fetch}
	if !w.Prompt {
		send.Priority = -1
	}
	if choice.Disaggregated {
		kv, took, f := s.prefill(ctx, choice)
		if f != nil {
			return f
		}
		endPrefill(true, took)
		s.prefilledAfter = time.Since(s.began)
		send.Fetch = ""
		send.Source = choice.Upstream.Address + "/" + kv.Handle
		defer func() {
			if send.Source != "" {
				go s.releaseKV(choice.Upstream, kv)
			}
		}()
	}
	resp, f := s.sendDecode(ctx, choice, send)
	if f != nil {
		s.recordAnswer(s.decodeUpstream, f.outcome)
		return f
	}
	send.Source = ""
	return s.relay(ctx, resp, func() { endPrefill(true, s.recordFirstEvent(resp, w.Prompt && send.LastEventID == "")) })
}

// sendDecode sends the request to the upstream that generates the answer: the chosen one or, after
// disaggregated prefill, a decode engine, and the next one if that has been withdrawn meanwhile.
func (s *stream) sendDecode(ctx context.Context, choice jayplace.Choice, send Send) (*upstreamResponse, *failure) {
	s.decodeUpstream = choice.Upstream
	if !choice.Disaggregated {
		return s.send(ctx, choice.Upstream, send)
	}
	for {
		upstream, err := s.placer.DecodeUpstream(ctx, s.work(), choice.Upstream)
		if err != nil {
			return nil, s.noDecoder(err)
		}
		s.decodeUpstream = upstream
		if resp, f := s.send(ctx, upstream, send); f == nil || f.outcome != jayplace.OutcomeWithdrawn {
			return resp, f
		}
	}
}

// recordAnswer reports an answer that was completed or cut off by its upstream to the placer.
func (s *stream) recordAnswer(upstream jayfleet.Upstream, outcome jayplace.Outcome) {
	if s.route.Prompt && outcome == jayplace.OutcomeServed {
		s.placer.RecordAnswer(jayplace.Answer{
			Service: s.service, Target: s.route.Target, First: s.firstEventAfter, Gap: s.route.Gap, Pause: s.longestPause,
		})
	}
	if s.route.Prompt && (outcome == jayplace.OutcomeServed || outcome == jayplace.OutcomeBroken) {
		s.placer.EndAnswer(s.work(), upstream.ID, outcome)
	}
}

// recordServed logs a response that was sent completely, and counts it unless it is an upstream's
// error response, which forwardResponse has counted.
func (s *stream) recordServed(ctx context.Context) {
	if !s.forwardedError {
		s.metrics.Add(jaymetric.Completed, 1)
		s.recordResult(resultServed)
	}
	if s.started {
		s.series.Observe("first_event_seconds", s.firstEventAfter, jaymetric.Label{Name: "route", Value: s.route.Name})
	}
	s.log.With(s.placementFields()...).With(s.accountFields()...).With(s.pinFields()...).Log(ctx, jaysink.LevelRoutine, "request served", jaysink.KeyRequest, s.call.ID,
		"route", s.route.Name, "service", s.service, "policy", s.version, "parts", s.promptParts(), "sends", s.sends, "first", s.firstEventAfter,
		"target", s.route.Target, "pause", s.longestPause, "gap", s.route.Gap, "took", time.Since(s.began))
}

// relay forwards a response event by event. It calls onFirstEvent before the first event.
func (s *stream) relay(ctx context.Context, resp *upstreamResponse, onFirstEvent func()) *failure {
	if resp.Status != http.StatusOK {
		return s.forwardError(ctx, resp)
	}
	s.writeHeader(resp)
	var once sync.Once
	// The response may end while the handler still writes to the caller.
	endResponse := func(outcome jayplace.Outcome) {
		once.Do(func() {
			if outcome == jayplace.OutcomeServed {
				resp.Complete()
			} else {
				resp.Close()
			}
			s.recordResponse(resp, outcome)
		})
	}
	source := s.newEventSource(resp.Body, func() { endResponse(jayplace.OutcomeServed) })
	defer source.close()
	for events := 0; ; events++ {
		e, err := source.next()
		if errors.Is(err, io.EOF) {
			endResponse(jayplace.OutcomeServed)
			if events > 0 {
				s.recordAnswer(resp.upstream, jayplace.OutcomeServed)
			}
			return nil
		}
		if err != nil {
			f := s.exchangeFailure(ctx, err)
			s.countInvalid(resp.upstream.ID, err)
			endResponse(f.outcome)
			s.recordAnswer(resp.upstream, f.outcome)
			return f
		}
		if events == 0 {
			onFirstEvent()
		}
		if err := s.forwardEvent(e, source, resp.upstream); err != nil {
			outcome := jayplace.OutcomeCallerGone
			if jayerror.Is(err, KindEnded) {
				outcome = jayplace.OutcomeEnded
			}
			endResponse(outcome)
			return &failure{cause: err, ran: true, outcome: outcome}
		}
	}
}

// recordFirstEvent records the times to the first event of an attempt. It returns the time since the
// send, or 0 if the attempt does not measure the upstream, as one that resumes a stream.
func (s *stream) recordFirstEvent(resp *upstreamResponse, measures bool) time.Duration {
	if !measures {
		return 0
	}
	took := time.Since(resp.sentAt)
	if s.choice.Disaggregated {
		s.placer.RecordHandOver(resp.upstream, took)
	}
	if s.choice.Wait > 0 {
		s.series.ObserveRatio("prediction_ratio", time.Since(s.chosenAt).Seconds()/s.choice.Wait.Seconds(),
			jaymetric.Label{Name: "route", Value: s.route.Name}, jaymetric.Label{Name: "remote_prefill", Value: strconv.FormatBool(s.choice.Disaggregated)})
	}
	return took
}

// writeHeader sends the header of the first response to the caller; the events of later
// ones continue the same response.
func (s *stream) writeHeader(resp *upstreamResponse) {
	if s.headerSent {
		return
	}
	copyHeader(s.writer.Header(), resp.Header)
	s.markHeaderSent()
	s.writer.WriteHeader(resp.Status)
}

// forwardError sends an upstream's error response to the caller.
func (s *stream) forwardError(ctx context.Context, resp *upstreamResponse) *failure {
	body, f := s.readResponseBody(ctx, resp)
	if f != nil {
		return f
	}
	if s.headerSent {
		return &failure{cause: errors.Errorf("upstream failed with %d", resp.Status), ran: true, outcome: jayplace.OutcomeFailed}
	}
	s.forwardedError = true
	if err := s.forwardResponse(resp, body); err != nil {
		return &failure{cause: err, ran: true, outcome: jayplace.OutcomeEnded}
	}
	return nil
}

// forwardEvent writes an event of an upstream unless one with the same or a higher ID was sent in this response.
func (s *stream) forwardEvent(e event, source *eventSource, from jayfleet.Upstream) error {
	elapsed := time.Since(s.began)
	if !s.started {
		s.started, s.firstEventAfter, s.latestEventAfter = true, elapsed, elapsed
		s.pinStarted(from)
		s.recordBegun(time.Now())
		s.recordPrefilled(s.firstEventAfter)
	}
	s.longestPause = max(s.longestPause, elapsed-s.latestEventAfter)
	s.latestEventAfter = elapsed
	if e.id >= 0 {
		if s.hasLastID && e.id <= s.lastID {
			return nil
		}
		s.lastID, s.lastEventID, s.hasLastID = e.id, strconv.FormatInt(e.id, 10), true
	}
	source.beginWrite()
	defer source.endWrite()
	return s.write(e.data, true)
}

// prefill runs prefill on an engine, which keeps the KV cache for the decode upstream, and
// returns the time from the send to the response.
func (s *stream) prefill(ctx context.Context, c jayplace.Choice) (KV, time.Duration, *failure) {
	if s.prefills++; s.prefills > 1 && !s.budget.Spend(s.service) {
		return KV{}, 0, &failure{cause: errors.New("retry budget is spent"), outcome: jayplace.OutcomeRefused}
	}
	resp, f := s.send(ctx, c.Upstream, Send{Priority: c.Priority, PrefillOnly: true, Fetch: c.Fetch})
	if f != nil {
		// Prefill does not count as a run of the request.
		f.ran = false
		if !f.sent() {
			s.prefills--
		}
		return KV{}, 0, f
	}
	s.sends--
	body, f := s.readResponseBody(ctx, resp)
	if f != nil {
		f.ran = false
		return KV{}, 0, f
	}
	took := time.Since(resp.sentAt)
	kv, err := s.dialect.ParseKV(bytes.Join(body, nil))
	s.discardResponseBody()
	if err != nil || resp.Status != http.StatusOK {
		return KV{}, 0, &failure{cause: errors.Errorf("prompt not read: status %d, %v", resp.Status, err), outcome: jayplace.OutcomeFailed}
	}
	s.metrics.Add(jaymetric.Prefills, 1)
	return kv, took, nil
}

// releaseTimeout limits the request that frees a KV cache.
const releaseTimeout = 2 * time.Second

// releaseKV frees a KV cache that no decode upstream will fetch.
func (s *stream) releaseKV(prefillUpstream jayfleet.Upstream, kv KV) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	method, target := s.dialect.Release(kv.Handle)
	request := &jaylink.Request{Method: method, Target: target, Host: prefillUpstream.Address, Header: make(http.Header), MaxIdle: defaultMaxIdle}
	response, err := s.links.Exchange(ctx, prefillUpstream.Address, request)
	if err == nil {
		s.recordStatement(prefillUpstream, s.dialect.ParseReply(response.Status, response.Header))
		if _, err = io.Copy(io.Discard, response.Body); err == nil {
			response.Complete()
		} else {
			response.Close()
		}
	}
	if err != nil {
		s.countInvalid(prefillUpstream.ID, err)
		s.log.Warn("KV cache not released", "request", s.call.ID, "upstream", prefillUpstream.ID, "handle", kv.Handle, "error", err)
	}
}
