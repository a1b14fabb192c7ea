package jayroster

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"jayfield.example/jay/jaymember"
)

// Report is what the other instances report about upstreams and prompts.
type Report struct {
	// Work and Tallies are sums by the hash of the upstream's ID.
	Work    map[uint32]jaymember.Work
	Tallies map[uint32]jaymember.Tally
	// Speeds are sums by the hash of the upstream's ID and start.
	Speeds map[uint32]jaymember.Speed
	// Prefixes are the prompt prefixes that were announced since the previous report.
	Prefixes []jaymember.CachedPrefix
	// Suspects are the prompt parts that may have crashed engines; their ages are as of At.
	Suspects []jaymember.Suspect
	At       time.Time
}

// sums is what a digest carries on behalf of other instances.
type sums struct {
	Work     []jaymember.UpstreamWork `msgpack:"w,omitempty"`
	Tallies  []jaymember.Tally        `msgpack:"t,omitempty"`
	Prefixes []jaymember.CachedPrefix `msgpack:"p,omitempty"`
	Speeds   []jaymember.Speed        `msgpack:"f,omitempty"`
	Suspects []jaymember.Suspect      `msgpack:"s,omitempty"`
	// Packed holds all but the suspects instead of the lists if the receiver decodes it.
	Packed []byte `msgpack:"k,omitempty"`
}

// maxSuspects bounds the suspects in a digest.
const maxSuspects = 64

// total adds up what instances report.
type total struct {
	work     map[uint32]jaymember.Work
	tallies  map[uint32]jaymember.Tally
	speeds   map[uint32]jaymember.Speed
	suspects map[uint64]jaymember.Suspect
}

func newTotal() *total {
	return &total{
		work: make(map[uint32]jaymember.Work), tallies: make(map[uint32]jaymember.Tally), speeds: make(map[uint32]jaymember.Speed),
		suspects: make(map[uint64]jaymember.Suspect),
	}
}

// add adds the reports of one instance, or sums of several, that are of some age.
func (t *total) add(work []jaymember.UpstreamWork, tallies []jaymember.Tally, suspects []jaymember.Suspect, age time.Duration) {
	for _, w := range work {
		t.work[w.Upstream] = t.work[w.Upstream].Plus(w.Work)
	}
	for _, tally := range tallies {
		t.tallies[tally.Upstream] = tally.Plus(t.tallies[tally.Upstream])
	}
	for _, s := range suspects {
		t.addSuspect(s.Aged(age))
	}
}

// addSpeeds adds the reports of one instance, or sums of several, about engines.
func (t *total) addSpeeds(speeds []jaymember.Speed) {
	for _, speed := range speeds {
		t.speeds[speed.Upstream] = speed.Plus(t.speeds[speed.Upstream])
	}
}

// speedList returns the sums about engines without those of one member.
func (t *total) speedList(without jaymember.Member) []jaymember.Speed {
	speeds := maps.Clone(t.speeds)
	for _, speed := range without.Speeds {
		speeds[speed.Upstream] = speeds[speed.Upstream].Minus(speed)
	}
	maps.DeleteFunc(speeds, func(_ uint32, speed jaymember.Speed) bool { return speed.Votes == 0 })
	return slices.Collect(maps.Values(speeds))
}

// zoneSpeeds returns the sums of the own zone for other zones: only those about engines that the
// own or another zone reports as unusual, since bytes between regions are dear.
func (s *state) zoneSpeeds(now time.Time, t *total) []jaymember.Speed {
	unusual := make(map[uint32]bool)
	for _, src := range s.zoneSums {
		for _, speed := range src.sums.Speeds {
			unusual[speed.Upstream] = unusual[speed.Upstream] || speed.Unusual() && now.Sub(src.at) <= zoneSumsTTL
		}
	}
	return slices.DeleteFunc(t.speedList(jaymember.Member{}), func(speed jaymember.Speed) bool {
		return !speed.Unusual() && !unusual[speed.Upstream]
	})
}

func (t *total) addMember(m jaymember.Member, age time.Duration) {
	t.add(m.Work, m.Tallies, m.Suspects, age)
	t.addSpeeds(m.Speeds)
}

func (t *total) addSuspect(s jaymember.Suspect) {
	if known, ok := t.suspects[s.Key]; ok {
		s = s.Plus(known)
	}
	t.suspects[s.Key] = s
}

// sums returns the total, with the work and tallies without those of one member.
func (t *total) sums(without jaymember.Member) *sums {
	work, tallies := maps.Clone(t.work), maps.Clone(t.tallies)
	for _, w := range without.Work {
		work[w.Upstream] = work[w.Upstream].Minus(w.Work)
	}
	for _, tally := range without.Tallies {
		tallies[tally.Upstream] = tallies[tally.Upstream].Minus(tally)
	}
	result := &sums{Suspects: t.suspectList(), Speeds: t.speedList(without)}
	for upstream, w := range work {
		if !w.IsZero() {
			result.Work = append(result.Work, jaymember.UpstreamWork{Upstream: upstream, Work: w})
		}
	}
	for upstream, tally := range tallies {
		if tally.Served > 0 || tally.Failed > 0 {
			tally.Upstream = upstream
			result.Tallies = append(result.Tallies, tally)
		}
	}
	return result
}

// suspectList returns at most maxSuspects, those in quarantine first.
func (t *total) suspectList() []jaymember.Suspect {
	list := slices.Collect(maps.Values(t.suspects))
	slices.SortFunc(list, func(a, b jaymember.Suspect) int {
		if a.Quarantined != b.Quarantined {
			if a.Quarantined {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(len(b.Crashes), len(a.Crashes)), cmp.Compare(a.Key, b.Key))
	})
	return list[:min(len(list), maxSuspects)]
}

// zoneTotal adds up the reports of this instance, if it is included, and of those that sent their
// heartbeats to it directly.
func (s *state) zoneTotal(now time.Time, includeSelf bool) *total {
	t := newTotal()
	if includeSelf {
		t.addMember(s.view.Self(), 0)
	}
	for incarnation, at := range s.directAt {
		if age := now.Sub(at); age <= heartbeatTTL {
			if m, ok := s.view.Member(incarnation); ok {
				t.addMember(m.Member, age)
			}
		}
	}
	return t
}

// addOtherZones adds the latest sums of each other zone.
func (s *state) addOtherZones(now time.Time, t *total) {
	for _, src := range s.zoneSums {
		if age := now.Sub(src.at); age <= zoneSumsTTL {
			t.add(nil, src.sums.Tallies, src.sums.Suspects, age)
			t.addSpeeds(src.sums.Speeds)
		}
	}
}

// report returns what the other instances report: by the sums of a hub or, in a full mesh and at a
// hub itself, by their own heartbeats.
func (s *state) report(now time.Time) Report {
	t := newTotal()
	if hub := s.hubSums; hub != nil && now.Sub(hub.at) <= heartbeatTTL {
		t.add(hub.sums.Work, hub.sums.Tallies, hub.sums.Suspects, now.Sub(hub.at))
		t.addSpeeds(hub.sums.Speeds)
	} else {
		t = s.zoneTotal(now, false)
		s.addOtherZones(now, t)
	}
	r := Report{Work: t.work, Tallies: t.tallies, Speeds: t.speeds, Suspects: t.suspectList(), Prefixes: s.announced, At: now}
	s.announced = nil
	return r
}
