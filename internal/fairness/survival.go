package fairness

import (
	"math/bits"

	"medlarwind.dev/medlarwind/internal/fleet"
)

// Sizes of a survival table.
const (
	// survivalLevels is the number of levels; level n begins at cost 2^n.
	survivalLevels = 24
	// survivalDecay is the inverse of the fraction by which each new request reduces
	// the weight of earlier ones.
	survivalDecay = 64
)

// survival is a decaying histogram of the output cost of a customer's requests, by the
// highest power of two that each reached. The zero value is empty.
type survival struct {
	levels [survivalLevels]survivalLevel
}

// survivalLevel holds the decayed number and the total cost of the requests that
// ended within a level.
type survivalLevel struct{ count, cost float32 }

// levelOf returns the level of a cost, at most survivalLevels-1.
func levelOf(cost fleet.Cost) int {
	if cost <= 0 {
		return 0
	}
	return min(survivalLevels, bits.Len64(uint64(cost))) - 1
}

// add adds a request that ended at the given cost. O(survivalLevels).
func (s *survival) add(cost fleet.Cost) {
	const keep = 1 - 1.0/survivalDecay
	for i := range s.levels {
		s.levels[i].count *= keep
		s.levels[i].cost *= keep
	}
	level := &s.levels[levelOf(cost)]
	level.count++
	level.cost += float32(cost)
}

// meanCostFrom returns the mean cost of the requests that reached a level, or 0 if none
// did. O(survivalLevels).
func (s *survival) meanCostFrom(level int) fleet.Cost {
	var count, cost float32
	for _, l := range s.levels[level:] {
		count += l.count
		cost += l.cost
	}
	if count == 0 {
		return 0
	}
	return fleet.Cost(cost / count)
}
