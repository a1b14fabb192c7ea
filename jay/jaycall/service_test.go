package jaycall

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"jayfield.example/jay/jayconfig"
	"jayfield.example/jay/jaydispatch"
	"jayfield.example/jay/jayengine"
	"jayfield.example/jay/jaymetric"
	"jayfield.example/jay/jayroute"
)

// newServiceFrontend returns a frontend that calls a service of two upstreams, which share a handler.
func newServiceFrontend(t *testing.T, handler http.HandlerFunc) *Frontend {
	t.Helper()
	document := "[service s]\nselector = app=s\n"
	for n := range 2 {
		server := httptest.NewServer(handler)
		t.Cleanup(server.Close)
		document += fmt.Sprintf("[upstream u%d]\nkind = service\naddress = %s\nregion = r\nzone = z\nlabels = app=s\nslots = 4\n", n, server.URL)
	}
	state, err := jayconfig.StateFromDocument("test", document)
	if err != nil {
		t.Fatal(err)
	}
	dispatcher := jaydispatch.New(jaydispatch.Options{Region: "r", Policy: jayroute.PolicyPredict, Limit: 10, Seed: 1})
	t.Cleanup(dispatcher.Stop)
	dispatcher.Configure(state)
	engines := jayengine.NewClient(nil, nil)
	t.Cleanup(engines.Close)
	log := slog.New(slog.DiscardHandler)
	return NewFrontend(Options{Region: "r", Dispatcher: dispatcher, Engines: engines, Metrics: jaymetric.NewSet(log), Log: log})
}

// Guards against a retry that states the whole time of the request to its upstream, which then works on after the
// caller has left.
func TestRetryStatesTheTimeThatIsLeft(t *testing.T) {
	t.Parallel()
	const limit, spent = time.Minute, 100 * time.Millisecond
	var mu sync.Mutex
	var stated []string
	frontend := newServiceFrontend(t, func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		stated = append(stated, r.Header.Get(jayengine.HeaderTimeout))
		if len(stated) == 1 {
			time.Sleep(spent)
			w.Header().Set(jayengine.HeaderLeaving, "1")
		}
	})
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()
	caller := jayconfig.NamedCaller{Name: "shop-12", Caller: &jayconfig.Caller{Weight: 1}}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://instance/services/s", nil)
	if err != nil {
		t.Fatal(err)
	}
	response, _, err := frontend.callService(ctx, &request{Request: r, caller: caller, start: time.Now()}, "s", limit)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if len(stated) != 2 {
		t.Fatalf("%d calls, want 2", len(stated))
	}
	if left, err := time.ParseDuration(stated[1]); err != nil || left > limit-spent {
		t.Errorf("the retry states %q, want %s at most", stated[1], limit-spent)
	}
}

// Guards against an upstream that counts as slow because a request was queued or tried elsewhere before.
func TestTimeBeforeTheSendIsNoTimeOfTheUpstream(t *testing.T) {
	t.Parallel()
	const queued = time.Hour
	frontend := newServiceFrontend(t, func(http.ResponseWriter, *http.Request) {})
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	caller := jayconfig.NamedCaller{Name: "shop-12", Caller: &jayconfig.Caller{Weight: 1}}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://instance/services/s", nil)
	if err != nil {
		t.Fatal(err)
	}
	response, grant, err := frontend.callService(ctx, &request{Request: r, caller: caller, start: time.Now().Add(-queued)}, "s", time.Minute)
	if err != nil {
		t.Fatal(err)
	}
	response.Body.Close()
	again, err := frontend.Dispatcher.Acquire(ctx, jaydispatch.Request{
		Pool: "service s", Caller: "shop-12", Weight: 1, Priority: jayconfig.PriorityNormal,
		Work: jayroute.Work{Prompt: 1, Output: 1, Region: "r"}, Prefer: grant.Upstream,
	})
	if err != nil {
		t.Fatal(err)
	}
	if again.ExpectedFirstToken > time.Minute {
		t.Errorf("a first byte is expected after %s", again.ExpectedFirstToken)
	}
}

// Guards against a malformed response of a service that reaches the caller: a status that no server may send ended the
// handler with a panic, and "leaving" in such a response stood for "not run".
func TestMalformedResponseOfServiceIsAnError(t *testing.T) {
	tests := map[string]string{
		"status 000":             "HTTP/1.1 000 Unknown\r\nContent-Length: 6\r\n\r\nsecret",
		"blank in a name":        "HTTP/1.1 200 OK\r\nX Bad: 1\r\nContent-Length: 6\r\n\r\nsecret",
		"leaving, blank in name": "HTTP/1.1 503 Service Unavailable\r\nX Bad: 1\r\n" + jayengine.HeaderLeaving + ": 1\r\nContent-Length: 0\r\n\r\n",
		"leaving, cut off":       "HTTP/1.1 503 Service Unavailable\r\n" + jayengine.HeaderLeaving + ": 1\r\nContent-Length: 9\r\n\r\n{}",
	}
	for name, response := range tests {
		t.Run(name, func(t *testing.T) {
			var requests atomic.Int32
			frontend := newServiceFrontend(t, func(w http.ResponseWriter, _ *http.Request) {
				requests.Add(1)
				conn, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					t.Error(err)
					return
				}
				defer conn.Close()
				_, _ = io.WriteString(conn, response)
			})
			w := httptest.NewRecorder()
			r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/services/s/x", nil)
			caller := jayconfig.NamedCaller{Name: "shop-12", Caller: &jayconfig.Caller{Weight: 1}}
			_, _, err := frontend.callService(r.Context(), &request{Request: r, caller: caller, start: time.Now()}, "s", time.Minute)
			if err == nil || provablyNotRun(err) {
				t.Fatalf("error = %v, want one that does not say that the call was not run", err)
			}
			failureOf(err).write(w)
			if w.Code != http.StatusBadGateway || w.Header().Get(HeaderRun) == "not-run" || requests.Load() != 1 {
				t.Errorf("status %d, run %q after %d requests; want 502 after one", w.Code, w.Header().Get(HeaderRun), requests.Load())
			}
		})
	}
}
