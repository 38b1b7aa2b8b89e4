// Package proptest runs the tests of a package with a fixed seed for its
// property tests, so that every run has the same result.
package proptest

import (
	"flag"
	"os"
	"testing"

	// Imported to register the flags that Main sets.
	_ "pgregory.net/rapid"
)

// Main runs the tests; a package's TestMain calls it. It sets the seed, the
// number of cases and of steps in each, and a time limit on shrinking a failing
// case, and disables fail files. Flags on the command line override these
// settings.
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
