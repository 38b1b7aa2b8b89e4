// Package static reads a node's settings file. It holds what a node needs before
// it can contact other nodes, and stays fixed until the node stops. What operators
// change while nodes run is the dynamic configuration, which is not in this file.
package static

import (
	"encoding/base64"
	"time"

	"zinniafall/node/trust"
	"zinniafall/policy/model"
)

// Settings is the content of a valid settings file.
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

// Node describes the location of the VM.
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
	// Known lists nodes to join through, also while the store is unavailable.
	Known []model.NodeAddr `json:"known"`
}

// Operators configures the operator API.
type Operators struct {
	// Listen is "ip:port".
	Listen string `json:"listen"`
	// Tokens are the accepted tokens.
	Tokens []Token `json:"tokens"`
}

// Token grants one operator access to the operator API.
type Token struct {
	// Name is recorded as the author of changes.
	Name string `json:"name"`
	// Hash is the hexadecimal SHA-256 of the token.
	Hash string `json:"token_sha256"`
}

// Store configures the client of the platform's key-value service.
type Store struct {
	// URL is "http://ip:port".
	URL string `json:"url"`
}

// Fleet holds the settings that all nodes share.
type Fleet struct {
	// Secrets are one or two base64 strings of at least 32 random bytes each. The
	// first signs and both are accepted, so that a rotation needs no downtime.
	Secrets []string `json:"secrets"`
}

// Limits bounds the resources that callers and peers may use.
type Limits struct {
	// HeaderBytes is the maximum size of a request's header; default 32768.
	HeaderBytes int `json:"header_bytes"`
	// HeaderTimeoutMs is the maximum time to receive a header; default 5000.
	HeaderTimeoutMs int `json:"header_timeout_ms"`
	// BodyBytes is the maximum size of a request's body; default 10485760.
	BodyBytes int64 `json:"body_bytes"`
	// CallerConnections is the maximum number of callers' connections; default
	// 1024.
	CallerConnections int `json:"caller_connections"`
	// Calls is the maximum number of calls in flight at this entry; default 512.
	Calls int `json:"calls"`
	// PeerConnections is the maximum number of connections with other nodes in
	// both directions; default 256. This entry opens up to half of them.
	PeerConnections int `json:"peer_connections"`
}

// Placement configures how an entry chooses a target.
type Placement struct {
	// Policy is "predicted" (default) or one of the baselines "random",
	// "round-robin", "least-reported" and "per-connection".
	Policy string `json:"policy"`
}

// Stop configures a graceful stop.
type Stop struct {
	// TimeoutMs is the maximum wait for calls in flight; default 30000.
	TimeoutMs int `json:"timeout_ms"`
}

// Log configures logging.
type Log struct {
	// Level is klog's verbosity; default 0.
	Level int `json:"level"`
}

// Trace configures the export of spans.
type Trace struct {
	// URL of an OTLP endpoint over HTTP; empty disables tracing.
	URL string `json:"url"`
	// Sample is the fraction of calls that are traced when the caller made no
	// sampling decision; default 0.01.
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

// defaultSettings returns the settings for fields that the file omits.
func defaultSettings() *Settings {
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

// StopTimeout returns the maximum wait for calls in flight in a graceful stop.
func (s *Settings) StopTimeout() time.Duration {
	return time.Duration(s.Stop.TimeoutMs) * time.Millisecond
}

// HeaderTimeout returns the maximum time to receive a request's header.
func (s *Settings) HeaderTimeout() time.Duration {
	return time.Duration(s.Limits.HeaderTimeoutMs) * time.Millisecond
}

// Secrets returns the decoded fleet secrets. Parse has validated their encoding.
func (s *Settings) Secrets() []trust.Secret {
	secrets := make([]trust.Secret, 0, len(s.Fleet.Secrets))
	for _, text := range s.Fleet.Secrets {
		raw, _ := base64.StdEncoding.DecodeString(text)
		secrets = append(secrets, raw)
	}
	return secrets
}
