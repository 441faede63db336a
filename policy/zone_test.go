package policy

import (
	"testing"
	"time"
)

// zoneRoute is an entry of the list for the destination of these tests.
func zoneRoute(route string, zone int, weight float64) Listing {
	return Listing{Route: route, Destination: 5, Kind: 0, Zone: zone, Weight: weight, InService: true}
}

// zoneList returns a list with a preferred route, a second one in its zone, and one in the zone that comes first.
func zoneList() []Listing {
	return []Listing{zoneRoute("first", 1, 50), zoneRoute("same zone", 1, 10), zoneRoute("other zone", 0, 20)}
}

// listChanges are what may happen to the list while a call to "first" is out.
var listChanges = map[string][]Listing{
	"the endpoint stays":                                    nil,
	"the endpoint leaves":                                   {{Route: "first", Gone: true}},
	"the endpoint moves to another zone":                    {zoneRoute("first", 0, 50)},
	"the endpoint leaves and its name comes back elsewhere": {{Route: "first", Gone: true}, zoneRoute("first", 0, 50)},
}

// A keyed message that may have run in one zone was repeated in another one when the list had changed while the call was
// out: the zone was read from the list at the time of the outcome.
func TestRepeatStaysInZoneOfSendWhenTheListChanges(t *testing.T) {
	for name, change := range listChanges {
		t.Run(name, func(t *testing.T) {
			s, err := New(resumeSettings(), 1)
			if err != nil {
				t.Fatal(err)
			}
			if got := sentRoutes(s.Step(time.Second, []Event{
				{Kind: ListFull, List: zoneList()}, {Kind: Accepted, ID: 1, Destination: 5, TimeLeft: 8 * time.Second},
			})); len(got) != 1 || got[0] != "first" {
				t.Fatalf("sent to %v", got)
			}
			s.Step(1100*time.Millisecond, []Event{{Kind: ListChanges, List: change}})
			expectRepeatInZone(t, s)
		})
	}
}

// A process that took over while the call was out repeated the message in the first zone of the settings if its list did
// not name the endpoint any more.
func TestAdoptedCallKeepsZoneOfItsSend(t *testing.T) {
	for name, change := range listChanges {
		t.Run(name, func(t *testing.T) {
			s, err := New(resumeSettings(), 1)
			if err != nil {
				t.Fatal(err)
			}
			out := &OutstandingAttempt{Call: 1, Route: "first", Zone: 1, Sent: 900 * time.Millisecond, TimeoutAt: 5 * time.Second}
			if got := sentRoutes(s.Step(time.Second, []Event{
				{Kind: ListFull, List: zoneList()}, {Kind: ListChanges, List: change},
				{Kind: Accepted, ID: 1, Destination: 5, TimeLeft: 8 * time.Second, Resumed: &ResumedMessage{Attempts: 1, Outstanding: out}},
			})); len(got) != 0 {
				t.Fatalf("sent to %v while a call is out", got)
			}
			expectRepeatInZone(t, s)
		})
	}
}

// expectRepeatInZone ends the first call in doubt and checks where its message is sent next.
func expectRepeatInZone(t *testing.T, s *Sender) {
	t.Helper()
	got := sentRoutes(s.Step(1200*time.Millisecond, []Event{{Kind: Finished, ID: 1, Route: "first", Outcome: Timeout, Took: time.Second}}))
	if len(got) != 1 || got[0] != "same zone" {
		t.Errorf("repeated at %v", got)
	}
}

// If no zone was recorded for an attempt, no zone is known to drop its repeats.
func TestAttemptInUnknownZoneIsNotRepeated(t *testing.T) {
	s, err := New(resumeSettings(), 1)
	if err != nil {
		t.Fatal(err)
	}
	out := &OutstandingAttempt{Call: 1, Route: "first", Zone: UnknownZone, Sent: 900 * time.Millisecond, TimeoutAt: 5 * time.Second}
	s.Step(time.Second, []Event{
		{Kind: ListFull, List: zoneList()},
		{Kind: Accepted, ID: 1, Destination: 5, TimeLeft: 8 * time.Second, Resumed: &ResumedMessage{Attempts: 1, Outstanding: out}},
	})
	if got := sentRoutes(s.Step(1200*time.Millisecond, []Event{{Kind: Finished, ID: 1, Route: "first", Outcome: Timeout}})); len(got) != 0 {
		t.Errorf("repeated at %v", got)
	}
}
