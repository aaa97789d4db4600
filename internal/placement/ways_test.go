package placement

import (
	"flag"
	"fmt"
	"math"
	"testing"
	"time"

	"medlarwind.dev/medlarwind/internal/membership"
)

var (
	tableWanted = flag.Bool("evenload.table", false, "print the comparison of the ways to choose a target")
	seeds       = flag.Int("evenload.seeds", 3, "seeds for each cell")
	loadFactor  = flag.Float64("evenload.load", 1, "multiple of the rates")
	kindFilter  = flag.Int("evenload.kind", -1, "only generations (0) or only plain calls (1)")
	wayFilter   = flag.String("evenload.way", "", "only this way")
)

// lowest is way (a): the lowest estimate.
func lowest(_ *model, _ *modelInstance, r Request, _ *modelRequest, candidates []Candidate) int {
	choice, _ := Pick(r, candidates, Limit{Wait: math.MaxInt64})
	return choice.Index
}

// twoDrawn is way (b): the better of two targets, which are drawn from those with the most of the prompt cached.
func twoDrawn(_ *model, in *modelInstance, r Request, x *modelRequest, candidates []Candidate) int {
	best, second := -1, -1
	var first, next uint64
	for i := range candidates {
		c := &candidates[i]
		if !c.hasRoom(r) {
			continue
		}
		s := membership.Score(x.id^in.hash, c.Key)
		if c.Rank < 2 && r.Shared > 0 { // homes come first
			s = math.MaxUint64 - uint64(c.Rank)
		}
		if s > first {
			second, next, best, first = best, first, i, s
		} else if s > next {
			second, next = i, s
		}
	}
	if second >= 0 && candidates[second].cost(r, candidates[second].wait(r)) < candidates[best].cost(r, candidates[best].wait(r)) {
		return second
	}
	return best
}

// forecast is way (c): peers are taken to have sent since their figures what this instance sent itself, in
// proportion to their part of the requests.
func forecast(m *model, in *modelInstance, r Request, x *modelRequest, candidates []Candidate) int {
	in.addForecast(candidates)
	return lowest(m, in, r, x, candidates)
}

func (in *modelInstance) addForecast(candidates []Candidate) {
	const greatestRatio = 20
	ratio := min((1-in.weight)/in.weight, greatestRatio)
	for i := range candidates {
		c := &candidates[i]
		if c.Load.Running < c.Slots { // a forecast takes no room
			c.Load.Running = min(c.Load.Running+int(ratio*float64(in.since[i].Running)), c.Slots-1)
		}
		c.Load.Unread += int(ratio * float64(in.since[i].Unread))
	}
}

// ownPart is way (d): each instance uses its part of each target and disregards its peers.
func ownPart(m *model, in *modelInstance, r Request, x *modelRequest, candidates []Candidate) int {
	for i := range candidates {
		candidates[i].Load = Load{Running: min(int(float64(in.own[i].Running)/in.weight), candidates[i].Slots-1), Unread: int(float64(in.own[i].Unread) / in.weight)}
	}
	return near(m, in, r, x, candidates, 0, 0)
}

// near returns a candidate whose cost is within a window of the lowest. With steepness 0 it draws
// evenly among them, otherwise with a probability that falls by e for each steepness.
func near(_ *model, in *modelInstance, r Request, x *modelRequest, candidates []Candidate, window, steepness time.Duration) int {
	best := lowest(nil, nil, r, nil, candidates)
	if best < 0 {
		return -1
	}
	chosen, score, seed := best, math.Inf(-1), membership.Score(x.id, in.hash)
	lowestCost := candidates[best].cost(r, candidates[best].wait(r))
	for i := range candidates {
		c := &candidates[i]
		if !c.hasRoom(r) {
			continue
		}
		over := c.cost(r, c.wait(r)) - lowestCost
		if over > window {
			continue
		}
		u := float64(membership.Score(seed, c.Key)>>11+1) / (1 << 53)
		s := u
		if steepness > 0 {
			s = -math.Log(-math.Log(u)) - float64(over)/float64(steepness)
		}
		if s > score {
			chosen, score = i, s
		}
	}
	return chosen
}

// steep is way (e): the steepness is a part of the age of the figures.
func steep(part, windows float64) chooser {
	return func(m *model, in *modelInstance, r Request, x *modelRequest, candidates []Candidate) int {
		steepness := time.Duration(part * float64(m.age(in)) * float64(time.Millisecond))
		return near(m, in, r, x, candidates, time.Duration(windows*float64(steepness)), max(steepness, 1))
	}
}

