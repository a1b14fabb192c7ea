package jayconfig

import (
	"time"

	"jayfield.example/jay/jaylog"
)

// Outcome is the result of a publish.
type Outcome string

// Outcomes of a publish.
const (
	OutcomeAccepted Outcome = "accepted"
	OutcomeConflict Outcome = "conflict"
	OutcomeInvalid  Outcome = "invalid"
)

// Verdict is the reducer's decision on one publish.
type Verdict struct {
	ID       jaylog.ID `msgpack:"id" json:"-"`
	Offset   int64     `msgpack:"o" json:"offset"`
	Operator string    `msgpack:"op" json:"operator"`
	Outcome  Outcome   `msgpack:"r" json:"outcome"`
	// Reason explains to the operator why the publish was refused and what to do.
	Reason string `msgpack:"m" json:"reason,omitempty"`
	// CurrentVersion is the current version of the first object in conflict.
	CurrentVersion int64 `msgpack:"w" json:"winner,omitempty"`
	// Names are the names of the objects in the publish.
	Names []Name `msgpack:"n" json:"objects"`
}

// Report is the response to an operator's publish.
type Report struct {
	Verdict Verdict `json:"verdict"`
	// InForce is the number of instances that have applied the publish's record.
	InForce int `json:"inForce"`
	// Instances is the number of live instances.
	Instances int           `json:"instances"`
	Took      time.Duration `json:"took"`
}
