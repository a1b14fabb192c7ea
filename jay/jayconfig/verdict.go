package jayconfig

import (
	"time"

	"jayfield.example/jay/jaylog"
)

// Outcome tells what the reducer did with a publish.
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
	// Reason tells a refused operator what to do.
	Reason string `msgpack:"m" json:"reason,omitempty"`
	// Winner is the version in force of the first object in conflict.
	Winner int64 `msgpack:"w" json:"winner,omitempty"`
	// Names are the objects that the publish named.
	Names []Name `msgpack:"n" json:"objects"`
}

// Report is what a publish returns to its operator.
type Report struct {
	Verdict Verdict `json:"verdict"`
	// InForce counts the instances that have applied the offset.
	InForce int `json:"inForce"`
	// Instances counts the instances that are live.
	Instances int           `json:"instances"`
	Took      time.Duration `json:"took"`
}