// flat draws evenly among the candidates whose cost is near the lowest.
func flat(part float64) chooser {
	return func(m *model, in *modelInstance, r Request, x *modelRequest, candidates []Candidate) int {
		return near(m, in, r, x, candidates, time.Duration(part*float64(m.age(in))*float64(time.Millisecond)), 0)
	}
}

func withForecast(next chooser) chooser {
	return func(m *model, in *modelInstance, r Request, x *modelRequest, candidates []Candidate) int {
		in.addForecast(candidates)
		return next(m, in, r, x, candidates)
	}
}

// byWait is way (e) with its steepness also bounded by the mean expected wait of all candidates: what is not
// known of a target's load is of the order of that load.
func byWait(part, waits, windows float64) chooser {
	return func(m *model, in *modelInstance, r Request, x *modelRequest, candidates []Candidate) int {
		var sum time.Duration
		for i := range candidates {
			sum += candidates[i].wait(r)
		}
		mean := waits * float64(sum) / float64(len(candidates))
		steepness := time.Duration(min(part*float64(m.age(in))*float64(time.Millisecond), mean))
		return near(m, in, r, x, candidates, time.Duration(windows*float64(steepness)), max(steepness, 1))
	}
}

// sizes are the numbers of instances compared.
var sizes = []int{6, 82, 195, 380}

type way struct {
	name   string
	choose chooser
	pace   bool
}

// chosen is the way of the product: Spread.
func chosen(m *model, in *modelInstance, r Request, x *modelRequest, candidates []Candidate) int {
	spread := Spread{
		Seed: membership.Score(x.id, in.hash), Age: time.Duration(m.age(in)) * time.Millisecond,
		Objective: time.Duration(x.kind.aim * float64(time.Millisecond)),
	}
	choice, _ := spread.Pick(r, candidates, Limit{Wait: math.MaxInt64})
	return choice.Index
}

var ways = []way{
	{"a, pace unknown", lowest, false},
	{"a lowest", lowest, true},
	{"b two drawn", twoDrawn, true},
	{"c forecast", forecast, true},
	{"d own part", ownPart, true},
	{"e 0.02 age", steep(0.02, 4), true},
	{"e 0.2 age", steep(0.2, 4), true},
	{"near, even", flat(0.1), true},
	{"e by wait", byWait(0.2, 0.5, 4), true},
	{"c and e by wait", withForecast(byWait(0.2, 0.5, 4)), true},
	{"Spread", chosen, true},
}

// TestEvenLoadTable prints the comparison in docs/design/0017-even-load.md.
func TestEvenLoadTable(t *testing.T) {
	if !*tableWanted {
		t.Skip("prints a table on request")
	}
	fmt.Println("| instances | way | value | refused | overload, greatest ms | mean ms | idle | swing | first event p50 p95 p99 ms | read again M/s | misplaced % | decision us |")
	for i, kinds := range [][]kind{generationKinds, plainKinds} {
		if *kindFilter >= 0 && *kindFilter != i {
			continue
		}
		for _, n := range sizes {
			for _, w := range ways {
				if *wayFilter != "" && *wayFilter != w.name {
					continue
				}
				var s modelResult
				var q [3]float64
				for seed := range *seeds {
					r := newModel(uint64(seed), n, *loadFactor, kinds, w.choose, w.pace).run(20_000)
					s.worth, s.possible, s.refused = s.worth+r.worth, s.possible+r.possible, s.refused+r.refused
					s.starts, s.badStarts = s.starts+r.starts, s.badStarts+r.badStarts
					s.again, s.overload, s.greatest, s.idle, s.swing = s.again+r.again/r.seconds, s.overload+r.overload, s.greatest+r.greatest, s.idle+r.idle, s.swing+r.swing
					s.decision, s.decisions = s.decision+r.decision, s.decisions+r.decisions
					for i, p := range []float64{.5, .95, .99} {
						q[i] += r.quantile(p)
					}
				}
				d := float64(*seeds)
				fmt.Printf("| %3d | %-18s | %.3f | %4d | %5.0f | %4.0f | %.2f | %4.1f | %4.0f %5.0f %5.0f | %5.2f | %5.2f | %5.1f |\n", n, w.name, s.worth/s.possible, s.refused/(*seeds),
					s.greatest/d, s.overload/d, s.idle/d, s.swing/d, q[0]/d, q[1]/d, q[2]/d, s.again/d/1e6, 100*float64(s.badStarts)/float64(s.starts),
					float64(s.decision.Microseconds())/float64(s.decisions))
			}
		}
	}
}
