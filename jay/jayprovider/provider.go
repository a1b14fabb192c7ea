// Package jayprovider defines the calls to the platform's control API, which receives usage reports and
// orders of engines. A call names its holder and carries a fencing token. The adapter of the platform
// implements them.
package jayprovider

import (
	"context"
	"time"

	"jayfield.example/jay/jayerror"
)

// Duty is a task that one instance at a time carries out at the control API.
type Duty string

// Duties of a deployment.
const (
	DutyUsage Duty = "usage"
	DutyScale Duty = "scale"
)

// Timeout is the time after which a call ends and its connection is closed. A holder calls only if its lease
// lasts longer.
const Timeout = time.Second

// Kind classifies a failed call.
type Kind string

// Kinds of failures.
const (
	// KindFenced means that the control API has seen a higher fencing token.
	KindFenced Kind = "fenced"
	// KindRefused means that the order cannot be carried out now: no engine is available.
	KindRefused Kind = "refused"
	// KindLimited means that the rate limit of the calls of all instances was exceeded.
	KindLimited Kind = "limited"
	// KindUnavailable means that there was no answer: the call may take effect later.
	KindUnavailable Kind = "unavailable"
	// KindWithdrawn means that the call was not sent, as it was no longer allowed when the connection was
	// ready. It has no effect.
	KindWithdrawn Kind = "withdrawn"
	// KindFormat means that the request or the answer is malformed.
	KindFormat Kind = "format"
)

// Error is the error type of the package.
type Error = jayerror.Error[Kind]

// Authority is under which authority a call is made.
type Authority struct {
	// Holder is the name of the instance that holds the duty, Fence its fencing token.
	Holder string
	Fence  int64
}

// Report is the usage of one window.
type Report struct {
	// Window is the number of the window: its start, in windows since 1970.
	Window int64
	// Counts holds the requests that began to run in the window, by the name of the client account.
	Counts map[string]int
}

// Order sets the number of engines of a service in an availability zone. It is absolute, so a later order
// replaces an earlier one.
type Order struct {
	Service, Zone string
	Desired       int
	// Preemptible orders engines that cost less and may be reclaimed at short notice. They are counted
	// separately from the on-demand engines.
	Preemptible bool
}

// Provider is the control API.
type Provider interface {
	// ReportUsage reports the usage of a window. An exact repeat has no effect.
	ReportUsage(ctx context.Context, authority Authority, report Report) error
	// Scale orders engines.
	Scale(ctx context.Context, authority Authority, order Order) error
}

// allowedKey is the key of the check in a context.
type allowedKey struct{}

// WithAllowed returns a context whose calls are sent only if allowed returns true. It is called once the
// connection is established, immediately before the request is written. It must be safe for concurrent use.
func WithAllowed(ctx context.Context, allowed func() bool) context.Context {
	return context.WithValue(ctx, allowedKey{}, allowed)
}

// Allowed reports whether a call under the context may be sent now. Without a check it may.
func Allowed(ctx context.Context) bool {
	allowed, ok := ctx.Value(allowedKey{}).(func() bool)
	return !ok || allowed()
}
