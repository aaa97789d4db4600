//go:build review

package main

import "time"

// route returns a route of the configuration.
func route(name, path, kind, service string, attempts int) map[string]any {
	return map[string]any{
		"name": name, "host": host, "prefix": path, "kind": kind, "timeout_ms": 1000, "slo_ms": 200, "priority": 2, "service": service,
		"max_attempts": attempts, "anonymous": false, "session_affinity": false, "resumable": false, "allowed_regions": []string{},
	}
}

// configuration returns a configuration with one tenant that holds the keys.
func configuration(version int, keys []string) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{
			route("r-settle", "/puxa403/", "unsafe", "auction-app", 1),
			route("r-lookup", "/cufi504/", "safe", "auction-app", 2),
		},
		"services": []any{map[string]any{
			"name": "auction-app", "health_path": "/health", "max_conns": 96, "protocol": "h1", "tls": false, "cold_start_s": 0.0, "cold_per_s": 0.0,
		}},
		"limits": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000, "tokens_per_s": 430000,
		},
		"tenants": []any{map[string]any{"name": "hule930", "api_keys": keys, "priority": 1, "allowed_regions": []string{}}},
	}
}

var (
	settle = request{method: "POST", path: "/puxa403/2f", body: []byte("lot 7, 1200"), deadline: time.Second}
	lookup = request{method: "GET", path: "/cufi504/2f", deadline: time.Second}
)

// lastKeysRevoked: the operator takes away the two keys of the only tenant. Requests with these
// keys, and with one that no configuration ever held, must not run afterwards.
func lastKeysRevoked(r *run) {
	const foreignKey = "zz00never0held0zz00"
	keys := []string{"asnmgkcuyj8pjbvk9m68", "k7b2ex5wa5xwyhks8nbk"}
	const revokeTime = 5 * time.Second
	for i := range 3 {
		r.addServer(i, "auction-app")
	}
	r.store.put(keyConfig, configuration(7, keys))
	r.startFleet(3)
	r.logf("before: the keys are in force")
	served := 0
	for _, m := range r.machine {
		for _, key := range keys {
			if r.try(m, settle, key) {
				served++
			}
		}
	}
	if served == 0 {
		unable("no request with a key that is in force is served")
	}
	if r.trouble {
		time.Sleep(time.Until(r.store.put(keyConfig, configuration(9, []string{keys[1]})).Add(time.Second)))
		r.logf("the operator has taken away the first key")
		ack := r.store.put(keyConfig, configuration(12, []string{}))
		r.logf("the operator has taken away the second key, the tenant's last; the store has acknowledged it")
		time.Sleep(time.Until(ack.Add(revokeTime)))
	} else {
		time.Sleep(time.Second + revokeTime)
	}
	// Over revoke_ms after the acknowledgement.
	time.Sleep(time.Second)
	for _, m := range r.machine {
		for _, q := range []request{settle, lookup} {
			for _, key := range append(keys[:2:2], foreignKey) {
				ran := r.try(m, q, key)
				switch {
				case ran && key == foreignKey:
					r.breach("ROUTE: a request ran whose key no configuration ever held")
				case ran && r.trouble:
					r.breach("CONFIG: a request ran that was sent later than revoke_ms after the acknowledgement of the configuration that took its key away")
				}
			}
		}
	}
}

// try sends a request with a key and reports whether it ran.
func (r *run) try(m *machine, q request, key string) bool {
	q.key = key
	id, a := r.send(m, q)
	ran := r.executions(id)
	r.logf("request %s to %s: %s %s with key %s: status %d, signature %q, error %v, runs %d", id, m.name, q.method, q.path, key, a.status, a.signature, a.err, len(ran))
	return len(ran) > 0
}
