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
	wishesMost  = 32768 // that wait at once
	watchesMost = 1024
)

// The refusals of a request.
var (
	// ErrElsewhere: this steward does not lead.
	ErrElsewhere = errors.New("this steward does not lead")
	// ErrRemoved: the others have removed this steward.
	ErrRemoved = errors.New("the other stewards have removed this one")
	errCrowded = errors.New("too many wait already")
	errNotHeld = errors.New("not the holder")
	errNobody  = errors.New("nobody holds it")
	errUnknown = errors.New("what becomes of it is not known; ask again")
)

// waiter is a process that wishes for duties and waits.
type waiter struct {
	told chan answered // room for one a wish
}

// waiting is one of its wishes.
type waiting struct {
	*waiter
	wish duty.Wish
}

// answered is what became of a wish.
type answered struct {
	wish  duty.Wish
	epoch uint64
	err   error
}

// claim waits for the first of wishes to be granted, and returns what has become of any by then: nothing, if the time is over.
func (s *Steward) claim(ctx context.Context, wishes []duty.Wish) (all []answered, err error) {
	w := &waiter{make(chan answered, len(wishes))}
	s.mu.Lock()
	r := s.current()
	if r == nil {
		s.mu.Unlock()
		return nil, ErrElsewhere
	}
	if r.wishes+len(wishes) > wishesMost {
		s.mu.Unlock()
		return nil, errCrowded
	}
	r.wishes += len(wishes)
	// Only what this wish may change is looked at: hundreds may wait for the same.
	kick, now := false, time.Now()
	for _, x := range wishes {
		r.waiters[x.Duty] = append(r.waiters[x.Duty], waiting{w, x})
		own := []duty.Wish{x}
		if _, i := r.Pick(own, now); i >= 0 {
			r.dirty[x.Duty], kick = true, true
		} else if at, due := r.Next(own, now), r.due[x.Duty]; !at.IsZero() && (due.IsZero() || at.Before(due)) {
			r.due[x.Duty], kick = at, true
		}
	}
	s.mu.Unlock()
	if kick {
		s.kick()
	}
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		r.wishes -= len(wishes)
		for _, x := range wishes {
			r.drop(x.Duty, w)
		}
	}()
	select {
	case a := <-w.told:
		all = append(all, a)
	case <-ctx.Done():
		return nil, nil
	case <-r.over:
		return nil, ErrElsewhere
	}
	for {
		select {
		case a := <-w.told:
			all = append(all, a)
		default:
			return all, nil
		}
	}
}

func (s *Steward) kick() {
	select {
	case s.kicked <- struct{}{}:
	default:
	}
}

// schedule grants duties as they become free.
func (s *Steward) schedule(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.kicked:
		case <-timer.C:
		}
		if next := s.grant(ctx, time.Now()); !next.IsZero() {
			timer.Reset(time.Until(next))
		}
	}
}

// grant has every duty granted that can be, and returns when there may be more to do; zero: when something happens.
func (s *Steward) grant(ctx context.Context, now time.Time) (next time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.current()
	if r == nil {
		return next
	}
	for name, at := range r.due {
		if !now.Before(at) {
			r.dirty[name] = true
		}
	}
	for name := range r.dirty {
		delete(r.dirty, name)
		delete(r.due, name)
		if c, due := r.Overdue(name, now); due {
			r.Begun(c)
			go s.carryOut(r, c, nil)
			continue
		}
		ws := r.wishesFor(name)
		c, i := r.Pick(ws, now)
		switch {
		case i < 0:
			at := r.Next(ws, now)
			if left := r.Left(name, now); left > 0 && r.Asked(name, s.table.Get(name).Epoch) && (at.IsZero() || now.Add(left).Before(at)) {
				at = now.Add(left)
			}
			if !at.IsZero() {
				r.due[name] = at
			}
		case c.Op == "": // granted already
			w := r.waiters[name][i].waiter
			w.told <- answered{ws[i], s.table.Get(name).Epoch, nil}
			r.drop(name, w)
			r.dirty[name] = true // for the others
		default:
			r.Begun(c)
			w := r.waiters[name][i].waiter
			go s.carryOut(r, c, func(res duty.Result) {
				if !slices.ContainsFunc(r.waiters[name], func(o waiting) bool { return o.waiter == w }) {
					return // gone; its claim stands until its lease is over
				}
				if errors.Is(res.Err, duty.ErrMoved) || errors.Is(res.Err, duty.ErrStale) {
					return // it waits on
				}
				w.told <- answered{ws[i], res.Grant.Epoch, res.Err}
				r.drop(name, w)
			})
		}
	}
	for name := range r.dirty { // told that it is granted: somebody else may be next
		r.due[name] = now
	}
	for _, at := range r.due {
		if next.IsZero() || at.Before(next) {
			next = at
		}
	}
	return next
}

