// Package jaymember holds the state of the other entry instances as one instance observes it
// by gossip. No safety rule depends on it.
package jaymember

import (
	"math"
	"slices"
	"time"

	"jayfield.example/jay/jayfigure"
	"jayfield.example/jay/jayprefix"
	"jayfield.example/jay/jaystore"
)

// Member is the heartbeat of an entry instance: the state that it reports about itself.
type Member struct {
	Name        string `msgpack:"n" json:"name"`
	Incarnation string `msgpack:"i" json:"incarnation"`
	// Address is where callers connect to the instance.
	Address string `msgpack:"a" json:"address"`
	// Peer is where other instances connect to it.
	Peer   string `msgpack:"p" json:"peer"`
	Region string `msgpack:"r" json:"region"`
	Zone   string `msgpack:"z" json:"zone"`
	// Leaving is set permanently once a planned stop begins.
	Leaving bool `msgpack:"l" json:"leaving"`
	// Config is the offset up to which configuration is in force, -1 if there is none yet.
	Config int64 `msgpack:"c" json:"config"`
	// Load is the number of requests in flight.
	Load int `msgpack:"w" json:"load"`
	// Demand is the demand of callers at the instance, by model.
	Demand map[string]Demand `msgpack:"d" json:"demand"`
	// Work is the instance's own work at each upstream, if reported.
	Work []UpstreamWork `msgpack:"k,omitempty" json:"work,omitempty"`
	// CachedPrefixes lists the prompt prefixes that engines recently prefilled or fetched for
	// the instance, if reported.
	CachedPrefixes []CachedPrefix `msgpack:"e,omitempty" json:"read,omitempty"`
	// Tallies count the outcomes of recent sends to upstreams to which any instance failed to
	// send, if reported.
	Tallies []Tally `msgpack:"t,omitempty" json:"tallies,omitempty"`
	// Speeds are the recent samples of engines that take longer or shorter than others of their
	// stage, if reported.
	Speeds []Speed `msgpack:"f,omitempty" json:"speeds,omitempty"`
	// Suspects are the prompt parts that may have crashed engines, if any.
	Suspects []Suspect `msgpack:"x,omitempty" json:"suspects,omitempty"`
	// Mirrors hold how far the instance has read the topics of the store, if reported. Former releases send offsets without an
	// era under another name.
	Mirrors map[string]Mirror `msgpack:"mp,omitempty" json:"mirrors,omitempty"`
	// Store is the instance's contact with the store, if duties at the control API need it.
	Store StoreContact `msgpack:"b,omitempty" json:"store,omitempty"`
	// StoreChange is the number of changes of Store, by which the newest of several reports is known.
	StoreChange uint32 `msgpack:"g,omitempty" json:"storeChange,omitempty"`
	// Sequence grows with each heartbeat of one incarnation.
	Sequence uint64 `msgpack:"s" json:"sequence"`
}

// Demand is the demand of callers in tokens per second.
type Demand struct {
	Prompt float64 `msgpack:"p" json:"prompt"`
	Output float64 `msgpack:"o" json:"output"`
}

// ServiceDemand is the demand for a service, identified by the hash of its name, at one instance or several.
type ServiceDemand struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // The codec reads its tag.
	Service  uint32   `json:"service"`
	// PrefillTokens are the prompt tokens that had to be prefilled, OutputTokens the expected output
	// tokens and Missed the requests that missed their latency objective or were not served, all
	// in the last second.
	PrefillTokens int `json:"prefillTokens"`
	OutputTokens  int `json:"outputTokens"`
	Missed        int `json:"missed"`
	// Running is the number of requests in progress, QueuedTokens the prompt tokens among them that are not
	// prefilled yet.
	Running      int `json:"running"`
	QueuedTokens int `json:"queuedTokens"`
	// Ended are the requests that ended in the last second.
	Ended int `json:"ended"`
	// Prefixes is a sample of the shared prompt prefixes in use, at most 198 bytes. It is encoded apart, since instances of
	// a former release decode no array with another number of fields.
	Prefixes jayprefix.Sample `msgpack:"-" json:"-"`
}

// IsZero reports whether there is no demand.
func (d ServiceDemand) IsZero() bool {
	return d == ServiceDemand{Service: d.Service}
}

