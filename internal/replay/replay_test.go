package replay

import (
	"flag"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"

	"medlarwind.dev/medlarwind/internal/feature"
)

var out = flag.String("replay.out", "", "write tables and plots of TestReplay into this directory")

// policies lists the product's policy, which must come first, and the baselines.
var policies = []struct {
	name  string
	build func(Spec, []*engine) policy
}{
	{"medlarwind", func(s Spec, e []*engine) policy { return newRouters(s, e, false, feature.Set{}) }},
	{"each router alone", func(s Spec, e []*engine) policy { return newRouters(s, e, true, feature.Set{}) }},
	{"home with gate", func(s Spec, e []*engine) policy {
		return newBaseline(s, e, &baseline{maxRunning: 14, prefixAffinity: true, customerGate: true})
	}},
	{"home", func(s Spec, e []*engine) policy {
		return newBaseline(s, e, &baseline{maxRunning: 10, prefixAffinity: true})
	}},
	{"least busy", func(s Spec, e []*engine) policy { return newBaseline(s, e, &baseline{maxRunning: 10}) }},
	{"first come, all known", func(s Spec, e []*engine) policy { return newBaseline(s, e, &baseline{maxRunning: 60, central: true}) }},
}

// play simulates a spec under the policy with the given name, in virtual time.
func play(t *testing.T, s Spec, name string) (r Result) {
	for _, p := range policies {
		if p.name != name {
			continue
		}
		synctest.Test(t, func(*testing.T) {
			sim := newSimulation(s, p.build)
			sim.play()
			r = sim.result(name)
		})
	}
	return r
}

// TestReplay simulates both specs under all policies. With -replay.out it runs them in
// full and writes the tables and plots for the documentation; without, it runs short
// versions to keep CI fast.
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

// short returns a spec with a third of the length, engines, load and throughput, half of
// the routers and no crashes.
func short(s Spec) Spec {
	s.Length /= 3
	s.Engines, s.Routers, s.Load, s.TokensPerSecond = s.Engines/3, s.Routers/2, s.Load/3, s.TokensPerSecond/3
	s.Crashes = nil
	return s
}

// Under high load the product must earn more of the worth than every baseline, both in
// total and for the worst-served customers. One of the baselines is the product without
// heartbeats between routers.
func TestFloodIsServedBetterThanByBaselines(t *testing.T) {
	s := short(Flood())
	ours := play(t, s, policies[0].name)
	for _, p := range policies[1:] {
		theirs := play(t, s, p.name)
		if ours.Worth <= theirs.Worth || ours.WorstCustomers <= theirs.WorstCustomers {
			t.Errorf("worth %.3f, worst customers %.3f; want both above those of %s: %.3f, %.3f", ours.Worth, ours.WorstCustomers, p.name, theirs.Worth, theirs.WorstCustomers)
		}
	}
}

// The same spec must generate the same load each time, or policies could not be compared.
func TestLoadIsRepeatable(t *testing.T) {
	a, b := generateLoad(Flood()), generateLoad(Flood())
	if len(a) != len(b) {
		t.Fatalf("two loads of one spec have %d and %d calls", len(a), len(b))
	}
	for i := range a {
		if a[i].at != b[i].at || a[i].customer != b[i].customer || a[i].prompt != b[i].prompt {
			t.Fatalf("call %d differs between two loads of one spec", i)
		}
	}
}
