package chart

import "encoding/json"

// step is a state with an event that the chart allows in it.
type step struct {
	state State
	event Event
}

// Table interprets a chart without a machine of its own: the state is kept by
// the caller. It serves paths where the cost of a Machine per call would show,
// is never changed, and is safe for concurrent use.
type Table struct {
	name    Name
	initial State
	next    map[step]State
}

// LoadTable parses an embedded chart. It panics when the embedded file is
// broken, which the package's tests rule out.
func LoadTable(name Name) *Table {
	raw, err := files.ReadFile("charts/" + string(name) + ".json")
	if err != nil {
		panic(err)
	}
	var parsed file
	if err := json.Unmarshal(raw, &parsed); err != nil {
		panic(err)
	}
	t := &Table{name: name, initial: parsed.Initial, next: make(map[step]State)}
	for _, row := range parsed.Transitions {
		for _, from := range row.From {
			t.next[step{from, row.Event}] = row.To
		}
	}
	return t
}

// Initial returns the state in which the chart begins.
func (t *Table) Initial() State { return t.initial }

// Next returns the state that the event leads to. An event that the chart
// does not allow is a *ForbiddenError and leads nowhere.
func (t *Table) Next(s State, e Event) (State, error) {
	to, ok := t.next[step{s, e}]
	if !ok {
		return s, &ForbiddenError{Chart: t.name, State: s, Event: e}
	}
	return to, nil
}
