package jayexperiment

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"jayfield.example/jay/jaycontrol"
	"jayfield.example/jay/jayengine"
	"jayfield.example/jay/jayinstance"
	"jayfield.example/jay/jaymetric"
	"jayfield.example/jay/jayroute"
	"jayfield.example/jay/jaysite"
	"jayfield.example/jay/jaystandin"
	"jayfield.example/jaybench/internal/jaydelay"
)

// Sizes of both users' sites today.
const (
	instances = 8
	engines   = 12
	services  = 3
	// regionDelay is the way between two regions, one way.
	regionDelay = 15 * time.Millisecond
	// settleTime lets load reports and digests make their round before the load.
	settleTime = 1500 * time.Millisecond
)

// rates are the rates of a stand-in engine in experiments.
func rates() jaystandin.Rates {
	return jaystandin.Rates{Prefill: 20_000, Decode: 600, Stream: 50, Slots: 8, Blocks: 64}
}

// regionNames are the regions of the site.
func regionNames() []string {
	return []string{"amman", "irbid", "aqaba"}
}

// Event changes the site at a time of the load.
type Event struct {
	At  time.Duration
	Run func(site *jaysite.Site)
}

// Trial is one run of a load on a site.
type Trial struct {
	Phases   []Phase
	Callers  []string
	Regions  []string
	Deadline time.Duration
	Events   []Event
	// Adjust changes the plan of the site.
	Adjust func(*jaysite.Plan)
	// Lag is how late load reports are.
	Lag time.Duration
	// Planner returns the planner of each instance, nil for the daemon's own.
	Planner plannerOf
	// Roles has the trial wait until each zone has a lease holder.
	Roles bool
}

// plannerOf returns the planner of an instance that knows the demand.
type plannerOf func(jaycontrol.Demands) jaycontrol.Planner

// Observed is what a trial gave.
type Observed struct {
	Outcomes []Outcome
	// Extra counts hedges and retries, Requests the requests that reached an instance.
	Extra, Requests int64
	// Crossed are the bytes between regions.
	Crossed int64
	// Changes counts the role changes, Cut the requests that they cut.
	Changes, Cut int
}

// run runs the trial under a policy.
func (t Trial) run(ctx context.Context, policy jayroute.Policy, seed uint64) (Observed, error) {
	link := &jaydelay.Link{OneWay: regionDelay}
	plan := t.plan(policy, link)
	site, err := jaysite.Open(ctx, plan, slog.New(slog.DiscardHandler))
	if err != nil {
		return Observed{}, err
	}
	defer site.Stop()
	for _, engine := range site.Engines {
		engine.SetFaults(jaystandin.EngineFaults{Lag: t.Lag})
	}
	time.Sleep(settleTime)
	if t.Roles {
		if err := site.AwaitHolders(ctx); err != nil {
			return Observed{}, err
		}
	}
	stop := t.schedule(site)
	defer stop()
	before := orders(site)
	outcomes := newGenerator(site).run(ctx, draw(seed, t.Phases, t.Regions, t.Callers, t.Deadline))
	observed := Observed{Outcomes: outcomes, Crossed: link.Bytes(), Changes: orders(site) - before}
	for _, engine := range site.Engines {
		observed.Cut += engine.Cut()
	}
	for _, instance := range site.Instances {
		m := instance.Metrics()
		observed.Extra += m.Value(jaymetric.Hedges) + m.Value(jaymetric.Retries)
		observed.Requests += m.Value(jaymetric.Requests)
	}
	return observed, nil
}

