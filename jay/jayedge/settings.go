package jayedge

import (
	"log/slog"
	"net/netip"
	"os"
	"reflect"
	"time"

	"github.com/pkg/errors"

	"jayfield.example/jay/jayini"
	"jayfield.example/jay/jaysink"
)

// Settings are the settings of an edge instance. They don't change once read.
type Settings struct {
	// Name, Region and Zone identify the instance and its location.
	Name, Region, Zone string
	// Caller, Ready, Entry, Peer and Metric are the addresses to listen on.
	Caller, Ready, Entry, Peer, Metric string
	// Store is the address of the platform's store.
	Store string
	// PeerKey is the secret that the instances share.
	PeerKey string
	// Lifetime is how long callers may cache entry addresses.
	Lifetime time.Duration
	// Drain is how long a draining upstream may still get new work.
	Drain time.Duration
	// Apply is how long after it was accepted a policy has to be in force.
	Apply time.Duration
	// Grace is the time from the request to stop until the process is killed.
	Grace time.Duration
	// Budget limits retries.
	Budget Budget
	// Memory is the memory limit of the process in MB, above which it is killed.
	Memory int
	Level  slog.Level
	// Regions maps availability zones to their regions.
	Regions map[string]string
}

// Budget limits the retries of a service in each window, summed over all
// instances, to a fraction (Ratio) of its requests and a fixed number (Extra).
type Budget struct {
	Ratio, Extra float64
	Window       time.Duration
}

// Defaults and limits of settings.
const (
	defaultLifetime = time.Second
	defaultGrace    = 8 * time.Second
	defaultDrain    = 2500 * time.Millisecond
	defaultApply    = 2500 * time.Millisecond
	defaultRatio    = 0.2
	defaultWindow   = 10 * time.Second
	defaultMemoryMB = 256
	maxExtra        = 100_000
	minMemoryMB     = 32
	maxMemoryMB     = 1 << 20
)

const sectionZone = "zone"

// ReadSettings reads a settings file and checks it.
func ReadSettings(file string) (Settings, error) {
	s := Settings{
		Lifetime: defaultLifetime, Grace: defaultGrace, Drain: defaultDrain, Apply: defaultApply, Memory: defaultMemoryMB, Level: jaysink.LevelRoutine,
		Budget:  Budget{Ratio: defaultRatio, Window: defaultWindow},
		Regions: make(map[string]string),
	}
	text, err := os.ReadFile(file) //nolint:gosec // The operator names the file.
	if err != nil {
		return s, errors.WithStack(err)
	}
	doc, err := jayini.Parse(file, string(text))
	if err != nil {
		return s, err //nolint:wrapcheck // The error contains file and line.
	}
	table := s.table()
	seen := make(map[string]bool)
	for _, section := range doc.Sections {
		seen[section.Name] = true
		if section.Name == sectionZone {
			for _, key := range section.Keys {
				s.Regions[key.Name] = key.Value
			}
			continue
		}
		fields, ok := table[section.Name]
		if !ok {
			return s, section.Fault(jayini.KindUnknown, "", "unknown section; accepted: instance, listen, store, key, entry, drain, policy, stop, budget, memory, log, zone")
		}
		if err := section.Decode(fields...); err != nil {
			return s, err //nolint:wrapcheck // The error contains file and line.
		}
	}
	for _, name := range []string{"instance", "listen", "store", "key"} {
		if !seen[name] {
			return s, errors.WithStack(&jayini.FaultError{File: file, Section: name, Reason: "section is missing; add it, see docs/OPERATING.md"})
		}
	}
	return s, nil
}

// restartOnly returns the settings that take effect only at a start.
func (s Settings) restartOnly() [11]string {
	return [11]string{s.Name, s.Region, s.Zone, s.Caller, s.Ready, s.Entry, s.Peer, s.Metric, s.Store, s.Drain.String(), s.Apply.String()}
}

// Equal reports whether two settings are equal in all fields.
func (s Settings) Equal(other Settings) bool {
	return reflect.DeepEqual(s, other)
}

// table returns the keys of each section, bound to the fields of s.
func (s *Settings) table() map[string][]jayini.Field {
	return map[string][]jayini.Field{
		"instance": {
			jayini.Required(jayini.String("name", &s.Name)),
			jayini.Required(jayini.String("region", &s.Region)),
			jayini.Required(jayini.String("zone", &s.Zone)),
		},
		"listen": {
			jayini.Required(address("caller", &s.Caller)),
			jayini.Required(address("ready", &s.Ready)),
			jayini.Required(address("entry", &s.Entry)),
			jayini.Required(address("peer", &s.Peer)),
			address("metric", &s.Metric),
		},
		"store":  {jayini.Required(address("address", &s.Store))},
		"key":    {jayini.Required(jayini.Secret("peer", &s.PeerKey))},
		"entry":  {jayini.Duration("lifetime", &s.Lifetime, 100*time.Millisecond)},
		"drain":  {jayini.Duration("time", &s.Drain, 100*time.Millisecond)},
		"policy": {jayini.Duration("apply", &s.Apply, 500*time.Millisecond)},
		"stop":   {jayini.Duration("grace", &s.Grace, time.Second)},
		"budget": {
			jayini.Float("ratio", &s.Budget.Ratio, 0, 1),
			jayini.Float("extra", &s.Budget.Extra, 0, maxExtra),
			jayini.Duration("window", &s.Budget.Window, time.Second),
		},
		"memory": {jayini.Int("limit", &s.Memory, minMemoryMB, maxMemoryMB)},
		"log":    {level("level", &s.Level)},
	}
}

func address(name string, target *string) jayini.Field {
	return jayini.Field{Name: name, Set: func(value string) error {
		if _, err := netip.ParseAddrPort(value); err != nil {
			return errors.Errorf("%q is not an IP address and a port such as 127.0.0.1:7100", value)
		}
		*target = value
		return nil
	}}
}

func level(name string, target *slog.Level) jayini.Field {
	return jayini.Field{Name: name, Set: func(value string) error {
		if value == "routine" {
			*target = jaysink.LevelRoutine
			return nil
		}
		if err := target.UnmarshalText([]byte(value)); err != nil {
			return errors.Errorf("%q is not one of debug, routine, info, warn, error", value)
		}
		return nil
	}}
}
