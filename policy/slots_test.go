package policy

import (
	"testing"
	"time"
)

// newOneSlotHarness returns a harness with a single slot. Destination 1 takes 1 s for a call; destination 2 takes 0.1 s
// and is of the given kind.
func newOneSlotHarness(t *testing.T, kind int) *harness {
	set := settings()
	set.Slots, set.Classes[0].Aim = 1, 20*time.Second // so that no message is past its aim
	d := newHarness(t, set, Listing{Route: "slow", Destination: 1}, Listing{Route: "fast", Destination: 2, Kind: kind})
	d.acceptFor(1, 1)
	d.finish(1, "slow", OK, time.Second, 0)
	d.acceptFor(2, 2)
	d.finish(2, "fast", OK, 100*ms, 0)
	d.acceptFor(3, 1) // uses the slot
	return d
}

// acceptFor accepts a message for a destination.
func (d *harness) acceptFor(id uint32, dest int) []Action {
	return d.step(Event{Kind: Accepted, ID: id, Destination: dest, TimeLeft: 60 * time.Second})
}

// If slots are scarce, short calls go first, but no message waits forever.
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

// The messages of a call share its slot time.
func TestBatchedMessagesShareTheSlotCost(t *testing.T) {
	d := newOneSlotHarness(t, 2)
	d.acceptFor(4, 2)
	one := d.sender.slotCost(&dest{nextRoute: d.sender.routes["fast"], queue: d.sender.dests[2].queue})
	d.acceptFor(5, 2)
	d.acceptFor(6, 2)
	d.acceptFor(7, 2)
	if got := d.sender.slotCost(&dest{nextRoute: d.sender.routes["fast"], queue: d.sender.dests[2].queue}); got != one/3 {
		t.Errorf("slot cost %v for each of three messages in a call, %v for one alone", got, one)
	}
}

// Guards against messages that are put off forever because timeouts have raised the mean answer time of a route that has
// since recovered.
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
