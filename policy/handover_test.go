package policy

import (
	"encoding/json"
	"reflect"
	"slices"
	"testing"
	"time"
)

// newSuccessor returns a sender that has loaded the route states of s, encoded as JSON as between processes.
func newSuccessor(t *testing.T, s *Sender, set Settings, at time.Duration) *Sender {
	t.Helper()
	text, err := json.Marshal(s.RouteStates())
	if err != nil {
		t.Fatal(err)
	}
	var states []RouteState
	if err := json.Unmarshal(text, &states); err != nil {
		t.Fatal(err)
	}
	next, err := New(set, 2)
	if err != nil {
		t.Fatal(err)
	}
	next.Step(at, []Event{twoZones()})
	next.LoadRouteStates(states)
	return next
}

func sentRoutes(acts []Action) (routes []string) {
	for _, a := range acts {
		if a.Kind == Send {
			routes = append(routes, a.Route)
		}
	}
	return routes
}

func TestSuccessorKeepsRetryAfter(t *testing.T) {
	set := resumeSettings()
	s, err := New(set, 1)
	if err != nil {
		t.Fatal(err)
	}
	accepted := func(id uint32) Event { return Event{Kind: Accepted, ID: id, Destination: 5, TimeLeft: 8 * time.Second} }
	if got := sentRoutes(s.Step(time.Second, []Event{twoZones(), accepted(1)})); len(got) != 1 || got[0] != "best" {
		t.Fatalf("sent to %v", got)
	}
	s.Step(1100*time.Millisecond, []Event{{
		Kind: Finished, ID: 1, Route: "best", Outcome: Full, RetryAfter: 2 * time.Second, Report: Report{Present: true, Limit: 40},
	}})
	next := newSuccessor(t, s, set, 1200*time.Millisecond)
	if got := sentRoutes(next.Step(1200*time.Millisecond, []Event{accepted(2)})); len(got) != 1 || got[0] != "other" {
		t.Errorf("during a Retry-After wait: sent to %v", got)
	}
	if next.StillAllowed("best", 2*time.Second) || !next.StillAllowed("best", 3200*time.Millisecond) {
		t.Error("the Retry-After wait is not kept to its end")
	}
}

// Every field of a RouteState is loaded and returned again.
func TestRouteStateRoundTrip(t *testing.T) {
	next, err := New(resumeSettings(), 1)
	if err != nil {
		t.Fatal(err)
	}
	next.Step(time.Second, []Event{twoZones()})
	want := RouteState{Route: "best"}
	v := reflect.ValueOf(&want).Elem()
	for i := 1; i < v.NumField(); i++ {
		switch f := v.Field(i); f.Kind() {
		case reflect.Bool:
			f.SetBool(true)
		case reflect.Float64:
			f.SetFloat(float64(i))
		case reflect.Uint8, reflect.Uint64:
			f.SetUint(uint64(i))
		case reflect.Slice:
			f.Set(reflect.ValueOf([]time.Duration{time.Duration(i)}))
		default:
			f.SetInt(int64(i))
		}
	}
	next.LoadRouteStates([]RouteState{want, {Route: "gone by now"}})
	for _, got := range next.RouteStates() {
		if got.Route == "best" && !reflect.DeepEqual(got, want) {
			t.Errorf("%+v\nbecame\n%+v", want, got)
		}
	}
}

// A call that is out at the previous process uses a slot of its successor, and only its outcome tells whether it ran.
func TestOutstandingCallIsAdopted(t *testing.T) {
	set := resumeSettings()
	set.Classes[0].Effect, set.Slots = Unsafe, 1
	s, err := New(set, 1)
	if err != nil {
		t.Fatal(err)
	}
	next := newSuccessor(t, s, set, time.Second)
	out := &OutstandingAttempt{Call: 1, Route: "best", Sent: 900 * time.Millisecond, TimeoutAt: 5 * time.Second}
	got := sentRoutes(next.Step(time.Second, []Event{
		{Kind: Accepted, ID: 1, Destination: 5, TimeLeft: 8 * time.Second, Resumed: &ResumedMessage{Attempts: 1, Outstanding: out}},
		{Kind: Accepted, ID: 2, Destination: 5, TimeLeft: 8 * time.Second},
	}))
	if len(got) != 0 {
		t.Fatalf("with the only slot in use: sent to %v", got)
	}
	acts := next.Step(1100*time.Millisecond, []Event{{Kind: Finished, ID: 1, Route: "best", Outcome: ConnectFailed}})
	if len(sentRoutes(acts)) != 1 {
		t.Errorf("once the slot is free: sent to %v", sentRoutes(acts))
	}
	for _, a := range acts {
		if a.Kind == Fail {
			t.Error("a message that never ran has failed")
		}
	}
}

// State decays while no process runs, Retry-After waits end, and old state is dropped.
func TestRestartRestoresRecentState(t *testing.T) {
	set := resumeSettings()
	s, err := New(set, 1)
	if err != nil {
		t.Fatal(err)
	}
	accepted := func(id uint32) Event { return Event{Kind: Accepted, ID: id, Destination: 5, TimeLeft: 8 * time.Second} }
	s.Step(time.Minute, []Event{twoZones(), accepted(1)})
	s.Step(time.Minute+100*time.Millisecond, []Event{{
		Kind: Finished, ID: 1, Route: "best", Outcome: Full, RetryAfter: 5 * time.Second, Report: Report{Present: true, Limit: 40},
	}})
	before := s.RouteStates()
	restoreAt := func(age time.Duration) *Sender {
		next, err := New(set, 2)
		if err != nil {
			t.Fatal(err)
		}
		next.Step(time.Second, []Event{twoZones()})
		next.RestoreRouteStates(slices.Clone(before), time.Minute+200*time.Millisecond, age)
		return next
	}
	young := restoreAt(time.Second)
	if !young.StillAllowed("best", time.Second) {
		t.Error("the Retry-After wait outlasts the restart")
	}
	for i, m := range young.RouteStates() {
		if m.Pace != before[i].Pace || m.Limit != before[i].Limit {
			t.Errorf("%s: pace %v under limit %v became %v under %v", m.Route, before[i].Pace, before[i].Limit, m.Pace, m.Limit)
		}
		if was := before[i].HalvedAt; was != 0 && m.HalvedAt != was-time.Minute-200*time.Millisecond {
			t.Errorf("%s: refused at %v by the old clock, %v by the new one", m.Route, was, m.HalvedAt)
		}
	}
	if len(young.RouteStates()) == 0 || young.RouteStates()[0].Limit != 40 {
		t.Fatalf("nothing restored: %+v", young.RouteStates())
	}
	for _, age := range []time.Duration{-time.Second, time.Hour} {
		if m := restoreAt(age).RouteStates()[0]; m.Limit != 0 || m.Pace != 0 {
			t.Errorf("restored state that is %v old: %+v", age, m)
		}
	}
}
