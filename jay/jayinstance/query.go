package jayinstance

import (
	"context"
	"time"

	"jayfield.example/jay/jaystate"
)

// configState is what a dump shows of the configuration.
type configState struct {
	Next      int64 `json:"next"`
	Objects   int   `json:"objects"`
	Available bool  `json:"logAvailable"`
}

// callState is what a dump shows of the callers' side.
type callState struct {
	Working int `json:"working"`
}

// peerState is what a dump shows of the peers' listener.
type peerState struct {
	Open    int64 `json:"open"`
	Refused int64 `json:"refused"`
}

// memberState is what a dump shows of another instance.
type memberState struct {
	Name        string        `json:"name"`
	Incarnation string        `json:"incarnation"`
	Zone        string        `json:"zone"`
	Leaving     bool          `json:"leaving"`
	Silent      bool          `json:"silent"`
	Config      int64         `json:"config"`
	Load        int           `json:"load"`
	HeardAge    time.Duration `json:"heardAge"`
}

// parts returns what a dump of the instance consists of.
func (i *Instance) parts() []jaystate.Part {
	return []jaystate.Part{
		{Name: "config", Dump: func(context.Context) any { return i.dumpConfig() }},
		{Name: "members", Dump: func(context.Context) any { return i.dumpMembers() }},
		{Name: "dispatch", Dump: func(ctx context.Context) any {
			dump, err := i.dispatcher.Dump(ctx)
			if err != nil {
				return err.Error()
			}
			return dump
		}},
		{Name: "once", Dump: func(ctx context.Context) any { return i.home.Size(ctx) }},
		{Name: "calls", Dump: func(context.Context) any { return callState{Working: i.frontend.InFlight()} }},
		{Name: "control", Dump: func(ctx context.Context) any { return i.control.Dump(ctx) }},
		{Name: "peers", Dump: func(context.Context) any {
			return peerState{Open: i.peers.Open(), Refused: i.peers.Refused()}
		}},
	}
}

func (i *Instance) dumpConfig() configState {
	state := configState{Next: i.follower.Position(), Available: i.follower.Available()}
	if view := i.follower.View(); view != nil {
		state.Objects = len(view.State().Objects())
	}
	return state
}

func (i *Instance) dumpMembers() []memberState {
	members := i.mesh.Members()
	list := make([]memberState, 0, len(members))
	for _, m := range members {
		list = append(list, memberState{
			Name: m.Name, Incarnation: m.Incarnation, Zone: m.Zone, Leaving: m.Leaving, Silent: m.Silent,
			Config: m.Config, Load: m.Load, HeardAge: time.Since(m.ReceivedAt),
		})
	}
	return list
}

// Name returns the name of the instance.
func (i *Instance) Name() string {
	return i.settings.Name
}

// EnginesWithOrders returns the engines with orders that are not settled.
func (i *Instance) EnginesWithOrders(ctx context.Context) []string {
	return i.control.EnginesWithOrders(ctx)
}

// Known returns the number of usable instances that this one knows, itself included.
func (i *Instance) Known() int {
	known := 0
	for _, m := range i.mesh.Members() {
		if m.Usable() {
			known++
		}
	}
	return known
}
