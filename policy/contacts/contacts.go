// Package contacts maintains the contact list, a short list of nodes in the
// platform's store through which a new node joins the fleet when no peer in its
// settings is reachable. The nodes that watch the store check the list from
// time to time: each adds itself while there is room and removes nodes that it
// knows to be gone. The list is only a hint. A stale entry costs a joining node
// one failed attempt, and a lost or late write does no harm.
package contacts

import (
	"encoding/json"
	"errors"
	"slices"

	"zinniafall/policy/model"
)

const (
	// Key is the key of the list in the store.
	Key = "zinniafall/contacts"
	// Max is the maximum number of nodes on the list.
	Max = 24
	// maxAddress is the maximum length of an address, in bytes.
	maxAddress = 64
)

// ErrMalformed is returned for a value that is not a contact list.
var ErrMalformed = errors.New("the contact list in the store is malformed; the nodes that watch the store replace it")

// List is the contact list as stored.
type List struct {
	Nodes []model.NodeAddr `json:"nodes"`
}

// Decode decodes a value from the store. It leaves out entries that are no address: one of
// another writer must not keep the others from being used. The error is ErrMalformed if the
// value is not a list.
func Decode(raw []byte) (List, error) {
	var stored struct {
		Nodes []json.RawMessage `json:"nodes"`
	}
	if err := json.Unmarshal(raw, &stored); err != nil {
		return List{}, ErrMalformed
	}
	var l List
	for _, entry := range stored.Nodes {
		var node model.NodeAddr
		if json.Unmarshal(entry, &node) == nil && len(node) <= maxAddress && node.Valid() && len(l.Nodes) < Max {
			l.Nodes = append(l.Nodes, node)
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

// Update returns the list without duplicates and without nodes that are not
// alive, and with the node self if it was on the list or there is room. It also
// reports whether the list changed.
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
