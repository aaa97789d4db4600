//go:build review

package main

import (
	"sync"
	"syscall"
	"time"
)

// rewriteTime is how long after the return of the store the operator writes again what was lost: as
// long as the pages give for the servers' entries.
const rewriteTime = 2 * time.Second

// keyBackAfterRestore: the operator takes a key away. Later the store is away and comes back from a
// copy that is older than that; all machines but one are killed meanwhile and start again when the
// store is back. The machine that went on knows that the key was taken away.
func keyBackAfterRestore(r *run) {
	const revokeTime = 5 * time.Second
	keys := []string{"asnmgkcuyj8pjbvk9m68", "k7b2ex5wa5xwyhks8nbk"}
	revoked, kept := keys[0], keys[1]
	for i := range 3 {
		r.addServer(i, "auction-app")
	}
	r.store.put(keyConfig, configuration(7, keys))
	r.startFleet(3)
	for _, m := range r.machine {
		if !r.try(m, settle, revoked) {
			unable("a request with a key that is in force is not served")
		}
	}
	older := r.store.copy()
	r.logf("the store's content is copied")
	time.Sleep(time.Second)
	after := configuration(9, []string{kept})
	ack := r.store.put(keyConfig, after)
	r.logf("the operator has taken away key %s; the store has acknowledged it", revoked)
	time.Sleep(5 * time.Second)
	for _, m := range r.machine {
		if r.try(m, settle, revoked) {
			r.breach("CONFIG: the key is still in force before the disruption")
		}
	}

	stopped := make(chan struct{})
	var requesters sync.WaitGroup
	for _, m := range r.machine {
		requesters.Go(func() { r.repeat(m, revoked, ack.Add(revokeTime), stopped) })
	}
	if r.trouble {
		r.logf("the store is away")
		r.store.leave()
		for _, m := range r.machine[1:] {
			m.signal(syscall.SIGKILL)
		}
	}
	time.Sleep(2 * time.Second)
	if r.trouble {
		r.store.restore(&older)
		r.logf("the store is back, from the copy")
		for _, m := range r.machine[1:] {
			<-m.ended
			m.writeSettings(false, r.seeds())
			m.start()
		}
	}
	time.Sleep(rewriteTime)
	if r.trouble {
		r.store.put(keyConfig, after)
		r.logf("the operator has written the lost configuration again")
	}
	time.Sleep(5 * time.Second)
	close(stopped)
	requesters.Wait()
	for _, m := range r.machine {
		if !r.try(m, settle, kept) {
			r.logf("machine %s does not serve the key in force at the end", m.name)
		}
	}
}

// repeat sends requests with a key that was taken away to a machine, until stopped is closed. None
// that is sent after from may run.
func (r *run) repeat(m *machine, key string, from time.Time, stopped chan struct{}) {
	for {
		select {
		case <-stopped:
			return
		case <-time.After(50 * time.Millisecond):
		}
		if sent := time.Now(); r.try(m, settle, key) && sent.After(from) {
			r.breach("CONFIG: a request ran that was sent %.1f s after the acknowledgement of the configuration that took its key away",
				sent.Sub(from.Add(-5*time.Second)).Seconds())
		}
	}
}
