package jayinstance

import (
	"context"
	"time"

	"jayfield.example/jay/jaylist"
)

// listPeriod is the time between two readings of the platform's list.
const listPeriod = time.Second

// readList announces the instance, if it has to, and takes in the list.
func (i *Instance) readList(ctx context.Context) {
	if i.settings.Register {
		i.announce(ctx)
	}
	list, err := i.list.List(ctx)
	if err != nil {
		i.log.Debug("list not read", "error", err)
		return
	}
	i.mesh.ApplyList(list)
	leaving := make(map[string]bool)
	for _, instance := range list {
		if instance.Sort == jaylist.SortUpstream && instance.State == jaylist.StateLeaving {
			leaving[instance.Name] = true
		}
	}
	i.dispatcher.SetLeaving(leaving)
}

// announce puts the instance on the list.
func (i *Instance) announce(ctx context.Context) {
	state := jaylist.StateLive
	if i.leaving.Load() {
		state = jaylist.StateLeaving
	}
	if err := i.list.Put(ctx, i.listed(state)); err != nil {
		i.log.Debug("instance not announced", "error", err)
	}
}

// listed returns the instance's own entry of the list.
func (i *Instance) listed(state jaylist.State) jaylist.Instance {
	m := i.member()
	return jaylist.Instance{
		Name:        m.Name,
		Sort:        jaylist.SortEntry,
		Incarnation: m.Incarnation,
		Address:     m.Address,
		Peer:        m.Peer,
		Region:      m.Region,
		Zone:        m.Zone,
		State:       state,
	}
}
