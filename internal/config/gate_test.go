package config

import (
	"testing"
	"time"

	"medlarwind.dev/medlarwind/internal/fleet"
)

func TestGate(t *testing.T) {
	type answer struct {
		peer    fleet.InstanceID
		version uint64
		settled bool
	}
	both := []fleet.InstanceID{"a", "b"}
	tests := []struct {
		name    string
		peers   []fleet.InstanceID
		answers []answer
		inForce uint64
		waited  time.Duration
		want    GateState
	}{
		{"nothing in force", both, []answer{{"a", 0, true}, {"b", 0, true}}, 0, time.Hour, GateNoConfig},
		{"list unknown", nil, nil, 7, 14 * time.Second, GateWaiting},
		{"alone on the list", []fleet.InstanceID{}, nil, 7, 0, GateAllAnswered},
		{"all answered", both, []answer{{"a", 7, false}, {"b", 6, true}}, 7, 0, GateAllAnswered},
		{"all answered, behind", both, []answer{{"a", 8, true}, {"b", 6, true}}, 7, 14 * time.Second, GateBehind},
		{"one answered, too early", both, []answer{{"a", 7, true}}, 7, 2 * time.Second, GateWaiting},
		{"settled one answered", both, []answer{{"a", 7, true}}, 7, 3 * time.Second, GateSettledAnswered},
		{"new one answered", both, []answer{{"a", 7, false}}, 7, 14 * time.Second, GateWaiting},
		{"settled one answered, behind", both, []answer{{"a", 8, true}}, 7, 3 * time.Second, GateBehind},
		{"none answered, service stale or not", both, nil, 7, 14 * time.Second, GateWaiting},
		{"none answered in time", both, nil, 7, 15 * time.Second, GateLone},
		{"a version that cannot be had", both, []answer{{"a", 8, true}}, 7, 15 * time.Second, GateLone},
	}
	start := time.Unix(0, 0)
	for _, test := range tests {
		gate := NewGate(DefaultOptions().Gate, start)
		if test.peers != nil {
			gate.SetPeers(test.peers)
		}
		for _, a := range test.answers {
			gate.Answered(a.peer, a.version, a.settled)
		}
		got := gate.Update(start.Add(test.waited), test.inForce)
		if got != test.want {
			t.Errorf("%s: %v, want %v", test.name, got, test.want)
		}
		gate.Answered("c", 100, true)
		if again := gate.Update(start.Add(test.waited), test.inForce); got.Open() && again != got {
			t.Errorf("%s: an open gate became %v", test.name, again)
		}
	}
}
