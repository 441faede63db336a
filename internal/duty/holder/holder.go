// Package holder is the side of those that hold duties: run a function while a duty is held, with a context that ends in time
// and an epoch for every effect.
package holder

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"onyxroad.dev/onyxroad/internal/duty/call"
)

const (
	// A lease is renewed six times in its length, so that a leader's end, which takes up to two seconds to get over, costs no
	// duty of three seconds.
	renewalsPerLease = 6
	// marginDivisor of a lease is given up for the sake of clocks that do not run alike, 10% and more apart.
	marginDivisor = 10
	// A steward that stands still says nothing at all: what waits for it waits no longer than so.
	// A claim is long, and is made as seldom as may be; whether its steward still stands is asked in between.
	claimWait  = 15 * time.Second
	leaderCheckInterval = 3 * time.Second
	watchWait  = 2 * time.Second
	minPause = time.Second // after work that failed, doubling
	maxPause  = time.Minute
	releaseTimeout     = 500 * time.Millisecond // for the word that a duty is given up
)

// The causes for which a Term's context ends.
var (
	ErrLeaseExpired  = errors.New("the duty's lease is over")
	ErrStepDownRequested = errors.New("asked to step down")
)

// Work is what a holder does. It returns when ctx ends, soon: nil if it has done all there is, so that the duty is given up, or an
// error if it could not, so that another process may try and this one holds off for a while.
type Work func(ctx context.Context, t *Term) error

// Config is a process's part in the duties.
type Config struct {
	Client *call.Client
	Name   string // the process's among holders: no two that run at the same time may have the same
	Addr   string // where it answers others; empty: nowhere
	Lease  time.Duration
	Log    *slog.Logger
}

// Holder holds duties for a process.
type Holder struct {
	cfg Config

	mu     sync.Mutex
	duties map[string]*candidate
	wake   chan struct{} // closed and made anew when what is wished for or held has changed
}

// candidate is a duty that this process wants.
type candidate struct {
	name   string
	work   Work
	claimID     string // of the claim; empty: nothing is claimed for now
	claimedAt time.Time
	term   *Term // nil: not held
	failures int   // in a row
}

// Term is the time for which a duty is held.
type Term struct {
	Duty   string
	Epoch  uint64
	ClaimedAt time.Time // when the claim was made that was granted

	cancel context.CancelCauseFunc
	timer  *time.Timer

	mu    sync.Mutex
	validUntil time.Time
	handOverTo    string
}

// Valid tells whether the lease still runs: to be asked right before each effect. It does not make a fence needless: the process
// may be stopped right after it.
func (t *Term) Valid() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Now().Before(t.validUntil)
}

// HandOverTo names who is to have the duty next, once Work has returned.
func (t *Term) HandOverTo(holder string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.handOverTo = holder
}

// extend has the lease run until a moment; false if it is over already.
func (t *Term) extend(until time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	if !now.Before(t.validUntil) {
		return false
	}
	if until.After(t.validUntil) { // answers may come in another order
		t.validUntil = until
		t.timer.Reset(until.Sub(now))
	}
	return true
}

// New returns a holder that wants nothing yet.
func New(cfg Config) *Holder {
	return &Holder{cfg: cfg, duties: map[string]*candidate{}, wake: make(chan struct{})}
}

// Register has the holder claim a duty, and do work whenever it holds it, from then on.
func (h *Holder) Register(duty string, work Work) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.duties[duty] = &candidate{name: duty, work: work, claimID: newID(), claimedAt: time.Now()}
	h.notifyChanged()
}

// Unregister has the holder want a duty no more: it gives it up in order if it holds it.
func (h *Holder) Unregister(duty string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if c := h.duties[duty]; c != nil {
		delete(h.duties, duty)
		if c.term != nil {
			c.term.cancel(context.Canceled)
		}
		h.notifyChanged()
	}
}

// CurrentTerm is the term of a duty that this process holds now; nil if it does not.
func (h *Holder) CurrentTerm(duty string) *Term {
	h.mu.Lock()
	defer h.mu.Unlock()
	if c := h.duties[duty]; c != nil && c.term != nil && c.term.Valid() {
		return c.term
	}
	return nil
}

func newID() string { return rand.Text() }

// notifyChanged has the loops look again; with mu held.
func (h *Holder) notifyChanged() {
	close(h.wake)
	h.wake = make(chan struct{})
}

