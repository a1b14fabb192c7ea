// Package jayseed fixes the seeds of randomised tests, so that every run gives the same verdict.
package jayseed

import (
	"flag"
	"testing"
)

// Defaults of the runs, for flags that the command line does not set.
const (
	defaultSeed  = "1"
	defaultSteps = "1000"
)

// Main runs a package's tests with the seed and the length of the flags
// -rapid.seed and -rapid.steps, or the default ones.
func Main(m *testing.M) int {
	flag.Parse()
	given := make(map[string]bool)
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": defaultSeed, "rapid.steps": defaultSteps} {
		if !given[name] && flag.Lookup(name) != nil {
			_ = flag.Set(name, value)
		}
	}
	return m.Run()
}
