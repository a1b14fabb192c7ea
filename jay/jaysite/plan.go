// Package jaysite runs a whole site in one process: the stand-in platform,
// entry instances with the daemon's real parts, engines and plain services,
// all on loopback. It serves the demonstration, tests and measurements.
package jaysite

import (
	"time"

	"jayfield.example/jay/jayinstance"
	"jayfield.example/jay/jayroute"
	"jayfield.example/jay/jaysetting"
	"jayfield.example/jay/jaystandin"
)

// Keys of a site; a trial needs no secrets.
const (
	OperatorKey = "operator-key-of-a-trial"
	PeerKey     = "peer-key-of-a-trial-site"
	Model       = "assistant"
	Service     = "orders"
)

// Plan says what a site consists of.
type Plan struct {
	// Regions have one availability zone each.
	Regions   []string
	Instances int
	Engines   int
	Services  int
	Rates     jaystandin.Rates
	Callers   []Account
	// Route is the text of further objects to publish.
	Extra string
	// Adjust changes the settings of each instance.
	Adjust func(*jaysetting.Settings)
	// Engine returns the options of an engine, by its number.
	Engine func(int) []jaystandin.EngineOption
	Policy jayroute.Policy
	// Options returns further options of an instance, by its region.
	Options func(s *Site, region string) []jayinstance.Option
	// Lifetime is how long callers may keep addresses.
	Lifetime time.Duration
	// Fatal is called for a broken invariant.
	Fatal func(rule string)
}

// Account is a caller of a site.
type Account struct {
	Name, Key string
	// Fields are further lines of the account's object.
	Fields string
}

// DefaultRates are the rates of a stand-in engine for trials.
func DefaultRates() jaystandin.Rates {
	return jaystandin.Rates{Prefill: 40_000, Decode: 2_000, Stream: 200, Slots: 16, Blocks: 256}
}

// DefaultPlan is a small site: three regions, three instances, four engines and one service.
func DefaultPlan() Plan {
	return Plan{
		Regions:   []string{"amman", "irbid", "aqaba"},
		Instances: 3,
		Engines:   4,
		Services:  1,
		Rates:     DefaultRates(),
		Callers:   []Account{{Name: "shop-12", Key: "shop-12-key"}, {Name: "desk-3", Key: "desk-3-key"}},
		Policy:    jayroute.PolicyPredict,
		Lifetime:  2 * time.Second,
	}
}

func (p Plan) region(n int) string {
	return p.Regions[n%len(p.Regions)]
}

func zoneOf(region string) string {
	return region + "-1"
}
