package jayconfig

import (
	"slices"
	"strings"

	"jayfield.example/jay/jaylog"
)

// Next returns the offset of the first record that is not applied.
func (s *State) Next() int64 {
	return s.next
}

// Object returns the object of a name and whether there is one.
func (s *State) Object(name Name) (Object, bool) {
	o, ok := s.objects[name]
	return o, ok
}

// Objects returns all objects by class and name.
func (s *State) Objects() []Object {
	list := make([]Object, 0, len(s.objects))
	for _, o := range s.objects {
		list = append(list, o)
	}
	slices.SortFunc(list, func(a, b Object) int { return strings.Compare(a.Name.String(), b.Name.String()) })
	return list
}

// Verdict returns the decision on a record and whether it is still kept.
func (s *State) Verdict(id jaylog.ID) (Verdict, bool) {
	for i := len(s.verdicts) - 1; i >= 0; i-- {
		if s.verdicts[i].ID == id {
			return s.verdicts[i], true
		}
	}
	return Verdict{}, false
}

// Verdicts returns the kept decisions, the oldest first.
func (s *State) Verdicts() []Verdict {
	return s.verdicts
}

// Version returns the version of an object, 0 where there is none.
func (s *State) Version(name Name) int64 {
	return s.objects[name].Version
}
