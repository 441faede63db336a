package policy

import (
	"container/heap"
	"time"
)

// When a message has no further try in it. It gets its final answer then, not at its deadline: the client may use the time.

// markMayHaveRun notes that an attempt of m, sent at so, may have run, and has m looked at when repeats stop being dropped.
func (s *Sender) markMayHaveRun(m *message, at time.Duration, zone int) {
	m.mayHaveRun, m.firstRunAt, m.firstRunZone = true, at, zone
	if m.class.Effect == Keyed {
		heap.Push(&s.timers, timer{m.windowEnd(), m})
	}
}

// windowEnd is when the last repeat of a keyed message that may have run must be sent.
func (m *message) windowEnd() time.Duration { return m.firstRunAt + m.class.Window - deadlineMargin }

// exhausted tells whether mayAttempt can never again allow a send of m, whatever becomes of the routes.
func (s *Sender) exhausted(m *message) bool {
	switch {
	case m.ended || len(m.outstanding) > 0:
		return false
	case s.settings.MaxAttempts > 0 && m.sends >= s.settings.MaxAttempts:
		return true
	}
	return m.mayHaveRun && (m.class.Effect == Unsafe || m.class.Effect == Keyed && s.now >= m.windowEnd())
}

// giveUp gives a message its final answer: a refusal where that keeps the rule of effects.
func (s *Sender) giveUp(m *message) {
	if s.mayRefuse(m) {
		s.refuse(m)
		return
	}
	s.fail(m)
}
