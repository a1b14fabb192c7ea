package jayedge

import (
	"context"
	"log/slog"
	"maps"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"jayfield.example/jay/jayerror"
	"jayfield.example/jay/jaymetric"
	"jayfield.example/jay/jayprovider"
	"jayfield.example/jay/jayroster"
	"jayfield.example/jay/jaystore"
	"jayfield.example/jay/jayusage"
)

// usageWorld is the holder, the store, the hubs and the control API of a usageTask. Calls are not concurrent.
type usageWorld struct {
	t *testing.T
	// until is the end of the lease.
	until time.Time
	fence int64
	// records are the reports in the store; loseAnswers makes writes take effect without an answer.
	records     []jaystore.Record
	loseAnswers bool
	// refuse is the kind of failure of the control API, empty if there is none.
	refuse jayprovider.Kind
	calls  int
	sent   map[int64]map[string]int
	fenced int
	// silent is a zone that does not answer.
	silent string
}

func (w *usageWorld) Holds(minRemaining time.Duration) (int64, bool) {
	return w.fence, time.Until(w.until) >= minRemaining
}

func (w *usageWorld) ReportUsage(_ context.Context, a jayprovider.Authority, r jayprovider.Report) error {
	if w.calls++; time.Until(w.until) < time.Second || a.Fence != w.fence || a.Holder != "i0" {
		w.t.Errorf("call as %+v with a lease of %s", a, time.Until(w.until))
	}
	if w.refuse != "" {
		return jayerror.New("report", w.refuse, "refused")
	}
	if before, ok := w.sent[r.Window]; ok && !maps.Equal(before, r.Counts) {
		w.t.Errorf("window %d is reported as %v and %v", r.Window, before, r.Counts)
	}
	w.sent[r.Window] = r.Counts
	return nil
}

func (w *usageWorld) Newest(context.Context, jaystore.Topic) ([]jaystore.Record, jaystore.Position, error) {
	newest := make(map[string]jaystore.Record)
	for _, r := range w.records {
		newest[r.Key] = r
	}
	list := make([]jaystore.Record, 0, len(newest))
	for _, r := range newest {
		list = append(list, r)
	}
	return list, jaystore.Position(len(w.records)), nil
}

func (w *usageWorld) PutAt(_ context.Context, topic jaystore.Topic, key string, value []byte, end jaystore.Position) error {
	if topic != jaystore.TopicUsage || end != jaystore.Position(len(w.records)) {
		return jayerror.New("put", jaystore.KindConflict, "another end")
	}
	w.records = append(w.records, jaystore.Record{Key: key, Value: value, Position: end})
	if w.loseAnswers {
		return jayerror.New("put", jaystore.KindUnavailable, "no answer")
	}
	return nil
}

func (w *usageWorld) Collect(_ context.Context, r jayroster.CollectRequest) []jayroster.CollectReply {
	counts := map[uint32]uint64{jayusage.AccountHash("a"): uint64(r.Window), jayusage.AccountHash("b"): 0, jayusage.AccountHash("gone"): 1}
	replies := []jayroster.CollectReply{{Zone: "y", Answered: 2, Counts: counts}, {Zone: "z", Answered: 1, Counts: counts}}
	for n := range replies {
		if replies[n].Zone == w.silent {
			replies[n] = jayroster.CollectReply{Zone: w.silent}
		}
	}
	return replies
}

