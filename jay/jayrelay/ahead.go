package jayrelay

import (
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"

	"jayfield.example/jay/jaylimit"
)

const (
	// aheadAfter is the duration of a write to the caller from which the events of the upstream are read ahead.
	// Shorter writes need no second goroutine: engines cut off a response only after some seconds.
	aheadAfter = 100 * time.Millisecond
	// aheadRetry is the interval in which read-ahead looks for memory while the limit is reached.
	aheadRetry = 50 * time.Millisecond
	// eventOverhead is the memory of a queued event beside its data, which counts since events may be small.
	eventOverhead = 128
)

// queuedEvent is an event that was read ahead, or the end of the stream.
type queuedEvent struct {
	event
	share *jaylimit.Share
	err   error
}

// eventSource provides the events of a response. The handler of the request reads them itself until a write to
// the caller takes longer than aheadAfter. From then on a second goroutine reads them ahead, up to the bound of a
// response, so that a caller that pauses does not lose its response. At the bound it stops reading. Once the
// handler has taken all that was read ahead and waits for more, it reads the events itself again.
type eventSource struct {
	exchange *exchange
	reader   *eventReader
	// onEnd is called when the stream has been read to its end.
	onEnd func()
	// share is the memory of the event that is being forwarded.
	share *jaylimit.Share
	timer *time.Timer

	mu      sync.Mutex
	changed sync.Cond
	// writing is set during a write to the caller, ahead while events are read ahead, waiting while the handler
	// waits for such an event, closed once the response has ended. counted is set once the response was counted
	// as read ahead.
	writing, ahead, waiting, closed, counted bool
	queue                                    []queuedEvent
	// bytes is the size of the queue.
	bytes int64
}

func (x *exchange) newEventSource(body io.Reader, onEnd func()) *eventSource {
	s := &eventSource{exchange: x, reader: newEventReader(body), onEnd: onEnd, share: x.memory.ShareOf(&x.held, freeBytes)}
	s.changed.L = &s.mu
	return s
}

// next returns the next event as eventReader.next. The memory of the event before it is returned.
func (s *eventSource) next() (event, error) {
	s.share.Release()
	s.mu.Lock()
	if !s.ahead && len(s.queue) == 0 {
		s.mu.Unlock()
		s.share = s.exchange.memory.ShareOf(&s.exchange.held, freeBytes)
		return s.reader.next(s.share, s.exchange.grow)
	}
	defer s.mu.Unlock()
	s.waiting = true
	s.changed.Broadcast()
	for len(s.queue) == 0 {
		s.changed.Wait()
	}
	s.waiting = false
	first := s.queue[0]
	s.queue[0] = queuedEvent{}
	s.queue = s.queue[1:]
	s.bytes -= first.size()
	s.share = first.share
	s.changed.Broadcast()
	return first.event, first.err
}

// beginWrite is called before an event is written to the caller, endWrite after it.
func (s *eventSource) beginWrite() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writing = true
	switch {
	case s.ahead:
	case s.timer == nil:
		s.timer = time.AfterFunc(aheadAfter, s.readAhead)
	default:
		s.timer.Reset(aheadAfter)
	}
}

func (s *eventSource) endWrite() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writing = false
	s.timer.Stop()
}

// close ends read-ahead and returns the memory. The connection to the upstream must have ended.
func (s *eventSource) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for _, queued := range s.queue {
		queued.share.Release()
	}
	s.queue = nil
	s.share.Release()
	s.changed.Broadcast()
}

// readAhead reads events into the queue until the stream ends, the source is closed, or the handler reads the
// events itself again.
func (s *eventSource) readAhead() {
	s.mu.Lock()
	if !s.writing || s.ahead || s.closed {
		s.mu.Unlock()
		return
	}
	s.ahead = true
	if !s.counted {
		s.counted = true
		s.exchange.series.Count("responses_read_ahead_total")
	}
	s.mu.Unlock()
	for s.waitForRoom() {
		queued := queuedEvent{share: s.exchange.memory.ShareOf(&s.exchange.held, 0)}
		if s.growAhead(queued.share, eventOverhead) {
			queued.event, queued.err = s.reader.next(queued.share, s.growAhead)
		} else {
			queued.err = errors.WithStack(errNoMemory)
		}
		if queued.err != nil {
			// The handler may find the end much later, after the events before it.
			s.exchange.heldBack.end(time.Now())
		}
		if errors.Is(queued.err, io.EOF) {
			s.onEnd()
		}
		if !s.enqueue(queued) || queued.err != nil {
			return
		}
	}
}

// enqueue adds an event to the queue and reports whether more are to be read ahead: not if the handler waits for
// this one, since the caller then takes events as fast as they arrive.
func (s *eventSource) enqueue(queued queuedEvent) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		queued.share.Release()
		return false
	}
	if s.needed() && queued.err == nil {
		s.ahead = false
	}
	s.queue = append(s.queue, queued)
	s.bytes += queued.size()
	s.changed.Broadcast()
	return s.ahead
}

// waitForRoom waits until the queue is below the bound of a response. It returns false if the source is closed.
func (s *eventSource) waitForRoom() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.bytes < s.exchange.responseBound() {
		return !s.closed
	}
	began := time.Now()
	for s.bytes >= s.exchange.responseBound() && !s.closed {
		s.changed.Wait()
	}
	s.exchange.heldBack.add(began, time.Now())
	return !s.closed
}

// needed reports whether the handler waits for the event that is being read. The lock must be held.
func (s *eventSource) needed() bool {
	return s.waiting && len(s.queue) == 0
}

// growAhead is the grower of events that are read ahead. While there is no room for what is not needed yet, it
// waits until the handler needs the event, since reading ahead is no reason to end other responses.
func (s *eventSource) growAhead(share *jaylimit.Share, n int64) bool {
	for !share.GrowOptional(n) {
		needed, closed := s.waitUntilNeeded()
		if closed {
			return false
		}
		if needed {
			return s.exchange.grow(share, n)
		}
	}
	return true
}

// waitUntilNeeded waits until the handler needs the event that is being read or the source is closed, but at most
// for aheadRetry.
func (s *eventSource) waitUntilNeeded() (needed, closed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || s.needed() {
		return s.needed(), s.closed
	}
	began, over := time.Now(), false
	timer := time.AfterFunc(aheadRetry, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		over = true
		s.changed.Broadcast()
	})
	defer timer.Stop()
	for !over && !s.closed && !s.needed() {
		s.changed.Wait()
	}
	s.exchange.heldBack.add(began, time.Now())
	return s.needed(), s.closed
}

// size returns the bytes that a queued event takes.
func (q queuedEvent) size() int64 {
	return int64(len(q.data)) + eventOverhead
}
