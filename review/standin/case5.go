//go:build review

package main

import (
	"sync"
	"syscall"
	"time"
)

// keyBackAfterFreeze: the operator takes a key away while one machine stands still, and the store comes
// back from a copy that is older than that before the machine wakes. The two others have been running all
// the while and know that the key was taken away.
func keyBackAfterFreeze(r *run) {
	const revokeTime, freezeTime = 5 * time.Second, 5 * time.Second
	keys := []string{"asnmgkcuyj8pjbvk9m68", "k7b2ex5wa5xwyhks8nbk"}
	revoked, kept := keys[0], keys[1]
	for i := range 9 {
		go r.addServer(i, "auction-app").beat()
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
	time.Sleep(2 * time.Second)
	frozen := r.machine[2]
	wakes := time.Now().Add(freezeTime)
	if r.trouble {
		frozen.signal(syscall.SIGSTOP)
	}
	after := configuration(9, []string{kept})
	ack := r.store.put(keyConfig, after)
	r.logf("the operator has taken away key %s; the store has acknowledged it", revoked)
	back := wakes.Add(-200 * time.Millisecond)
	time.Sleep(time.Until(back.Add(-2 * time.Second)))
	if r.trouble {
		r.logf("the store is away")
		r.store.leave()
	}
	time.Sleep(time.Until(back))
	if r.trouble {
		r.store.restore(&older)
		r.logf("the store is back, from the copy")
	}
	time.Sleep(time.Until(wakes))
	if r.trouble {
		frozen.signal(syscall.SIGCONT)
	}
	// All these requests are sent later than revoke_ms after the acknowledgement.
	time.Sleep(time.Until(ack.Add(revokeTime + 10*time.Millisecond)))
	stopped := make(chan struct{})
	var requesters sync.WaitGroup
	for _, m := range r.machine {
		requesters.Go(func() { r.repeat(m, revoked, ack.Add(revokeTime), stopped) })
	}
	for range 5 {
		requesters.Go(func() { r.repeat(frozen, revoked, ack.Add(revokeTime), stopped) })
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(time.Until(back.Add(rewriteTime)))
	if r.trouble {
		r.store.put(keyConfig, after)
		r.logf("the operator has written the lost configuration again")
	}
	time.Sleep(3 * time.Second)
	close(stopped)
	requesters.Wait()
	for _, m := range r.machine {
		if !r.try(m, settle, kept) {
			r.logf("machine %s does not serve the key in force at the end", m.name)
		}
	}
}
