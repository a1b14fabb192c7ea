// Package jaymember holds what an instance knows of the other entry
// instances. No safety rule depends on it.
package jaymember

import "time"

// Member is what an entry instance says of itself.
type Member struct {
	Name        string `msgpack:"n" json:"name"`
	Incarnation string `msgpack:"i" json:"incarnation"`
	// Address is where callers reach the instance.
	Address string `msgpack:"a" json:"address"`
	// Peer is where other instances reach it.
	Peer   string `msgpack:"p" json:"peer"`
	Region string `msgpack:"r" json:"region"`
	Zone   string `msgpack:"z" json:"zone"`
	// Leaving is set for good once a planned stop began.
	Leaving bool `msgpack:"l" json:"leaving"`
	// Config is the offset up to which configuration is in force, -1 while none is known.
	Config int64 `msgpack:"c" json:"config"`
	// Load is the number of requests at work.
	Load int `msgpack:"w" json:"load"`
	// Demand is the work that callers ask of the instance, by model.
	Demand map[string]Demand `msgpack:"d" json:"demand"`
	// Work is the instance's own work at each upstream, where it states it.
	Work map[string]Work `msgpack:"k,omitempty" json:"work,omitempty"`
	// Read lists prompt parts that the instance has lately had read, where it states them.
	Read []Read `msgpack:"e,omitempty" json:"read,omitempty"`
	// Tallies tell how sends to upstreams have lately ended, of those to which any instance
	// has failed to send, where the instance states it.
	Tallies []Tally `msgpack:"t,omitempty" json:"tallies,omitempty"`
	// Mirrors say how far the instance has read the topics of the store, where it states it.
	Mirrors map[string]Mirror `msgpack:"m,omitempty" json:"mirrors,omitempty"`
	// Sequence grows with each statement of one incarnation.
	Sequence uint64 `msgpack:"s" json:"sequence"`
}

// Demand is work that callers ask for, in tokens a second.
type Demand struct {
	Prompt float64 `msgpack:"p" json:"prompt"`
	Output float64 `msgpack:"o" json:"output"`
}

// Mirror is how far an instance has read a topic of the store.
type Mirror struct {
	// Next is the offset after the last record read.
	Next int64 `msgpack:"n" json:"next"`
	// Age is how long ago the store last answered, when the statement was made.
	Age time.Duration `msgpack:"a" json:"age"`
}

// Work is one instance's work at an upstream.
type Work struct {
	// Running is a number of requests, Reading prompt tokens that are sent and not read yet,
	// and Short those of them in short readings, which engines read first.
	Running int `msgpack:"r" json:"running"`
	Reading int `msgpack:"p" json:"reading"`
	Short   int `msgpack:"s" json:"short"`
}

// Plus returns the sum of two instances' work.
func (w Work) Plus(other Work) Work {
	return Work{Running: w.Running + other.Running, Reading: w.Reading + other.Reading, Short: w.Short + other.Short}
}

// Read says that an engine has read a part of prompts; both are hashes of their names.
type Read struct {
	Upstream uint32 `msgpack:"u"`
	Part     uint32 `msgpack:"p"`
}

// Tally counts how the sends to an upstream, given by the hash of its id, ended lately.
type Tally struct {
	Upstream uint32 `msgpack:"u"`
	Served   int    `msgpack:"s"`
	Failed   int    `msgpack:"f"`
}

// Plus returns the sum of two instances' tallies of an upstream.
func (t Tally) Plus(other Tally) Tally {
	return Tally{Upstream: t.Upstream, Served: t.Served + other.Served, Failed: t.Failed + other.Failed}
}

// Plus returns the sum of two demands.
func (d Demand) Plus(other Demand) Demand {
	return Demand{Prompt: d.Prompt + other.Prompt, Output: d.Output + other.Output}
}

// Times returns a multiple of the demand.
func (d Demand) Times(factor float64) Demand {
	return Demand{Prompt: d.Prompt * factor, Output: d.Output * factor}
}

// Status is a member with what this instance concludes about it.
type Status struct {
	Member
	// Heard is when the newest statement arrived.
	Heard time.Time `json:"heard"`
	// Listed is set while the platform's list shows the incarnation.
	Listed bool `json:"listed"`
	// Unlisted is set when the list showed the incarnation once and no longer does.
	Unlisted bool `json:"unlisted"`
	// Silent is set when no statement arrived within the silence bound.
	Silent bool `json:"silent"`
}

// Usable reports whether callers may be sent to the member: it stays, speaks and has a configuration.
func (s Status) Usable() bool {
	return !s.Leaving && !s.Silent && s.Config >= 0
}
