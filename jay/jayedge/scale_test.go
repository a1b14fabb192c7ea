package jayedge_test

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"testing"
	"time"

	"jayfield.example/jay/jaycapacity"
	"jayfield.example/jay/jayedge"
	"jayfield.example/jay/jayerror"
	"jayfield.example/jay/jayfleet"
	"jayfield.example/jay/jaymetric"
	"jayfield.example/jay/jayprovider"
	"jayfield.example/jay/jaystore"
	"jayfield.example/jay/jaytraffic"
)

// deployment is a platform with a store, a control API and two zones for the task, at a time that it sets.
type deployment struct {
	now   time.Time
	fence int64
	// holds is the number of questions for the duty that are answered with yes, negative for all.
	holds     int
	records   []jaystore.Record
	putFails  error
	callFails error
	calls     []string
	upstreams []jayfleet.Upstream
	age       time.Duration
	scaling   *jaytraffic.Scaling
	prefill   float64
	// events holds records and calls in order.
	events []string
}

func newDeployment() *deployment {
	d := &deployment{now: time.Unix(1000, 0), fence: 7, holds: -1, scaling: &jaytraffic.Scaling{Min: 1, Max: 20, Boot: 4 * time.Second, SpotPrice: 0.2}, prefill: 1000}
	for n := range 6 {
		d.upstreams = append(d.upstreams, jayfleet.Upstream{
			ID: fmt.Sprint("engine-", n), Service: "model", Zone: []string{"a", "b"}[n%2], Address: fmt.Sprint("10.0.0.", n), Stage: jayfleet.StageDecode, Born: 1,
		})
	}
	return d
}

func (d *deployment) Holds(time.Duration) (int64, bool) {
	if d.holds == 0 {
		return 0, false
	}
	d.holds--
	return d.fence, true
}

func (d *deployment) Scale(_ context.Context, a jayprovider.Authority, o jayprovider.Order) error {
	call := fmt.Sprintf("%s %d: %s %s %d %v", a.Holder, a.Fence, o.Service, o.Zone, o.Desired, o.Preemptible)
	d.calls, d.events = append(d.calls, call), append(d.events, "call "+o.Zone)
	return d.callFails
}

func (d *deployment) Newest(context.Context, jaystore.Topic) ([]jaystore.Record, jaystore.Position, error) {
	newest := make(map[string]jaystore.Record)
	for _, r := range d.records {
		newest[r.Key] = r
	}
	list := make([]jaystore.Record, 0, len(newest))
	for _, r := range newest {
		list = append(list, r)
	}
	return list, jaystore.Position(len(d.records)), nil
}

func (d *deployment) PutAt(_ context.Context, topic jaystore.Topic, key string, value []byte, end jaystore.Position) error {
	if end != jaystore.Position(len(d.records)) || topic != jaystore.TopicScale {
		return jayerror.New("put", jaystore.KindConflict, "the topic ends elsewhere")
	}
	d.records = append(d.records, jaystore.Record{Key: key, Value: value, Position: end})
	d.events = append(d.events, "record "+strings.Split(key, "/")[1])
	return d.putFails
}

func (d *deployment) Demand(time.Time, string) map[string]jaycapacity.Demand {
	return map[string]jaycapacity.Demand{"a": {Prefill: d.prefill / 2}, "b": {Prefill: d.prefill / 2}}
}

func (d *deployment) Figures(string) map[jayfleet.Stage]jaycapacity.Figure {
	return map[jayfleet.Stage]jaycapacity.Figure{jayfleet.StageDecode: {Prefill: 100, Output: 1000}}
}

func (d *deployment) Registered(context.Context) ([]jayfleet.Upstream, time.Time, error) {
	return d.upstreams, d.now.Add(-d.age), nil
}

func (d *deployment) Policy() *jaytraffic.Policy {
	return jaytraffic.New(1, jaytraffic.Limits{}, nil, []jaytraffic.Service{{Name: "model", Scaling: d.scaling}})
}

