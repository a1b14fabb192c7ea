package jayroute

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"jayfield.example/jay/jayconfig"
)

// Pool is the set of upstreams that may serve the work of one route or service.
type Pool struct {
	name string
	// key is the same for pools of the same upstreams, which share one queue.
	key string
	// near holds the upstreams of the instance's own region, far all others.
	near, far []*Upstream
	// medianPrefillPace is the median over the upstreams of the seconds to prefill a prompt
	// token, 0 until enough were observed.
	medianPrefillPace float64
	// tried counts the upstreams tried by the round-robin baseline.
	tried int
}

// ExpectedFirstToken returns the expected time to the first token of work that starts now
// at an upstream. For an upstream slower than the median, the median is used: the
// work counts as late as soon as another upstream would have produced the token.
func (p *Pool) ExpectedFirstToken(u *Upstream, w Work) time.Duration {
	prefillPace := u.prefillPace
	if p.medianPrefillPace > 0 {
		prefillPace = min(prefillPace, p.medianPrefillPace)
	}
	return time.Duration(float64(u.prefill+w.Prompt) * prefillPace * float64(time.Second))
}

// Key returns a key that is the same for pools of the same upstreams.
func (p *Pool) Key() string {
	return p.key
}

// Name returns the name of the route's or service's object.
func (p *Pool) Name() string {
	return p.name
}

// Size returns the number of upstreams of the pool.
func (p *Pool) Size() int {
	return len(p.near) + len(p.far)
}

// Slots returns the total slots of the upstreams of the pool that take new work.
func (p *Pool) Slots() int {
	total := 0
	for _, u := range p.near {
		total += u.openSlots()
	}
	for _, u := range p.far {
		total += u.openSlots()
	}
	return total
}

// Quota returns the number of slots reserved for this instance: its quota on the
// near upstreams that decode, or its share of all slots where that is zero.
func (p *Pool) Quota(t *Table, share float64) float64 {
	total := 0
	for _, u := range p.near {
		if u.decodes() {
			total += t.quota(u)
		}
	}
	if total > 0 {
		return float64(total)
	}
	return share * float64(p.Slots())
}

// digest returns a hash of the names of all upstreams of the pool.
func (p *Pool) digest() string {
	hash := xxhash.New()
	for i := range p.Size() {
		_, _ = hash.WriteString(p.at(i).name + "\x00")
	}
	return strconv.FormatUint(hash.Sum64(), 16)
}

func (u *Upstream) openSlots() int {
	if u.Leaving() {
		return 0
	}
	return u.spec.Slots
}

// newPools builds the pools of all routes and services. It evaluates all
// selectors once, so that picks evaluate none.
func newPools(state *jayconfig.State, upstreams map[string]*Upstream, region string) map[string]*Pool {
	sorted := make([]*Upstream, 0, len(upstreams))
	for _, u := range upstreams {
		sorted = append(sorted, u)
	}
	slices.SortFunc(sorted, func(a, b *Upstream) int { return strings.Compare(a.name, b.name) })
	pools := make(map[string]*Pool)
	for _, object := range state.Objects() {
		match := matcher(object.Spec())
		if match == nil {
			continue
		}
		pool := &Pool{name: object.Name.String()}
		for _, u := range sorted {
			if !match(u.spec) {
				continue
			}
			if u.spec.Region == region {
				pool.near = append(pool.near, u)
			} else {
				pool.far = append(pool.far, u)
			}
		}
		pool.key = pool.digest()
		pools[pool.name] = pool
	}
	return pools
}

// matcher returns the selection condition of a route or service, nil for other objects.
func matcher(spec jayconfig.Spec) func(*jayconfig.Upstream) bool {
	switch s := spec.(type) {
	case *jayconfig.Route:
		return func(u *jayconfig.Upstream) bool {
			return u.Kind == jayconfig.UpstreamEngine && u.Model == s.Model && s.Upstreams.Matches(u.SelectorLabels())
		}
	case *jayconfig.Service:
		return func(u *jayconfig.Upstream) bool {
			return u.Kind == jayconfig.UpstreamService && s.Selector.Matches(u.SelectorLabels())
		}
	default:
		return nil
	}
}

// MeanPaces returns the mean over the upstreams of the seconds to prefill a prompt
// token and between two output tokens.
func (p *Pool) MeanPaces() (prefillPace, pace float64) {
	if p.Size() == 0 {
		return 0, 0
	}
	for i := range p.Size() {
		prefillPace += p.at(i).prefillPace
		pace += p.at(i).pace
	}
	return prefillPace / float64(p.Size()), pace / float64(p.Size())
}
