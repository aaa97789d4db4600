package replay

import (
	"flag"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
)

var out = flag.String("replay.out", "", "write tables and plots of TestReplay into this directory")

// policies are the product and its baselines.
var policies = []struct {
	name  string
	build func(Spec, []*engine) policy
}{
	{"medlarwind", func(s Spec, e []*engine) policy { return newRouters(s, e, false) }},
	{"each router alone", func(s Spec, e []*engine) policy { return newRouters(s, e, true) }},
	{"home with gate", func(s Spec, e []*engine) policy { return newBaseline(s, e, &baseline{cap: 14, home: true, gate: true}) }},
	{"home", func(s Spec, e []*engine) policy { return newBaseline(s, e, &baseline{cap: 10, home: true}) }},
	{"least busy", func(s Spec, e []*engine) policy { return newBaseline(s, e, &baseline{cap: 10}) }},
	{"first come, all known", func(s Spec, e []*engine) policy { return newBaseline(s, e, &baseline{cap: 60, shared: true}) }},
}

// play plays a spec under one policy in virtual time.
func play(t *testing.T, s Spec, name string) (r Result) {
	for _, p := range policies {
		if p.name != name {
			continue
		}
		synctest.Test(t, func(*testing.T) {
			w := newWorld(s, p.build)
			w.play()
			r = w.result(name)
		})
	}
	return r
}

// TestReplay plays the days under all policies; with -replay.out it writes what docs
// show. The short days keep CI quick.
func TestReplay(t *testing.T) {
	for _, s := range []Spec{Calm(), Flood()} {
		if *out == "" {
			s = short(s)
		}
		var results []Result
		for _, p := range policies {
			results = append(results, play(t, s, p.name))
		}
		if err := Print(os.Stdout, results); err != nil {
			t.Fatal(err)
		}
		if *out == "" {
			continue
		}
		if err := Plot(filepath.Join(*out, "replay-"+s.Name+".png"), s.Name, results); err != nil {
			t.Fatal(err)
		}
		f, err := os.Create(filepath.Join(*out, "replay-"+s.Name+".txt"))
		if err != nil {
			t.Fatal(err)
		}
		if err := Print(f, results); err != nil {
			t.Fatal(err)
		}
		if err := f.Close(); err != nil {
			t.Fatal(err)
		}
	}
}

// short is a day's first seconds, on a third of the fleet.
func short(s Spec) Spec {
	s.Length /= 3
	s.Engines, s.Routers, s.Load, s.TokensPerSecond = s.Engines/3, s.Routers/2, s.Load/3, s.TokensPerSecond/3
	s.Crashes = nil
	return s
}

// On a day of high load the product serves callers, and the customers served worst,
// better than every baseline, each router alone among them.
func TestFloodIsServedBetterThanByBaselines(t *testing.T) {
	s := short(Flood())
	ours := play(t, s, policies[0].name)
	for _, p := range policies[1:] {
		theirs := play(t, s, p.name)
		if ours.Worth <= theirs.Worth || ours.WorstCustomers <= theirs.WorstCustomers {
			t.Errorf("worth %.3f, worst customers %.3f; %s: %.3f, %.3f", ours.Worth, ours.WorstCustomers, p.name, theirs.Worth, theirs.WorstCustomers)
		}
	}
}

// The same spec gives the same load to every policy.
func TestLoadIsRepeatable(t *testing.T) {
	a, b := load(Flood()), load(Flood())
	if len(a) != len(b) {
		t.Fatalf("%d and %d calls", len(a), len(b))
	}
	for i := range a {
		if a[i].at != b[i].at || a[i].customer != b[i].customer || a[i].prompt != b[i].prompt {
			t.Fatalf("call %d differs", i)
		}
	}
}
