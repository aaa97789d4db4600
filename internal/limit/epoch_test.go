package limit

import (
	"fmt"
	"time"

	"medlarwind.dev/medlarwind/internal/fleet"
)

// simOwners are the owners of the targets in the view of a node during one epoch.
type simOwners struct {
	epoch  uint64
	owners map[fleet.TargetID]fleet.InstanceID
}

// checkEpoch records a violation if an owner changed but OwnerEpoch did not.
func (s *sim) checkEpoch(n *simNode, now time.Time) {
	next := simOwners{epoch: n.ledger.OwnerEpoch(now), owners: map[fleet.TargetID]fleet.InstanceID{}}
	for _, t := range s.targets {
		next.owners[t.ID], _ = n.ledger.Owner(t.ID, now)
		kept, known := n.lastOwners.owners[t.ID]
		if known && n.lastOwners.epoch == next.epoch && kept != next.owners[t.ID] {
			s.violation = fmt.Sprintf("%s: owner of %s changed from %q to %q within epoch %d", n.id, t.ID, kept, next.owners[t.ID], next.epoch)
		}
	}
	n.lastOwners = next
}
