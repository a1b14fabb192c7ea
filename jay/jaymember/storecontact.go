package jaymember

import "cmp"

// StoreContact is what an instance knows of its contact with the platform's store, by its own calls.
type StoreContact string

// Kinds of contact with the store.
const (
	// ContactUnknown means that the instance has not called the store recently.
	ContactUnknown StoreContact = ""
	// ContactAnswers means that the store has answered recently.
	ContactAnswers StoreContact = "a"
	// ContactFails means that the newest calls have failed.
	ContactFails StoreContact = "f"
)

// rank orders contacts by how likely calls to the store succeed.
func (c StoreContact) rank() int {
	switch c {
	case ContactAnswers:
		return 0
	case ContactFails:
		return 2
	default:
		return 1
	}
}

// PrecedesForStore reports whether a member is preferred to another one for work that needs the store: by its
// contact with the store and then by its incarnation.
func (m Member) PrecedesForStore(other Member) bool {
	return cmp.Or(cmp.Compare(m.Store.rank(), other.Store.rank()), cmp.Compare(m.Incarnation, other.Incarnation)) < 0
}
