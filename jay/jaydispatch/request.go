package jaydispatch

import (
	"time"

	"jayfield.example/jay/jayconfig"
	"jayfield.example/jay/jayqueue"
	"jayfield.example/jay/jayroute"
)

// Request is a request for an upstream.
type Request struct {
	// Pool is the name of the route or service object.
	Pool string
	// Model is the model of the work, empty for plain services.
	Model    string
	Caller   string
	Weight   int
	Priority jayconfig.Priority
	// Deadline is when the response must be complete; zero means no deadline.
	Deadline time.Time
	Work     jayroute.Work
	// Avoid names an upstream that has already failed the work, or is empty.
	Avoid string
	// Prefer names an upstream that already holds the work, or is empty. It is
	// granted without queueing unless it is leaving.
	Prefer string
	// NoWait refuses the request instead of queueing it.
	NoWait bool
}

// Grant assigns an upstream to one piece of work until it is released.
type Grant struct {
	// Upstream and Address name the upstream.
	Upstream, Address string
	Region            string
	// Waited is the time spent in the queue.
	Waited time.Duration
	// Pace is the upstream's observed time between tokens.
	Pace time.Duration
	// ExpectedFirstToken is the predicted time to the first token.
	ExpectedFirstToken time.Duration

	pool        string
	upstream    *jayroute.Upstream
	work        jayroute.Work
	tokensAhead int
}

// Result classifies how granted work ended.
type Result string

// Results of granted work.
const (
	ResultDone Result = "done"
	// ResultFailed means that the upstream could not be reached, was busy, broke the
	// connection or timed out.
	ResultFailed Result = "failed"
	// ResultLeaving means that the upstream reported that it takes no new work.
	ResultLeaving Result = "leaving"
	// ResultUnused means that the end of the work is no evidence about the upstream: it
	// was not sent, cancelled, refused as invalid, a lost hedge or only a prefill.
	ResultUnused Result = "unused"
)

// waiter is a request that waits for its grant.
type waiter struct {
	request Request
	reply   chan reply
	item    *jayqueue.Item[*waiter]
	queue   *jayqueue.Queue[*waiter]
	grant   *Grant
}

type reply struct {
	grant Grant
	err   error
}
