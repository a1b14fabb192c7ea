// Package jaysetting reads and checks the settings of an instance.
package jaysetting

import (
	"log/slog"
	"strings"
	"time"

	"jayfield.example/jay/jaycall"
	"jayfield.example/jay/jayconfig"
	"jayfield.example/jay/jayentry"
	"jayfield.example/jay/jayini"
	"jayfield.example/jay/jaylease"
	"jayfield.example/jay/jayqueue"
)

// Settings are the settings of one instance. They are immutable once read.
type Settings struct {
	// Name, Region and Zone say which instance it is and where.
	Name, Region, Zone string
	// Caller, Operator and Peer are the addresses to listen on.
	Caller, Operator, Peer string
	// Platform is the base address of the log and the instance list.
	Platform string
	// Register has the instance announce itself on the list.
	Register bool
	// Retention is how long the log keeps records.
	Retention time.Duration
	// OperatorKey and PeerKey are the secrets of operators and instances.
	OperatorKey, PeerKey string
	// Lifetime is how long callers may keep entry addresses.
	Lifetime time.Duration
	// Ticket is how long tickets of work that runs at most once may be used.
	Ticket time.Duration
	// Checkpoint is the number of configuration records after which a checkpoint is due.
	Checkpoint int
	// Lease and Margin are how long a lease runs and how much longer others wait.
	Lease, Margin time.Duration
	Limits        jaycall.Limits
	// Queue bounds the requests that wait for each route or service.
	Queue int
	Level slog.Level
	// Zones are the availability zones of each region.
	Zones []RegionZones
}

// RegionZones are the availability zones of a region.
type RegionZones struct {
	Region string
	Zones  []string
}

// Defaults of settings.
const (
	defaultRetention = 24 * time.Hour
	defaultTicket    = 15 * time.Minute
	leastLease       = 4 * time.Second
	maxBody          = 64 << 20
	maxCalls         = 100_000
	maxQueue         = 100_000
	maxCheckpoint    = 100_000
)

// Default returns the settings of an instance that names none.
func Default() Settings {
	return Settings{
		Retention:  defaultRetention,
		Lifetime:   jayentry.DefaultLifetime,
		Ticket:     defaultTicket,
		Checkpoint: jayconfig.DefaultCheckpointEvery,
		Lease:      jaylease.DefaultTTL,
		Margin:     jaylease.DefaultMargin,
		Limits:     jaycall.DefaultLimits(),
		Queue:      jayqueue.DefaultLimit,
	}
}

// WithPlatform returns the settings with another platform.
func (s Settings) WithPlatform(address string) Settings {
	s.Platform = address
	return s
}

// setting is one key of the settings file.
type setting struct {
	section string
	jayini.Field
	usage string
}

func (s setting) flag() string {
	return s.section + "." + s.Name
}

// table returns all settings, bound to their place in s.
func (s *Settings) table() []setting {
	return []setting{
		{"instance", jayini.String("name", &s.Name), "name of the instance"},
		{"instance", jayini.String("region", &s.Region), "region of the instance"},
		{"instance", jayini.String("zone", &s.Zone), "availability zone of the instance"},
		{"listen", listenField("caller", &s.Caller), "address for callers"},
		{"listen", listenField("operator", &s.Operator), "address for operators"},
		{"listen", listenField("peer", &s.Peer), "address for other instances"},
		{"platform", urlField("address", &s.Platform), "address of the log and the instance list"},
		{"platform", jayini.Bool("register", &s.Register), "announce the instance on the list: yes or no"},
		{"platform", jayini.Duration("retention", &s.Retention, time.Minute), "how long the log keeps records"},
		{"platform", jayini.Int("checkpoint", &s.Checkpoint, 1, maxCheckpoint), "configuration records between two checkpoints"},
		{"key", jayini.Secret("operator", &s.OperatorKey), "key of operators"},
		{"key", jayini.Secret("peer", &s.PeerKey), "key that all instances share"},
		{"entry", jayini.Duration("lifetime", &s.Lifetime, 0), "how long callers may keep addresses"},
		{"entry", jayini.Duration("ticket", &s.Ticket, time.Second), "how long tickets may be used"},
		{"lease", jayini.Duration("time", &s.Lease, leastLease), "how long a lease runs without renewal"},
		{"lease", jayini.Duration("margin", &s.Margin, 0), "how much longer others wait before they claim it"},
		{"limit", jayini.Int("body", &s.Limits.Body, 1, maxBody), "largest body of a request in bytes"},
		{"limit", jayini.Int("calls", &s.Limits.Calls, 1, maxCalls), "most requests at work"},
		{"limit", jayini.Duration("time", &s.Limits.Timeout, time.Second), "longest time of a request"},
		{"limit", jayini.Duration("first", &s.Limits.FirstTokenTimeout, time.Millisecond), "longest silence before the first token"},
		{"limit", jayini.Duration("interval", &s.Limits.TokenTimeout, time.Millisecond), "longest silence between tokens"},
		{"limit", jayini.Int("queue", &s.Queue, 1, maxQueue), "most requests that wait for a route"},
		{"log", levelField("level", &s.Level), "least level of log lines: debug, info, warn or error"},
	}
}

func (s *Settings) zoneKnown() bool {
	for _, r := range s.Zones {
		if r.Region != s.Region {
			continue
		}
		for _, zone := range r.Zones {
			if zone == s.Zone {
				return true
			}
		}
	}
	return false
}

func splitZones(value string) []string {
	var zones []string
	for zone := range strings.SplitSeq(value, ",") {
		if zone = strings.TrimSpace(zone); zone != "" {
			zones = append(zones, zone)
		}
	}
	return zones
}
