package jaystandin

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/tidwall/gjson"
)

// ServiceFaults are the ways in which a stand-in service misbehaves.
type ServiceFaults struct {
	// Delay is the time before the work of each call runs.
	Delay time.Duration
	// BreakAfterRun is the number of calls whose work runs and whose connection then breaks.
	BreakAfterRun int
	// Leaving refuses new work.
	Leaving bool
}

// Service is a stand-in plain service that takes orders and counts how often each ran.
type Service struct {
	mu     sync.Mutex
	runs   map[string]int
	number int
	begun  int
	faults ServiceFaults
}

// Receipt is the service's answer to an order.
type Receipt struct {
	Number int    `json:"number"`
	Order  string `json:"order"`
}

// Stock is the service's answer to a question.
type Stock struct {
	Path  string `json:"path"`
	Count int    `json:"stock"`
}

// Begun returns how many orders have reached the service. Queries, such as
// those of a poller for its load, are not counted.
func (s *Service) Begun() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.begun
}

// NewService returns a service that has run nothing.
func NewService() *Service {
	return &Service{runs: make(map[string]int)}
}

// Runs returns how often the work of an order ran.
func (s *Service) Runs(order string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[order]
}

// Total returns how much work ran.
func (s *Service) Total() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.number
}

// ServeHTTP runs an order for POST and answers a stock question for GET.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxRecordBytes))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	faults := s.begin(r.Method != http.MethodGet)
	if faults.Leaving {
		w.Header().Set("X-Leaving", "yes")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	time.Sleep(faults.Delay)
	w.Header().Set("Content-Type", "application/json")
	if r.Method == http.MethodGet {
		s.reply(w, Stock{Path: r.URL.Path, Count: len(r.URL.Path)})
		return
	}
	order := gjson.GetBytes(body, "order").String()
	receipt, broken := s.run(order)
	if broken {
		panic(http.ErrAbortHandler)
	}
	s.reply(w, receipt)
}

// SetFaults replaces the service's faults.
func (s *Service) SetFaults(faults ServiceFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

func (s *Service) begin(order bool) ServiceFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	if order {
		s.begun++
	}
	return s.faults
}

func (s *Service) reply(w http.ResponseWriter, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(data)
}

func (s *Service) run(order string) (Receipt, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[order]++
	s.number++
	broken := s.faults.BreakAfterRun > 0
	if broken {
		s.faults.BreakAfterRun--
	}
	return Receipt{Number: s.number, Order: order}, broken
}
