package jaystandin

import (
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/uptrace/bunrouter"

	"jayfield.example/jay/jayengine"
)

// RoleChangeTime is how long a stand-in engine serves nothing during a change of role.
const RoleChangeTime = 2 * time.Second

// postOrder takes an order, refuses an old fencing number if the engine
// checks them, and carries the order out.
func (e *Engine) postOrder(w http.ResponseWriter, r bunrouter.Request) error {
	var order jayengine.Order
	if err := json.NewDecoder(io.LimitReader(r.Body, maxRecordBytes)).Decode(&order); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.checks && order.Fence < e.status.Fence {
		w.WriteHeader(http.StatusConflict)
		return nil
	}
	if e.checks {
		e.status.Fence = order.Fence
	}
	if order.ID == e.status.Order || order.Kind == jayengine.OrderFence {
		return nil
	}
	if e.status.Busy {
		w.WriteHeader(http.StatusServiceUnavailable)
		return nil
	}
	e.cutAll()
	e.orders = append(e.orders, order)
	e.status.Order = order.ID
	e.status.Busy = true
	crash := e.faults.CrashInOrder
	e.faults.CrashInOrder = false
	time.AfterFunc(RoleChangeTime, func() { e.finishOrder(order, crash) })
	return nil
}

// cutAll ends every request, as a change of role or model does.
func (e *Engine) cutAll() {
	for id, s := range e.sequences {
		e.batch.remove(s)
		delete(e.sequences, id)
		if s.attached != nil {
			close(s.attached.ended)
			s.attached = nil
		}
		e.cut++
	}
}

// finishOrder ends an order, or starts the engine again as it was before it.
func (e *Engine) finishOrder(order jayengine.Order, crash bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.status.Busy = false
	if crash {
		e.status.Boot = uuid.NewString()
		e.status.Order = ""
		return
	}
	switch order.Kind {
	case jayengine.OrderRole:
		e.setRole(order.Value)
	case jayengine.OrderLoad:
		e.status.Model = order.Value
	case jayengine.OrderUnload:
		e.status.Model = ""
	case jayengine.OrderDrain, jayengine.OrderFence:
	}
}

// setRole trades the rates of the batch for the role.
func (e *Engine) setRole(role string) {
	e.status.Role = role
	e.batch.rates = e.base.InRole(role)
}
