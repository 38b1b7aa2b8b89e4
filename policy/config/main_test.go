package config

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed rapid seed unless one is given, so that runs are
// reproducible.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == seed.DefValue {
		_ = flag.Set("rapid.seed", "5")
	}
	os.Exit(m.Run())
}
