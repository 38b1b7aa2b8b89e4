package main

import (
	"encoding/json"
	"fmt"
)

type spec = map[string]any

func resource(kind, name string, s spec) spec {
	metadata := spec{}
	if name != "" {
		metadata["name"] = name
	}
	return spec{"resource_type": kind, "metadata": metadata, "spec": s}
}

// configuration encodes a configuration as the operator writes it to op/config.
func configuration(version int, resources ...spec) []byte {
	raw, err := json.Marshal(spec{"version": fmt.Sprintf("%08x", version), "resources": resources})
	if err != nil {
		panic(err)
	}
	return raw
}

func service(name string) spec {
	return resource("services", name, spec{"health_path": "/health", "max_connections": 260, "protocol": "h1", "tls": false, "warmup_s": 3.0, "cold_per_s": 29.0})
}

func limits() spec {
	return resource("limits", "", spec{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000})
}
