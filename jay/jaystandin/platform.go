// Package jaystandin holds small stand-ins for what surrounds the system: the
// platform's log and instance list, model engines and plain services. They
// serve tests, the demonstration and measurements.
package jaystandin

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/uptrace/bunrouter"
	"github.com/vmihailenco/msgpack/v5"

	"jayfield.example/jay/jaylist"
	"jayfield.example/jay/jaylog"
)

const (
	// batchLimit bounds the records of one read.
	batchLimit = 1000
	// maxRecordBytes bounds a record.
	maxRecordBytes = 8 << 20
)

// Faults are the ways in which the stand-in platform misbehaves.
type Faults struct {
	// Down refuses every request, LogDown those to the log only.
	Down, LogDown bool
	// Latency is added before a record takes effect and before each reply to an append.
	Latency time.Duration
	// LoseReplies is the number of appends that take effect without a reply.
	LoseReplies int
}

// Platform is the stand-in log and instance list. It is safe for concurrent use.
type Platform struct {
	mu      sync.Mutex
	streams map[jaylog.Stream]*stream
	list    map[string]jaylist.Instance
	faults  Faults
	appends int
}

// NewPlatform returns a platform with empty streams and an empty list.
func NewPlatform() *Platform {
	return &Platform{streams: make(map[jaylog.Stream]*stream), list: make(map[string]jaylist.Instance)}
}

// Appends returns the number of records that took effect.
func (p *Platform) Appends() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.appends
}

// End returns the offset after the last record of a stream.
func (p *Platform) End(name jaylog.Stream) int64 {
	batch, _ := p.stream(name).read(0, 0)
	return batch.End
}

// Expire drops the records of a stream before an offset.
func (p *Platform) Expire(name jaylog.Stream, before int64) {
	p.stream(name).expire(before)
}

// Handler returns the platform's HTTP interface.
func (p *Platform) Handler() http.Handler {
	router := bunrouter.New()
	router.GET("/v1/streams/:name", p.read)
	router.POST("/v1/streams/:name", p.append)
	router.GET("/v1/instances", p.getList)
	router.PUT("/v1/instances/:name", p.putInstance)
	router.DELETE("/v1/instances/:name", p.deleteInstance)
	return router
}

// List puts an instance on the list.
func (p *Platform) List(instance jaylist.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.list[instance.Name] = instance
}

// SetFaults replaces the platform's faults.
func (p *Platform) SetFaults(faults Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = faults
}

// Unlist takes an instance off the list.
func (p *Platform) Unlist(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.list, name)
}

func (p *Platform) append(w http.ResponseWriter, r bunrouter.Request) error {
	faults := p.currentFaults()
	var record jaylog.Record
	data, err := io.ReadAll(io.LimitReader(r.Body, maxRecordBytes))
	if faults.Down || faults.LogDown || err != nil || msgpack.Unmarshal(data, &record) != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return err
	}
	time.Sleep(faults.Latency)
	offset, ok := p.stream(jaylog.Stream(r.Param("name"))).append(record, r.URL.Query().Get("at"))
	if !ok {
		w.WriteHeader(http.StatusPreconditionFailed)
		return nil
	}
	if p.countAppend() {
		panic(http.ErrAbortHandler)
	}
	time.Sleep(faults.Latency)
	return reply(w, http.StatusOK, map[string]int64{"o": offset})
}

// countAppend counts a record and reports whether its reply is to be lost.
func (p *Platform) countAppend() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.appends++
	if p.faults.LoseReplies == 0 {
		return false
	}
	p.faults.LoseReplies--
	return true
}

func (p *Platform) currentFaults() Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

func (p *Platform) deleteInstance(_ http.ResponseWriter, r bunrouter.Request) error {
	p.Unlist(r.Param("name"))
	return nil
}

func (p *Platform) getList(w http.ResponseWriter, _ bunrouter.Request) error {
	p.mu.Lock()
	list := make([]jaylist.Instance, 0, len(p.list))
	for _, instance := range p.list {
		list = append(list, instance)
	}
	down := p.faults.Down
	p.mu.Unlock()
	if down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return nil
	}
	slices.SortFunc(list, func(a, b jaylist.Instance) int { return strings.Compare(a.Name, b.Name) })
	return json.NewEncoder(w).Encode(list)
}

func (p *Platform) putInstance(w http.ResponseWriter, r bunrouter.Request) error {
	var instance jaylist.Instance
	if err := json.NewDecoder(io.LimitReader(r.Body, maxRecordBytes)).Decode(&instance); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return errors.WithStack(err)
	}
	p.List(instance)
	return nil
}

func (p *Platform) read(w http.ResponseWriter, r bunrouter.Request) error {
	from, err := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return errors.WithStack(err)
	}
	wait, err := time.ParseDuration(r.URL.Query().Get("wait"))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return errors.WithStack(err)
	}
	if faults := p.currentFaults(); faults.Down || faults.LogDown {
		w.WriteHeader(http.StatusServiceUnavailable)
		return nil
	}
	s := p.stream(jaylog.Stream(r.Param("name")))
	batch, grown := s.read(from, batchLimit)
	if from < batch.Oldest {
		return reply(w, http.StatusGone, batch)
	}
	if len(batch.Entries) == 0 && wait > 0 {
		select {
		case <-grown:
		case <-time.After(wait):
		case <-r.Context().Done():
		}
		batch, _ = s.read(from, batchLimit)
	}
	return reply(w, http.StatusOK, batch)
}

func (p *Platform) stream(name jaylog.Stream) *stream {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.streams[name]
	if !ok {
		s = newStream()
		p.streams[name] = s
	}
	return s
}

func reply(w http.ResponseWriter, status int, value any) error {
	data, err := msgpack.Marshal(value)
	if err != nil {
		return err
	}
	w.WriteHeader(status)
	_, err = w.Write(data)
	return err
}
