package jayentry

import (
	"math/rand/v2"

	"jayfield.example/jay/jaymember"
)

const (
	// minNear is the minimum number of members that Near returns, if there are as many, so that
	// a caller whose connection fails can use another address.
	minNear = 2
	// maxNear is the maximum number of members that Near returns; callers read at most 64.
	maxNear = 16
)

// Near returns the members from which a caller in a zone chooses, in random order within
// each group: those of its zone, then of its region, then all others, until there are
// enough. If no member is usable, those that are leaving are returned, since they still serve.
func Near(region, zone string, members []jaymember.Status, rng *rand.Rand) []jaymember.Status {
	usable := make([]jaymember.Status, 0, len(members))
	responsive := make([]jaymember.Status, 0, len(members))
	for _, m := range members {
		if m.Usable() {
			usable = append(usable, m)
		}
		if !m.Silent && m.Config >= 0 {
			responsive = append(responsive, m)
		}
	}
	if len(usable) == 0 {
		usable = responsive
	}
	rng.Shuffle(len(usable), func(i, j int) { usable[i], usable[j] = usable[j], usable[i] })
	groups := []func(jaymember.Status) bool{
		func(m jaymember.Status) bool { return m.Zone == zone },
		func(m jaymember.Status) bool { return m.Zone != zone && m.Region == region },
		func(m jaymember.Status) bool { return m.Region != region },
	}
	var near []jaymember.Status
	for _, inGroup := range groups {
		for _, m := range usable {
			if inGroup(m) && len(near) < maxNear {
				near = append(near, m)
			}
		}
		if len(near) >= minNear {
			break
		}
	}
	return near
}
