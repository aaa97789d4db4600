package quarantine

import (
	"testing"
	"time"
)

// A part that was answered with until targets crashed is excused from these crashes for as long as
// nothing else is answered either, and no longer.
func TestExcuseEndsWhenOnlyOtherPartsAreAnswered(t *testing.T) {
	n := newEvidenceNode()
	n.RecordAnswering(n.traits(1, common, shared), n.now)
	for range 6 {
		n.now = n.now.Add(2 * simultaneous)
		n.crashNow(n.traits(1, common, shared))
	}
	n.now = n.now.Add(2 * soundFor)
	n.crash(n.traits(1, common, shared))
	if n.isRefused(1, common, shared) {
		t.Error("a part is refused for crashes after which nothing was answered")
	}
	n.RecordAnswering(n.traits(1, common), n.now)
	n.crash(n.traits(1, common, shared))
	if !n.isRefused(1, common, shared) || n.isRefused(1, common) {
		t.Error("want the part refused with which no target answers any more, the other one allowed")
	}
	peer := newEvidenceNode()
	peer.Merge(n.Report(n.now), n.now)
	if !peer.isRefused(1, common, shared) || peer.isRefused(1, common) {
		t.Error("want the same at a peer")
	}
	n.RecordAnswering(n.traits(1, shared), n.now)
	peer.Merge(n.Report(n.now), n.now)
	if n.isRefused(1, shared) || peer.isRefused(1, shared) {
		t.Error("the part is refused after a target answered with it")
	}
}

// Each service at which a part is refused must not have trials of its own.
func TestDeadlyPartIsTriedAtEachService(t *testing.T) {
	const services = 3
	n := newEvidenceNode()
	at := func(service int) *Traits {
		r := n.traits(1, uint64(1000+service), uint64(2000+service))
		r.Groups = []uint64{common, deadly}
		return r
	}
	for range refuseAfter {
		for service := range services {
			n.RecordAnswering(&Traits{Whole: 1, Parts: []uint64{uint64(1000 + service)}, Groups: []uint64{common}}, n.now)
			n.crash(at(service))
		}
	}
	peer := newEvidenceNode()
	peer.Merge(n.Report(n.now), n.now)
	trials := 0
	for tick := range 400 {
		n.now = n.now.Add(200 * time.Millisecond)
		for position, node := range []*evidenceNode{n, peer} {
			node.now = n.now
			request := at((tick + position) % services)
			j := node.Check(request, node.now, func(uint64) (int, int) { return position, 2 })
			if !j.Refused && !j.Trial {
				t.Fatalf("after %d trials a request with the part may run", trials)
			}
			if j.Trial {
				trials++
				node.RecordTrial(request, node.now)
				node.start = uint64(10_000 + trials)
				node.crashNow(request)
			}
		}
		peer.Merge(n.Report(n.now), n.now)
		n.Merge(peer.Report(n.now), n.now)
	}
	if trials < 1 || trials > 3 {
		t.Errorf("%d trials at %d services in 80 s, want 1 to 3", trials, services)
	}
}
