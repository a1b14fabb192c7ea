// Package jayfleet holds what an instance believes of the upstreams that
// registered: which exist, which are leaving, and which of two at one address
// is the present one. It is pure; one task owns a Fleet and gives it the time.
package jayfleet

// Stage is the part of a completion that an engine does.
type Stage string

// Stages. An upstream without a model has none.
const (
	StageNone    Stage = ""
	StagePrefill Stage = "prefill"
	StageDecode  Stage = "decode"
)

// Upstream is what one registered upstream says of itself. It is immutable.
type Upstream struct {
	// ID names one start of the upstream, unless it started again under the same one.
	ID      string
	Service string
	// Address is an IP address and a port.
	Address string
	Zone    string
	Slots   int
	// Leaving is set while the upstream finishes its work before a planned end.
	Leaving bool
	Stage   Stage
	// Born is the Unix time of its start in ms, 0 where it does not say.
	Born int64
	// Sequence grows with each statement since the start.
	Sequence int64
}

// Same reports whether two statements say the same, whenever they were made.
func (u Upstream) Same(other Upstream) bool {
	u.Sequence = other.Sequence
	return u == other
}

// older reports whether a statement is from before another of the same upstream.
func (u Upstream) older(than Upstream) bool {
	if u.Born != than.Born {
		return u.Born < than.Born
	}
	return u.Sequence < than.Sequence
}
