package jayroute

import (
	"time"

	"jayfield.example/jay/jayconfig"
)

const (
	// MinRemotePrefillTokens is the least prompt, in tokens, for which a transfer between two engines pays off.
	MinRemotePrefillTokens = 128
	// minPrefillGain is the least time, in seconds, that prefill on another engine must save.
	minPrefillGain = 0.02
)

// PrefillUpstream returns the engine that should prefill the prompt for the engine that
// decodes: one in the decoder's zone that may take the work and is expected to
// finish the prefill earlier than the decoder itself. Its role must lean more to
// prefill than the decoder's: KV caches are not moved between engines of equal role.
func (t *Table) PrefillUpstream(now time.Time, pool *Pool, decoder *Upstream, w Work) (*Upstream, bool) {
	if t.policy != PolicyPredict || w.Prompt < MinRemotePrefillTokens {
		return nil, false
	}
	var best *Upstream
	least := decoder.prefillSeconds(now, w) - minPrefillGain
	for _, u := range pool.near {
		if u == decoder || u.spec.Zone != decoder.spec.Zone || !u.prefillsFor(decoder) || !t.eligible(u, now, w) {
			continue
		}
		if u.decodes() && !t.slotAvailable(u, now, true, 0) {
			continue
		}
		if seconds := u.prefillSeconds(now, w); seconds < least {
			best, least = u, seconds
		}
	}
	return best, best != nil
}

// prefillsFor reports whether the roles of both let the upstream prefill prompts for a decoder.
func (u *Upstream) prefillsFor(decoder *Upstream) bool {
	switch u.role() {
	case jayconfig.RolePrefill:
		return decoder.role() != jayconfig.RolePrefill
	case jayconfig.RoleDecode:
		return false
	case jayconfig.RoleMixed:
	}
	return decoder.role() == jayconfig.RoleDecode
}
