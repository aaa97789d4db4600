//go:build review2

package main

import "encoding/json"

// tenant is a tenant of a configuration.
type tenant struct {
	Name           string   `json:"name"`
	APIKeys        []string `json:"api_keys"`
	Priority       int      `json:"priority"`
	AllowedRegions []string `json:"allowed_regions"`
}

// configuration returns a configuration with the routes of the small deployment.
func configuration(version int, tenants []tenant) []byte {
	route := func(name, prefix, kind, service string, timeout, slo, attempts int, more map[string]any) map[string]any {
		r := map[string]any{
			"name": name, "host": host, "prefix": prefix, "kind": kind, "timeout_ms": timeout, "slo_ms": slo, "priority": 1,
			"service": service, "max_attempts": attempts, "anonymous": false, "allowed_regions": []string{},
		}
		for k, v := range more {
			r[k] = v
		}
		return r
	}
	text, _ := json.Marshal(map[string]any{
		"version": version,
		"routes": []any{
			route("dossier", "/dossier/", "streaming", "lm", 15000, 800, 2, map[string]any{"resumable": true, "gap_slo_ms": 300, "session_affinity": true}),
			route("query", "/query/", "streaming", "lm", 12000, 400, 1, map[string]any{"resumable": false, "gap_slo_ms": 300, "session_affinity": true}),
			route("settle", "/settle/", "unsafe", "app", 1000, 200, 1, nil),
			route("lookup", "/lookup/", "safe", "app", 1000, 200, 2, nil),
		},
		"services": []any{
			map[string]any{
				"name": "lm", "health_path": "/health", "max_conns": 360, "protocol": "h1", "tls": false, "cold_start_s": 3.0, "cold_per_s": 13.0,
				"engine": map[string]any{
					"slots": 64, "kv" + "_capacity_tokens": 534185, "kv_token_bytes": 163840, "link_mbps": 180000.0, "moves": false,
					"backups": false, "stride": 6, "most": 12, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0,
					"models": []any{map[string]any{"name": "m"}},
				},
			},
			map[string]any{"name": "app", "health_path": "/health", "max_conns": 96, "protocol": "h1", "tls": false, "cold_start_s": 0.0, "cold_per_s": 0.0},
		},
		"limits": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000, "tokens_per_s": 430000,
		},
		"tenants": tenants,
	})
	return text
}