func (d *deployment) Instances() (seen, listed int) { return 3, 3 }

// start returns a task of an instance.
func (d *deployment) start(name string, settings jayedge.ScaleSettings) *jayedge.Scale {
	return jayedge.NewScale(jayedge.ScaleOptions{
		Self: name, Holder: d, Provider: d, Store: d, Demand: d, Figures: d, View: d, Settings: settings, Zones: []string{"a", "b"},
		RegistryMaxAge: 2 * time.Second, Now: func() time.Time { return d.now }, Log: slog.New(slog.DiscardHandler), Series: jaymetric.NewExposition(),
	})
}

func (d *deployment) run(t *testing.T, s *jayedge.Scale, rounds int) {
	t.Helper()
	for range rounds {
		d.now = d.now.Add(time.Second)
		before := len(d.calls)
		s.Run(t.Context())
		if n := len(d.calls) - before; n > 10 {
			t.Fatalf("%d calls in a second, want at most 10", n)
		}
	}
}

// Guards against calls without the duty, on old data, for services that are not scaled or despite a freeze.
func TestScaleSendsNoOrder(t *testing.T) {
	tests := map[string]struct {
		change   func(d *deployment)
		settings jayedge.ScaleSettings
		sent     bool
	}{
		"all is well":                       {func(*deployment) {}, jayedge.ScaleSettings{}, true},
		"without the duty":                  {func(d *deployment) { d.holds = 0 }, jayedge.ScaleSettings{}, false},
		"duty ends after the plan":          {func(d *deployment) { d.holds = 1 }, jayedge.ScaleSettings{}, false},
		"duty ends between record and call": {func(d *deployment) { d.holds = 2 }, jayedge.ScaleSettings{}, false},
		"service is not scaled":             {func(d *deployment) { d.scaling = nil }, jayedge.ScaleSettings{}, false},
		"frozen":                            {func(*deployment) {}, jayedge.ScaleSettings{Freeze: true}, false},
		"registry is old":                   {func(d *deployment) { d.age = 2 * time.Second }, jayedge.ScaleSettings{}, false},
		"order is not recorded": {func(d *deployment) {
			d.putFails = jayerror.New("put", jaystore.KindUnavailable, "no answer")
		}, jayedge.ScaleSettings{}, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			d := newDeployment()
			test.change(d)
			d.run(t, d.start("one", test.settings), 1)
			if sent := len(d.calls) > 0; sent != test.sent {
				t.Errorf("calls = %v, want some: %v", d.calls, test.sent)
			}
		})
	}
}

// Guards against a call whose order a successor cannot know.
func TestScaleRecordsBeforeCall(t *testing.T) {
	d := newDeployment()
	d.run(t, d.start("one", jayedge.ScaleSettings{}), 3)
	if len(d.events) == 0 {
		t.Fatal("no orders")
	}
	for n := 0; n < len(d.events); n += 2 {
		if n+1 == len(d.events) || d.events[n] != strings.Replace(d.events[n+1], "call", "record", 1) {
			t.Fatalf("events = %v, want a record before each call", d.events)
		}
	}
}

// Guards against a successor that orders other numbers, or the same again while engines boot and the
// registry shows them.
func TestScaleSuccessorContinues(t *testing.T) {
	d := newDeployment()
	d.run(t, d.start("one", jayedge.ScaleSettings{}), 4)
	ordered := slices.Clone(d.calls)
	for n := range 40 {
		d.upstreams = append(d.upstreams, d.engines(ordered, n)...)
	}
	d.calls, d.fence = nil, 9
	d.run(t, d.start("two", jayedge.ScaleSettings{}), 3)
	if len(ordered) == 0 || len(d.calls) > 0 {
		t.Errorf("the first instance ordered %v, the second one %v; want none of the second", ordered, d.calls)
	}
}

