//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// deadlyPart holds what is counted of a part of prompts that crashes servers.
type deadlyPart struct {
	mu sync.Mutex
	// isDeadly is set from the moment on at which the part crashes servers.
	isDeadly bool
	crashes  []time.Time
	// arrivals are the requests with the part that reached a server while it was deadly.
	arrivals []time.Time
	// served counts the sound streams that requesters got whole, cut are the times at which others
	// broke off.
	served int
	cut    []time.Time
}

// partID is the part.
const partID = "dead0f"

// has reports whether a request has the part, which is never its last.
func (*deadlyPart) has(parts []string) bool {
	for _, id := range parts[:max(len(parts)-1, 0)] {
		if id == partID {
			return true
		}
	}
	return false
}

// streamRoute returns a route of streams as in the site file, to one service.
func streamRoute() map[string]any {
	streams := route("r-draft", "/lohu930/", "streaming", engineService, 1)
	streams["timeout_ms"], streams["slo_ms"], streams["gap_slo_ms"], streams["session_affinity"] = 15000, 800, 400, true
	return streams
}

// streamService returns a service of model servers.
func streamService(name string) map[string]any {
	return map[string]any{
		"name": name, "health_path": "/health", "max_conns": 360, "protocol": "h1", "tls": false, "cold_start_s": 0.0, "cold_per_s": 0.0,
		"engine": map[string]any{"slots": engineSlots, fieldMemory: 534185},
	}
}

// Rates of the scripts with a deadly part, and the bounds of the rule.
const (
	contactTime  = 4 * time.Second
	knownCrashes = 5
	allowedAfter = 3
	soundRate    = 40
	partRate     = 5
)

// addEngines starts servers of a service that the part crashes once it is deadly.
func (d *deadlyPart) addEngines(r *run, from, n int, service string) {
	for i := from; i < from+n; i++ {
		e := r.addEngine(i, service)
		e.isDeadly = func(parts []string) bool {
			d.mu.Lock()
			defer d.mu.Unlock()
			return d.isDeadly && d.has(parts)
		}
		e.arrived = func(parts []string, id string) {
			if !d.has(parts) {
				return
			}
			d.mu.Lock()
			defer d.mu.Unlock()
			r.logf("server %s gets %s with the part", e.id, id)
			if d.isDeadly {
				d.arrivals = append(d.arrivals, time.Now())
			}
		}
		e.crashed = func(_ []string, id string) {
			d.mu.Lock()
			defer d.mu.Unlock()
			d.crashes = append(d.crashes, time.Now())
			r.logf("server %s crashes under %s, crash %d", e.id, id, len(d.crashes))
		}
		e.start()
	}
}

// repeat calls f at a mean rate a second, at random times, until stopped is closed.
func repeat(rate int, stopped chan struct{}, calls *sync.WaitGroup, f func()) {
	for {
		select {
		case <-stopped:
			return
		case <-time.After(time.Duration(rand.ExpFloat64() / float64(rate) * float64(time.Second))):
			calls.Go(f)
		}
	}
}

// stream sends a request of the route of streams whose prompt has a part between a common one and one
// of its own, to any machine.
func (r *run) stream(key, part string) answer {
	q := request{method: "POST", path: "/lohu930/2f", key: key, body: []byte(newID()), deadline: 5 * time.Second}
	q.extra = map[string]string{hdrModel: "m", hdrUsage: "1162,40", hdrParts: fmt.Sprintf("5c1e07a2:512,%s:400,%s:250", part, newID())}
	_, a := r.send(r.machine[rand.IntN(len(r.machine))], q)
	return a
}

// sendSound sends one sound stream.
func (d *deadlyPart) sendSound(r *run, key string) {
	a := r.stream(key, fmt.Sprintf("91bd3f%02d", rand.IntN(10)))
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case a.status == 200 && a.err == nil:
		d.served++
	case a.err != nil || a.status == 502:
		d.cut = append(d.cut, time.Now())
	}
}

// turnDeadly makes the part crash servers from now on.
func (d *deadlyPart) turnDeadly(r *run) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.isDeadly = true
	r.logf("the part is deadly from now on")
}

// after counts the times after from.
func after(times []time.Time, from time.Time) int {
	n := 0
	for _, at := range times {
		if at.After(from) {
			n++
		}
	}
	return n
}

// check checks the rule at the end.
func (d *deadlyPart) check(r *run) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r.logf("crashes: %d; sound streams: %d served whole, %d broken off", len(d.crashes), d.served, len(d.cut))
	if d.served == 0 {
		unable("no sound stream is served")
	}
	if len(d.crashes) < knownCrashes {
		return
	}
	from := d.crashes[knownCrashes-1].Add(contactTime)
	late := after(d.arrivals, from)
	r.logf("later than contact_ms after crash %d: %d requests with the part reached servers, allowed are %d; %d crashes, and %d sound streams broke off",
		knownCrashes, late, allowedAfter, after(d.crashes, from), after(d.cut, from))
	if late > allowedAfter {
		r.breach("BUDGET: %d requests with the part reached servers later than contact_ms after the fifth crash", late)
	}
}
