package jaymember

// Ranking is the rank of an instance among the usable instances, itself included.
type Ranking struct {
	// All and Near count the usable instances in all regions and in the own region.
	All, Near int
	// Rank is the number of usable instances of the own region with a lower incarnation than
	// this one.
	Rank int
}

// RankingOf returns the ranking of an instance among the members that it observes.
func RankingOf(self Member, members []Status) Ranking {
	ranking := Ranking{All: 1, Near: 1}
	for _, m := range members {
		if !m.Usable() {
			continue
		}
		ranking.All++
		if m.Region != self.Region {
			continue
		}
		ranking.Near++
		if m.Incarnation < self.Incarnation {
			ranking.Rank++
		}
	}
	return ranking
}
