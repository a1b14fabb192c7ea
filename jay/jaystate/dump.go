// Package jaystate collects the state of every part of an instance on request.
package jaystate

import (
	"context"
	"encoding/json"
	"time"
)

// Part gives a part's state for a dump; the state must encode as JSON.
type Part struct {
	Name string
	Dump func(ctx context.Context) any
}

// Section is the state of one part.
type Section struct {
	Part  string `json:"part"`
	State any    `json:"state"`
}

// Dump is the state of an instance at one time.
type Dump struct {
	At time.Time `json:"at"`
	// Age is how long the instance has run.
	Age      time.Duration `json:"age"`
	Sections []Section     `json:"parts"`
}

// Collector collects dumps.
type Collector struct {
	start time.Time
	parts []Part
}

// NewCollector returns a collector for an instance that starts now.
func NewCollector(parts ...Part) *Collector {
	return &Collector{start: time.Now(), parts: parts}
}

// Collect asks every part for its state.
func (c *Collector) Collect(ctx context.Context) Dump {
	now := time.Now()
	dump := Dump{At: now, Age: now.Sub(c.start)}
	for _, part := range c.parts {
		dump.Sections = append(dump.Sections, Section{Part: part.Name, State: part.Dump(ctx)})
	}
	return dump
}

// JSON returns the dump as one line of JSON.
func (d Dump) JSON() ([]byte, error) {
	return json.Marshal(d)
}
