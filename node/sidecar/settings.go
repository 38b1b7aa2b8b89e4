package sidecar

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"zinniafall/policy/model"
)

// Settings is what a node knows before it has met any other.
type Settings struct {
	// Name of the node in logs.
	Name   string
	Domain model.Domain
	Region model.Region
	// Callers, Peers, Metrics are the addresses to listen on; Metrics may be
	// empty.
	Callers, Peers, Metrics string
	// Readiness and Announcements are where the platform asks for readiness
	// and where the target announces itself.
	Readiness, Announcements string
	// Target is the address of the target beside the node, and Service the
	// service that it belongs to.
	Target  string
	Service model.Service
	// Store is the address of the platform's key-value service.
	Store string
	// MaxDescriptors that the process may have open.
	MaxDescriptors int
	// MemoryMB is the memory that the VM gives the process.
	MemoryMB int
	// GracePeriod is the time between the request to stop and the kill.
	GracePeriod time.Duration
	// RetryRatio, RepeatWindow and RepeatSlack bound the repeats that reach
	// the targets of one service, over all nodes: in each window the ratio of
	// its requests and the slack.
	RetryRatio  float64
	RetryWindow time.Duration
	RetrySlack  float64
	// ColdOvershoot and ColdSlack are what a cold target bears in one second:
	// its stated rate times the one plus the other, in calls.
	ColdOvershoot float64
	ColdSlack     float64
}

// Check returns every problem of the settings, nil when there is none.
func (s *Settings) Check() error {
	var problems []error
	for _, a := range []struct{ name, value string }{
		{"callers", s.Callers}, {"peers", s.Peers}, {"readiness", s.Readiness},
		{"announcements", s.Announcements}, {"target", s.Target}, {"store", s.Store},
	} {
		if _, err := netip.ParseAddrPort(a.value); err != nil {
			problems = append(problems, fmt.Errorf("the address of %s, %q, is not ip:port", a.name, a.value))
		}
	}
	if s.Domain == "" {
		problems = append(problems, errors.New("the failure domain is missing"))
	}
	if s.Service == "" {
		problems = append(problems, errors.New("the target's service is missing"))
	}
	if s.GracePeriod < 0 || s.RetryRatio < 0 || s.RetrySlack < 0 || s.ColdOvershoot < 0 || s.ColdSlack < 0 || s.RetryWindow < 0 {
		problems = append(problems, errors.New("a bound is below zero"))
	}
	return errors.Join(problems...)
}

// Dialect names the header fields that callers and targets use.
type Dialect struct {
	// RequestID is the caller's id of a request, echoed by targets.
	RequestID string
	// Deadline is what is left of the caller's patience, in milliseconds.
	Deadline string
	// Mark is on each answer that a target made.
	Mark string
	// ExpectTarget names the only target that may run the request.
	ExpectTarget string
	// Load is the target's load: running, waiting, slots and, where stated,
	// the time of work in percent of the usual.
	Load string
	// NotRun is on a target's answer to a request that it did not run.
	NotRun string
	// Origin is the service on whose VM the request began.
	Origin string
	// TargetID names the target that answered.
	TargetID string
	// ColdLeft is how long the target stays cold, in milliseconds.
	ColdLeft string
}
