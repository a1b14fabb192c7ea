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
	// key is the same for pools of the same upstreams, whose work waits together.
	key string
	// near are the upstreams of the instance's own region, far all others.
	near, far []*Upstream
	// lead is the median seconds for a prompt token over the upstreams, 0 until enough were observed.
	lead float64
	// turn counts the picks of the round-robin baseline.
	turn int
}

// Expected returns the time to the first token of work that starts now at an
// upstream. One slower than the median is expected to be like the median: it
// is late as soon as another would have been done.
func (p *Pool) Expected(u *Upstream, w Work) time.Duration {
	lead := u.lead
	if p.lead > 0 {
		lead = min(lead, p.lead)
	}
	return time.Duration(float64(u.prefill+w.Prompt) * lead * float64(time.Second))
}

// Key returns what pools of the same upstreams share.
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

// Slots returns the slots of all upstreams of the pool that take work.
func (p *Pool) Slots() int {
	total := 0
	for _, u := range p.near {
		total += u.open()
	}
	for _, u := range p.far {
		total += u.open()
	}
	return total
}

// Own returns the slots that are this instance's own: its part of the near
// ones, or its share of all where none is near.
func (p *Pool) Own(t *Table, share float64) float64 {
	own := 0
	for _, u := range p.near {
		if u.hosts() {
			own += t.part(u)
		}
	}
	if own > 0 {
		return float64(own)
	}
	return share * float64(p.Slots())
}

// members returns a text that names all upstreams of the pool.
func (p *Pool) members() string {
	digest := xxhash.New()
	for i := range p.Size() {
		_, _ = digest.WriteString(p.at(i).name + "\x00")
	}
	return strconv.FormatUint(digest.Sum64(), 16)
}

func (u *Upstream) open() int {
	if u.Leaving() {
		return 0
	}
	return u.spec.Slots
}

// newPools evaluates all selectors once, so that a pick evaluates none.
func newPools(state *jayconfig.State, upstreams map[string]*Upstream, region string) map[string]*Pool {
	ordered := make([]*Upstream, 0, len(upstreams))
	for _, u := range upstreams {
		ordered = append(ordered, u)
	}
	slices.SortFunc(ordered, func(a, b *Upstream) int { return strings.Compare(a.name, b.name) })
	pools := make(map[string]*Pool)
	for _, object := range state.Objects() {
		match := matcher(object.Spec())
		if match == nil {
			continue
		}
		pool := &Pool{name: object.Name.String()}
		for _, u := range ordered {
			if !match(u.spec) {
				continue
			}
			if u.spec.Region == region {
				pool.near = append(pool.near, u)
			} else {
				pool.far = append(pool.far, u)
			}
		}
		pool.key = pool.members()
		pools[pool.name] = pool
	}
	return pools
}

// matcher returns the condition of a route or service, nil for other objects.
func matcher(spec jayconfig.Spec) func(*jayconfig.Upstream) bool {
	switch s := spec.(type) {
	case *jayconfig.Route:
		return func(u *jayconfig.Upstream) bool {
			return u.Kind == jayconfig.UpstreamEngine && u.Model == s.Model && s.Upstreams.Matches(u.Match())
		}
	case *jayconfig.Service:
		return func(u *jayconfig.Upstream) bool {
			return u.Kind == jayconfig.UpstreamService && s.Selector.Matches(u.Match())
		}
	default:
		return nil
	}
}

// Usual returns the mean seconds for a prompt token and between two tokens.
func (p *Pool) Usual() (lead, pace float64) {
	if p.Size() == 0 {
		return 0, 0
	}
	for i := range p.Size() {
		lead += p.at(i).lead
		pace += p.at(i).pace
	}
	return lead / float64(p.Size()), pace / float64(p.Size())
}
