package jaylimit

import (
	"cmp"
	"slices"
	"time"
)

// MinUnread is the time without progress from which a caller counts as one that has stopped reading. Callers
// of other regions read a part of a response within some 50 ms. With 1 s, requests that need memory waited for up
// to 2.9 s behind callers that had only just stopped.
const MinUnread = 250 * time.Millisecond

// maxWait bounds the wait for memory that callers may turn out not to read. With MinUnread itself, the first
// requests of a burst were ended just before callers that had come with them counted as stopped.
const maxWait = 2 * MinUnread

// Held is a request that uses memory, with what decides whether it is ended when the limit is reached.
type Held struct {
	// Bytes are the counted bytes of the request and of its response.
	Bytes int64
	// Unread is the time for which the caller has taken nothing of what the response offers, 0 if the response
	// offers nothing.
	Unread time.Duration
	// Sent is set once the request may have reached an upstream, Begun once a part of the response has been
	// sent to the caller. Repeatable is set if the request may run again.
	Sent, Begun, Repeatable bool
	// Large is set if the request uses more than its part of the limit.
	Large bool
	// Growing is set for the request that needs more memory.
	Growing bool
}

// EndReason is why a request is ended.
type EndReason string

// Reasons to end a request.
const (
	// EndUnread means that the caller has stopped reading.
	EndUnread EndReason = "unread"
	// EndLeastLoss means that no caller has stopped reading and the request has the least to lose.
	EndLeastLoss EndReason = "least_loss"
)

// Ending is the index of a request to be ended, with the reason.
type Ending struct {
	Index  int
	Reason EndReason
}

// Endings returns the requests to be ended so that the growing one gets the bytes that it needs: first those
// whose callers have read nothing for the longest time, then those with the least to lose. If the growing request
// is the next to be ended before there is enough room, only it is ended, since ending others would not help it.
//
// It returns none if the request should wait instead: until it has waited for maxWait, a caller may turn out to
// have stopped reading.
func Endings(list []Held, need int64, waited time.Duration) []Ending {
	order := make([]int, 0, len(list))
	for n, held := range list {
		if held.Bytes > 0 || held.Growing {
			order = append(order, n)
		}
	}
	slices.SortStableFunc(order, func(a, b int) int { return compareHeld(list[a], list[b]) })
	var endings []Ending
	for _, n := range order {
		if need <= 0 {
			return endings
		}
		if !list[n].stalled() && waited < maxWait && slices.ContainsFunc(list, Held.undecided) {
			return nil
		}
		ending := Ending{Index: n, Reason: EndLeastLoss}
		if list[n].stalled() {
			ending.Reason = EndUnread
		}
		if list[n].Growing {
			return []Ending{ending}
		}
		endings = append(endings, ending)
		need -= list[n].Bytes
	}
	return endings
}

// stalled reports whether the caller has stopped reading.
func (h Held) stalled() bool {
	return h.Unread >= MinUnread
}

// undecided reports whether the caller has not taken what is offered, but not for long enough to count as one that
// has stopped reading.
func (h Held) undecided() bool {
	return h.Bytes > 0 && h.Unread > 0 && !h.stalled()
}

// compareHeld orders requests by which is ended first.
func compareHeld(a, b Held) int {
	if a.stalled() || b.stalled() {
		return cmp.Compare(b.Unread, a.Unread)
	}
	return cmp.Or(
		cmp.Compare(a.loss(), b.loss()),
		rank(b.Large)-rank(a.Large),
		// Otherwise newcomers would end all those that are nearly complete.
		rank(b.Growing)-rank(a.Growing),
		// Large ones come first, so that few are ended.
		cmp.Compare(b.Bytes, a.Bytes),
	)
}

// loss ranks what is lost if the request is ended: a request that was not sent is refused and may be repeated
// by its caller, one that may run again is repeated at the cost of another run, and a response of which a part
// has been sent is cut off.
func (h Held) loss() int {
	loss := 0
	switch {
	case !h.Sent:
		return loss
	case !h.Begun:
		loss = 1
	default:
		loss = 3
	}
	if !h.Repeatable {
		loss++
	}
	return loss
}

// rank returns 1 for true.
func rank(condition bool) int {
	if condition {
		return 1
	}
	return 0
}
