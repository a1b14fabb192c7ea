package jayduty

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"jayfield.example/jay/jaycall"
	"jayfield.example/jay/jayclient"
	"jayfield.example/jay/jaylog"
	"jayfield.example/jay/jaysite"
	"jayfield.example/jaybench/internal/jaymeasure"
)

const (
	// freeService takes keys without tickets.
	freeService = "free"
)

// Orders is what one way to place orders took.
type Orders struct {
	Way     string
	Callers int
	Placed  int
	Took    time.Duration
	// P50 and P99 are of the time of an order.
	P50, P99 time.Duration
	// Appends are the records about work that runs at most once.
	Appends int64
}

// place places one order, named so that no other has its name.
type place func(ctx context.Context, name string) error

// Place places orders in three ways: straight at the service, with tickets,
// and with keys without tickets, by several numbers of callers side by side.
func Place(ctx context.Context, each int) ([]Orders, error) {
	plan := jaysite.DefaultPlan()
	plan.Instances = 8
	plan.Extra = "[service " + freeService + "]\nselector = app=orders\nonce = yes\nintent = yes\n"
	site, err := jaysite.Open(ctx, plan, slog.New(slog.DiscardHandler))
	if err != nil {
		return nil, errors.Wrap(err, "start")
	}
	defer site.Stop()
	var list []Orders
	for _, callers := range []int{1, 8, 32} {
		for _, way := range []string{"straight", "ticket", "key without ticket"} {
			measured, err := measure(ctx, site, way, callers, each)
			if err != nil {
				return nil, err
			}
			list = append(list, measured)
		}
	}
	return list, nil
}

func measure(ctx context.Context, site *jaysite.Site, way string, callers, each int) (Orders, error) {
	result := Orders{Way: way, Callers: callers, Placed: callers * each}
	histogram := jaymeasure.NewHistogram()
	before, started := site.Platform.End(jaylog.StreamOnce), time.Now()
	var mu sync.Mutex
	var failed error
	var wait sync.WaitGroup
	for n := range callers {
		order := wayOf(site, way)
		wait.Go(func() {
			for m := range each {
				begun := time.Now()
				err := order(ctx, fmt.Sprintf("%s %d %d %d", way, callers, n, m))
				took := time.Since(begun)
				mu.Lock()
				histogram.Record(took)
				if err != nil {
					failed = err
				}
				mu.Unlock()
			}
		})
	}
	wait.Wait()
	result.Took = time.Since(started)
	time.Sleep(time.Second)
	result.Appends = site.Platform.End(jaylog.StreamOnce) - before
	result.P50 = histogram.Quantile(50)
	result.P99 = histogram.Quantile(99)
	return result, failed
}

// wayOf returns a caller of its own that places orders in a way.
func wayOf(site *jaysite.Site, way string) place {
	if way == "straight" {
		return straight(site.Services[0].Address)
	}
	caller := site.Caller(jaysite.Account{Name: "shop-12", Key: "shop-12-key"}, "amman")
	if way == "ticket" {
		return func(ctx context.Context, name string) error {
			_, err := caller.Order(ctx, jaysite.Service, "/place", body(name))
			return errors.Wrap(err, "order with a ticket")
		}
	}
	return free(caller)
}

// straight places orders at the service itself.
func straight(address string) place {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	return func(ctx context.Context, name string) error {
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, address+"/place", bytes.NewReader(body(name)))
		if err != nil {
			return errors.WithStack(err)
		}
		response, err := client.Do(request)
		if err != nil {
			return errors.Wrap(err, "order straight")
		}
		return finish(response)
	}
}

// free places orders under keys of the caller's own.
func free(caller *jayclient.Caller) place {
	return func(ctx context.Context, name string) error {
		address, err := caller.Address(ctx)
		if err != nil {
			return errors.Wrap(err, "order without a ticket")
		}
		header := http.Header{jaycall.HeaderKey: {name}}
		response, err := caller.Do(ctx, address, http.MethodPost, "/services/"+freeService+"/place", header, body(name))
		if err != nil {
			return errors.Wrap(err, "order without a ticket")
		}
		return finish(response)
	}
}

func body(name string) []byte {
	return fmt.Appendf(nil, `{"order":%q}`, name)
}

// finish reads an answer and reports one that is not of work done.
func finish(response *http.Response) error {
	defer response.Body.Close() //nolint:errcheck // The answer has been read.
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return errors.Wrap(err, "read answer")
	}
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("status %d: %s", response.StatusCode, text)
	}
	return nil
}
