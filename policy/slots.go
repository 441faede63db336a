package policy

import (
	"cmp"
	"time"
)

// Slots where they are short: a call holds one from its sending to its end, and what a slot carries depends on where
// the call goes and with how many messages.

// slotWeight is how much later, in units of the slot time that a message takes, its call goes. Under load, a call of
// five messages that is answered from next door must not wait for one that takes a second for a single message; and
// none waits for ever, since ranks grow with time.
const slotWeight = 4.0

// sooner tells whether a destination's next call goes before another's: by rank and slot time.
func (s *Sender) sooner(a, b *dest) bool {
	x, y := a.cand.rank+s.slotTime(a), b.cand.rank+s.slotTime(b)
	return x < y || x == y && a.cand.id < b.cand.id
}

// slotTime is what each message of a destination's next call takes of a slot, weighted; 0 where slots have no end.
// Time-outs raise a route's mean far over what it takes once it has recovered, and only calls can show that it has: the
// time counts up to leastExpect, so that nobody is put off for good.
func (s *Sender) slotTime(d *dest) time.Duration {
	if s.set.Slots <= 0 {
		return 0
	}
	carries := max(1, min(s.room(d.candRt), len(d.queue)))
	takes := min(cmp.Or(d.candRt.mean, leastExpect), leastExpect)
	return time.Duration(slotWeight * float64(takes) / float64(carries))
}

// pressed tells whether a call that goes out now takes the last slot while as many messages wait, at least, as there are
// slots. Where answers get lost, a call then waits for its own no longer than answers take at its route: what a slot could
// carry meanwhile is worth more than the few answers that are later still. Guards against losses that have every slot
// wait out its time.
func (s *Sender) pressed() bool {
	return s.set.Slots > 0 && s.slots+1 >= s.set.Slots && s.held >= 2*s.set.Slots
}

// room is how many messages a call to a route may carry. They share one fate: after a failure, or while answers of the
// route get lost, it carries one.
func (s *Sender) room(r *route) int {
	if r.Kind >= 0 && r.Kind < len(s.set.Kinds) && r.streak == 0 && !r.down && r.lost == 0 {
		return max(1, s.set.Kinds[r.Kind].PerCall)
	}
	return 1
}

// fits tells whether a message may travel with those of a call. It ends for all of them with the time of the first whose time
// is up, since what is answered later is no delivery of the others. So each of them needs the time of an answer.
func (c *call) fits(m *message) bool {
	return min(c.ends, m.deadline) >= c.sent+cmp.Or(c.r.mean, leastExpect)
}

// misses tells whether a call with room that leaves for a route in this step is none for a message: it takes the next.
func (s *Sender) misses(m *message, r *route) bool {
	n := len(r.calls) - 1
	return n >= 0 && r.calls[n].sent == s.now && r.calls[n].left < s.room(r) && !r.calls[n].fits(m)
}
