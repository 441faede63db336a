package plan

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"time"
)

// weightedChoice draws an index by weight. It holds the cumulative sums of the weights.
type weightedChoice []float64

func newWeightedChoice(weights []float64) weightedChoice {
	w, sum := make(weightedChoice, len(weights)), 0.0
	for i, x := range weights {
		sum += x
		w[i] = sum
	}
	return w
}

func (w weightedChoice) draw(rng *rand.Rand) int {
	x := rng.Float64() * w[len(w)-1]
	return min(sort.SearchFloat64s(w, x), len(w)-1)
}

// drawArrivals draws the messages: a Poisson process over the length of the run, whose rate bursts raise, and clumps of
// messages for a single partner, each clump at one relay.
func (p *Plan) drawArrivals(rng *rand.Rand) {
	x := p.Experiment.Load
	level, clumps := x.Level.Draw(rng), x.Clumps.Draw(rng)
	usage := make([]float64, len(x.Customers))
	for i, c := range x.Customers {
		usage[i] = c.Usage.Draw(rng)
	}
	weights, sum, nominal := make([]float64, len(p.Partners)), 0.0, 0.0
	for i := range p.Partners {
		d := &p.Partners[i]
		weights[i] = d.Share * usage[d.Customer]
		sum, nominal = sum+weights[i], nominal+d.Share
	}
	for i := range weights {
		weights[i] *= nominal / sum // keeps the total level, whatever part of its share each customer uses
	}
	relays := make([]float64, len(p.Relays))
	for i, r := range p.Relays {
		relays[i] = r.Share
	}
	gen := messageGenerator{p, newWeightedChoice(relays), make([]weightedChoice, len(p.Partners)), x.Retries.Draw(rng), x.HeedShare.Draw(rng), x.LeaveShare.Draw(rng),
		x.HeavyBody.Draw(rng)}
	for i := range p.Partners {
		kind := p.Experiment.Partners.Kinds[p.Partners[i].Kind].Name
		shares := make([]float64, len(p.Classes))
		for c := range p.Classes {
			if p.Classes[c].servesKind(kind) {
				// A class's part of a destination's traffic is its share of the traffic of all destinations that it may go to.
				shares[c] = p.Classes[c].Share.Lo / p.reachableShare(c)
			}
		}
		gen.classes[i] = newWeightedChoice(shares)
	}
	rate := level * p.FullRate
	maxFactor := 1.0
	for _, f := range p.Faults {
		if f.Kind == "burst" {
			maxFactor = math.Max(maxFactor, f.Size)
		}
	}
	partners := newWeightedChoice(weights)
	for at := time.Duration(0); ; {
		at += seconds(rng.ExpFloat64() / (rate * (1 - clumps) * maxFactor))
		if at >= p.Length {
			break
		}
		if rng.Float64()*maxFactor < p.burstFactor(at) {
			p.Arrivals = append(p.Arrivals, gen.message(rng, at, partners.draw(rng), -1))
		}
	}
	for i := range p.Partners {
		size := math.Max(2, x.ClumpSpan.Draw(rng)*p.FullRate*p.Partners[i].Share)
		interval := size / (rate * weights[i] * clumps)
		if clumps == 0 {
			continue
		}
		for at := seconds(rng.ExpFloat64() * interval); at < p.Length; at += seconds(rng.ExpFloat64() * interval) {
			relay, gap := gen.relays.draw(rng), seconds((0.05+0.15*rng.Float64())/size)
			for k := range max(2, int(size*(0.5+rng.Float64()))) {
				if t := at + time.Duration(k)*gap; t < p.Length {
					p.Arrivals = append(p.Arrivals, gen.message(rng, t, i, relay))
				}
			}
		}
	}
	slices.SortStableFunc(p.Arrivals, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
}

// reachableShare returns the share of the traffic of the destinations that a class may be sent to.
func (p *Plan) reachableShare(c int) float64 {
	sum := 0.0
	for i := range p.Partners {
		if p.Classes[c].servesKind(p.Experiment.Partners.Kinds[p.Partners[i].Kind].Name) {
			sum += p.Partners[i].Share
		}
	}
	return math.Max(sum, 1e-9)
}

// burstFactor returns the factor by which bursts raise the traffic at a time.
func (p *Plan) burstFactor(at time.Duration) float64 {
	f := 1.0
	for _, x := range p.Faults {
		if x.Kind == "burst" && at >= x.At && at < x.At+x.For {
			f = math.Max(f, x.Size)
		}
	}
	return f
}

// messageGenerator draws the properties of messages.
type messageGenerator struct {
	p                                          *Plan
	relays                                     weightedChoice
	classes                                    []weightedChoice // by destination
	retries, heedShare, leaveShare, heavyShare float64
}

// message draws one message for a partner. A negative relay has the relay drawn by share of traffic.
func (g *messageGenerator) message(rng *rand.Rand, at time.Duration, partner, relay int) Arrival {
	x := g.p.Experiment.Load
	a := Arrival{At: at, Relay: relay, Partner: partner, Customer: g.p.Partners[partner].Customer, Draw: rng.Uint64()}
	if relay < 0 {
		a.Relay = g.relays.draw(rng)
	}
	a.Class = g.classes[partner].draw(rng)
	c := &g.p.Classes[a.Class]
	// A lognormal distribution with a mean of 1 and the class's coefficient of variation.
	v := math.Log(1 + c.CV*c.CV)
	a.Work = millis(c.WorkMS * math.Exp(math.Sqrt(v)*rng.NormFloat64()-v/2))
	a.Body = 64 + rng.IntN(448)
	if rng.Float64() < g.heavyShare {
		a.Body = 8<<10 + rng.IntN(56<<10)
	}
	a.Retries = int(g.retries)
	if rng.Float64() < g.retries-math.Floor(g.retries) {
		a.Retries++
	}
	a.Backoff, a.Heeds, a.Again = millis(x.Backoff.Draw(rng)), rng.Float64() < g.heedShare, millis(x.ResendDelay.Draw(rng))
	leaves, when := rng.Float64(), millis(1+60*rng.Float64())
	share := g.leaveShare
	for _, f := range g.p.Faults {
		if f.Kind == "leave" && at >= f.At && at < f.At+f.For {
			share = f.Size
		}
	}
	if leaves < share {
		a.Leaves = when
	}
	return a
}

// drawHostilePeers draws the peers that violate the request protocol.
func (p *Plan) drawHostilePeers(rng *rand.Rand) {
	add := func(rate float64, from, to time.Duration, relays []int) {
		for at := from; rate > 0; {
			at += seconds(rng.ExpFloat64() / rate)
			if at >= to {
				return
			}
			p.HostilePeers = append(p.HostilePeers, HostilePeer{At: at, Relay: relays[rng.IntN(len(relays))], Way: rng.IntN(HostileBehaviors), Draw: rng.Uint64()})
		}
	}
	all := make([]int, len(p.Relays))
	for i := range all {
		all[i] = i
	}
	add(p.Experiment.Load.HostileRate.Draw(rng), 0, p.Length, all)
	for _, f := range p.Faults {
		if f.Kind == "hostile" {
			add(f.Size, f.At, f.At+f.For, f.Relays)
		}
	}
	slices.SortStableFunc(p.HostilePeers, func(a, b HostilePeer) int { return cmp.Compare(a.At, b.At) })
}