// plan returns the site of the trial.
func (t Trial) plan(policy jayroute.Policy, link *jaydelay.Link) jaysite.Plan {
	plan := jaysite.DefaultPlan()
	plan.Regions, plan.Instances, plan.Engines, plan.Services = regionNames(), instances, engines, services
	plan.Rates, plan.Policy = rates(), policy
	plan.Callers = nil
	seen := make(map[string]bool)
	for _, caller := range t.Callers {
		if !seen[caller] {
			seen[caller] = true
			plan.Callers = append(plan.Callers, jaysite.Account{Name: caller, Key: caller + "-key"})
		}
	}
	plan.Callers = append(plan.Callers, jaysite.Account{Name: "urgent", Key: "urgent-key", Fields: "labels = class=urgent\n"})
	plan.Extra = fmt.Sprintf("[route urgent]\nmodel = %s\nupstreams = app=assistant\ncallers = class=urgent\npriority = high\nrank = 10\n", jaysite.Model)
	plan.Options = func(site *jaysite.Site, region string) []jayinstance.Option {
		options := []jayinstance.Option{jayinstance.WithDial(dialFrom(site, region, link))}
		if t.Planner != nil {
			options = append(options, jayinstance.WithPlanner(t.Planner))
		}
		return options
	}
	if t.Adjust != nil {
		t.Adjust(&plan)
	}
	return plan
}

// dialFrom connects directly within a region and over the link to others.
func dialFrom(site *jaysite.Site, region string, link *jaydelay.Link) jayengine.Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		if to := site.RegionOf(address); to != "" && to != region {
			return link.Dial(ctx, network, address)
		}
		return new(net.Dialer).DialContext(ctx, network, address)
	}
}

// schedule runs the trial's events at their times.
func (t Trial) schedule(site *jaysite.Site) (stop func()) {
	timers := make([]*time.Timer, 0, len(t.Events))
	for _, event := range t.Events {
		timers = append(timers, time.AfterFunc(event.At, func() { event.Run(site) }))
	}
	return func() {
		for _, timer := range timers {
			timer.Stop()
		}
	}
}

// orders returns the number of orders that engines have taken.
func orders(site *jaysite.Site) int {
	total := 0
	for _, engine := range site.Engines {
		total += len(engine.Orders())
	}
	return total
}

// capacityWarm is how long slots fill before completions are counted.
const capacityWarm = 2 * time.Second

// capacity measures how many requests of a kind all engines complete a second
// when their slots are always full, without any instance before them.
func capacity(ctx context.Context, work Work, seed uint64) (float64, error) {
	plan := jaysite.DefaultPlan()
	plan.Instances, plan.Engines, plan.Services, plan.Rates = 0, engines, 0, rates()
	site, err := jaysite.Start(plan, slog.New(slog.DiscardHandler))
	if err != nil {
		return 0, err
	}
	defer site.Stop()
	ctx, cancel := context.WithTimeout(ctx, capacityWarm+capacityLength)
	defer cancel()
	warm := time.Now().Add(capacityWarm)
	arrivals := draw(seed, []Phase{{Length: time.Minute, Rate: steady(200), Work: work}}, regionNames(), []string{"c"}, capacityLength)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
	defer client.CloseIdleConnections()
	var done, next atomic.Int64
	var wait sync.WaitGroup
	for _, engine := range site.Engines {
		for range plan.Rates.Slots + 2 {
			wait.Go(func() {
				for ctx.Err() == nil {
					a := arrivals[int(next.Add(1))%len(arrivals)]
					if askEngine(ctx, client, engine.Address, a, int(next.Load())) && time.Now().After(warm) {
						done.Add(1)
					}
				}
			})
		}
	}
	wait.Wait()
	return float64(done.Load()) / capacityLength.Seconds(), nil
}

func askEngine(ctx context.Context, client *http.Client, address string, a Arrival, number int) bool {
	body := fmt.Sprintf(`{"max_tokens":%d,"messages":[{"content":%q}]}`, a.Output, a.text())
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, address+jayengine.PathChat, strings.NewReader(body))
	if err != nil {
		return false
	}
	request.Header.Set(jayengine.HeaderRequest, fmt.Sprintf("capacity-%d", number))
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close() //nolint:errcheck // The answer has been read.
	var outcome Outcome
	readAnswer(response, time.Now(), &outcome)
	return outcome.Status == StatusDone
}
