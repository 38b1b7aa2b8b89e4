package membership

import (
	"slices"
	"time"

	"zinniafall/policy/model"
)

// Topic tells the readers of flooded messages apart.
type Topic uint8

// The topics of flooded messages.
const (
	// TopicConfiguration announces a configuration revision.
	TopicConfiguration Topic = iota + 1
	// TopicBeacon carries freshness beacons of the store's watchers.
	TopicBeacon
	// TopicQuarantine announces quarantined requests.
	TopicQuarantine
)

// The topics that a View reads itself.
const (
	topicSurvey Topic = 255 - iota
	topicRefresh
)

// Message is a flooded message for the node.
type Message struct {
	// Origin flooded the message; Incarnation is that of its process.
	Origin      model.NodeAddr
	Incarnation model.Incarnation
	// Sequence numbers the floods of one incarnation from 1.
	Sequence uint64
	Topic    Topic
	// CreatedAt is the earliest time, by the own clock, at which the origin can
	// have made the message. It holds whatever relays were paused; it is zero
	// when a link on the way had not measured its peer's clock yet.
	CreatedAt time.Time
	Payload   []byte
}

// seenWindow is the number of sequences below the highest that are told
// apart; older ones count as duplicates.
const seenWindow = 64

// seen remembers which floods of one origin arrived.
type seen struct {
	incarnation model.Incarnation
	high        uint64
	// bits has bit i set when high-i arrived.
	bits uint64
}

// first notes a flood and reports whether it is the first copy.
func (s *seen) first(incarnation model.Incarnation, sequence uint64) bool {
	if incarnation < s.incarnation {
		return false
	}
	if incarnation > s.incarnation {
		*s = seen{incarnation: incarnation}
	}
	if sequence > s.high {
		s.bits = s.bits<<(sequence-s.high) | 1
		s.high = sequence
		return true
	}
	behind := s.high - sequence
	if behind >= seenWindow || s.bits&(1<<behind) != 0 {
		return false
	}
	s.bits |= 1 << behind
	return true
}

// relay is a flood that waits to be passed on.
type relay struct {
	flood flood
	// born is the earliest time at which the origin can have made it, zero
	// when it is unknown.
	born time.Time
	// has lists the neighbors that sent it.
	has []model.NodeAddr
}

// floods is the flooding state of a View.
type floods struct {
	sequence   uint64
	seen       map[model.NodeAddr]*seen
	queue      []*relay
	deliveries []Message
}

func newFloods() floods { return floods{seen: make(map[model.NodeAddr]*seen)} }

func (f *floods) forget(node model.NodeAddr) { delete(f.seen, node) }

// find returns the waiting relay of a flood, or nil.
func (f *floods) find(m *flood) *relay {
	for _, r := range f.queue {
		if r.flood.Origin == m.Origin && r.flood.Incarnation == m.Incarnation && r.flood.Sequence == m.Sequence {
			return r
		}
	}
	return nil
}

// Flood sends a message of at most MaxFlood bytes to every node; a longer one
// is dropped and counted. Urgent messages leave at once, the others share
// packets. Delivery is best effort: a node that is cut off misses the message.
// The origin itself does not get it.
func (v *View) Flood(now time.Time, topic Topic, payload []byte, urgent bool) []Outgoing {
	return v.FloodCreatedAt(now, now, topic, payload, urgent)
}

// FloodCreatedAt is Flood for a message whose content was decided at an earlier
// time, so that a pause between the two does not make it look newer.
func (v *View) FloodCreatedAt(now, born time.Time, topic Topic, payload []byte, urgent bool) []Outgoing {
	v.begin(now)
	v.pacer.refill(now)
	v.flood(now, born, topic, payload, urgent)
	return v.finish()
}

func (v *View) flood(now, born time.Time, topic Topic, payload []byte, urgent bool) {
	if len(payload) > MaxFlood {
		v.stats.DroppedFloods++
		return
	}
	v.floods.sequence++
	m := flood{Origin: v.self.Node, Incarnation: v.self.Incarnation, Sequence: v.floods.sequence, Topic: topic, Urgent: urgent, Payload: payload}
	v.relay(now, &relay{flood: m, born: born})
}

