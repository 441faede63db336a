// Package plan draws, from an experiment and a seed, everything that a run is given: the fleet, the partners, each message
// with its time and work, and each fault with its time and targets. Nothing is drawn during a run, so that a seed gives the
// same run whatever the program under test does. Write prints the plan, byte for byte the same for the same seed.
package plan

import (
	"bufio"
	"cmp"
	"fmt"
	"hash/fnv"
	"io"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"onyxroad.dev/onyxroad/internal/testbed/experiment"
)

// Plan is the plan of one run.
type Plan struct {
	Experiment    *experiment.Experiment
	Seed          uint64
	Length        time.Duration // how long messages arrive
	Buildings     []string
	Relays        []Relay
	Partners      []Partner
	Endpoints     []Endpoint // those present at the start, then those added by releases, in order
	Classes       []Class
	Arrivals      []Arrival     // by time
	Faults        []Fault       // by time
	HostilePeers  []HostilePeer // by time
	FullRate      float64       // messages per second at full load
	Delays        [][]time.Duration
	Handshakes    float64 // round trips that a new connection takes
	Jitter        float64
	AnswerTimeout time.Duration // how long a client waits for an answer
}

// Relay is one relay with its place and size.
type Relay struct {
	Name     string
	Building int
	Share    float64 // of the traffic
	Slots    int
	MaxHeld  int
	Seed     uint64
}

// Partner is one destination.
type Partner struct {
	ID        int
	Kind      int
	Customer  int
	Share     float64 // of the traffic
	Limit     float64 // calls per second from all relays together; 0: only its capacity limits it
	Capacity  float64 // calls per second over all its endpoints
	Depth     float64 // queue length, in seconds of its capacity
	Speed     float64
	Warm      time.Duration
	Cold      float64
	TellsWait time.Duration // sent with a refusal; 0: not sent
	Report    time.Duration // interval at which the load report is refreshed
	Delay     time.Duration // until a refreshed report becomes visible
	Noise     float64
	Errors    float64
	Endpoints []int
}

// Endpoint is one endpoint of a partner.
type Endpoint struct {
	ID       string
	Partner  int
	Building int
	Capacity float64       // calls per second
	Conns    int           // most connections; 0: no limit
	Added    time.Duration // when discovery first lists it; 0: from the start
	Gone     time.Duration // when it has left the list; 0: never
	Drains   time.Duration // when it starts to drain; 0: never
	Ends     time.Duration // when its machine ends, if it outlasts Gone; 0: with Gone
	News     time.Duration // how long news of it takes to reach an agent; 0: as discovery usually takes
}

// EndsAt returns when the endpoint's machine ends; 0: never.
func (e *Endpoint) EndsAt() time.Duration { return cmp.Or(e.Ends, e.Gone) }

// Class is a message class with its drawn figures.
type Class struct {
	experiment.Class
	WorkMS float64
	CV     float64
}

// Arrival is one message as its client first submits it.
type Arrival struct {
	At       time.Duration
	Relay    int
	Class    int
	Customer int
	Partner  int
	Work     time.Duration // at a partner of normal speed
	Body     int           // bytes
	Retries  int           // most times that its client retries after a refusal
	Backoff  time.Duration
	Heeds    bool          // waits as long as a refusal asks
	Leaves   time.Duration // its client disconnects after this time, once; 0: it does not
	Again    time.Duration // until it is submitted again after its relay died
	Draw     uint64        // seeds everything else that is drawn for it
}

// Fault is one fault with its time and targets.
type Fault struct {
	Kind      string
	At, For   time.Duration
	Size      float64
	Relays    []int
	Emptied   []int // those of Relays that restart with an empty folder
	Partners  []int
	Endpoints []int    // replaced
	Building  int      // -1: none
	Rules     []string // of package faultfile, for what is injected into the relays
	Origin    int      // its index among the experiment's faults
}

