package jayplace

import "time"

// Outcome is how a request ended at an upstream.
type Outcome string

// Outcomes.
const (
	OutcomeServed Outcome = "served"
	// OutcomeRefused says that the upstream had no room and did not run it.
	OutcomeRefused Outcome = "refused"
	// OutcomeFailed is an answer with an error of the upstream's own.
	OutcomeFailed Outcome = "failed"
	// OutcomeUnreachable says that no connection could be had.
	OutcomeUnreachable Outcome = "unreachable"
	// OutcomeBroken says that the connection or the answer broke off.
	OutcomeBroken Outcome = "broken"
	// OutcomeSilent says that nothing came in the time given.
	OutcomeSilent Outcome = "silent"
	// OutcomeMoved says that another upstream has the address.
	OutcomeMoved Outcome = "moved"
	// OutcomeGone says that the caller left; it tells nothing of the upstream.
	OutcomeGone Outcome = "gone"
)

const (
	// firstEjection and lastEjection bound the time without new work after failures; each doubles it.
	firstEjection = 500 * time.Millisecond
	lastEjection  = 4 * time.Second
	// fullPause is the time without new work after a refusal for lack of room.
	fullPause = 50 * time.Millisecond
	// failShare is the share of failed answers from which an upstream is ejected.
	// Sound plain services fail up to one in seven by the users' letter.
	failShare = 0.5
	// silencesToEject is the number of requests in a row without an answer from which an
	// upstream is ejected: at the crest a sound engine lets single ones wait too long.
	silencesToEject = 2
)

// health is what the outcomes of requests say of an upstream.
type health struct {
	// ejected is until when the upstream gets no new work.
	ejected  time.Time
	ejection time.Duration
	// silences counts the requests without an answer since the last that was served.
	silences int
	// failing is a moving share of failed requests.
	failing float64
}

// note takes in an outcome and reports whether the upstream was ejected for it.
func (h *health) note(now time.Time, outcome Outcome) bool {
	switch outcome {
	case OutcomeServed:
		h.failing -= weightNew * h.failing
		h.silences = 0
		if !now.Before(h.ejected) {
			h.ejection = 0
		}
		return false
	case OutcomeRefused:
		h.ejected = later(h.ejected, now.Add(fullPause))
		return false
	case OutcomeGone:
		return false
	case OutcomeSilent:
		if h.silences++; h.silences < silencesToEject {
			return false
		}
		h.failing += weightNew * (1 - h.failing)
		return h.eject(now)
	case OutcomeUnreachable, OutcomeMoved:
		h.failing += weightNew * (1 - h.failing)
		return h.eject(now)
	case OutcomeFailed, OutcomeBroken:
		h.failing += weightNew * (1 - h.failing)
		if h.failing >= failShare {
			return h.eject(now)
		}
	}
	return false
}

func (h *health) eject(now time.Time) bool {
	if now.Before(h.ejected) {
		return false
	}
	h.ejection = min(lastEjection, max(firstEjection, 2*h.ejection))
	h.ejected = now.Add(h.ejection)
	return true
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
