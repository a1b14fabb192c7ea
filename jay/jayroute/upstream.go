package jayroute

import (
	"time"

	"jayfield.example/jay/jayconfig"
	"jayfield.example/jay/jayengine"
)

const (
	// initialPrefillPace is the assumed time to prefill one prompt token before any was observed.
	initialPrefillPace = 100 * time.Microsecond
	// initialPace is the assumed time between two output tokens before any was observed.
	initialPace = 20 * time.Millisecond
	// smoothingFactor is the weight of a new observation in an exponential moving average.
	smoothingFactor = 0.2
	// reportTTL is how long a load report is used.
	reportTTL = 5 * time.Second
)

// Upstream is the state of one upstream as observed by this instance.
type Upstream struct {
	name string
	spec *jayconfig.Upstream
	hash uint64

	// running and long count this instance's requests at the upstream, all and long ones.
	// prefill is the number of prompt tokens of those still in prefill, decode the number of
	// predicted output tokens of all of them.
	running, long   int
	prefill, decode int
	// prefillPace and pace are moving averages, in seconds, of the prefill time of one prompt
	// token and of the time between output tokens.
	prefillPace, pace float64
	observed          bool

	report   jayengine.Load
	reported time.Time
	// runningAtReport is the value of running when the report was recorded.
	runningAtReport int
	// reportedByPeers is the number of running requests here that other instances report.
	reportedByPeers int
	// borrowed counts the slots beyond the quota that this instance took since the last update
	// of the other instances' load.
	borrowed int

	leaving       bool
	listedLeaving bool
	hasOrder      bool
	ejectedUntil  time.Time
	ejectionTime  time.Duration
	// stalled counts this instance's streams that stopped producing tokens.
	stalled int
	// slowUntil is the time until which a sign of slowness counts against the upstream: stalled
	// streams, a late first token or the report of another instance.
	slowUntil time.Time
	// slowReported is when this instance last reported the upstream as slow to the others, or
	// received such a report.
	slowReported time.Time
	failures     int
}

func newUpstream(name string, spec *jayconfig.Upstream) *Upstream {
	return &Upstream{name: name, spec: spec, hash: hashName(name), prefillPace: initialPrefillPace.Seconds(), pace: initialPace.Seconds()}
}

// Address returns the base address of the upstream.
func (u *Upstream) Address() string {
	return u.spec.Address
}

// Leaving reports whether the upstream accepts no new work, for whichever reason.
func (u *Upstream) Leaving() bool {
	return u.leaving || u.listedLeaving || u.hasOrder || u.spec.Drain || u.report.Leaving
}

// Name returns the name of the upstream's object.
func (u *Upstream) Name() string {
	return u.name
}

// Pace returns the observed mean time between two output tokens.
func (u *Upstream) Pace() time.Duration {
	return time.Duration(u.pace * float64(time.Second))
}

// role returns the upstream's current role by its newest report, or the configured
// one before any report.
func (u *Upstream) role() jayconfig.Role {
	if u.report.Role != "" {
		return jayconfig.Role(u.report.Role)
	}
	return u.spec.Role
}

// decodes reports whether the upstream generates output, whether or not it also prefills.
func (u *Upstream) decodes() bool {
	return u.role() != jayconfig.RolePrefill
}

// prefillSeconds returns the expected seconds until the work's prompt is prefilled,
// including the prompts queued ahead of it.
func (u *Upstream) prefillSeconds(now time.Time, w Work) float64 {
	ahead := float64(u.prefill)
	if now.Sub(u.reported) <= reportTTL {
		ahead = max(ahead, float64(u.report.Prefill))
	}
	return (ahead + float64(w.Prompt)) * u.prefillPace
}

// Running returns the number of this instance's requests at the upstream.
func (u *Upstream) Running() int {
	return u.running
}

// Spec returns the upstream's configuration.
func (u *Upstream) Spec() *jayconfig.Upstream {
	return u.spec
}

// peerRunning estimates the running work of other instances: the larger of what
// they report and what the upstream reports beyond this instance's work. The
// upstream's report is out of date and includes this instance's work.
func (u *Upstream) peerRunning(now time.Time) int {
	if now.Sub(u.reported) > reportTTL {
		return u.reportedByPeers
	}
	return max(u.reportedByPeers, u.report.Running+u.report.Waiting-u.runningAtReport)
}

// free returns the slots that this instance may still use.
func (u *Upstream) free(now time.Time) int {
	return u.spec.Slots - u.running - u.peerRunning(now)
}

// fitsKV reports whether the reported free KV memory suffices for the work. Without
// a recent report of free memory, the work is assumed to fit.
func (u *Upstream) fitsKV(now time.Time, w Work) bool {
	if now.Sub(u.reported) > reportTTL || u.report.Blocks <= 0 {
		return true
	}
	return jayengine.BlocksOf(w.Tokens()) <= u.report.Blocks
}

// predict returns the expected seconds until the work is complete.
func (u *Upstream) predict(now time.Time, w Work, hit bool) float64 {
	uncached := w
	if hit {
		uncached.Prompt = int(float64(w.Prompt) * missShare)
	}
	seconds := u.prefillSeconds(now, uncached)
	if w.bestPrefill > 0 {
		seconds = min(seconds, w.bestPrefill)
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

// missShare is the fraction of a prompt that is prefilled although its prefix is cached.
const missShare = 0.3
