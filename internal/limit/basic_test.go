package limit

import (
	"testing"
	"time"

	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/wire"
)

func TestTwoInstancesReachWholeLimit(t *testing.T) {
	now := time.Unix(1000, 0)
	p := DefaultParams()
	list := []fleet.ListedInstance{
		{ID: "a", DataCentre: "d", State: fleet.StateLive},
		{ID: "b", DataCentre: "d", State: fleet.StateLive},
	}
	ledgers := map[fleet.InstanceID]*Ledger{"a": New("a", 1, p, now), "b": New("b", 2, p, now)}
	targets := []Target{{ID: "t", DataCentre: "d", Limit: 8, ColdLimit: 2}}
	for ; now.Before(time.Unix(1010, 0)); now = now.Add(250 * time.Millisecond) {
		for id, l := range ledgers {
			l.SetMembers(list, nil, now)
			l.SetTargets(targets, now)
			for to, peer := range ledgers {
				if to != id {
					var hb wire.Heartbeat
					l.FillHeartbeat(to, &hb, now)
					peer.ReceiveHeartbeat(id, &hb, now.Add(time.Millisecond))
				}
			}
			for _, owned := range l.Owned(now) {
				l.Report(owned, fleet.LoadReport{BootID: "1", State: fleet.TargetReady, Completed: 100}, now, now)
			}
		}
	}
	owner, _ := ledgers["a"].Owner("t", now)
	l := ledgers[owner]
	if got := l.Available("t", now); got != 8 {
		t.Fatalf("Available = %d, want 8: %+v", got, l.State("t"))
	}
	g, ok := l.Grant("t", owner, "c", fleet.Workload{Model: "m"}, now)
	if !ok {
		t.Fatal("no grant")
	}
	permit, err := l.GrantSelf(&g, now)
	if err != nil || !l.Usable(&permit, now) {
		t.Fatalf("GrantSelf: %v", err)
	}
	if got := l.Available("t", now); got != 7 {
		t.Errorf("Available with one running = %d, want 7", got)
	}
	l.Done(&permit, now)
	if got := l.Available("t", now); got != 8 {
		t.Errorf("Available after Done = %d, want 8", got)
	}
}
