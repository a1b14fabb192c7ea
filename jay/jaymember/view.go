package jaymember

import (
	"cmp"
	"slices"
	"time"

	"jayfield.example/jay/jaylist"
)

const (
	// SilenceBound is how long a member may be silent before callers are kept from it.
	SilenceBound = 3 * time.Second
	// forgetAfter is how long a member that is silent and not listed is kept.
	forgetAfter = 30 * time.Second
)

// View is one instance's knowledge of the members, by incarnation. One task
// calls its methods.
type View struct {
	self    Member
	members map[string]*Status
	// seeds are listed instances whose incarnation is not known yet.
	seeds []jaylist.Instance
}

// NewView returns the view of an instance that knows only itself.
func NewView(self Member) *View {
	return &View{self: self, members: make(map[string]*Status)}
}

// Hear takes in a statement, first-hand or passed on. Older statements of an
// incarnation change nothing, and one that is leaving stays so.
func (v *View) Hear(now time.Time, member Member) {
	if member.Incarnation == v.self.Incarnation || member.Incarnation == "" {
		return
	}
	known, ok := v.members[member.Incarnation]
	if !ok {
		known = &Status{}
		v.members[member.Incarnation] = known
	} else if member.Sequence <= known.Sequence {
		return
	}
	member.Leaving = member.Leaving || known.Leaving
	known.Member = member
	known.Heard = now
	known.Silent = false
}

// List takes in the platform's list of entry instances.
func (v *View) List(list []jaylist.Instance) {
	listed := make(map[string]bool, len(v.members))
	for incarnation, status := range v.members {
		listed[incarnation] = status.Listed
		status.Listed = false
	}
	v.seeds = nil
	for _, instance := range list {
		if instance.Sort == jaylist.SortEntry && instance.Name != v.self.Name {
			v.listOne(instance)
		}
	}
	for incarnation, status := range v.members {
		status.Unlisted = !status.Listed && (status.Unlisted || listed[incarnation])
	}
}

// Members returns the others, by name and incarnation.
func (v *View) Members() []Status {
	list := make([]Status, 0, len(v.members))
	for _, status := range v.members {
		list = append(list, *status)
	}
	slices.SortFunc(list, func(a, b Status) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return list
}

// Seeds returns listed instances that have made no statement yet.
func (v *View) Seeds() []jaylist.Instance {
	return v.seeds
}

// Self returns the instance's own statement.
func (v *View) Self() Member {
	return v.self
}

// State changes the instance's own statement and numbers it.
func (v *View) State(change func(*Member)) Member {
	change(&v.self)
	v.self.Sequence++
	return v.self
}

// Tick marks members that are silent and forgets those that are gone.
func (v *View) Tick(now time.Time) {
	for incarnation, status := range v.members {
		quiet := now.Sub(status.Heard)
		status.Silent = quiet > SilenceBound
		if !status.Listed && quiet > forgetAfter {
			delete(v.members, incarnation)
		}
	}
}

// listOne marks the member of a listed instance, or keeps it as a seed.
func (v *View) listOne(instance jaylist.Instance) {
	found := false
	for _, status := range v.members {
		same := status.Incarnation == instance.Incarnation
		if instance.Incarnation == "" {
			same = status.Name == instance.Name && !status.Silent
		}
		if !same {
			continue
		}
		found = true
		status.Listed = true
		status.Leaving = status.Leaving || instance.State == jaylist.StateLeaving
	}
	if !found && instance.Peer != "" {
		v.seeds = append(v.seeds, instance)
	}
}
