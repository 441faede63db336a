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

// A Retry-After wait was forgotten when its endpoint left the list and came back before the wait was over.
func TestWaitBindsEndpointThatIsListedAgain(t *testing.T) {
	only := []Listing{zoneRoute("first", 1, 50)}
	left, back := Event{Kind: ListFull}, Event{Kind: ListFull, List: only}
	told := Event{Kind: Finished, ID: 1, Route: "first", Outcome: Full, RetryAfter: 2 * time.Second}
	for name, steps := range map[string][][]Event{
		"told, left, back":            {{told}, {left}, {back}},
		"left, told, back":            {{left}, {told}, {back}},
		"left, back, told":            {{left}, {back}, {told}},
		"left, back and told in one":  {{left, back, told}},
		"told, left and back, in one": {{told, left, back}},
	} {
		t.Run(name, func(t *testing.T) {
			s, err := New(resumeSettings(), 1)
			if err != nil {
				t.Fatal(err)
			}
			s.Step(time.Second, []Event{back, {Kind: Accepted, ID: 1, Destination: 5, TimeLeft: 8 * time.Second}})
			for i, events := range steps {
				if got := sentRoutes(s.Step(1200*time.Millisecond+time.Duration(i)*time.Millisecond, events)); len(got) != 0 {
					t.Errorf("after step %d: sent to %v during the wait", i, got)
				}
			}
			if got := sentRoutes(s.Step(3190*time.Millisecond, []Event{{Kind: Woken}})); len(got) != 0 {
				t.Errorf("sent to %v just before the end of the wait", got)
			}
			if got := sentRoutes(s.Step(3250*time.Millisecond, []Event{{Kind: Woken}})); len(got) != 1 {
				t.Errorf("sent to %v after the wait", got)
			}
		})
	}
}
