package jayconfig

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/url"
	"strings"
	"time"

	"github.com/pkg/errors"
	"k8s.io/apimachinery/pkg/labels"

	"jayfield.example/jay/jayini"
)

// Spec is the checked content of an object: *Upstream, *Service, *Route or *Caller.
type Spec interface {
	fields() []jayini.Field
}

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

// Priority orders waiting work.
type Priority string

// Priorities from first to last.
const (
	PriorityHigh   Priority = "high"
	PriorityNormal Priority = "normal"
	PriorityLow    Priority = "low"
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

// Service is a plain service that callers reach by name.
type Service struct {
	// Selector picks the upstreams that serve it.
	Selector labels.Selector
	// Once marks calls that are not idempotent by their method to run at most once.
	Once bool
	// Intent accepts idempotency keys without a ticket, by records in the log.
	Intent bool
	// Timeout bounds a call without a timeout of its own.
	Timeout time.Duration
}

// DefaultServiceTimeout bounds a call where neither caller nor service says so.
const DefaultServiceTimeout = 10 * time.Second

func newService() *Service {
	return &Service{Selector: labels.Nothing(), Timeout: DefaultServiceTimeout}
}

func (s *Service) fields() []jayini.Field {
	return []jayini.Field{
		jayini.Required(selectorField("selector", &s.Selector)),
		jayini.Bool("once", &s.Once),
		jayini.Bool("intent", &s.Intent),
		jayini.Duration("timeout", &s.Timeout, time.Millisecond),
	}
}

// Route says which engines serve the work of which callers.
type Route struct {
	// Model is the name that callers ask for.
	Model string
	// Callers picks callers by their labels.
	Callers labels.Selector
	// Upstreams picks engines by their labels.
	Upstreams labels.Selector
	// Priority orders the work in queues.
	Priority Priority
	// Rank puts a route before others that match as well; the highest wins.
	Rank int
}

const maxRank = 1000

func newRoute() *Route {
	return &Route{Callers: labels.Everything(), Upstreams: labels.Everything(), Priority: PriorityNormal}
}

func (r *Route) fields() []jayini.Field {
	return []jayini.Field{
		jayini.Required(jayini.String("model", &r.Model)),
		selectorField("callers", &r.Callers),
		selectorField("upstreams", &r.Upstreams),
		jayini.Enum("priority", &r.Priority, PriorityHigh, PriorityNormal, PriorityLow),
		jayini.Int("rank", &r.Rank, 0, maxRank),
	}
}

// Caller is an account that may send requests.
type Caller struct {
	// Hash is the SHA-256 of the account's key.
	Hash   [sha256.Size]byte
	Labels labels.Set
	// Weight is the account's share among callers that wait.
	Weight int
	// Rate bounds the account's requests a second over all instances; 0 is no bound.
	Rate int
}

const (
	hashPrefix = "sha256:"
	maxWeight  = 100
	maxRate    = 100_000
)

func newCaller() *Caller {
	return &Caller{Labels: labels.Set{}, Weight: 1}
}

// HashKey returns the form in which a caller's key stands in the configuration.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hashPrefix + hex.EncodeToString(sum[:])
}

// Matches reports in constant time whether sum is the hash of the account's key.
func (c *Caller) Matches(sum [sha256.Size]byte) bool {
	return subtle.ConstantTimeCompare(c.Hash[:], sum[:]) == 1
}

func (c *Caller) fields() []jayini.Field {
	return []jayini.Field{
		jayini.Required(jayini.Field{Name: "key", Set: c.setHash}),
		labelsField("labels", &c.Labels),
		jayini.Int("weight", &c.Weight, 1, maxWeight),
		jayini.Int("rate", &c.Rate, 0, maxRate),
	}
}

func (c *Caller) setHash(value string) error {
	sum, err := hex.DecodeString(strings.TrimPrefix(value, hashPrefix))
	if !strings.HasPrefix(value, hashPrefix) || err != nil || len(sum) != sha256.Size {
		return errors.New("not sha256: and 64 hexadecimal digits; make it with jayfield hash")
	}
	copy(c.Hash[:], sum)
	return nil
}

func newSpec(class Class) (Spec, error) {
	switch class {
	case ClassUpstream:
		return newUpstream(), nil
	case ClassService:
		return newService(), nil
	case ClassRoute:
		return newRoute(), nil
	case ClassCaller:
		return newCaller(), nil
	default:
		return nil, errors.Errorf("%q is not one of upstream, service, route, caller", string(class))
	}
}

func addressField(name string, target *string) jayini.Field {
	return jayini.Field{Name: name, Set: func(value string) error {
		u, err := url.Parse(value)
		if err != nil || u.Scheme != "http" || u.Host == "" || u.Path != "" {
			return errors.Errorf("%q is not an address such as http://127.0.0.1:9001", value)
		}
		*target = value
		return nil
	}}
}

func labelsField(name string, target *labels.Set) jayini.Field {
	return jayini.Field{Name: name, Set: func(value string) error {
		set, err := labels.ConvertSelectorToLabelsMap(value)
		if err != nil {
			return err
		}
		*target = set
		return nil
	}}
}

func selectorField(name string, target *labels.Selector) jayini.Field {
	return jayini.Field{Name: name, Set: func(value string) error {
		selector, err := labels.Parse(value)
		if err != nil {
			return err
		}
		*target = selector
		return nil
	}}
}
