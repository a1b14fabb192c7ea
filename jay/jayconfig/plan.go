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
	// DefaultMinStay is the default minimum time that an engine keeps a role.
	DefaultMinStay = time.Minute
	// DefaultHorizon is the default time within which a role change must pay off.
	DefaultHorizon = 5 * time.Minute
	// DefaultChangeCost is the default for how long an engine serves no requests during a role change, including its drain.
	DefaultChangeCost = 10 * time.Second
)

// Plan enables automatic role assignment for a group of engines. It overrides the roles
// set in their upstream objects.
type Plan struct {
	// Model is the model whose engines the plan applies to.
	Model string
	// Upstreams selects the engines by their labels.
	Upstreams labels.Selector
	// Mixed, Prefill and Decode are the throughput of an engine in each role.
	// The output rate of the prefill role is ignored.
	Mixed, Prefill, Decode Rate
	// MinStay is the minimum time between two role changes of one engine.
	MinStay time.Duration
	// Horizon is the time within which a role change must pay off.
	Horizon time.Duration
	// ChangeCost is how long an engine serves no requests during a role change.
	ChangeCost time.Duration
}

// Rate is the throughput of an engine that processes prompts and generates output at the same time,
// in tokens per second.
type Rate struct {
	Prompt, Output float64
}

func newPlan() *Plan {
	return &Plan{Upstreams: labels.Everything(), MinStay: DefaultMinStay, Horizon: DefaultHorizon, ChangeCost: DefaultChangeCost}
}

// Rate returns the throughput of an engine in a role.
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
		jayini.Duration("stay", &p.MinStay, time.Second),
		jayini.Duration("horizon", &p.Horizon, time.Second),
		jayini.Duration("cost", &p.ChangeCost, time.Millisecond),
	}
}

// matches reports whether the plan applies to an upstream.
func (p *Plan) matches(u *Upstream) bool {
	return u.Kind == UpstreamEngine && u.Model == p.Model && p.Upstreams.Matches(u.SelectorLabels())
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
