package policy

import (
	"testing"
	"time"
)

// lossy is a desk with a route whose first call was answered while a second was out that now times out. answered tells
// whether that answer came after the second was sent.
func lossy(t *testing.T, answered bool) (*desk, *route) {
	d := newDesk(t, settings(), Listing{Route: "a", Kind: 2})
	d.take(1, 0)
	if !answered {
		d.end(1, "a", OK, 100*ms, 0)
	}
	d.now += 10 * ms
	d.take(2, 0)
	if answered {
		d.end(1, "a", OK, 90*ms, 0)
	}
	d.end(2, "a", Timeout, time.Second, 0)
	return d, d.s.routes["a"]
}

// Answers that got lost once taught a route that it had become slow: each further loss held a slot for longer, and after
// three the route was skipped.
func TestALostAnswerTeachesNothing(t *testing.T) {
	_, r := lossy(t, true)
	if r.mean > 100*ms || r.streak != 0 || r.cold {
		t.Errorf("after a lost answer: mean %v, %d failures in a row, in doubt %v", r.mean, r.streak, r.cold)
	}
}

// A route that answers nothing any more is slow or gone, and that has to be learned.
func TestATimeOutWithNoAnswerSinceTeaches(t *testing.T) {
	_, r := lossy(t, false)
	if r.mean <= 100*ms || r.streak != 1 || r.lost != 0 {
		t.Errorf("after a time-out: mean %v, %d failures in a row, lost %b", r.mean, r.streak, r.lost)
	}
}

// Messages of one call share one answer: while answers get lost, five would be lost with it.
func TestCallsCarryOneMessageWhileAnswersGetLost(t *testing.T) {
	d, r := lossy(t, true)
	for i := range 8 {
		if got := d.s.room(r); got != 1 {
			t.Fatalf("room for %d after %d deliveries", got, i)
		}
		id := uint32(10 + i)
		d.take(id, 0)
		d.end(id, "a", OK, 50*ms, 0)
	}
	if got := d.s.room(r); got != 3 {
		t.Errorf("room for %d once eight were delivered in a row", got)
	}
}

// With answers lost, all slots once waited out times of up to twice a message's aim while hundreds of messages waited.
func TestACallThatTakesTheLastSlotWaitsForTheUsualAnswer(t *testing.T) {
	for _, class := range []int{0, 2} {
		set := settings()
		set.Slots = 4
		set.Classes[class].Aim = 10 * time.Second
		d := newDesk(t, set, Listing{Route: "a", Destination: 1}, Listing{Route: "b", Destination: 2})
		cut := func(id uint32) (at time.Duration) {
			for _, a := range d.step(Event{Kind: Taken, ID: id, Class: class, Destination: int(1 + id%2), Left: 60 * time.Second}) {
				if a.Kind == Send {
					at = a.At - d.now
				}
			}
			return at
		}
		for id := range uint32(2) { // known to answer, and fast
			d.step(Event{Kind: Taken, ID: id, Destination: int(1 + id%2), Left: 60 * time.Second})
			d.end(id, []string{"a", "b"}[id%2], OK, 50*ms, 0)
		}
		free := cut(2)
		d.s.routes["a"].lost = 1 // without losses the slot waits as ever
		for id := uint32(3); id < 12; id++ {
			cut(id)
		}
		d.tries[2] = 0
		var pressed time.Duration
		for _, a := range d.end(2, "a", OK, 50*ms, 0) {
			if a.Kind == Send {
				pressed = a.At - d.now
			}
		}
		if want := d.s.expect(d.s.routes["a"], devs); pressed != want || free <= 2*want {
			t.Errorf("class %d: waits %v with the last slot, %v with slots free; want %v and well more", class, pressed, free, want)
		}
	}
}
