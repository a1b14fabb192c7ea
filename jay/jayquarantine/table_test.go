package jayquarantine_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"jayfield.example/jay/jayerror"
	"jayfield.example/jay/jaymember"
	"jayfield.example/jay/jayquarantine"
)

const (
	step = 50 * time.Millisecond
	// contact is the time after the fifth crash from which requests with the part have to be rejected.
	contact   = 4 * time.Second
	maxAfter  = 3
	fatalPart = "fatal"
	firstPart = "first"
)

// plan describes the load and the faults of a simulation.
type plan struct {
	instances, engines int
	// sound, fatal and faults are the probabilities, in each step, of a sound request, of a request
	// with the fatal part, and of the crash of an engine for another reason.
	sound, fatal, faults float64
	// together is the number of engines that a fault ends at a time.
	together int
	// gossip is the time between two reports and also the time until they arrive.
	gossip time.Duration
	// companions is the share of sound requests with the first part of the fatal ones.
	companions float64
}

type answer struct {
	request  jayquarantine.Request
	instance int
	engine   int
	endsAt   time.Time
}

// simulation runs instances that send requests to engines and exchange reports.
type simulation struct {
	plan
	source  *rand.Rand
	now     time.Time
	tables  []*jayquarantine.Table
	downTil []time.Time
	starts  []int
	running []answer
	// crashes are the times of the crashes that the fatal part caused.
	crashes                           []time.Time
	fatalAfter                        int
	sentSound, refusedSound           int
	sentCompanions, refusedCompanions int
}

func newSimulation(p plan, seed uint64) *simulation {
	s := &simulation{plan: p, source: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0), downTil: make([]time.Time, p.engines), starts: make([]int, p.engines)}
	for range p.instances {
		s.tables = append(s.tables, jayquarantine.NewTable())
	}
	s.tables[0].SetTrials(true)
	return s
}

func (s *simulation) run(length time.Duration) {
	end, nextGossip := s.now.Add(length), s.now
	type report struct {
		sentAt   time.Time
		suspects []jaymember.Suspect
	}
	inFlight := make([]report, s.instances)
	for ; s.now.Before(end); s.now = s.now.Add(step) {
		if s.source.Float64() < s.sound {
			first := "other"
			if s.source.Float64() < s.companions {
				first = firstPart
			}
			s.send(jayquarantine.Request{Service: "s", Parts: []string{first, fmt.Sprint("q", s.source.IntN(60))}})
		}
		if s.source.Float64() < s.fatal {
			s.send(jayquarantine.Request{Service: "s", Parts: []string{firstPart, fatalPart}})
		}
		if s.source.Float64() < s.faults {
			for range s.together {
				s.crash(s.source.IntN(s.engines))
			}
		}
		s.finish()
		if !s.now.Before(nextGossip) {
			nextGossip = s.now.Add(s.gossip)
			for i, t := range s.tables {
				for j, r := range inFlight {
					if i != j {
						t.Merge(s.now, r.sentAt, r.suspects)
					}
				}
			}
			for i, t := range s.tables {
				inFlight[i] = report{s.now, t.Reports(s.now)}
			}
		}
		for _, t := range s.tables {
			t.Tick(s.now)
		}
	}
}

// send sends a request at a random instance to a random engine that is up.
func (s *simulation) send(r jayquarantine.Request) {
	r.ID = fmt.Sprint(s.source.Uint64())
	i, engine := s.source.IntN(s.instances), s.source.IntN(s.engines)
	err := s.tables[i].Check(s.now, r)
	fatal := r.Parts[1] == fatalPart
	if !fatal {
		s.sentSound++
	}
	settled := len(s.crashes) > 0 && s.now.Sub(s.crashes[min(4, len(s.crashes)-1)]) > 2*contact
	companion := !fatal && r.Parts[0] == firstPart && settled
	if companion {
		s.sentCompanions++
	}
	if err != nil {
		if !fatal {
			s.refusedSound++
		}
		if companion {
			s.refusedCompanions++
		}
		return
	}
	if fatal && len(s.crashes) >= 5 && s.now.Sub(s.crashes[4]) > contact {
		s.fatalAfter++
	}
	for n := 0; s.now.Before(s.downTil[engine]); n++ {
		if engine = (engine + 1) % s.engines; n == s.engines {
			return
		}
	}
	s.running = append(s.running, answer{r, i, engine, s.now.Add(time.Duration(200+s.source.IntN(600)) * time.Millisecond)})
}

