package jayroute

import (
	"time"

	"jayfield.example/jay/jayconfig"
)

// allowance is what this instance may use of the slots of upstreams: its quota
// and free slots where they are near, a limited share where they are far.
type allowance struct {
	near bool
	// underQuota is set while the instance uses fewer slots than its quota on the near upstreams.
	underQuota bool
	// reservePrefill is set where some near upstream in service has the decode role. On mixed
	// upstreams, a slot of each quota larger than 1 is then kept free to prefill prompts for it.
	reservePrefill bool
	// anyRole is set where no near upstream in service decodes, so that upstreams of
	// any role are accepted.
	anyRole bool
	// bestPrefill is the least expected seconds to prefill the prompt among the near
	// upstreams with the prefill role, 0 for none.
	bestPrefill float64
}

// allowance returns the allowance on the near upstreams of a pool. The quota is
// used regardless of the load reported by other instances, which is out of date;
// slots beyond it are used only where they are observed to be free.
//
// While urgent work arrives, other work leaves a slot of the quota free for it.
func (t *Table) allowance(now time.Time, pool *Pool, w Work) allowance {
	running, quota, reserve := 0, 0, 0
	a := allowance{near: true, anyRole: true}
	for _, u := range pool.near {
		if !u.decodes() {
			a = a.withPrefill(u, u.prefillSeconds(now, w))
			continue
		}
		a.anyRole = a.anyRole && u.Leaving()
		a.reservePrefill = a.reservePrefill || u.role() == jayconfig.RoleDecode && !u.Leaving()
		running += u.running
		quota += t.quota(u)
		reserve += t.prefillReserve(u)
	}
	if a.reservePrefill {
		quota -= reserve
	}
	if !w.Urgent && now.Sub(t.lastUrgent) < urgentWindow {
		quota -= urgentSlots
	}
	a.underQuota = running < quota
	return a
}

// withPrefill returns the allowance updated with the expected prefill time at an
// upstream with the prefill role.
func (a allowance) withPrefill(u *Upstream, seconds float64) allowance {
	if !u.Leaving() && (a.bestPrefill == 0 || seconds < a.bestPrefill) {
		a.bestPrefill = seconds
	}
	return a
}

// prefillReserve returns the slots of the quota on an upstream that are reserved
// for prefill where some near upstream has the decode role: one on a mixed upstream,
// unless it is the only slot of the quota.
func (t *Table) prefillReserve(u *Upstream) int {
	if u.role() == jayconfig.RoleMixed && t.quota(u) > 1 {
		return 1
	}
	return 0
}

// slotAvailable reports whether this instance may use one more slot of a near
// upstream beyond a reserve: one of its quota, or one observed to be free. Each
// other instance is assumed to have borrowed as many slots as this one since the
// last update of their load.
func (t *Table) slotAvailable(u *Upstream, now time.Time, underQuota bool, reserve int) bool {
	if underQuota && u.running < t.quota(u)-reserve {
		return true
	}
	free := u.free(now) - u.borrowed*(t.instances-1)
	return float64(free) >= (minFreePerInstance+float64(reserve))*float64(t.instances)
}

// quota returns the slots of a near upstream that are reserved for this instance.
// The quotas of all instances add up to the slots: the remainder of an even split
// goes to instances by rank, starting at a different rank for each upstream.
func (t *Table) quota(u *Upstream) int {
	if u.Leaving() {
		return 0
	}
	base, remainder := u.spec.Slots/t.instances, u.spec.Slots%t.instances
	if (t.rank+int(u.hash%uint64(t.instances)))%t.instances < remainder { //nolint:gosec // Counts of instances are small.
		return base + 1
	}
	return base
}
