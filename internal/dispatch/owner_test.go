package dispatch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"medlarwind.dev/medlarwind/internal/fairness"
	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/wire"
	"pgregory.net/rapid"
)

// slots implements Limiter and Occupancy with fixed limits.
type slots struct {
	limit, running map[fleet.TargetID]int
}

func (s *slots) Available(t fleet.TargetID, _ time.Time) int { return s.limit[t] - s.running[t] }
func (s *slots) Running(t fleet.TargetID, _ time.Time) int   { return s.running[t] }

func model(i int) fleet.Workload {
	return fleet.Workload{Model: fleet.ModelID(fmt.Sprintf("m%d", i))}
}

// BenchmarkNext measures one decision and the updates around it at the design size:
// 15,000 customers, 1,500 of them backlogged, 32 owned targets, 7 models.
func BenchmarkNext(b *testing.B) {
	const customers, backlogged, targets, models, entries = 15_000, 1_500, 32, 7, 18
	acc := fairness.New(1, fairness.Params{})
	var cs []fairness.Customer
	for i := range customers {
		cs = append(cs, fairness.Customer{ID: fleet.CustomerID(fmt.Sprintf("customer-%05d", i)), Share: 1 + i%7})
	}
	acc.SetCustomers(cs)
	o := NewOwner(acc, nil, nil, rand.New(rand.NewPCG(1, 2)))
	s := &slots{map[fleet.TargetID]int{}, map[fleet.TargetID]int{}}
	var ts []Target
	for i := range targets {
		id := fleet.TargetID(fmt.Sprintf("target-%05d", i))
		s.limit[id] = 64
		ts = append(ts, Target{ID: id, Workloads: []fleet.Workload{model(i % models)}, Limit: 64, Ready: true})
	}
	o.SetTargets(ts)
	now := time.Unix(0, 0)
	for e := range entries {
		var ds []wire.Demand
		for i := e; i < backlogged; i += entries / 3 {
			ds = append(ds, wire.Demand{Customer: cs[i*10].ID, Workload: model(i % models), Waiting: 1 << 30, Estimate: 500, WaitMillis: int64(i)})
		}
		o.SetDemand(fleet.InstanceID(fmt.Sprintf("entry-%02d", e)), ds, 0, now)
	}
	seq, foreign := uint64(0), []wire.ServiceCounter{{Incarnation: 2}}
	b.ReportAllocs()
	for b.Loop() {
		d, ok := o.Next(s, now)
		if !ok {
			b.Fatal("no decision")
		}
		seq++
		o.Granted(d, seq)
		acc.Charge(d.Customer, 500)
		foreign[0].Customer = cs[seq%backlogged*10].ID
		foreign[0].Total += 500
		acc.Merge(foreign, nil)
		o.Returned(d.Entry, seq)
	}
}

// oneTarget returns an owner of one target that has free starts and serves model(0).
func oneTarget(policy Policy, free int) (*Owner, *slots) {
	o := NewOwner(fairness.New(1, fairness.Params{}), policy, nil, rand.New(rand.NewPCG(1, 1)))
	o.SetTargets([]Target{{ID: "t", Workloads: []fleet.Workload{model(0)}, Limit: free, Ready: true}})
	return o, &slots{map[fleet.TargetID]int{"t": free}, map[fleet.TargetID]int{}}
}

// grantAll grants until nothing more can start and counts the grants by customer and by
// entry.
func grantAll(o *Owner, s *slots, from uint64) (byCustomer map[fleet.CustomerID]int, byEntry map[fleet.InstanceID]int) {
	byCustomer, byEntry = map[fleet.CustomerID]int{}, map[fleet.InstanceID]int{}
	for seq := from; ; seq++ {
		d, ok := o.Next(s, time.Unix(2, 0))
		if !ok {
			return byCustomer, byEntry
		}
		o.Granted(d, seq)
		s.running[d.Target]++
		byCustomer[d.Customer]++
		byEntry[d.Entry]++
	}
}

func waiting(c fleet.CustomerID, n int, estimate fleet.Cost, waitMillis int64) wire.Demand {
	return wire.Demand{Customer: c, Workload: model(0), Waiting: n, Estimate: estimate, WaitMillis: waitMillis}
}

// TestPendingGrantsCount checks that free starts granted in one burst are divided by
// estimated cost, although no service counter has changed yet.
func TestPendingGrantsCount(t *testing.T) {
	o, s := oneTarget(Fair{}, 12)
	o.SetDemand("e", []wire.Demand{waiting("large", 100, 200, 0), waiting("small", 100, 100, 0)}, 0, time.Unix(1, 0))
	got, _ := grantAll(o, s, 1)
	if got["large"] != 4 || got["small"] != 8 {
		t.Errorf("granted %v, want 4 large and 8 small", got)
	}
}

