package jayplace

import "time"

// Outcome is how a request to an upstream ended.
type Outcome string

// Outcomes of a request.
const (
	OutcomeServed Outcome = "served"
	// OutcomeRefused means that the upstream had no capacity and did not run the request.
	OutcomeRefused Outcome = "refused"
	// OutcomeFailed means that the upstream itself answered with an error.
	OutcomeFailed Outcome = "failed"
	// OutcomeUnreachable means that no connection could be established.
	OutcomeUnreachable Outcome = "unreachable"
	// OutcomeBroken means that the connection or the response was cut off.
	OutcomeBroken Outcome = "broken"
	// OutcomeTimeout means that no response arrived before the timeout.
	OutcomeTimeout Outcome = "silent"
	// OutcomeMoved means that the address now belongs to another upstream.
	OutcomeMoved Outcome = "moved"
	// OutcomeWithdrawn means that the upstream was withdrawn before the request was sent.
	OutcomeWithdrawn Outcome = "withdrawn"
	// OutcomeCallerGone means that the caller disconnected, which is no evidence about the upstream.
	OutcomeCallerGone Outcome = "gone"
	// OutcomeEnded means that the response was ended since its caller did not read it or since memory was short,
	// which is no evidence about the upstream.
	OutcomeEnded Outcome = "ended"
)

const (
	// minEjection and maxEjection bound how long an upstream gets no new requests after
	// failures. Each further ejection doubles the time.
	minEjection = 500 * time.Millisecond
	maxEjection = 4 * time.Second
	// refusalBackoff is how long an upstream gets no new requests after it refused one for
	// lack of capacity.
	refusalBackoff = 50 * time.Millisecond
	// failureThreshold is the failure rate from which an upstream is ejected. By the service
	// requirements, healthy upstreams other than engines fail up to one request in seven.
	failureThreshold = 0.5
	// timeoutsToEject is the number of timeouts, without a served request in between, from
	// which an upstream is ejected. At peak load single requests to a healthy
	// engine time out too.
	timeoutsToEject = 2
)

// health tracks the outcomes of requests to an upstream and ejects it after failures.
type health struct {
	// ejectedUntil is the time until which the upstream gets no new requests.
	ejectedUntil time.Time
	ejectionTime time.Duration
	// timeouts counts the requests that timed out since the last one that was served.
	timeouts int
	// failureRate is an exponentially weighted moving average of failed requests.
	failureRate float64
}

// record updates the health with an outcome and reports whether it led to an ejection.
func (h *health) record(now time.Time, outcome Outcome) bool {
	switch outcome {
	case OutcomeServed:
		h.failureRate -= smoothingFactor * h.failureRate
		h.timeouts = 0
		if !now.Before(h.ejectedUntil) {
			h.ejectionTime = 0
		}
		return false
	case OutcomeRefused:
		h.ejectedUntil = later(h.ejectedUntil, now.Add(refusalBackoff))
		return false
	case OutcomeCallerGone, OutcomeEnded, OutcomeWithdrawn:
		return false
	case OutcomeTimeout:
		if h.timeouts++; h.timeouts < timeoutsToEject {
			return false
		}
		h.failureRate += smoothingFactor * (1 - h.failureRate)
		return h.eject(now)
	case OutcomeUnreachable, OutcomeMoved:
		h.failureRate += smoothingFactor * (1 - h.failureRate)
		return h.eject(now)
	case OutcomeFailed, OutcomeBroken:
		h.failureRate += smoothingFactor * (1 - h.failureRate)
		if h.failureRate >= failureThreshold {
			return h.eject(now)
		}
	}
	return false
}

func (h *health) eject(now time.Time) bool {
	if now.Before(h.ejectedUntil) {
		return false
	}
	h.ejectionTime = min(maxEjection, max(minEjection, 2*h.ejectionTime))
	h.ejectedUntil = now.Add(h.ejectionTime)
	return true
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