// HostilePeer is a peer that violates the request protocol.
type HostilePeer struct {
	At    time.Duration
	Relay int
	Way   int // how it misbehaves, below HostileBehaviors
	Draw  uint64
}

// HostileBehaviors is the number of ways in which hostile peers misbehave.
const HostileBehaviors = 8

// Members returns how many of the relays, counted from the first, are members if the fleet has a membership.
func (p *Plan) Members() int { return max(1, len(p.Relays)-p.Experiment.Fleet.NonMembers) }

// newRand returns a separate source of random numbers for each part of a plan, so that a change in what one part draws does
// not affect another.
func newRand(seed uint64, part string) *rand.Rand {
	h := fnv.New64a()
	io.WriteString(h, part)
	return rand.New(rand.NewPCG(seed, h.Sum64()))
}

// Draw draws a plan. With quick it uses the experiment's shorter length and smaller fleet.
func Draw(x *experiment.Experiment, seed uint64, quick bool) *Plan {
	p := &Plan{Experiment: x, Seed: seed, Length: x.Length.D(), Buildings: x.Fleet.Buildings, AnswerTimeout: x.Load.AnswerTimeout.D()}
	relays := x.Fleet.Relays
	if quick {
		p.Length, relays = x.Quick.D(), x.Fleet.QuickRelays
	}
	p.drawClasses(newRand(seed, "classes"))
	p.drawPartners(newRand(seed, "partners"))
	p.drawNetwork(newRand(seed, "network"))
	p.drawRelays(newRand(seed, "relays"), relays)
	p.drawFaults(newRand(seed, "faults"))
	p.drawArrivals(newRand(seed, "arrivals"))
	p.drawHostilePeers(newRand(seed, "hostile"))
	return p
}

func (p *Plan) drawClasses(rng *rand.Rand) {
	sum := 0.0
	for _, c := range p.Experiment.Load.Classes {
		d := Class{Class: c, WorkMS: c.Work.Draw(rng), CV: c.WorkVariation.Draw(rng)}
		share := c.Share.Draw(rng)
		d.Share = experiment.NewRange(share, share)
		sum += share
		p.Classes = append(p.Classes, d)
	}
	for i := range p.Classes {
		s := p.Classes[i].Share.Lo / sum
		p.Classes[i].Share = experiment.NewRange(s, s)
	}
}

// servesKind reports whether messages of a class go to a kind of destination.
func (c *Class) servesKind(kind string) bool {
	return len(c.Kinds) == 0 || slices.Contains(c.Kinds, kind)
}

func (p *Plan) drawPartners(rng *rand.Rand) {
	x := p.Experiment.Partners
	n := x.Count.DrawInt(rng)
	p.FullRate = x.Rate.Draw(rng) * float64(n)
	zipf, spread := x.Zipf.Draw(rng), x.Endpoints.Draw(rng)
	weights := make([]float64, n)
	for i := range weights {
		weights[i] = 1 / math.Pow(float64(i+1), zipf)
	}
	kinds := p.drawKinds(rng, n)
	p.Partners = make([]Partner, n)
	ids := rng.Perm(n)
	for i := range p.Partners {
		p.Partners[i] = Partner{ID: ids[i], Kind: kinds[i]}
	}
	// A class may be limited to some kinds, so a destination's share is the sum over the classes that go to it.
	for _, c := range p.Classes {
		sum := 0.0
		for i := range weights {
			if c.servesKind(x.Kinds[kinds[i]].Name) {
				sum += weights[i]
			}
		}
		for i := range weights {
			if sum > 0 && c.servesKind(x.Kinds[kinds[i]].Name) {
				p.Partners[i].Share += c.Share.Lo * weights[i] / sum
			}
		}
	}
	p.assignCustomers()
	// Busier destinations have more endpoints.
	for i := range p.Partners {
		d := &p.Partners[i]
		want := spread * math.Pow(d.Share*float64(n), 0.4)
		p.drawEndpoints(rng, i, min(4, max(1, int(want+rng.Float64()))))
	}
}

