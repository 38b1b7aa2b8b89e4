package retry

import (
	"testing"

	"zinniafall/policy/proptest"
)

func TestMain(m *testing.M) { proptest.Main(m) }

// BenchmarkCall measures the decisions on one call that is refused once and
// then answered.
func BenchmarkCall(b *testing.B) {
	budget := NewBudget(Options{})
	b.ReportAllocs()
	for b.Loop() {
		a := budget.Begin(start, lookup)
		a.Next(start, refusedCall)
		_ = a.RecordAnswer(start)
		_ = a.RecordEnd(true)
	}
}
