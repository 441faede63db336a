package policy

import (
	"container/heap"
	"time"
)

// A message that can have no further attempt gets its final answer at once rather than at its deadline, so that the
// client can use the remaining time.

// markMayHaveRun records that an attempt of m, sent at the given time, may have run. It sets a timer for the end of the
// window in which repeats are dropped.
func (s *Sender) markMayHaveRun(m *message, at time.Duration, zone int) {
	m.mayHaveRun, m.firstRunAt, m.firstRunZone = true, at, zone
	if m.class.Effect == Keyed {
		heap.Push(&s.timers, timer{m.windowEnd(), m})
	}
}

// windowEnd is the time before which the last repeat of a keyed message that may have run must be sent.
func (m *message) windowEnd() time.Duration { return m.firstRunAt + m.class.Window - deadlineMargin }

// exhausted reports whether mayAttempt can never again allow a send of m, whatever happens to the routes.
func (s *Sender) exhausted(m *message) bool {
	switch {
	case m.ended || len(m.outstanding) > 0:
		return false
	case s.settings.MaxAttempts > 0 && m.sends >= s.settings.MaxAttempts:
		return true
	}
	return m.mayHaveRun && (m.class.Effect == Unsafe || m.class.Effect == Keyed && s.now >= m.windowEnd())
}

// giveUp gives a message its final answer: a refusal if the rules of its effect allow one, else a failure.
func (s *Sender) giveUp(m *message) {
	if s.mayRefuse(m) {
		s.refuse(m)
		return
	}
	s.fail(m)
}
