package chart

import (
	"errors"
	"testing"

	qt "github.com/frankban/quicktest"
)

// A table and a machine of the same chart agree on every event in every state
// that the machine reaches.
func TestTableAgreesWithMachine(t *testing.T) {
	for _, name := range []Name{Target, Node, Call, FailureDomain, Configuration} {
		t.Run(string(name), func(t *testing.T) {
			table := LoadTable(name)
			m := Load(name).New(nil)
			qt.Assert(t, m.Is(table.Initial()), qt.IsTrue)
			for path := range table.next {
				m.machine.SetState(string(path.state))
				for other := range table.next {
					to, err := table.Next(path.state, other.event)
					qt.Assert(t, m.Can(other.event), qt.Equals, err == nil)
					m.machine.SetState(string(path.state))
					_ = m.Send(other.event)
					qt.Assert(t, m.State(), qt.Equals, to)
					m.machine.SetState(string(path.state))
				}
			}
		})
	}
	_, err := LoadTable(Call).Next("done", "place")
	var forbidden *ForbiddenError
	qt.Assert(t, errors.As(err, &forbidden), qt.IsTrue)
}
