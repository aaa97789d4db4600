package instance

import (
	"testing"
	"time"

	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/wire"
)

// TestRemoteHeartbeatInterval checks how often a core sends heartbeats to a peer in another
// data centre: in a small fleet, in a large fleet, and in a large fleet in which the peer
// has demand. It also checks that the longer interval keeps all peers reachable.
func TestRemoteHeartbeatInterval(t *testing.T) {
	const seconds = 10
	remote := fleet.InstanceID("i001")
	fast, slow := int(seconds*time.Second/benchHeartbeatInterval), int(seconds*time.Second/remoteIdleInterval)
	tests := []struct {
		name      string
		instances int
		demand    []wire.Demand
		// least and most bound the heartbeats to the remote peer.
		least, most int
	}{
		{"small fleet", 32, nil, fast - 1, fast + 1},
		{"large fleet", 36, nil, slow - 1, slow + 1},
		{"large fleet, demand", 36, []wire.Demand{{Customer: "mill-00001", Workload: fleet.Workload{Model: "model-1"}, Waiting: 1}}, fast - 1, fast + 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			w := newBenchCore(t, fleetSize{instances: test.instances, centres: 4, regions: 4, customers: 10, targets: 360, models: 2})
			w.byID[remote].demand = test.demand
			w.waiters, w.size.requests = nil, 0
			w.runSecond()
			before := w.byID[remote].echo
			for range seconds {
				w.runSecond()
			}
			if sent := int(w.byID[remote].echo - before); sent < test.least || sent > test.most {
				t.Errorf("%d heartbeats to a remote peer in %d s, want %d to %d", sent, seconds, test.least, test.most)
			}
			if owners := len(w.owners.views); owners != test.instances {
				t.Errorf("%d instances own targets, want all %d", owners, test.instances)
			}
		})
	}
}