// TakeFloods returns the flooded messages that arrived since the last call,
// each exactly once, in the order of their arrival.
func (v *View) TakeFloods() []Message {
	out := v.floods.deliveries
	v.floods.deliveries = nil
	return out
}

// receiveFloods keeps the floods of a packet of the given age.
func (v *View) receiveFloods(now time.Time, from model.NodeAddr, floods []flood, linkAge time.Duration) {
	for i := range floods {
		m := &floods[i]
		if m.Origin == v.self.Node {
			continue
		}
		if !v.firstCopy(m) {
			if waiting := v.floods.find(m); waiting != nil {
				waiting.has = append(waiting.has, from)
			}
			continue
		}
		r := &relay{flood: *m, has: []model.NodeAddr{from}}
		if age := addAge(linkAge, m.Age); age != unknownAge {
			r.born = now.Add(-age)
		}
		v.deliver(now, from, r)
		v.relay(now, r)
	}
}

// firstCopy reports whether a flood of the origin's latest process is new.
func (v *View) firstCopy(m *flood) bool {
	if r := v.table.records[m.Origin]; r != nil && m.Incarnation < r.Incarnation {
		return false
	}
	s := v.floods.seen[m.Origin]
	if s == nil {
		if len(v.floods.seen) >= MaxMembers {
			return false
		}
		s = &seen{}
		v.floods.seen[m.Origin] = s
	}
	return s.first(m.Incarnation, m.Sequence)
}

// addAge adds the age that a flood had when it was sent to that of its packet.
func addAge(link time.Duration, encoded uint64) time.Duration {
	const longest = uint64(unknownAge / time.Microsecond / 2)
	if encoded == 0 || encoded > longest || link == unknownAge {
		return unknownAge
	}
	return link + time.Duration(encoded-1)*time.Microsecond
}

func (v *View) deliver(now time.Time, from model.NodeAddr, r *relay) {
	m := &r.flood
	switch m.Topic {
	case topicSurvey:
		v.onSurvey(now, from, m)
		return
	case topicRefresh:
		v.startHeal(now)
		return
	}
	if len(v.floods.deliveries) >= maxDeliveries {
		v.floods.deliveries = v.floods.deliveries[1:]
		v.stats.DroppedFloods++
	}
	v.floods.deliveries = append(v.floods.deliveries, Message{
		Origin: m.Origin, Incarnation: m.Incarnation, Sequence: m.Sequence, Topic: m.Topic, CreatedAt: r.born, Payload: m.Payload,
	})
}

// relay passes a flood on at once when it is urgent and there are tokens, and
// with the next batch otherwise.
func (v *View) relay(now time.Time, r *relay) {
	if r.flood.Urgent && v.pacer.urgent() {
		v.sendRelays(now, []*relay{r})
		return
	}
	if len(v.floods.queue) >= maxQueuedFloods {
		v.floods.queue = v.floods.queue[1:]
		v.stats.DroppedFloods++
	}
	v.floods.queue = append(v.floods.queue, r)
}

func (v *View) flushFloods(now time.Time) {
	if len(v.floods.queue) == 0 || !v.pacer.urgent() {
		return
	}
	v.sendRelays(now, v.floods.queue)
	v.floods.queue = nil
}

// sendRelays sends floods to the neighbors that are not known to have them.
func (v *View) sendRelays(now time.Time, relays []*relay) {
	v.refreshNeighbors(now)
	for _, node := range v.neighbors {
		var batch []flood
		space := recordSpace
		for _, r := range relays {
			if node == r.flood.Origin || slices.Contains(r.has, node) {
				continue
			}
			if size := r.flood.wireSize(); size > space {
				v.send(now, node, &packet{Floods: batch})
				batch, space = nil, recordSpace
			}
			space -= r.flood.wireSize()
			batch = append(batch, r.aged(now))
		}
		if len(batch) > 0 {
			v.send(now, node, &packet{Floods: batch})
		}
	}
}

// aged returns the flood with its present age.
func (r *relay) aged(now time.Time) flood {
	m := r.flood
	m.Age = 0
	if !r.born.IsZero() {
		m.Age = uint64(max(now.Sub(r.born), 0)/time.Microsecond) + 1
	}
	return m
}

// wireSize estimates the encoded length in bytes from above.
func (m *flood) wireSize() int { return 48 + len(m.Origin) + len(m.Payload) }
