package replay

import (
	"flag"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"medlarwind.dev/medlarwind/internal/feature"
)

var (
	hotLoad = flag.Float64("replay.hotload", 0, "replay hot long parts on the full fleet, at this factor of the published load")
	hotOff  = flag.Bool("replay.hotoff", false, "replay hot long parts also without prefix fetches")
)

// hotResult is what a replay of hot long parts shows.
type hotResult struct {
	Result
	longP50, longP95, longP99 time.Duration
	longServed, longInTime    int
	fetched                   int
	prefills                  int
}

// playHot replays hot long parts, with parts of the product switched off.
func playHot(t *testing.T, s Spec, without string) (r hotResult) {
	features, err := feature.Without(without)
	if err != nil {
		t.Fatal(err)
	}
	synctest.Test(t, func(*testing.T) {
		sim := newSimulation(s, func(s Spec, e []*engine) policy { return newRouters(s, e, false, features) })
		sim.play()
		r.Result = sim.result("without " + without)
		var times []time.Duration
		for i := range sim.calls {
			if sim.calls[i].class.Name != "long" || sim.results[i].outcome < late {
				continue
			}
			times = append(times, sim.results[i].firstToken)
			if sim.results[i].outcome == inTime {
				r.longInTime++
			}
		}
		slices.Sort(times)
		if n := len(times); n > 0 {
			r.longServed, r.longP50, r.longP95, r.longP99 = n, times[n/2], times[n*95/100], times[n*99/100]
		}
		for _, e := range sim.engineList {
			r.fetched += e.fetched
			r.prefills += e.stats().PrefillTokens
		}
	})
	t.Logf("without %q: worth %.3f, in time %d, late %d, refused %d, failed %d; long: %d served, %d in time, first event p50 %v p95 %v p99 %v; "+
		"tokens prefilled %d, again %d, fetched %d", without, r.Worth, r.InTime, r.Late, r.Refused, r.Failed, r.longServed, r.longInTime,
		r.longP50.Round(time.Millisecond), r.longP95.Round(time.Millisecond), r.longP99.Round(time.Millisecond), r.prefills, r.RepeatedPrefillTokens, r.fetched)
	return r
}

// Long parts that many instances use at once were prefilled again and again, because the belief that
// their home keeps them was wrong and nothing was fetched. With fetches, fewer tokens must be prefilled
// again and more worth be served.
func TestHotPartsArePrefilledLessOftenWithFetches(t *testing.T) {
	s := HotParts(1)
	if *hotLoad > 0 {
		s.Load = *hotLoad
	} else {
		s = short(s)
		s.Routers, s.Length = 12, 8*time.Second
		s.Classes[0].SharedVariants = []int{1, 508 / 3}
	}
	with := playHot(t, s, "")
	if *hotLoad > 0 && !*hotOff {
		return
	}
	without := playHot(t, s, "prefix-fetch")
	if with.RepeatedPrefillTokens >= without.RepeatedPrefillTokens || with.Worth < without.Worth {
		t.Errorf("with fetches %d tokens are prefilled again and worth is %.3f, without %d and %.3f",
			with.RepeatedPrefillTokens, with.Worth, without.RepeatedPrefillTokens, without.Worth)
	}
}
