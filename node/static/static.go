// Package static reads a node's settings file: what a process must know
// before it has met any other, and keeps until it stops. What operators change
// while nodes run is the dynamic configuration, which is not in this file.
package static

import (
	"encoding/base64"
	"time"

	"zinniafall/node/trust"
	"zinniafall/policy/model"
)

// Settings is a checked settings file.
type Settings struct {
	Node      Node      `json:"node"`
	Callers   Listener  `json:"callers"`
	Peers     Peers     `json:"peers"`
	Operators Operators `json:"operators"`
	Target    Listener  `json:"target"`
	Store     Store     `json:"store"`
	Fleet     Fleet     `json:"fleet"`
	Limits    Limits    `json:"limits"`
	Placement Placement `json:"placement"`
	Stop      Stop      `json:"stop"`
	Log       Log       `json:"log"`
	Trace     Trace     `json:"trace"`
}

// Node says where the VM stands.
type Node struct {
	// FailureDomain of the VM.
	FailureDomain model.Domain `json:"failure_domain"`
	// Region of the failure domain.
	Region model.Region `json:"region"`
}

// Listener is an address to listen on.
type Listener struct {
	// Listen is "ip:port".
	Listen string `json:"listen"`
}

// Peers configures the traffic between nodes.
type Peers struct {
	// Listen is the UDP address "ip:port".
	Listen string `json:"listen"`
	// Advertise is the address by which other nodes reach this one; default
	// Listen.
	Advertise model.NodeAddr `json:"advertise"`
	// Known lists nodes through which this one joins, also while the store is
	// down.
	Known []model.NodeAddr `json:"known"`
}

// Operators configures the operators' API.
type Operators struct {
	// Listen is "ip:port".
	Listen string `json:"listen"`
	// Tokens are the accepted tokens.
	Tokens []Token `json:"tokens"`
}

// Token lets one operator use the operators' API.
type Token struct {
	// Name is recorded as the author of changes.
	Name string `json:"name"`
	// Hash is the hexadecimal SHA-256 of the token.
	Hash string `json:"token_sha256"`
}

// Store names the platform's key-value service.
type Store struct {
	// URL is "http://ip:port".
	URL string `json:"url"`
}

// Fleet holds what all nodes share.
type Fleet struct {
	// Secrets are base64 of at least 32 random bytes each. The first signs;
	// both are accepted, so that a rotation needs no stop.
	Secrets []string `json:"secrets"`
}

// Limits bound what callers and peers may use.
type Limits struct {
	// HeaderBytes bounds a request's header; default 32768.
	HeaderBytes int `json:"header_bytes"`
	// HeaderTimeoutMs bounds the time to send a header; default 5000.
	HeaderTimeoutMs int `json:"header_timeout_ms"`
	// BodyBytes bounds a request's body; default 10485760.
	BodyBytes int64 `json:"body_bytes"`
	// CallerConnections bounds the callers' connections; default 1024.
	CallerConnections int `json:"caller_connections"`
	// Calls bounds the calls under way at this entry; default 512.
	Calls int `json:"calls"`
	// PeerConnections bounds the connections with other nodes, whichever end
	// opened them; default 256. This entry opens up to half of them.
	PeerConnections int `json:"peer_connections"`
}

// Placement selects how an entry chooses a target.
type Placement struct {
	// Policy is "predicted" (default) or one of the baselines "random",
	// "round-robin", "least-reported" and "per-connection".
	Policy string `json:"policy"`
}

// Stop bounds a graceful stop.
type Stop struct {
	// TimeoutMs is the longest wait for calls in flight; default 30000.
	TimeoutMs int `json:"timeout_ms"`
}

// Log configures the log.
type Log struct {
	// Level is klog's verbosity; default 0.
	Level int `json:"level"`
}

// Trace configures the export of spans.
type Trace struct {
	// URL of an OTLP endpoint over HTTP; empty turns tracing off.
	URL string `json:"url"`
	// Sample is the share of calls traced when the caller did not decide;
	// default 0.01.
	Sample float64 `json:"sample"`
}

// The defaults of optional settings.
const (
	defaultHeaderBytes       = 32 << 10
	defaultHeaderTimeoutMs   = 5000
	defaultBodyBytes         = 10 << 20
	defaultCallerConnections = 1024
	defaultCalls             = 512
	defaultPeerConnections   = 256
	defaultStopTimeoutMs     = 30000
	defaultSample            = 0.01
)

// withDefaults returns the settings used when the file leaves a field out.
func withDefaults() *Settings {
	return &Settings{
		Limits: Limits{
			HeaderBytes:       defaultHeaderBytes,
			HeaderTimeoutMs:   defaultHeaderTimeoutMs,
			BodyBytes:         defaultBodyBytes,
			CallerConnections: defaultCallerConnections,
			Calls:             defaultCalls,
			PeerConnections:   defaultPeerConnections,
		},
		Placement: Placement{Policy: "predicted"},
		Stop:      Stop{TimeoutMs: defaultStopTimeoutMs},
		Trace:     Trace{Sample: defaultSample},
	}
}

// StopTimeout returns the longest wait of a graceful stop.
func (s *Settings) StopTimeout() time.Duration {
	return time.Duration(s.Stop.TimeoutMs) * time.Millisecond
}

// HeaderTimeout returns the time that a caller has to send a header.
func (s *Settings) HeaderTimeout() time.Duration {
	return time.Duration(s.Limits.HeaderTimeoutMs) * time.Millisecond
}

// Secrets returns the decoded fleet secrets. Check has verified their form.
func (s *Settings) Secrets() []trust.Secret {
	secrets := make([]trust.Secret, 0, len(s.Fleet.Secrets))
	for _, text := range s.Fleet.Secrets {
		raw, _ := base64.StdEncoding.DecodeString(text)
		secrets = append(secrets, raw)
	}
	return secrets
}
