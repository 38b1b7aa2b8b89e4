// Package proptest runs the tests of a package with a fixed seed for its
// property tests, so that each run has the same verdict.
package proptest

import (
	"flag"
	"os"
	"testing"

	// Registers the flags that Main sets.
	_ "pgregory.net/rapid"
)

// Main is called by a package's TestMain. Flags on the command line override
// what it sets: a seed, the number of cases and of steps in each, and a bound
// on the search for a smaller failing case.
func Main(m *testing.M) {
	settings := map[string]string{
		"rapid.seed":       "20300501",
		"rapid.checks":     "400",
		"rapid.steps":      "60",
		"rapid.shrinktime": "3s",
		"rapid.nofailfile": "true",
	}
	for name, value := range settings {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}
