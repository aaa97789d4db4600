package fairness

import (
	"math/bits"

	"medlarwind.dev/medlarwind/internal/fleet"
)

// Sizes of a survival table.
const (
	// survivalLevels is the number of levels; level n begins at cost 2^n.
	survivalLevels = 24
	// survivalDecay is the weight that each further request takes from earlier ones,
	// as 1/n.
	survivalDecay = 64
)

// survival is what a customer's requests have cost in output, by the highest power of
// two that each reached. The zero value is empty.
type survival struct {
	levels [survivalLevels]survivalLevel
}

// survivalLevel holds the decayed number and the total cost of the requests that
// ended within a level.
type survivalLevel struct{ count, cost float32 }

// levelOf returns the level of a cost.
func levelOf(cost fleet.Cost) int {
	if cost <= 0 {
		return 0
	}
	return min(survivalLevels, bits.Len64(uint64(cost))) - 1
}

// note takes in a request that ended at a cost. O(survivalLevels).
func (s *survival) note(cost fleet.Cost) {
	const keep = 1 - 1.0/survivalDecay
	for i := range s.levels {
		s.levels[i].count *= keep
		s.levels[i].cost *= keep
	}
	level := &s.levels[levelOf(cost)]
	level.count++
	level.cost += float32(cost)
}

// expect returns the mean cost of the requests that reached a level, 0 if none did.
// O(survivalLevels).
func (s *survival) expect(level int) fleet.Cost {
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
