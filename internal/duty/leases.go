package duty

import (
	"slices"
	"time"
)

const (
	// handoverGrace is how long a duty that was handed over is reserved for the process that is to have it next.
	handoverGrace = 2 * time.Second
	// A grant whose lease expired within this many lease lengths of the grant ended early.
	earlyEndLeases = 2
	// From this many consecutive early ends on, the next grant is delayed by one lease, doubling up to maxPause, so that
	// a duty that kills its holders does not take down the fleet one process after another.
	pauseAfterEarlyEnds = 3
	maxPause            = time.Minute
)

// Leases is the leader's state for its term: until when each grant is promised to its holder. It starts anew with each
// term, and all leases restart when the term begins: a promise of an earlier leader has expired by the end of that
// lease. It has no clock, does no I/O, and is not safe for concurrent use.
type Leases struct {
	Term uint64

	table     *Table
	termBegan time.Time
	timings   map[string]*timing
	inFlight  map[string]bool // duties with a command in flight: their grants are not renewed
	stepDowns map[string]StepDownRequest
}

// StepDownRequest is an operator's request that the holder of a duty steps down. The holder keeps the duty until it
// releases it or its lease expires.
type StepDownRequest struct {
	Epoch uint64
	To    string        // process that gets the duty next; empty: any
	Bar   time.Duration // how long the holder is barred from the duty
	At    time.Time
}

// timing holds the times of a duty.
type timing struct {
	epoch     uint64
	grantedAt time.Time // when it was granted
	expiresAt time.Time // when the lease expires
	endedAt   time.Time // when it was last released or revoked
	bars      map[string]time.Time
}

// NewLeases returns the leases of a term that begins at now.
func NewLeases(t *Table, term uint64, now time.Time) *Leases {
	return &Leases{Term: term, table: t, termBegan: now, timings: map[string]*timing{}, inFlight: map[string]bool{}, stepDowns: map[string]StepDownRequest{}}
}

// timingOf returns the timing of a duty.
func (l *Leases) timingOf(g *Grant) *timing {
	t := l.timings[g.Duty]
	if t == nil {
		// Granted in an earlier term: the times restart, and the time of the grant is unknown.
		t = &timing{epoch: g.Epoch, grantedAt: l.termBegan.Add(-earlyEndLeases * g.Lease), expiresAt: l.termBegan.Add(g.Lease), endedAt: l.termBegan,
			bars: map[string]time.Time{}}
		l.timings[g.Duty] = t
	}
	return t
}

// Renew extends the lease of a grant. Before calling it, the leader must have confirmed that it was still the leader at
// some moment after the holder's request; now must not be before that moment.
func (l *Leases) Renew(duty string, epoch uint64, holder string, now time.Time) bool {
	g := l.table.duties[duty]
	if g == nil || g.Epoch != epoch || g.Holder != holder {
		return false
	}
	t := l.timingOf(g)
	if l.inFlight[duty] || !now.Before(t.expiresAt) {
		return false // may be promised to another process
	}
	if req, asked := l.stepDowns[duty]; asked && req.Epoch == epoch && !now.Before(req.At.Add(g.Lease)) {
		return false // the time to step down is over
	}
	t.expiresAt = now.Add(g.Lease)
	return true
}

// RequestStepDown records that the holder of a duty is to step down; false if the duty has no holder.
func (l *Leases) RequestStepDown(duty string, req StepDownRequest) bool {
	g := l.table.duties[duty]
	if g == nil || g.Holder == "" {
		return false
	}
	req.Epoch = g.Epoch
	if old, ok := l.stepDowns[duty]; ok && old.Epoch == req.Epoch {
		req.At = old.At // a repeated request does not extend the time
	}
	l.stepDowns[duty] = req
	return true
}

// StepDownRequested reports whether the holder of a grant is to step down.
func (l *Leases) StepDownRequested(duty string, epoch uint64) bool {
	req, ok := l.stepDowns[duty]
	return ok && req.Epoch == epoch
}

// EndCommand returns the command that ends a grant for its holder: a step-down if one was requested, else a release.
func (l *Leases) EndCommand(duty string, epoch uint64, holder, to string) Command {
	c := Command{Op: Release, Term: l.Term, Duty: duty, After: epoch, Holder: holder, To: to}
	if req, ok := l.stepDowns[duty]; ok && req.Epoch == epoch {
		c.Op, c.Bar = StepDown, req.Bar
		if req.To != "" {
			c.To = req.To
		}
	}
	return c
}

