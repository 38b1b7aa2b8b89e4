// Package contacts decides on the short list of nodes that the platform's store
// keeps so that a new node finds the fleet when none of the peers in its
// settings is left. The watchers of the store look at the list now and then;
// each adds itself while there is room and drops nodes that it knows to be
// gone. The list is a hint: a node that is on it and gone costs a joining
// node one try, and a lost or late write costs nothing.
package contacts

import (
	"encoding/json"
	"errors"
	"slices"

	"zinniafall/policy/model"
)

const (
	// Key is the store's key of the list.
	Key = "zinniafall/contacts"
	// Max bounds the nodes on the list.
	Max = 24
	// maxAddress bounds the length of one address, in bytes.
	maxAddress = 64
)

// ErrMalformed reports a value that is not a list of contacts.
var ErrMalformed = errors.New("the contact list in the store is malformed; delete the key zinniafall/contacts, nodes write it anew")

// List is the value in the store.
type List struct {
	Nodes []model.NodeAddr `json:"nodes"`
}

// Decode reads a value of the store.
func Decode(raw []byte) (List, error) {
	var l List
	if err := json.Unmarshal(raw, &l); err != nil || len(l.Nodes) > Max {
		return List{}, ErrMalformed
	}
	for _, node := range l.Nodes {
		if node == "" || len(node) > maxAddress {
			return List{}, ErrMalformed
		}
	}
	return l, nil
}

// Encode returns the value for the store.
func (l List) Encode() []byte {
	raw, err := json.Marshal(l)
	if err != nil {
		return nil
	}
	return raw
}

// Update returns the list as the node self wants it, and whether that differs:
// without nodes that are gone, and with self while there is room.
func (l List) Update(self model.NodeAddr, alive func(model.NodeAddr) bool) (List, bool) {
	next := List{Nodes: make([]model.NodeAddr, 0, Max)}
	for _, node := range l.Nodes {
		if node != self && alive(node) && !slices.Contains(next.Nodes, node) {
			next.Nodes = append(next.Nodes, node)
		}
	}
	if slices.Contains(l.Nodes, self) || len(next.Nodes) < Max {
		next.Nodes = append(next.Nodes, self)
	}
	slices.Sort(next.Nodes)
	return next, !slices.Equal(next.Nodes, l.Nodes)
}
