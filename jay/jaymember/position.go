package jaymember

// Position is where an instance ranks among the usable instances, itself included.
type Position struct {
	// All and Near count the usable instances in all regions and in the own region.
	All, Near int
	// Rank is the number of usable instances of the own region with a lower incarnation than
	// this one.
	Rank int
}

// PositionOf returns the position of an instance among the members that it observes.
func PositionOf(self Member, members []Status) Position {
	position := Position{All: 1, Near: 1}
	for _, m := range members {
		if !m.Usable() {
			continue
		}
		position.All++
		if m.Region != self.Region {
			continue
		}
		position.Near++
		if m.Incarnation < self.Incarnation {
			position.Rank++
		}
	}
	return position
}
