package membership

import (
	"slices"
	"time"

	"zinniafall/policy/model"
)

const (
	// voteInterval is the time between two votes about one silent neighbor.
	voteInterval = time.Second
	// answerTime is how long the other observers have to answer the first vote.
	answerTime = time.Second
	// opinionLife is how long an observer's opinion counts.
	opinionLife = 4 * time.Second
	// minVotes is the number of observers that must agree.
	minVotes = 2
)

// opinion is what another observer said about a member.
type opinion struct {
	against bool
	at      time.Time
}

// ballot collects the opinions about one neighbor.
type ballot struct {
	// since is when this node began to find the member silent, zero while it
	// is heard.
	since time.Time
	// aloneSince is when this node began to find the member silent with no
	// other observer answering.
	aloneSince time.Time
	nextVote   time.Time
	opinions   map[model.NodeAddr]opinion
}

// Unreachable notes that the transport could not reach a node. For a neighbor
// that missed a heartbeat it counts as silence; it is never proof.
func (v *View) Unreachable(now time.Time, node model.NodeAddr) []Outgoing {
	v.begin(now)
	l := v.links[node]
	if l == nil || !l.neighbor || now.Sub(l.heard) < v.options.Heartbeat*3/2 {
		return v.finish()
	}
	silentSince := now.Add(-v.options.SuspectAfter)
	if l.heard.After(silentSince) {
		l.heard = silentSince
	}
	v.detect(now)
	return v.finish()
}

// detect votes against silent neighbors and counts the votes.
func (v *View) detect(now time.Time) {
	for _, node := range v.neighbors {
		l := v.links[node]
		if now.Sub(l.heard) < v.options.SuspectAfter {
			v.forgetSilence(node)
			continue
		}
		v.suspect(now, node)
	}
}

func (v *View) forgetSilence(node model.NodeAddr) {
	if b := v.votes[node]; b != nil {
		b.since, b.aloneSince = time.Time{}, time.Time{}
	}
}

func (v *View) ballot(node model.NodeAddr) *ballot {
	b := v.votes[node]
	if b == nil {
		b = &ballot{opinions: make(map[model.NodeAddr]opinion)}
		v.votes[node] = b
	}
	return b
}

// suspect asks the other observers of a silent neighbor and decides.
func (v *View) suspect(now time.Time, node model.NodeAddr) {
	r := v.table.records[node]
	if r == nil || !r.present() {
		return
	}
	b := v.ballot(node)
	if b.since.IsZero() {
		b.since = now
	}
	observers := v.table.rings.neighbors(node)
	if !now.Before(b.nextVote) {
		b.nextVote = now.Add(voteInterval)
		v.sendVotes(now, r, observers)
	}
	answered, against := v.tally(now, b, observers)
	if answered < len(observers) && now.Sub(b.since) < answerTime {
		return
	}
	if against >= minVotes && 2*against > answered {
		v.callGone(now, r)
		return
	}
	v.loseIfAlone(now, r, b, answered)
}

func (v *View) sendVotes(now time.Time, r *record, observers []model.NodeAddr) {
	for _, observer := range observers {
		if observer != v.self.Node {
			votes := []vote{{Node: r.Node, Incarnation: r.Incarnation}}
			v.send(now, observer, &packet{Ask: true, Votes: votes})
		}
	}
}

// tally counts the observers that answered lately and those against the
// member, the own node included.
func (v *View) tally(now time.Time, b *ballot, observers []model.NodeAddr) (answered, against int) {
	answered, against = 1, 1
	for _, observer := range observers {
		o, ok := b.opinions[observer]
		if !ok || now.Sub(o.at) > opinionLife {
			continue
		}
		answered++
		if o.against {
			against++
		}
	}
	return answered, against
}

// callGone sets the verdict of the observers.
func (v *View) callGone(now time.Time, r *record) {
	v.stats.DeadDeclared++
	delete(v.votes, r.Node)
	m := r.Member
	m.Status = Gone
	v.table.apply(now, m)
	v.enqueue(now, m.Node, "")
	v.flushRecords(now)
}

// loseIfAlone hides a member here when no other observer has answered for
// long.
func (v *View) loseIfAlone(now time.Time, r *record, b *ballot, answered int) {
	if answered > 1 {
		b.aloneSince = time.Time{}
		return
	}
	if b.aloneSince.IsZero() {
		b.aloneSince = now
	}
	if now.Sub(b.aloneSince) >= v.options.HideAfter {
		delete(v.votes, r.Node)
		v.table.setLost(r, true)
	}
}

// endIsolation shows all lost members again after one of them was heard.
func (v *View) endIsolation(now time.Time) {
	for _, r := range v.table.sorted {
		v.table.setLost(r, false)
	}
	v.refreshNeighbors(now)
}

// receiveVotes keeps the opinions of other observers and gives the own.
func (v *View) receiveVotes(now time.Time, from model.NodeAddr, p *packet, reply *packet) {
	for _, other := range p.Votes {
		l, r := v.links[other.Node], v.table.records[other.Node]
		if l == nil || !l.neighbor || r == nil || r.Incarnation != other.Incarnation {
			continue
		}
		if !slices.Contains(v.table.rings.neighbors(other.Node), from) {
			continue
		}
		v.ballot(other.Node).opinions[from] = opinion{against: !other.Heard, at: now}
		if p.Ask {
			heard := now.Sub(l.heard) < v.options.SuspectAfter
			reply.Votes = append(reply.Votes, vote{Node: r.Node, Incarnation: r.Incarnation, Heard: heard})
		}
	}
}
