//go:build review2

package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

const (
	// silence is how long a sound server falls silent, goneTime how long the server before may go on working.
	silence  = 1500 * time.Millisecond
	goneTime = 400 * time.Millisecond
)

func init() { cases["resumed-beside-silent"] = resumedBesideSilent }

// resumedBesideSilent lets a sound server fall silent for a second or so while it answers resumable streams.
// No stream may go on at another server while the server before still works on it 400 ms later.
func resumedBesideSilent(rec *record, trouble bool) (verdict, error) {
	f, b, err := newFleet(rec, 3, []int{0, 1, 2})
	if err != nil {
		return nil, err
	}
	defer f.close()
	l := &ledger{}
	var servers []*server
	for i := range 6 {
		s := &server{id: fmt.Sprintf("i-%d", i), service: "lm", zone: zones[i%3], addr: b.addr(10+i, 0), born: time.Now().UnixMilli(), rec: rec, ledger: l, streams: true}
		if err := s.start(); err != nil {
			return nil, err
		}
		f.store.put(keyServers+s.id, s.entry())
		servers = append(servers, s)
	}
	f.store.put(keyConfig, configuration(7, []tenant{{Name: "mill", APIKeys: []string{"key-mill"}}, {Name: "broker", APIKeys: []string{"key-broker"}}}))
	if err := f.startAll(b); err != nil {
		return nil, err
	}
	time.Sleep(settle)

	ctx := context.Background()
	var group sync.WaitGroup
	var mu sync.Mutex
	whole, failed := 0, 0
	// 24 streams, two a second: far below what six servers bear.
	for i := range 24 {
		in := f.instances[i%len(f.instances)]
		group.Go(func() {
			// A prompt of 36,000 tokens is well below the largest on the sheets, 54,600.
			rep := send(ctx, call{
				front: in.front, path: "/dossier/1", key: "key-mill", body: "dossier", budget: 15 * time.Second,
				prompt: 36000, output: 380, parts: fmt.Sprintf("aa01:500,bb%02x:35000,cc%04x:500", i, i),
			})
			rec.line("answer instance=%d %s", in.index, rep.describe())
			mu.Lock()
			defer mu.Unlock()
			if rep.status == 200 && rep.err == nil {
				whole++
			} else {
				failed++
			}
		})
		time.Sleep(500 * time.Millisecond)
		if trouble && i%6 == 5 {
			// One server after the other, and each once.
			servers[i/6].fallSilent(silence)
		}
	}
	group.Wait()

	var broken verdict
	for attempt, runs := range l.byAttempt() {
		for i := 1; i < len(runs); i++ {
			before, next := runs[i-1], runs[i]
			at := next.began.Add(goneTime)
			if next.after > 0 && before.ended.After(at) && next.ended.After(at) {
				broken = append(broken, fmt.Sprintf("attempt %s went on at %s after event %d while %s worked on it for another %v; both worked for %v",
					attempt, next.server, next.after, before.server, before.ended.Sub(next.began).Round(time.Millisecond),
					minTime(before.ended, next.ended).Sub(next.began).Round(time.Millisecond)))
			}
		}
	}
	rec.line("streams: %d whole, %d not", whole, failed)
	if whole == 0 {
		return nil, fmt.Errorf("no stream was served")
	}
	return broken, nil
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
