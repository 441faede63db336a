// Package network is the paths between the parties of a run, and what goes wrong on them. Every path is between two
// parties and has two directions, each with conditions of its own, so that a cut may be one-way, and one pair may suffer
// while all others don't. Nothing here needs special rights: the testbed's own parties wait on a Path before they read or
// write, two processes speak through a Forwarder, and a listener that must seem unreachable is a Hole.
package network

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

// Direction is one of a path's two.
type Direction int

// The directions. The side that opens connections is the near one.
const (
	Outbound Direction = iota // from the near side to the far one
	Inbound                   // from the far side to the near one
)

const (
	// retransmitTimeout is the first time after which TCP sends a lost segment again, doubled with each further loss; Linux's
	// least.
	retransmitTimeout = 200 * time.Millisecond
	// maxRetransmits bounds how often a segment is lost in a row.
	maxRetransmits = 6
)

// Conditions are those of one direction of a path. The zero value is a perfect one.
type Conditions struct {
	Delay     time.Duration // one way
	Jitter    float64       // share by which the delay scatters
	Loss      float64       // share of segments or datagrams that are lost
	Duplicate float64       // share of datagrams that come twice
	Reorder   float64       // share of datagrams that come a delay late
	Reset     float64       // share of calls whose connection is reset
	Silent    float64       // share of answers that never come, while their connection stays
	Cut       bool          // nothing arrives: TCP's is late until the cut is over, a datagram is gone
}

// Path is one path.
type Path struct {
	mu         sync.Mutex
	conditions [2]Conditions
	changed    chan struct{} // closed with the next change
	rng        *rand.Rand
}

// NewPath returns a path with the same conditions either way.
func NewPath(c Conditions, seed uint64) *Path {
	return &Path{conditions: [2]Conditions{c, c}, changed: make(chan struct{}), rng: rand.New(rand.NewPCG(seed, 0x70617468))}
}

// Update changes the conditions of a direction.
func (p *Path) Update(d Direction, f func(*Conditions)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f(&p.conditions[d])
	close(p.changed)
	p.changed = make(chan struct{})
}

// Conditions are those of a direction now.
func (p *Path) Conditions(d Direction) Conditions {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.conditions[d]
}

// AwaitArrival waits until a segment of a stream that is sent now has arrived: its delay, with what losses add, and any cut.
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

// awaitCutEnd waits for the end of a cut.
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

// Resets draws whether a call in this direction has its connection reset.
func (p *Path) Resets(d Direction) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.conditions[d].Reset > 0 && p.rng.Float64() < p.conditions[d].Reset
}

// DropsAnswer draws whether an answer in this direction never comes.
func (p *Path) DropsAnswer(d Direction) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.conditions[d].Silent > 0 && p.rng.Float64() < p.conditions[d].Silent
}

// drawDatagram draws what becomes of a drawDatagram: when each copy of it arrives; none if it is lost.
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

// drawDelay draws a drawDelay; with mu held.
func (p *Path) drawDelay(c Conditions) time.Duration {
	return time.Duration(float64(c.Delay) * math.Max(0.2, 1+c.Jitter*p.rng.NormFloat64()))
}

// Sleep lets d pass; less, with its error, if ctx ends.
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
