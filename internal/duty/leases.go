package duty

import (
	"slices"
	"time"
)

const (
	// handOnFor is how long a duty that was handed on waits for the one that it was handed to.
	handOnFor = 2 * time.Second
	// A grant that ended before so many of its leases were over, and not in order, ended quickly.
	steadyLeases = 2
	// From the quickLeast-th such grant in a row on, the next one comes after a pause of a lease, doubling up to pauseMost: a
	// duty that kills its holders does not go through the fleet like a fire.
	quickLeast = 3
	pauseMost  = time.Minute
)

// Leases is what a leader keeps for the time of its reign: until when each grant is promised to its holder. It starts anew with
// each reign, from when that began: what an earlier leader promised is over by then, or within the same lease. It has no clock,
// and does no I/O. It is not safe for concurrent use.
type Leases struct {
	Term uint64 // of the reign

	table  *Table
	began  time.Time
	clocks map[string]*clock
	busy   map[string]bool // a command on the duty is under way: its grant is not renewed any more
	asked  map[string]Ask
}

// Ask is what an operator wants of a duty's holder: that it steps down. Until it does, or its lease is over, it holds the duty.
type Ask struct {
	Epoch uint64
	To    string        // who is to have the duty next; empty: whoever comes
	Bar   time.Duration // for which its holder does not get it again
	At    time.Time
}

// clock is a duty's times.
type clock struct {
	epoch uint64
	since time.Time // the grant
	ends  time.Time // the lease
	ended time.Time // when it was given up, or taken
	bars  map[string]time.Time
}

// NewLeases begins a reign at now.
func NewLeases(t *Table, term uint64, now time.Time) *Leases {
	return &Leases{Term: term, table: t, began: now, clocks: map[string]*clock{}, busy: map[string]bool{}, asked: map[string]Ask{}}
}