func (s *simulation) finish() {
	for n := 0; n < len(s.running); n++ {
		a := s.running[n]
		if s.now.Before(a.endsAt) {
			continue
		}
		if a.request.Parts[1] == fatalPart {
			s.crashes = append(s.crashes, s.now)
			s.crash(a.engine)
			n = -1
			continue
		}
		s.tables[a.instance].RecordServed(s.now, a.request)
		s.running = append(s.running[:n], s.running[n+1:]...)
		n--
	}
}

// crash ends an engine and all answers there; it is back after some seconds, as another one.
func (s *simulation) crash(engine int) {
	id := uint32(engine*1000 + s.starts[engine])
	s.starts[engine]++
	s.downTil[engine] = s.now.Add(2 * time.Second)
	kept := s.running[:0]
	for _, a := range s.running {
		if a.engine != engine {
			kept = append(kept, a)
			continue
		}
		s.tables[a.instance].RecordCrash(s.now, a.request, id)
	}
	s.running = kept
}

// soakSeeds returns the number of seeds, which JAYFIELD_SOAK_SEEDS raises for long runs.
func soakSeeds(usual uint64) uint64 {
	if n, err := strconv.ParseUint(os.Getenv("JAYFIELD_SOAK_SEEDS"), 10, 64); err == nil {
		return n
	}
	return usual
}

// Guards against engines that keep crashing under requests with one prompt part, and against sound requests that
// are rejected because of it or because engines fail for other reasons.
func TestFatalPartIsIsolated(t *testing.T) {
	tests := map[string]plan{
		"small site":             {instances: 7, engines: 12, sound: 0.9, fatal: 0.055, gossip: 250 * time.Millisecond, companions: 1},
		"rare":                   {instances: 7, engines: 12, sound: 0.9, fatal: 0.01, gossip: 250 * time.Millisecond, companions: 1},
		"few companions":         {instances: 8, engines: 12, sound: 0.9, fatal: 0.055, gossip: 250 * time.Millisecond, companions: 0.04},
		"few companions, late":   {instances: 12, engines: 40, sound: 1, fatal: 0.1, gossip: time.Second, companions: 0.04},
		"frequent":               {instances: 7, engines: 12, sound: 0.9, fatal: 0.3, gossip: 250 * time.Millisecond, companions: 1},
		"late reports":           {instances: 12, engines: 40, sound: 1, fatal: 0.2, gossip: time.Second, companions: 1},
		"faults beside":          {instances: 7, engines: 12, sound: 0.9, fatal: 0.055, faults: 0.01, together: 2, gossip: 250 * time.Millisecond, companions: 1},
		"faults only":            {instances: 7, engines: 12, sound: 0.9, faults: 0.02, together: 1, gossip: 250 * time.Millisecond, companions: 1},
		"faults at many at once": {instances: 7, engines: 12, sound: 0.9, faults: 0.01, together: 5, gossip: 250 * time.Millisecond, companions: 1},
	}
	for name, p := range tests {
		t.Run(name, func(t *testing.T) {
			for seed := range soakSeeds(8) {
				s := newSimulation(p, seed)
				s.run(70 * time.Second)
				if s.fatalAfter > maxAfter {
					t.Errorf("seed %d: %d requests with the part sent later than %s after the fifth crash, want at most %d", seed, s.fatalAfter, contact, maxAfter)
				}
				if s.refusedSound*20 > s.sentSound {
					t.Errorf("seed %d: %d of %d sound requests rejected", seed, s.refusedSound, s.sentSound)
				}
				if s.sentCompanions >= 20 && s.refusedCompanions*2 > s.sentCompanions {
					t.Errorf("seed %d: %d of %d sound requests with the same first part rejected", seed, s.refusedCompanions, s.sentCompanions)
				}
				if p.fatal > 0.05 && len(s.crashes) < minCrashes {
					t.Errorf("seed %d: %d crashes", seed, len(s.crashes))
				}
			}
		})
	}
}

const minCrashes = 3

