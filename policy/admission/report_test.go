package admission

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestDecayServiceTime(t *testing.T) {
	const service = 160 * time.Millisecond
	cases := []struct {
		name string
		idle time.Duration
		want time.Duration
	}{
		{"busy", 10 * time.Millisecond, service},
		{"one half-life is no sign yet", decayHalfLife, service},
		{"halved", 2 * decayHalfLife, service / 2},
		{"an eighth", 4 * decayHalfLife, service / 8},
		{"unknown after long", time.Minute, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			qt.Assert(t, DecayServiceTime(service, c.idle), qt.Equals, c.want)
		})
	}
}
