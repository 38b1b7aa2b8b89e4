package server

import (
	"context"
	"time"

	"k8s.io/klog/v2"
)

const (
	// leaveSpreadTime is how long a leaving node goes on accepting calls, so
	// that the other entries and its callers learn that it leaves before it
	// refuses any.
	leaveSpreadTime = 1500 * time.Millisecond
	// lastAnswersTime bounds how long a stop that has timed out answers the calls that are
	// left.
	lastAnswersTime = 250 * time.Millisecond
	// drainPollInterval is the time between two checks for calls in progress.
	drainPollInterval = 20 * time.Millisecond
	// drainLogInterval is the time between two log lines on calls in progress.
	drainLogInterval = 2 * time.Second
)

// Stop stops the node gracefully: calls in progress are completed unless they
// exceed the stop timeout of the settings. The end of the context ends the
// wait early.
func (s *Server) Stop(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, s.settings.StopTimeout())
	defer cancel()
	klog.Info("node: A graceful stop has begun.")
	if end, ok := ctx.Deadline(); ok {
		s.stopEnd.Store(&end)
	}
	s.stopping.Store(true)
	s.overlay.Leave()
	sleep(ctx, leaveSpreadTime)
	callersDone := s.closeCallers(ctx)
	s.owner.SetStopping()
	s.entry.Close()
	s.awaitIdle(ctx)
	<-callersDone
	s.endRemainingCalls()
	s.Kill()
	klog.Info("node: The node has stopped.")
}

// endRemainingCalls answers the calls that the stop did not wait for: their outcome is unknown
// if a target may have begun them.
func (s *Server) endRemainingCalls() {
	s.endCalls()
	for began := time.Now(); s.entry.CallsInFlight() > 0 && time.Since(began) < lastAnswersTime; {
		time.Sleep(drainPollInterval)
	}
}

// currentStopEnd returns the time at which the stop of the node ends at the latest. The second
// result is false if it does not stop.
func (s *Server) currentStopEnd() (time.Time, bool) {
	if end := s.stopEnd.Load(); end != nil {
		return *end, true
	}
	return time.Time{}, false
}

// onSuperseded stops accepting calls because a later process has this node's
// address.
func (s *Server) onSuperseded() {
	klog.Error("node: Another process has this node's address. Give each node a peers.advertise of its own.")
	s.owner.SetStopping()
	s.stopping.Store(true)
}

// closeCallers stops accepting callers. Their kept-alive connections are asked
// to close by the means of their protocol and closed when their calls end. The
// channel is closed when all are closed or the context has ended.
func (s *Server) closeCallers(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := s.callers.Shutdown(ctx); err != nil {
			klog.Warningf("node: Caller connections were still open at the stop timeout: %v.", err)
		}
	}()
	return done
}

// awaitIdle waits until no call of this entry, no request of another node and
// no call at the target is in progress, or until the context ends.
func (s *Server) awaitIdle(ctx context.Context) {
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	lastLogged := time.Now()
	for {
		ownCalls, peerRequests := s.entry.CallsInFlight(), s.peerRequests.Load()
		inFlight := s.owner.Load().InFlight
		if ownCalls == 0 && peerRequests == 0 && inFlight == 0 {
			return
		}
		if time.Since(lastLogged) > drainLogInterval {
			klog.Infof("node: Waiting for %d calls of this entry, %d requests of other nodes and %d calls at the target.", ownCalls, peerRequests, inFlight)
			lastLogged = time.Now()
		}
		select {
		case <-ctx.Done():
			klog.Warningf("node: The stop timeout cuts off %d calls of this entry and %d requests of other nodes.", ownCalls, peerRequests)
			return
		case <-s.ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Kill stops the node at once. Concurrent and later calls wait for the first
// one.
func (s *Server) Kill() { s.killOnce.Do(s.kill) }

// kill stops the sources of new work first, then the parts that serve it, and
// waits for the goroutines.
func (s *Server) kill() {
	s.cancel()
	_ = s.callers.Close()
	_ = s.targetAPI.Close()
	_ = s.operators.Close()
	s.configuration.stop()
	s.overlay.Stop()
	s.transport.Close()
	s.owner.Stop()
	s.target.close()
	s.goroutines.Wait()
	_ = s.tracer.Close(context.WithoutCancel(s.ctx))
}

// sleep waits for the duration or the end of the context.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
