package jayentry

import (
	"math/rand/v2"

	"jayfield.example/jay/jaymember"
)

const (
	// leastEntries is how many addresses an answer has where there are as many: a caller
	// whose connection fails turns to another one.
	leastEntries = 2
	// mostEntries bounds the addresses of an answer; callers read 64 at most.
	mostEntries = 16
)

// Near returns the members among which a caller of a zone draws: those of its
// zone, then of its region, then of all, until there are enough. Where all are
// leaving, those still serve.
func Near(region, zone string, members []jaymember.Status, source *rand.Rand) []jaymember.Status {
	usable := make([]jaymember.Status, 0, len(members))
	speaking := make([]jaymember.Status, 0, len(members))
	for _, m := range members {
		if m.Usable() {
			usable = append(usable, m)
		}
		if !m.Silent && m.Config >= 0 {
			speaking = append(speaking, m)
		}
	}
	if len(usable) == 0 {
		usable = speaking
	}
	source.Shuffle(len(usable), func(i, j int) { usable[i], usable[j] = usable[j], usable[i] })
	groups := []func(jaymember.Status) bool{
		func(m jaymember.Status) bool { return m.Zone == zone },
		func(m jaymember.Status) bool { return m.Zone != zone && m.Region == region },
		func(m jaymember.Status) bool { return m.Region != region },
	}
	var near []jaymember.Status
	for _, in := range groups {
		for _, m := range usable {
			if in(m) && len(near) < mostEntries {
				near = append(near, m)
			}
		}
		if len(near) >= leastEntries {
			break
		}
	}
	return near
}
