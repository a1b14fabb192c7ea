package jayplace

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"jayfield.example/jay/jayerror"
	"jayfield.example/jay/jayfleet"
)

// Place is where an instance or upstream stands.
type Place struct {
	Zone, Region string
}

// Table is the state of all upstreams as one instance sees them.
type Table struct {
	place Place
	// regions holds the region of each zone.
	regions   map[string]string
	upstreams map[string]*upstream
	services  map[string][]*upstream
	// stated are the readings that the others are told of.
	stated []reading
	mix    mix
}

// NewTable returns a table without upstreams for an instance at a place.
func NewTable(place Place, regions map[string]string) *Table {
	return &Table{place: place, regions: regions, upstreams: make(map[string]*upstream), services: make(map[string][]*upstream)}
}

// Configure takes in the upstreams that take new work. Those that stay keep
// what was observed, and those that left keep it until their work is done.
func (t *Table) Configure(list []jayfleet.Upstream) {
	for _, u := range t.upstreams {
		u.listed = false
	}
	clear(t.services)
	for _, spec := range list {
		u, ok := t.upstreams[spec.ID]
		if !ok || u.spec.Born != spec.Born || u.spec.Address != spec.Address {
			u = newUpstream(spec)
			t.upstreams[spec.ID] = u
		}
		u.spec, u.listed = spec, true
		u.distance, u.region = t.distance(spec.Zone), t.regions[spec.Zone]
		t.services[spec.Service] = append(t.services[spec.Service], u)
	}
	for id, u := range t.upstreams {
		if !u.listed && u.own.Running == 0 {
			delete(t.upstreams, id)
		}
	}
}

// Choose returns where the work goes now, or an error that says why nowhere.
// Every choice that is used must be told with Start and End.
func (t *Table) Choose(now time.Time, w Work) (Choice, error) {
	candidates := t.candidates(now, w)
	if len(candidates) == 0 {
		return Choice{}, jayerror.Newf("choose", KindNone, "none of the %d upstreams of the service takes work", len(t.services[w.Service]))
	}
	if w.Prompt {
		return t.choosePrompt(now, candidates, w)
	}
	return t.choosePlain(now, candidates, w), nil
}

// candidates returns the upstreams that may take the work. Where all that were
// not tried are ejected, they are used all the same.
func (t *Table) candidates(now time.Time, w Work) []*upstream {
	all := t.services[w.Service]
	usable := make([]*upstream, 0, len(all))
	ejected := make([]*upstream, 0, len(all))
	for _, u := range all {
		switch {
		case w.Avoid[u.spec.ID]:
		case now.Before(u.ejected):
			ejected = append(ejected, u)
		default:
			usable = append(usable, u)
		}
	}
	if len(usable) == 0 {
		return ejected
	}
	return usable
}

// choosePlain returns the upstream with the earliest expected answer.
func (t *Table) choosePlain(now time.Time, candidates []*upstream, w Work) Choice {
	var best *upstream
	least, id := time.Duration(0), xxhash.Sum64String(w.ID)
	for _, u := range candidates {
		wait := u.plainWait(now) + time.Duration(draw(id, u)*float64(drawSpread))
		if best == nil || wait < least {
			best, least = u, wait
		}
	}
	return Choice{Upstream: best.spec, Wait: least}
}

// distance returns the time of a round trip to a zone.
func (t *Table) distance(zone string) time.Duration {
	switch {
	case zone == t.place.Zone:
		return 0
	case t.regions[zone] != "" && t.regions[zone] == t.place.Region:
		return roundZone
	default:
		return roundRegion
	}
}

// drawSpread is the difference in expected time within which upstreams count as equal.
const drawSpread = 5 * time.Millisecond

// Times of a round trip, as the deployments of the users' letter state them.
const (
	roundZone   = 3 * time.Millisecond
	roundRegion = 40 * time.Millisecond
)
