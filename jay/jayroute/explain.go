package jayroute

import (
	"slices"
	"strings"
	"time"
)

// View is what a state dump shows of an upstream.
type View struct {
	Address string `json:"address"`
	Region  string `json:"region"`
	Slots   int    `json:"slots"`
	Running int    `json:"running"`
	Others  int    `json:"others"`
	Leaving bool   `json:"leaving"`
	Ejected bool   `json:"ejected"`
	Stalled int    `json:"stalled"`
	// Slow is set while a recent sign of slowness, observed here or reported by another instance, counts.
	Slow bool          `json:"slow"`
	Pace time.Duration `json:"pace"`
	// ReportAge is the age of the newest load report, 0 where there is none.
	ReportAge time.Duration `json:"reportAge"`
}

// Reason is the verdict on one upstream of a pool for a request.
type Reason struct {
	Upstream string `json:"upstream"`
	// Verdict is "may serve" or why the upstream may not.
	Verdict string `json:"verdict"`
	Near    bool   `json:"near"`
	// Predicted is the expected time until the request is complete.
	Predicted time.Duration `json:"predicted"`
}

// Explain returns for each upstream of a pool whether Pick may return it for a request under PolicyPredict.
// Near upstreams that may serve it come first, then far ones, then the rest.
func (t *Table) Explain(now time.Time, pool *Pool, w Work) []Reason {
	reasons := make([]Reason, 0, pool.Size())
	near := t.allowance(now, pool, w)
	w.bestPrefill = near.bestPrefill
	long := w.Long && t.longShareUsed(pool.longList())
	for i := range pool.Size() {
		u := pool.at(i)
		isNear := i < len(pool.near)
		verdict := t.verdict(u, now, w, t.explainedAllowance(pool, w, near, isNear))
		switch {
		case verdict != verdictServe:
		case long:
			verdict = verdictLong
		case w.Long && !isNear && len(pool.near) > 0:
			verdict = "long work stays near"
		}
		seconds := u.predict(now, w, false)
		reasons = append(reasons, Reason{
			Upstream:  u.name,
			Verdict:   verdict,
			Near:      isNear,
			Predicted: time.Duration(seconds * float64(time.Second)),
		})
	}
	slices.SortStableFunc(reasons, func(a, b Reason) int { return a.rank() - b.rank() })
	return reasons
}

// Upstreams returns all upstreams by name.
func (t *Table) Upstreams() []*Upstream {
	list := make([]*Upstream, 0, len(t.upstreams))
	for _, u := range t.upstreams {
		list = append(list, u)
	}
	slices.SortFunc(list, func(a, b *Upstream) int { return strings.Compare(a.name, b.name) })
	return list
}

// View returns what a state dump shows of the upstream.
func (u *Upstream) View(now time.Time) View {
	view := View{
		Address: u.spec.Address,
		Region:  u.spec.Region,
		Slots:   u.spec.Slots,
		Running: u.running,
		Others:  u.peerRunning(now),
		Leaving: u.Leaving(),
		Ejected: now.Before(u.ejectedUntil),
		Stalled: u.stalled,
		Slow:    u.slowed(now),
		Pace:    u.Pace(),
	}
	if !u.reported.IsZero() {
		view.ReportAge = now.Sub(u.reported)
	}
	return view
}

const (
	// verdictServe is the verdict on an upstream that may serve the request.
	verdictServe = "may serve"
	// verdictLong is the verdict on one whose share of long work is in use, at the upstream or in the pool.
	verdictLong = "long work has its share"
)

// explainedAllowance returns the allowance that Pick uses on the near or far upstreams of a pool.
func (t *Table) explainedAllowance(pool *Pool, w Work, near allowance, isNear bool) allowance {
	if isNear || w.Long && len(pool.near) == 0 {
		return near
	}
	return allowance{anyRole: len(pool.near) == 0}
}

func (r Reason) rank() int {
	switch {
	case r.Verdict == verdictServe && r.Near:
		return 0
	case r.Verdict == verdictServe:
		return 1
	default:
		return 2
	}
}

// verdict returns why the upstream may not serve work under an allowance, or verdictServe.
func (t *Table) verdict(u *Upstream, now time.Time, w Work, a allowance) string {
	if reason := u.outOfService(now); reason != "" {
		return reason
	}
	switch {
	case u == w.Avoid:
		return "failed the work before"
	case !a.anyRole && !u.decodes():
		return "reads prompts for others"
	case !t.allows(u, now, a):
		return u.refusal(now, a)
	case !u.fitsKV(now, w):
		return "no KV memory left"
	case !t.eligible(u, now, w):
		return verdictLong
	default:
		return verdictServe
	}
}

// refusal returns why an allowance permits no more slots of the upstream.
func (u *Upstream) refusal(now time.Time, a allowance) string {
	switch {
	case u.free(now) <= 0:
		return "full"
	case a.near:
		return "quota is used and too few slots are free"
	default:
		return "far and at its limit"
	}
}

// outOfService returns why the upstream takes no work at all, empty where it does.
func (u *Upstream) outOfService(now time.Time) string {
	switch {
	case u.spec.Drain:
		return "drained by configuration"
	case u.listedLeaving:
		return "leaving by the platform's list"
	case u.leaving, u.report.Leaving:
		return "leaving by its own answer"
	case u.hasOrder:
		return "under an order"
	case now.Before(u.ejectedUntil):
		return "ejected as slow or failing"
	default:
		return ""
	}
}
