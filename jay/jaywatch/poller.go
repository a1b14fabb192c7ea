// Package jaywatch polls upstreams for load reports. Each upstream is polled by one instance,
// in the upstream's zone if that has a usable one, selected by rendezvous hashing without
// coordination.
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

// Period is the polling interval for load reports of an upstream.
const Period = 500 * time.Millisecond

// Members provides the list of known members, including this instance.
type Members interface {
	Members() []jaymember.Status
}

// LoadRecorder receives the load reports that a Poller fetches.
type LoadRecorder interface {
	RecordLoad(name string, load jayengine.Load)
}

// Configs provides the configuration in force.
type Configs interface {
	View() *jayconfig.View
}

// Poller periodically fetches the load reports of the upstreams assigned to this instance.
type Poller struct {
	self     jaymember.Member
	members  Members
	configs  Configs
	recorder LoadRecorder
	engines  *jayengine.Client
	group    *jaytask.Group
}

// New creates and starts a poller.
func New(self jaymember.Member, members Members, configs Configs, recorder LoadRecorder, engines *jayengine.Client) *Poller {
	p := &Poller{self: self, members: members, configs: configs, recorder: recorder, engines: engines, group: jaytask.NewGroup()}
	p.group.Every(Period, p.poll)
	return p
}

// Done is closed when the poller has stopped.
func (p *Poller) Done() <-chan struct{} {
	return p.group.Done()
}

// Stop stops the poller.
func (p *Poller) Stop() {
	p.group.Stop()
}

// Polls reports whether self is the member that polls an upstream: the one with the highest
// hash score among the usable members of the upstream's zone, or if there are none, of its
// region, or else of all.
func Polls(self jaymember.Member, members []jaymember.Status, name string, upstream *jayconfig.Upstream) bool {
	bestIncarnation, bestRank, bestScore := "", 0, uint64(0)
	for _, m := range members {
		if !m.Usable() && m.Incarnation != self.Incarnation {
			continue
		}
		rank := 1
		if m.Region == upstream.Region {
			rank = 2
		}
		if m.Zone == upstream.Zone {
			rank = 3
		}
		score := xxhash.Sum64String(m.Incarnation + "\x00" + name)
		if rank > bestRank || rank == bestRank && score > bestScore {
			bestIncarnation, bestRank, bestScore = m.Incarnation, rank, score
		}
	}
	return bestIncarnation == self.Incarnation
}

// poll fetches the load reports of all upstreams that are assigned to this instance.
func (p *Poller) poll(context.Context) {
	view := p.configs.View()
	if view == nil {
		return
	}
	members := p.members.Members()
	for _, upstream := range view.Upstreams() {
		if !Polls(p.self, members, upstream.Name, upstream.Upstream) {
			continue
		}
		p.group.Go(func(ctx context.Context) {
			if load, err := p.engines.Load(ctx, upstream.Address); err == nil {
				p.recorder.RecordLoad(upstream.Name, load)
			}
		})
	}
}
