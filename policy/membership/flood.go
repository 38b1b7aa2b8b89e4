package membership

import (
	"slices"
	"time"

	"zinniafall/policy/model"
)

// Topic identifies the kind of a flooded message and so its receiver.
type Topic uint8

// The topics of flooded messages.
const (
	// TopicConfiguration announces a configuration revision.
	TopicConfiguration Topic = iota + 1
	// TopicBeacon carries the freshness beacons of the nodes that watch the store.
	TopicBeacon
	// TopicQuarantine announces quarantined requests.
	TopicQuarantine
)

// The topics that a View reads itself.
const (
	topicSurvey Topic = 255 - iota
	topicRefresh
)

// Message is a flooded message delivered to this node.
type Message struct {
	// Origin is the node that flooded the message, Incarnation that of its
	// process.
	Origin      model.NodeAddr
	Incarnation model.Incarnation
	// Sequence numbers the floods of one incarnation from 1.
	Sequence uint64
	Topic    Topic
	// CreatedAt is a lower bound, by the local clock, of the time at which the
	// origin created the message. It holds even when relays were paused. It is
	// zero when a node on the path had not measured its peer's clock yet.
	CreatedAt time.Time
	Payload   []byte
}

// duplicateWindowSize is the number of sequences, counted down from the highest,
// that are tracked; older ones count as duplicates.
const duplicateWindowSize = 64

// duplicateWindow tracks which floods of one origin have arrived.
type duplicateWindow struct {
	incarnation model.Incarnation
	highest     uint64
	// bitmap has bit i set when sequence highest-i has arrived.
	bitmap uint64
}

// accept records a flood and reports whether it is the first copy.
func (s *duplicateWindow) accept(incarnation model.Incarnation, sequence uint64) bool {
	if incarnation < s.incarnation {
		return false
	}
	if incarnation > s.incarnation {
		*s = duplicateWindow{incarnation: incarnation}
	}
	if sequence > s.highest {
		s.bitmap = s.bitmap<<(sequence-s.highest) | 1
		s.highest = sequence
		return true
	}
	behind := s.highest - sequence
	if behind >= duplicateWindowSize || s.bitmap&(1<<behind) != 0 {
		return false
	}
	s.bitmap |= 1 << behind
	return true
}

// relay is a flood to be forwarded to the neighbors.
type relay struct {
	flood flood
	// createdAt is Message.CreatedAt; zero when it is unknown.
	createdAt time.Time
	// senders lists the neighbors that sent a copy.
	senders []model.NodeAddr
}

// floods is the flooding state of a View.
type floods struct {
	sequence        uint64
	duplicateWindow map[model.NodeAddr]*duplicateWindow
	queue           []*relay
	deliveries      []Message
}

func newFloods() floods { return floods{duplicateWindow: make(map[model.NodeAddr]*duplicateWindow)} }

func (f *floods) drop(node model.NodeAddr) { delete(f.duplicateWindow, node) }

// find returns the queued copy of a flood, or nil.
func (f *floods) find(m *flood) *relay {
	for _, r := range f.queue {
		if r.flood.Origin == m.Origin && r.flood.Incarnation == m.Incarnation && r.flood.Sequence == m.Sequence {
			return r
		}
	}
	return nil
}

// Flood sends a message of at most MaxFlood bytes to every other node; a longer
// one is dropped and counted. Urgent messages are sent at once while the byte
// rate allows it, others wait to share packets. Delivery is best effort: a node
// that is cut off misses the message.
func (v *View) Flood(now time.Time, topic Topic, payload []byte, urgent bool) []Outgoing {
	return v.FloodCreatedAt(now, now, topic, payload, urgent)
}

// FloodCreatedAt is like Flood for a message whose content was determined at the
// earlier time createdAt, so that a pause in between does not make the message
// look newer.
func (v *View) FloodCreatedAt(now, createdAt time.Time, topic Topic, payload []byte, urgent bool) []Outgoing {
	v.begin(now)
	v.pacer.refill(now)
	v.flood(now, createdAt, topic, payload, urgent)
	return v.finish()
}

