// Package chart interprets the state charts in charts/*.json. The chart files
// are the only place where transitions are defined; code sends events and
// reads states. An event that the chart does not allow in the current state
// returns a *ForbiddenError and leaves the state unchanged.
package chart

import (
	"context"
	"embed"
	"encoding/json"
	"fmt"

	"github.com/looplab/fsm"
)

//go:embed charts/*.json
var files embed.FS

// Name identifies an embedded chart.
type Name string

// The embedded charts.
const (
	Target        Name = "target"
	Node          Name = "node"
	Call          Name = "call"
	FailureDomain Name = "failure_domain"
	Configuration Name = "configuration"
)

// State is a state of a chart.
type State string

// Event is an input that may cause a transition.
type Event string

// ForbiddenError reports an event that the chart does not allow in a state.
type ForbiddenError struct {
	Chart Name
	State State
	Event Event
}

// Error returns the chart, the event and the state.
func (e *ForbiddenError) Error() string {
	return fmt.Sprintf("chart %s does not allow event %q in state %q; report this with the node's log", e.Chart, e.Event, e.State)
}

// transition is one entry of a chart file.
type transition struct {
	Event Event   `json:"event"`
	From  []State `json:"from"`
	To    State   `json:"to"`
}

// file is the JSON representation of a chart.
type file struct {
	Initial     State        `json:"initial"`
	Transitions []transition `json:"transitions"`
}

// Definition is a parsed chart that creates machines.
type Definition struct {
	name    Name
	initial State
	events  fsm.Events
}

// Load parses an embedded chart. It panics if the embedded file is invalid,
// which the tests of this package rule out.
func Load(name Name) *Definition {
	raw, err := files.ReadFile("charts/" + string(name) + ".json")
	if err != nil {
		panic(err)
	}
	var parsed file
	if err := json.Unmarshal(raw, &parsed); err != nil {
		panic(err)
	}
	return &Definition{name: name, initial: parsed.Initial, events: parsed.fsmEvents()}
}

func (f *file) fsmEvents() fsm.Events {
	events := make(fsm.Events, 0, len(f.Transitions))
	for _, t := range f.Transitions {
		from := make([]string, 0, len(t.From))
		for _, s := range t.From {
			from = append(from, string(s))
		}
		events = append(events, fsm.EventDesc{Name: string(t.Event), Src: from, Dst: string(t.To)})
	}
	return events
}

// Machine is one instance of a chart. It needs external locking for concurrent
// use.
type Machine struct {
	name      Name
	machine   *fsm.FSM
	forbidden func(*ForbiddenError)
}

// New returns a machine in the chart's initial state. If forbidden is not nil,
// it is called for each event that the chart does not allow.
func (d *Definition) New(forbidden func(*ForbiddenError)) *Machine {
	m := fsm.NewFSM(string(d.initial), d.events, fsm.Callbacks{})
	return &Machine{name: d.name, machine: m, forbidden: forbidden}
}

// State returns the current state.
func (m *Machine) State() State { return State(m.machine.Current()) }

// Is reports whether s is the current state.
func (m *Machine) Is(s State) bool { return m.State() == s }

// Can reports whether the chart allows the event in the current state.
func (m *Machine) Can(e Event) bool { return m.machine.Can(string(e)) }

// Send applies an event. A transition to the same state is not an error.
func (m *Machine) Send(e Event) error {
	if !m.Can(e) {
		err := &ForbiddenError{Chart: m.name, State: m.State(), Event: e}
		if m.forbidden != nil {
			m.forbidden(err)
		}
		return err
	}
	err := m.machine.Event(context.Background(), string(e))
	if _, same := err.(fsm.NoTransitionError); same {
		return nil
	}
	return err
}
