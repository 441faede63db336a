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
	Out  Direction = iota // from the near side to the far one
	Back                  // from the far side to the near one
)

const (
	// retransmit is the first time after which TCP sends a lost segment again, doubled with each further loss; Linux's
	// least.
	retransmit = 200 * time.Millisecond
	// resent bounds how often a segment is lost in a row.
	resent = 6
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
	mu      sync.Mutex
	now     [2]Conditions
	changed chan struct{} // closed with the next change
	rng     *rand.Rand
}

// NewPath returns a path with the same conditions either way.
func NewPath(c Conditions, seed uint64) *Path {
	return &Path{now: [2]Conditions{c, c}, changed: make(chan struct{}), rng: rand.New(rand.NewPCG(seed, 0x70617468))}
}

// Change changes the conditions of a direction.
func (p *Path) Change(d Direction, f func(*Conditions)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f(&p.now[d])
	close(p.changed)
	p.changed = make(chan struct{})
}

// Conditions are those of a direction now.
func (p *Path) Conditions(d Direction) Conditions {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.now[d]
}

// Pass waits until a segment of a stream that is sent now has arrived: its delay, with what losses add, and any cut.
func (p *Path) Pass(ctx context.Context, d Direction) error {
	p.mu.Lock()
	c := p.now[d]
	wait := p.delay(c)
	for k := range resent {
		if p.rng.Float64() >= c.Loss {
			break
		}
		wait += retransmit << k
	}
	p.mu.Unlock()
	if err := Sleep(ctx, wait); err != nil {
		return err
	}
	return p.open(ctx, d)
}

// open waits for the end of a cut.
func (p *Path) open(ctx context.Context, d Direction) error {
	for {
		p.mu.Lock()
		cut, changed := p.now[d].Cut, p.changed
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
	return p.now[d].Reset > 0 && p.rng.Float64() < p.now[d].Reset
}

// Silences draws whether an answer in this direction never comes.
func (p *Path) Silences(d Direction) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.now[d].Silent > 0 && p.rng.Float64() < p.now[d].Silent
}

// datagram draws what becomes of a datagram: when each copy of it arrives; none if it is lost.
func (p *Path) datagram(d Direction) (copies []time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.now[d]
	if c.Cut || p.rng.Float64() < c.Loss {
		return nil
	}
	wait := p.delay(c)
	if p.rng.Float64() < c.Reorder {
		wait += max(c.Delay, 5*time.Millisecond)
	}
	copies = append(copies, wait)
	if p.rng.Float64() < c.Duplicate {
		copies = append(copies, wait+p.delay(c))
	}
	return copies
}

// delay draws a delay; with mu held.
func (p *Path) delay(c Conditions) time.Duration {
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