// wishesFor are the wishes that wait for a duty, in their order.
func (r *reign) wishesFor(name string) []duty.Wish {
	ws := make([]duty.Wish, 0, len(r.waiters[name]))
	for _, w := range r.waiters[name] {
		ws = append(ws, w.wish)
	}
	return ws
}

// drop has a waiter wait for a duty no more.
func (r *reign) drop(name string, w *waiter) {
	if r.waiters[name] = slices.DeleteFunc(r.waiters[name], func(o waiting) bool { return o.waiter == w }); len(r.waiters[name]) == 0 {
		delete(r.waiters, name)
	}
}

// carryOut has the stewards agree on a command that has begun. then is told of its result, with mu held.
func (s *Steward) carryOut(r *reign, c duty.Command, then func(duty.Result)) (duty.Result, error) {
	res, err := s.apply(c)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if err != nil {
		// Whether it comes into effect is not known. If it does in this reign, the table says so; see duty.Command.After.
		res.Err = fmt.Errorf("%w: %w", errUnknown, err)
	}
	r.Done(c, res, now)
	r.dirty[c.Duty] = true
	if err == nil && then != nil {
		then(res)
	}
	s.kick()
	return res, res.Err
}

// renew extends leases, and tells of each whether it still holds, and whether its holder is asked to step down.
func (s *Steward) renew(ctx context.Context, holder string, held []heldDuty) ([]heldDuty, error) {
	// First that this one leads, at a moment after the holder asked: a leader that comes later begins all leases later.
	if err := s.verify.leads(ctx); err != nil {
		return nil, ErrElsewhere
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.current()
	if r == nil {
		return nil, ErrElsewhere
	}
	now := time.Now()
	for i := range held {
		h := &held[i]
		h.OK = r.Renew(h.Duty, h.Epoch, holder, now)
		h.Asked = h.OK && r.Asked(h.Duty, h.Epoch)
	}
	return held, nil
}

// end ends a grant in its holder's name.
func (s *Steward) end(holder, name string, epoch uint64, to string) error {
	s.mu.Lock()
	r := s.current()
	if r == nil {
		s.mu.Unlock()
		return ErrElsewhere
	}
	g := s.table.Get(name)
	if g.Epoch != epoch || g.Holder != holder {
		s.mu.Unlock()
		return errNotHeld
	}
	c := r.End(name, epoch, holder, to)
	if !r.Begun(c) {
		s.mu.Unlock()
		return errUnknown
	}
	s.mu.Unlock()
	_, err := s.carryOut(r, c, nil)
	return err
}

// watch is a holder that waits to hear that it is asked to step down.
type watch struct {
	holder string
	asked  chan struct{}
}

// stepDown asks a duty's holder to step down, and waits until it has, or has lost its lease.
func (s *Steward) stepDown(ctx context.Context, name, to string, bar time.Duration) (duty.Grant, error) {
	s.mu.Lock()
	r := s.current()
	if r == nil {
		s.mu.Unlock()
		return duty.Grant{}, ErrElsewhere
	}
	g := s.table.Get(name)
	if !r.Ask(name, duty.Ask{To: to, Bar: bar, At: time.Now()}) {
		s.mu.Unlock()
		return g, errNobody
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
	s.kick()
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
			return now, errUnknown
		case <-r.over:
			return now, errUnknown
		}
	}
}

// listenFor waits until a holder is asked to step down from something, or the time is over.
func (s *Steward) listenFor(ctx context.Context, holder string) error {
	w := &watch{holder, make(chan struct{}, 1)}
	s.mu.Lock()
	r := s.current()
	switch {
	case r == nil:
		s.mu.Unlock()
		return ErrElsewhere
	case len(r.watches) >= watchesMost:
		s.mu.Unlock()
		return errCrowded
	}
	r.watches[w] = struct{}{}
	for _, g := range s.table.All() {
		if g.Holder == holder && r.Asked(g.Duty, g.Epoch) {
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
	case <-r.over:
		return ErrElsewhere
	}
	return nil
}
