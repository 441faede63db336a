// Package holder claims duties for a process: it runs a function while a duty is held, with a context that ends before
// the lease expires and an epoch to attach to every effect.
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
	// A lease is renewed this many times per lease length, so that no duty with a lease of three seconds is lost during
	// the election of a new leader, which takes up to two seconds.
	renewalsPerLease = 6
	// The last 1/marginDivisor of a lease is not used, to allow for clocks whose rates differ by 10% and more.
	marginDivisor = 10
	// A hung steward does not close its connections, so waiting for one is bounded. Claims wait long, so that few are made;
	// in between the holder checks every leaderCheckInterval whether the steward still answers.
	claimWait           = 15 * time.Second
	leaderCheckInterval = 3 * time.Second
	watchWait           = 2 * time.Second
	minPause            = time.Second // after failed work; doubles with each failure up to maxPause
	maxPause            = time.Minute
	releaseTimeout      = 500 * time.Millisecond
)

// The causes with which a Term's context ends.
var (
	ErrLeaseExpired      = errors.New("the duty's lease is over")
	ErrStepDownRequested = errors.New("asked to step down")
)

// Work performs a duty. It must return soon after ctx ends. It returns nil when the work is complete, so that the duty
// is released, or an error if it failed, so that another process may try and this one backs off.
type Work func(ctx context.Context, t *Term) error

// Config configures a process's holder.
type Config struct {
	Client *call.Client
	Name   string // name of the holder: must be unique among the running processes
	Addr   string // address announced to others; empty: none
	Lease  time.Duration
	Log    *slog.Logger
}

// Holder claims and holds duties for a process.
type Holder struct {
	cfg Config

	mu     sync.Mutex
	duties map[string]*wantedDuty
	wake   chan struct{} // closed and replaced when the wanted or held duties change
}

// wantedDuty is a duty that this process wants to hold.
type wantedDuty struct {
	name      string
	work      Work
	claimID   string // id of the pending claim; empty: none
	claimedAt time.Time
	term      *Term // nil: not held
	failures  int   // consecutive
}

// Term is a period for which a duty is held.
type Term struct {
	Duty      string
	Epoch     uint64
	ClaimedAt time.Time // when the granted claim was made

	cancel context.CancelCauseFunc
	timer  *time.Timer

	mu         sync.Mutex
	validUntil time.Time
	handOverTo string
}

// Valid reports whether the lease is valid; check it right before each effect. It does not replace the fence: the
// process may be paused right after the check.
func (t *Term) Valid() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Now().Before(t.validUntil)
}

// HandOverTo names the holder that gets the duty next, once Work has returned.
func (t *Term) HandOverTo(holder string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.handOverTo = holder
}

// extend extends the lease; false if it has already expired.
func (t *Term) extend(until time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	if !now.Before(t.validUntil) {
		return false
	}
	if until.After(t.validUntil) { // answers may arrive out of order
		t.validUntil = until
		t.timer.Reset(until.Sub(now))
	}
	return true
}

// New returns a holder without duties.
func New(cfg Config) *Holder {
	return &Holder{cfg: cfg, duties: map[string]*wantedDuty{}, wake: make(chan struct{})}
}

// Register makes the holder claim a duty from now on, and run work whenever it holds it.
func (h *Holder) Register(duty string, work Work) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.duties[duty] = &wantedDuty{name: duty, work: work, claimID: newID(), claimedAt: time.Now()}
	h.notifyChanged()
}

// Unregister stops claiming a duty, and releases it if it is held.
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

// CurrentTerm returns the term of a duty that this process holds now, or nil.
func (h *Holder) CurrentTerm(duty string) *Term {
	h.mu.Lock()
	defer h.mu.Unlock()
	if c := h.duties[duty]; c != nil && c.term != nil && c.term.Valid() {
		return c.term
	}
	return nil
}

func newID() string { return rand.Text() }

