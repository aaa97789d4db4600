package fairness

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/wire"
	"pgregory.net/rapid"
)

func customer(i int) fleet.CustomerID { return fleet.CustomerID(fmt.Sprintf("c%d", i)) }

func drawServices(t *rapid.T, label string) []wire.ServiceCounter {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) wire.ServiceCounter {
		return wire.ServiceCounter{
			Incarnation: fleet.Incarnation(rapid.IntRange(0, 4).Draw(t, "incarnation")),
			Customer:    customer(rapid.IntRange(0, 3).Draw(t, "customer")),
			Total:       fleet.Cost(rapid.IntRange(-5, 1000).Draw(t, "total")),
		}
	}), 0, 20).Draw(t, label)
}

func drawOffsets(t *rapid.T, label string) []wire.Offset {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) wire.Offset {
		return wire.Offset{Customer: customer(rapid.IntRange(0, 3).Draw(t, "customer")), Lift: fleet.Cost(rapid.IntRange(0, 1000).Draw(t, "lift"))}
	}), 0, 10).Draw(t, label)
}

// settledAccounts returns accounts whose settling time has passed, so that they lift
// customers.
func settledAccounts(inc fleet.Incarnation, p Params) *Accounts {
	a := New(inc, p)
	a.Tick(time.Unix(1, 0))
	a.Tick(time.Unix(1, 0).Add(DefaultSettleFor))
	return a
}

// nonZeroStatus returns the status of all customers with a virtual time other than 0.
func nonZeroStatus(a *Accounts) map[fleet.CustomerID]CustomerStatus {
	m := map[fleet.CustomerID]CustomerStatus{}
	for _, s := range a.Status(nil) {
		if s.VirtualTime != 0 {
			m[s.Customer] = s
		}
	}
	return m
}

// TestMergeLaws checks that merging is commutative, associative and idempotent.
func TestMergeLaws(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ss, os := drawServices(t, "services"), drawOffsets(t, "offsets")
		a, b := New(9, Params{}), New(9, Params{})
		a.Merge(ss, os)
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		for range 2 {
			rng.Shuffle(len(ss), func(i, j int) { ss[i], ss[j] = ss[j], ss[i] })
			rng.Shuffle(len(os), func(i, j int) { os[i], os[j] = os[j], os[i] })
			cut := rng.IntN(len(ss) + 1)
			b.Merge(ss[cut:], os)
			b.Merge(ss[:cut], nil)
			b.Merge(ss, os)
		}
		if fa, fb := nonZeroStatus(a), nonZeroStatus(b); fmt.Sprint(fa) != fmt.Sprint(fb) {
			t.Fatalf("merging in different orders gives %v and %v", fa, fb)
		}
	})
}

