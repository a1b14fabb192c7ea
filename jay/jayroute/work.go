// Package jayroute decides which upstream serves a piece of work.
//
// Decisions are pure: they depend on the time, the table's state and a seeded
// source. One task owns a table and calls its methods.
package jayroute

// Work is what is known of a request before it runs.
type Work struct {
	// Prompt and Output are tokens; the output is predicted.
	Prompt, Output int
	// Prefix identifies the beginning of the prompt, 0 where there is none.
	Prefix uint64
	// Long marks work that takes many times longer than the rest.
	Long bool
	// Urgent marks work of the highest priority.
	Urgent bool
	// Region is where the work came in.
	Region string
	// partner is the seconds to read the prompt at the best of the near engines that read, 0 for none.
	partner float64
	// Avoid is an upstream that has failed the work already.
	Avoid *Upstream
}

// Tokens returns the tokens that the work takes in KV memory.
func (w Work) Tokens() int {
	return w.Prompt + w.Output
}
