package policy

import (
	"testing"
	"time"
)

// oneSlot is a desk with one slot, a destination 1 that takes a second for a call and a destination 2 that takes 0.1 s
// and is of kind.
func oneSlot(t *testing.T, kind int) *desk {
	set := settings()
	set.Slots, set.Classes[0].Aim = 1, 20*time.Second // so that none is late here
	d := newDesk(t, set, Listing{Route: "slow", Destination: 1}, Listing{Route: "fast", Destination: 2, Kind: kind})
	d.to(1, 1)
	d.end(1, "slow", OK, time.Second, 0)
	d.to(2, 2)
	d.end(2, "fast", OK, 100*ms, 0)
	d.to(3, 1) // takes the slot
	return d
}

// to hands a message to a destination in.
func (d *desk) to(id uint32, dest int) []Action {
	return d.step(Event{Kind: Taken, ID: id, Destination: dest, Left: 60 * time.Second})
}

// Where slots are short, what takes little of them goes first, but nobody waits for ever.
func TestShortCallsGoFirstWhereSlotsAreShort(t *testing.T) {
	d := oneSlot(t, 0)
	d.to(4, 1)
	d.now += 100 * ms
	d.to(5, 2)
	if got := goesTo(d.end(3, "slow", OK, 900*ms, 0)); got != "fast" {
		t.Errorf("the slot goes to %q", got)
	}
	d.now += 4 * time.Second
	d.to(6, 2)
	if got := goesTo(d.end(5, "fast", OK, 100*ms, 0)); got != "slow" {
		t.Errorf("after a long wait the slot goes to %q", got)
	}
}

// A call of several messages takes that much less for each.
func TestACallOfSeveralTakesLessOfASlot(t *testing.T) {
	d := oneSlot(t, 2)
	d.to(4, 2)
	one := d.s.slotTime(&dest{candRt: d.s.routes["fast"], queue: d.s.dests[2].queue})
	d.to(5, 2)
	d.to(6, 2)
	d.to(7, 2)
	if got := d.s.slotTime(&dest{candRt: d.s.routes["fast"], queue: d.s.dests[2].queue}); got != one/3 {
		t.Errorf("of three in a call each takes %v, one alone %v", got, one)
	}
}

// A mean that time-outs have raised says little of a route that has recovered: what waits for it is not put off for good.
func TestASlowMeanPutsOffForSoLong(t *testing.T) {
	d := oneSlot(t, 0)
	d.s.routes["slow"].mean = 5 * time.Second
	d.to(4, 1)
	d.now += 4 * time.Second
	d.to(5, 2)
	if got := goesTo(d.end(3, "slow", OK, 100*ms, 0)); got != "slow" {
		t.Errorf("after a long wait the slot goes to %q", got)
	}
}
