package policy

import (
	"testing"
	"time"
)

// A Retry-After wait in the answer to an adopted call binds the destination although its endpoint has left the list.
func TestWaitOfUnlistedEndpointBindsItsDestination(t *testing.T) {
	settings := resumeSettings()
	settings.Kinds[0].Separate = false
	s, err := New(settings, 1)
	if err != nil {
		t.Fatal(err)
	}
	out := &OutstandingAttempt{Call: 1, Route: "left", Zone: 1, Sent: 900 * time.Millisecond, TimeoutAt: 5 * time.Second}
	s.Step(time.Second, []Event{
		{Kind: ListFull, List: zoneList()},
		{Kind: Accepted, ID: 1, Destination: 5, TimeLeft: 8 * time.Second, Resumed: &ResumedMessage{Attempts: 1, Outstanding: out}},
	})
	told := Event{Kind: Finished, ID: 1, Route: "left", Outcome: Full, RetryAfter: 2 * time.Second}
	if got := sentRoutes(s.Step(1200*time.Millisecond, []Event{told})); len(got) != 0 {
		t.Errorf("sent to %v during the wait", got)
	}
	if got := sentRoutes(s.Step(3250*time.Millisecond, []Event{{Kind: Woken}})); len(got) != 1 {
		t.Errorf("sent to %v after the wait", got)
	}
}
