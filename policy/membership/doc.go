// Package membership keeps one node's view of the fleet and carries small
// messages to every node.
//
// # Rings
//
// Each node hashes all members onto a few rings and keeps connections with
// its successor and predecessor on each. The rings together form a random
// graph of small diameter, so a message that each node passes on once reaches
// the whole fleet in a few hops, and each node needs six connections whatever
// the size of the fleet.
//
// # Records
//
// A node writes its own record (Member) and raises Version with each change.
// Copies merge by (Incarnation, Process, Version, Status); the merge is commutative,
// associative and idempotent, so order and duplicates of messages do not
// matter. Changes flood in batches. At intervals a node compares a digest of
// 256 buckets with one neighbor and both exchange what differs.
//
// # Failure detection
//
// Ring neighbors exchange heartbeats. A node that misses a neighbor's
// heartbeats sends a vote to the neighbor's other observers and asks for their
// opinion. When more than half of the observers that answer, and at least two,
// vote against the member, each of them marks it Gone. A member that learns
// that it is called gone raises its Version. An observer that nobody answers
// marks the member as lost for itself only, because it may be the one that is
// cut off. Each node probes members called gone at a slow pace; when a
// partition heals, all nodes refresh their records while the verdicts of the
// partition are held back, so that they do not spread.
//
// # Clocks
//
// No clocks are synchronized. Neighbors echo each other's send times, which
// gives a lower bound of the peer's clock in the own one that holds whatever
// delays and pauses there were. Floods carry their age by these bounds.
//
// # Pace
//
// A token bucket paces all that a node sends. Heartbeats and votes are
// charged but never wait; urgent floods may overdraw the bucket by one second;
// records and digests wait for tokens, and a queued record is read when it is
// sent, so a queue never holds two versions of it.
package membership
