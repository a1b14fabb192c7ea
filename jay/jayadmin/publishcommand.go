package jayadmin

import (
	"context"
	"io"
	"net/http"
	"time"

	"jayfield.example/jay/jayconfig"
	"jayfield.example/jay/jayerror"
	"jayfield.example/jay/jaylog"
)

// publish appends an operator's document and answers with the verdict on it.
func (s *Server) publish(r *http.Request) (any, error) {
	publish, err := s.parse(r)
	if err != nil {
		return nil, err
	}
	started := time.Now()
	body, err := publish.Encode()
	if err != nil {
		return nil, jayerror.Wrap("publish", KindInvalid, err)
	}
	record := s.Writer.Record(jayconfig.RecordPublish, body)
	ctx, cancel := context.WithTimeout(r.Context(), appendTimeout)
	defer cancel()
	if _, err := s.Appender.Append(ctx, jaylog.StreamConfig, record); err != nil && !jayerror.Is(err, jaylog.KindUnavailable) {
		return nil, jayerror.Wrap("publish", KindLog, err)
	}
	verdict, err := s.verdict(r.Context(), record.ID)
	if err != nil {
		return nil, err
	}
	s.Log.Info("publish", "operator", verdict.Operator, "offset", verdict.Offset, "outcome", verdict.Outcome, "reason", verdict.Reason)
	inForce, live := s.Members.InForce(verdict.Offset)
	return jayconfig.Report{Verdict: verdict, InForce: inForce, Instances: live, Took: time.Since(started)}, nil
}

// check parses a document and changes nothing.
func (s *Server) check(r *http.Request) (any, error) {
	publish, err := s.parse(r)
	if err != nil {
		return nil, err
	}
	return Checked{Changes: len(publish.Changes)}, nil
}

// Checked is the answer to a document that may be published.
type Checked struct {
	Changes int `json:"changes"`
}

func (s *Server) parse(r *http.Request) (jayconfig.Publish, error) {
	text, err := io.ReadAll(io.LimitReader(r.Body, maxDocument+1))
	if err != nil || len(text) > maxDocument {
		return jayconfig.Publish{}, jayerror.Newf("publish", KindInvalid, "document cannot be read or is larger than %d bytes", maxDocument)
	}
	file := r.URL.Query().Get("file")
	if file == "" {
		file = "document"
	}
	publish, err := jayconfig.ParsePublish(file, string(text))
	if err != nil {
		return publish, jayerror.Wrap("publish", KindInvalid, err)
	}
	if r.URL.Query().Get("rebase") == "yes" {
		view := s.Configs.View()
		if view == nil {
			return publish, jayerror.New("publish", KindLog, "instance knows no configuration yet; try again")
		}
		publish = publish.WithBases(view.State().Version)
	}
	return publish.WithOperator(r.Header.Get(HeaderOperator)), nil
}

// verdict waits until the record is read back from the log, which alone decides.
func (s *Server) verdict(ctx context.Context, id jaylog.ID) (jayconfig.Verdict, error) {
	ctx, cancel := context.WithTimeout(ctx, verdictTimeout)
	defer cancel()
	ticker := time.NewTicker(verdictPoll)
	defer ticker.Stop()
	for {
		if view := s.Configs.View(); view != nil {
			if verdict, ok := view.State().Verdict(id); ok {
				return verdict, nil
			}
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return jayconfig.Verdict{}, jayerror.New("publish", KindUnknown,
				"log gave no answer; the change may still come into force: look with jayfield history before publishing again")
		}
	}
}