// Run claims, renews and works until ctx ends, and then gives up what it holds, in order.
func (h *Holder) Run(ctx context.Context) {
	work, stop := context.WithCancel(ctx)
	defer stop()
	var works, loops sync.WaitGroup
	loops.Go(func() { h.claimLoop(work, &works) })
	loops.Go(func() { h.renewLoop(context.WithoutCancel(ctx), work) })
	loops.Go(func() { h.watchLoop(work) })
	loops.Wait()
	works.Wait()
}

// claimLoop claims what is wanted and not held.
func (h *Holder) claimLoop(ctx context.Context, works *sync.WaitGroup) {
	for ctx.Err() == nil {
		h.mu.Lock()
		in := call.ClaimIn{Holder: h.cfg.Name, Addr: h.cfg.Addr, WaitMS: claimWait.Milliseconds()}
		for _, c := range h.duties {
			if c.term == nil && c.claimID != "" && len(in.Wishes) < call.MaxWishes {
				in.Wishes = append(in.Wishes, call.Wish{Duty: c.name, ID: c.claimID, LeaseMS: h.cfg.Lease.Milliseconds()})
			}
		}
		wake := h.wake
		h.mu.Unlock()
		if len(in.Wishes) == 0 {
			select {
			case <-ctx.Done():
			case <-wake:
			}
			continue
		}
		claimCtx, cancel := context.WithCancel(ctx)
		go h.superviseClaim(claimCtx, cancel, wake)
		var out call.ClaimOut
		err := h.cfg.Client.Do(claimCtx, call.PathClaim, in, &out, claimWait)
		cancel()
		for _, g := range out.Granted {
			h.handleGrant(ctx, g, works)
		}
		if err != nil && claimCtx.Err() == nil {
			h.cfg.Log.Warn("claims are refused", "err", err)
			select {
			case <-ctx.Done():
			case <-time.After(minPause):
			}
		}
	}
}

// superviseClaim ends a claim that waits when something has changed, which is claimed at once then, or when its steward stands still.
func (h *Holder) superviseClaim(ctx context.Context, end context.CancelFunc, wake <-chan struct{}) {
	defer end()
	look := time.NewTicker(leaderCheckInterval)
	defer look.Stop()
	for {
		select {
		case <-wake:
			return
		case <-ctx.Done():
			return
		case <-look.C:
			if !h.cfg.Client.LeaderAnswers(ctx) {
				return
			}
		}
	}
}

// handleGrant takes a grant. It counts from when a renewal was asked for: how old the grant is nobody knows.
func (h *Holder) handleGrant(ctx context.Context, g call.Granted, works *sync.WaitGroup) {
	h.mu.Lock()
	c := h.duties[g.Duty]
	if c == nil || c.claimID != g.ID || c.term != nil {
		h.mu.Unlock()
		if g.Epoch > 0 {
			h.release(ctx, g.Duty, g.Epoch, "")
		}
		return
	}
	if g.Refused != "" {
		h.cfg.Log.Info("claim refused", "duty", g.Duty, "why", g.Refused)
		c.claimID = ""
		h.mu.Unlock()
		h.claimAfter(ctx, c, minPause)
		return
	}
	h.mu.Unlock()
	requestedAt := time.Now()
	until := requestedAt.Add(h.cfg.Lease - h.cfg.Lease/marginDivisor)
	var out call.RenewOut
	in := call.RenewIn{Holder: h.cfg.Name, Held: []call.Held{{Duty: g.Duty, Epoch: g.Epoch}}}
	renewCtx, cancel := context.WithDeadline(ctx, until)
	err := h.cfg.Client.Do(renewCtx, call.PathRenew, in, &out, 0)
	cancel()
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.duties[g.Duty] != c {
		go h.release(context.WithoutCancel(ctx), g.Duty, g.Epoch, "")
		return
	}
	if err != nil || len(out.Held) != 1 || !out.Held[0].OK || !time.Now().Before(until) {
		c.claimID, c.claimedAt = newID(), time.Now() // that grant is lost
		return
	}
	ctx, end := context.WithCancelCause(ctx)
	t := &Term{Duty: g.Duty, Epoch: g.Epoch, ClaimedAt: c.claimedAt, cancel: end, validUntil: until}
	t.timer = time.AfterFunc(time.Until(until), func() { end(ErrLeaseExpired) })
	c.term, c.claimID = t, ""
	h.cfg.Log.Info("holds a duty", "duty", t.Duty, "epoch", t.Epoch)
	works.Go(func() { h.runWork(ctx, c, t) })
	h.notifyChanged()
}