func (v *View) flood(now, createdAt time.Time, topic Topic, payload []byte, urgent bool) {
	if len(payload) > MaxFlood {
		v.stats.DroppedFloods++
		return
	}
	v.floods.sequence++
	m := flood{Origin: v.self.Node, Incarnation: v.self.Incarnation, Sequence: v.floods.sequence, Topic: topic, Urgent: urgent, Payload: payload}
	v.relay(now, &relay{flood: m, createdAt: createdAt})
}

// TakeFloods returns the flooded messages that arrived since the last call, each
// exactly once, in order of arrival.
func (v *View) TakeFloods() []Message {
	out := v.floods.deliveries
	v.floods.deliveries = nil
	return out
}

// receiveFloods processes the floods of a packet. linkAge is the age of the
// packet.
func (v *View) receiveFloods(now time.Time, from model.NodeAddr, floods []flood, linkAge time.Duration) {
	for i := range floods {
		m := &floods[i]
		if m.Origin == v.self.Node {
			continue
		}
		if !v.firstCopy(m) {
			if waiting := v.floods.find(m); waiting != nil {
				waiting.senders = append(waiting.senders, from)
			}
			continue
		}
		r := &relay{flood: *m, senders: []model.NodeAddr{from}}
		if age := addAge(linkAge, m.Age); age != unknownAge {
			r.createdAt = now.Add(-age)
		}
		v.deliver(now, from, r)
		v.relay(now, r)
	}
}

// firstCopy reports whether a flood is new. Floods of a replaced process at the
// origin's address are not.
func (v *View) firstCopy(m *flood) bool {
	if r := v.table.records[m.Origin]; r != nil && m.Incarnation < r.Incarnation {
		return false
	}
	s := v.floods.duplicateWindow[m.Origin]
	if s == nil {
		if len(v.floods.duplicateWindow) >= MaxMembers {
			return false
		}
		s = &duplicateWindow{}
		v.floods.duplicateWindow[m.Origin] = s
	}
	return s.accept(m.Incarnation, m.Sequence)
}

// addAge returns the sum of the packet's age and the age that the flood had when
// the packet was sent.
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
		v.handleSurvey(now, from, m)
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
		Origin: m.Origin, Incarnation: m.Incarnation, Sequence: m.Sequence, Topic: m.Topic, CreatedAt: r.createdAt, Payload: m.Payload,
	})
}

// relay forwards an urgent flood at once if the pacer allows it and queues any
// other for the next batch.
func (v *View) relay(now time.Time, r *relay) {
	if r.flood.Urgent && v.pacer.allowsUrgent() {
		v.sendFloods(now, []*relay{r})
		return
	}
	if len(v.floods.queue) >= maxQueuedFloods {
		v.floods.queue = v.floods.queue[1:]
		v.stats.DroppedFloods++
	}
	v.floods.queue = append(v.floods.queue, r)
}

func (v *View) flushFloods(now time.Time) {
	if len(v.floods.queue) == 0 || !v.pacer.allowsUrgent() {
		return
	}
	v.sendFloods(now, v.floods.queue)
	v.floods.queue = nil
}

// sendFloods sends floods to the neighbors, except to those known to have them.
func (v *View) sendFloods(now time.Time, relays []*relay) {
	v.refreshNeighbors(now)
	for _, node := range v.neighbors {
		var batch []flood
		space := packetBudget
		for _, r := range relays {
			if node == r.flood.Origin || slices.Contains(r.senders, node) {
				continue
			}
			if size := r.flood.wireSize(); size > space {
				v.send(now, node, &packet{Floods: batch})
				batch, space = nil, packetBudget
			}
			space -= r.flood.wireSize()
			batch = append(batch, r.withAge(now))
		}
		if len(batch) > 0 {
			v.send(now, node, &packet{Floods: batch})
		}
	}
}

// withAge returns the flood with its current age.
func (r *relay) withAge(now time.Time) flood {
	m := r.flood
	m.Age = 0
	if !r.createdAt.IsZero() {
		m.Age = uint64(max(now.Sub(r.createdAt), 0)/time.Microsecond) + 1
	}
	return m
}

// wireSize returns an upper bound of the encoded length in bytes.
func (m *flood) wireSize() int { return 48 + len(m.Origin) + len(m.Payload) }