// drawKinds assigns kinds to n destinations, the first of which has the most traffic.
func (p *Plan) drawKinds(rng *rand.Rand, n int) []int {
	x := p.Experiment.Partners.Kinds
	sum := 0.0
	for _, k := range x {
		sum += k.Share
	}
	type token struct {
		kind int
		key  float64
	}
	var tokens []token
	for i, k := range x {
		for range max(1, int(float64(n)*k.Share/sum+0.5)) {
			tokens = append(tokens, token{i, -k.TrafficBias + 1.5*rng.Float64()})
		}
	}
	for len(tokens) < n {
		i := len(x) - 1
		tokens = append(tokens, token{i, -x[i].TrafficBias + 1.5*rng.Float64()})
	}
	slices.SortStableFunc(tokens, func(a, b token) int { return cmp.Compare(a.key, b.key) })
	kinds := make([]int, n)
	for i := range kinds {
		kinds[i] = tokens[i].kind
	}
	return kinds
}

// assignCustomers assigns each destination to the customer with the largest unassigned share.
func (p *Plan) assignCustomers() {
	left := make([]float64, len(p.Experiment.Load.Customers))
	for i, c := range p.Experiment.Load.Customers {
		left[i] = c.Share
	}
	for i := range p.Partners {
		best := 0
		for j := range left {
			if left[j] > left[best] {
				best = j
			}
		}
		p.Partners[i].Customer = best
		left[best] -= p.Partners[i].Share
	}
}

// drawEndpoints draws the figures of a destination and its n endpoints.
func (p *Plan) drawEndpoints(rng *rand.Rand, i, n int) {
	x := p.Experiment.Partners
	d := &p.Partners[i]
	k := x.Kinds[d.Kind]
	calls := p.FullRate * d.Share
	if k.Batch > 1 {
		calls /= 2 // a call carries several messages when several wait
	}
	d.Limit = math.Max(k.MinRate.Draw(rng), calls*k.Headroom.Draw(rng))
	d.Capacity = d.Limit * k.CapacityHeadroom.Draw(rng)
	if k.Limit == "none" {
		d.Limit, d.Capacity = 0, d.Limit
	}
	d.Depth, d.Speed = k.QueueSeconds.Draw(rng), k.Speed.Draw(rng)
	d.Warm, d.Cold = seconds(x.WarmSeconds.Draw(rng)), x.ColdShare.Draw(rng)
	wait := millis(x.Wait.Draw(rng))
	if rng.Float64() < x.WaitShare {
		d.TellsWait = wait
	}
	d.Report, d.Delay, d.Noise = millis(x.Report.Draw(rng)), millis(x.ReportDelay.Draw(rng)), x.ReportNoise.Draw(rng)
	d.Errors = x.Errors.Draw(rng)
	conns := x.Connections.Draw(rng)
	at := rng.IntN(len(p.Buildings))
	for j := range n {
		e := Endpoint{ID: fmt.Sprintf("s-%08x", rng.Uint32()), Partner: i, Building: (at + j) % len(p.Buildings),
			Capacity: d.Capacity / float64(n)}
		if conns > 0 {
			e.Conns = max(6, int(conns*e.Capacity*p.meanWork(d)))
		}
		d.Endpoints = append(d.Endpoints, len(p.Endpoints))
		p.Endpoints = append(p.Endpoints, e)
	}
}

// meanWork returns the mean time in seconds that a call takes at a destination.
func (p *Plan) meanWork(d *Partner) float64 {
	sum, share := 0.0, 0.0
	for _, c := range p.Classes {
		if c.servesKind(p.Experiment.Partners.Kinds[d.Kind].Name) {
			sum, share = sum+c.Share.Lo*c.WorkMS/1000, share+c.Share.Lo
		}
	}
	if share == 0 {
		return 0.2
	}
	return sum / share / d.Speed
}

