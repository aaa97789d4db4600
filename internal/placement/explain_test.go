package placement

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// The parts of an explained cost must add up to the cost that Pick compares: else an operator is shown another order than
// the one in use.
func TestExplainedCostIsTheCost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		number := func(name string, most int) int { return rapid.IntRange(0, most).Draw(t, name) }
		r := Request{Prompt: number("prompt", 20000), Output: number("output", 500), Shared: number("shared", 9000), TimeLeft: time.Duration(number("left", 2e9))}
		if rapid.Bool().Draw(t, "plain") {
			r = Request{ServiceTime: time.Duration(1 + number("service", 1e8)), TimeLeft: r.TimeLeft}
		}
		c := Candidate{
			Load:  Load{Running: number("running", 40), Unread: number("unread", 50000), Memory: number("held", 500000)},
			Slots: number("slots", 40), Memory: number("memory", 500000), Rank: number("rank", 12), Cached: min(number("cached", 9000), r.Prompt),
			Copy: Copy{
				Located: rapid.Bool().Draw(t, "located"), First: rapid.Bool().Draw(t, "first"), Joins: rapid.Bool().Draw(t, "joins"),
				Transfer: time.Duration(number("transfer", 1e8)), Doubt: time.Duration(number("doubt", 1e8)),
			},
			Distance: time.Duration(number("distance", 5e7)), Interference: time.Duration(number("interference", 5e8)),
			FailureRate: float64(number("failures", 100)) / 100, Speed: float64(number("speed", 160)), Pace: float64(number("pace", 300)) / 100,
			Queued: time.Duration(number("queued", 1e9)),
		}
		limit := Limit{Wait: time.Duration(number("limit", 1e9)), Slots: float64(number("fraction", 10)) / 10}
		e := Explain(r, &c, limit)
		if cost := c.cost(r, c.wait(r)); e.Cost.Total() != cost {
			t.Fatalf("parts %+v add up to %v, the cost is %v", e.Cost, e.Cost.Total(), cost)
		}
		choice, ok := Pick(r, []Candidate{c}, limit)
		if ok != (e.Room == HasRoom) || ok && (choice.Within != e.Within || choice.Wait != e.Wait || choice.TimeToFirstEvent != e.TimeToFirstEvent) {
			t.Fatalf("explained as %+v, picked as %+v, %v", e, choice, ok)
		}
	})
}
