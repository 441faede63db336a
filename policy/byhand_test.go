package policy

import (
	"testing"
	"time"
)

// A route that is out by hand takes nothing, whatever the list says, until it is put back.
func TestARouteOutByHandTakesNothing(t *testing.T) {
	d := newDesk(t, settings(), Listing{Route: "r1"}, Listing{Route: "r2"})
	d.step(Event{Kind: Excluded, Route: "r1"}, Event{Kind: Excluded, Route: "r1"})
	if got := sends(d.take(1, 0)); len(got) != 1 || got[0] != "r2" {
		t.Errorf("sent to %v", got)
	}
	if d.s.MayStill("r1", d.now) || d.s.Avoided(d.now) != 1 {
		t.Errorf("a call that was held up may leave, or %d routes are avoided", d.s.Avoided(d.now))
	}
	// Off the list and back on it, as a draining one, and in service again.
	for _, l := range []Listing{{Route: "r1", Gone: true}, {Route: "r1"}, {Route: "r1", InService: true}} {
		d.step(Event{Kind: ListChanges, List: []Listing{l}})
	}
	d.step(Event{Kind: ListWhole, List: []Listing{{Route: "r1", InService: true}}})
	if got := sends(d.take(2, 0)); len(got) != 0 || d.s.MayStill("r1", d.now) {
		t.Errorf("listed anew: sent to %v", got)
	}
	if got := sends(d.step(Event{Kind: Included, Route: "r1"})); len(got) > 1 {
		t.Errorf("put back: %d sends at once", len(got))
	}
	if !d.s.MayStill("r1", d.now) || d.s.Avoided(d.now) != 0 {
		t.Error("one call back does not end it")
	}
}

// It returns cold: what waits for it comes by the recovery budget.
func TestARoutePutBackIsNotRushed(t *testing.T) {
	d := newDesk(t, settings(), Listing{Route: "r1", Weight: 100})
	d.step(Event{Kind: Excluded, Route: "r1"})
	for id := range uint32(200) {
		d.take(id+1, 0)
	}
	sent := len(sends(d.step(Event{Kind: Included, Route: "r1"})))
	for range 10 {
		d.now += 100 * ms
		sent += len(sends(d.step(Event{Kind: Woken})))
	}
	// A second at a fifth of its capacity, doubled as the rule allows: 40 calls.
	if sent == 0 || sent > 40 {
		t.Errorf("%d calls in the first second", sent)
	}
	d.step(Event{Kind: Included, Route: "r1"}) // a repeat is harmless
	if d.s.Avoided(d.now+time.Second) != 0 {
		t.Error("a repeat took it out")
	}
}
