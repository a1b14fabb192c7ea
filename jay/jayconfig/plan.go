package jayconfig

import (
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"k8s.io/apimachinery/pkg/labels"

	"jayfield.example/jay/jayini"
)

const (
	// DefaultStay is how long an engine keeps a role at least.
	DefaultStay = time.Minute
	// DefaultHorizon is the time over which a change of role must pay.
	DefaultHorizon = 5 * time.Minute
	// DefaultCost is how long an engine serves nothing for a change of role, its drain included.
	DefaultCost = 10 * time.Second
)

// Plan lets the system choose the roles of engines, in place of the roles that
// their objects give.
type Plan struct {
	// Model is the model whose engines are planned.
	Model string
	// Upstreams picks the engines by their labels.
	Upstreams labels.Selector
	// Mixed, Prefill and Decode are what an engine does in each role. The
	// output of engines in the prefill role is not used.
	Mixed, Prefill, Decode Rate
	// Stay is the least time between two changes of one engine.
	Stay time.Duration
	// Horizon is the time over which a change must pay.
	Horizon time.Duration
	// Cost is how long an engine is lost for a change.
	Cost time.Duration
}

// Rate is what an engine does when it does both at once, in tokens a second.
type Rate struct {
	Prompt, Output float64
}

func newPlan() *Plan {
	return &Plan{Upstreams: labels.Everything(), Stay: DefaultStay, Horizon: DefaultHorizon, Cost: DefaultCost}
}

// Rate returns what an engine does in a role.
func (p *Plan) Rate(role Role) Rate {
	switch role {
	case RolePrefill:
		return Rate{Prompt: p.Prefill.Prompt}
	case RoleDecode:
		return p.Decode
	case RoleMixed:
	}
	return p.Mixed
}

func (p *Plan) fields() []jayini.Field {
	return []jayini.Field{
		jayini.Required(jayini.String("model", &p.Model)),
		selectorField("upstreams", &p.Upstreams),
		jayini.Required(rateField("mixed", &p.Mixed)),
		jayini.Required(rateField("prefill", &p.Prefill)),
		jayini.Required(rateField("decode", &p.Decode)),
		jayini.Duration("stay", &p.Stay, time.Second),
		jayini.Duration("horizon", &p.Horizon, time.Second),
		jayini.Duration("cost", &p.Cost, time.Millisecond),
	}
}

// picks reports whether the plan is for an engine.
func (p *Plan) picks(u *Upstream) bool {
	return u.Kind == UpstreamEngine && u.Model == p.Model && p.Upstreams.Matches(u.Match())
}

func rateField(name string, target *Rate) jayini.Field {
	return jayini.Field{Name: name, Set: func(value string) error {
		prompt, output, _ := strings.Cut(value, "/")
		var r Rate
		var err, outputErr error
		r.Prompt, err = strconv.ParseFloat(strings.TrimSpace(prompt), 64)
		r.Output, outputErr = strconv.ParseFloat(strings.TrimSpace(output), 64)
		if err != nil || outputErr != nil || r.Prompt < 0 || r.Output < 0 || r == (Rate{}) {
			return errors.Errorf("%q is not prompt tokens and output tokens a second, such as 20000/600", value)
		}
		*target = r
		return nil
	}}
}
