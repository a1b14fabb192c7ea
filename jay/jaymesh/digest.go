package jaymesh

import (
	"jayfield.example/jay/jayengine"
	"jayfield.example/jay/jaymember"
)

// Digest is what an instance tells another of itself and of its zone.
type Digest struct {
	From jaymember.Member `msgpack:"f"`
	// Members are statements that are passed on.
	Members []jaymember.Member `msgpack:"m"`
	// Loads are the load reports of engines that the sender watches.
	Loads []EngineLoad `msgpack:"l"`
	// Running is the sender's own work at each upstream.
	Running []Running `msgpack:"r"`
}

// EngineLoad is a load report of a named upstream.
type EngineLoad struct {
	Upstream string `msgpack:"u"`
	// Age is how old the report is when it is sent, in milliseconds.
	Load jayengine.Load `msgpack:"l"`
}

// Running is the work of an instance at an upstream.
type Running struct {
	Upstream string `msgpack:"u"`
	Count    int    `msgpack:"c"`
}

// slowNotice tells of an upstream that has become slow.
type slowNotice struct {
	Upstream string `msgpack:"u"`
}

// snapshotRequest asks for the configuration above a position.
type snapshotRequest struct {
	Above int64 `msgpack:"a"`
}
