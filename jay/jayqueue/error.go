package jayqueue

import (
	"time"

	"jayfield.example/jay/jayerror"
)

// Kind classifies a refusal of work at the door. Refused work did not run.
type Kind string

// Kinds of refusals.
const (
	// KindFull means that the queue or the caller's part of it is full.
	KindFull Kind = "full"
	// KindDeadline means that the answer would come too late.
	KindDeadline Kind = "deadline"
)

// Error is the error type of the package.
type Error = jayerror.Error[Kind]

// RefusalError is an error with the time after which trying again makes sense.
type RefusalError struct {
	Err   *Error
	Retry time.Duration
}

// Error returns the refusal in one line.
func (r *RefusalError) Error() string {
	return r.Err.Error()
}

// Unwrap returns the kind of the refusal.
func (r *RefusalError) Unwrap() error {
	return r.Err
}

func refuse(kind Kind, retry time.Duration, message string) *RefusalError {
	return &RefusalError{Err: jayerror.New("push", kind, message), Retry: max(retry, leastRetry)}
}

// leastRetry is the least time that a refused caller is told to wait.
const leastRetry = 100 * time.Millisecond
