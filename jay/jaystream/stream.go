// Package jaystream knows which software version of an upstream began a stream, so that the stream goes on at that
// version only. While several versions of a service are in play, instances record the streams that they begin in a
// log; while there is one only, that one began all of them. It does no I/O and reads no clock.
package jaystream

import (
	"crypto/sha256"
	"time"

	"github.com/cespare/xxhash/v2"

	"jayfield.example/jay/jayerror"
)

// Kind classifies an error.
type Kind string

// Kinds of errors.
const (
	// KindUnknown means that the version that began a stream cannot be known.
	KindUnknown Kind = "unknown"
	// KindFormat means that a record could not be decoded.
	KindFormat Kind = "format"
)

// Error is the error type of the package.
type Error = jayerror.Error[Kind]

// unknownError is the cause of an error of KindUnknown.
type unknownError struct {
	reason     string
	retryAfter time.Duration
}

// Error returns why the version is unknown.
func (e *unknownError) Error() string { return e.reason }

// RetryAfter returns the time after which the caller may try again.
func (e *unknownError) RetryAfter() time.Duration { return e.retryAfter }

// NewUnknown returns an error of KindUnknown whose cause states when the caller may try again.
func NewUnknown(reason string, retryAfter time.Duration) error {
	return jayerror.Wrap("version of stream", KindUnknown, error(&unknownError{reason, retryAfter}))
}

const (
	// minInterval is the time between two appends of an instance.
	minInterval = 100 * time.Millisecond
	// fleetPause is by how much each instance makes that longer, so that all together make about a hundred calls per second.
	fleetPause = 10 * time.Millisecond
	// minReadInterval and fleetReadPause are the same for reads, of which all together make about two hundred calls per second.
	minReadInterval = 30 * time.Millisecond
	fleetReadPause  = 5 * time.Millisecond
	// minWindow is the least time for which a version remains in play, maxWindow the greatest, unless streams may last longer.
	minWindow = 10 * time.Second
	maxWindow = time.Minute
)

// Interval returns the time between two appends of an instance in a fleet.
func Interval(instances int) time.Duration {
	return max(minInterval, time.Duration(instances)*fleetPause)
}

// ReadInterval returns the time between two reads of one topic by an instance in a fleet, for look-ups that follow each other.
func ReadInterval(instances int) time.Duration {
	return max(minReadInterval, time.Duration(instances)*fleetReadPause)
}

// Window returns for how long a version remains in play after it was last registered, by the longest timeout of a stream.
func Window(timeout time.Duration) time.Duration {
	return max(minWindow, min(2*timeout, maxWindow), timeout)
}

// Key identifies a stream by its service and the attempt that brought its first event.
type Key [16]byte

// NewKey returns the key of a stream.
func NewKey(service, attempt string) Key {
	sum := sha256.Sum256([]byte(service + "\x00" + attempt))
	return Key(sum[:len(Key{})])
}

func serviceHash(service string) uint64 { return xxhash.Sum64String(service) }
