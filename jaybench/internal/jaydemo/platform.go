package jaydemo

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"jayfield.example/jay/jayedge"
	jayplatform "jayfield.example/platform"
	"jayfield.example/platform/jayplatformtest"
)

const (
	// demoHost is the host of all routes of the demonstration.
	demoHost = "shop.example"
	// readyBound bounds the time until all instances are ready.
	readyBound = 10 * time.Second
	demoEvents = 12
	demoGrace  = 2 * time.Second
	// demoTimeout is the time of a request.
	demoTimeout = 3 * time.Second
)

// PlatformSite is edge instances before stand-ins of the users' platform.
type PlatformSite struct {
	server  *http.Server
	ledger  *jayplatformtest.Ledger
	engines []*jayplatformtest.Engine
	edges   []*jayedge.Edge
	callers []string
}

// StartPlatform starts a store, engines, plain services and an edge instance
// in each of three availability zones, all in the process.
func StartPlatform(ctx context.Context, log *slog.Logger) (*PlatformSite, error) {
	store := jayplatformtest.NewStore()
	listener, err := listen()
	if err != nil {
		return nil, err
	}
	s := &PlatformSite{ledger: jayplatformtest.NewLedger(), server: &http.Server{Handler: store.Handler(), ReadHeaderTimeout: readyBound}}
	go func() { _ = s.server.Serve(listener) }()
	for n, stage := range []string{"prefill", "decode", "decode", ""} {
		spec := jayplatformtest.Spec{
			ID: fmt.Sprint("engine-", n), Service: "model", Zone: fmt.Sprint("zone-", n%3), Stage: stage,
			Events: demoEvents, Pause: 5 * time.Millisecond,
		}
		if stage == "" {
			spec.ID, spec.Service, spec.Events = "desk-1", "desk", 0
		}
		engine, err := jayplatformtest.NewEngine(spec, s.ledger)
		if err != nil {
			return nil, errors.WithStack(err)
		}
		s.engines = append(s.engines, engine)
		store.Register(engine, "ready", 1)
	}
	if err := store.Publish(1, demoHost, demoRoutes()...); err != nil {
		return nil, errors.WithStack(err)
	}
	for n := range 3 {
		if err := s.startEdge(ctx, n, listener.Addr().String(), log); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// Run sends a request of each kind to each instance. It returns the results
// with the number of those that failed.
func (s *PlatformSite) Run(ctx context.Context) ([]Result, int) {
	routes, failed := demoRoutes(), 0
	results := make([]Result, 0, len(s.callers)*len(routes))
	for n, caller := range s.callers {
		for _, route := range routes {
			r := s.send(ctx, caller, route.Name, fmt.Sprintf("%s-%d", route.Name, n))
			r.Region = fmt.Sprint("region-", n)
			if r.Verdict != VerdictWhole {
				failed++
			}
			results = append(results, r)
		}
	}
	return results, failed
}

// Stop ends the instances and the stand-ins.
func (s *PlatformSite) Stop() {
	for _, edge := range s.edges {
		edge.Stop()
	}
	for _, engine := range s.engines {
		engine.Close()
	}
	_ = s.server.Close()
}

func (s *PlatformSite) send(ctx context.Context, caller, route, id string) Result {
	result := Result{Caller: "demo", Request: route, Verdict: VerdictError}
	call := jayplatformtest.Call{ID: id, Shared: "5c1e07a2", SharedTokens: 800, OwnTokens: 100, OutputTokens: 80}
	request, err := jayplatformtest.NewRequest(ctx, caller, demoHost, "/"+route+"/1", "question", call)
	if err != nil {
		return result
	}
	began := time.Now()
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		return result
	}
	defer response.Body.Close() //nolint:errcheck // It has been read.
	result.First = time.Since(began)
	body, err := io.ReadAll(response.Body)
	result.Took = time.Since(began)
	result.Tokens = countEvents(string(body))
	runs := s.ledger.Runs(id)
	if err != nil || response.StatusCode != http.StatusOK || len(runs) != 1 {
		return result
	}
	result.Upstream = runs[0].Engine
	result.Verdict = VerdictWrong
	if route == "talk" && result.Tokens == demoEvents || route != "talk" && string(body) == "answer to "+id {
		result.Verdict = VerdictWhole
	}
	return result
}

// startEdge starts an instance and waits until it takes callers.
func (s *PlatformSite) startEdge(ctx context.Context, n int, store string, log *slog.Logger) error {
	settings := jayedge.Settings{
		Name: fmt.Sprint("edge-", n), Region: fmt.Sprint("region-", n), Zone: fmt.Sprint("zone-", n), Store: store,
		PeerKey: "key-of-the-demonstration", Lifetime: 100 * time.Millisecond, Grace: demoGrace, Drain: time.Second, Apply: 2500 * time.Millisecond, Memory: 256,
		Budget:  jayedge.Budget{Ratio: 0.2, Extra: 10, Window: 10 * time.Second},
		Regions: map[string]string{"zone-0": "region-0", "zone-1": "region-1", "zone-2": "region-2"},
	}
	for _, target := range []*string{&settings.Caller, &settings.Ready, &settings.Entry, &settings.Peer} {
		listener, err := listen()
		if err != nil {
			return err
		}
		*target = listener.Addr().String()
		_ = listener.Close()
	}
	edge, err := jayedge.Start(settings, jayplatform.NewAdapter(), log)
	if err != nil {
		return errors.WithStack(err)
	}
	s.edges, s.callers = append(s.edges, edge), append(s.callers, settings.Caller)
	ctx, cancel := context.WithTimeout(ctx, readyBound)
	defer cancel()
	for !edge.Ready() {
		select {
		case <-time.After(10 * time.Millisecond):
		case <-ctx.Done():
			return errors.Errorf("instance %s is not ready", settings.Name)
		}
	}
	return nil
}

func listen() (net.Listener, error) {
	listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp", "127.0.0.1:0")
	return listener, errors.WithStack(err)
}

func countEvents(body string) int {
	count := 0
	for scanner := bufio.NewScanner(strings.NewReader(body)); scanner.Scan(); {
		if strings.HasPrefix(scanner.Text(), "id: ") {
			count++
		}
	}
	return count
}

// demoRoutes returns a route of each kind.
func demoRoutes() []jayplatformtest.Route {
	return []jayplatformtest.Route{
		{Name: "talk", Kind: jayplatformtest.KindStream, Service: "model", Prompt: true, Resumable: true, Attempts: 2, Timeout: demoTimeout},
		{Name: "order", Kind: jayplatformtest.KindOnce, Service: "desk", Attempts: 1, Timeout: demoTimeout},
		{Name: "look", Kind: jayplatformtest.KindIdempotent, Service: "desk", Attempts: 2, Timeout: demoTimeout},
	}
}
