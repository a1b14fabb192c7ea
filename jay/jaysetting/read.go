package jaysetting

import (
	"flag"
	"io"
	"strings"

	"github.com/peterbourgon/ff/v3"
	"github.com/pkg/errors"

	"jayfield.example/jay/jayini"
)

// EnvPrefix begins the names of environment variables that hold settings.
const EnvPrefix = "JAYFIELDD"

// sectionRegion lists the availability zones of each region.
const sectionRegion = "region"

// Arguments are what the command line gives beside settings.
type Arguments struct {
	// Config is the settings file.
	Config string
	// Embedded has the process hold a stand-in platform.
	Embedded bool
	// Check ends the process after the settings are checked.
	Check bool
}

// Read reads settings from flags, then the environment, then the file, and
// checks all of them. Usage goes to output.
func Read(args []string, output io.Writer) (Settings, Arguments, error) {
	s := Default()
	var arguments Arguments
	flags := flag.NewFlagSet("jayfieldd", flag.ContinueOnError)
	flags.SetOutput(output)
	flags.StringVar(&arguments.Config, "config", "", "settings `file`")
	flags.BoolVar(&arguments.Embedded, "embedded", false, "hold a stand-in platform in the process, for trials")
	flags.BoolVar(&arguments.Check, "check", false, "check the settings and exit")
	for _, item := range s.table() {
		flags.Var(&value{set: item.Set}, item.flag(), item.usage)
	}
	err := ff.Parse(flags, args,
		ff.WithEnvVarPrefix(EnvPrefix),
		ff.WithConfigFileFlag("config"),
		ff.WithConfigFileParser(func(r io.Reader, set func(name, value string) error) error {
			return s.readFile(arguments.Config, r, set)
		}),
	)
	if err != nil {
		return s, arguments, clean(err)
	}
	if flags.NArg() > 0 {
		return s, arguments, errors.Errorf("unexpected argument %q; settings are flags, see jayfieldd -h", flags.Arg(0))
	}
	return s, arguments, s.check(arguments)
}

// readFile checks the settings file as a whole and hands its values over.
func (s *Settings) readFile(file string, r io.Reader, set func(name, value string) error) error {
	text, err := io.ReadAll(r)
	if err != nil {
		return errors.WithStack(err)
	}
	doc, err := jayini.Parse(file, string(text))
	if err != nil {
		return err
	}
	for _, section := range doc.Sections {
		if section.Name == sectionRegion {
			s.readZones(section)
			continue
		}
		if err := readSection(section); err != nil {
			return err
		}
		for _, key := range section.Keys {
			if err := set(section.Name+"."+key.Name, key.Value); err != nil {
				return errors.WithStack(err)
			}
		}
	}
	return nil
}

// readSection checks a section against the settings that it may hold.
func readSection(section jayini.Section) error {
	scratch := Default()
	var fields []jayini.Field
	for _, item := range scratch.table() {
		if item.section == section.Name {
			fields = append(fields, item.Field)
		}
	}
	if len(fields) == 0 {
		return section.Fault(jayini.KindUnknown, "", "unknown section; accepted: instance, listen, platform, key, entry, lease, limit, log, region")
	}
	return section.Decode(fields...)
}

func (s *Settings) readZones(section jayini.Section) {
	for _, key := range section.Keys {
		s.Zones = append(s.Zones, RegionZones{Region: key.Name, Zones: splitZones(key.Value)})
	}
}

// check checks what concerns more than one setting.
func (s *Settings) check(arguments Arguments) error {
	required := []struct {
		section, key, value string
	}{
		{"instance", "name", s.Name},
		{"instance", "region", s.Region},
		{"instance", "zone", s.Zone},
		{"listen", "caller", s.Caller},
		{"listen", "operator", s.Operator},
		{"listen", "peer", s.Peer},
		{"key", "operator", s.OperatorKey},
		{"key", "peer", s.PeerKey},
	}
	for _, r := range required {
		if r.value == "" {
			return fault(arguments.Config, r.section, r.key, "setting is missing; add it to the file or give --"+r.section+"."+r.key)
		}
	}
	if err := s.checkListeners(arguments); err != nil {
		return err
	}
	if !s.zoneKnown() {
		return fault(arguments.Config, "instance", "zone", "zone "+s.Zone+" is not listed for region "+s.Region+" in section [region]")
	}
	if s.Platform == "" && !arguments.Embedded {
		return fault(arguments.Config, "platform", "address", "setting is missing; give the platform's address, or --embedded for a trial")
	}
	if s.Platform != "" && arguments.Embedded {
		return fault(arguments.Config, "platform", "address", "setting clashes with --embedded; remove one of the two")
	}
	return nil
}

// checkListeners refuses two listeners on one address; port 0 is a free port each time.
func (s *Settings) checkListeners(arguments Arguments) error {
	listeners := []struct {
		key, address string
	}{{"caller", s.Caller}, {"operator", s.Operator}, {"peer", s.Peer}}
	seen := make(map[string]bool)
	for _, l := range listeners {
		if seen[l.address] && !strings.HasSuffix(l.address, ":0") {
			return fault(arguments.Config, "listen", l.key, "address "+l.address+" is used twice; give each listener its own port")
		}
		seen[l.address] = true
	}
	return nil
}

func fault(file, section, key, reason string) error {
	if file == "" {
		file = "settings"
	}
	return errors.WithStack(&jayini.FaultError{File: file, Section: section, Key: key, Reason: reason})
}

// clean returns the fault alone, without the words of the parsers around it.
func clean(err error) error {
	var found *jayini.FaultError
	if errors.As(err, &found) {
		return found
	}
	return err
}

// value is a flag that hands its text to a field.
type value struct {
	set  func(string) error
	text string
}

// Set checks and stores a value.
func (v *value) Set(text string) error {
	v.text = text
	return v.set(text)
}

// String returns the value as it was given.
func (v *value) String() string {
	if v == nil {
		return ""
	}
	return v.text
}
