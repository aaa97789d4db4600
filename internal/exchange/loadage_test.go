package exchange_test

import (
	"testing"
	"time"

	"medlarwind.dev/medlarwind/internal/clock"
	"medlarwind.dev/medlarwind/internal/exchange"
	"medlarwind.dev/medlarwind/internal/wire"
)

// Loads that came through relays are older than their receipt; an instance that hears nobody must not
// take its view for current; a silent peer without loads must not make the others' loads look old.
func TestLoadAgeCountsRelays(t *testing.T) {
	const now = clock.Instant(time.Hour)
	loads := []wire.TargetLoad{{Target: "t", Running: 1}}
	receive := func(scopes map[wire.Scope]clock.Instant) *exchange.Table {
		table := exchange.New("a")
		for scope, at := range scopes {
			hello := wire.Hello{Instance: "peer", Incarnation: 1, DataCentre: "b"}
			table.HandleHeartbeat(hello, &wire.Heartbeat{Scope: scope, Loads: loads}, at)
		}
		return table
	}
	for _, test := range []struct {
		name  string
		table *exchange.Table
		want  time.Duration
	}{
		{"mesh", receive(map[wire.Scope]clock.Instant{wire.ScopeOwn: now - clock.Instant(100*time.Millisecond)}), 100 * time.Millisecond},
		{"relay", receive(map[wire.Scope]clock.Instant{wire.ScopeDataCentre: now}), 200 * time.Millisecond},
		{"behind two relays", receive(map[wire.Scope]clock.Instant{wire.ScopeRest: now}), 400 * time.Millisecond},
		{"cut off", receive(map[wire.Scope]clock.Instant{wire.ScopeRest: now - clock.Instant(3*time.Second)}), 2 * time.Second},
		{"no reports", exchange.New("a"), 2 * time.Second},
	} {
		if age := test.table.LoadAge(now); age != test.want {
			t.Errorf("%s: age %v, want %v", test.name, age, test.want)
		}
	}
	table := receive(map[wire.Scope]clock.Instant{wire.ScopeOwn: now})
	table.HandleHeartbeat(wire.Hello{Instance: "idle", Incarnation: 1, DataCentre: "a"}, &wire.Heartbeat{}, now-clock.Instant(time.Second))
	if age := table.LoadAge(now); age != 0 {
		t.Errorf("age %v beside a silent peer without loads, want 0", age)
	}
}