// RevokeCommand returns the command that revokes a duty from a holder that was asked to step down and did not before its
// lease expired.
func (l *Leases) RevokeCommand(duty string, now time.Time) (c Command, due bool) {
	g := l.table.duties[duty]
	if g == nil || g.Holder == "" || !l.StepDownRequested(duty, g.Epoch) || l.inFlight[duty] || now.Before(l.timingOf(g).expiresAt) {
		return c, false
	}
	return l.EndCommand(duty, g.Epoch, g.Holder, ""), true
}

// Wish is a process's request to hold a duty.
type Wish struct {
	Duty   string
	Holder string
	Addr   string
	ID     string
	Lease  time.Duration
}

// PickClaim returns the command that grants the duty to the first of these wishes for it that can be granted now, and
// the index of the wish; -1 if none can. A command without Op means that the wish has been granted already and the
// answer was lost.
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
	t := l.timingOf(g)
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
		return g.To == "" || g.To == w.Holder || !now.Before(t.endedAt.Add(handoverGrace))
	})
	if i < 0 {
		return c, -1
	}
	c = claim(wishes[i])
	c.After, c.Quick = g.Epoch, l.endedEarly(g)
	_, c.Lift = g.Bars[c.Holder]
	return c, i
}

// endedEarly reports whether a grant whose lease has expired ended early, without a release.
func (l *Leases) endedEarly(g *Grant) bool {
	t := l.timingOf(g)
	return g.Holder != "" && t.expiresAt.Sub(t.grantedAt) < earlyEndLeases*g.Lease
}

// availableAt returns when a duty can be granted: immediately if it has no holder, else when the lease expires, with a
// delay after repeated early ends.
func (l *Leases) availableAt(g *Grant) time.Time {
	t := l.timingOf(g)
	if g.Holder == "" {
		return t.endedAt
	}
	n := g.Quick
	if l.endedEarly(g) {
		n++
	}
	if n < pauseAfterEarlyEnds {
		return t.expiresAt
	}
	pause := g.Lease << min(n-pauseAfterEarlyEnds, 10)
	return t.expiresAt.Add(min(pause, maxPause))
}

// barredUntil returns until when a process is barred from a duty.
func (l *Leases) barredUntil(g *Grant, holder string) (until time.Time, barred bool) {
	d, barred := g.Bars[holder]
	if !barred {
		return until, false
	}
	t := l.timingOf(g)
	if _, ok := t.bars[holder]; !ok {
		t.bars[holder] = l.termBegan
	}
	return t.bars[holder].Add(d), true
}

// Begin marks a command on a duty as in flight; false if there already is one.
func (l *Leases) Begin(c Command) bool {
	if l.inFlight[c.Duty] {
		return false
	}
	l.inFlight[c.Duty] = true
	return true
}

// Finish records the result of a command passed to Begin. The table already contains its effect.
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
		if req, ok := l.stepDowns[c.Duty]; ok && req.Epoch != g.Epoch {
			delete(l.stepDowns, c.Duty)
		}
		if old := l.timings[c.Duty]; old == nil || old.epoch != g.Epoch {
			t := &timing{epoch: g.Epoch, grantedAt: now, expiresAt: now.Add(g.Lease), endedAt: now, bars: map[string]time.Time{}}
			if old != nil {
				t.bars = old.bars
				delete(t.bars, c.Holder)
			}
			l.timings[c.Duty] = t
		}
	case Release, StepDown:
		if req, ok := l.stepDowns[c.Duty]; ok && req.Epoch == c.After {
			delete(l.stepDowns, c.Duty)
		}
		t := l.timingOf(g)
		t.endedAt = now
		if c.Op == StepDown {
			for h := range g.Bars {
				if _, ok := t.bars[h]; !ok {
					t.bars[h] = now
				}
			}
		}
	}
}

// NextChange returns the earliest time at which PickClaim may give another answer for these wishes; zero if only an
// event, and not time, can change it.
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
		if reservedUntil := l.timingOf(g).endedAt.Add(handoverGrace); g.To != "" && g.To != w.Holder && reservedUntil.After(t) {
			t = reservedUntil
		}
		if next.IsZero() || t.Before(next) {
			next = t
		}
	}
	return next
}

// Remaining returns the remaining time of a lease; 0 if the duty has no holder.
func (l *Leases) Remaining(duty string, now time.Time) time.Duration {
	g := l.table.duties[duty]
	if g == nil || g.Holder == "" {
		return 0
	}
	return max(0, l.timingOf(g).expiresAt.Sub(now))
}
