package jayengine

import "jayfield.example/jay/jayerror"

// Kind classifies a failure of an upstream.
type Kind string

// Kinds of failures.
const (
	// KindUnreachable means that no connection was made and nothing was sent.
	KindUnreachable Kind = "unreachable"
	// KindBroken means that the connection ended before the answer was whole.
	KindBroken Kind = "broken"
	// KindSilent means that the connection gave nothing for longer than its bound.
	KindSilent Kind = "silent"
	// KindLeaving means that the upstream takes no new work; the work did not run.
	KindLeaving Kind = "leaving"
	// KindBusy means that the upstream is full; the work did not run.
	KindBusy Kind = "busy"
	// KindRefused means that the upstream refused the request itself.
	KindRefused Kind = "refused"
	// KindCrossed means that an event belongs to another request or offset.
	KindCrossed Kind = "crossed"
	// KindFence means that the engine refused an old fencing number.
	KindFence Kind = "fence"
)

// Error is the error type of the package.
type Error = jayerror.Error[Kind]
