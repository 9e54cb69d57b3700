package main

import (
	"encoding/json"
	"fmt"
)

// route is a route of a configuration.
type route struct {
	name, prefix, service string
	safe                  bool
	timeout               float64 // seconds
}

// tenant is a tenant of a configuration.
type tenant struct {
	name string
	keys []string
}

const host = "jepu9.example"

type entry struct {
	Kind     string         `json:"entry_kind"`
	Metadata map[string]any `json:"metadata"`
	Spec     map[string]any `json:"spec"`
}

// configuration returns the operator's document for the row op/config.
func configuration(version int, routes []route, tenants []tenant) string {
	entries := []entry{}
	services := map[string]bool{}
	for _, r := range routes {
		kind := "unsafe"
		if r.safe {
			kind = "safe"
		}
		entries = append(entries, entry{"routes", map[string]any{"name": r.name}, map[string]any{
			"host": host, "prefix": r.prefix, "type": kind, "timeout_s": r.timeout, "target_latency_s": r.timeout / 5, "priority": 1, "service": r.service,
			"max_attempts": 2, "public": false, "session_affinity": false, "allowed_regions": []string{},
		}})
		services[r.service] = true
	}
	for name := range services {
		entries = append(entries, entry{"services", map[string]any{"name": name}, map[string]any{
			"health_check_path": "/health", "max_connections": 390, "protocol": "h1", "tls": false, "cold_start_s": 3.0, "cold_per_s": 2.6,
		}})
	}
	for _, t := range tenants {
		entries = append(entries, entry{"tenants", map[string]any{"name": t.name}, map[string]any{
			"api_keys": t.keys, "priority": 0, "rate_per_s": 0, "burst": 0, "allowed_regions": []string{},
		}})
	}
	entries = append(entries, entry{"limits", map[string]any{}, map[string]any{
		"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_s": 3, "idle_timeout_s": 15,
	}})
	data, _ := json.Marshal(map[string]any{"version": fmt.Sprintf("%08x", version), "resources": entries})
	return string(data)
}
