package replay

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/membership"
	"medlarwind.dev/medlarwind/internal/scheduler"
)

// call is one request of the load, the same for every policy.
type call struct {
	id       int
	at       time.Duration
	class    *Class
	customer fleet.CustomerID
	router   int
	parts    []scheduler.Part
	prompt   int
	output   int
	// worth is what it is worth in time, by its size.
	worth float64
}

// load draws all calls of a spec.
func load(s Spec) []call {
	rng := rand.New(rand.NewPCG(s.Seed, 0x10ad))
	shares := customerShares(s)
	var calls []call
	for i := range s.Classes {
		c := &s.Classes[i]
		for at := time.Duration(0); at < s.Length; {
			rate, weights := rateAt(s, shares, at)
			at += time.Duration(rng.ExpFloat64() / (c.PerSecond * s.Load * rate) * float64(time.Second))
			calls = append(calls, drawCall(s, c, rng, pick(rng, weights), at, len(calls)))
		}
	}
	return calls
}

// customerShares are the customers' parts of the usual load, largest first.
func customerShares(s Spec) []float64 {
	shares := make([]float64, s.Customers)
	total := 0.0
	for i := range shares {
		shares[i] = math.Pow(float64(i+1), -s.Skew)
		total += shares[i]
	}
	for i := range shares {
		shares[i] /= total
	}
	return shares
}

// rateAt returns by how much surges raise the load at a moment, and each customer's
// weight.
func rateAt(s Spec, shares []float64, at time.Duration) (float64, []float64) {
	weights := append([]float64(nil), shares...)
	for _, surge := range s.Surges {
		if at >= surge.At && at < surge.At+surge.Length {
			weights[surge.Customer] *= surge.Factor
		}
	}
	total := 0.0
	for _, w := range weights {
		total += w
	}
	return total, weights
}

func pick(rng *rand.Rand, weights []float64) int {
	total := 0.0
	for _, w := range weights {
		total += w
	}
	point := rng.Float64() * total
	for i, w := range weights {
		if point -= w; point < 0 {
			return i
		}
	}
	return len(weights) - 1
}

// drawCall draws one call. Each customer comes by one region mostly.
func drawCall(s Spec, c *Class, rng *rand.Rand, customer int, at time.Duration, id int) call {
	x := call{id: id, at: at, class: c, customer: fleet.CustomerID(fmt.Sprint("customer-", customer))}
	region := customer % s.Regions
	if rng.Float64() > 0.6 {
		region = rng.IntN(s.Regions)
	}
	perRegion := s.Routers / s.Regions
	x.router = region*perRegion + rng.IntN(perRegion)
	chain := ""
	for i, tokens := range c.Shared {
		thing := rng.IntN(c.SharedVariants[i])
		chain += fmt.Sprintf("%s/%d/%d,", c.Name, i, thing)
		x.parts = append(x.parts, scheduler.Part{ID: chain, Tokens: partTokens(chain, tokens)})
	}
	own := lognormal(rng, c.Own, c.OwnSpread, c.MaxOwn)
	x.parts = append(x.parts, scheduler.Part{ID: fmt.Sprint("own/", id), Tokens: own})
	for _, p := range x.parts {
		x.prompt += p.Tokens
	}
	x.output = lognormal(rng, c.Output, c.OutputSpread, c.MaxOutput)
	size := float64(x.prompt+10*x.output) / float64(c.meanPrompt()+10*c.Output)
	x.worth = c.Worth * min(0.3+0.7*size, 4)
	return x
}

// partTokens is a part's length, the same wherever it is used: half to one and a half
// times the mean.
func partTokens(chain string, mean int) int {
	part := float64(membership.Hash(chain)%1000) / 1000
	return max(int(float64(mean)*(0.5+part)), 1)
}

func (c *Class) meanPrompt() int {
	total := c.Own
	for _, tokens := range c.Shared {
		total += tokens
	}
	return total
}

// lognormal draws a length with a mean.
func lognormal(rng *rand.Rand, mean int, spread float64, most int) int {
	x := float64(mean) * math.Exp(spread*rng.NormFloat64()-spread*spread/2)
	return min(max(int(x), 1), most)
}
