package distribution

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestConfigurationIsOverdueByItsLastConfirmation guards against a node that is told of a newer
// configuration long after its acknowledgement, and serves calls by the old one until the
// bound has passed since it was told.
func TestConfigurationIsOverdueByItsLastConfirmation(t *testing.T) {
	const told = 2 * time.Second
	for _, test := range []struct {
		name      string
		confirmed time.Duration // before the start; 0 for none
		now       time.Duration
		overdue   bool
	}{
		{"within the bound of the confirmation", 50 * time.Millisecond, told, false},
		{"at the bound of the confirmation", 50 * time.Millisecond, applyBound, true},
		{"told right after a confirmation", -told, told + time.Second, false},
		{"never confirmed", 0, told + time.Second, false},
		{"never confirmed, told long ago", 0, told + applyBound, true},
		{"confirmed before a silence of the store", time.Minute, told + 100*time.Millisecond, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			p := NewPuller(1)
			if test.confirmed != 0 {
				p.Confirm(start.Add(-test.confirmed), 1, 1)
			}
			p.Report(start.Add(told), "a", true, 2, 1)
			qt.Assert(t, p.Overdue(start.Add(test.now), 1, applyBound), qt.Equals, test.overdue)
			qt.Assert(t, p.Overdue(start.Add(test.now), 2, applyBound), qt.IsFalse)
		})
	}
}
