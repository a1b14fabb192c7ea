// Package jayerror gives each package its one error type.
//
// A package declares its kinds as strings and instantiates Error with them:
//
//	type Kind string
//	type Error = jayerror.Error[Kind]
package jayerror

import "github.com/pkg/errors"

// Error is a failed operation of one package, with the kind that callers act on.
type Error[K ~string] struct {
	// Op names the operation that failed, for example "append".
	Op string
	// Kind is the class of the failure.
	Kind K
	// Err is the cause and may be nil.
	Err error
}

// New returns an error of a kind with a message as its cause.
func New[K ~string](op string, kind K, message string) *Error[K] {
	return &Error[K]{Op: op, Kind: kind, Err: errors.New(message)}
}

// Newf returns an error of a kind with a formatted message as its cause.
func Newf[K ~string](op string, kind K, format string, args ...any) *Error[K] {
	return &Error[K]{Op: op, Kind: kind, Err: errors.Errorf(format, args...)}
}

// Wrap returns an error of a kind caused by err.
func Wrap[K ~string](op string, kind K, err error) *Error[K] {
	return &Error[K]{Op: op, Kind: kind, Err: err}
}

// Error returns the operation, the kind and the cause in one line.
func (e *Error[K]) Error() string {
	if e.Err == nil {
		return e.Op + ": " + string(e.Kind)
	}
	return e.Op + ": " + string(e.Kind) + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error[K]) Unwrap() error {
	return e.Err
}

// Is reports whether err holds an error of the given kind.
func Is[K ~string](err error, kind K) bool {
	var e *Error[K]
	return errors.As(err, &e) && e.Kind == kind
}
