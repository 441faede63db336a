package steward

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"onyxroad.dev/onyxroad/internal/duty"
	"onyxroad.dev/onyxroad/internal/duty/call"
)

const (
	maxWaitingWishes = 32768 // waiting at the same time
	maxWatches       = 1024
)

// The reasons to refuse a request. Their texts are sent in error responses.
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
	l := s.currentLeadership()
	if l == nil {
		s.mu.Unlock()
		return nil, ErrNotLeader
	}
	if l.waitingWishes+len(wishes) > maxWaitingWishes {
		s.mu.Unlock()
		return nil, errTooManyWaiting
	}
	l.waitingWishes += len(wishes)
	// Check only what these wishes may change: hundreds may wait for the same duty.
	wake, now := false, time.Now()
	for _, x := range wishes {
		l.waiters[x.Duty] = append(l.waiters[x.Duty], waitingWish{w, x})
		own := []duty.Wish{x}
		if _, i := l.PickClaim(own, now); i >= 0 {
			l.dirty[x.Duty], wake = true, true
		} else if at, due := l.NextChange(own, now), l.nextCheck[x.Duty]; !at.IsZero() && (due.IsZero() || at.Before(due)) {
			l.nextCheck[x.Duty], wake = at, true
		}
	}
	s.mu.Unlock()
	if wake {
		s.wakeScheduler()
	}
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		l.waitingWishes -= len(wishes)
		for _, x := range wishes {
			l.removeWaiter(x.Duty, w)
		}
	}()
	select {
	case result := <-w.results:
		all = append(all, result)
	case <-ctx.Done():
		return nil, nil
	case <-l.ended:
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
	l := s.currentLeadership()
	if l == nil {
		return next
	}
	for name, at := range l.nextCheck {
		if !now.Before(at) {
			l.dirty[name] = true
		}
	}
	for name := range l.dirty {
		delete(l.dirty, name)
		delete(l.nextCheck, name)
		if c, due := l.RevokeCommand(name, now); due {
			l.Begin(c)
			go s.execute(l, c, nil)
			continue
		}
		ws := l.wishesFor(name)
		c, i := l.PickClaim(ws, now)
		switch {
		case i < 0:
			at := l.NextChange(ws, now)
			if left := l.Remaining(name, now); left > 0 && l.StepDownRequested(name, s.table.Get(name).Epoch) && (at.IsZero() || now.Add(left).Before(at)) {
				at = now.Add(left)
			}
			if !at.IsZero() {
				l.nextCheck[name] = at
			}
		case c.Op == "": // already granted
			w := l.waiters[name][i].waiter
			w.results <- claimResult{ws[i], s.table.Get(name).Epoch, nil}
			l.removeWaiter(name, w)
			l.dirty[name] = true // check again for the other wishes
		default:
			l.Begin(c)
			w := l.waiters[name][i].waiter
			go s.execute(l, c, func(res duty.Result) {
				if !slices.ContainsFunc(l.waiters[name], func(o waitingWish) bool { return o.waiter == w }) {
					return // the claimant has gone: the grant stands until its lease expires
				}
				if errors.Is(res.Err, duty.ErrConflict) || errors.Is(res.Err, duty.ErrStaleTerm) {
					return // it keeps waiting
				}
				w.results <- claimResult{ws[i], res.Grant.Epoch, res.Err}
				l.removeWaiter(name, w)
			})
		}
	}
	for name := range l.dirty { // answered above; another wish may be next
		l.nextCheck[name] = now
	}
	for _, at := range l.nextCheck {
		if next.IsZero() || at.Before(next) {
			next = at
		}
	}
	return next
}

// wishesFor returns the wishes that wait for a duty, in order of arrival.
func (l *leadership) wishesFor(name string) []duty.Wish {
	ws := make([]duty.Wish, 0, len(l.waiters[name]))
	for _, w := range l.waiters[name] {
		ws = append(ws, w.wish)
	}
	return ws
}

