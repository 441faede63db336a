package steward

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"onyxroad.dev/onyxroad/internal/duty"
)

const (
	maxWaitingWishes = 32768 // waiting at the same time
	maxWatches       = 1024
)

// The reasons to refuse a request.
var (
	// ErrNotLeader refuses a request that only the leader can answer.
	ErrNotLeader = errors.New("this steward does not lead")
	// ErrRemoved is returned by Run after the other stewards have removed this one.
	ErrRemoved        = errors.New("the other stewards have removed this one")
	errTooManyWaiting = errors.New("too many wait already")
	errNotHeld        = errors.New("not the holder")
	errNoHolder       = errors.New("nobody holds it")
	errOutcomeUnknown = errors.New("what becomes of it is not known; ask again")
)

// waiter is a claim that waits for duties.
type waiter struct {
	results chan claimResult // buffers one result per wish
}

// waitingWish is a wish of a waiter.
type waitingWish struct {
	*waiter
	wish duty.Wish
}

// claimResult is the outcome of a wish.
type claimResult struct {
	wish  duty.Wish
	epoch uint64
	err   error
}

// claim waits until the first of the wishes is granted or refused, and returns the outcomes known by then; none if ctx
// ends first.
func (s *Steward) claim(ctx context.Context, wishes []duty.Wish) (all []claimResult, err error) {
	w := &waiter{make(chan claimResult, len(wishes))}
	s.mu.Lock()
	r := s.currentLeadership()
	if r == nil {
		s.mu.Unlock()
		return nil, ErrNotLeader
	}
	if r.waitingWishes+len(wishes) > maxWaitingWishes {
		s.mu.Unlock()
		return nil, errTooManyWaiting
	}
	r.waitingWishes += len(wishes)
	// Check only what these wishes may change: hundreds may wait for the same duty.
	wake, now := false, time.Now()
	for _, x := range wishes {
		r.waiters[x.Duty] = append(r.waiters[x.Duty], waitingWish{w, x})
		own := []duty.Wish{x}
		if _, i := r.PickClaim(own, now); i >= 0 {
			r.dirty[x.Duty], wake = true, true
		} else if at, due := r.NextChange(own, now), r.nextCheck[x.Duty]; !at.IsZero() && (due.IsZero() || at.Before(due)) {
			r.nextCheck[x.Duty], wake = at, true
		}
	}
	s.mu.Unlock()
	if wake {
		s.wakeScheduler()
	}
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		r.waitingWishes -= len(wishes)
		for _, x := range wishes {
			r.removeWaiter(x.Duty, w)
		}
	}()
	select {
	case a := <-w.results:
		all = append(all, a)
	case <-ctx.Done():
		return nil, nil
	case <-r.ended:
		return nil, ErrNotLeader
	}
	for {
		select {
		case a := <-w.results:
			all = append(all, a)
		default:
			return all, nil
		}
	}
}

func (s *Steward) wakeScheduler() {
	select {
	case s.schedulerWake <- struct{}{}:
	default:
	}
}

// schedule grants duties as they become available.
func (s *Steward) schedule(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.schedulerWake:
		case <-timer.C:
		}
		if next := s.grant(ctx, time.Now()); !next.IsZero() {
			timer.Reset(time.Until(next))
		}
	}
}

// grant grants every duty that can be granted now, and returns when to check again; zero: only after an event.
func (s *Steward) grant(ctx context.Context, now time.Time) (next time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.currentLeadership()
	if r == nil {
		return next
	}
	for name, at := range r.nextCheck {
		if !now.Before(at) {
			r.dirty[name] = true
		}
	}
	for name := range r.dirty {
		delete(r.dirty, name)
		delete(r.nextCheck, name)
		if c, due := r.RevokeCommand(name, now); due {
			r.Begin(c)
			go s.execute(r, c, nil)
			continue
		}
		ws := r.wishesFor(name)
		c, i := r.PickClaim(ws, now)
		switch {
		case i < 0:
			at := r.NextChange(ws, now)
			if left := r.Remaining(name, now); left > 0 && r.StepDownRequested(name, s.table.Get(name).Epoch) && (at.IsZero() || now.Add(left).Before(at)) {
				at = now.Add(left)
			}
			if !at.IsZero() {
				r.nextCheck[name] = at
			}
		case c.Op == "": // already granted
			w := r.waiters[name][i].waiter
			w.results <- claimResult{ws[i], s.table.Get(name).Epoch, nil}
			r.removeWaiter(name, w)
			r.dirty[name] = true // check again for the other wishes
		default:
			r.Begin(c)
			w := r.waiters[name][i].waiter
			go s.execute(r, c, func(res duty.Result) {
				if !slices.ContainsFunc(r.waiters[name], func(o waitingWish) bool { return o.waiter == w }) {
					return // the claimant has gone: the grant stands until its lease expires
				}
				if errors.Is(res.Err, duty.ErrConflict) || errors.Is(res.Err, duty.ErrStaleTerm) {
					return // it keeps waiting
				}
				w.results <- claimResult{ws[i], res.Grant.Epoch, res.Err}
				r.removeWaiter(name, w)
			})
		}
	}
	for name := range r.dirty { // answered above; another wish may be next
		r.nextCheck[name] = now
	}
	for _, at := range r.nextCheck {
		if next.IsZero() || at.Before(next) {
			next = at
		}
	}
	return next
}

