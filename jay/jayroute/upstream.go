package jayroute

import (
	"time"

	"jayfield.example/jay/jayconfig"
	"jayfield.example/jay/jayengine"
)

const (
	// firstLead is the assumed time to read one prompt token before any was observed.
	firstLead = 100 * time.Microsecond
	// firstPace is the assumed time between two tokens before any was observed.
	firstPace = 20 * time.Millisecond
	// weightNew is the share of a new observation in a moving average.
	weightNew = 0.2
	// reportTrust is how long a load report is used.
	reportTrust = 5 * time.Second
)

// Upstream is the state of one back end as this instance sees it.
type Upstream struct {
	name string
	spec *jayconfig.Upstream
	hash uint64

	// running, long, prefill and decode are this instance's own work.
	running, long   int
	prefill, decode int
	// lead and pace are moving averages of seconds for a prompt token and between tokens.
	lead, pace float64
	observed   bool

	report   jayengine.Load
	reported time.Time
	// ownThen is this instance's own running work when the report was measured.
	ownThen int
	// others is the work that other instances say they run here.
	others int
	// taken counts the slots beyond the own part that this instance took since it last heard of others.
	taken int

	leaving  bool
	listed   bool
	ordered  bool
	ejected  time.Time
	ejection time.Duration
	// stalled counts own streams that stopped giving tokens.
	stalled int
	// slow is until when a stalled stream or a late first token counts against the upstream.
	slow time.Time
	// told is when this instance last told the others of it, or heard it from one.
	told     time.Time
	failures int
}

func newUpstream(name string, spec *jayconfig.Upstream) *Upstream {
	return &Upstream{name: name, spec: spec, hash: hashName(name), lead: firstLead.Seconds(), pace: firstPace.Seconds()}
}

// Address returns the base address of the upstream.
func (u *Upstream) Address() string {
	return u.spec.Address
}

// Leaving reports whether the upstream takes no new work, for any of the reasons known.
func (u *Upstream) Leaving() bool {
	return u.leaving || u.listed || u.ordered || u.spec.Drain || u.report.Leaving
}

// Name returns the name of the upstream's object.
func (u *Upstream) Name() string {
	return u.name
}

// Pace returns the observed time between two tokens.
func (u *Upstream) Pace() time.Duration {
	return time.Duration(u.pace * float64(time.Second))
}

// role is the part of the work that the upstream does now, by its newest report.
func (u *Upstream) role() jayconfig.Role {
	if u.report.Role != "" {
		return jayconfig.Role(u.report.Role)
	}
	return u.spec.Role
}

// hosts reports whether the upstream gives whole answers.
func (u *Upstream) hosts() bool {
	return u.role() != jayconfig.RolePrefill
}

// reading returns the expected seconds to read the work's prompt, after those ahead of it.
func (u *Upstream) reading(now time.Time, w Work) float64 {
	ahead := float64(u.prefill)
	if now.Sub(u.reported) <= reportTrust {
		ahead = max(ahead, float64(u.report.Prefill))
	}
	return (ahead + float64(w.Prompt)) * u.lead
}

// Running returns the number of this instance's requests at the upstream.
func (u *Upstream) Running() int {
	return u.running
}

// Spec returns the upstream's configuration.
func (u *Upstream) Spec() *jayconfig.Upstream {
	return u.spec
}

// elsewhere estimates the work of other instances: the newer of their own
// statements and the upstream's report, which is late and includes ours.
func (u *Upstream) elsewhere(now time.Time) int {
	if now.Sub(u.reported) > reportTrust {
		return u.others
	}
	return max(u.others, u.report.Running+u.report.Waiting-u.ownThen)
}

// free returns the slots that this instance may still use.
func (u *Upstream) free(now time.Time) int {
	return u.spec.Slots - u.running - u.elsewhere(now)
}

// fits reports whether KV memory for the work is left as far as reported.
func (u *Upstream) fits(now time.Time, w Work) bool {
	if now.Sub(u.reported) > reportTrust || u.report.Pieces <= 0 {
		return true
	}
	return jayengine.Pieces(w.Tokens()) <= u.report.Pieces
}

// predict returns the expected seconds until the work is complete.
func (u *Upstream) predict(now time.Time, w Work, hit bool) float64 {
	reading := w
	if hit {
		reading.Prompt = int(float64(w.Prompt) * missShare)
	}
	seconds := u.reading(now, reading)
	if w.partner > 0 {
		seconds = min(seconds, w.partner)
	}
	seconds += float64(w.Output) * u.pace
	if busy := -u.free(now) + 1; busy > 0 {
		perSlot := float64(u.decode) * u.pace / float64(max(1, u.running))
		seconds += float64(busy) * perSlot / float64(u.spec.Slots)
	}
	if u.slowed(now) {
		seconds *= 1 + slowRatio
	}
	return seconds
}

// missShare is the part of a prompt that is read although its prefix is cached.
const missShare = 0.3