// TestHeartbeatsConverge exchanges heartbeats between instances, some of which restart,
// over links that lose, delay, repeat and reorder messages. It checks that all instances
// have the same virtual times once heartbeats are delivered reliably.
func TestHeartbeatsConverge(t *testing.T) {
	const nodes, customers = 3, 6
	type link struct{ seq, received uint64 }
	type message struct {
		from, to int
		inc      fleet.Incarnation
		hb       wire.Heartbeat
	}
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		limit := rapid.IntRange(1, 5).Draw(t, "limit")
		var accs [nodes]*Accounts
		var incs [nodes]fleet.Incarnation
		var links [nodes][nodes]link
		var inFlight []message
		now := time.Unix(1, 0)
		start := func(i int) {
			incs[i] += nodes
			accs[i] = settledAccounts(incs[i]+fleet.Incarnation(i), Params{PublishThreshold: 50})
			links[i] = [nodes]link{}
		}
		id := func(i int) fleet.InstanceID { return fleet.InstanceID(fmt.Sprint(i)) }
		receive := func(m message) {
			l := &links[m.to][m.from]
			if m.inc != accs[m.from].self {
				return
			}
			accs[m.to].Merge(m.hb.ServiceCounter, m.hb.Offsets)
			echo := m.hb.EchoSeq
			if m.hb.EchoIncarnation != accs[m.to].self {
				echo = 0
			}
			accs[m.to].Acknowledge(id(m.from), m.inc, echo)
			l.received = max(l.received, m.hb.Seq)
		}
		send := func(i, j int) message {
			l := &links[i][j]
			l.seq++
			m := message{from: i, to: j, inc: accs[i].self, hb: wire.Heartbeat{Seq: l.seq, EchoSeq: l.received, EchoIncarnation: accs[j].self}}
			accs[i].FillHeartbeat(id(j), &m.hb, limit)
			if n := len(m.hb.ServiceCounter) + len(m.hb.Offsets); n > limit {
				t.Fatalf("heartbeat has %d records, limit is %d", n, limit)
			}
			return m
		}
		for i := range nodes {
			start(i)
		}
		for range 200 {
			i, j := rng.IntN(nodes), rng.IntN(nodes)
			switch c := customer(rng.IntN(customers)); rng.IntN(8) {
			case 0, 1, 2:
				accs[i].Charge(c, fleet.Cost(rng.IntN(100)))
			case 3:
				accs[i].ActivateAt(c, rng.Int64N(500))
			case 4:
				if rng.IntN(20) == 0 {
					start(i)
					for k := range nodes {
						links[k][i].received = 0
					}
				}
			default:
				if i != j {
					inFlight = append(inFlight, send(i, j))
				}
			}
			for len(inFlight) > 3 {
				k := rng.IntN(len(inFlight))
				if m := inFlight[k]; rng.IntN(3) > 0 {
					receive(m)
				}
				if rng.IntN(4) > 0 {
					inFlight = slices.Delete(inFlight, k, k+1)
				}
			}
		}
		for range 400 {
			now = now.Add(time.Minute)
			for i := range nodes {
				accs[i].Tick(now)
				for j := range nodes {
					if i != j {
						receive(send(i, j))
					}
				}
			}
		}
		for c := range customers {
			v := accs[0].VirtualTime(customer(c))
			for i := range nodes {
				if got := accs[i].VirtualTime(customer(c)); got != v {
					t.Fatalf("%s has virtual time %d at instance %d and %d at 0", customer(c), got, i, v)
				}
			}
		}
	})
}

// TestEndedIncarnations checks that the service of ended incarnations reaches an
// instance that received nothing from them directly, in bounded memory.
func TestEndedIncarnations(t *testing.T) {
	const incarnations, limit = 990, 20
	a, fresh := New(1, Params{MaxRemoteCounters: limit}), New(2, Params{})
	for inc := fleet.Incarnation(10); inc < 10+incarnations; inc++ {
		a.Merge([]wire.ServiceCounter{{Incarnation: inc, Customer: "x", Total: 7}}, nil)
		a.Acknowledge("peer", inc, 0)
	}
	if n := len(a.remoteCounters); n > limit || len(a.changes.records) > 2*limit {
		t.Errorf("%d incarnations and %d records are kept, limit is %d", n, len(a.changes.records), limit)
	}
	a.RemovePeer("peer")
	hb := wire.Heartbeat{Seq: 1}
	a.FillHeartbeat("fresh", &hb, 2*limit)
	fresh.Merge(hb.ServiceCounter, hb.Offsets)
	if got, want := fresh.VirtualTime("x"), int64(incarnations*7); got != want || a.VirtualTime("x") != want {
		t.Errorf("virtual time is %d, and %d at the forwarding instance, want %d", got, a.VirtualTime("x"), want)
	}
}

// TestShareChange checks that a new share changes no virtual time and applies exactly
// to later charges.
func TestShareChange(t *testing.T) {
	a := New(1, Params{})
	for _, c := range []struct {
		share, charges int
		cost           fleet.Cost
		want           int64
	}{{1, 1, 1000, 1000}, {4, 1, 402, 1100}, {4, 2, 1, 1101}, {1000, 2500, 1, 1103}, {1, 1, 0, 1103}, {1, 1, 500, 2103}} {
		a.SetCustomers([]Customer{{ID: "x", Share: c.share}})
		for range c.charges {
			a.Charge("x", c.cost)
		}
		if got := a.VirtualTime("x"); got != c.want {
			t.Errorf("virtual time is %d after %d charges of %d at share %d, want %d", got, c.charges, c.cost, c.share, c.want)
		}
	}
}

