package policy

import (
	"testing"
	"time"
)

// Guards against timers of delivered messages that stay until their deadlines, behind the timer of a message that waits.
func TestTimersOfDeliveredMessagesArePruned(t *testing.T) {
	s, err := New(settings(), 1)
	if err != nil {
		t.Fatal(err)
	}
	now := time.Minute
	s.Step(now, []Event{{Kind: ListFull, List: []Listing{
		{Route: "up", Weight: 1e9, InService: true}, {Route: "down", Destination: 1, Weight: 1},
	}}, {Kind: Accepted, ID: 1 << 30, Destination: 1, TimeLeft: 6 * time.Hour}})
	for id := range uint32(20_000) {
		now += ms
		s.Step(now, []Event{{Kind: Accepted, ID: id, TimeLeft: 6 * time.Hour}})
		s.Step(now, []Event{{Kind: Finished, ID: id, Route: "up", Outcome: OK, Took: ms, MessageEnded: true}})
	}
	if len(s.msgs) != 1 || len(s.timers) > 2*minTimersToPrune {
		t.Errorf("after 20,000 deliveries %d messages and %d timers are kept", len(s.msgs), len(s.timers))
	}
}
