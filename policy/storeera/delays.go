package storeera

import "time"

const (
	// MaxAskTime bounds how long a node that starts asks others before it relies on the
	// configuration in the store, and MaxCatchUpTime how long it then waits for a newer
	// one that they have.
	MaxAskTime     = 300 * time.Millisecond
	MaxCatchUpTime = 2 * time.Second

	// entrySpreadPerNode is the time for each node over which the entries are spread:
	// each takes two writes, and the smallest store takes 400 writes a second.
	entrySpreadPerNode = 6 * time.Millisecond
)

// EntryDelay returns how long a node waits in a new era before it writes its entry again,
// given the number of nodes and a random number that is uniformly distributed in [0, 1).
// When the store returns, all nodes lack their entries at the same moment.
func EntryDelay(nodes int, random float64) time.Duration {
	return time.Duration(random * float64(nodes) * float64(entrySpreadPerNode))
}