// TestGrantsInFlight checks that no request is granted twice while the demand reported
// by the entry does not yet reflect earlier grants, and that lost grants are issued
// again.
func TestGrantsInFlight(t *testing.T) {
	now := time.Unix(1, 0)
	o, s := oneTarget(nil, 100)
	for _, c := range []struct {
		name            string
		before          func()
		waiting         int
		acknowledged    uint64
		granted, spares int
	}{
		{"first", func() {}, 3, 0, 3, 97},
		{"none acknowledged", func() {}, 3, 0, 0, 97},
		{"two acknowledged", func() {}, 1, 2, 0, 97},
		{"two more wait", func() {}, 3, 2, 2, 95},
		{"one is returned", func() { o.Returned("e", 3) }, 3, 2, 1, 94},
		{"entry is removed", func() { o.RemoveEntry("e") }, 1, 0, 1, 93},
		{"all in flight have timed out", func() { now = now.Add(2 * GrantTimeout) }, 1, 0, 1, 92},
	} {
		c.before()
		o.SetDemand("e", []wire.Demand{waiting("x", c.waiting, 10, 0)}, c.acknowledged, now)
		got, _ := grantAll(o, s, uint64(101-s.Available("t", now)))
		if got["x"] != c.granted {
			t.Errorf("%s: granted %v, want %d", c.name, got, c.granted)
		}
		if spare := o.Spare(s, now); spare[0].Count != c.spares {
			t.Errorf("%s: spare %v, want %d", c.name, spare, c.spares)
		}
	}
}

// TestLongestWaitingEntry checks the choice between the entries of one customer, and
// the choice between customers under FirstComeFirstServed.
func TestLongestWaitingEntry(t *testing.T) {
	o, s := oneTarget(FirstComeFirstServed{}, 4)
	o.SetDemand("e1", []wire.Demand{waiting("x", 2, 10, 50), waiting("y", 9, 10, 10)}, 0, time.Unix(1, 0))
	o.SetDemand("e2", []wire.Demand{waiting("x", 9, 10, 20)}, 0, time.Unix(1, 0))
	customers, entries := grantAll(o, s, 1)
	if customers["x"] != 4 || entries["e1"] != 2 {
		t.Errorf("granted %v over %v, want 4 of x, 2 of them at e1", customers, entries)
	}
}

// TestNextIsLeast compares the heaps with a search of all customers while the accounts
// change in every possible way.
func TestNextIsLeast(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const customers = 8
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		acc := fairness.New(1, fairness.Params{MaxLag: 300, IdleAfter: time.Nanosecond, MaxRemoteCounters: 10})
		o := NewOwner(acc, nil, nil, rng)
		s := &slots{map[fleet.TargetID]int{"t0": 1, "t1": 1}, map[fleet.TargetID]int{}}
		o.SetTargets([]Target{{ID: "t0", Workloads: []fleet.Workload{model(0)}}, {ID: "t1", Workloads: []fleet.Workload{model(0), model(1)}}})
		ids := []fleet.CustomerID{"a", "b", "c", "d", "e", "f", "g", "h"}
		seq := uint64(0)
		for range 300 {
			now := time.Unix(1, 0).Add(time.Duration(seq) * time.Second)
			acc.Tick(now)
			c := ids[rng.IntN(customers)]
			switch rng.IntN(7) {
			case 0:
				acc.Charge(c, fleet.Cost(rng.IntN(200)))
			case 1:
				acc.Merge([]wire.ServiceCounter{{Incarnation: 2, Customer: c, Total: fleet.Cost(rng.IntN(3000))}}, nil)
			case 2:
				acc.SetCustomers([]fairness.Customer{{ID: c, Share: 1 + rng.IntN(4)}})
				acc.Merge([]wire.ServiceCounter{{Incarnation: fleet.Incarnation(3 + seq), Customer: c, Total: 500}, {Customer: c, Total: fleet.Cost(rng.IntN(3000))}}, nil)
			case 3:
				o.Tick()
			case 4:
				d := wire.Demand{Customer: c, Workload: model(rng.IntN(2)), Waiting: rng.IntN(3), Estimate: fleet.Cost(rng.IntN(100))}
				o.SetDemand(fleet.InstanceID(ids[rng.IntN(2)]), []wire.Demand{d, {Customer: ids[0], Workload: model(0), Waiting: 1}}, seq-min(seq, uint64(rng.IntN(3))), now)
			case 5:
				s.running["t0"], s.running["t1"] = rng.IntN(2), rng.IntN(2)
			}
			d, ok := o.Next(s, now)
			key := int64(0)
			if ok {
				key = o.key(o.member(demandKey{d.Customer, d.Workload}))
			}
			for _, cl := range o.classList {
				for _, m := range cl.heap {
					if o.bestTarget(cl) >= 0 && (!ok || o.key(m) < key) {
						t.Fatalf("%s has key %d, but %v was chosen with key %d", m.customer.id, o.key(m), d.Customer, key)
					}
				}
			}
			if ok {
				seq++
				o.Granted(d, seq)
			}
		}
	})
}

