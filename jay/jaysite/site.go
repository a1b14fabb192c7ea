package jaysite

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"

	"jayfield.example/jay/jayclient"
	"jayfield.example/jay/jayconfig"
	"jayfield.example/jay/jayinstance"
	"jayfield.example/jay/jaymetric"
	"jayfield.example/jay/jaysetting"
	"jayfield.example/jay/jaystandin"
)

// loopback is a free port of this machine.
const loopback = "127.0.0.1:0"

// Site is a running site.
type Site struct {
	plan      Plan
	log       *slog.Logger
	Platform  *jaystandin.Platform
	Address   string
	Instances []*jayinstance.Instance
	Engines   []EngineNode
	Services  []ServiceNode
	servers   []*http.Server
}

// EngineNode is an engine of a site.
type EngineNode struct {
	*jaystandin.Engine
	Name, Address string
	Checks        bool
}

// ServiceNode is a plain service of a site.
type ServiceNode struct {
	*jaystandin.Service
	Name, Address string
}

// Start starts a site. It must be stopped.
func Start(plan Plan, log *slog.Logger) (*Site, error) {
	s := &Site{plan: plan, log: log, Platform: jaystandin.NewPlatform()}
	var err error
	if s.Address, err = s.Serve(s.Platform.Handler()); err != nil {
		return nil, err
	}
	for n := range plan.Engines {
		if err := s.addEngine(n); err != nil {
			return nil, err
		}
	}
	for n := range plan.Services {
		service := jaystandin.NewService()
		address, err := s.Serve(service)
		if err != nil {
			return nil, err
		}
		s.Services = append(s.Services, ServiceNode{Service: service, Name: fmt.Sprintf("orders-%d", n+1), Address: address})
	}
	for range plan.Instances {
		if _, err := s.AddInstance(); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// Open starts a site and puts its configuration in force everywhere. It must be stopped.
func Open(ctx context.Context, plan Plan, log *slog.Logger) (*Site, error) {
	site, err := Start(plan, log)
	if err != nil {
		return nil, err
	}
	if _, err := site.Configure(ctx); err != nil {
		site.Stop()
		return nil, err
	}
	return site, nil
}

// AddInstance starts one more instance.
func (s *Site) AddInstance() (*jayinstance.Instance, error) {
	n := len(s.Instances)
	settings := s.Settings(n)
	if s.plan.Adjust != nil {
		s.plan.Adjust(&settings)
	}
	log := s.log.With("instance", settings.Name)
	metrics := jaymetric.NewSet(log)
	if s.plan.Fatal != nil {
		metrics = jaymetric.NewSet(log, jaymetric.WithFatal(s.plan.Fatal))
	}
	options := []jayinstance.Option{jayinstance.WithMetrics(metrics), jayinstance.WithPolicy(s.plan.Policy)}
	if s.plan.Options != nil {
		options = append(options, s.plan.Options(s, settings.Region)...)
	}
	instance, err := jayinstance.Start(settings, s.log, options...)
	if err != nil {
		return nil, errors.Wrap(err, "start instance")
	}
	s.Instances = append(s.Instances, instance)
	return instance, nil
}

// AwaitMembers waits until every running instance knows all others.
func (s *Site) AwaitMembers(ctx context.Context) error {
	return await(ctx, "instances do not know each other", func() bool {
		return !slices.ContainsFunc(s.Instances, func(i *jayinstance.Instance) bool { return i.Known() < len(s.Instances) })
	})
}

// AwaitHolders waits until the lease of every zone has been taken.
func (s *Site) AwaitHolders(ctx context.Context) error {
	return await(ctx, "leases are not held", func() bool {
		taken := int64(0)
		for _, instance := range s.Instances {
			taken += instance.Metrics().Value(jaymetric.LeaseHeld)
		}
		return taken >= int64(len(s.plan.Regions))
	})
}

// Caller returns a client of an account, in a region.
func (s *Site) Caller(account Account, region string) *jayclient.Caller {
	seeds := make([]string, 0, len(s.Instances))
	for _, instance := range s.Instances {
		seeds = append(seeds, "http://"+instance.Addresses().Caller)
	}
	return jayclient.NewCaller(account.Key, region, seeds...)
}

// Configure publishes the site's configuration and waits until it is in force on every instance.
func (s *Site) Configure(ctx context.Context) (jayconfig.Report, error) {
	operator := s.Operator(0)
	defer operator.Close()
	if err := s.Await(ctx, -1); err != nil {
		return jayconfig.Report{}, err
	}
	if err := s.AwaitMembers(ctx); err != nil {
		return jayconfig.Report{}, err
	}
	report, err := operator.Publish(ctx, "site.ini", s.Document(), true)
	if err != nil {
		return report, err
	}
	if report.Verdict.Outcome != jayconfig.OutcomeAccepted {
		return report, errors.Errorf("configuration was not accepted: %s", report.Verdict.Reason)
	}
	return report, s.Await(ctx, report.Verdict.Offset)
}

// Operator returns an operator's client of an instance.
func (s *Site) Operator(n int) *jayclient.Operator {
	return jayclient.NewOperator("http://"+s.Instances[n].Addresses().Operator, OperatorKey, "site")
}

// Serve serves a handler on loopback and returns its base address.
func (s *Site) Serve(handler http.Handler) (string, error) {
	listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp", loopback)
	if err != nil {
		return "", errors.WithStack(err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute, ErrorLog: slog.NewLogLogger(s.log.Handler(), slog.LevelDebug)}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(listener) }()
	return "http://" + listener.Addr().String(), nil
}

// Settings returns the settings of an instance by its number.
func (s *Site) Settings(n int) jaysetting.Settings {
	settings := jaysetting.Default().WithPlatform(s.Address)
	settings.Name = fmt.Sprintf("entry-%d", n+1)
	settings.Region = s.plan.region(n)
	settings.Zone = zoneOf(settings.Region)
	settings.Caller, settings.Operator, settings.Peer = loopback, loopback, loopback
	settings.Register = true
	settings.OperatorKey, settings.PeerKey = OperatorKey, PeerKey
	settings.Lifetime = s.plan.Lifetime
	return settings
}

// Stop ends the site at once.
func (s *Site) Stop() {
	for _, instance := range s.Instances {
		if running(instance) {
			instance.Kill()
		}
	}
	for _, engine := range s.Engines {
		engine.Stop()
	}
	for _, server := range s.servers {
		_ = server.Close()
	}
}

func (s *Site) addEngine(n int) error {
	var options []jaystandin.EngineOption
	if s.plan.Engine != nil {
		options = s.plan.Engine(n)
	}
	engine := jaystandin.NewEngine(Model, s.plan.Rates, options...)
	address, err := s.Serve(engine.Handler())
	if err != nil {
		return err
	}
	s.Engines = append(s.Engines, EngineNode{
		Engine: engine, Name: fmt.Sprintf("engine-%d", n+1), Address: address, Checks: engine.Checks(),
	})
	return nil
}

// RegionOf returns the region of the upstream at an address without scheme, "" for others.
func (s *Site) RegionOf(address string) string {
	for n, engine := range s.Engines {
		if engine.Address == "http://"+address {
			return s.plan.region(n)
		}
	}
	for n, service := range s.Services {
		if service.Address == "http://"+address {
			return s.plan.region(n)
		}
	}
	return ""
}

// Region returns the region of an instance by its number.
func (s *Site) Region(n int) string {
	return s.plan.region(n)
}

// running reports whether an instance has not stopped.
func running(instance *jayinstance.Instance) bool {
	select {
	case <-instance.Done():
		return false
	default:
		return true
	}
}

// Await waits until every running instance has applied an offset.
func (s *Site) Await(ctx context.Context, offset int64) error {
	return await(ctx, "configuration is not in force everywhere", func() bool {
		return !slices.ContainsFunc(s.Instances, func(i *jayinstance.Instance) bool { return running(i) && i.ConfigPosition() <= offset })
	})
}
