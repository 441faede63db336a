package policy

import (
	"container/heap"
	"math"
	"slices"
	"time"
)

// What a real relay needs beyond the simulator's events: messages that outlast a process, and calls that take
// time to leave.

// resume gives a message what an earlier process knew of it, so that the guards hold across a restart. Guards also against a
// backlog that a fresh Sender, free of any pace, would pour onto hosts as one: the pace of its destination starts at this sender's
// part. Where nothing tells of a limit yet, that is a guess, and far too low for most: it stands until the first delivery.
func (s *Sender) resume(m *message, e *Resumed) {
	if e == nil {
		return
	}
	m.sends, m.resumed = e.Attempts, true
	if e.Ran {
		s.mark(m, s.now-e.RanAgo, e.RanZone)
	}
	if e.Out != nil {
		s.adopt(m, e.Out)
	}
	if s.spent(m) {
		heap.Push(&s.ends, end{s.now, m}) // ends in this step
	}
	if m.turn != nil && e.Ran {
		m.turn.rest = max(m.turn.rest, s.now+s.set.OrderPause) // a call out when the process ended may still run
	}
	for _, g := range m.dest.gates {
		if g.pace == 0 && !s.handed {
			g.pace, g.tokens, g.tokensAt = s.part(g), 1, s.now
			g.guessed = s.limit(g) == 0
		}
	}
}

// mayReturn tells whether a message may be refused before its time is up: one that an earlier process took on waits for a call.
func (s *Sender) mayReturn(m *message) bool { return (!m.resumed || m.sends > 0) && s.mayRefuse(m) }

// owed is the rate that has each untried message of a destination leave in half of the time that it has left.
func (s *Sender) owed(d *dest) (rate float64) {
	n := 0.0
	for _, m := range d.queue {
		if m.resumed && m.sends == 0 {
			n++
			rate = math.Max(rate, 2*n/math.Max(0.1, (m.deadline-s.now).Seconds()))
		}
	}
	return rate
}

// MayStill tells whether a call to a route that was decided earlier may leave at now with these messages. Guards
// against one that was held up, by a slow connection say, while a drain or a wait was told, or while a message ended
// or the time in which a repeat of it is dropped did.
func (s *Sender) MayStill(route string, now time.Duration, ids ...uint32) bool {
	r := s.routes[route]
	return r != nil && r.open() && now >= r.gate.wait && !slices.ContainsFunc(ids, func(id uint32) bool {
		m := s.msgs[id]
		return m == nil || m.ended || m.ran && m.class.Effect == Keyed && now >= m.windowEnd()
	})
}
