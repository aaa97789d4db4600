package config

import (
	"cmp"
	"hash/fnv"
	"slices"

	"medlarwind.dev/medlarwind/internal/fleet"
)

// readerOrder returns the live instances of a data centre in the order in which
// they are elected as readers of the configuration service. It uses rendezvous
// hashing, so every instance with the same list computes the same order. It takes
// O(n log n) time for n instances.
func readerOrder(instances []fleet.ListedInstance, dataCentre fleet.DataCentreID) []fleet.InstanceID {
	type ranked struct {
		id     fleet.InstanceID
		weight uint64
	}
	var all []ranked
	for _, instance := range instances {
		if instance.DataCentre == dataCentre && instance.State == fleet.StateLive {
			all = append(all, ranked{instance.ID, readerWeight(dataCentre, instance.ID)})
		}
	}
	slices.SortFunc(all, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.id, b.id))
	})
	order := make([]fleet.InstanceID, len(all))
	for i, instance := range all {
		order[i] = instance.id
	}
	return order
}

// readerWeight returns an instance's rendezvous weight in the election of readers.
func readerWeight(dataCentre fleet.DataCentreID, id fleet.InstanceID) uint64 {
	hash := fnv.New64a()
	hash.Write([]byte("config reader\x00" + string(dataCentre) + "\x00" + string(id)))
	// FNV distributes the last bytes poorly over the high bits, so mix the bits.
	weight := hash.Sum64()
	weight ^= weight >> 33
	weight *= 0xff51afd7ed558ccd
	return weight ^ weight>>33
}

// readerRank returns the number of reachable instances before self in the order. If
// self is not in the order, it returns the length of the order.
func readerRank(order []fleet.InstanceID, self fleet.InstanceID, unreachable func(fleet.InstanceID) bool) int {
	rank := 0
	for _, id := range order {
		if id == self {
			return rank
		}
		if !unreachable(id) {
			rank++
		}
	}
	return len(order)
}

// gatePeers returns the peers that a new instance asks for their versions: all
// others in its own data centre, then the first readers of every other data centre,
// which receive a new version before the rest.
func gatePeers(instances []fleet.ListedInstance, self fleet.InstanceID, own fleet.DataCentreID, readers int) []fleet.InstanceID {
	peers := readerOrder(instances, own)
	for _, dataCentre := range dataCentresOf(instances) {
		if dataCentre != own {
			order := readerOrder(instances, dataCentre)
			peers = append(peers, order[:min(readers, len(order))]...)
		}
	}
	return slices.DeleteFunc(peers, func(id fleet.InstanceID) bool { return id == self })
}

// dataCentresOf returns the data centres of the listed instances, sorted.
func dataCentresOf(instances []fleet.ListedInstance) []fleet.DataCentreID {
	var all []fleet.DataCentreID
	for _, instance := range instances {
		if !slices.Contains(all, instance.DataCentre) {
			all = append(all, instance.DataCentre)
		}
	}
	slices.Sort(all)
	return all
}
