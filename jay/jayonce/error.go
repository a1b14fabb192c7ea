package jayonce

import "jayfield.example/jay/jayerror"

// Kind classifies a refusal of a ticket.
type Kind string

// Kinds of refusals.
const (
	// KindMalformed means that the key is no ticket at all.
	KindMalformed Kind = "malformed"
	// KindForeign means that another incarnation issued the ticket.
	KindForeign Kind = "foreign"
	// KindForged means that this incarnation never issued the ticket to the caller.
	KindForged Kind = "forged"
	// KindExpired means that the state of the ticket's keys may be forgotten.
	KindExpired Kind = "expired"
	// KindUndecided means that the log has not decided on a key without a ticket.
	KindUndecided Kind = "undecided"
)

// Error is the error type of the package.
type Error = jayerror.Error[Kind]
