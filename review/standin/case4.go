//go:build review

package main

import (
	"sync"
	"time"
)

// partTurnsDeadly: a part of prompts that servers have answered with begins to crash each server that
// begins to write an answer on it.
func partTurnsDeadly(r *run) {
	key := "asnmgkcuyj8pjbvk9m68"
	d := &deadlyPart{}
	d.addEngines(r, 0, 6, engineService)
	c := configuration(7, []string{key})
	c["routes"], c["services"] = append(c["routes"].([]any), streamRoute()), append(c["services"].([]any), streamService(engineService))
	r.store.put(keyConfig, c)
	r.startFleet(3)

	stopped := make(chan struct{})
	var requesters sync.WaitGroup
	requesters.Go(func() { repeat(soundRate, stopped, &requesters, func() { d.sendSound(r, key) }) })
	requesters.Go(func() { repeat(partRate, stopped, &requesters, func() { r.stream(key, partID) }) })
	time.Sleep(4 * time.Second)
	if r.trouble {
		d.turnDeadly(r)
	}
	time.Sleep(26 * time.Second)
	close(stopped)
	requesters.Wait()
	d.check(r)
}
