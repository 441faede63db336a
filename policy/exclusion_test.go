package policy

import (
	"testing"
	"time"
)

// An excluded route gets no messages, whatever the list says, until it is included again.
func TestExcludedRouteTakesNothing(t *testing.T) {
	d := newHarness(t, settings(), Listing{Route: "r1"}, Listing{Route: "r2"})
	d.step(Event{Kind: Excluded, Route: "r1"}, Event{Kind: Excluded, Route: "r1"})
	if got := sentRoutes(d.accept(1, 0)); len(got) != 1 || got[0] != "r2" {
		t.Errorf("sent to %v", got)
	}
	if d.sender.StillAllowed("r1", d.now) || d.sender.AvoidedRoutes(d.now) != 1 {
		t.Errorf("a delayed call may leave, or %d routes are avoided, want 1", d.sender.AvoidedRoutes(d.now))
	}
	// Removed from the list, listed again as draining, and back in service.
	for _, l := range []Listing{{Route: "r1", Gone: true}, {Route: "r1"}, {Route: "r1", InService: true}} {
		d.step(Event{Kind: ListChanges, List: []Listing{l}})
	}
	d.step(Event{Kind: ListFull, List: []Listing{{Route: "r1", InService: true}}})
	if got := sentRoutes(d.accept(2, 0)); len(got) != 0 || d.sender.StillAllowed("r1", d.now) {
		t.Errorf("listed again while excluded: sent to %v", got)
	}
	if got := sentRoutes(d.step(Event{Kind: Included, Route: "r1"})); len(got) > 1 {
		t.Errorf("included again: %d sends at once", len(got))
	}
	if !d.sender.StillAllowed("r1", d.now) || d.sender.AvoidedRoutes(d.now) != 0 {
		t.Error("one Included event does not end the exclusion")
	}
}

// A route that is included again may have reduced capacity: messages that wait for it are under the recovery budget.
func TestIncludedRouteIsUnderTheRecoveryBudget(t *testing.T) {
	d := newHarness(t, settings(), Listing{Route: "r1", Weight: 100})
	d.step(Event{Kind: Excluded, Route: "r1"})
	for id := range uint32(200) {
		d.accept(id+1, 0)
	}
	sent := len(sentRoutes(d.step(Event{Kind: Included, Route: "r1"})))
	for range 10 {
		d.now += 100 * ms
		sent += len(sentRoutes(d.step(Event{Kind: Woken})))
	}
	// One second at a fifth of its capacity, times the overload factor of 2, allows 40 calls.
	if sent == 0 || sent > 40 {
		t.Errorf("%d calls in the first second", sent)
	}
	d.step(Event{Kind: Included, Route: "r1"}) // a repeat is harmless
	if d.sender.AvoidedRoutes(d.now+time.Second) != 0 {
		t.Error("a repeated Included event excluded the route")
	}
}