// Guards against a part that stays in quarantine although it does no harm any more.
func TestTrialReleasesPart(t *testing.T) {
	now := time.Unix(1000, 0)
	tables := map[string]*jayquarantine.Table{"trials": jayquarantine.NewTable(), "no trials": jayquarantine.NewTable()}
	tables["trials"].SetTrials(true)
	r := jayquarantine.Request{ID: "r", Service: "s", Parts: []string{fatalPart}}
	exchange := func() {
		reports := [][]jaymember.Suspect{tables["trials"].Reports(now), tables["no trials"].Reports(now)}
		tables["no trials"].Merge(now, now, reports[0])
		tables["trials"].Merge(now, now, reports[1])
		for _, table := range tables {
			table.Tick(now)
		}
	}
	for engine := range uint32(minCrashes) {
		tables["trials"].RecordCrash(now, r, engine)
		now = now.Add(time.Second)
	}
	for range 3 {
		tables["trials"].RecordServed(now, jayquarantine.Request{Service: "s"})
	}
	now = now.Add(2 * time.Second)
	exchange()
	exchange()
	for name, table := range tables {
		if err := table.Check(now, r); !jayerror.Is(err, jayquarantine.KindQuarantined) {
			t.Fatalf("%s: error = %v", name, err)
		}
	}
	now = now.Add(time.Minute)
	if err := tables["no trials"].Check(now, r); err == nil {
		t.Error("a second instance tries the part")
	}
	if err := tables["trials"].Check(now, r); err != nil {
		t.Errorf("no trial: %v", err)
	}
	if err := tables["trials"].Check(now, jayquarantine.Request{ID: "other", Service: "s", Parts: r.Parts}); err == nil {
		t.Error("two trials at a time")
	}
	tables["trials"].RecordServed(now, r)
	exchange()
	exchange()
	for name, table := range tables {
		if err := table.Check(now, r); err != nil {
			t.Errorf("%s: not released: %v", name, err)
		}
	}
}

// Guards against a part that stays in quarantine once another part turns out to explain its crashes.
func TestLateReportsRefuteSuspicion(t *testing.T) {
	now, table, other := time.Unix(1000, 0), jayquarantine.NewTable(), jayquarantine.NewTable()
	sound := jayquarantine.Request{ID: "r", Service: "s", Parts: []string{"sound"}}
	fatal := jayquarantine.Request{ID: "d", Service: "s", Parts: []string{fatalPart}}
	late := make([]func(), 0, minCrashes+1)
	for engine := range uint32(minCrashes + 1) {
		if engine < minCrashes {
			table.RecordCrash(now, sound, engine)
		}
		other.RecordCrash(now, fatal, engine)
		sentAt, reports := now, other.Reports(now)
		late = append(late, func() { table.Merge(now, sentAt, reports) })
		now = now.Add(500 * time.Millisecond)
	}
	for range 3 {
		table.RecordServed(now, jayquarantine.Request{Service: "s"})
	}
	now = now.Add(time.Second)
	table.Tick(now)
	if err := table.Check(now, sound); err == nil {
		t.Fatal("part with the only evidence is not in quarantine")
	}
	for _, merge := range late {
		merge()
	}
	table.Tick(now)
	if err := table.Check(now, sound); err != nil {
		t.Errorf("not released: %v", err)
	}
	if err := table.Check(now, fatal); err == nil {
		t.Error("part with the most evidence is not in quarantine")
	}
}

// Guards against a quarantine of what engines had in progress when they failed together, or when no answer succeeds.
func TestOtherFailuresAreNoEvidence(t *testing.T) {
	tests := map[string]struct {
		spacing time.Duration
		answers int
		want    bool
	}{
		"one after the other":   {time.Second, 3, true},
		"together":              {10 * time.Millisecond, 3, false},
		"without other answers": {time.Second, 0, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			now, table := time.Unix(1000, 0), jayquarantine.NewTable()
			r := jayquarantine.Request{ID: "r", Service: "s", Parts: []string{"p"}}
			for engine := range uint32(5) {
				table.RecordCrash(now, r, engine)
				now = now.Add(test.spacing)
			}
			for range test.answers {
				table.RecordServed(now, jayquarantine.Request{Service: "s"})
			}
			now = now.Add(2 * time.Second)
			table.Tick(now)
			if err := table.Check(now, r); (err != nil) != test.want {
				t.Errorf("error = %v, want quarantine: %v", err, test.want)
			}
		})
	}
}
