package jayrelay

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"jayfield.example/jay/jayerror"
	"jayfield.example/jay/jayfleet"
	"jayfield.example/jay/jaylink"
	"jayfield.example/jay/jaymetric"
	"jayfield.example/jay/jayplace"
	"jayfield.example/jay/jaysink"
)

// serveStream serves a request whose answer is a series of events. Where the
// route allows it, a stream that breaks off goes on at another upstream within
// the same answer.
func (x *exchange) serveStream(ctx context.Context) {
	x.budget.Earn(x.service)
	s := &stream{exchange: x, after: x.call.After}
	for {
		f := s.attempt(ctx)
		if f == nil {
			s.served(ctx)
			return
		}
		if err := x.again(ctx, f); err != nil {
			x.fail(err)
			return
		}
	}
}

// stream is the answer of a streaming request as far as it has come.
type stream struct {
	*exchange
	// after is the id of the last event that the caller has, last the same as a number.
	after string
	last  int64
	// started is set once the caller has an event of this answer, first is how long that took,
	// and numbered is set once one had an id.
	started  bool
	first    time.Duration
	numbered bool
}

// attempt places the request and passes on what its upstream gives. It
// returns nil once the caller has the whole answer.
func (s *stream) attempt(ctx context.Context) *failure {
	w := s.work()
	choice, err := s.placer.Choose(ctx, w)
	if err != nil {
		return &failure{cause: err, nowhere: true}
	}
	s.choice, s.host, s.readIn = choice, jayfleet.Upstream{}, 0
	s.placer.Reading(choice)
	read := false
	done := func(ok bool) {
		if !read {
			read = true
			s.placer.Read(choice, w.Shared, ok)
		}
	}
	defer done(false)
	send := Send{Priority: choice.Priority, After: s.after, Fetch: choice.Fetch}
	if !w.Prompt {
		send.Priority = -1
	}
	host := choice.Upstream
	if choice.Apart {
		kv, f := s.readApart(ctx, choice)
		if f != nil {
			return f
		}
		done(true)
		s.readIn = time.Since(s.began)
		send.Fetch = ""
		send.Source = choice.Upstream.Address + "/" + kv.Handle
		defer func() {
			if send.Source != "" {
				go s.release(choice.Upstream, kv)
			}
		}()
		if host, err = s.placer.Host(ctx, s.work(), choice.Upstream); err != nil {
			return &failure{cause: err, nowhere: true}
		}
	}
	s.host = host
	answer, f := s.send(ctx, host, send)
	if f != nil {
		return f
	}
	send.Source = ""
	return s.relay(ctx, answer, func() { done(true) })
}

// served counts a stream that the caller has whole and writes its line. An
// error answer of the upstream has been counted as it was passed on.
func (s *stream) served(ctx context.Context) {
	if s.started {
		s.metrics.Add(jaymetric.Completed, 1)
		s.measure(endServed)
		s.series.Observe("first_event_seconds", s.first, jaymetric.Label{Name: "route", Value: s.route.Name})
	}
	s.log.With(s.placed()...).Log(ctx, jaysink.LevelRoutine, "request served", jaysink.KeyRequest, s.call.ID,
		"route", s.route.Name, "service", s.service, "policy", s.version, "sends", s.sends, "first", s.first,
		"target", s.route.Target, "took", time.Since(s.began))
}

// relay passes an answer on, event by event.
func (s *stream) relay(ctx context.Context, a *sent, first func()) *failure {
	if a.Status != http.StatusOK {
		return s.passError(ctx, a)
	}
	s.head(a)
	reader := newEventReader(a.Body)
	for {
		e, err := reader.next()
		if errors.Is(err, io.EOF) {
			a.Complete()
			s.end(a, jayplace.OutcomeServed)
			return nil
		}
		if err != nil {
			a.Close()
			f := s.broken(ctx, err)
			s.end(a, f.outcome)
			return f
		}
		first()
		if err := s.passEvent(e); err != nil {
			a.Close()
			s.end(a, jayplace.OutcomeGone)
			return &failure{cause: jayerror.Wrap("pass", KindGone, err), ran: true, outcome: jayplace.OutcomeGone}
		}
	}
}

// head gives the caller the header of the first answer; later ones go on within it.
func (s *stream) head(a *sent) {
	if s.headed {
		return
	}
	copyHeader(s.writer.Header(), a.Header)
	s.headed = true
	s.writer.WriteHeader(a.Status)
}

// passError gives the caller an upstream's error answer.
func (s *stream) passError(ctx context.Context, a *sent) *failure {
	body, f := s.whole(ctx, a)
	if f != nil {
		return f
	}
	if s.headed {
		return &failure{cause: errors.Errorf("upstream failed with %d", a.Status), ran: true, outcome: jayplace.OutcomeFailed}
	}
	s.pass(a, body)
	return nil
}

// passEvent writes an event that the caller does not have yet.
func (s *stream) passEvent(e event) error {
	if !s.started {
		s.started, s.first = true, time.Since(s.began)
	}
	if e.id >= 0 {
		if s.numbered && e.id <= s.last {
			return nil
		}
		s.last, s.after, s.numbered = e.id, strconv.FormatInt(e.id, 10), true
	}
	if _, err := s.writer.Write(e.data); err != nil {
		return errors.WithStack(err)
	}
	return errors.WithStack(http.NewResponseController(s.writer).Flush())
}

// readApart has an engine read the prompt and keep its KV cache for the host.
func (s *stream) readApart(ctx context.Context, c jayplace.Choice) (KV, *failure) {
	if s.reads++; s.reads > 1 && !s.budget.Spend(s.service) {
		return KV{}, &failure{cause: errors.New("retry budget is spent"), outcome: jayplace.OutcomeRefused}
	}
	answer, f := s.send(ctx, c.Upstream, Send{Priority: c.Priority, ReadOnly: true, Fetch: c.Fetch})
	if f != nil {
		// A prompt that may have been read has not run.
		f.ran = false
		return KV{}, f
	}
	s.sends--
	body, f := s.whole(ctx, answer)
	if f != nil {
		f.ran = false
		return KV{}, f
	}
	kv, err := s.dialect.Handle(body)
	if err != nil || answer.Status != http.StatusOK {
		return KV{}, &failure{cause: errors.Errorf("prompt not read: status %d, %v", answer.Status, err), outcome: jayplace.OutcomeFailed}
	}
	s.metrics.Add(jaymetric.Prefills, 1)
	return kv, nil
}

// releaseBound bounds the call that frees a KV cache.
const releaseBound = 2 * time.Second

// release frees a KV cache that no host will fetch.
func (s *stream) release(reader jayfleet.Upstream, kv KV) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseBound)
	defer cancel()
	method, target := s.dialect.Release(kv.Handle)
	request := &jaylink.Request{Method: method, Target: target, Host: reader.Address, Header: make(http.Header), Rest: anyRest}
	response, err := s.links.Exchange(ctx, reader.Address, request)
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
		response.Complete()
	}
	if err != nil {
		s.log.Warn("KV cache not released", "request", s.call.ID, "upstream", reader.ID, "handle", kv.Handle, "error", err)
	}
}
