package policy

import (
	"testing"
	"time"
)

// newOneSlotHarness is a desk with one slot, a destination 1 that takes a second for a call and a destination 2 that takes 0.1 s
// and is of kind.
func newOneSlotHarness(t *testing.T, kind int) *harness {
	set := settings()
	set.Slots, set.Classes[0].Aim = 1, 20*time.Second // so that none is late here
	d := newHarness(t, set, Listing{Route: "slow", Destination: 1}, Listing{Route: "fast", Destination: 2, Kind: kind})
	d.acceptFor(1, 1)
	d.finish(1, "slow", OK, time.Second, 0)
	d.acceptFor(2, 2)
	d.finish(2, "fast", OK, 100*ms, 0)
	d.acceptFor(3, 1) // takes the slot
	return d
}

// acceptFor hands a message acceptFor a destination in.
func (d *harness) acceptFor(id uint32, dest int) []Action {
	return d.step(Event{Kind: Accepted, ID: id, Destination: dest, TimeLeft: 60 * time.Second})
}

// Where slots are short, what takes little of them goes first, but nobody waits for ever.
func TestShortCallsGoFirstWhenSlotsAreScarce(t *testing.T) {
	d := newOneSlotHarness(t, 0)
	d.acceptFor(4, 1)
	d.now += 100 * ms
	d.acceptFor(5, 2)
	if got := firstSend(d.finish(3, "slow", OK, 900*ms, 0)); got != "fast" {
		t.Errorf("the slot goes to %q", got)
	}
	d.now += 4 * time.Second
	d.acceptFor(6, 2)
	if got := firstSend(d.finish(5, "fast", OK, 100*ms, 0)); got != "slow" {
		t.Errorf("after a long wait the slot goes to %q", got)
	}
}

// A call of several messages takes that much less for each.
func TestBatchedMessagesShareTheSlotCost(t *testing.T) {
	d := newOneSlotHarness(t, 2)
	d.acceptFor(4, 2)
	one := d.sender.slotCost(&dest{nextRoute: d.sender.routes["fast"], queue: d.sender.dests[2].queue})
	d.acceptFor(5, 2)
	d.acceptFor(6, 2)
	d.acceptFor(7, 2)
	if got := d.sender.slotCost(&dest{nextRoute: d.sender.routes["fast"], queue: d.sender.dests[2].queue}); got != one/3 {
		t.Errorf("of three in a call each takes %v, one alone %v", got, one)
	}
}

// A mean that time-outs have raised says little of a route that has recovered: what waits for it is not put off for good.
func TestSlowMeanDelaysForABoundedTime(t *testing.T) {
	d := newOneSlotHarness(t, 0)
	d.sender.routes["slow"].mean = 5 * time.Second
	d.acceptFor(4, 1)
	d.now += 4 * time.Second
	d.acceptFor(5, 2)
	if got := firstSend(d.finish(3, "slow", OK, 100*ms, 0)); got != "slow" {
		t.Errorf("after a long wait the slot goes to %q", got)
	}
}
