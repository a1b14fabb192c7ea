// Package jayquarantine finds prompt parts that crash the engines which answer requests with
// them, and keeps further requests with such a part away from engines.
//
// A crash ends all answers of an engine, most of which did not cause it. A part is suspected
// only while no answer to a request with it completes: each further crash adds evidence
// against the part that caused it, and answers elsewhere clear the others. Instances exchange
// what they observe, since each sends only some of the requests. The package does no I/O and
// reads no clock: one goroutine owns a Table and passes it the time.
package jayquarantine

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"jayfield.example/jay/jayerror"
)

// Kind classifies an error of the package.
type Kind string

// KindQuarantined means that a part of the request's prompt is in quarantine.
const KindQuarantined Kind = "quarantined"

// Error is the error type of the package.
type Error = jayerror.Error[Kind]

// rejection is the cause of an error of KindQuarantined.
type rejection struct {
	part string
	wait time.Duration
}

// Error returns the reason.
func (r *rejection) Error() string {
	return "prompt part " + r.part + " is in quarantine, since engines crashed during requests with it"
}

// RetryAfter returns how long to wait at least before the request is sent again.
func (r *rejection) RetryAfter() time.Duration {
	return r.wait
}

// Request describes a request by what it may share with others.
type Request struct {
	ID      string
	Service string
	// Parts identify the parts of the prompt that other requests may have too, in order.
	Parts []string
}

// service returns the hash of the service.
func (r Request) service() uint32 {
	return uint32(xxhash.Sum64String(r.Service)) //nolint:gosec // Only the lower half is used.
}

// keys returns the key of each part. It depends on the service too, since other engines
// may run another model.
func (r Request) keys() []uint64 {
	keys := make([]uint64, len(r.Parts))
	for n, part := range r.Parts {
		keys[n] = xxhash.Sum64String(r.Service + "\x00" + part)
	}
	return keys
}
