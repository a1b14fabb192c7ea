package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// record writes what was sent, answered and run, with the seconds since the start.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
	// runs holds the runs of each request by its id.
	runs map[string][]run
}

type run struct {
	engine, service string
	at              time.Time
}

func newRecord(dir string) (*record, error) {
	file, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &record{file: file, began: time.Now(), runs: make(map[string][]run)}, nil
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write(fmt.Sprintf(format, args...))
}

func (r *record) write(text string) {
	_, _ = fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.began).Seconds(), text)
}

// run records that an engine begins to work on a request.
func (r *record) run(request, engine, service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[request] = append(r.runs[request], run{engine, service, time.Now()})
	r.write(fmt.Sprintf("request %s reaches engine %s of %s and runs", request, engine, service))
}

func (r *record) allRuns() map[string][]run {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := make(map[string][]run, len(r.runs))
	for id, runs := range r.runs {
		all[id] = append([]run{}, runs...)
	}
	return all
}

// since returns a time as seconds since the start.
func (r *record) since(t time.Time) float64 {
	return t.Sub(r.began).Seconds()
}
