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
		named   uint64
		inForce uint64
		waited  time.Duration
		want    GateState
	}{
		{"nothing in force", both, []answer{{"a", 0, true}, {"b", 0, true}}, 0, 0, time.Hour, GateNoConfig},
		{"list unknown", nil, nil, 0, 7, 14 * time.Second, GateWaiting},
		{"no other instance listed", []fleet.InstanceID{}, nil, 0, 7, 0, GateAllAnswered},
		{"all answered", both, []answer{{"a", 7, false}, {"b", 6, true}}, 0, 7, 0, GateAllAnswered},
		{"all answered, behind", both, []answer{{"a", 8, true}, {"b", 6, true}}, 0, 7, 14 * time.Second, GateBehind},
		{"all answered, a heartbeat reports a higher version", both, []answer{{"a", 7, true}, {"b", 7, true}}, 8, 7, 3 * time.Second, GateBehind},
		{"one answered, too early", both, []answer{{"a", 7, true}}, 0, 7, 2 * time.Second, GateWaiting},
		{"settled peer answered", both, []answer{{"a", 7, true}}, 0, 7, 3 * time.Second, GateSettledAnswered},
		{"unsettled peer answered", both, []answer{{"a", 7, false}}, 0, 7, 14 * time.Second, GateWaiting},
		{"settled peer answered, behind", both, []answer{{"a", 8, true}}, 0, 7, 3 * time.Second, GateBehind},
		{"none answered yet", both, nil, 0, 7, 14 * time.Second, GateWaiting},
		{"none answered in time", both, nil, 0, 7, 15 * time.Second, GateTimedOut},
		{"higher version never received", both, []answer{{"a", 8, true}}, 0, 7, 15 * time.Second, GateTimedOut},
	}
	start := time.Unix(0, 0)
	for _, test := range tests {
		gate := NewGate(DefaultOptions().Gate, start)
		if test.peers != nil {
			gate.SetPeers(test.peers)
		}
		for _, a := range test.answers {
			gate.RecordAnswer(a.peer, a.version, a.settled)
		}
		gate.RecordVersion(test.named)
		got := gate.Update(start.Add(test.waited), test.inForce)
		if got != test.want {
			t.Errorf("%s: %v, want %v", test.name, got, test.want)
		}
		gate.RecordVersion(100)
		if again := gate.Update(start.Add(test.waited), test.inForce); got.Open() && again != got {
			t.Errorf("%s: an open gate became %v", test.name, again)
		}
	}
}
