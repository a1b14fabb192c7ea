package jayaccount

import "time"

// Verdict is what happens to a request whose key is in no account of the local copy of the policy.
type Verdict string

// Verdicts.
const (
	// VerdictRefuse refuses the key as unknown.
	VerdictRefuse Verdict = "refuse"
	// VerdictRead reads the policy before anything is decided, since the key may be newer than the copy.
	VerdictRead Verdict = "read"
	// VerdictUnconfirmed refuses the request for now: the key may have been valid for longer than a policy
	// may take to be in force.
	VerdictUnconfirmed Verdict = "unconfirmed"
)

// recentParts is the number of parts of the time in which a policy has to be in force; a copy that
// was confirmed within the last one of them is recent.
const recentParts = 3

// RecentAge returns the age up to which a copy of the policy counts as confirmed recently.
func RecentAge(apply time.Duration) time.Duration {
	return apply / recentParts
}

// Check describes an unknown key and the copy of the policy that lacks it.
type Check struct {
	// Age is the time since the store confirmed that the copy is the newest policy, Apply the time in which
	// a policy has to be in force.
	Age, Apply time.Duration
	// Asked is set if a read of the policy was requested for the key already.
	Asked bool
}

// Verdict returns what happens to the request.
func (c Check) Verdict() Verdict {
	switch {
	case c.Age <= RecentAge(c.Apply):
		return VerdictRefuse
	case !c.Asked:
		return VerdictRead
	case c.Age <= c.Apply:
		return VerdictRefuse
	default:
		return VerdictUnconfirmed
	}
}
