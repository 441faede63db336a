package policy

import (
	"cmp"
	"time"
)

// Slots where they are short: a call holds one from its sending to its end, and what a slot carries depends on where
// the call goes and with how many messages.

// slotCostWeight is how much later, in units of the slot time that a message takes, its call goes. Under load, a call of
// five messages that is answered from next door must not wait for one that takes a second for a single message; and
// none waits for ever, since ranks grow with time.
const slotCostWeight = 4.0

// dispatchesBefore tells whether a destination's next call goes before another's: by rank and slot time.
func (s *Sender) dispatchesBefore(a, b *dest) bool {
	costA, costB := a.next.rank+s.slotCost(a), b.next.rank+s.slotCost(b)
	return costA < costB || costA == costB && a.next.id < b.next.id
}

// slotCost is what each message of a destination's next call takes of a slot, weighted; 0 where slots have no end.
// Time-outs raise a route's mean far over what it takes once it has recovered, and only calls can show that it has: the
// time counts up to leastExpect, so that nobody is put off for good.
func (s *Sender) slotCost(d *dest) time.Duration {
	if s.settings.Slots <= 0 {
		return 0
	}
	messages := max(1, min(s.callCapacity(d.nextRoute), len(d.queue)))
	answerTime := min(cmp.Or(d.nextRoute.mean, minAnswerTime), minAnswerTime)
	return time.Duration(slotCostWeight * float64(answerTime) / float64(messages))
}

// slotsScarce tells whether a call that goes out now takes the last slot while as many messages wait, at least, as there are
// slots. Where answers get lost, a call then waits for its own no longer than answers take at its route: what a slot could
// carry meanwhile is worth more than the few answers that are later still. Guards against losses that have every slot
// wait out its time.
func (s *Sender) slotsScarce() bool {
	return s.settings.Slots > 0 && s.slotsUsed+1 >= s.settings.Slots && s.held >= 2*s.settings.Slots
}

// callCapacity is how many messages a call to a route may carry. They share one fate: after a failure, or while answers of the
// route get lost, it carries one.
func (s *Sender) callCapacity(r *route) int {
	if r.Kind >= 0 && r.Kind < len(s.settings.Kinds) && r.failStreak == 0 && !r.down && r.recentLosses == 0 {
		return max(1, s.settings.Kinds[r.Kind].PerCall)
	}
	return 1
}

// hasTimeFor tells whether a message may travel with those of a call. It ends for all of them with the time of the first whose time
// is up, since what is answered later is no delivery of the others. So each of them needs the time of an answer.
func (c *call) hasTimeFor(m *message) bool {
	return min(c.endsAt, m.deadline) >= c.sent+cmp.Or(c.route.mean, minAnswerTime)
}

// mustWaitForNextCall tells whether a call with room that leaves for a route in this step is none for a message: it takes the next.
func (s *Sender) mustWaitForNextCall(m *message, r *route) bool {
	n := len(r.calls) - 1
	return n >= 0 && r.calls[n].sent == s.now && r.calls[n].pending < s.callCapacity(r) && !r.calls[n].hasTimeFor(m)
}
