package retry

import "testing"

// BenchmarkCall is the cost of the decisions on one call that is answered.
func BenchmarkCall(b *testing.B) {
	budget := NewBudget(Options{})
	b.ReportAllocs()
	for b.Loop() {
		a := budget.Begin(start, lookup)
		_ = a.Answered(start)
		_ = a.Ended(true)
	}
}

// BenchmarkRefusedOnce adds one refusal and another try.
func BenchmarkRefusedOnce(b *testing.B) {
	budget := NewBudget(Options{})
	b.ReportAllocs()
	for b.Loop() {
		a := budget.Begin(start, lookup)
		a.Next(start, refusedCall)
		_ = a.Answered(start)
		_ = a.Ended(true)
	}
}
