package jayusage

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"jayfield.example/jay/jaymember"
	"jayfield.example/jay/jayprefix"
)

const (
	// demandSlot and demandSlots divide the last second, over which rates are measured.
	demandSlot  = 100 * time.Millisecond
	demandSlots = 10
	// demandTTL is the age up to which the demand that an instance stated is counted.
	demandTTL = 3 * time.Second
	// prefixesTTL is the age up to which the sample of prefixes that an instance stated is counted.
	prefixesTTL = 6 * time.Second
	// idleSlots is the number of slots without a request after which a service is forgotten.
	idleSlots = 600
	// maxServices bounds the services of an instance's demand.
	maxServices = 256
)

// Demand measures the demand for services at this instance.
type Demand struct {
	services map[uint32]*service
}

// service is the demand for a service.
type service struct {
	slots           [demandSlots]slot
	running, queued int
	used            int64
	prefixes        jayprefix.Recent
}

// slot is what was admitted and ended in a part of a second.
type slot struct {
	number                         int64
	prefill, output, missed, ended int
}

// NewDemand returns a measurement without services.
func NewDemand() *Demand {
	return &Demand{services: make(map[uint32]*service)}
}

// Admit records a prompt.
func (d *Demand) Admit(now time.Duration, name uint32, prefill, output int) {
	s := d.service(name)
	current := s.slot(now)
	current.prefill += prefill
	current.output += output
	s.running++
	s.queued += prefill
}

// Use records the use of a shared prompt prefix with a number of tokens.
func (d *Demand) Use(now time.Duration, name uint32, prefix string, tokens int) {
	d.service(name).prefixes.Add(now, prefix, tokens)
}

// Prefilled records that prompt tokens are no longer queued.
func (d *Demand) Prefilled(name uint32, prefill int) {
	s := d.service(name)
	s.queued = max(0, s.queued-prefill)
}

// End records the end of a request.
func (d *Demand) End(now time.Duration, name uint32, missed bool) {
	s := d.service(name)
	s.running = max(0, s.running-1)
	current := s.slot(now)
	current.ended++
	if missed {
		current.missed++
	}
}

// List returns the demand over the last second, ordered by service. Services without any are left out.
func (d *Demand) List(now time.Duration) []jaymember.ServiceDemand {
	var list []jaymember.ServiceDemand
	number := int64(now / demandSlot)
	for name, s := range d.services {
		total := jaymember.ServiceDemand{Service: name, Running: s.running, QueuedTokens: s.queued, Prefixes: s.prefixes.Sample(now)}
		for _, slot := range s.slots {
			if slot.number > number-demandSlots && slot.number <= number {
				total = total.Plus(jaymember.ServiceDemand{PrefillTokens: slot.prefill, OutputTokens: slot.output, Missed: slot.missed, Ended: slot.ended})
			}
		}
		if !total.IsZero() {
			list = append(list, total)
		} else if number-s.used > idleSlots {
			delete(d.services, name)
		}
	}
	sortDemand(list)
	return list
}

func (d *Demand) service(name uint32) *service {
	s, ok := d.services[name]
	if !ok {
		s = &service{}
		if len(d.services) < maxServices {
			d.services[name] = s
		}
	}
	return s
}

// slot returns the slot of a point in time.
func (s *service) slot(now time.Duration) *slot {
	number := int64(now / demandSlot)
	s.used = number
	current := &s.slots[number%demandSlots]
	if current.number != number {
		*current = slot{number: number}
	}
	return current
}

// Demands holds the latest demand that other instances stated.
type Demands struct {
	latest map[string]statedDemand
}

type statedDemand struct {
	zone     string
	services []jaymember.ServiceDemand
	at       time.Duration
	samples  map[uint32]statedSample
}

// statedSample is the latest sample of prefixes of a service.
type statedSample struct {
	prefixes jayprefix.Sample
	at       time.Duration
}

// NewDemands returns an empty set.
func NewDemands() *Demands {
	return &Demands{latest: make(map[string]statedDemand)}
}

// Set replaces the demand that an instance in a zone states. A service without a sample of prefixes keeps the one
// before for prefixesTTL, since samples are not sent each time.
func (d *Demands) Set(now time.Duration, incarnation, zone string, services []jaymember.ServiceDemand) {
	stated, before := statedDemand{zone: zone, at: now, samples: make(map[uint32]statedSample)}, d.latest[incarnation]
	for _, s := range services {
		sample := statedSample{s.Prefixes, now}
		if s.Prefixes == "" {
			sample = before.samples[s.Service]
		}
		if sample.prefixes != "" && now-sample.at <= prefixesTTL {
			s.Prefixes, stated.samples[s.Service] = sample.prefixes, sample
		}
		stated.services = append(stated.services, s)
	}
	d.latest[incarnation] = stated
}

// Prune drops what is too old.
func (d *Demands) Prune(now time.Duration) {
	maps.DeleteFunc(d.latest, func(_ string, s statedDemand) bool { return now-s.at > demandTTL })
}

// Sum returns the demand of a zone by service, and the number of instances that it comes from.
func (d *Demands) Sum(now time.Duration, zone string) (services []jaymember.ServiceDemand, instances int) {
	sums := make(map[uint32]jaymember.ServiceDemand)
	for _, stated := range d.latest {
		if stated.zone != zone || now-stated.at > demandTTL {
			continue
		}
		instances++
		for _, s := range stated.services {
			sums[s.Service] = s.Plus(sums[s.Service])
		}
	}
	services = slices.Collect(maps.Values(sums))
	sortDemand(services)
	return services, instances
}

func sortDemand(list []jaymember.ServiceDemand) {
	slices.SortFunc(list, func(a, b jaymember.ServiceDemand) int { return cmp.Compare(a.Service, b.Service) })
}
