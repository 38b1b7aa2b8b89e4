package server

import (
	"context"
	"time"

	"k8s.io/klog/v2"
)

const (
	// leaveSpread is the time for the news that a node leaves to reach the
	// other entries and its callers, during which it still takes work.
	leaveSpread = 1500 * time.Millisecond
	// drainPoll is the pause between looks at what still runs.
	drainPoll = 20 * time.Millisecond
	// drainLog is the pause between log lines that name what still runs.
	drainLog = 2 * time.Second
)

// Stop ends the node without cutting off a call, as far as the time limit of
// the settings allows. The context's end cuts the wait short.
func (s *Server) Stop(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, s.settings.StopTimeout())
	defer cancel()
	klog.Info("node: A graceful stop has begun.")
	s.stopping.Store(true)
	s.overlay.Leave()
	sleep(ctx, leaveSpread)
	callersDone := s.closeCallers(ctx)
	s.owner.SetStopping()
	s.entry.Close()
	s.awaitIdle(ctx)
	<-callersDone
	s.Kill()
	klog.Info("node: The node has stopped.")
}

// superseded ends a process whose address a later process has.
func (s *Server) superseded() {
	klog.Error("node: Another process has this node's address. Give each node a peers.advertise of its own.")
	s.owner.SetStopping()
	s.stopping.Store(true)
}

// closeCallers stops accepting callers. Kept-open connections are told to go
// away by the means of their protocol and closed when their calls end.
func (s *Server) closeCallers(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := s.callers.Shutdown(ctx); err != nil {
			klog.Warningf("node: Callers' connections were still open at the time limit: %v.", err)
		}
	}()
	return done
}

// awaitIdle waits for the calls of other entries and of own callers.
func (s *Server) awaitIdle(ctx context.Context) {
	poll := time.NewTicker(drainPoll)
	defer poll.Stop()
	logged := time.Now()
	for {
		own, others := s.entry.CallsInFlight(), s.served.Load()
		inFlight := s.owner.Load().InFlight
		if own == 0 && others == 0 && inFlight == 0 {
			return
		}
		if time.Since(logged) > drainLog {
			klog.Infof("node: Waits for %d own calls, %d calls of other entries, %d calls at the target.", own, others, inFlight)
			logged = time.Now()
		}
		select {
		case <-ctx.Done():
			klog.Warningf("node: The time limit cuts off %d own calls and %d calls of other entries.", own, others)
			return
		case <-s.ctx.Done():
			return
		case <-poll.C:
		}
	}
}

// Kill ends the node at once. A second call waits for the first.
func (s *Server) Kill() { s.killed.Do(s.kill) }

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
	s.duties.Wait()
	_ = s.tracer.Close(context.WithoutCancel(s.ctx))
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
