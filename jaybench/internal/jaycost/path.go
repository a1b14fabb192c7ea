package jaycost

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"jayfield.example/jay/jayconfig"
	"jayfield.example/jay/jayengine"
	"jayfield.example/jay/jaysite"
)

// Path is a way from a caller to the engine.
type Path string

// Paths that are compared.
const (
	PathDirect Path = "direct"
	PathVia    Path = "via jayfield"
)

const callerKey = "cost-caller-key"

// stage is one instance before one engine, and a caller of either.
type stage struct {
	site   *jaysite.Site
	engine string
	client *http.Client
	body   []byte
}

// newStage starts an instance before an engine that answers with a number of tokens.
func newStage(ctx context.Context, engine *instantEngine) (*stage, error) {
	plan := jaysite.DefaultPlan()
	plan.Instances, plan.Engines, plan.Services = 1, 0, 0
	plan.Callers = []jaysite.Account{{Name: "cost", Key: callerKey}}
	site, err := jaysite.Start(plan, slog.New(slog.DiscardHandler))
	if err != nil {
		return nil, err
	}
	s := &stage{site: site}
	if s.engine, err = site.Serve(engine); err != nil {
		return nil, err
	}
	document := site.Document() + fmt.Sprintf("[upstream cost]\naddress = %s\nregion = amman\nzone = amman-1\nmodel = %s\nlabels = app=assistant\nslots = 4096\n[upstream cost-2]\naddress = %s\nregion = amman\nzone = amman-1\nmodel = %s\nlabels = app=assistant\nslots = 4096\n",
		s.engine, jaysite.Model, s.engine, jaysite.Model)
	if _, err := site.Configure(ctx); err != nil {
		return nil, err
	}
	operator := site.Operator(0)
	defer operator.Close()
	report, err := operator.Publish(ctx, "cost.ini", document, true)
	if err != nil || report.Verdict.Outcome != jayconfig.OutcomeAccepted {
		return nil, errors.Errorf("configuration was not accepted: %v %s", err, report.Verdict.Reason)
	}
	s.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4096, DisableCompression: true}}
	prompt := strings.Repeat("Which brackets fit a rafter of 80 by 180 at 640 mm? ", 8)
	s.body = fmt.Appendf(nil, `{"model":%q,"stream":true,"max_tokens":32,"messages":[{"role":"user","content":%q}]}`, jaysite.Model, prompt)
	return s, nil
}

func (s *stage) stop() {
	s.client.CloseIdleConnections()
	s.site.Stop()
}

// open sends a request along a path and returns the response at its first byte.
func (s *stage) open(ctx context.Context, path Path, id string) (*http.Response, error) {
	address := s.engine
	if path == PathVia {
		address = "http://" + s.site.Instances[0].Addresses().Caller
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, address+jayengine.PathChat, bytes.NewReader(s.body))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	request.Header.Set("Authorization", "Bearer "+callerKey)
	request.Header.Set(jayengine.HeaderRequest, id)
	response, err := s.client.Do(request)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	if response.StatusCode != http.StatusOK {
		_ = response.Body.Close()
		return nil, errors.Errorf("status %d", response.StatusCode)
	}
	return response, nil
}

// ask sends a request and returns the time to the first token once the answer is whole.
func (s *stage) ask(ctx context.Context, path Path, id string) (time.Duration, error) {
	started := time.Now()
	response, err := s.open(ctx, path, id)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close() //nolint:errcheck // The answer has been read.
	reader := bufio.NewReader(response.Body)
	first := time.Duration(0)
	for {
		line, err := reader.ReadSlice('\n')
		if err != nil {
			return 0, errors.Wrap(err, "answer is not whole")
		}
		if !bytes.HasPrefix(line, []byte("data: ")) {
			continue
		}
		if first == 0 {
			first = time.Since(started)
		}
		if bytes.Contains(line, []byte("[DONE]")) {
			return first, nil
		}
	}
}
