package rollout

import (
	"runtime/debug"
	"testing"

	"zinniafall/policy/proptest"
)

func TestMain(m *testing.M) {
	debug.SetGCPercent(800) // at 100, collecting the replays' garbage takes a quarter of the time
	proptest.Main(m)
}
