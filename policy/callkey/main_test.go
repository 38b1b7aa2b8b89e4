package callkey

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property tests, which flags can override.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20300501", "rapid.checks": "400", "rapid.steps": "60", "rapid.shrinktime": "3s", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}
