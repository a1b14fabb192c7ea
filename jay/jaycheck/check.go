package jaycheck

import (
	"strings"
	"time"

	"jayfield.example/jay/jayaccount"
	"jayfield.example/jay/jaytraffic"
)

// maxPriority is the least urgent priority: engines accept ranks from 0 to 9.
const maxPriority = 9

const subjectLimits = "limits"

// Check returns what is wrong with a policy, what can never take effect and which limits contradict each other.
func Check(policy *jaytraffic.Policy) []Finding {
	var f findings
	f.checkRoutes(policy)
	f.checkServices(policy)
	f.checkAccounts(policy)
	f.checkLimits(policy.Limits)
	Sort(f)
	return f
}

func (f *findings) checkRoutes(policy *jaytraffic.Policy) {
	type match struct{ host, prefix string }
	names, first := make(map[string]int), make(map[match]string)
	for _, route := range policy.RouteList() {
		name := subject("route", route.Name)
		f.checkName(names, name)
		f.checkSplit(policy, name, route)
		f.checkPrefix(name, route.Prefix)
		f.checkRouteLimits(name, route)
		at := match{strings.ToLower(route.Host), route.Prefix}
		if earlier, ok := first[at]; ok {
			f.add(LevelWarning, KindUnused, name, "never matches: %s has the same host and path prefix and comes first", earlier)
		} else {
			first[at] = name
		}
	}
}

// checkName adds an error for the second of several entries with the same name.
func (f *findings) checkName(seen map[string]int, name string) {
	if seen[name]++; seen[name] == 2 {
		f.add(LevelError, KindDuplicate, name, "name is used more than once")
	}
}

func (f *findings) checkSplit(policy *jaytraffic.Policy, name string, route jaytraffic.Route) {
	if len(route.Split) == 0 {
		f.add(LevelError, KindService, name, "has no service")
		return
	}
	total := 0
	for _, split := range route.Split {
		if _, ok := policy.Service(split.Service); !ok {
			f.add(LevelError, KindService, name, "service %s is unknown", quoted(split.Service))
		}
		if split.Weight < 0 {
			f.add(LevelError, KindSplit, name, "weight %d of service %s is negative", split.Weight, quoted(split.Service))
		}
		total += split.Weight
	}
	if total == 0 {
		f.add(LevelError, KindSplit, name, "weights of the split sum to 0, so that no request gets a service")
	}
}

func (f *findings) checkPrefix(name, prefix string) {
	switch {
	case prefix == "":
		f.add(LevelWarning, KindPrefix, name, "path prefix is empty and matches every path; write /")
	case !strings.HasPrefix(prefix, "/"):
		f.add(LevelWarning, KindPrefix, name, "never matches: path prefix %s doesn't begin with a slash", quoted(prefix))
	case !strings.HasSuffix(prefix, "/"):
		f.add(LevelWarning, KindPrefix, name, "path prefix %s doesn't end with a slash and also matches longer names", quoted(prefix))
	}
}

func (f *findings) checkRouteLimits(name string, route jaytraffic.Route) {
	if route.Timeout <= 0 {
		f.add(LevelError, KindTimeout, name, "timeout %s is not above 0", route.Timeout)
	} else {
		f.warnIf(route.Target > route.Timeout, name, "latency objective %s is above the timeout %s", route.Target, route.Timeout)
		f.warnIf(route.Gap > route.Timeout, name, "gap objective %s is above the timeout %s", route.Gap, route.Timeout)
	}
	f.warnIf(route.Attempts < 1, name, "max attempts %d are below 1", route.Attempts)
	f.warnIf(route.Attempts > 1 && !route.Repeatable(), name, "max attempts %d are above 1, but requests must not be repeated", route.Attempts)
	f.checkPriority(name, route.Priority)
}

func (f *findings) checkPriority(name string, priority int) {
	f.warnIf(priority < 0 || priority > maxPriority, name, "priority %d is not within 0 to %d", priority, maxPriority)
}

func (f *findings) checkServices(policy *jaytraffic.Policy) {
	used := make(map[string]bool)
	for _, route := range policy.RouteList() {
		for _, split := range route.Split {
			used[split.Service] = true
		}
	}
	names := make(map[string]int)
	for _, service := range policy.ServiceList() {
		name := subject("service", service.Name)
		f.checkName(names, name)
		if !used[service.Name] && names[name] == 1 {
			f.add(LevelWarning, KindUnused, name, "no route leads to it")
		}
		f.warnIf(service.Connections > 0 && service.Connections < service.Engine.Slots, name,
			"max connections %d are below the %d slots of an engine", service.Connections, service.Engine.Slots)
		if service.Scaling != nil {
			f.checkScaling(name, *service.Scaling)
		}
	}
}

func (f *findings) checkScaling(name string, scaling jaytraffic.Scaling) {
	f.warnIf(scaling.Min > scaling.Max, name, "min engines %d are above max engines %d", scaling.Min, scaling.Max)
	f.warnIf(scaling.Min < 1, name, "min engines %d are below 1", scaling.Min)
	f.warnIf(scaling.Boot <= 0, name, "boot time %s is not above 0", scaling.Boot)
	f.warnIf(scaling.SpotPrice < 0 || scaling.SpotPrice > 1, name, "spot price %g is not between 0 and 1", scaling.SpotPrice)
	for zone, price := range scaling.ZonePrices {
		f.warnIf(price <= 0, name, "price %g of zone %s is not above 0", price, quoted(zone))
	}
}

func (f *findings) checkAccounts(policy *jaytraffic.Policy) {
	if n := policy.MalformedAccounts(); n > 0 {
		f.add(LevelError, KindFormat, "accounts", "%d can't be decoded and would be left out", n)
	}
	if policy.Accounts() == nil {
		return
	}
	names, holders, prioritised := make(map[string]int), make(map[jayaccount.Digest]string), false
	for _, entry := range policy.Accounts().Entries() {
		name := subject("account", entry.Account.Name)
		f.checkName(names, name)
		if len(entry.Digests) == 0 {
			f.add(LevelWarning, KindUnused, name, "has no key, so that no request is served for it")
		}
		if entry.Account.Priority != nil {
			prioritised = true
			f.checkPriority(name, *entry.Account.Priority)
		}
		for _, digest := range entry.Digests {
			if other, ok := holders[digest]; ok && other != name {
				f.add(LevelError, KindKey, name, "key with digest %s is also a key of %s", digest.Short(), other)
			}
			holders[digest] = name
		}
	}
	if prioritised {
		f.notePublicRoutes(policy)
	}
}

func (f *findings) notePublicRoutes(policy *jaytraffic.Policy) {
	for _, route := range policy.RouteList() {
		if route.Public {
			f.add(LevelNote, KindPublic, subject("route", route.Name),
				"is public: priorities of accounts don't apply to its requests without a key")
		}
	}
}

func (f *findings) checkLimits(limits jaytraffic.Limits) {
	for _, timeout := range []struct {
		name  string
		value time.Duration
	}{{"header timeout", limits.HeaderTimeout}, {"idle timeout", limits.IdleTimeout}} {
		if timeout.value <= 0 {
			f.add(LevelError, KindTimeout, subjectLimits, "%s %s is not above 0", timeout.name, timeout.value)
		}
	}
	f.warnIf(limits.IdleTimeout > 0 && limits.HeaderTimeout > limits.IdleTimeout, subjectLimits,
		"header timeout %s is above the idle timeout %s", limits.HeaderTimeout, limits.IdleTimeout)
}