// Plus returns the sum of the demand for a service at two instances.
func (d ServiceDemand) Plus(other ServiceDemand) ServiceDemand {
	d.PrefillTokens += other.PrefillTokens
	d.OutputTokens += other.OutputTokens
	d.Missed += other.Missed
	d.Running += other.Running
	d.QueuedTokens += other.QueuedTokens
	d.Ended += other.Ended
	d.Prefixes = d.Prefixes.Merge(other.Prefixes)
	return d
}

// Mirror is how far an instance has read a topic of the store.
type Mirror struct {
	// Next is the position after the last record read.
	Next jaystore.Position `msgpack:"n" json:"next"`
	// Age is the time since the last answer of the store, as of the heartbeat.
	Age time.Duration `msgpack:"a" json:"age"`
}

// UpstreamWork is the work at an upstream, identified by the hash of its ID.
type UpstreamWork struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // The codec reads its tag.
	Upstream uint32
	Work     Work
}

// Work is one instance's work at an upstream.
type Work struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // The codec reads its tag.
	// Running is the number of requests. PrefillTokens is the number of prompt tokens sent but
	// not prefilled yet, and ShortPrefillTokens the part of them that belongs to short
	// prefills, which engines run first.
	Running            int `msgpack:"r" json:"running"`
	PrefillTokens      int `msgpack:"p" json:"reading"`
	ShortPrefillTokens int `msgpack:"s" json:"short"`
}

// IsZero reports whether there is no work.
func (w Work) IsZero() bool {
	return w == Work{}
}

// Minus returns the difference of two amounts of work, at least zero in each part.
func (w Work) Minus(other Work) Work {
	return Work{
		Running: max(0, w.Running-other.Running), PrefillTokens: max(0, w.PrefillTokens-other.PrefillTokens),
		ShortPrefillTokens: max(0, w.ShortPrefillTokens-other.ShortPrefillTokens),
	}
}

// Plus returns the sum of two instances' work.
func (w Work) Plus(other Work) Work {
	return Work{Running: w.Running + other.Running, PrefillTokens: w.PrefillTokens + other.PrefillTokens, ShortPrefillTokens: w.ShortPrefillTokens + other.ShortPrefillTokens}
}

// CachedPrefix is a prompt prefix that an engine has cached; both fields are hashes of names.
type CachedPrefix struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // The codec reads its tag.
	Upstream uint32   `msgpack:"u"`
	Part     uint32   `msgpack:"p"`
}

// Tally counts the outcomes of recent sends to an upstream, identified by the hash of its ID.
type Tally struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // The codec reads its tag.
	Upstream uint32   `msgpack:"u"`
	Served   int      `msgpack:"s"`
	Failed   int      `msgpack:"f"`
}

// Speed is how long an engine recently took by the samples of instances.
type Speed struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // The codec reads its tag.
	// Upstream is the hash of the upstream's ID and start.
	Upstream uint32
	Counts   jayfigure.Counts
	// Votes is the number of instances, Steps the sum of the steps that they vote for: the
	// octaves by which the engine takes longer than others of its stage.
	Votes, Steps int
}

// Step returns the mean of the votes, rounded.
func (s Speed) Step() int {
	if s.Votes == 0 {
		return 0
	}
	return int(math.Round(float64(s.Steps) / float64(s.Votes)))
}

// outlier is the base-2 logarithm of the factor above which samples show a slow or a fast engine:
// 0.5 lets many usual engines pass for unusual by the few samples of a zone.
const outlier = 0.7

// Unusual reports whether the engine may not be as fast as others of its stage.
func (s Speed) Unusual() bool {
	return s.Steps != 0 || math.Abs(s.Counts.Median()) > outlier
}

// Minus returns the difference of two reports about an engine.
func (s Speed) Minus(other Speed) Speed {
	return Speed{Upstream: s.Upstream, Counts: s.Counts.Minus(other.Counts), Votes: max(0, s.Votes-other.Votes), Steps: s.Steps - other.Steps}
}

// Plus returns the sum of two instances' reports about an engine.
func (s Speed) Plus(other Speed) Speed {
	return Speed{Upstream: s.Upstream, Counts: s.Counts.Plus(other.Counts), Votes: s.Votes + other.Votes, Steps: s.Steps + other.Steps}
}