// engines returns the n-th preemptible engine of each zone that was ordered.
func (*deployment) engines(calls []string, n int) []jayfleet.Upstream {
	var engines []jayfleet.Upstream
	newest := make(map[string]int)
	for _, call := range calls {
		var holder, service, zone string
		var fence, desired int
		var preemptible bool
		if _, err := fmt.Sscanf(call, "%s %d: %s %s %d %t", &holder, &fence, &service, &zone, &desired, &preemptible); err == nil && preemptible {
			newest[zone] = desired
		}
	}
	for zone, desired := range newest {
		if n < desired {
			id := fmt.Sprint("new-", zone, n)
			engines = append(engines, jayfleet.Upstream{ID: id, Service: "model", Zone: zone, Address: id, Stage: jayfleet.StageDecode, Born: 2, Preemptible: true})
		}
	}
	return engines
}

// Guards against an instance that sends orders although another one has recorded some under a higher token.
func TestScaleStopsBelowRecordedFence(t *testing.T) {
	d := newDeployment()
	d.fence = 9
	d.run(t, d.start("two", jayedge.ScaleSettings{}), 2)
	d.calls, d.fence = nil, 7
	d.run(t, d.start("one", jayedge.ScaleSettings{}), 5)
	if len(d.calls) > 0 {
		t.Errorf("calls = %v, want none", d.calls)
	}
}

// Guards against a control API that is asked without a pause while it does not answer, and against numbers
// that are not shown.
func TestScaleBacksOff(t *testing.T) {
	d := newDeployment()
	d.callFails = jayerror.New("scale", jayprovider.KindUnavailable, "no answer")
	s := d.start("one", jayedge.ScaleSettings{})
	d.run(t, s, 60)
	// Four numbers at most, each repeated after 1, 2, 4, 8, 8, ... seconds.
	if n := len(d.calls); n < 8 || n > 44 {
		t.Errorf("%d calls in a minute, want 8 to 44", n)
	}
	report := s.Report()
	if report == nil || len(report.Services) != 1 {
		t.Fatalf("report = %+v, want one service", report)
	}
	for _, c := range report.Services[0].Groups {
		if c.Kind == jaycapacity.KindPreemptible && (c.Ordered <= 0 || c.Present != 0 || c.Wanted != c.Ordered) {
			t.Errorf("group = %+v, want what is wanted, ordered and present apart", c)
		}
	}
}

// Guards against more engines than the limits of a zone allow, since the store came back from a copy that lacks the newest orders.
func TestScaleKnowsOrdersThatStoreLost(t *testing.T) {
	tests := map[string]struct {
		// pause is set if the instance does not hold the duty for a while, kept the number of records in the copy.
		pause bool
		kept  int
	}{"no records": {}, "older records": {kept: 1}, "after a pause": {pause: true}}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			d := newDeployment()
			d.scaling.Max = 8
			s := d.start("one", jayedge.ScaleSettings{})
			d.run(t, s, 4)
			d.records, d.fence = d.records[:test.kept], 9
			if test.pause {
				d.holds = 0
				d.run(t, s, 3)
				d.holds = -1
			}
			// On-demand engines are as cheap now.
			d.scaling.SpotPrice = 1
			d.run(t, s, 3)
			inForce := map[string]map[string]int{"a": {"false": 3}, "b": {"false": 3}}
			for _, call := range d.calls {
				var holder, service, zone, preemptible string
				var fence, desired int
				if _, err := fmt.Sscanf(call, "%s %d: %s %s %d %s", &holder, &fence, &service, &zone, &desired, &preemptible); err != nil {
					t.Fatal(err)
				}
				inForce[zone][preemptible] = desired
				if total := inForce[zone]["true"] + inForce[zone]["false"]; total > d.scaling.Max {
					t.Errorf("%d engines are ordered in zone %s, want at most %d; calls = %q", total, zone, d.scaling.Max, d.calls)
				}
			}
		})
	}
}
