package jaymesh

import (
	"jayfield.example/jay/jayengine"
	"jayfield.example/jay/jaymember"
)

// Digest is the message that two instances exchange: the sender's heartbeat and what it
// forwards from other instances.
type Digest struct {
	From jaymember.Member `msgpack:"f"`
	// Members are forwarded heartbeats of other instances.
	Members []jaymember.Member `msgpack:"m"`
	// Loads are load reports of engines: those that the sender fetched and, to another zone,
	// also those that it received.
	Loads []EngineLoad `msgpack:"l"`
	// Running is the number of requests that the sender runs at each upstream.
	Running []Running `msgpack:"r"`
}

// EngineLoad is the load report of an upstream.
type EngineLoad struct {
	Upstream string `msgpack:"u"`
	// Load.Age is the age of the report when the digest is sent, in milliseconds.
	Load jayengine.Load `msgpack:"l"`
}

// Running is the number of requests that an instance runs at an upstream.
type Running struct {
	Upstream string `msgpack:"u"`
	Count    int    `msgpack:"c"`
}

// slowNotice reports that an upstream has become slow.
type slowNotice struct {
	Upstream string `msgpack:"u"`
}

// snapshotRequest asks for a configuration snapshot newer than a position.
type snapshotRequest struct {
	Above int64 `msgpack:"a"`
}
