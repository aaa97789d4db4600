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

// call is one request of the load. Every policy gets the same calls.
type call struct {
	id       int
	at       time.Duration
	class    *Class
	customer fleet.CustomerID
	router   int
	parts    []scheduler.Part
	prompt   int
	output   int
	// worth is the value of the call if it is served in time. It grows with its size.
	worth float64
}

// generateLoad returns the calls of a spec, drawn at random from its seed.
func generateLoad(s Spec) []call {
	rng := rand.New(rand.NewPCG(s.Seed, 0x10ad))
	shares := customerShares(s)
	var calls []call
	for i := range s.Classes {
		c := &s.Classes[i]
		for at := time.Duration(0); at < s.Length; {
			rate, weights := rateAt(s, shares, at)
			at += time.Duration(rng.ExpFloat64() / (c.PerSecond * s.Load * rate) * float64(time.Second))
			calls = append(calls, drawCall(s, c, rng, pickWeighted(rng, weights), at, len(calls)))
		}
	}
	return calls
}

// customerShares returns each customer's fraction of the load outside of surges, largest
// first.
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

// rateAt returns the factor by which surges raise the load at a point in time, and the
// weight of each customer.
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

// pickWeighted returns a random index, with a probability proportional to its weight.
func pickWeighted(rng *rand.Rand, weights []float64) int {
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

// drawCall draws one call. Most calls of a customer arrive in the same region.
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
		variant := c.drawVariant(rng, c.SharedVariants[i])
		chain += fmt.Sprintf("%s/%d/%d,", c.Name, i, variant)
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

// drawVariant draws one of n texts.
func (c *Class) drawVariant(rng *rand.Rand, n int) int {
	if c.VariantSkew == 0 {
		return rng.IntN(n)
	}
	// The inverse of the distribution function of the power law, taken as continuous.
	return min(int(float64(n)*math.Pow(rng.Float64(), 1/(1-c.VariantSkew))), n-1)
}

// partTokens returns the length of a shared part, between half and one and a half times
// the mean. It depends on chain only, so that every call with this part has the same length.
func partTokens(chain string, mean int) int {
	fraction := float64(membership.Hash(chain)%1000) / 1000
	return max(int(float64(mean)*(0.5+fraction)), 1)
}

// meanPrompt returns the mean prompt length in tokens.
func (c *Class) meanPrompt() int {
	total := c.Own
	for _, tokens := range c.Shared {
		total += tokens
	}
	return total
}

// lognormal draws a length from a log-normal distribution with the given mean, limited to
// the range from 1 to maxLength.
func lognormal(rng *rand.Rand, mean int, spread float64, maxLength int) int {
	x := float64(mean) * math.Exp(spread*rng.NormFloat64()-spread*spread/2)
	return min(max(int(x), 1), maxLength)
}