// Guards against reports that are sent before the store holds them or after the lease, that differ from what the store
// holds, or that name accounts without requests; and against faults that the metrics do not show.
func TestUsageTask(t *testing.T) {
	// A report is made 4 s after the end of its window, 5 s if a call is repeated: none is due at the end.
	const duration = time.Minute + 1200*time.Millisecond
	tests := map[string]struct {
		change func(w *usageWorld)
		// sent is the number of windows sent, factor the number of zones that count.
		sent, factor int
		// fenced is the number of higher tokens that the duty got.
		fenced int
		metric string
	}{
		"calm":                      {func(*usageWorld) {}, 12, 2, 0, `usage_reports_total{result="sent"} 12`},
		"answers of the store lost": {func(w *usageWorld) { w.loseAnswers = true }, 12, 2, 0, `usage_reports_total{result="write_unavailable"} 11`},
		"a zone does not answer":    {func(w *usageWorld) { w.silent = "y" }, 12, 1, 0, "usage_incomplete_total 11"},
		"control API down":          {func(w *usageWorld) { w.refuse = jayprovider.KindUnavailable }, 0, 0, 0, `usage_reports_total{result="unavailable"}`},
		"report not accepted":       {func(w *usageWorld) { w.refuse = jayprovider.KindFormat }, 0, 0, 0, `usage_reports_total{result="given_up"} 12`},
		"a higher token was seen":   {func(w *usageWorld) { w.refuse = jayprovider.KindFenced }, 0, 0, 1, `usage_reports_total{result="fenced"} 1`},
		"no lease":                  {func(w *usageWorld) { w.until = time.Now() }, 0, 0, 0, ""},
		"lease shorter than calls":  {func(w *usageWorld) { w.until = time.Now().Add(time.Second) }, 0, 0, 0, ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := &usageWorld{t: t, until: time.Now().Add(time.Hour), fence: 7, sent: make(map[int64]map[string]int)}
				test.change(w)
				series := jaymetric.NewExposition()
				task := newUsageTask(usageOptions{
					name: "i0", window: 5 * time.Second, late: 10 * time.Second, holder: w, provider: w, store: w, collector: w, now: time.Now, series: series, log: slog.New(slog.DiscardHandler),
					accounts: func() []string { return []string{"a", "b"} }, fenced: func(int64) { w.fenced++ },
				})
				// The predecessor has written a report that it may not have sent.
				first := jayusage.WindowAt(time.Now(), 5*time.Second) - 1
				value, err := msgpack.Marshal(usageRecord{Window: first, Counts: map[string]int{"a": int(first) * test.factor}})
				if err != nil {
					t.Fatal(err)
				}
				w.records = []jaystore.Record{{Key: strconv.FormatInt(jayusage.Slot(first), 10), Value: value}}
				ctx, cancel := context.WithTimeout(t.Context(), duration)
				defer cancel()
				task.run(ctx)
				if len(w.sent) != test.sent || w.fenced != test.fenced {
					t.Errorf("%d windows sent, %d tokens refused, want %d and %d", len(w.sent), w.fenced, test.sent, test.fenced)
				}
				for window, counts := range w.sent {
					if want := map[string]int{"a": int(window) * test.factor}; !maps.Equal(counts, want) {
						t.Errorf("window %d is reported as %v, want %v", window, counts, want)
					}
				}
				text := httptest.NewRecorder()
				series.ServeHTTP(text, nil)
				if !strings.Contains(text.Body.String(), test.metric) {
					t.Errorf("no %s in:\n%s", test.metric, text.Body)
				}
			})
		})
	}
}

// Guards against instances that exchange or count anything though no duty asks for it.
func TestMeterOnlyForDuties(t *testing.T) {
	for _, test := range []struct {
		settings     ProviderSettings
		meter, usage bool
	}{
		{ProviderSettings{Usage: true, Scale: true}, false, false}, {ProviderSettings{Address: "x"}, false, false},
		{ProviderSettings{Address: "x", Usage: true}, true, true}, {ProviderSettings{Address: "x", Scale: true}, true, false},
	} {
		test.settings.Window = time.Second
		m := newMeter(test.settings)
		if (m != nil) != test.meter || m != nil && m.CountsUsage() != test.usage {
			t.Errorf("%+v: meter = %v", test.settings, m)
		}
		if m != nil && !m.CountsUsage() && !m.Stamp(time.Now()).IsZero() {
			t.Errorf("%+v: the time of day is stated", test.settings)
		}
	}
}
