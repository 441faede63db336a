package duty

import (
	"slices"
	"time"
)

const (
	// handoverGrace is how long a duty that was handed on waits for the one that it was handed to.
	handoverGrace = 2 * time.Second
	// A grant that ended before so many of its leases were over, and not in order, ended quickly.
	earlyEndLeases = 2
	// From the pauseAfterEarlyEnds-th such grant in a row on, the next one comes after a pause of a lease, doubling up to pauseMost: a
	// duty that kills its holders does not go through the fleet like a fire.
	pauseAfterEarlyEnds = 3
	maxPause  = time.Minute
)

// Leases is what a leader keeps for the time of its reign: until when each grant is promised to its holder. It starts anew with
// each reign, from when that began: what an earlier leader promised is over by then, or within the same lease. It has no clock,
// and does no I/O. It is not safe for concurrent use.
type Leases struct {
	Term uint64 // of the reign

	table  *Table
	termBegan  time.Time
	timings map[string]*timing
	inFlight   map[string]bool // a command on the duty is under way: its grant is not renewed any more
	stepDowns  map[string]StepDownRequest
}

// StepDownRequest is what an operator wants of a duty's holder: that it steps down. Until it does, or its lease is over, it holds the duty.
type StepDownRequest struct {
	Epoch uint64
	To    string        // who is to have the duty next; empty: whoever comes
	Bar   time.Duration // for which its holder does not get it again
	At    time.Time
}

// timing is a duty's times.
type timing struct {
	epoch uint64
	grantedAt time.Time // the grant
	expiresAt  time.Time // the lease
	endedAt time.Time // when it was given up, or taken
	bars  map[string]time.Time
}

// NewLeases begins a reign at now.
func NewLeases(t *Table, term uint64, now time.Time) *Leases {
	return &Leases{Term: term, table: t, termBegan: now, timings: map[string]*timing{}, inFlight: map[string]bool{}, stepDowns: map[string]StepDownRequest{}}
}

// timingOf is a duty's clock.
func (l *Leases) timingOf(g *Grant) *timing {
	c := l.timings[g.Duty]
	if c == nil {
		// Known from an earlier reign: everything starts anew, and how long ago it was granted is not known.
		c = &timing{epoch: g.Epoch, grantedAt: l.termBegan.Add(-earlyEndLeases * g.Lease), expiresAt: l.termBegan.Add(g.Lease), endedAt: l.termBegan,
			bars: map[string]time.Time{}}
		l.timings[g.Duty] = c
	}
	return c
}

// Renew extends the lease of a grant. It is asked once the leader has made sure that, at a moment after the holder asked, it
// still was the leader. now is not before that moment.
func (l *Leases) Renew(duty string, epoch uint64, holder string, now time.Time) bool {
	g := l.table.duties[duty]
	if g == nil || g.Epoch != epoch || g.Holder != holder {
		return false
	}
	c := l.timingOf(g)
	if l.inFlight[duty] || !now.Before(c.expiresAt) {
		return false // promised to another, perhaps
	}
	if a, asked := l.stepDowns[duty]; asked && a.Epoch == epoch && !now.Before(a.At.Add(g.Lease)) {
		return false // it had its time to step down
	}
	c.expiresAt = now.Add(g.Lease)
	return true
}

// RequestStepDown has the holder of a duty asked to step down; false if nobody holds it.
func (l *Leases) RequestStepDown(duty string, a StepDownRequest) bool {
	g := l.table.duties[duty]
	if g == nil || g.Holder == "" {
		return false
	}
	a.Epoch = g.Epoch
	if old, ok := l.stepDowns[duty]; ok && old.Epoch == a.Epoch {
		a.At = old.At // asked twice it has no more time
	}
	l.stepDowns[duty] = a
	return true
}

// StepDownRequested tells whether the holder of a grant is to step down.
func (l *Leases) StepDownRequested(duty string, epoch uint64) bool {
	a, ok := l.stepDowns[duty]
	return ok && a.Epoch == epoch
}

// EndCommand is the command that ends a grant in its holder's name, as it was asked to or by its own will.
func (l *Leases) EndCommand(duty string, epoch uint64, holder, to string) Command {
	c := Command{Op: Release, Term: l.Term, Duty: duty, After: epoch, Holder: holder, To: to}
	if a, ok := l.stepDowns[duty]; ok && a.Epoch == epoch {
		c.Op, c.Bar = StepDown, a.Bar
		if a.To != "" {
			c.To = a.To
		}
	}
	return c
}

// RevokeCommand is the command that takes a duty from a holder that was asked to step down and did not, once its lease is over.
func (l *Leases) RevokeCommand(duty string, now time.Time) (c Command, due bool) {
	g := l.table.duties[duty]
	if g == nil || g.Holder == "" || !l.StepDownRequested(duty, g.Epoch) || l.inFlight[duty] || now.Before(l.timingOf(g).expiresAt) {
		return c, false
	}
	return l.EndCommand(duty, g.Epoch, g.Holder, ""), true
}

// Wish is a process's wish to hold a duty.
type Wish struct {
	Duty   string
	Holder string
	Addr   string
	ID     string
	Lease  time.Duration
}

