package jayconfig

import (
	"k8s.io/apimachinery/pkg/labels"

	"jayfield.example/jay/jayini"
)

// UpstreamKind distinguishes engines from plain services.
type UpstreamKind string

// Kinds of upstreams.
const (
	UpstreamEngine  UpstreamKind = "engine"
	UpstreamService UpstreamKind = "service"
)

// Role is the stage of inference that an engine runs: prefill, decode or both.
type Role string

// Roles of engines.
const (
	RoleMixed   Role = "mixed"
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
)

// FenceMode states whether an engine refuses orders with an old fencing number.
type FenceMode string

// Fence modes.
const (
	FenceChecks  FenceMode = "checks"
	FenceIgnores FenceMode = "ignores"
)

// DefaultSlots is the default number of requests that an engine runs concurrently.
const DefaultSlots = 16

// maxSlots is the maximum configurable number of concurrent requests of an engine.
const maxSlots = 4096

// Upstream is a back end that serves requests: an engine or a plain service.
type Upstream struct {
	Kind    UpstreamKind
	Address string
	Labels  labels.Set
	Region  string
	Zone    string
	Model   string
	Role    Role
	Slots   int
	Fence   FenceMode
	Drain   bool
}

func newUpstream() *Upstream {
	return &Upstream{Kind: UpstreamEngine, Role: RoleMixed, Slots: DefaultSlots, Fence: FenceIgnores, Labels: labels.Set{}}
}

// SelectorLabels returns the labels that selectors are matched against: the operator's labels, and
// kind, region, zone and role from the upstream's fields, which take precedence.
func (u *Upstream) SelectorLabels() labels.Set {
	builtin := labels.Set{"kind": string(u.Kind), "region": u.Region, "zone": u.Zone, "role": string(u.Role)}
	return labels.Merge(u.Labels, builtin)
}

func (u *Upstream) fields() []jayini.Field {
	return []jayini.Field{
		jayini.Enum("kind", &u.Kind, UpstreamEngine, UpstreamService),
		jayini.Required(addressField("address", &u.Address)),
		labelsField("labels", &u.Labels),
		jayini.Required(jayini.String("region", &u.Region)),
		jayini.Required(jayini.String("zone", &u.Zone)),
		jayini.String("model", &u.Model),
		jayini.Enum("role", &u.Role, RoleMixed, RolePrefill, RoleDecode),
		jayini.Int("slots", &u.Slots, 1, maxSlots),
		jayini.Enum("fence", &u.Fence, FenceChecks, FenceIgnores),
		jayini.Bool("drain", &u.Drain),
	}
}
