package server

import (
	"slices"
	"sync"

	"zinniafall/node/peer"
	"zinniafall/policy/model"
)

// tag is the first byte of a control message and identifies its kind.
type tag byte

const (
	// tagOverlay marks a packet of the overlay.
	tagOverlay tag = 0
	// tagRevision marks the announcement of an applied configuration.
	tagRevision tag = 1
	// tagNotice marks a quarantine notice for a new neighbor.
	tagNotice tag = 2
)

// controlChannel sends control messages to neighbors.
type controlChannel struct {
	transport *peer.Transport
	// onNewNeighbor is called for each new neighbor.
	onNewNeighbor func(model.NodeAddr)

	mu            sync.Mutex
	neighborNodes []model.NodeAddr
}

// Send queues a packet of the overlay and reports whether it was queued.
func (c *controlChannel) Send(to model.NodeAddr, payload []byte) bool {
	return c.send(to, tagOverlay, payload)
}

// send queues a control message and reports whether it was queued.
func (c *controlChannel) send(to model.NodeAddr, t tag, payload []byte) bool {
	message := make([]byte, 0, 1+len(payload))
	message = append(message, byte(t))
	return c.transport.Send(to, append(message, payload...))
}

// KeepConnections records the current neighbors and calls onNewNeighbor for each new one.
// It opens no connection: a connection stays open while packets cross it.
func (c *controlChannel) KeepConnections(nodes []model.NodeAddr) {
	c.mu.Lock()
	previous := c.neighborNodes
	c.neighborNodes = slices.Clone(nodes)
	c.mu.Unlock()
	for _, node := range nodes {
		if !slices.Contains(previous, node) {
			c.onNewNeighbor(node)
		}
	}
}

func (c *controlChannel) neighbors() []model.NodeAddr {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.neighborNodes
}

// announceRevision sends the neighbors the revision that this node applies.
func (c *controlChannel) announceRevision(revision model.Revision) {
	for _, node := range c.neighbors() {
		c.send(node, tagRevision, encodeRevision(revision))
	}
}

// HandleControl handles a control message of another node. A message that arrives
// before the node has started is dropped; senders repeat whatever must arrive.
func (s *Server) HandleControl(from model.NodeAddr, payload []byte) {
	if !s.isStarted() {
		return
	}
	if len(payload) == 0 {
		malformedFloods.Inc()
		return
	}
	body := payload[1:]
	switch tag(payload[0]) {
	case tagOverlay:
		s.overlay.Deliver(from, body)
	case tagRevision:
		revision, ok := decodeRevision(body)
		if !ok {
			malformedFloods.Inc()
			return
		}
		s.configuration.recordRevision(revision, from)
	case tagNotice:
		s.suspects.RecordNotice(body)
	default:
		malformedFloods.Inc()
	}
}

// maxInitialNotices bounds the notices that a new neighbor is sent. The ring
// of outgoing control messages holds more, so that they displace no other
// message.
const maxInitialNotices = 64

// sendQuarantineNotices sends a new neighbor the notices of requests that
// crash targets, since it may have joined after they were flooded.
func (s *Server) sendQuarantineNotices(node model.NodeAddr) {
	notices := s.suspects.notices()
	for _, notice := range notices[:min(len(notices), maxInitialNotices)] {
		payload, err := notice.Encode()
		if err == nil {
			s.control.send(node, tagNotice, payload)
		}
	}
}