// TestAlone checks that a target is drained for a request that must run alone and is
// available to others again when that request has ended.
func TestAlone(t *testing.T) {
	o, s := oneTarget(nil, 4)
	now := time.Unix(1, 0)
	s.running["t"] = 1
	o.SetDemand("e", []wire.Demand{waiting("x", 9, 10, 0)}, 0, now)
	o.SetAloneDemand("e", []wire.Demand{waiting("y", 1, 10, 0)}, now)
	steps := []struct {
		running       int
		alone, normal bool
	}{{1, false, false}, {0, true, false}, {0, false, false}, {1, false, false}, {0, false, true}}
	for i, c := range steps {
		s.running["t"] = c.running
		d, alone := o.NextAlone(s, s, now)
		if _, normal := o.Next(s, now); alone != c.alone || normal != c.normal || d.Alone != alone {
			t.Errorf("step %d: alone %v, others %v, want %v and %v", i, alone, normal, c.alone, c.normal)
		}
		if alone {
			o.SetAloneDemand("e", nil, now)
		}
	}
}

// withoutSpare returns a copy of the owners in which none has spare starts.
func withoutSpare(owners []OwnerView) []OwnerView {
	out := slices.Clone(owners)
	for i := range out {
		out[i].Workloads = []wire.Spare{{Workload: out[i].Workloads[0].Workload}}
	}
	return out
}

// TestPlan checks that each request is registered with at most Copies owners in the
// data centre, one elsewhere in the region and one in other regions, that no owner is
// assigned more than are waiting, that all requests are covered, and that remote owners
// are asked only when local ones cannot take the work.
func TestPlan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := PlannerParams{Copies: rapid.IntRange(1, 3).Draw(t, "copies")}
		var owners []OwnerView
		localOwners, localSpare, regionSpare := 0, 0, 0
		for i := range rapid.IntRange(0, 8).Draw(t, "owners") {
			v := OwnerView{ID: instance(i), Proximity: Proximity(rapid.IntRange(0, 2).Draw(t, "place"))}
			spare := rapid.IntRange(0, 2).Draw(t, "spare")
			v.Workloads = []wire.Spare{{Workload: model(0), Count: spare}}
			switch v.Proximity {
			case SameDataCentre:
				localOwners++
				localSpare += spare
			case SameRegion:
				regionSpare += spare
			}
			owners = append(owners, v)
		}
		d := waiting("x", rapid.IntRange(1, 20).Draw(t, "waiting"), 1, rapid.Int64Range(0, 1000).Draw(t, "wait"))
		var assigned [3]int
		planner := NewPlanner("self", p)
		planner.SetOwners(withoutSpare(owners))
		planner.Plan([]wire.Demand{d, waiting("y", 3, 1, 1000)}, 0)
		for _, v := range owners {
			planner.SetSpare(v.ID, v.Workloads)
		}
		for i, a := range planner.Plan([]wire.Demand{d}, 1) {
			for _, ad := range a.Demand {
				assigned[owners[i].Proximity] += ad.Waiting
				if ad.Waiting > d.Waiting {
					t.Fatalf("owner %d is assigned %d of %d waiting", i, ad.Waiting, d.Waiting)
				}
			}
		}
		if assigned[0] != d.Waiting*min(localOwners, p.Copies) || assigned[1] > d.Waiting || assigned[2] > d.Waiting {
			t.Fatalf("assigned %v of %d waiting, with %d local owners", assigned, d.Waiting, localOwners)
		}
		askRegion := localSpare == 0 && (localOwners == 0 || d.WaitMillis >= DefaultRegionDelay.Milliseconds())
		if (assigned[1] > 0) != (askRegion && regionSpare > 0) || (assigned[2] > 0 && (!askRegion || regionSpare > 0)) {
			t.Fatalf("assigned %v with %d local and %d region spare starts after %d ms", assigned, localSpare, regionSpare, d.WaitMillis)
		}
	})
}
