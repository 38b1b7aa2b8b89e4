// Package chart interprets the state charts in charts/*.json. A chart file is
// the only place where a transition is written; code names events and reads
// states. An event that the chart does not allow in the present state is a
// *ForbiddenError and leaves the state as it was.
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

// Event is an input of a chart.
type Event string

// ForbiddenError reports an event that the chart does not allow.
type ForbiddenError struct {
	Chart Name
	State State
	Event Event
}

// Error names the chart, the event and the state.
func (e *ForbiddenError) Error() string {
	return fmt.Sprintf("chart %s does not allow event %q in state %q; report this with the node's log", e.Chart, e.Event, e.State)
}

// transition is one row of a chart file.
type transition struct {
	Event Event   `json:"event"`
	From  []State `json:"from"`
	To    State   `json:"to"`
}

// file is the JSON form of a chart.
type file struct {
	Initial     State        `json:"initial"`
	Transitions []transition `json:"transitions"`
}

// Definition is a parsed chart from which machines are made.
type Definition struct {
	name    Name
	initial State
	events  fsm.Events
}

// Load parses an embedded chart. It panics when the embedded file is broken,
// which the package's tests rule out.
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

// Machine is one instance of a chart. It is not safe for concurrent use
// beyond what its owner's lock gives.
type Machine struct {
	name      Name
	machine   *fsm.FSM
	forbidden func(*ForbiddenError)
}

// New starts a machine in the chart's initial state. The function forbidden,
// which may be nil, is told of each event that the chart does not allow.
func (d *Definition) New(forbidden func(*ForbiddenError)) *Machine {
	m := fsm.NewFSM(string(d.initial), d.events, fsm.Callbacks{})
	return &Machine{name: d.name, machine: m, forbidden: forbidden}
}

// State returns the present state.
func (m *Machine) State() State { return State(m.machine.Current()) }

// Is reports whether the machine is in the state.
func (m *Machine) Is(s State) bool { return m.State() == s }

// Can reports whether the chart allows the event now.
func (m *Machine) Can(e Event) bool { return m.machine.Can(string(e)) }

// Send applies the event. A transition back to the same state is no error.
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
