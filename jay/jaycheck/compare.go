package jaycheck

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"jayfield.example/jay/jayaccount"
	"jayfield.example/jay/jaytraffic"
)

// entry is a part of a policy that is compared as a whole, with its fields in a fixed order.
type entry struct {
	subject string
	fields  []field
	// digests are those of an account's keys. They are compared as a set.
	digests []jayaccount.Digest
}

// field is a field of an entry. Its value is empty if the entry has no such field.
type field struct {
	name, value string
}

// Compare returns in what a policy differs from the one in force, and an error if its version isn't the higher
// one.
func Compare(inForce, policy *jaytraffic.Policy) []Finding {
	var f findings
	if policy.Version <= inForce.Version {
		f.add(LevelError, KindVersion, "version", "%d is not above %d, the version in force", policy.Version, inForce.Version)
	}
	before, after := entries(inForce), entries(policy)
	for name, old := range before {
		if now, ok := after[name]; !ok {
			f.add(LevelChange, KindRemoved, old.subject, "removed%s", old.keyCount())
		} else if text := old.difference(now); text != "" {
			f.add(LevelChange, KindChanged, old.subject, "%s", text)
		}
	}
	for name, now := range after {
		if _, ok := before[name]; !ok {
			f.add(LevelChange, KindAdded, now.subject, "added%s", now.keyCount())
		}
	}
	Sort(f)
	return f
}

// entries returns the parts of a policy by subject. Of several with the same subject, the later ones are numbered.
func entries(policy *jaytraffic.Policy) map[string]entry {
	all := make(map[string]entry)
	add := func(e entry) {
		name := e.subject
		for n := 2; ; n++ {
			if _, ok := all[name]; !ok {
				break
			}
			name = fmt.Sprintf("%s\x00%d", e.subject, n)
		}
		all[name] = e
	}
	for _, route := range policy.RouteList() {
		add(routeEntry(route))
	}
	for _, service := range policy.ServiceList() {
		add(serviceEntry(service))
	}
	// Whether keys are required is a difference of its own: a policy with an empty table lets nobody in.
	add(entry{subject: "accounts", fields: []field{{"key required", fmt.Sprint(policy.Accounts() != nil)}}})
	if policy.Accounts() != nil {
		for _, account := range policy.Accounts().Entries() {
			add(accountEntry(account))
		}
	}
	limits := policy.Limits
	add(entry{subject: subjectLimits, fields: []field{
		{"max header bytes", fmt.Sprint(limits.Header)}, {"max body bytes", fmt.Sprint(limits.Body)},
		{"header timeout", limits.HeaderTimeout.String()}, {"idle timeout", limits.IdleTimeout.String()},
	}})
	return all
}

func routeEntry(r jaytraffic.Route) entry {
	split := make([]string, 0, len(r.Split))
	for _, s := range r.Split {
		split = append(split, fmt.Sprintf("%s:%d", quoted(s.Service), s.Weight))
	}
	return entry{subject: subject("route", r.Name), fields: []field{
		{"host", quoted(r.Host)}, {"path prefix", quoted(r.Prefix)}, {"kind", string(r.Kind)},
		{"timeout", r.Timeout.String()}, {"latency objective", r.Target.String()}, {"gap objective", r.Gap.String()},
		{"max attempts", fmt.Sprint(r.Attempts)}, {"priority", fmt.Sprint(r.Priority)}, {"public", fmt.Sprint(r.Public)},
		{"prompt", fmt.Sprint(r.Prompt)}, {"resumable", fmt.Sprint(r.Resumable)}, {"split", list(split)},
	}}
}

func serviceEntry(s jaytraffic.Service) entry {
	e := entry{subject: subject("service", s.Name), fields: []field{
		{"max connections", fmt.Sprint(s.Connections)}, {"slots", fmt.Sprint(s.Engine.Slots)},
		{"KV cache tokens", fmt.Sprint(s.Engine.KVTokens)}, {"scaling", fmt.Sprint(s.Scaling != nil)},
		{name: "min engines"}, {name: "max engines"}, {name: "boot time"}, {name: "spot price"}, {name: "zone prices"},
	}}
	if s.Scaling == nil {
		return e
	}
	prices := make([]string, 0, len(s.Scaling.ZonePrices))
	for _, zone := range slices.Sorted(maps.Keys(s.Scaling.ZonePrices)) {
		prices = append(prices, fmt.Sprintf("%s:%g", quoted(zone), s.Scaling.ZonePrices[zone]))
	}
	scaling := []string{
		fmt.Sprint(s.Scaling.Min), fmt.Sprint(s.Scaling.Max), s.Scaling.Boot.String(), fmt.Sprint(s.Scaling.SpotPrice), list(prices),
	}
	first := len(e.fields) - len(scaling)
	for i, value := range scaling {
		e.fields[first+i].value = value
	}
	return e
}

func accountEntry(a jayaccount.Entry) entry {
	priority := "none"
	if a.Account.Priority != nil {
		priority = fmt.Sprint(*a.Account.Priority)
	}
	return entry{subject: subject("account", a.Account.Name), fields: []field{{"priority", priority}}, digests: a.Digests}
}

// keyCount returns the number of keys of an account, and nothing for other entries.
func (e entry) keyCount() string {
	if !strings.HasPrefix(e.subject, "account ") {
		return ""
	}
	return " with " + counted(len(set(e.digests)))
}

// difference returns in what another entry differs from e, empty if in nothing.
func (e entry) difference(now entry) string {
	var changes []string
	for i, old := range e.fields {
		if value := now.fields[i].value; value != old.value && value != "" && old.value != "" {
			changes = append(changes, fmt.Sprintf("%s from %s to %s", old.name, old.value, value))
		}
	}
	if n := missing(now.digests, e.digests); n > 0 {
		changes = append(changes, counted(n)+" added")
	}
	if n := missing(e.digests, now.digests); n > 0 {
		changes = append(changes, counted(n)+" removed")
	}
	return strings.Join(changes, ", ")
}

// missing returns how many of some digests are not among others.
func missing(digests, others []jayaccount.Digest) int {
	in, n := set(others), 0
	for digest := range set(digests) {
		if !in[digest] {
			n++
		}
	}
	return n
}

func set(digests []jayaccount.Digest) map[jayaccount.Digest]bool {
	in := make(map[jayaccount.Digest]bool, len(digests))
	for _, digest := range digests {
		in[digest] = true
	}
	return in
}

func counted(keys int) string {
	if keys == 1 {
		return "1 key"
	}
	return fmt.Sprintf("%d keys", keys)
}

// list returns the text of a list, which is not empty.
func list(values []string) string {
	if len(values) == 0 {
		return "none"
	}
	return strings.Join(values, ",")
}
