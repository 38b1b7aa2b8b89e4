package server

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"zinniafall/policy/contacts"
	"zinniafall/policy/membership"
	"zinniafall/policy/model"
)

const (
	// initialContactsTimeout bounds the read of the contact list in the store
	// before the node joins. While the store is down, the node joins through
	// the peers in its settings alone.
	initialContactsTimeout = time.Second
	// contactsInterval is the mean time between two reads of the list. Each
	// wait is drawn between half of it and one and a half times of it.
	contactsInterval = 20 * time.Second
	// contactsTimeout bounds one read and the write that follows it.
	contactsTimeout = 3 * time.Second
)

// initialContacts returns the nodes to join through: those of the settings and
// those on the contact list.
func (s *Server) initialContacts() []model.NodeAddr {
	ctx, cancel := context.WithTimeout(s.ctx, initialContactsTimeout)
	defer cancel()
	list, _, err := s.readContacts(ctx)
	if err != nil {
		klog.Warningf("node: The contact list could not be read: %v. The node joins through the %d peers in its settings.", err, len(s.settings.Peers.Known))
	}
	return s.withKnownPeers(list)
}

// withKnownPeers returns the peers of the settings and the nodes on the list,
// without duplicates.
func (s *Server) withKnownPeers(list contacts.List) []model.NodeAddr {
	nodes := slices.Clone(s.settings.Peers.Known)
	for _, node := range list.Nodes {
		if !slices.Contains(nodes, node) {
			nodes = append(nodes, node)
		}
	}
	return nodes
}

// readContacts returns the contact list and the store index that a
// compare-and-swap of it needs, 0 when there is no list. The index is also that of a list
// that is malformed.
func (s *Server) readContacts(ctx context.Context) (contacts.List, uint64, error) {
	entry, err := s.configuration.store.Get(ctx, contacts.Key)
	if err != nil || !entry.Found {
		return contacts.List{}, 0, err
	}
	list, err := contacts.Decode(entry.Value)
	return list, entry.Index, err
}

// contactsLoop refreshes the contact list until the node ends.
func (s *Server) contactsLoop() {
	wait := time.Duration(0)
	for {
		timer := time.NewTimer(wait)
		select {
		case <-s.ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
		s.refreshContacts()
		wait = contactsInterval/2 + rand.N(contactsInterval)
	}
}

// refreshContacts updates the contact list when this node is a watcher or
// alone. A node that is alone also tries to join through the nodes on the list.
func (s *Server) refreshContacts() {
	alone := len(s.overlay.Snapshot().Members) == 1
	if !alone && !s.configuration.watching.Load() {
		return
	}
	ctx, cancel := context.WithTimeout(s.ctx, contactsTimeout)
	defer cancel()
	list, index, err := s.readContacts(ctx)
	if err != nil && !errors.Is(err, contacts.ErrMalformed) {
		klog.V(1).Infof("node: The contact list could not be read: %v.", err)
		return
	}
	if nodes := s.withKnownPeers(list); alone && len(nodes) > 0 {
		s.overlay.Join(nodes)
	}
	s.updateContacts(ctx, list, index)
}

// updateContacts replaces the list when it has changed. An unknown outcome of
// the write needs no handling: the next refresh reads the list anew.
func (s *Server) updateContacts(ctx context.Context, list contacts.List, index uint64) {
	members := s.overlay.Snapshot().Members
	alive := func(node model.NodeAddr) bool {
		return slices.ContainsFunc(members, func(m membership.Member) bool { return m.Node == node })
	}
	// A node that is alone cannot tell which nodes are alive.
	if len(members) == 1 {
		alive = func(model.NodeAddr) bool { return true }
	}
	next, changed := list.Update(s.self, alive)
	if !changed {
		return
	}
	var err error
	if index == 0 {
		_, err = s.configuration.store.Create(ctx, contacts.Key, next.Encode())
	} else {
		_, err = s.configuration.store.CompareAndSwap(ctx, contacts.Key, next.Encode(), index)
	}
	if err != nil {
		klog.V(1).Infof("node: The contact list could not be written: %v.", err)
	}
}