// of is a duty's clock.
func (l *Leases) of(g *Grant) *clock {
	c := l.clocks[g.Duty]
	if c == nil {
		// Known from an earlier reign: everything starts anew, and how long ago it was granted is not known.
		c = &clock{epoch: g.Epoch, since: l.began.Add(-steadyLeases * g.Lease), ends: l.began.Add(g.Lease), ended: l.began,
			bars: map[string]time.Time{}}
		l.clocks[g.Duty] = c
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
	c := l.of(g)
	if l.busy[duty] || !now.Before(c.ends) {
		return false // promised to another, perhaps
	}
	if a, asked := l.asked[duty]; asked && a.Epoch == epoch && !now.Before(a.At.Add(g.Lease)) {
		return false // it had its time to step down
	}
	c.ends = now.Add(g.Lease)
	return true
}

// Ask has the holder of a duty asked to step down; false if nobody holds it.
func (l *Leases) Ask(duty string, a Ask) bool {
	g := l.table.duties[duty]
	if g == nil || g.Holder == "" {
		return false
	}
	a.Epoch = g.Epoch
	if old, ok := l.asked[duty]; ok && old.Epoch == a.Epoch {
		a.At = old.At // asked twice it has no more time
	}
	l.asked[duty] = a
	return true
}

// Asked tells whether the holder of a grant is to step down.
func (l *Leases) Asked(duty string, epoch uint64) bool {
	a, ok := l.asked[duty]
	return ok && a.Epoch == epoch
}

// End is the command that ends a grant in its holder's name, as it was asked to or by its own will.
func (l *Leases) End(duty string, epoch uint64, holder, to string) Command {
	c := Command{Op: Release, Term: l.Term, Duty: duty, After: epoch, Holder: holder, To: to}
	if a, ok := l.asked[duty]; ok && a.Epoch == epoch {
		c.Op, c.Bar = StepDown, a.Bar
		if a.To != "" {
			c.To = a.To
		}
	}
	return c
}

// Overdue is the command that takes a duty from a holder that was asked to step down and did not, once its lease is over.
func (l *Leases) Overdue(duty string, now time.Time) (c Command, due bool) {
	g := l.table.duties[duty]
	if g == nil || g.Holder == "" || !l.Asked(duty, g.Epoch) || l.busy[duty] || now.Before(l.of(g).ends) {
		return c, false
	}
	return l.End(duty, g.Epoch, g.Holder, ""), true
}

// Wish is a process's wish to hold a duty.
type Wish struct {
	Duty   string
	Holder string
	Addr   string
	ID     string
	Lease  time.Duration
}

// Pick is the command that has the first of these wishes for one duty fulfilled that can be, and its index; -1 if none can be
// now. A command without Op: the wish is fulfilled already, and the answer that said so was lost.
func (l *Leases) Pick(wishes []Wish, now time.Time) (c Command, index int) {
	if len(wishes) == 0 || l.busy[wishes[0].Duty] {
		return c, -1
	}
	claim := func(w Wish) Command {
		return Command{Op: Claim, Term: l.Term, Duty: w.Duty, Holder: w.Holder, Addr: w.Addr, ID: w.ID, Lease: w.Lease}
	}
	g := l.table.duties[wishes[0].Duty]
	if g == nil {
		return claim(wishes[0]), 0
	}
	k := l.of(g)
	if i := slices.IndexFunc(wishes, func(w Wish) bool { return g.Holder == w.Holder && g.ID == w.ID }); i >= 0 {
		return c, i
	}
	if now.Before(l.free(g)) {
		return c, -1
	}
	i := slices.IndexFunc(wishes, func(w Wish) bool {
		if until, barred := l.barred(g, w.Holder); barred && now.Before(until) {
			return false
		}
		return g.To == "" || g.To == w.Holder || !now.Before(k.ended.Add(handOnFor))
	})
	if i < 0 {
		return c, -1
	}
	c = claim(wishes[i])
	c.After, c.Quick = g.Epoch, l.quick(g)
	_, c.Lift = g.Bars[c.Holder]
	return c, i
}

// quick tells whether a grant whose lease is over ended early and not in order.
func (l *Leases) quick(g *Grant) bool {
	c := l.of(g)
	return g.Holder != "" && c.ends.Sub(c.since) < steadyLeases*g.Lease
}

// free is when a duty can be granted: at once if nobody holds it, at its lease's end if somebody does, later if its holders die
// of it.
func (l *Leases) free(g *Grant) time.Time {
	c := l.of(g)
	if g.Holder == "" {
		return c.ended
	}
	n := g.Quick
	if l.quick(g) {
		n++
	}
	if n < quickLeast {
		return c.ends
	}
	pause := g.Lease << min(n-quickLeast, 10)
	return c.ends.Add(min(pause, pauseMost))
}

// barred is until when a process is barred from a duty.
func (l *Leases) barred(g *Grant, holder string) (until time.Time, barred bool) {
	d, barred := g.Bars[holder]
	if !barred {
		return until, false
	}
	c := l.of(g)
	if _, ok := c.bars[holder]; !ok {
		c.bars[holder] = l.began
	}
	return c.bars[holder].Add(d), true
}

// Begun notes that a command on a duty is under way; false if one is already.
func (l *Leases) Begun(c Command) bool {
	if l.busy[c.Duty] {
		return false
	}
	l.busy[c.Duty] = true
	return true
}

// Done notes what became of a command that has begun, with the table as it is now.
func (l *Leases) Done(c Command, res Result, now time.Time) {
	delete(l.busy, c.Duty)
	g := l.table.duties[c.Duty]
	if g == nil {
		delete(l.clocks, c.Duty)
		return
	}
	if res.Err != nil {
		return
	}
	switch c.Op {
	case Claim:
		if a, ok := l.asked[c.Duty]; ok && a.Epoch != g.Epoch {
			delete(l.asked, c.Duty)
		}
		if k := l.clocks[c.Duty]; k == nil || k.epoch != g.Epoch {
			n := &clock{epoch: g.Epoch, since: now, ends: now.Add(g.Lease), ended: now, bars: map[string]time.Time{}}
			if k != nil {
				n.bars = k.bars
				delete(n.bars, c.Holder)
			}
			l.clocks[c.Duty] = n
		}
	case Release, StepDown:
		if a, ok := l.asked[c.Duty]; ok && a.Epoch == c.After {
			delete(l.asked, c.Duty)
		}
		k := l.of(g)
		k.ended = now
		if c.Op == StepDown {
			for h := range g.Bars {
				if _, ok := k.bars[h]; !ok {
					k.bars[h] = now
				}
			}
		}
	}
}

// Next is when a duty may be granted to somebody who wishes for it now: the soonest time at which Pick may give another answer.
// Zero: it goes by what happens, not by time.
func (l *Leases) Next(wishes []Wish, now time.Time) (next time.Time) {
	if len(wishes) == 0 {
		return next
	}
	g := l.table.duties[wishes[0].Duty]
	if g == nil || l.busy[g.Duty] {
		return next
	}
	at := l.free(g)
	for _, w := range wishes {
		t := at
		if until, barred := l.barred(g, w.Holder); barred && until.After(t) {
			t = until
		}
		if hand := l.of(g).ended.Add(handOnFor); g.To != "" && g.To != w.Holder && hand.After(t) {
			t = hand
		}
		if next.IsZero() || t.Before(next) {
			next = t
		}
	}
	return next
}

// Left is how much of a grant's lease is left at now; 0 if nobody holds the duty.
func (l *Leases) Left(duty string, now time.Time) time.Duration {
	g := l.table.duties[duty]
	if g == nil || g.Holder == "" {
		return 0
	}
	return max(0, l.of(g).ends.Sub(now))
}
