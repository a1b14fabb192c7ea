package jaycall

import "jayfield.example/jay/jayerror"

// Kind classifies a failed request. Its values are the error codes sent to callers.
type Kind string

// Kinds of failed requests.
const (
	KindAuth       Kind = "invalid_api_key"
	KindInvalid    Kind = "invalid_request"
	KindModel      Kind = "model_not_found"
	KindService    Kind = "service_not_found"
	KindLimit      Kind = "rate_limit_exceeded"
	KindBusy       Kind = "overloaded"
	KindDeadline   Kind = "deadline_exceeded"
	KindUpstream   Kind = "upstream_failed"
	KindTicket     Kind = "ticket_required"
	KindStopping   Kind = "stopping"
	KindCallerGone Kind = "caller_gone"
)

// Error is the error type of the package.
type Error = jayerror.Error[Kind]
