package jayexperiment

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"jayfield.example/jay/jaycall"
	"jayfield.example/jay/jaysite"
)

// generator sends the requests of a load at their times, whatever becomes of earlier ones.
type generator struct {
	site   *jaysite.Site
	client *http.Client
	// turn spreads requests over the instances of a region.
	turn map[string]int
}

func newGenerator(site *jaysite.Site) *generator {
	transport := &http.Transport{MaxIdleConnsPerHost: 2048, DisableCompression: true}
	return &generator{site: site, client: &http.Client{Transport: transport}, turn: make(map[string]int)}
}

// run sends all arrivals and returns what became of them, in their order.
func (g *generator) run(ctx context.Context, arrivals []Arrival) []Outcome {
	defer g.client.CloseIdleConnections()
	outcomes := make([]Outcome, len(arrivals))
	var wait sync.WaitGroup
	started := time.Now()
	for n, arrival := range arrivals {
		select {
		case <-time.After(time.Until(started.Add(arrival.At))):
		case <-ctx.Done():
			outcomes[n] = Outcome{Arrival: arrival, Status: StatusFailed}
			continue
		}
		address := g.address(arrival.Region)
		wait.Go(func() { outcomes[n] = g.send(ctx, address, arrival) })
	}
	wait.Wait()
	return outcomes
}

// address returns the next instance of a region.
func (g *generator) address(region string) string {
	var near []string
	for n, instance := range g.site.Instances {
		if g.site.Region(n) == region {
			near = append(near, instance.Addresses().Caller)
		}
	}
	g.turn[region]++
	return "http://" + near[g.turn[region]%len(near)]
}

func (g *generator) send(ctx context.Context, address string, a Arrival) Outcome {
	ctx, cancel := context.WithTimeout(ctx, a.Deadline)
	defer cancel()
	outcome := Outcome{Arrival: a, Status: StatusFailed}
	body := fmt.Appendf(nil, `{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, jaysite.Model, a.Output, a.text())
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, address+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return outcome
	}
	request.Header.Set("Authorization", "Bearer "+a.Caller+"-key")
	request.Header.Set(jaycall.HeaderTimeout, a.Deadline.String())
	started := time.Now()
	defer func() { outcome.Took = time.Since(started) }()
	response, err := g.client.Do(request)
	if err == nil {
		defer response.Body.Close() //nolint:errcheck // The answer has been read.
		readAnswer(response, started, &outcome)
	}
	if ctx.Err() != nil && outcome.Status == StatusFailed {
		outcome.Status = StatusLate
	}
	outcome.Took = time.Since(started)
	return outcome
}

func readAnswer(response *http.Response, started time.Time, outcome *Outcome) {
	if response.StatusCode != http.StatusOK {
		if response.Header.Get(jaycall.HeaderRun) == "not-run" {
			outcome.Status = StatusRefused
		}
		return
	}
	outcome.Waited, _ = time.ParseDuration(response.Header.Get(jaycall.HeaderWaited))
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if !bytes.HasPrefix(lines.Bytes(), []byte("data: ")) {
			continue
		}
		if outcome.First == 0 {
			outcome.First = time.Since(started)
		}
		outcome.Tokens++
		if bytes.HasSuffix(lines.Bytes(), []byte("[DONE]")) {
			outcome.Status = StatusDone
		}
	}
}
