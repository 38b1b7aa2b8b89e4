package chart

import (
	"errors"
	"testing"

	qt "github.com/frankban/quicktest"
)

// A Table and a Machine of the same chart must agree on every event in every
// state that has a transition.
func TestTableAgreesWithMachine(t *testing.T) {
	for _, name := range []Name{Target, Node, Call, FailureDomain, Configuration} {
		t.Run(string(name), func(t *testing.T) {
			table := LoadTable(name)
			m := Load(name).New(nil)
			qt.Assert(t, m.Is(table.Initial()), qt.IsTrue)
			for row := range table.next {
				m.machine.SetState(string(row.state))
				for other := range table.next {
					to, err := table.Next(row.state, other.event)
					qt.Assert(t, m.Can(other.event), qt.Equals, err == nil)
					m.machine.SetState(string(row.state))
					_ = m.Send(other.event)
					qt.Assert(t, m.State(), qt.Equals, to)
					m.machine.SetState(string(row.state))
				}
			}
		})
	}
	_, err := LoadTable(Call).Next("done", "place")
	var forbidden *ForbiddenError
	qt.Assert(t, errors.As(err, &forbidden), qt.IsTrue)
}
