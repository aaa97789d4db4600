package placement_test

import (
	"testing"
	"time"

	"medlarwind.dev/medlarwind/internal/placement"
)

// located returns a candidate of which it is known what it has cached, or fetches in 9 ms.
func located(rank, cached int, load placement.Load, fetches bool) placement.Candidate {
	c := placement.Candidate{Slots: 32, Rank: rank, Speed: 92, Load: load, Copy: placement.Copy{Located: true}, Cached: cached}
	if fetches {
		c.Copy.Transfer, c.Cached = 9*time.Millisecond, longRequest.Shared
	}
	return c
}

func TestPickWeighsWaitTransferAndPrefill(t *testing.T) {
	busy, idle := placement.Load{Running: 20, Unread: 12000}, placement.Load{Running: 5}
	overrun := placement.Load{Running: 20, Unread: 150000}
	first := located(0, 0, placement.Load{Running: 10, Unread: 5000}, false)
	first.Copy.First = true
	doubtful := located(1, 0, idle, true)
	doubtful.Copy.Doubt = 200 * time.Millisecond
	joining := located(3, 0, idle, true)
	joining.Copy.Joins = true
	for name, c := range map[string]struct {
		candidates []placement.Candidate
		want       int
	}{
		"work queued at an overrun home while others were idle": {[]placement.Candidate{located(0, 5000, overrun, false), located(1, 0, idle, true)}, 1},
		"copies evicted others for a wait of 130 ms":            {[]placement.Candidate{located(0, 5000, busy, false), located(1, 0, idle, true)}, 0},
		"copies spread although the home was as fast":           {[]placement.Candidate{located(1, 0, idle, true), located(0, 5000, idle, false)}, 1},
		"parts were read again although a wait was shorter":     {[]placement.Candidate{located(0, 5000, busy, false), located(1, 0, idle, false)}, 0},
		"parts were first read away from the home":              {[]placement.Candidate{located(1, 0, idle, false), first}, 1},
		"a fetch went ahead on a belief that was hardly true":   {[]placement.Candidate{located(0, 5000, busy, false), doubtful}, 0},
		"a new copy was made beside one that was under way":     {[]placement.Candidate{located(1, 0, idle, true), joining}, 1},
		"a part was fetched for a small gain in rank":           {[]placement.Candidate{located(8, 5000, idle, false), located(0, 0, idle, true)}, 0},
		"a target fetched although another kept the part idle":  {[]placement.Candidate{located(0, 0, idle, true), located(1, 5000, idle, false)}, 1},
	} {
		if choice, _ := placement.Pick(longRequest, c.candidates, unlimited); choice.Index != c.want {
			t.Errorf("%s: Pick = %+v, want candidate %d", name, choice, c.want)
		}
	}
}
