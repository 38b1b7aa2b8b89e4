// Package membership maintains one node's view of the fleet and delivers small
// messages to every node.
//
// # Rings
//
// Each node hashes all members onto three rings and keeps connections with its
// successor and predecessor on each. The rings form a random graph of small
// diameter: a message that each node forwards once reaches the whole fleet in a
// few hops, and each node needs at most six connections whatever the size of the
// fleet.
//
// # Records
//
// A node writes its own record (Member) and increments Version with each
// change. Copies merge by (Incarnation, Process, Version, Status). The merge is
// commutative, associative and idempotent, so messages may arrive out of order
// or more than once. Changes flood in batches. For anti-entropy, a node
// periodically sends a neighbor a digest of 256 buckets, and both exchange the
// records that differ.
//
// # Failure detection
//
// Ring neighbors exchange heartbeats. A node that misses a neighbor's
// heartbeats sends a vote to the neighbor's other observers and asks for
// theirs. When more than half of the observers that answer, and at least two,
// vote against the member, each of them declares it dead and marks it Gone. A
// member that learns of this refutes it with a higher Version. An observer that
// gets no answer hides the member from its own view only, because it may itself
// be cut off.
//
// Each node probes members that are declared dead, at a low rate. When a
// partition heals, all nodes refresh their records, and the death declarations
// made during the partition are withheld so that they do not spread.
//
// # Clocks
//
// Clocks are not synchronized. Neighbors echo each other's send times, which
// gives each a lower bound of the other's clock that holds whatever delays and
// pauses occurred. Floods carry their age, computed from these bounds.
//
// # Rate limit
//
// A token bucket limits what a node sends. Heartbeats and votes are charged but
// never delayed. Urgent floods may overdraw the bucket by one second. Records
// and digests wait for tokens. A queued record is read when it is sent, so a
// queue never holds two versions of it.
package membership
