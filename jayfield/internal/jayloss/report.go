// Package jayloss sums up, from the log lines of all instances, which requests were not served or were late,
// and where the time went. It does no I/O beyond its reader.
package jayloss

import (
	"bufio"
	"cmp"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
	"github.com/pkg/errors"

	"jayfield.example/jay/jayerror"
)

// Kind classifies an error of the package.
type Kind string

// KindRead means that a log cannot be read.
const KindRead Kind = "read"

// Error is the error type of the package.
type Error = jayerror.Error[Kind]

// Cause is the phase of a request in which it was lost or became late.
type Cause string

// Causes in the order of a request's phases.
const (
	// CauseAdmission means that the request was refused or failed before it was sent to an upstream.
	CauseAdmission Cause = "admission"
	// CausePrefill means that the prompt was not prefilled in time.
	CausePrefill Cause = "prefill"
	// CauseHandover means that the decode engine did not produce the first event in time after
	// remote prefill.
	CauseHandover Cause = "handover"
	// CausePause means that a pause between two events was too long.
	CausePause Cause = "pause"
	// CauseDeadline means that the deadline passed, or the caller left, after the first event.
	CauseDeadline Cause = "deadline"
	// CauseUpstream means that the upstream itself answered with an error.
	CauseUpstream Cause = "upstream"
	// CauseCut means that the connection to the upstream or its answer was cut off.
	CauseCut Cause = "cut"
	// CausePlain means that a plain service answered late or not at all.
	CausePlain Cause = "service"
)

// Loss is a request that was not served or was late.
type Loss struct {
	Request string `json:"request"`
	Key
}

// Key is what losses are grouped by.
type Key struct {
	Route   string `json:"route"`
	Account string `json:"account,omitempty"`
	Zone    string `json:"zone,omitempty"`
	Cause   Cause  `json:"cause"`
	// Late is set if the request was served after its latency objective, and not set if it was not served.
	Late bool `json:"late"`
}

// Row is the number of losses of a group, with the ID of the first one.
type Row struct {
	Key
	Count int    `json:"count"`
	First string `json:"first"`
}

// Report is what log lines state about requests.
type Report struct {
	// Requests is the number of requests that ended, Losses are those of them that were not served or late.
	Requests int    `json:"requests"`
	Losses   []Loss `json:"-"`
	zones    map[string]string
}

// maxLineBytes bounds a log line.
const maxLineBytes = 1 << 20

// NewReport returns a report on no lines.
func NewReport() *Report {
	return &Report{zones: make(map[string]string)}
}

// Add reads the log of an instance, or of several with the name of the instance before each line.
func (r *Report) Add(source io.Reader) error {
	scanner := bufio.NewScanner(source)
	scanner.Buffer(nil, maxLineBytes)
	zone := ""
	for scanner.Scan() {
		prefix, text, ok := strings.Cut(scanner.Text(), "time=")
		if !ok {
			continue
		}
		l := parse("time=" + text)
		instance := ""
		if words := strings.Fields(prefix); len(words) > 0 {
			instance = words[len(words)-1]
		}
		if l.text("msg") == "instance started" {
			zone = l.text("zone")
			r.zones[instance] = zone
		}
		if of, known := r.zones[instance]; known {
			zone = of
		}
		r.add(l, zone)
	}
	if err := scanner.Err(); err != nil {
		return jayerror.Wrap("add", KindRead, errors.WithStack(err))
	}
	return nil
}

// add counts a request that ended and, if it is one, its loss.
func (r *Report) add(l line, zone string) {
	served := l.text("msg") == "request served"
	if !served && l.text("msg") != "request not served" || l.text("route") == "" {
		return
	}
	r.Requests++
	cause, lost := l.lateCause(), true
	if served {
		lost = cause != ""
	} else {
		cause = l.failureCause()
	}
	if lost {
		key := Key{Route: l.text("route"), Account: l.text("account"), Zone: zone, Cause: cause, Late: served}
		r.Losses = append(r.Losses, Loss{Request: l.text("request"), Key: key})
	}
}

// Rows returns the losses grouped by what group keeps of a key, the largest group first.
func (r *Report) Rows(group func(Key) Key) []Row {
	rows := make(map[Key]Row)
	for _, loss := range r.Losses {
		key := group(loss.Key)
		row, ok := rows[key]
		if !ok {
			row = Row{Key: key, First: loss.Request}
		}
		row.Count++
		rows[key] = row
	}
	list := make([]Row, 0, len(rows))
	for _, row := range rows {
		list = append(list, row)
	}
	slices.SortFunc(list, func(a, b Row) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Route, b.Route), cmp.Compare(a.Account, b.Account),
			cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Cause, b.Cause), cmp.Compare(a.First, b.First))
	})
	return list
}

// line holds the fields of a log line.
type line map[string]string

// parse returns the fields of a line. A malformed line has those before its fault.
func parse(text string) line {
	l := make(line)
	decoder := logfmt.NewDecoder(strings.NewReader(text))
	for decoder.ScanRecord() {
		for decoder.ScanKeyval() {
			l[string(decoder.Key())] = string(decoder.Value())
		}
	}
	return l
}

func (l line) text(name string) string {
	return l[name]
}

// duration returns a time, 0 if the line has none.
func (l line) duration(name string) time.Duration {
	d, err := time.ParseDuration(l[name])
	if err != nil {
		return 0
	}
	return d
}

// prompt reports whether the request had a prompt: only their lines state whether prefill was remote.
func (l line) prompt() bool {
	_, ok := l["apart"]
	return ok
}

// lateCause returns why a served request was late, empty if it was not.
func (l line) lateCause() Cause {
	target := l.duration("target")
	switch {
	case target <= 0:
		return ""
	case !l.prompt() && l.duration("took") > target:
		return CausePlain
	case !l.prompt():
		return ""
	case l.duration("first") > target && l.duration("read") > target/2:
		return CausePrefill
	case l.duration("first") > target && l.text("apart") == "true":
		return CauseHandover
	case l.duration("first") > target:
		return CausePrefill
	case l.duration("gap") > 0 && l.duration("pause") > l.duration("gap"):
		return CausePause
	}
	return ""
}

// failureCause returns the phase in which a request that was not served ended.
func (l line) failureCause() Cause {
	reason := l.text("error")
	switch {
	case l.text("sends") == "0" && l.duration("first") == 0 && l.text("host") == "":
		return CauseAdmission
	case strings.Contains(reason, "upstream failed with"):
		return CauseUpstream
	case !endedInTime(reason):
		return CauseCut
	case l.duration("first") > 0:
		return CauseDeadline
	case !l.prompt():
		return CausePlain
	case l.text("apart") == "true" && l.text("host") != "":
		return CauseHandover
	default:
		return CausePrefill
	}
}

// endedInTime reports whether a request ended by its deadline or because its caller left.
func endedInTime(reason string) bool {
	return strings.Contains(reason, ": time:") || strings.Contains(reason, ": gone:")
}