// runWork works for a term, and ends it.
func (h *Holder) runWork(ctx context.Context, c *candidate, t *Term) {
	began := time.Now()
	err := c.work(ctx, t)
	cause := context.Cause(ctx)
	t.timer.Stop()
	t.cancel(context.Canceled)
	held := t.Valid()
	if held {
		t.mu.Lock()
		to := t.handOverTo
		t.mu.Unlock()
		h.release(context.WithoutCancel(ctx), t.Duty, t.Epoch, to)
	}
	h.mu.Lock()
	c.term = nil
	h.notifyChanged()
	switch {
	case err == nil || cause != nil: // it ended as it was told to
		if cause == nil || time.Since(began) > maxPause {
			c.failures = 0
		}
	default:
		c.failures++
	}
	pause := time.Duration(0)
	if err != nil && cause == nil {
		pause = min(minPause<<min(c.failures-1, 10), maxPause)
	}
	h.mu.Unlock()
	h.cfg.Log.Info("holds a duty no more", "duty", t.Duty, "epoch", t.Epoch, "in_order", held, "cause", fmt.Sprint(cause), "err", err)
	if cause == nil && err == nil {
		pause = minPause // it is done, for now
	}
	h.claimAfter(ctx, c, pause)
}

// claimAfter has a duty claimed again after a pause.
func (h *Holder) claimAfter(ctx context.Context, c *candidate, pause time.Duration) {
	time.AfterFunc(pause, func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		if h.duties[c.name] == c && c.term == nil {
			c.claimID, c.claimedAt = newID(), time.Now()
			h.notifyChanged()
		}
	})
}

func (h *Holder) release(ctx context.Context, duty string, epoch uint64, to string) {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	in := call.ReleaseIn{Holder: h.cfg.Name, Duty: duty, Epoch: epoch, To: to}
	if err := h.cfg.Client.Do(ctx, call.PathRelease, in, &call.Empty{}, 0); err != nil {
		h.cfg.Log.Warn("a duty is not given up in order: its lease has to run out", "duty", duty, "epoch", epoch, "err", err)
	}
}

// activeTerms are the activeTerms that run.
func (h *Holder) activeTerms() (all []*Term, wake chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, c := range h.duties {
		if c.term != nil {
			all = append(all, c.term)
		}
	}
	return all, h.wake
}

// renewLoop keeps leases alive: until work ends, and for those that still end then.
func (h *Holder) renewLoop(ctx, work context.Context) {
	every := h.cfg.Lease / renewalsPerLease
	var out sync.WaitGroup
	defer out.Wait()
	for {
		terms, wake := h.activeTerms()
		if len(terms) == 0 {
			select {
			case <-work.Done():
				return
			case <-wake:
			}
			continue
		}
		// Not waited for: a request that takes long keeps none after it from being made.
		out.Go(func() { h.renew(ctx, terms) })
		select {
		case <-time.After(every):
		case <-wake:
		}
	}
}

func (h *Holder) renew(ctx context.Context, terms []*Term) {
	requestedAt := time.Now()
	ctx, cancel := context.WithTimeout(ctx, h.cfg.Lease)
	defer cancel()
	in := call.RenewIn{Holder: h.cfg.Name}
	for _, t := range terms {
		in.Held = append(in.Held, call.Held{Duty: t.Duty, Epoch: t.Epoch})
	}
	var out call.RenewOut
	if err := h.cfg.Client.Do(ctx, call.PathRenew, in, &out, 0); err != nil {
		return // the timers end what is not renewed
	}
	until := requestedAt.Add(h.cfg.Lease - h.cfg.Lease/marginDivisor)
	for i, x := range out.Held {
		if i >= len(terms) || x.Duty != terms[i].Duty {
			return
		}
		switch t := terms[i]; {
		case !x.OK:
			t.cancel(ErrLeaseExpired)
		case x.Asked:
			t.cancel(ErrStepDownRequested)
			fallthrough
		default:
			t.extend(until)
		}
	}
}

// watchLoop hears at once that a duty is asked back.
func (h *Holder) watchLoop(ctx context.Context) {
	for ctx.Err() == nil {
		terms, wake := h.activeTerms()
		if len(terms) == 0 {
			select {
			case <-ctx.Done():
			case <-wake:
			}
			continue
		}
		in := call.WatchIn{Holder: h.cfg.Name, WaitMS: watchWait.Milliseconds()}
		began := time.Now()
		if err := h.cfg.Client.Do(ctx, call.PathWatch, in, &call.Empty{}, watchWait); err == nil && time.Since(began) < watchWait {
			h.renew(ctx, terms) // tells of which
		}
		select { // a stewards' answer that comes at once, again and again, is no reason to ask without end
		case <-ctx.Done():
		case <-time.After(h.cfg.Lease / renewalsPerLease / 4):
		}
	}
}