// Suspect is a prompt part with a request in progress while an engine crashed. Times are
// relative to when the heartbeat was sent.
type Suspect struct {
	Key uint64 `msgpack:"k" json:"key"`
	// Service is the hash of the service.
	Service uint32 `msgpack:"v" json:"service"`
	// Depth is the position of the part in the prompt.
	Depth   int     `msgpack:"d,omitempty" json:"depth"`
	Crashes []Crash `msgpack:"c,omitempty" json:"crashes,omitempty"`
	// Served is set if an answer to a request with the part completed recently, ServedAge ago.
	Served    bool          `msgpack:"s,omitempty" json:"served"`
	ServedAge time.Duration `msgpack:"a,omitempty" json:"servedAge"`
	// Quarantined is set if requests with the part are rejected, since QuarantinedFor. Remaining
	// is the time until the earliest trial.
	Quarantined    bool          `msgpack:"q,omitempty" json:"quarantined"`
	QuarantinedFor time.Duration `msgpack:"f,omitempty" json:"quarantinedFor"`
	Remaining      time.Duration `msgpack:"r,omitempty" json:"remaining"`
}

// Crash is the end of an engine, identified by the hash of its ID, during an answer.
type Crash struct {
	Upstream uint32        `msgpack:"u" json:"upstream"`
	Age      time.Duration `msgpack:"a" json:"age"`
}

// Aged returns the suspect as reported a time later.
func (s Suspect) Aged(by time.Duration) Suspect {
	crashes := make([]Crash, len(s.Crashes))
	for i, c := range s.Crashes {
		crashes[i] = Crash{Upstream: c.Upstream, Age: c.Age + by}
	}
	s.Crashes = crashes
	if s.Served {
		s.ServedAge += by
	}
	if s.Quarantined {
		s.QuarantinedFor += by
		s.Remaining -= by
	}
	return s
}

// Plus returns what two instances report about a prompt part, of the same age.
func (s Suspect) Plus(other Suspect) Suspect {
	s.Depth = max(s.Depth, other.Depth)
	for _, c := range other.Crashes {
		if !slices.ContainsFunc(s.Crashes, func(known Crash) bool { return known.Upstream == c.Upstream }) {
			s.Crashes = append(s.Crashes, c)
		}
	}
	if other.Served && (!s.Served || other.ServedAge < s.ServedAge) {
		s.Served, s.ServedAge = true, other.ServedAge
	}
	if other.Quarantined && (!s.Quarantined || other.Remaining > s.Remaining) {
		s.Quarantined, s.QuarantinedFor, s.Remaining = true, other.QuarantinedFor, other.Remaining
	}
	return s
}

// Minus returns the difference of two tallies of an upstream, at least zero in each part.
func (t Tally) Minus(other Tally) Tally {
	return Tally{Upstream: t.Upstream, Served: max(0, t.Served-other.Served), Failed: max(0, t.Failed-other.Failed)}
}

// Plus returns the sum of two instances' tallies of an upstream.
func (t Tally) Plus(other Tally) Tally {
	return Tally{Upstream: t.Upstream, Served: t.Served + other.Served, Failed: t.Failed + other.Failed}
}

// Plus returns the sum of two demands.
func (d Demand) Plus(other Demand) Demand {
	return Demand{Prompt: d.Prompt + other.Prompt, Output: d.Output + other.Output}
}

// Times returns the demand multiplied by a factor.
func (d Demand) Times(factor float64) Demand {
	return Demand{Prompt: d.Prompt * factor, Output: d.Output * factor}
}

// Status is a member with this instance's observations of it.
type Status struct {
	Member
	// ReceivedAt is when the latest heartbeat arrived.
	ReceivedAt time.Time `json:"heard"`
	// Listed is set while the platform's instance list contains the incarnation.
	Listed bool `json:"listed"`
	// Unlisted is set if the list contained the incarnation once and no longer does.
	Unlisted bool `json:"unlisted"`
	// Silent is set if no heartbeat arrived within SilenceTimeout.
	Silent bool `json:"silent"`
}

// Usable reports whether callers may be sent to the member: it is neither leaving nor silent
// and has a configuration.
func (s Status) Usable() bool {
	return !s.Leaving && !s.Silent && s.Config >= 0
}

// Live returns the number of members that are not silent.
func Live(members []Status) int {
	live := 0
	for _, m := range members {
		if !m.Silent {
			live++
		}
	}
	return live
}
