package jayedge

import (
	"context"
	"log/slog"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"jayfield.example/jay/jayerror"
	"jayfield.example/jay/jaymetric"
	"jayfield.example/jay/jayprovider"
	"jayfield.example/jay/jayroster"
	"jayfield.example/jay/jaystore"
	"jayfield.example/jay/jayusage"
)

const (
	// usageInterval is the time between two looks at what is to be done for usage reports.
	usageInterval = 100 * time.Millisecond
	// providerTimeout limits a call to the control API, and minLease is how long the lease has to last when
	// one begins, so that no call of this holder is in flight after its lease.
	providerTimeout = time.Second
	minLease        = 1200 * time.Millisecond
	// usageStoreTimeout limits a call to the store for usage reports.
	usageStoreTimeout = time.Second
	// maxUsageActions bounds what is done before the lease is looked at again.
	maxUsageActions = 16
	// maxAccountNames bounds the names of accounts that are remembered.
	maxAccountNames = 64 << 10
)

// dutyHolder is the lease of the duties at the control API.
type dutyHolder interface {
	// Holds returns the fencing token if this instance holds the duties for at least some more time.
	Holds(minRemaining time.Duration) (fence int64, ok bool)
}

// usageProvider receives usage reports.
type usageProvider interface {
	ReportUsage(ctx context.Context, authority jayprovider.Authority, report jayprovider.Report) error
}

// usageStore holds the usage reports.
type usageStore interface {
	Newest(ctx context.Context, topic jaystore.Topic) (records []jaystore.Record, end jaystore.Position, err error)
	PutAt(ctx context.Context, topic jaystore.Topic, key string, value []byte, end jaystore.Position) error
}

// usageCollector sums the counts of each availability zone.
type usageCollector interface {
	Collect(ctx context.Context, request jayroster.CollectRequest) []jayroster.CollectReply
}

// usageRecord is a usage report in the store.
type usageRecord struct {
	Window int64          `msgpack:"w"`
	Counts map[string]int `msgpack:"c"`
}

// usageOptions are the settings and dependencies of a usageTask.
type usageOptions struct {
	name string
	// window is the length of the windows, late the time after the end of a window at which its report is due.
	window, late time.Duration
	holder       dutyHolder
	provider     usageProvider
	store        usageStore
	collector    usageCollector
	// now returns the agreed time.
	now func() time.Time
	// accounts returns the names of the client accounts of the policy in force.
	accounts func() []string
	// fenced is called when the control API has seen a higher fencing token than this instance's.
	fenced func(fence int64)
	series *jaymetric.Exposition
	log    *slog.Logger
}

// usageTask makes and sends usage reports while this instance holds the duty.
type usageTask struct {
	usageOptions
	reporter *jayusage.Reporter
	held     bool
	fence    int64
	// names holds the names of accounts by their hash, also of accounts that a newer policy no longer has.
	names map[uint32]string
	// skipped and givenUp are the numbers that were last logged.
	skipped, givenUp int
}

func newUsageTask(options usageOptions) *usageTask {
	return &usageTask{usageOptions: options, reporter: jayusage.NewReporter(options.window), names: make(map[uint32]string)}
}

