// Package jayengine is the client of upstreams: model engines and plain services.
//
// Engines speak the common completion protocol over HTTP with server-sent
// events. Each event's ID is the request's ID and the token's offset, and a
// request with a resume offset continues a stream where it was left.
package jayengine

import "time"

// Headers between the system and upstreams.
const (
	// HeaderRequest carries the request's ID.
	HeaderRequest = "X-Request-Id"
	// HeaderResume carries the offset of the first token wanted.
	HeaderResume = "X-Resume-Offset"
	// HeaderPriority carries the priority of the work.
	HeaderPriority = "X-Priority"
	// HeaderLeaving marks a refusal of an upstream that takes no new work.
	HeaderLeaving = "X-Leaving"
	// HeaderTimeout carries the time left to the caller, as a Go duration.
	HeaderTimeout = "X-Timeout"
	// HeaderKV names the engine that holds the prompt's KV cache.
	HeaderKV = "X-KV-From"
)

// Paths of an engine.
const (
	PathChat       = "/v1/chat/completions"
	PathCompletion = "/v1/completions"
	PathPrefill    = "/v1/prefill"
	PathLoad       = "/load"
	PathStatus     = "/status"
	PathOrders     = "/orders"
	PathEvents     = "/cache/events"
)

// Load is an engine's report of its load. It describes a moment in the past.
type Load struct {
	// Age is how old the report is, in milliseconds.
	Age int64 `json:"ageMs"`
	// Running and Waiting count requests of all instances.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// Prefill is the number of prompt tokens that wait to be read.
	Prefill int `json:"prefill"`
	// Blocks is the number of free blocks of KV memory.
	Blocks int `json:"pieces"`
	// Leaving is set when the upstream takes no new work.
	Leaving bool `json:"leaving"`
	// Role is the part of the work that the engine does now.
	Role string `json:"role"`
}

// Measured returns when the report was true.
func (l Load) Measured(now time.Time) time.Time {
	return now.Add(-time.Duration(l.Age) * time.Millisecond)
}

// OrderKind is the sort of an order.
type OrderKind string

// Kinds of orders.
const (
	OrderRole   OrderKind = "role"
	OrderLoad   OrderKind = "load"
	OrderUnload OrderKind = "unload"
	OrderDrain  OrderKind = "drain"
	OrderFence  OrderKind = "fence"
)

// Order is an instruction to an engine.
type Order struct {
	ID    string    `json:"id" msgpack:"id"`
	Fence int64     `json:"fence" msgpack:"f"`
	Kind  OrderKind `json:"kind" msgpack:"k"`
	// Value is the role or model that the order asks for.
	Value string `json:"value" msgpack:"v"`
}

// Status is what an engine says of itself.
type Status struct {
	// Boot changes when the engine starts again.
	Boot  string `json:"boot"`
	Role  string `json:"role"`
	Model string `json:"model"`
	// Fence is the highest fencing number seen, 0 on engines that ignore them.
	Fence int64 `json:"fence"`
	// Order is the last order that was taken, and Busy is set while it is carried out.
	Order string `json:"order"`
	Busy  bool   `json:"busy"`
}

// BlockTokens is the number of tokens in a block of KV memory.
const BlockTokens = 2048

// BlocksOf returns the blocks of KV memory that a number of tokens takes.
func BlocksOf(tokens int) int {
	return (tokens + BlockTokens - 1) / BlockTokens
}
