package policy

import (
	"testing"
	"time"
)

// acceptAll accepts messages in one step, alternately safe and unsafe, each with the given time left.
func acceptAll(d *harness, times ...time.Duration) []Action {
	var evs []Event
	for i, left := range times {
		evs = append(evs, Event{Kind: Accepted, ID: uint32(i + 1), Class: i % 2 * 2, TimeLeft: left})
	}
	return d.step(evs...)
}

// Guards against a call that outlasts the deadline of one of its messages. The platform no longer waits for its answer
// then, so that the other messages are lost although the answer reports them as delivered.
func TestCallEndsAtItsEarliestDeadline(t *testing.T) {
	d := newHarness(t, settings(), Listing{Route: "r", Kind: 2})
	acts := acceptAll(d, 2500*ms, 60*time.Second)
	if len(acts) != 2 || acts[0].Call != acts[1].Call {
		t.Fatalf("two messages with time for an answer go as %+v, want one call", acts)
	}
	for _, a := range acts {
		if by := d.now + 2500*ms - deadlineMargin; a.TimeoutAt > by {
			t.Errorf("message %d of a call waits %v past the earliest deadline", a.ID, a.TimeoutAt-by)
		}
	}
}

func TestMessageWithoutTimeForAnAnswerTravelsAlone(t *testing.T) {
	d := newHarness(t, settings(), Listing{Route: "r", Kind: 2})
	acts := acceptAll(d, 700*ms, 60*time.Second)
	if len(acts) != 1 || acts[0].ID != 1 {
		t.Fatalf("the first step sends %+v, want message 1 alone", acts)
	}
	next := d.wake(time.Millisecond)
	if len(next) != 1 || next[0].ID != 2 || next[0].Call == acts[0].Call {
		t.Fatalf("the next sends %+v, want message 2 in a call of its own", next)
	}
	if next[0].TimeoutAt < d.now+2*time.Second {
		t.Errorf("message 2 waits %v for its answer, with no reason for a short timeout", next[0].TimeoutAt-d.now)
	}
}
