package jayqueue

import (
	"time"

	"jayfield.example/jay/jayerror"
)

// Kind classifies a refusal at admission. Refused work did not run.
type Kind string

// Kinds of refusals.
const (
	// KindFull means that the queue or the caller's share of it is full.
	KindFull Kind = "full"
	// KindDeadline means that the response would miss its deadline.
	KindDeadline Kind = "deadline"
)

// Error is the error type of the package.
type Error = jayerror.Error[Kind]

// RefusalError is a refusal with the time after which the caller may retry.
type RefusalError struct {
	Err        *Error
	RetryAfter time.Duration
}

// Error returns the message of the refusal.
func (r *RefusalError) Error() string {
	return r.Err.Error()
}

// Unwrap returns the error that carries the kind of the refusal.
func (r *RefusalError) Unwrap() error {
	return r.Err
}

func refuse(kind Kind, retryAfter time.Duration, message string) *RefusalError {
	return &RefusalError{Err: jayerror.New("push", kind, message), RetryAfter: max(retryAfter, minRetryAfter)}
}

// minRetryAfter is the minimum retry delay returned to a refused caller.
const minRetryAfter = 100 * time.Millisecond