// removeWaiter stops a waiter waiting for a duty.
func (l *leadership) removeWaiter(name string, w *waiter) {
	if l.waiters[name] = slices.DeleteFunc(l.waiters[name], func(o waitingWish) bool { return o.waiter == w }); len(l.waiters[name]) == 0 {
		delete(l.waiters, name)
	}
}

// execute commits a command that was passed to Begin. then, if not nil, is called with its result while s.mu is held.
func (s *Steward) execute(l *leadership, c duty.Command, then func(duty.Result)) (duty.Result, error) {
	res, err := s.apply(c)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if err != nil {
		// It may still be committed. If it is within this term, the table shows it; see duty.Command.After.
		res.Err = fmt.Errorf("%w: %w", errOutcomeUnknown, err)
	}
	l.Finish(c, res, now)
	l.dirty[c.Duty] = true
	if err == nil && then != nil {
		then(res)
	}
	s.wakeScheduler()
	return res, res.Err
}

// renew extends leases, and reports for each whether it is still held and whether its holder is asked to step down.
func (s *Steward) renew(ctx context.Context, holder string, held []call.Held) ([]call.Held, error) {
	// First confirm that this steward led at a moment after the request: a later leader restarts all leases later.
	if err := s.verify.confirmLeader(ctx); err != nil {
		return nil, ErrNotLeader
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.currentLeadership()
	if l == nil {
		return nil, ErrNotLeader
	}
	now := time.Now()
	for i := range held {
		h := &held[i]
		h.OK = l.Renew(h.Duty, h.Epoch, holder, now)
		h.Asked = h.OK && l.StepDownRequested(h.Duty, h.Epoch)
	}
	return held, nil
}

// release ends a grant at the request of its holder.
func (s *Steward) release(holder, name string, epoch uint64, to string) error {
	s.mu.Lock()
	l := s.currentLeadership()
	if l == nil {
		s.mu.Unlock()
		return ErrNotLeader
	}
	g := s.table.Get(name)
	if g.Epoch != epoch || g.Holder != holder {
		s.mu.Unlock()
		return errNotHeld
	}
	c := l.EndCommand(name, epoch, holder, to)
	if !l.Begin(c) {
		s.mu.Unlock()
		return errOutcomeUnknown
	}
	s.mu.Unlock()
	_, err := s.execute(l, c, nil)
	return err
}

// watch is a call of a holder that waits until it is asked to step down.
type watch struct {
	holder string
	asked  chan struct{}
}

// stepDown asks the holder of a duty to step down, and waits until it has released the duty or its lease has expired.
func (s *Steward) stepDown(ctx context.Context, name, to string, bar time.Duration) (duty.Grant, error) {
	s.mu.Lock()
	l := s.currentLeadership()
	if l == nil {
		s.mu.Unlock()
		return duty.Grant{}, ErrNotLeader
	}
	g := s.table.Get(name)
	if !l.RequestStepDown(name, duty.StepDownRequest{To: to, Bar: bar, At: time.Now()}) {
		s.mu.Unlock()
		return g, errNoHolder
	}
	for w := range l.watches {
		if w.holder == g.Holder {
			select {
			case w.asked <- struct{}{}:
			default:
			}
		}
	}
	l.dirty[name] = true
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
		case <-l.ended:
			return now, errOutcomeUnknown
		}
	}
}

// watchStepDown waits until a holder is asked to step down from one of its duties, or ctx ends.
func (s *Steward) watchStepDown(ctx context.Context, holder string) error {
	w := &watch{holder, make(chan struct{}, 1)}
	s.mu.Lock()
	l := s.currentLeadership()
	switch {
	case l == nil:
		s.mu.Unlock()
		return ErrNotLeader
	case len(l.watches) >= maxWatches:
		s.mu.Unlock()
		return errTooManyWaiting
	}
	l.watches[w] = struct{}{}
	for _, g := range s.table.All() {
		if g.Holder == holder && l.StepDownRequested(g.Duty, g.Epoch) {
			w.asked <- struct{}{}
			break
		}
	}
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(l.watches, w)
		s.mu.Unlock()
	}()
	select {
	case <-w.asked:
	case <-ctx.Done():
	case <-l.ended:
		return ErrNotLeader
	}
	return nil
}
