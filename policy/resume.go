package policy

import (
	"container/heap"
	"math"
	"slices"
	"time"
)

// What a real relay needs beyond the simulator's events: messages that outlast a process, and calls that take
// time to leave.

// applyResumed gives a message what an earlier process knew of it, so that the guards hold across a restart. Guards also against a
// backlog that a fresh Sender, free of any pace, would pour onto hosts as one: the pace of its destination starts at this sender's
// part. Where nothing tells of a limit yet, that is a guess, and far too low for most: it stands until the first delivery.
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
		heap.Push(&s.timers, timer{s.now, m}) // ends in this step
	}
	if m.keyQueue != nil && state.MayHaveRun {
		m.keyQueue.restUntil = max(m.keyQueue.restUntil, s.now+s.settings.OrderPause) // a call out when the process ended may still run
	}
	for _, g := range m.dest.groups {
		if g.pace == 0 && !s.inherited {
			g.pace, g.tokens, g.tokensAt = s.senderShare(g), 1, s.now
			g.guessed = s.limit(g) == 0
		}
	}
}

// mayRefuseEarly tells whether a message may be refused before its time is up: one that an earlier process took on waits for a call.
func (s *Sender) mayRefuseEarly(m *message) bool { return (!m.resumed || m.sends > 0) && s.mayRefuse(m) }

// backlogRate is the rate that has each untried message of a destination leave in half of the time that it has left.
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

// StillAllowed tells whether a call to a route that was decided earlier may leave at now with these messages. Guards
// against one that was held up, by a slow connection say, while a drain or a wait was told, or while a message ended
// or the time in which a repeat of it is dropped did.
func (s *Sender) StillAllowed(route string, now time.Duration, ids ...uint32) bool {
	r := s.routes[route]
	return r != nil && r.usable() && now >= r.group.waitUntil && !slices.ContainsFunc(ids, func(id uint32) bool {
		m := s.msgs[id]
		return m == nil || m.ended || m.mayHaveRun && m.class.Effect == Keyed && now >= m.windowEnd()
	})
}
