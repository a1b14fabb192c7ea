package jaysite

import (
	"fmt"
	"strings"

	"jayfield.example/jay/jayconfig"
)

// Document returns the configuration of a site.
func (s *Site) Document() string {
	var b strings.Builder
	for n, engine := range s.Engines {
		fence := "ignores"
		if engine.Checks {
			fence = "checks"
		}
		fmt.Fprintf(&b, "[upstream %s]\nkind = engine\naddress = %s\nregion = %s\nzone = %s\nmodel = %s\nlabels = app=assistant\nslots = %d\nfence = %s\n\n",
			engine.Name, engine.Address, s.plan.region(n), zoneOf(s.plan.region(n)), Model, s.plan.Rates.Slots, fence)
	}
	for n, service := range s.Services {
		fmt.Fprintf(&b, "[upstream %s]\nkind = service\naddress = %s\nregion = %s\nzone = %s\nlabels = app=orders\nslots = 64\n\n",
			service.Name, service.Address, s.plan.region(n), zoneOf(s.plan.region(n)))
	}
	fmt.Fprintf(&b, "[route assistant]\nmodel = %s\nupstreams = app=assistant\n\n", Model)
	fmt.Fprintf(&b, "[service %s]\nselector = app=orders\nonce = yes\ntimeout = 5s\n\n", Service)
	for _, account := range s.plan.Callers {
		fmt.Fprintf(&b, "[caller %s]\nkey = %s\n%s\n", account.Name, jayconfig.HashKey(account.Key), account.Fields)
	}
	b.WriteString(s.plan.Extra)
	return b.String()
}