// PickClaim is the command that has the first of these wishes for one duty fulfilled that can be, and its index; -1 if none can be
// now. A command without Op: the wish is fulfilled already, and the answer that said so was lost.
func (l *Leases) PickClaim(wishes []Wish, now time.Time) (c Command, index int) {
	if len(wishes) == 0 || l.inFlight[wishes[0].Duty] {
		return c, -1
	}
	claim := func(w Wish) Command {
		return Command{Op: Claim, Term: l.Term, Duty: w.Duty, Holder: w.Holder, Addr: w.Addr, ID: w.ID, Lease: w.Lease}
	}
	g := l.table.duties[wishes[0].Duty]
	if g == nil {
		return claim(wishes[0]), 0
	}
	k := l.timingOf(g)
	if i := slices.IndexFunc(wishes, func(w Wish) bool { return g.Holder == w.Holder && g.ID == w.ID }); i >= 0 {
		return c, i
	}
	if now.Before(l.availableAt(g)) {
		return c, -1
	}
	i := slices.IndexFunc(wishes, func(w Wish) bool {
		if until, barred := l.barredUntil(g, w.Holder); barred && now.Before(until) {
			return false
		}
		return g.To == "" || g.To == w.Holder || !now.Before(k.endedAt.Add(handoverGrace))
	})
	if i < 0 {
		return c, -1
	}
	c = claim(wishes[i])
	c.After, c.Quick = g.Epoch, l.endedEarly(g)
	_, c.Lift = g.Bars[c.Holder]
	return c, i
}

// endedEarly tells whether a grant whose lease is over ended early and not in order.
func (l *Leases) endedEarly(g *Grant) bool {
	c := l.timingOf(g)
	return g.Holder != "" && c.expiresAt.Sub(c.grantedAt) < earlyEndLeases*g.Lease
}

// availableAt is when a duty can be granted: at once if nobody holds it, at its lease's end if somebody does, later if its holders die
// of it.
func (l *Leases) availableAt(g *Grant) time.Time {
	c := l.timingOf(g)
	if g.Holder == "" {
		return c.endedAt
	}
	n := g.Quick
	if l.endedEarly(g) {
		n++
	}
	if n < pauseAfterEarlyEnds {
		return c.expiresAt
	}
	pause := g.Lease << min(n-pauseAfterEarlyEnds, 10)
	return c.expiresAt.Add(min(pause, maxPause))
}

// barredUntil is until when a process is barredUntil from a duty.
func (l *Leases) barredUntil(g *Grant, holder string) (until time.Time, barred bool) {
	d, barred := g.Bars[holder]
	if !barred {
		return until, false
	}
	c := l.timingOf(g)
	if _, ok := c.bars[holder]; !ok {
		c.bars[holder] = l.termBegan
	}
	return c.bars[holder].Add(d), true
}

// Begin notes that a command on a duty is under way; false if one is already.
func (l *Leases) Begin(c Command) bool {
	if l.inFlight[c.Duty] {
		return false
	}
	l.inFlight[c.Duty] = true
	return true
}

// Finish notes what became of a command that has begun, with the table as it is now.
func (l *Leases) Finish(c Command, res Result, now time.Time) {
	delete(l.inFlight, c.Duty)
	g := l.table.duties[c.Duty]
	if g == nil {
		delete(l.timings, c.Duty)
		return
	}
	if res.Err != nil {
		return
	}
	switch c.Op {
	case Claim:
		if a, ok := l.stepDowns[c.Duty]; ok && a.Epoch != g.Epoch {
			delete(l.stepDowns, c.Duty)
		}
		if k := l.timings[c.Duty]; k == nil || k.epoch != g.Epoch {
			n := &timing{epoch: g.Epoch, grantedAt: now, expiresAt: now.Add(g.Lease), endedAt: now, bars: map[string]time.Time{}}
			if k != nil {
				n.bars = k.bars
				delete(n.bars, c.Holder)
			}
			l.timings[c.Duty] = n
		}
	case Release, StepDown:
		if a, ok := l.stepDowns[c.Duty]; ok && a.Epoch == c.After {
			delete(l.stepDowns, c.Duty)
		}
		k := l.timingOf(g)
		k.endedAt = now
		if c.Op == StepDown {
			for h := range g.Bars {
				if _, ok := k.bars[h]; !ok {
					k.bars[h] = now
				}
			}
		}
	}
}

// NextChange is when a duty may be granted to somebody who wishes for it now: the soonest time at which Pick may give another answer.
// Zero: it goes by what happens, not by time.
func (l *Leases) NextChange(wishes []Wish, now time.Time) (next time.Time) {
	if len(wishes) == 0 {
		return next
	}
	g := l.table.duties[wishes[0].Duty]
	if g == nil || l.inFlight[g.Duty] {
		return next
	}
	at := l.availableAt(g)
	for _, w := range wishes {
		t := at
		if until, barred := l.barredUntil(g, w.Holder); barred && until.After(t) {
			t = until
		}
		if hand := l.timingOf(g).endedAt.Add(handoverGrace); g.To != "" && g.To != w.Holder && hand.After(t) {
			t = hand
		}
		if next.IsZero() || t.Before(next) {
			next = t
		}
	}
	return next
}

// Remaining is how much of a grant's lease is left at now; 0 if nobody holds the duty.
func (l *Leases) Remaining(duty string, now time.Time) time.Duration {
	g := l.table.duties[duty]
	if g == nil || g.Holder == "" {
		return 0
	}
	return max(0, l.timingOf(g).expiresAt.Sub(now))
}
