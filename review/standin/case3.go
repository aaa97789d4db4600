//go:build review

package main

import (
	"sync"
	"time"
)

// deadlyPartOfSplitRoute: a part of prompts crashes each server that begins to write an answer on it. The
// route of the requests is split between two services.
func deadlyPartOfSplitRoute(r *run) {
	const second = "inspector-lm-next"
	key := "asnmgkcuyj8pjbvk9m68"
	d := &deadlyPart{}
	d.addEngines(r, 0, 4, engineService)
	d.addEngines(r, 4, 4, second)
	streams := streamRoute()
	delete(streams, "service")
	streams["backends"] = []any{
		map[string]any{"service": engineService, "weight": 50}, map[string]any{"service": second, "weight": 50},
	}
	c := configuration(7, []string{key})
	c["routes"] = append(c["routes"].([]any), streams)
	c["services"] = append(c["services"].([]any), streamService(engineService), streamService(second))
	r.store.put(keyConfig, c)
	r.startFleet(3)

	stopped := make(chan struct{})
	var requesters sync.WaitGroup
	requesters.Go(func() { repeat(soundRate, stopped, &requesters, func() { d.sendSound(r, key) }) })
	time.Sleep(4 * time.Second)
	if r.trouble {
		d.turnDeadly(r)
	}
	requesters.Go(func() { repeat(partRate, stopped, &requesters, func() { r.stream(key, partID) }) })
	time.Sleep(80 * time.Second)
	close(stopped)
	requesters.Wait()
	d.check(r)
}
