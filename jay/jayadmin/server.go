// Package jayadmin serves operators: they publish and read configuration and
// look at an instance's state. It never steers a single request.
package jayadmin

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"expvar"
	"log/slog"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/uptrace/bunrouter"

	"jayfield.example/jay/jayconfig"
	"jayfield.example/jay/jaydispatch"
	"jayfield.example/jay/jayerror"
	"jayfield.example/jay/jaylog"
	"jayfield.example/jay/jaymetric"
	"jayfield.example/jay/jayroute"
	"jayfield.example/jay/jaystate"
)

// HeaderOperator names the operator who publishes.
const HeaderOperator = "Jay-Operator"

// maxDocument bounds a published document in bytes.
const maxDocument = 4 << 20

// Configs gives the configuration in force.
type Configs interface {
	Position() int64
	View() *jayconfig.View
}

// Members tells how far the configuration is in force.
type Members interface {
	InForce(offset int64) (inForce, live int)
}

// Appender appends to the log.
type Appender interface {
	Append(ctx context.Context, stream jaylog.Stream, record jaylog.Record) (int64, error)
}

// Explainer tells why work would go where it goes.
type Explainer interface {
	Explain(ctx context.Context, request jaydispatch.Request) ([]jayroute.Reason, error)
}

// Options are what a server is made of.
type Options struct {
	Key       string
	Configs   Configs
	Members   Members
	Appender  Appender
	Writer    *jaylog.Writer
	Explainer Explainer
	State     *jaystate.Collector
	Metrics   *jaymetric.Set
	Log       *slog.Logger
}

// Server is the operators' side of an instance.
type Server struct {
	Options
}

// NewServer returns a server.
func NewServer(options Options) *Server {
	return &Server{Options: options}
}

// Handler returns the HTTP interface for operators.
func (s *Server) Handler() http.Handler {
	router := bunrouter.New()
	router.POST("/v1/publish", s.serve(s.publish))
	router.POST("/v1/check", s.serve(s.check))
	router.GET("/v1/config", s.serve(s.config))
	router.GET("/v1/history", s.serve(s.history))
	router.GET("/v1/inforce", s.serve(s.inForce))
	router.GET("/v1/state", s.serve(s.state))
	router.GET("/v1/explain", s.serve(s.explain))
	router.GET("/debug/vars", s.serve(s.vars))
	return router
}

// handler answers a request of an authenticated operator with a value.
type handler func(r *http.Request) (any, error)

// problem is the answer to a failed request.
type problem struct {
	Kind  Kind   `json:"kind"`
	Error string `json:"error"`
}

func (s *Server) serve(handle handler) bunrouter.HandlerFunc {
	return func(w http.ResponseWriter, r bunrouter.Request) error {
		value, err := s.answer(r.Request, handle)
		w.Header().Set("Content-Type", "application/json")
		if err == nil {
			return json.NewEncoder(w).Encode(value)
		}
		kind := KindInvalid
		var own *Error
		if errors.As(err, &own) {
			kind = own.Kind
		}
		s.Log.Info("operator request failed", "path", r.URL.Path, "kind", kind, "error", err)
		w.WriteHeader(statusOf(kind))
		return json.NewEncoder(w).Encode(problem{Kind: kind, Error: err.Error()})
	}
}

func (s *Server) answer(r *http.Request, handle handler) (any, error) {
	key, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	got, want := sha256.Sum256([]byte(key)), sha256.Sum256([]byte(s.Key))
	if subtle.ConstantTimeCompare(got[:], want[:]) != 1 {
		return nil, jayerror.New("authenticate", KindAuth, "operator's key is wrong; give it with --key or JAYFIELD_KEY")
	}
	return handle(r)
}

func statusOf(kind Kind) int {
	switch kind {
	case KindAuth:
		return http.StatusUnauthorized
	case KindInvalid:
		return http.StatusBadRequest
	case KindMissing:
		return http.StatusNotFound
	case KindLog, KindUnknown:
		return http.StatusServiceUnavailable
	}
	return http.StatusInternalServerError
}

// vars answers with the counters.
func (s *Server) vars(*http.Request) (any, error) {
	values := make(map[string]json.RawMessage)
	s.Metrics.Map().Do(func(kv expvar.KeyValue) {
		values[kv.Key] = json.RawMessage(kv.Value.String())
	})
	return values, nil
}

// state answers with the instance's state.
func (s *Server) state(r *http.Request) (any, error) {
	return s.State.Collect(r.Context()), nil
}

const (
	// appendTimeout bounds the append of a publish.
	appendTimeout = 15 * time.Second
	// verdictTimeout bounds the wait for the verdict on a record.
	verdictTimeout = 15 * time.Second
	// verdictPoll is how often the verdict is looked for.
	verdictPoll = 10 * time.Millisecond
)
