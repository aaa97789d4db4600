//go:build review2

package main

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds and times of the case. revokeTime is the bound revoke_ms of the settings; ackedTime is the time from the
// ack of a configuration until the power goes, powerTime that until it is back, drillTime that for which the store
// is away, up to the same moment, and rewriteTime that until the operator has written again.
const (
	revokeTime  = 5 * time.Second
	settle      = 10 * time.Second
	rounds      = 8
	ackedTime   = 3500 * time.Millisecond
	powerTime   = 2 * time.Second
	drillTime   = 2 * time.Second
	rewriteTime = 2 * time.Second
)

func init() { cases["revoked-after-restore"] = revokedAfterRestore }

// revokedAfterRestore takes a key away. Some seconds later the store is away for a moment and comes back
// from a copy from before that, while one machine of each zone loses its power and starts again. The operator
// writes the configuration again. No request with the key may run. That is played rounds times, each time
// with another key.
func revokedAfterRestore(rec *record, trouble bool) (verdict, error) {
	f, b, err := newFleet(rec, 6, []int{0, 1, 2})
	if err != nil {
		return nil, err
	}
	defer f.close()
	// One machine of each zone loses its power. They are those that the settings name as seeds.
	lost := f.instances[:3]
	l := &ledger{}
	for i, z := range zones {
		s := &server{id: fmt.Sprintf("i-%d", i), service: "app", zone: z, addr: b.addr(10+i, 0), born: time.Now().UnixMilli(), rec: rec, ledger: l}
		if err := s.start(); err != nil {
			return nil, err
		}
		f.store.put(keyServers+s.id, s.entry())
	}
	f.store.put(keyConfig, configuration(7, tenantsWithout(0)))
	if err := f.startAll(b); err != nil {
		return nil, err
	}
	time.Sleep(settle)

	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var mu sync.Mutex
	// sent holds when each request was sent, by its id and the number of the key that it bears, from 1.
	type sending struct {
		at    time.Time
		round int
	}
	sent := make(map[string]sending)
	statuses := make(map[int]int)
	var group sync.WaitGroup
	requester := func(in *instance, key string, round int, gap time.Duration) {
		group.Go(func() {
			for ctx.Err() == nil {
				rep := send(ctx, call{front: in.front, path: "/lookup/1", key: key, method: "GET", budget: time.Second})
				rec.line("answer instance=%d key=%s %s", in.index, key, rep.describe())
				mu.Lock()
				sent[rep.attempt] = sending{rep.sent, round}
				if round == 0 {
					statuses[rep.status]++
				}
				mu.Unlock()
				_ = pause(ctx, gap)
			}
		})
	}
	for _, in := range f.instances {
		requester(in, "key-broker", 0, 200*time.Millisecond)
		for round := 1; round <= rounds; round++ {
			requester(in, oldKey(round), round, 50*time.Millisecond)
		}
	}
	acked := make([]time.Time, rounds+1)
	for round := 1; round <= rounds; round++ {
		time.Sleep(time.Second)
		older := f.store.copy()
		rec.line("store: a copy is taken at revision %d", older.revision)
		time.Sleep(time.Second)
		f.store.put(keyConfig, configuration(7+2*round, tenantsWithout(round)))
		acked[round] = time.Now()
		rec.line("operator: version %d without %s is acknowledged", 7+2*round, oldKey(round))
		time.Sleep(ackedTime)
		if !trouble {
			time.Sleep(powerTime + rewriteTime)
			continue
		}
		for _, in := range lost {
			f.signal(in, syscall.SIGKILL)
		}
		for _, in := range lost {
			<-in.ended
		}
		time.Sleep(powerTime - drillTime)
		f.store.setDown(true)
		rec.line("store: away")
		time.Sleep(drillTime)
		f.store.restore(older)
		rec.line("store: back from the copy, at revision %d", older.revision)
		for _, in := range lost {
			if err := f.start(in); err != nil {
				return nil, err
			}
		}
		time.Sleep(rewriteTime)
		f.store.put(keyConfig, configuration(7+2*round, tenantsWithout(round)))
		rec.line("operator: version %d is written again", 7+2*round)
	}
	time.Sleep(4 * time.Second)
	cancel()
	group.Wait()

	var broken verdict
	for attempt, runs := range l.byAttempt() {
		if from, ok := sent[attempt]; ok && from.round > 0 && from.at.Sub(acked[from.round]) > revokeTime {
			broken = append(broken, fmt.Sprintf("attempt %s with %s was sent %v after the ack that took the key away, and ran at %s for tenant %s",
				attempt, oldKey(from.round), from.at.Sub(acked[from.round]).Round(time.Millisecond), runs[0].server, runs[0].tenant))
		}
	}
	rec.line("statuses with the key that stays: %v", strings.TrimPrefix(fmt.Sprint(statuses), "map"))
	if statuses[200] == 0 {
		return nil, fmt.Errorf("no request with the key that stays was served")
	}
	return broken, nil
}

// oldKey is the key that a round takes away.
func oldKey(round int) string { return fmt.Sprintf("key-mill-%d", round) }

// tenantsWithout returns the tenants after a round.
func tenantsWithout(round int) []tenant {
	mill := tenant{Name: "mill", APIKeys: []string{"key-mill"}}
	for left := round + 1; left <= rounds; left++ {
		mill.APIKeys = append(mill.APIKeys, oldKey(left))
	}
	return []tenant{mill, {Name: "broker", APIKeys: []string{"key-broker"}}}
}
