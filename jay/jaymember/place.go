package jaymember

// Place is where an instance stands among those that serve callers, itself included.
type Place struct {
	// All and Near count the usable instances of all regions and of the own one.
	All, Near int
	// Rank is the number of usable instances of the own region before this one, by incarnation.
	Rank int
}

// PlaceOf returns the place of an instance among the members that it knows.
func PlaceOf(self Member, members []Status) Place {
	place := Place{All: 1, Near: 1}
	for _, m := range members {
		if !m.Usable() {
			continue
		}
		place.All++
		if m.Region != self.Region {
			continue
		}
		place.Near++
		if m.Incarnation < self.Incarnation {
			place.Rank++
		}
	}
	return place
}
