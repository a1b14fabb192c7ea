package jayedge

import (
	"fmt"
	"log/slog"
	"net/netip"
	"os"
	"reflect"
	"strings"
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
	// Provider configures the control API of the platform. Without an address there are no duties.
	Provider ProviderSettings
	// Scale limits the orders of engines.
	Scale ScaleSettings
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

// ProviderSettings configures the control API of the platform and the duties there.
type ProviderSettings struct {
	// Address is the address of the control API, empty if there is none.
	Address string
	// Usage and Scale are set if usage reports and orders of engines are duties.
	Usage, Scale bool
	// Rate is the number of calls per second that all instances together may make.
	Rate float64
	// Lease is how long an instance holds the duties after a renewal, and the time within which holders
	// must not alternate.
	Lease time.Duration
	// Fenced is set if the control API refuses lower fencing tokens than it has seen.
	Fenced bool
	// Window is the length of the windows of usage reports, Late the time after the end of a window at
	// which its report is due.
	Window, Late time.Duration
}

// ScaleSettings limits the orders of engines.
type ScaleSettings struct {
	// Floor is the least number of on-demand engines in each availability zone.
	Floor int
	// Spend is the ceiling on the sum of the prices of all engines, 0 for none.
	Spend float64
	// Freeze stops all orders.
	Freeze bool
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
	defaultRate     = 10
	defaultLease    = 3 * time.Second
	defaultReports  = 5 * time.Second
	defaultLate     = 10 * time.Second
	maxRate         = 100_000
	maxFloor        = 10_000
	maxSpend        = 1e9
	maxExtra        = 100_000
	minMemoryMB     = 32
	maxMemoryMB     = 1 << 20
)

const sectionZone = "zone"

// ReadSettings reads a settings file and checks it.
func ReadSettings(file string) (Settings, error) {
	s := Settings{
		Lifetime: defaultLifetime, Grace: defaultGrace, Drain: defaultDrain, Apply: defaultApply, Memory: defaultMemoryMB, Level: jaysink.LevelRoutine,
		Budget:   Budget{Ratio: defaultRatio, Window: defaultWindow},
		Provider: ProviderSettings{Rate: defaultRate, Lease: defaultLease, Window: defaultReports, Late: defaultLate},
		Regions:  make(map[string]string),
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
			return s, section.Fault(jayini.KindUnknown, "", "unknown section; accepted: instance, listen, store, key, entry, drain, policy, stop, budget, memory, provider, usage, scale, log, zone")
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
func (s Settings) restartOnly() [12]string {
	return [12]string{s.Name, s.Region, s.Zone, s.Caller, s.Ready, s.Entry, s.Peer, s.Metric, s.Store, s.Drain.String(), s.Apply.String(), fmt.Sprint(s.Provider)}
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
		"provider": {
			optionalAddress("address", &s.Provider.Address),
			duties("duties", &s.Provider),
			jayini.Float("rate", &s.Provider.Rate, 0, maxRate),
			jayini.Duration("lease", &s.Provider.Lease, 500*time.Millisecond),
			jayini.Bool("fenced", &s.Provider.Fenced),
		},
		"usage": {
			jayini.Duration("window", &s.Provider.Window, 100*time.Millisecond),
			jayini.Duration("late", &s.Provider.Late, 100*time.Millisecond),
		},
		"scale": {
			jayini.Int("floor", &s.Scale.Floor, 0, maxFloor),
			jayini.Float("spend", &s.Scale.Spend, 0, maxSpend),
			jayini.Bool("freeze", &s.Scale.Freeze),
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

// optionalAddress is an address that may be empty.
func optionalAddress(name string, target *string) jayini.Field {
	field := address(name, target)
	set := field.Set
	field.Set = func(value string) error {
		if value == "" {
			return nil
		}
		return set(value)
	}
	return field
}

// duties is a list of the duties at the control API. Duties of other names are ignored: a platform may have
// more of them.
func duties(name string, target *ProviderSettings) jayini.Field {
	return jayini.Field{Name: name, Set: func(value string) error {
		for duty := range strings.SplitSeq(value, ",") {
			switch strings.TrimSpace(duty) {
			case "usage":
				target.Usage = true
			case "scaling":
				target.Scale = true
			}
		}
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