// wishesFor returns the wishes that wait for a duty, in order of arrival.
func (r *leadership) wishesFor(name string) []duty.Wish {
	ws := make([]duty.Wish, 0, len(r.waiters[name]))
	for _, w := range r.waiters[name] {
		ws = append(ws, w.wish)
	}
	return ws
}

// removeWaiter stops a waiter waiting for a duty.
func (r *leadership) removeWaiter(name string, w *waiter) {
	if r.waiters[name] = slices.DeleteFunc(r.waiters[name], func(o waitingWish) bool { return o.waiter == w }); len(r.waiters[name]) == 0 {
		delete(r.waiters, name)
	}
}

// execute commits a command that was passed to Begin. then, if not nil, is called with its result while s.mu is held.
func (s *Steward) execute(r *leadership, c duty.Command, then func(duty.Result)) (duty.Result, error) {
	res, err := s.apply(c)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if err != nil {
		// It may still be committed. If it is within this term, the table shows it; see duty.Command.After.
		res.Err = fmt.Errorf("%w: %w", errOutcomeUnknown, err)
	}
	r.Finish(c, res, now)
	r.dirty[c.Duty] = true
	if err == nil && then != nil {
		then(res)
	}
	s.wakeScheduler()
	return res, res.Err
}

// renew extends leases, and reports for each whether it is still held and whether its holder is asked to step down.
func (s *Steward) renew(ctx context.Context, holder string, held []heldDuty) ([]heldDuty, error) {
	// First confirm that this steward led at a moment after the request: a later leader restarts all leases later.
	if err := s.verify.confirmLeader(ctx); err != nil {
		return nil, ErrNotLeader
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.currentLeadership()
	if r == nil {
		return nil, ErrNotLeader
	}
	now := time.Now()
	for i := range held {
		h := &held[i]
		h.OK = r.Renew(h.Duty, h.Epoch, holder, now)
		h.Asked = h.OK && r.StepDownRequested(h.Duty, h.Epoch)
	}
	return held, nil
}

// release ends a grant at the request of its holder.
func (s *Steward) release(holder, name string, epoch uint64, to string) error {
	s.mu.Lock()
	r := s.currentLeadership()
	if r == nil {
		s.mu.Unlock()
		return ErrNotLeader
	}
	g := s.table.Get(name)
	if g.Epoch != epoch || g.Holder != holder {
		s.mu.Unlock()
		return errNotHeld
	}
	c := r.EndCommand(name, epoch, holder, to)
	if !r.Begin(c) {
		s.mu.Unlock()
		return errOutcomeUnknown
	}
	s.mu.Unlock()
	_, err := s.execute(r, c, nil)
	return err
}

// watch is a holder that waits until it is asked to step down.
type watch struct {
	holder string
	asked  chan struct{}
}

// stepDown asks the holder of a duty to step down, and waits until it has released the duty or its lease has expired.
func (s *Steward) stepDown(ctx context.Context, name, to string, bar time.Duration) (duty.Grant, error) {
	s.mu.Lock()
	r := s.currentLeadership()
	if r == nil {
		s.mu.Unlock()
		return duty.Grant{}, ErrNotLeader
	}
	g := s.table.Get(name)
	if !r.RequestStepDown(name, duty.StepDownRequest{To: to, Bar: bar, At: time.Now()}) {
		s.mu.Unlock()
		return g, errNoHolder
	}
	for w := range r.watches {
		if w.holder == g.Holder {
			select {
			case w.asked <- struct{}{}:
			default:
			}
		}
	}
	r.dirty[name] = true
	s.mu.Unlock()
	s.wakeScheduler()
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	for {
		s.mu.Lock()
		now := s.table.Get(name)
		s.mu.Unlock()
		if now.Epoch != g.Epoch || now.Holder == "" {
			return now, nil
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return now, errOutcomeUnknown
		case <-r.ended:
			return now, errOutcomeUnknown
		}
	}
}

// watchStepDown waits until a holder is asked to step down from one of its duties, or ctx ends.
func (s *Steward) watchStepDown(ctx context.Context, holder string) error {
	w := &watch{holder, make(chan struct{}, 1)}
	s.mu.Lock()
	r := s.currentLeadership()
	switch {
	case r == nil:
		s.mu.Unlock()
		return ErrNotLeader
	case len(r.watches) >= maxWatches:
		s.mu.Unlock()
		return errTooManyWaiting
	}
	r.watches[w] = struct{}{}
	for _, g := range s.table.All() {
		if g.Holder == holder && r.StepDownRequested(g.Duty, g.Epoch) {
			w.asked <- struct{}{}
			break
		}
	}
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(r.watches, w)
		s.mu.Unlock()
	}()
	select {
	case <-w.asked:
	case <-ctx.Done():
	case <-r.ended:
		return ErrNotLeader
	}
	return nil
}