// TestActivate checks that only idle customers are lifted, and exactly to the floor.
func TestActivate(t *testing.T) {
	start, noService := time.Unix(100, 0), func(*Accounts) {}
	for _, c := range []struct {
		name        string
		own         fleet.Cost
		inactiveFor time.Duration
		serve       func(a *Accounts)
		want        int64
	}{
		{"idle and behind is lifted", 40, time.Hour, noService, 500},
		{"idle and ahead is not lifted", 900, time.Hour, noService, 900},
		{"recently backlogged is not lifted", 40, time.Second, noService, 40},
		{"recently served here is not lifted", 40, time.Hour, func(a *Accounts) { a.Charge("x", 1) }, 41},
		{"recently served elsewhere is not lifted", 40, time.Hour, func(a *Accounts) {
			a.Merge([]wire.ServiceCounter{{Incarnation: 2, Customer: "x", Total: 1}}, nil)
		}, 41},
	} {
		t.Run(c.name, func(t *testing.T) {
			a := settledAccounts(1, Params{IdleAfter: 2 * time.Second})
			a.Tick(start)
			a.Charge("x", c.own)
			a.Activate("x")
			a.Deactivate("x")
			a.Charge("busy", 500)
			a.Activate("busy")
			a.Tick(start.Add(c.inactiveFor))
			c.serve(a)
			a.Activate("x")
			if got := a.VirtualTime("x"); got != c.want {
				t.Errorf("virtual time is %d, want %d", got, c.want)
			}
		})
	}
}

// TestClamp checks that no neighbours stay further apart than the maximum lag, that the
// order and all differences within the maximum lag are kept, and that no virtual time
// falls.
func TestClamp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const maxLag = 100
		a := settledAccounts(1, Params{MaxLag: maxLag})
		var before []int64
		var members []fleet.CustomerID
		for i, vt := range rapid.SliceOfN(rapid.Int64Range(0, 1000), 1, 12).Draw(t, "times") {
			members = append(members, customer(i))
			a.Charge(customer(i), fleet.Cost(vt))
			before = append(before, vt)
		}
		slices.Sort(before)
		a.Clamp(members)
		var after []int64
		for _, c := range members {
			after = append(after, a.VirtualTime(c))
		}
		slices.Sort(after)
		for i := range after {
			if after[i] < before[i] || (i == len(after)-1 && after[i] != before[i]) {
				t.Fatalf("Clamp changes %v to %v", before, after)
			}
			if i == 0 {
				continue
			}
			was, is := before[i]-before[i-1], after[i]-after[i-1]
			if is > maxLag || (was <= maxLag && is != was) {
				t.Fatalf("Clamp changes %v to %v", before, after)
			}
		}
	})
}

// TestEstimateCharges checks that after each request the charges equal the cost used
// plus the credit, and that the estimate stays within the costs seen so far.
func TestEstimateCharges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := New(1, Params{FirstEstimate: 50})
		used, most := fleet.Cost(0), fleet.Cost(50)
		for range rapid.IntRange(1, 30).Draw(t, "requests") {
			inputCost := fleet.Cost(rapid.IntRange(0, 20).Draw(t, "known"))
			output := fleet.Cost(rapid.IntRange(0, 300).Draw(t, "output"))
			most = max(most, output)
			if e := a.Estimate("x", inputCost); e < inputCost || e > inputCost+most {
				t.Fatalf("estimate %d for input cost %d and outputs up to %d", e, inputCost, most)
			}
			rc := a.Start("x", inputCost)
			a.Update(&rc, inputCost+output/2)
			a.Update(&rc, inputCost+output/3)
			a.Finish(&rc, inputCost+output)
			used += inputCost + output
			acc := a.accounts[a.index["x"]]
			if acc.cost != used+acc.estimate.credit || acc.estimate.credit < 0 {
				t.Fatalf("charged %d, used %d, credit %d", acc.cost, used, acc.estimate.credit)
			}
		}
	})
}
