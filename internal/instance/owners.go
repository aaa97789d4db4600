package instance

import (
	"cmp"
	"slices"
	"time"

	"medlarwind.dev/medlarwind/internal/dispatch"
	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/wire"
)

// ownerWorkloads is an owner with the workloads that its targets serve.
type ownerWorkloads struct {
	Owner     fleet.InstanceID
	Workloads []fleet.Workload
}

// owners caches the owners of the targets in service. It stays valid until an owner may
// have changed.
type owners struct {
	// epoch is the ledger's OwnerEpoch, and stale is set if the targets changed since.
	epoch uint64
	stale bool
	// owned holds the targets of this instance, and views all owners. Both are sorted.
	owned []fleet.TargetID
	views []ownerWorkloads
}

// refreshOwners updates c.owners. It takes O(peers), and O(targets) if an owner may have
// changed.
func (c *core) refreshOwners(now time.Time) {
	epoch := c.ledger.OwnerEpoch(now)
	if epoch == c.owners.epoch && !c.owners.stale {
		return
	}
	former := c.owners.owned
	c.owners = owners{epoch: epoch}
	index := make(map[fleet.InstanceID]int)
	for id, info := range c.targets {
		owner, ok := c.ledger.Owner(id, now)
		if !ok || info.outOfService {
			continue
		}
		if owner == c.options.self {
			c.owners.owned = append(c.owners.owned, id)
		}
		c.owners.add(index, owner, info.workloads)
	}
	slices.Sort(c.owners.owned)
	c.recordOwnedChanges(former, now)
	slices.SortFunc(c.owners.views, func(a, b ownerWorkloads) int { return cmp.Compare(a.Owner, b.Owner) })
	c.planner.SetOwners(c.ownerViews())
}

// ownerViews returns the owners with their proximity and the spare capacity that they last
// reported.
func (c *core) ownerViews() []dispatch.OwnerView {
	views := make([]dispatch.OwnerView, 0, len(c.owners.views))
	for _, v := range c.owners.views {
		view := dispatch.OwnerView{ID: v.Owner}
		view.Proximity, view.Distance = c.proximityOf(v.Owner)
		for _, w := range v.Workloads {
			view.Workloads = append(view.Workloads, c.reportedSpare(v.Owner, w))
		}
		views = append(views, view)
	}
	return views
}

// reportedSpare returns the spare capacity that an owner last reported for a workload, or
// none if it reported nothing.
func (c *core) reportedSpare(owner fleet.InstanceID, w fleet.Workload) wire.Spare {
	if p := c.peers[owner]; p != nil {
		for _, reported := range p.spare {
			if reported.Workload == w {
				return reported
			}
		}
	}
	return wire.Spare{Workload: w}
}

// add adds the workloads of one target to those of its owner. index maps owners to their
// positions in o.views.
func (o *owners) add(index map[fleet.InstanceID]int, owner fleet.InstanceID, workloads []fleet.Workload) {
	i, seen := index[owner]
	if !seen {
		i = len(o.views)
		index[owner] = i
		o.views = append(o.views, ownerWorkloads{Owner: owner})
	}
	v := &o.views[i]
	for _, w := range workloads {
		if !slices.Contains(v.Workloads, w) {
			v.Workloads = append(v.Workloads, w)
		}
	}
}