func (p *Plan) drawNetwork(rng *rand.Rand) {
	x := p.Experiment.Network
	n := len(p.Buildings)
	p.Delays = make([][]time.Duration, n)
	for a := range n {
		p.Delays[a] = make([]time.Duration, n)
	}
	for a := range n {
		p.Delays[a][a] = millis(x.Same.Draw(rng))
		for b := range a {
			d := millis(x.Cross.Draw(rng))
			p.Delays[a][b], p.Delays[b][a] = d, d
		}
	}
	p.Handshakes, p.Jitter = x.Handshakes.Draw(rng), x.Jitter.Draw(rng)
}

func (p *Plan) drawRelays(rng *rand.Rand, count experiment.Range) {
	x := p.Experiment.Fleet
	n := count.DrawInt(rng)
	skew, room, hold := x.Skew.Draw(rng), x.SlotHeadroom.Draw(rng), x.HoldSeconds.Draw(rng)
	order := rng.Perm(n)
	sum := 0.0
	for i := range n {
		sum += 1 / math.Pow(float64(i+1), skew)
	}
	busy := 0.0 // mean number of slots in use at full load: work plus the round trip
	for i := range p.Partners {
		d := &p.Partners[i]
		calls := p.FullRate * d.Share
		if b := p.Experiment.Partners.Kinds[d.Kind].Batch; b > 1 {
			calls /= 2
		}
		busy += calls * (p.meanWork(d) + 2*p.meanDelay().Seconds())
	}
	p.Relays = make([]Relay, n)
	for i := range n {
		share := 1 / math.Pow(float64(order[i]+1), skew) / sum
		p.Relays[i] = Relay{
			Name: fmt.Sprintf("r%d", i+1), Building: i % len(p.Buildings), Share: share, Seed: rng.Uint64(),
			Slots: max(2, int(math.Ceil(room*busy*share))), MaxHeld: max(12, int(math.Ceil(hold*p.FullRate*share))),
		}
	}
}

// meanDelay returns the mean one-way delay between two buildings.
func (p *Plan) meanDelay() time.Duration {
	sum, n := time.Duration(0), 0
	for _, row := range p.Delays {
		for _, d := range row {
			sum, n = sum+d, n+1
		}
	}
	return sum / time.Duration(n)
}

func seconds(x float64) time.Duration { return time.Duration(x * float64(time.Second)) }
func millis(x float64) time.Duration  { return time.Duration(x * float64(time.Millisecond)) }

// Write prints the plan.
func (p *Plan) Write(w io.Writer) error {
	b := bufio.NewWriter(w)
	fmt.Fprintf(b, "experiment %s seed %d length %v full %.3f/s handshakes %.2f jitter %.3f\n", p.Experiment.Name, p.Seed, p.Length,
		p.FullRate, p.Handshakes, p.Jitter)
	for i, row := range p.Delays {
		fmt.Fprintf(b, "delays %s %v\n", p.Buildings[i], row)
	}
	for _, c := range p.Classes {
		fmt.Fprintf(b, "class %s share %.4f work %.1fms cv %.3f\n", c.Name, c.Share.Lo, c.WorkMS, c.CV)
	}
	for _, r := range p.Relays {
		fmt.Fprintf(b, "relay %+v\n", r)
	}
	for _, d := range p.Partners {
		fmt.Fprintf(b, "partner %+v\n", d)
	}
	for _, e := range p.Endpoints {
		fmt.Fprintf(b, "endpoint %+v\n", e)
	}
	for _, f := range p.Faults {
		fmt.Fprintf(b, "fault %+v\n", f)
	}
	for _, h := range p.HostilePeers {
		fmt.Fprintf(b, "hostile %+v\n", h)
	}
	for _, a := range p.Arrivals {
		fmt.Fprintf(b, "message %+v\n", a)
	}
	return b.Flush()
}
