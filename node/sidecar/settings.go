package sidecar

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"zinniafall/policy/model"
	"zinniafall/policy/proof"
)

// Settings holds the local settings of a node.
type Settings struct {
	// Name of the node in logs.
	Name   string
	Domain model.Domain
	Region model.Region
	// Callers, Peers and Metrics are the listen addresses for callers, other
	// nodes and metrics; Metrics may be empty.
	Callers, Peers, Metrics string
	// Readiness is the listen address for the platform's readiness checks, and
	// Announcements the one for the target's announcements.
	Readiness, Announcements string
	// Target is the address of the target beside the node, and Service the
	// service that it belongs to.
	Target  string
	Service model.Service
	// Store is the address of the platform's key-value store.
	Store string
	// ApplyTime is the time after its acknowledgement in which a configuration must be in
	// force on all nodes; 0 means no such bound.
	ApplyTime time.Duration
	// StoreValueBytes is the size of the largest value that the store promises to hold, or
	// 0 if it is not known.
	StoreValueBytes int
	// MaxDescriptors is the number of descriptors that the process may have
	// open.
	MaxDescriptors int
	// MemoryMB is the memory that the VM gives the process.
	MemoryMB int
	// LinkMbps is the capacity of the VM's link in Mbit/s, or 0 if it is not known.
	LinkMbps float64
	// GracePeriod is the time between the stop request and the kill.
	GracePeriod time.Duration
	// RetryRatio, RetryWindow and RetrySlack limit the retries that reach the
	// targets of one service, over all nodes: in each window the ratio of its
	// requests plus the slack.
	RetryRatio  float64
	RetryWindow time.Duration
	RetrySlack  float64
	// ColdOvershoot and ColdSlack limit the calls that a cold target gets in
	// one second: its stated rate times ColdOvershoot plus ColdSlack.
	ColdOvershoot float64
	ColdSlack     float64
	// Rollouts enables rollouts of target versions. ExposureRatio and ExposureSlack
	// limit the requests that may reach a bad version, and RollbackTime is how long
	// requests may be sent to it after its 50th bad answer.
	Rollouts      bool
	ExposureRatio float64
	ExposureSlack float64
	RollbackTime  time.Duration
	// Domains is the number of failure domains, reachable or not; 0 if it is not known.
	Domains int
	// QuotaWindow, QuotaOvershoot and QuotaSlack bound the requests of an account, over all
	// nodes: in each window what its quota allows, times 1 + QuotaOvershoot, plus
	// QuotaSlack. Zero values mean those of package quota.
	QuotaWindow    time.Duration
	QuotaOvershoot float64
	QuotaSlack     float64
	// StrictRevocation refuses calls with the key of an account unless this node can
	// show that the key was not withdrawn more than RevocationTime ago.
	StrictRevocation bool
	RevocationTime   time.Duration
}

// Check returns all problems of the settings, or nil if there are none.
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
	if s.LinkMbps < 0 || s.GracePeriod < 0 || s.RetryRatio < 0 || s.RetrySlack < 0 || s.ColdOvershoot < 0 || s.ColdSlack < 0 || s.RetryWindow < 0 {
		problems = append(problems, errors.New("the link's capacity, the grace period, the retry limits and the cold limits must not be below zero"))
	}
	if s.ApplyTime < 0 || s.StoreValueBytes < 0 {
		problems = append(problems, errors.New("the time in which configurations come into force and the size of the store's values must not be below zero"))
	}
	if s.ExposureRatio < 0 || s.ExposureSlack < 0 || s.RollbackTime < 0 {
		problems = append(problems, errors.New("the limits of rollouts must not be below zero"))
	}
	if s.QuotaWindow < 0 || s.QuotaOvershoot < 0 || s.QuotaSlack < 0 {
		problems = append(problems, errors.New("the window, overshoot and slack of quotas must not be below zero"))
	}
	if s.StrictRevocation && s.RevocationTime <= proof.Margin {
		problems = append(problems, fmt.Errorf("keys must be withdrawn within %s; that takes more than %s", s.RevocationTime, proof.Margin))
	}
	return errors.Join(problems...)
}

// Dialect holds the names of the header fields that callers and targets use. The
// comments describe the values of the header fields.
type Dialect struct {
	// RequestID is the caller's ID of a request, echoed by targets.
	RequestID string
	// Deadline is the remaining time until the caller's deadline, in
	// milliseconds.
	Deadline string
	// Mark is present in each answer that a target made.
	Mark string
	// ExpectTarget is the ID of the only target that may run the request.
	ExpectTarget string
	// Load is the target's load: running, waiting, slots and, optionally, the
	// service time in percent of the usual one.
	Load string
	// NotRun is present in a target's answer to a request that it did not run.
	NotRun string
	// Origin is the service on whose VM the request started.
	Origin string
	// TargetID is the ID of the target that answered.
	TargetID string
	// ColdLeft is the remaining time for which the target is cold, in
	// milliseconds.
	ColdLeft string
	// StatedLimit is the number of requests per second, a decimal number, that
	// the target takes from all nodes together.
	StatedLimit string
	// Account is the name of the caller's account.
	Account string
	// Leaving is "1" in each answer of a target that is about to stop.
	Leaving string
}
