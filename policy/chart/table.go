package chart

import "encoding/json"

// stateEvent is a state and an event that the chart allows in it.
type stateEvent struct {
	state State
	event Event
}

// Table interprets a chart whose state is kept by the caller. It is meant for
// code where a Machine for each call would cost too much. A Table is immutable
// and safe for concurrent use.
type Table struct {
	name    Name
	initial State
	next    map[stateEvent]State
}

// LoadTable parses an embedded chart. It panics if the embedded file is
// invalid, which the tests of this package rule out.
func LoadTable(name Name) *Table {
	raw, err := files.ReadFile("charts/" + string(name) + ".json")
	if err != nil {
		panic(err)
	}
	var parsed file
	if err := json.Unmarshal(raw, &parsed); err != nil {
		panic(err)
	}
	t := &Table{name: name, initial: parsed.Initial, next: make(map[stateEvent]State)}
	for _, row := range parsed.Transitions {
		for _, from := range row.From {
			t.next[stateEvent{from, row.Event}] = row.To
		}
	}
	return t
}

// Initial returns the initial state of the chart.
func (t *Table) Initial() State { return t.initial }

// Next returns the state that follows s on event e. If the chart does not
// allow the event, Next returns s and a *ForbiddenError.
func (t *Table) Next(s State, e Event) (State, error) {
	to, ok := t.next[stateEvent{s, e}]
	if !ok {
		return s, &ForbiddenError{Chart: t.name, State: s, Event: e}
	}
	return to, nil
}
