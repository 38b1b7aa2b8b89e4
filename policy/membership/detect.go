package membership

import (
	"slices"
	"time"

	"zinniafall/policy/model"
)

const (
	// voteInterval is the time between two votes about one silent neighbor.
	voteInterval = time.Second
	// voteTimeout is how long the other observers have to answer the first vote.
	voteTimeout = time.Second
	// voteTTL is how long an observer's vote counts.
	voteTTL = 4 * time.Second
	// minVotes is the minimum number of observers that must agree.
	minVotes = 2
)

// observerVote is the last vote received from one observer about a member.
type observerVote struct {
	against bool
	at      time.Time
}

// suspicion collects the votes of the other observers about one neighbor.
type suspicion struct {
	// silentSince is when this node first found the member silent; zero while
	// packets arrive from it.
	silentSince time.Time
	// unansweredSince is when this node first found the member silent while no
	// other observer answered; zero otherwise.
	unansweredSince time.Time
	nextVote        time.Time
	votes           map[model.NodeAddr]observerVote
}

// Unreachable reports that the transport could not reach a node. For a neighbor
// that missed a heartbeat this counts as silence for SuspectAfter, but the
// observers still have to vote.
func (v *View) Unreachable(now time.Time, node model.NodeAddr) []Outgoing {
	v.begin(now)
	l := v.links[node]
	if l == nil || !l.neighbor || now.Sub(l.lastReceived) < v.options.Heartbeat*3/2 {
		return v.finish()
	}
	silentSince := now.Add(-v.options.SuspectAfter)
	if l.lastReceived.After(silentSince) {
		l.lastReceived = silentSince
	}
	v.detectFailures(now)
	return v.finish()
}

// detectFailures checks each neighbor for silence and votes against the silent
// ones.
func (v *View) detectFailures(now time.Time) {
	for _, node := range v.neighbors {
		l := v.links[node]
		if now.Sub(l.lastReceived) < v.options.SuspectAfter {
			v.clearSuspicion(node)
			continue
		}
		v.suspect(now, node)
	}
}

func (v *View) clearSuspicion(node model.NodeAddr) {
	if b := v.suspicions[node]; b != nil {
		b.silentSince, b.unansweredSince = time.Time{}, time.Time{}
	}
}

func (v *View) suspicion(node model.NodeAddr) *suspicion {
	b := v.suspicions[node]
	if b == nil {
		b = &suspicion{votes: make(map[model.NodeAddr]observerVote)}
		v.suspicions[node] = b
	}
	return b
}

// suspect asks the other observers of a silent neighbor for their votes and
// acts on the result.
func (v *View) suspect(now time.Time, node model.NodeAddr) {
	r := v.table.records[node]
	if r == nil || !r.present() {
		return
	}
	b := v.suspicion(node)
	if b.silentSince.IsZero() {
		b.silentSince = now
	}
	observers := v.table.rings.neighbors(node)
	if !now.Before(b.nextVote) {
		b.nextVote = now.Add(voteInterval)
		v.sendVotes(now, r, observers)
	}
	answered, against := v.countVotes(now, b, observers)
	if answered < len(observers) && now.Sub(b.silentSince) < voteTimeout {
		return
	}
	if against >= minVotes && 2*against > answered {
		v.declareDead(now, r)
		return
	}
	v.hideIfUnanswered(now, r, b, answered)
}

func (v *View) sendVotes(now time.Time, r *record, observers []model.NodeAddr) {
	for _, observer := range observers {
		if observer != v.self.Node {
			votes := []vote{{Node: r.Node, Incarnation: r.Incarnation}}
			v.send(now, observer, &packet{NeedReply: true, Votes: votes})
		}
	}
}

// countVotes returns how many observers voted within voteTTL, and how many of
// them against the member. Both include this node.
func (v *View) countVotes(now time.Time, b *suspicion, observers []model.NodeAddr) (answered, against int) {
	answered, against = 1, 1
	for _, observer := range observers {
		o, ok := b.votes[observer]
		if !ok || now.Sub(o.at) > voteTTL {
			continue
		}
		answered++
		if o.against {
			against++
		}
	}
	return answered, against
}

// declareDead marks a member as Gone after its observers voted against it.
func (v *View) declareDead(now time.Time, r *record) {
	v.stats.DeadDeclared++
	delete(v.suspicions, r.Node)
	m := r.Member
	m.Status = Gone
	v.table.apply(now, m)
	v.enqueue(now, m.Node, "")
	v.flushRecords(now)
}

// hideIfUnanswered hides a silent member from this view when no other observer
// has answered for HideAfter: this node may be the one that is cut off.
func (v *View) hideIfUnanswered(now time.Time, r *record, b *suspicion, answered int) {
	if answered > 1 {
		b.unansweredSince = time.Time{}
		return
	}
	if b.unansweredSince.IsZero() {
		b.unansweredSince = now
	}
	if now.Sub(b.unansweredSince) >= v.options.HideAfter {
		delete(v.suspicions, r.Node)
		v.table.setHidden(r, true)
	}
}

// showHidden shows all hidden members again after a packet arrived from one of
// them.
func (v *View) showHidden(now time.Time) {
	for _, r := range v.table.sorted {
		v.table.setHidden(r, false)
	}
	v.refreshNeighbors(now)
}

// receiveVotes stores the votes of other observers and replies with this node's
// own vote when asked.
func (v *View) receiveVotes(now time.Time, from model.NodeAddr, p *packet, reply *packet) {
	for _, other := range p.Votes {
		l, r := v.links[other.Node], v.table.records[other.Node]
		if l == nil || !l.neighbor || r == nil || r.Incarnation != other.Incarnation {
			continue
		}
		if !slices.Contains(v.table.rings.neighbors(other.Node), from) {
			continue
		}
		v.suspicion(other.Node).votes[from] = observerVote{against: !other.Reachable, at: now}
		if p.NeedReply {
			heard := now.Sub(l.lastReceived) < v.options.SuspectAfter
			reply.Votes = append(reply.Votes, vote{Node: r.Node, Incarnation: r.Incarnation, Reachable: heard})
		}
	}
}
