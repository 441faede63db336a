package policy

import (
	"cmp"
	"time"
)

// Use of scarce slots. A call holds a slot from its start to its end, so the throughput of a slot depends on where the
// call goes and how many messages it carries.

// slotCostWeight is how much later a call is dispatched, in units of the slot time of each of its messages. Under load, a
// call of five messages that is answered from nearby must not wait for one that takes a second for a single message. No
// call waits forever, since ranks grow with time.
const slotCostWeight = 4.0

// dispatchesBefore reports whether the next call of destination a goes before that of b, by rank and slot cost.
func (s *Sender) dispatchesBefore(a, b *dest) bool {
	costA, costB := a.next.rank+s.slotCost(a), b.next.rank+s.slotCost(b)
	return costA < costB || costA == costB && a.next.id < b.next.id
}

// slotCost is the weighted slot time of each message of a destination's next call; 0 if slots are unlimited. Timeouts
// raise the mean of a route far above its answer times after it has recovered, and only further calls can show that it
// has. The time is therefore capped at minAnswerTime, so that no destination is put off forever.
func (s *Sender) slotCost(d *dest) time.Duration {
	if s.settings.Slots <= 0 {
		return 0
	}
	messages := max(1, min(s.callCapacity(d.nextRoute), len(d.queue)))
	answerTime := min(cmp.Or(d.nextRoute.mean, minAnswerTime), minAnswerTime)
	return time.Duration(slotCostWeight * float64(answerTime) / float64(messages))
}

// slotsScarce reports whether a call that starts now takes the last slot while at least as many messages wait as there
// are slots. If answers get lost, such a call waits for its own no longer than answers of its route take: the messages
// that the slot could carry meanwhile are worth more than the few answers that are later still. Otherwise losses would
// have every slot wait for its full timeout.
func (s *Sender) slotsScarce() bool {
	return s.settings.Slots > 0 && s.slotsUsed+1 >= s.settings.Slots && s.held >= 2*s.settings.Slots
}

// callCapacity is how many messages a call to a route may carry. The messages of a call fail together, so that a call
// carries one after a failure or while answers of the route get lost.
func (s *Sender) callCapacity(r *route) int {
	if r.Kind >= 0 && r.Kind < len(s.settings.Kinds) && r.failStreak == 0 && !r.down && r.recentLosses == 0 {
		return max(1, s.settings.Kinds[r.Kind].PerCall)
	}
	return 1
}

// hasTimeFor reports whether a message may travel with those of a call. The call ends for all of them at the earliest of
// their deadlines, since a later answer does not count as a delivery of the others. So each message must have time for an
// answer by then.
func (c *call) hasTimeFor(m *message) bool {
	return min(c.endsAt, m.deadline) >= c.sent+cmp.Or(c.route.mean, minAnswerTime)
}

// mustWaitForNextCall reports whether a call with capacity left has started to a route in this step but has too little
// time for a message, which then takes the next call.
func (s *Sender) mustWaitForNextCall(m *message, r *route) bool {
	n := len(r.calls) - 1
	return n >= 0 && r.calls[n].sent == s.now && r.calls[n].pending < s.callCapacity(r) && !r.calls[n].hasTimeFor(m)
}
