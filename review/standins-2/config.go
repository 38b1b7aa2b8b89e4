package main

import (
	"encoding/json"
	"fmt"
)

// routeSpec is one route of a configuration.
type routeSpec struct {
	name, host, prefix, kind, service string
	timeoutMs, targetMs, maxAttempts  int
}

// configDocument returns a configuration in the form of PROTOCOL.md and of `fleetbench wire`.
func configDocument(version int, routes []routeSpec, services ...string) []byte {
	resources := []any{}
	for n, r := range routes {
		resources = append(resources, map[string]any{
			"resource_type": "routes", "metadata": map[string]any{"name": r.name},
			"spec": map[string]any{"host": r.host, "prefix": r.prefix, "route_type": r.kind, "timeout_ms": r.timeoutMs, "target_latency_ms": r.targetMs, "priority": n, "service": r.service, "max_attempts": r.maxAttempts},
		})
	}
	for _, s := range services {
		resources = append(resources, map[string]any{
			"resource_type": "services", "metadata": map[string]any{"name": s},
			"spec": map[string]any{"health_path": "/health", "max_connections": 260, "protocol": "h1", "tls": false, "warmup_s": 3.0, "cold_per_s": 29.0},
		})
	}
	resources = append(resources, map[string]any{
		"resource_type": "limits", "metadata": map[string]any{},
		"spec": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	raw, _ := json.Marshal(map[string]any{"version": fmt.Sprintf("%08x", version), "base_version": "00000000", "resources": resources})
	return raw
}
