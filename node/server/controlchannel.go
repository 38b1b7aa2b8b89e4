package server

import (
	"slices"
	"sync"

	"zinniafall/node/peer"
	"zinniafall/policy/model"
)

// tag is the first byte of a control message and tells whom it is for.
type tag byte

const (
	// tagOverlay marks a packet of the overlay.
	tagOverlay tag = 0
	// tagRevision marks the announcement of an applied configuration.
	tagRevision tag = 1
	// tagNotice marks a quarantine notice for a new neighbor.
	tagNotice tag = 2
)

// controlChannel carries control messages between neighbors.
type controlChannel struct {
	transport *peer.Transport
	// welcome is told of each new neighbor.
	welcome func(model.NodeAddr)

	mu    sync.Mutex
	nodes []model.NodeAddr
}

// Send queues a packet of the overlay.
func (c *controlChannel) Send(to model.NodeAddr, payload []byte) bool {
	return c.send(to, tagOverlay, payload)
}

func (c *controlChannel) send(to model.NodeAddr, t tag, payload []byte) bool {
	message := make([]byte, 0, 1+len(payload))
	message = append(message, byte(t))
	return c.transport.Send(to, append(message, payload...))
}

// KeepConnections notes the neighbors; a connection stays open while packets cross it.
func (c *controlChannel) KeepConnections(nodes []model.NodeAddr) {
	c.mu.Lock()
	before := c.nodes
	c.nodes = slices.Clone(nodes)
	c.mu.Unlock()
	for _, node := range nodes {
		if !slices.Contains(before, node) {
			c.welcome(node)
		}
	}
}

func (c *controlChannel) neighbors() []model.NodeAddr {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.nodes
}

// announce tells the neighbors which configuration this node applies now.
func (c *controlChannel) announce(revision model.Revision) {
	for _, node := range c.neighbors() {
		c.send(node, tagRevision, encodeRevision(revision))
	}
}

// HandleControl takes a control message of another node. One that comes before the
// node has started is dropped; its sender repeats what matters.
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
		s.configuration.hear(revision, from)
	case tagNotice:
		s.suspects.Heard(body)
	default:
		malformedFloods.Inc()
	}
}

// maxWelcomeNotices bounds the notices that a new neighbor is sent. The
// control ring holds more, so that none pushes out other messages.
const maxWelcomeNotices = 64

// welcomeNeighbor sends a new neighbor what is known of requests that crash
// targets, since it may have joined after these notices were flooded.
func (s *Server) welcomeNeighbor(node model.NodeAddr) {
	notices := s.suspects.notices()
	for _, notice := range notices[:min(len(notices), maxWelcomeNotices)] {
		payload, err := notice.Encode()
		if err == nil {
			s.control.send(node, tagNotice, payload)
		}
	}
}
