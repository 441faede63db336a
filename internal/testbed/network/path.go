// Package network emulates the network between the parties of a run, and its faults. A path connects two parties and has
// two directions with separate conditions, so that a cut may be one-way or affect a single pair. Nothing here needs special
// privileges: the testbed's own parties wait on a Path before they read or write, separate processes communicate through a
// Forwarder, and a Blackhole makes a listener appear unreachable.
package network

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

// Direction is a direction of a path.
type Direction int

// The two directions. The near side is the one that opens connections.
const (
	Outbound Direction = iota // from the near side to the far one
	Inbound                   // from the far side to the near one
)

const (
	// retransmitTimeout is the time after which TCP first sends a lost segment again, doubled with each further loss. It
	// is the minimum of Linux.
	retransmitTimeout = 200 * time.Millisecond
	// maxRetransmits limits how often a segment is lost in a row.
	maxRetransmits = 6
)

// Conditions are the conditions of one direction of a path. The zero value is a perfect network.
type Conditions struct {
	Delay     time.Duration // one way
	Jitter    float64       // standard deviation of the delay, relative to it
	Loss      float64       // share of segments or datagrams that are lost
	Duplicate float64       // share of datagrams that arrive twice
	Reorder   float64       // share of datagrams that are delayed by one more Delay, at least 5 ms
	Reset     float64       // share of calls whose connection is reset
	Silent    float64       // share of answers that never arrive although the connection stays open
	Surplus   float64       // share of answers that are followed by more bytes
	Cut       bool          // nothing arrives: streams stall until the cut ends, datagrams are lost
}

// Path is the path between two parties. It is safe for concurrent use.
type Path struct {
	mu         sync.Mutex
	conditions [2]Conditions
	changed    chan struct{} // closed at the next update
	rng        *rand.Rand
}

// NewPath returns a path with the same conditions in both directions.
func NewPath(c Conditions, seed uint64) *Path {
	return &Path{conditions: [2]Conditions{c, c}, changed: make(chan struct{}), rng: rand.New(rand.NewPCG(seed, 0x70617468))}
}

// Update calls f to change the conditions of a direction.
func (p *Path) Update(d Direction, f func(*Conditions)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f(&p.conditions[d])
	close(p.changed)
	p.changed = make(chan struct{})
}

// Conditions returns the current conditions of a direction.
func (p *Path) Conditions(d Direction) Conditions {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.conditions[d]
}

// AwaitArrival waits until a stream segment that is sent now has arrived: for its delay, its retransmissions and any cut.
func (p *Path) AwaitArrival(ctx context.Context, d Direction) error {
	p.mu.Lock()
	c := p.conditions[d]
	wait := p.drawDelay(c)
	for k := range maxRetransmits {
		if p.rng.Float64() >= c.Loss {
			break
		}
		wait += retransmitTimeout << k
	}
	p.mu.Unlock()
	if err := Sleep(ctx, wait); err != nil {
		return err
	}
	return p.awaitCutEnd(ctx, d)
}

// awaitCutEnd waits until the direction is not cut.
func (p *Path) awaitCutEnd(ctx context.Context, d Direction) error {
	for {
		p.mu.Lock()
		cut, changed := p.conditions[d].Cut, p.changed
		p.mu.Unlock()
		if !cut {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}

// Resets draws whether the connection of a call is reset.
func (p *Path) Resets(d Direction) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.conditions[d].Reset > 0 && p.rng.Float64() < p.conditions[d].Reset
}

// DropsAnswer draws whether an answer never arrives.
func (p *Path) DropsAnswer(d Direction) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.conditions[d].Silent > 0 && p.rng.Float64() < p.conditions[d].Silent
}

// AddsSurplus draws whether an answer is followed by more bytes.
func (p *Path) AddsSurplus(d Direction) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.conditions[d].Surplus > 0 && p.rng.Float64() < p.conditions[d].Surplus
}

// drawDatagram draws the delay of each copy of a datagram that arrives; none if it is lost.
func (p *Path) drawDatagram(d Direction) (copies []time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.conditions[d]
	if c.Cut || p.rng.Float64() < c.Loss {
		return nil
	}
	wait := p.drawDelay(c)
	if p.rng.Float64() < c.Reorder {
		wait += max(c.Delay, 5*time.Millisecond)
	}
	copies = append(copies, wait)
	if p.rng.Float64() < c.Duplicate {
		copies = append(copies, wait+p.drawDelay(c))
	}
	return copies
}

// drawDelay draws a delay. The caller holds mu.
func (p *Path) drawDelay(c Conditions) time.Duration {
	return time.Duration(float64(c.Delay) * math.Max(0.2, 1+c.Jitter*p.rng.NormFloat64()))
}

// Sleep waits for d, or returns the error of ctx if that ends first.
func Sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}
