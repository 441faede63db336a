package policy

import (
	"testing"
	"time"
)

// newLossyHarness returns a harness whose route has answered a first call and timed out on a second. If answered is set,
// the answer came after the second call was sent.
func newLossyHarness(t *testing.T, answered bool) (*harness, *route) {
	d := newHarness(t, settings(), Listing{Route: "a", Kind: 2})
	d.accept(1, 0)
	if !answered {
		d.finish(1, "a", OK, 100*ms, 0)
	}
	d.now += 10 * ms
	d.accept(2, 0)
	if answered {
		d.finish(1, "a", OK, 90*ms, 0)
	}
	d.finish(2, "a", Timeout, time.Second, 0)
	return d, d.sender.routes["a"]
}

// Guards against learning from lost answers. The route then counts as slow, each further loss holds a slot for longer,
// and after three losses the route is skipped.
func TestLostAnswerIsNotLearnedFrom(t *testing.T) {
	_, r := newLossyHarness(t, true)
	if r.mean > 100*ms || r.failStreak != 0 || r.suspect {
		t.Errorf("after a lost answer: mean %v, %d failures in a row, suspect %v", r.mean, r.failStreak, r.suspect)
	}
}

// A route that has stopped answering is slow or down, which the sender must learn.
func TestTimeoutWithNoLaterAnswerIsLearnedFrom(t *testing.T) {
	_, r := newLossyHarness(t, false)
	if r.mean <= 100*ms || r.failStreak != 1 || r.recentLosses != 0 {
		t.Errorf("after a time-out: mean %v, %d failures in a row, lost %b", r.mean, r.failStreak, r.recentLosses)
	}
}

// The messages of a call share one answer, so a lost answer loses all of them: calls carry one message meanwhile.
func TestCallsCarryOneMessageWhileAnswersGetLost(t *testing.T) {
	d, r := newLossyHarness(t, true)
	for i := range 8 {
		if got := d.sender.callCapacity(r); got != 1 {
			t.Fatalf("a call carries %d messages after %d deliveries", got, i)
		}
		id := uint32(10 + i)
		d.accept(id, 0)
		d.finish(id, "a", OK, 50*ms, 0)
	}
	if got := d.sender.callCapacity(r); got != 3 {
		t.Errorf("a call carries %d messages once eight were delivered in a row", got)
	}
}

// Guards against lost answers that hold all slots for timeouts of up to twice the aim of a message, while hundreds of
// messages wait.
func TestCallInTheLastSlotHasAShortTimeout(t *testing.T) {
	for _, class := range []int{0, 2} {
		set := settings()
		set.Slots = 4
		set.Classes[class].Aim = 10 * time.Second
		d := newHarness(t, set, Listing{Route: "a", Destination: 1}, Listing{Route: "b", Destination: 2})
		timeout := func(id uint32) (at time.Duration) {
			for _, a := range d.step(Event{Kind: Accepted, ID: id, Class: class, Destination: int(1 + id%2), TimeLeft: 60 * time.Second}) {
				if a.Kind == Send {
					at = a.TimeoutAt - d.now
				}
			}
			return at
		}
		for id := range uint32(2) { // both routes have answered fast
			d.step(Event{Kind: Accepted, ID: id, Destination: int(1 + id%2), TimeLeft: 60 * time.Second})
			d.finish(id, []string{"a", "b"}[id%2], OK, 50*ms, 0)
		}
		withFreeSlots := timeout(2)
		d.sender.routes["a"].recentLosses = 1 // without losses the timeout is not shortened
		for id := uint32(3); id < 12; id++ {
			timeout(id)
		}
		d.attempts[2] = 0
		var withLastSlot time.Duration
		for _, a := range d.finish(2, "a", OK, 50*ms, 0) {
			if a.Kind == Send {
				withLastSlot = a.TimeoutAt - d.now
			}
		}
		if want := d.sender.maxAnswerTime(d.sender.routes["a"], timeoutDevs); withLastSlot != want || withFreeSlots <= 2*want {
			t.Errorf("class %d: waits %v with the last slot, %v with slots free; want %v and well more", class, withLastSlot, withFreeSlots, want)
		}
	}
}
