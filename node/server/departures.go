package server

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"

	"zinniafall/policy/model"
	"zinniafall/policy/problem"
)

const (
	// departurePrefix is the prefix of the keys of departures in the store.
	departurePrefix = "zinniafall/departures/"
	// departureTTL is how long the store keeps a departure. It exceeds maxLease, after which
	// no announcement is valid any more.
	departureTTL = 2 * maxLease
	// departureTimeout bounds how long a target waits for the acknowledgement of its departure.
	departureTimeout = 2 * time.Second
	// departureCheckTimeout bounds how long the first announcement of a process waits for the
	// store, and departureRetryDelay is the time between further attempts to ask it.
	departureCheckTimeout = 400 * time.Millisecond
	departureRetryDelay   = time.Second
)

// errDepartureNotWritten reports that the store refused to write a departure.
var errDepartureNotWritten = errors.New("the lease of the departure has ended")

// departureKey returns the key for the departure of a process of the target beside this node.
func (s *Server) departureKey(instance string) string {
	return fmt.Sprintf("%s%s/%016x", departurePrefix, s.self, xxhash.Sum64String(instance))
}

// acknowledgeDeparture answers a target that says that it leaves. The answer is a success only
// if the store has the departure, which binds the process that takes this node's place, too.
func (s *Server) acknowledgeDeparture(w http.ResponseWriter, r *http.Request) {
	instance := s.target.instance()
	if instance != "" {
		ctx, cancel := context.WithTimeout(r.Context(), departureTimeout)
		defer cancel()
		if err := s.storeDeparture(ctx, instance); err != nil {
			klog.Warningf("target: The departure of %q is not acknowledged: %v.", instance, err)
			refusal := problem.New(problem.StoreUnavailable, model.RunNo, "the target gets no calls, but the store does not have its departure yet: send it again")
			http.Error(w, refusal.Error(), refusal.Status())
			return
		}
	}
	w.WriteHeader(http.StatusNoContent)
}

// storeDeparture writes a departure under a lease of its own, which is not renewed.
func (s *Server) storeDeparture(ctx context.Context, instance string) error {
	key := s.departureKey(instance)
	lease, err := s.configuration.store.Grant(ctx, departureTTL)
	if err != nil {
		return err
	}
	written, err := s.configuration.store.Acquire(ctx, key, []byte(instance), lease)
	if err != nil || written {
		return err
	}
	// An earlier attempt may hold the key.
	if departed, err := s.hasDeparted(ctx, instance); err != nil || departed {
		return err
	}
	return errDepartureNotWritten
}

// hasDeparted reports whether the store has the departure of a process.
func (s *Server) hasDeparted(ctx context.Context, instance string) (bool, error) {
	entry, err := s.configuration.store.Get(ctx, s.departureKey(instance))
	return err == nil && entry.Found && string(entry.Value) == instance, err
}

// checkDeparture finds out whether a process that announces itself for the first time has said
// to a predecessor of this node that it leaves: the announcement may be late. Without an answer
// of the store the process is used meanwhile, and departuresLoop goes on asking.
func (s *Server) checkDeparture(ctx context.Context, instance string) {
	ctx, cancel := context.WithTimeout(ctx, departureCheckTimeout)
	defer cancel()
	departed, err := s.hasDeparted(ctx, instance)
	switch {
	case err != nil:
		klog.Warningf("target: The departure of %q could not be looked up: %v. The target is used meanwhile.", instance, err)
		select {
		case s.unchecked <- struct{}{}:
		default:
		}
	case departed:
		s.recordDeparture(instance)
	}
}

func (s *Server) recordDeparture(instance string) {
	klog.Infof("target: %q said that it leaves before this node started.", instance)
	s.owner.Leave(instance)
}

// departuresLoop asks the store again for the departure of the present process when the first
// attempt has failed, until the node ends.
func (s *Server) departuresLoop() {
	for s.ctx.Err() == nil {
		select {
		case <-s.ctx.Done():
			return
		case <-s.unchecked:
		}
		for s.ctx.Err() == nil {
			sleep(s.ctx, departureRetryDelay)
			instance := s.target.instance()
			ctx, cancel := context.WithTimeout(s.ctx, departureTimeout)
			departed, err := s.hasDeparted(ctx, instance)
			cancel()
			if departed {
				s.recordDeparture(instance)
			}
			if err == nil {
				break
			}
		}
	}
}
