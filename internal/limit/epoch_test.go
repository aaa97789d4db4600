package limit

import (
	"fmt"
	"time"

	"medlarwind.dev/medlarwind/internal/fleet"
)

// simOwners are the owners that a node derived under one epoch.
type simOwners struct {
	epoch  uint64
	owners map[fleet.TargetID]fleet.InstanceID
}

// checkEpoch notes a violation if an owner changed under the same OwnerEpoch.
func (s *sim) checkEpoch(n *simNode, now time.Time) {
	next := simOwners{epoch: n.ledger.OwnerEpoch(now), owners: map[fleet.TargetID]fleet.InstanceID{}}
	for _, t := range s.targets {
		next.owners[t.ID], _ = n.ledger.Owner(t.ID, now)
		kept, known := n.derived.owners[t.ID]
		if known && n.derived.epoch == next.epoch && kept != next.owners[t.ID] {
			s.violation = fmt.Sprintf("%s: owner of %s changed from %q to %q within epoch %d", n.id, t.ID, kept, next.owners[t.ID], next.epoch)
		}
	}
	n.derived = next
}
