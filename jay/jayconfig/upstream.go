package jayconfig

import (
	"k8s.io/apimachinery/pkg/labels"

	"jayfield.example/jay/jayini"
)

// UpstreamKind tells engines from plain services.
type UpstreamKind string

// Kinds of upstreams.
const (
	UpstreamEngine  UpstreamKind = "engine"
	UpstreamService UpstreamKind = "service"
)

// Role is the part of the work that an engine does.
type Role string

// Roles of engines.
const (
	RoleMixed   Role = "mixed"
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
)

// FenceMode tells whether an engine refuses old fencing numbers.
type FenceMode string

// Fence modes.
const (
	FenceChecks  FenceMode = "checks"
	FenceIgnores FenceMode = "ignores"
)

// DefaultSlots is the number of requests an engine runs at once unless its object says so.
const DefaultSlots = 16

// maxSlots bounds the requests an engine may be declared to run at once.
const maxSlots = 4096

// Upstream is a back end.
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

// Match returns the labels that selectors see: the operator's and those of the object's own fields.
func (u *Upstream) Match() labels.Set {
	own := labels.Set{"kind": string(u.Kind), "region": u.Region, "zone": u.Zone, "role": string(u.Role)}
	return labels.Merge(u.Labels, own)
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