// run carries out the duty until ctx ends.
func (t *usageTask) run(ctx context.Context) {
	ticker := time.NewTicker(usageInterval)
	defer ticker.Stop()
	for {
		t.step(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// step does what is to be done now.
func (t *usageTask) step(ctx context.Context) {
	t.learnNames()
	if _, ok := t.holder.Holds(minLease); !ok && !t.held {
		return
	}
	for range maxUsageActions {
		t.updateLease()
		action := t.reporter.Next(t.now())
		if ctx.Err() != nil || action.Kind == jayusage.ActionNone {
			break
		}
		t.do(ctx, action)
	}
	t.logSkipped()
}

// learnNames remembers the names of the accounts of the policy in force.
func (t *usageTask) learnNames() {
	for _, name := range t.accounts() {
		if hash := jayusage.AccountHash(name); t.names[hash] != name && len(t.names) < maxAccountNames {
			t.names[hash] = name
		}
	}
}

// updateLease passes changes of the lease to the reporter.
func (t *usageTask) updateLease() {
	fence, ok := t.holder.Holds(minLease)
	switch {
	case !ok && t.held:
		t.reporter.Lose()
	case ok && (!t.held || fence != t.fence):
		t.reporter.Gain(t.now())
	}
	t.held, t.fence = ok, fence
}

func (t *usageTask) do(ctx context.Context, action jayusage.Action) {
	switch action.Kind {
	case jayusage.ActionRead:
		t.read(ctx)
	case jayusage.ActionCollect:
		t.collect(ctx, action.Window)
	case jayusage.ActionWrite:
		t.write(ctx, action)
	case jayusage.ActionRewrite:
		if t.put(ctx, action.Report, action.End) {
			t.count("rewritten")
			t.log.Info("usage report that the store had lost written again", "window", action.Window)
		}
	case jayusage.ActionSend:
		t.send(ctx, action.Report)
	default:
	}
}

// read reads the reports in the store.
func (t *usageTask) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, usageStoreTimeout)
	defer cancel()
	records, end, err := t.store.Newest(ctx, jaystore.TopicUsage)
	if err != nil {
		t.log.Warn("usage reports not read from the store", "error", err)
		t.reporter.RecordReadFailure(t.now())
		return
	}
	reports := make([]jayusage.Stored, 0, len(records))
	for _, r := range records {
		var stored usageRecord
		if err := msgpack.Unmarshal(r.Value, &stored); err != nil {
			t.log.Error("usage report in the store malformed", "key", r.Key, "offset", r.Position, "error", err)
			continue
		}
		reports = append(reports, jayusage.Stored{Window: stored.Window, Counts: stored.Counts})
	}
	t.reporter.RecordRead(t.now(), reports, end)
}

// collect collects the counts of a window.
func (t *usageTask) collect(ctx context.Context, window int64) {
	replies := t.collector.Collect(ctx, jayroster.CollectRequest{Usage: true, Window: window})
	zones := make([]jayusage.ZoneCounts, 0, len(replies))
	for _, r := range replies {
		zone := jayusage.ZoneCounts{Zone: r.Zone}
		if r.Answered > 0 {
			zone.Counts = make(map[uint32]uint64, len(r.Counts))
			for account, count := range r.Counts {
				zone.Counts[account] = count
			}
		}
		zones = append(zones, zone)
	}
	t.reporter.RecordCounts(t.now(), window, zones)
}

// write writes a report to the store.
func (t *usageTask) write(ctx context.Context, action jayusage.Action) {
	report, total := t.report(action)
	if !t.put(ctx, report, action.End) {
		return
	}
	t.count("written")
	lag := t.lag(report.Window)
	t.log.Info("usage report written", "window", report.Window, "accounts", len(report.Counts), "total", total, "zones", strings.Join(action.Zones, ","), "lag", lag)
	if len(action.Missing) > 0 {
		t.series.Count("usage_incomplete_total")
		t.log.Warn("usage report lacks zones that did not answer", "window", report.Window, "missing", strings.Join(action.Missing, ","), "lag", lag)
	}
}

// put writes a report to the store if its topic ends at a position, and reports whether it did.
func (t *usageTask) put(ctx context.Context, report jayusage.Stored, end jaystore.Position) bool {
	value, err := msgpack.Marshal(usageRecord(report))
	if err != nil {
		t.log.Error("usage report not encoded", "window", report.Window, "error", err)
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, usageStoreTimeout)
	defer cancel()
	err = t.store.PutAt(ctx, jaystore.TopicUsage, strconv.FormatInt(jayusage.Slot(report.Window), 10), value, end)
	outcome := jayusage.OutcomeUnavailable
	switch {
	case err == nil:
		outcome = jayusage.OutcomeDone
	case jayerror.Is(err, jaystore.KindConflict):
		outcome = jayusage.OutcomeConflict
	}
	t.reporter.RecordWrite(t.now(), report, outcome)
	if err != nil {
		t.count("write_" + string(outcome))
		t.log.Warn("usage report not written to the store", "window", report.Window, "error", err)
	}
	return err == nil
}

// report returns the report of an action and the sum of its counts. Accounts without requests are left out.
func (t *usageTask) report(action jayusage.Action) (report jayusage.Stored, total int) {
	report = jayusage.Stored{Window: action.Window, Counts: make(map[string]int, len(action.Counts))}
	for account, count := range action.Counts {
		name, ok := t.names[account]
		if !ok {
			t.series.Add("usage_unknown_requests_total", int(count)) //nolint:gosec // Counts of a window are small.
			t.log.Warn("requests of an account that no policy had are left out of the usage report", "window", action.Window, "account", account, "requests", count)
			continue
		}
		if count > 0 {
			report.Counts[name] = int(count) //nolint:gosec // Counts of a window are small.
			total += report.Counts[name]
		}
	}
	return report, total
}

// send sends a report that the store holds, if the lease lasts longer than the call.
func (t *usageTask) send(ctx context.Context, report jayusage.Stored) {
	ctx, cancel := context.WithTimeout(ctx, providerTimeout)
	defer cancel()
	fence, ok := t.holder.Holds(minLease)
	if !ok || fence != t.fence {
		return
	}
	err := t.provider.ReportUsage(ctx, jayprovider.Authority{Holder: t.name, Fence: fence}, jayprovider.Report{Window: report.Window, Counts: report.Counts})
	outcome, result := sendOutcome(err)
	t.reporter.RecordSend(t.now(), report.Window, outcome)
	t.count(result)
	if err != nil {
		t.log.Warn("usage report not sent", "window", report.Window, "fence", fence, "result", result, "error", err)
		if outcome == jayusage.OutcomeFenced && t.fenced != nil {
			t.fenced(fence)
		}
		return
	}
	total := 0
	for _, count := range report.Counts {
		total += count
	}
	lag := t.lag(report.Window)
	t.series.Observe("usage_report_lag_seconds", lag)
	if lag > t.late {
		t.series.Count("usage_late_total")
	}
	t.log.Info("usage report sent", "window", report.Window, "accounts", len(report.Counts), "total", total, "fence", fence, "lag", lag, "late", lag > t.late)
}

// sendOutcome returns the outcome of a call to the control API, and its name in the metrics.
func sendOutcome(err error) (outcome jayusage.Outcome, result string) {
	if err == nil {
		return jayusage.OutcomeDone, "sent"
	}
	var failed *jayprovider.Error
	if !errors.As(err, &failed) {
		return jayusage.OutcomeUnavailable, string(jayprovider.KindUnavailable)
	}
	switch failed.Kind {
	case jayprovider.KindFenced:
		return jayusage.OutcomeFenced, string(failed.Kind)
	case jayprovider.KindFormat:
		return jayusage.OutcomeInvalid, string(failed.Kind)
	default:
		return jayusage.OutcomeUnavailable, string(failed.Kind)
	}
}

// logSkipped logs windows without a report and reports that were given up.
func (t *usageTask) logSkipped() {
	skipped, givenUp := t.reporter.Skipped()
	if skipped > t.skipped {
		t.series.Add("usage_reports_total", skipped-t.skipped, jaymetric.Label{Name: "result", Value: "skipped"})
		t.log.Warn("windows without a usage report: their counts are no longer complete", "windows", skipped-t.skipped)
	}
	if givenUp > t.givenUp {
		t.series.Add("usage_reports_total", givenUp-t.givenUp, jaymetric.Label{Name: "result", Value: "given_up"})
		t.log.Error("usage reports given up unsent", "reports", givenUp-t.givenUp)
	}
	t.skipped, t.givenUp = skipped, givenUp
}

func (t *usageTask) count(result string) {
	t.series.Count("usage_reports_total", jaymetric.Label{Name: "result", Value: result})
}

// lag returns the time since the end of a window.
func (t *usageTask) lag(window int64) time.Duration {
	return t.now().Sub(jayusage.WindowEnd(window, t.window))
}

// newMeter returns the meter of an instance, nil if no duty needs it.
func newMeter(settings ProviderSettings) *jayusage.Meter {
	if settings.Address == "" || !settings.Usage && !settings.Scale {
		return nil
	}
	window := settings.Window
	if window <= 0 {
		window = defaultReports
	}
	return jayusage.NewMeter(jayusage.MeterOptions{Window: window, Usage: settings.Usage, Start: time.Now(), Now: time.Now})
}
