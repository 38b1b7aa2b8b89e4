package chart

import (
	"errors"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestLoadEveryChart(t *testing.T) {
	for _, name := range []Name{Target, Node, Call, FailureDomain, Configuration} {
		t.Run(string(name), func(t *testing.T) {
			m := Load(name).New(nil)
			qt.Assert(t, string(m.State()), qt.Not(qt.Equals), "")
		})
	}
}

func TestForbiddenEventKeepsState(t *testing.T) {
	var reported *ForbiddenError
	m := Load(Target).New(func(e *ForbiddenError) { reported = e })
	err := m.Send("ramped")
	var forbidden *ForbiddenError
	qt.Assert(t, errors.As(err, &forbidden), qt.IsTrue)
	qt.Assert(t, reported, qt.Equals, forbidden)
	qt.Assert(t, m.State(), qt.Equals, State("absent"))
}

func TestSelfTransitionIsNotAnError(t *testing.T) {
	m := Load(Target).New(nil)
	qt.Assert(t, m.Send("announced_cold"), qt.IsNil)
	qt.Assert(t, m.Send("announced_cold"), qt.IsNil)
	qt.Assert(t, m.Is("cold"), qt.IsTrue)
}

func BenchmarkSend(b *testing.B) {
	m := Load(Target).New(nil)
	for b.Loop() {
		_ = m.Send("announced_cold")
	}
}
