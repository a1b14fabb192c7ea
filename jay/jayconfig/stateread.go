package jayconfig

import (
	"slices"
	"strings"

	"jayfield.example/jay/jaylog"
)

// Position returns the offset of the first record that is not applied.
func (s *State) Position() int64 {
	return s.position
}

// Object returns the object with a name, and whether it exists.
func (s *State) Object(name Name) (Object, bool) {
	o, ok := s.objects[name]
	return o, ok
}

// Objects returns all objects sorted by class and name.
func (s *State) Objects() []Object {
	list := make([]Object, 0, len(s.objects))
	for _, o := range s.objects {
		list = append(list, o)
	}
	slices.SortFunc(list, func(a, b Object) int { return strings.Compare(a.Name.String(), b.Name.String()) })
	return list
}

// Verdict returns the verdict on a record, and whether the state still has it.
func (s *State) Verdict(id jaylog.ID) (Verdict, bool) {
	for i := len(s.verdicts) - 1; i >= 0; i-- {
		if s.verdicts[i].ID == id {
			return s.verdicts[i], true
		}
	}
	return Verdict{}, false
}

// Verdicts returns the verdicts that the state keeps, oldest first.
func (s *State) Verdicts() []Verdict {
	return s.verdicts
}

// Version returns the version of an object, or 0 if it does not exist.
func (s *State) Version(name Name) int64 {
	return s.objects[name].Version
}
