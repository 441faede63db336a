package policy

import (
	"container/heap"
	"math"
	"slices"
	"time"
)

// Messages that outlive a process, and calls that are delayed between decision and sending. The simulator has neither;
// a relay needs both.

// applyResumed gives a message the state that an earlier process knew of it, so that the guards hold across a restart.
// It also keeps a fresh Sender, which has no pace yet, from sending a whole backlog to its hosts at once: the pace of the
// destination starts at this sender's share. While no limit is known, that share is a guess and far too low for most
// destinations; it applies until the first delivery.
func (s *Sender) applyResumed(m *message, state *ResumedMessage) {
	if state == nil {
		return
	}
	m.sends, m.resumed = state.Attempts, true
	if state.MayHaveRun {
		s.markMayHaveRun(m, s.now-state.FirstRunAgo, state.FirstRunZone)
	}
	if state.Outstanding != nil {
		s.adoptAttempt(m, state.Outstanding)
	}
	if s.exhausted(m) {
		heap.Push(&s.timers, timer{s.now, m}) // is ended in this step
	}
	if m.keyQueue != nil && state.MayHaveRun {
		// A call that was out when the process ended may still run.
		m.keyQueue.restUntil = max(m.keyQueue.restUntil, s.now+s.settings.OrderPause)
	}
	for _, g := range m.dest.groups {
		if g.pace == 0 && !s.inherited {
			g.pace, g.tokens, g.tokensAt = s.senderShare(g), 1, s.now
			g.guessed = s.limit(g) == 0
		}
	}
}

// mayRefuseEarly reports whether a message may be refused before its deadline. A message from an earlier process is not
// refused before it has been tried.
func (s *Sender) mayRefuseEarly(m *message) bool {
	return (!m.resumed || m.sends > 0) && s.mayRefuse(m)
}

// backlogRate is the rate at which each untried resumed message of a destination leaves within half of its time left.
func (s *Sender) backlogRate(d *dest) (rate float64) {
	n := 0.0
	for _, m := range d.queue {
		if m.resumed && m.sends == 0 {
			n++
			rate = math.Max(rate, 2*n/math.Max(0.1, (m.deadline-s.now).Seconds()))
		}
	}
	return rate
}

// StillAllowed reports whether a call to a route that was decided earlier may leave at now with these messages. A call
// may have been delayed, for example by a slow connection, while a drain or a Retry-After was reported, while a message
// ended, or until the window passed in which a repeat of it is dropped.
func (s *Sender) StillAllowed(route string, now time.Duration, ids ...uint32) bool {
	r := s.routes[route]
	return r != nil && r.usable() && now >= r.group.waitUntil && !slices.ContainsFunc(ids, func(id uint32) bool {
		m := s.msgs[id]
		return m == nil || m.ended || m.mayHaveRun && m.class.Effect == Keyed && now >= m.windowEnd()
	})
}
