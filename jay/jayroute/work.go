// Package jayroute picks the upstream that serves a request.
//
// Decisions are deterministic: they depend only on the time, the table's state
// and a seeded random number generator. A table is not safe for concurrent use:
// a single goroutine owns it and calls its methods.
package jayroute

// Work describes a request before it runs.
type Work struct {
	// Prompt and Output are numbers of tokens; the output is predicted.
	Prompt, Output int
	// Prefix identifies the beginning of the prompt, 0 where there is none.
	Prefix uint64
	// Long marks work that takes many times longer than the rest.
	Long bool
	// Urgent marks work of the highest priority.
	Urgent bool
	// Region is the region in which the request arrived.
	Region string
	// bestPrefill is the least expected seconds to prefill the prompt among the near
	// upstreams with the prefill role, 0 for none.
	bestPrefill float64
	// Avoid is an upstream that must not be picked, because it failed the work already.
	Avoid *Upstream
}

// Tokens returns the number of tokens that the work holds in KV memory.
func (w Work) Tokens() int {
	return w.Prompt + w.Output
}
