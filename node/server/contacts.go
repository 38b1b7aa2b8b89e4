package server

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"zinniafall/policy/contacts"
	"zinniafall/policy/membership"
	"zinniafall/policy/model"
)

const (
	// contactsAtStart bounds the look at the store's contact list before the
	// node joins. While the store is down it joins by its settings alone.
	contactsAtStart = time.Second
	// contactsPause is the mean time between two looks at the list.
	contactsPause = 20 * time.Second
	// contactsTimeout bounds one look and the write that follows it.
	contactsTimeout = 3 * time.Second
)

// firstContacts returns the nodes to join through: those of the settings and
// those on the store's list.
func (s *Server) firstContacts() []model.NodeAddr {
	ctx, cancel := context.WithTimeout(s.ctx, contactsAtStart)
	defer cancel()
	list, _, err := s.readContacts(ctx)
	if err != nil {
		klog.Warningf("node: The contact list could not be read: %v. The node joins through %d known peers.", err, len(s.settings.Peers.Known))
	}
	return s.withKnown(list)
}

func (s *Server) withKnown(list contacts.List) []model.NodeAddr {
	nodes := slices.Clone(s.settings.Peers.Known)
	for _, node := range list.Nodes {
		if !slices.Contains(nodes, node) {
			nodes = append(nodes, node)
		}
	}
	return nodes
}

// readContacts returns the list and the index to replace it by.
func (s *Server) readContacts(ctx context.Context) (contacts.List, uint64, error) {
	entry, err := s.configuration.store.Get(ctx, contacts.Key)
	if err != nil || !entry.Found {
		return contacts.List{}, 0, err
	}
	list, err := contacts.Decode(entry.Value)
	return list, entry.Index, err
}

// contactsDuty keeps the list up to date from the watchers, and looks for
// others when this node is alone.
func (s *Server) contactsDuty() {
	wait := time.Duration(0)
	for {
		timer := time.NewTimer(wait)
		select {
		case <-s.ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
		s.lookAtContacts()
		wait = contactsPause/2 + rand.N(contactsPause)
	}
}

func (s *Server) lookAtContacts() {
	alone := len(s.overlay.Snapshot().Members) == 1
	if !alone && !s.configuration.watching.Load() {
		return
	}
	ctx, cancel := context.WithTimeout(s.ctx, contactsTimeout)
	defer cancel()
	list, index, err := s.readContacts(ctx)
	if err != nil {
		klog.V(1).Infof("node: The contact list could not be read: %v.", err)
		return
	}
	if nodes := s.withKnown(list); alone && len(nodes) > 0 {
		s.overlay.Join(nodes)
	}
	s.writeContacts(ctx, list, index)
}

// writeContacts replaces the list when it has changed. Whether the write took
// effect does not matter: the next look tells.
func (s *Server) writeContacts(ctx context.Context, list contacts.List, index uint64) {
	members := s.overlay.Snapshot().Members
	alive := func(node model.NodeAddr) bool {
		return slices.ContainsFunc(members, func(m membership.Member) bool { return m.Node == node })
	}
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
