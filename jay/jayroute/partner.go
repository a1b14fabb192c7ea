package jayroute

import (
	"time"

	"jayfield.example/jay/jayconfig"
)

const (
	// PartnerLeast is the least prompt, in tokens, that is worth the way between two engines.
	PartnerLeast = 128
	// partnerGain is the least time in seconds that a partner must save.
	partnerGain = 0.02
)

// Partner returns the engine that should read the work's prompt for the host
// that gives the answer: one of the host's zone that may take work and is
// expected to be done earlier than the host would be. Its role must be nearer
// to reading than the host's: KV caches are not moved between equal engines.
func (t *Table) Partner(now time.Time, pool *Pool, host *Upstream, w Work) (*Upstream, bool) {
	if t.policy != PolicyPredict || w.Prompt < PartnerLeast {
		return nil, false
	}
	var best *Upstream
	least := host.reading(now, w) - partnerGain
	for _, u := range pool.near {
		if u == host || u.spec.Zone != host.spec.Zone || !u.readsFor(host) || !t.takes(u, now, w) {
			continue
		}
		if u.hosts() && !t.room(u, now, true, 0) {
			continue
		}
		if seconds := u.reading(now, w); seconds < least {
			best, least = u, seconds
		}
	}
	return best, best != nil
}

// readsFor reports whether the upstream reads prompts for a host by their roles.
func (u *Upstream) readsFor(host *Upstream) bool {
	switch u.role() {
	case jayconfig.RolePrefill:
		return true
	case jayconfig.RoleDecode:
		return false
	case jayconfig.RoleMixed:
	}
	return host.role() == jayconfig.RoleDecode
}
