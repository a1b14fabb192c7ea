package jayplace

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"jayfield.example/jay/jayerror"
	"jayfield.example/jay/jayfleet"
	"jayfield.example/jay/jaypace"
)

// Location is the zone and region of an instance or upstream.
type Location struct {
	Zone, Region string
}

// Table is the state of all upstreams as observed by one instance.
type Table struct {
	location Location
	// regions holds the region of each zone.
	regions   map[string]string
	upstreams map[string]*upstream
	services  map[string][]*upstream
	// announcements are the cached prefixes to announce to other instances.
	announcements []announcement
	// holds are what upstreams have stated about themselves, by ID.
	holds map[string]*hold
	mix   mix
	// figures are the measured figures of engines by service and stage.
	figures map[figuresKey]*stageFigures
	// priorities are those of recent requests by service.
	priorities map[string]priorities
	// pauses holds how long answers pause, by service.
	pauses map[string]*pauses
}

// NewTable returns a table without upstreams for an instance at a location.
func NewTable(location Location, regions map[string]string) *Table {
	return &Table{
		location: location, regions: regions, upstreams: make(map[string]*upstream), services: make(map[string][]*upstream),
		holds: make(map[string]*hold), figures: make(map[figuresKey]*stageFigures), priorities: make(map[string]priorities),
		pauses: make(map[string]*pauses),
	}
}

// Configure replaces the upstreams that take new requests. Upstreams that stay keep their
// observed state, and those that are gone keep it until their running requests end.
func (t *Table) Configure(list []jayfleet.Upstream) {
	for _, u := range t.upstreams {
		u.wasListed, u.listed = u.listed, false
	}
	clear(t.services)
	for _, spec := range list {
		u, ok := t.upstreams[spec.ID]
		if !ok || u.spec.Born != spec.Born || u.spec.Address != spec.Address || u.spec.Version != spec.Version {
			u = newUpstream(spec)
			u.pace.pending = jaypace.ReasonStarted
			if ok {
				u.pace.pending = jaypace.ReasonRestarted
			}
			t.upstreams[spec.ID] = u
		} else if !u.wasListed {
			u.pace.pending = jaypace.ReasonReturned
		}
		u.spec, u.listed, u.figures = spec, true, t.stageFigures(spec)
		u.rtt, u.region = t.rtt(spec.Zone), t.regions[spec.Zone]
		t.services[spec.Service] = append(t.services[spec.Service], u)
	}
	for id, u := range t.upstreams {
		if !u.listed && u.own.Running == 0 {
			delete(t.upstreams, id)
		}
	}
}

// Choose returns the upstream for a request, or an error with the reason if there is none. The
// caller must report each choice that it uses with Start and End.
func (t *Table) Choose(now time.Time, w Work) (Choice, error) {
	candidates := t.candidates(now, w)
	if len(candidates) == 0 {
		return Choice{}, jayerror.Wrap("choose", KindNone, t.none(now, w))
	}
	if w.Prompt {
		return t.choosePrompt(now, candidates, w)
	}
	return t.chooseFastest(now, candidates, w), nil
}

// candidates returns the upstreams that may take the request. If all upstreams not yet tried
// are ejected or limited by their pace, it returns those, but never the held ones. If only
// prefill engines are left, it also returns the limited ones that decode.
func (t *Table) candidates(now time.Time, w Work) []*upstream {
	all := t.services[w.Service]
	usable := make([]*upstream, 0, len(all))
	avoided := make([]*upstream, 0, len(all))
	decodes := false
	for _, u := range all {
		switch {
		case !w.allows(u), w.Avoid[u.spec.ID], t.held(now, u):
		case now.Before(u.ejectedUntil), t.limited(now, u, w):
			avoided = append(avoided, u)
		default:
			usable = append(usable, u)
			decodes = decodes || u.spec.Stage != jayfleet.StagePrefill
		}
	}
	if len(usable) == 0 {
		return avoided
	}
	if decodes {
		return usable
	}
	for _, u := range avoided {
		if !now.Before(u.ejectedUntil) && u.spec.Stage != jayfleet.StagePrefill {
			usable = append(usable, u)
		}
	}
	return usable
}

// chooseFastest returns the upstream with the lowest expected latency.
func (t *Table) chooseFastest(now time.Time, candidates []*upstream, w Work) Choice {
	var best *upstream
	least, id := time.Duration(0), xxhash.Sum64String(w.ID)
	for _, u := range candidates {
		wait := u.expectedLatency(now) + time.Duration(tieBreak(id, u)*float64(tieSpread))
		if best == nil || wait < least {
			best, least = u, wait
		}
	}
	return Choice{Upstream: best.spec, Wait: least}
}

// rtt returns the round-trip time to a zone.
func (t *Table) rtt(zone string) time.Duration {
	switch {
	case zone == t.location.Zone:
		return 0
	case t.regions[zone] != "" && t.regions[zone] == t.location.Region:
		return crossZoneRTT
	default:
		return crossRegionRTT
	}
}

// tieSpread is the difference in expected latency within which upstreams count as equal.
const tieSpread = 5 * time.Millisecond

// Round-trip times between the zones of a region and between regions, as stated for the
// deployments in the service requirements.
const (
	crossZoneRTT   = 3 * time.Millisecond
	crossRegionRTT = 40 * time.Millisecond
)