// notifyChanged wakes the loops; h.mu must be held.
func (h *Holder) notifyChanged() {
	close(h.wake)
	h.wake = make(chan struct{})
}

// Run claims, renews and performs duties until ctx ends, then releases those that it holds.
func (h *Holder) Run(ctx context.Context) {
	workCtx, stop := context.WithCancel(ctx)
	defer stop()
	var works, loops sync.WaitGroup
	loops.Go(func() { h.claimLoop(workCtx, &works) })
	loops.Go(func() { h.renewLoop(context.WithoutCancel(ctx), workCtx) })
	loops.Go(func() { h.watchLoop(workCtx) })
	loops.Wait()
	works.Wait()
}

// claimLoop claims the wanted duties that are not held.
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

// superviseClaim cancels a waiting claim when the wanted duties change, so that the new ones are claimed at once, or
// when its steward no longer answers.
func (h *Holder) superviseClaim(ctx context.Context, cancel context.CancelFunc, wake <-chan struct{}) {
	defer cancel()
	check := time.NewTicker(leaderCheckInterval)
	defer check.Stop()
	for {
		select {
		case <-wake:
			return
		case <-ctx.Done():
			return
		case <-check.C:
			if !h.cfg.Client.LeaderAnswers(ctx) {
				return
			}
		}
	}
}

// handleGrant starts the term of a granted duty. The lease counts from a first renewal, since the age of the grant is
// unknown.
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
		c.claimID, c.claimedAt = newID(), time.Now() // the grant is lost: claim again
		return
	}
	ctx, end := context.WithCancelCause(ctx)
	t := &Term{Duty: g.Duty, Epoch: g.Epoch, ClaimedAt: c.claimedAt, cancel: end, validUntil: until}
	t.timer = time.AfterFunc(time.Until(until), func() { end(ErrLeaseExpired) })
	c.term, c.claimID = t, ""
	h.cfg.Log.Info("duty acquired", "duty", t.Duty, "epoch", t.Epoch)
	works.Go(func() { h.runWork(ctx, c, t) })
	h.notifyChanged()
}

// runWork runs the work of a term and ends the term.
func (h *Holder) runWork(ctx context.Context, c *wantedDuty, t *Term) {
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
	case err == nil || cause != nil: // complete, or the term had ended
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
	h.cfg.Log.Info("duty ended", "duty", t.Duty, "epoch", t.Epoch, "in_order", held, "cause", fmt.Sprint(cause), "err", err)
	if cause == nil && err == nil {
		pause = minPause // complete for now
	}
	h.claimAfter(ctx, c, pause)
}

// claimAfter claims a duty again after a pause.
func (h *Holder) claimAfter(ctx context.Context, c *wantedDuty, pause time.Duration) {
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
		h.cfg.Log.Warn("a duty could not be released: its lease has to expire", "duty", duty, "epoch", epoch, "err", err)
	}
}

// activeTerms returns the running terms, and the channel that is closed when they change.
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

// renewLoop renews leases until work ends, and until the terms that are still ending then have ended.
func (h *Holder) renewLoop(ctx, workCtx context.Context) {
	interval := h.cfg.Lease / renewalsPerLease
	var out sync.WaitGroup
	defer out.Wait()
	for {
		terms, wake := h.activeTerms()
		if len(terms) == 0 {
			select {
			case <-workCtx.Done():
				return
			case <-wake:
			}
			continue
		}
		// In the background: a slow request must not delay the next one.
		out.Go(func() { h.renew(ctx, terms) })
		select {
		case <-time.After(interval):
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
		return // terms that are not renewed are ended by their timers
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

// watchLoop waits for requests to step down, so that they take effect before the next renewal.
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
			h.renew(ctx, terms) // its answer says which duty
		}
		select { // limits the rate if the stewards answer immediately every time
		case <-ctx.Done():
		case <-time.After(h.cfg.Lease / renewalsPerLease / 4):
		}
	}
}
