// Package jaywatch fetches the load reports of upstreams. Each upstream is watched by one
// instance of its zone, chosen by rendezvous hashing without any agreement.
package jaywatch

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"jayfield.example/jay/jayconfig"
	"jayfield.example/jay/jayengine"
	"jayfield.example/jay/jaymember"
	"jayfield.example/jay/jaytask"
)

// Period is the time between two load reports of an upstream.
const Period = 500 * time.Millisecond

// Members gives the instance and the others that it knows.
type Members interface {
	Members() []jaymember.Status
}

// Reports takes in load reports.
type Reports interface {
	Watched(name string, load jayengine.Load)
}

// Configs gives the configuration in force.
type Configs interface {
	View() *jayconfig.View
}

// Watcher is the part that fetches load reports.
type Watcher struct {
	self    jaymember.Member
	members Members
	configs Configs
	reports Reports
	engines *jayengine.Client
	group   *jaytask.Group
}

// New starts a watcher.
func New(self jaymember.Member, members Members, configs Configs, reports Reports, engines *jayengine.Client) *Watcher {
	w := &Watcher{self: self, members: members, configs: configs, reports: reports, engines: engines, group: jaytask.NewGroup()}
	w.group.Every(Period, w.round)
	return w
}

// Done is closed when the watcher has stopped.
func (w *Watcher) Done() <-chan struct{} {
	return w.group.Done()
}

// Stop ends the watcher.
func (w *Watcher) Stop() {
	w.group.Stop()
}

// Watches reports whether self is the member that watches an upstream: the one
// with the highest score among the usable members of the upstream's zone, else
// of its region, else of all.
func Watches(self jaymember.Member, members []jaymember.Status, name string, upstream *jayconfig.Upstream) bool {
	best, rank, top := "", 0, uint64(0)
	for _, m := range members {
		if !m.Usable() && m.Incarnation != self.Incarnation {
			continue
		}
		near := 1
		if m.Region == upstream.Region {
			near = 2
		}
		if m.Zone == upstream.Zone {
			near = 3
		}
		score := xxhash.Sum64String(m.Incarnation + "\x00" + name)
		if near > rank || near == rank && score > top {
			best, rank, top = m.Incarnation, near, score
		}
	}
	return best == self.Incarnation
}

// round fetches the reports of all upstreams that this instance watches.
func (w *Watcher) round(context.Context) {
	view := w.configs.View()
	if view == nil {
		return
	}
	members := w.members.Members()
	for _, upstream := range view.Upstreams() {
		if !Watches(w.self, members, upstream.Name, upstream.Upstream) {
			continue
		}
		w.group.Go(func(ctx context.Context) {
			if load, err := w.engines.Load(ctx, upstream.Address); err == nil {
				w.reports.Watched(upstream.Name, load)
			}
		})
	}
}
