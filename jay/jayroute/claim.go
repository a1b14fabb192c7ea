package jayroute

import (
	"time"

	"jayfield.example/jay/jayconfig"
)

// claim is what an instance may take of an upstream's slots: its own part
// where it is near, or the place of a guest.
type claim struct {
	near bool
	// own is set while the instance does not use all of its own slots.
	own bool
	// shared is set where some near upstream only gives output, so that those which do
	// both leave a slot of each part free to read prompts for it.
	shared bool
	// any is set where no near upstream gives whole answers, so that each must do.
	any bool
	// reading is the seconds to read the prompt at the best near upstream with the
	// prefill role, 0 for none.
	reading float64
}

// claim returns the claim on the near upstreams of a pool. The own share is
// used without regard to what is known of other instances, which is late;
// more is taken only where slots are seen to be free.
//
// While urgent work comes, other work leaves a slot of the own part free for it.
func (t *Table) claim(now time.Time, pool *Pool, w Work) claim {
	running, own, kept := 0, 0, 0
	c := claim{near: true, any: true}
	for _, u := range pool.near {
		if !u.hosts() {
			c = c.reads(u, u.reading(now, w))
			continue
		}
		c.any = c.any && u.Leaving()
		c.shared = c.shared || u.role() == jayconfig.RoleDecode && !u.Leaving()
		running += u.running
		own += t.part(u)
		kept += t.kept(u)
	}
	if c.shared {
		own -= kept
	}
	if !w.Urgent && now.Sub(t.urgent) < urgentWindow {
		own -= urgentSlots
	}
	c.own = running < own
	return c
}

// reads takes in that an upstream with the prefill role could read a prompt in a time.
func (c claim) reads(u *Upstream, seconds float64) claim {
	if !u.Leaving() && (c.reading == 0 || seconds < c.reading) {
		c.reading = seconds
	}
	return c
}

// kept returns the slots of the own part of an upstream that are kept for
// reading prompts where some near upstream only gives output.
func (t *Table) kept(u *Upstream) int {
	if u.role() == jayconfig.RoleMixed && t.part(u) > 1 {
		return 1
	}
	return 0
}

// room reports whether this instance may use one more slot of a near upstream
// and leave some of its part: one of its own, or one that is seen free. What
// it took since it heard of the others, each of them is taken to have taken too.
func (t *Table) room(u *Upstream, now time.Time, own bool, left int) bool {
	if own && u.running < t.part(u)-left {
		return true
	}
	free := u.free(now) - u.taken*(t.count-1)
	return float64(free) >= (seenSlots+float64(left))*float64(t.count)
}

// part returns the slots of a near upstream that are this instance's own. The
// parts of all instances add up to the slots: what an even split leaves over
// goes to instances in turn, another one for each upstream.
func (t *Table) part(u *Upstream) int {
	if u.Leaving() {
		return 0
	}
	even, over := u.spec.Slots/t.count, u.spec.Slots%t.count
	if (t.rank+int(u.hash%uint64(t.count)))%t.count < over { //nolint:gosec // Counts of instances are small.
		return even + 1
	}
	return even
}
