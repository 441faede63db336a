package policy

import (
	"encoding/json"
	"reflect"
	"slices"
	"testing"
	"time"
)

// successor is a sender that knows what s knows, by way of JSON as between processes.
func successor(t *testing.T, s *Sender, set Settings, at time.Duration) *Sender {
	t.Helper()
	text, err := json.Marshal(s.Memories())
	if err != nil {
		t.Fatal(err)
	}
	var ms []Memory
	if err := json.Unmarshal(text, &ms); err != nil {
		t.Fatal(err)
	}
	next, err := New(set, 2)
	if err != nil {
		t.Fatal(err)
	}
	next.Step(at, []Event{twoZones()})
	next.Remember(ms)
	return next
}

func sends(acts []Action) (routes []string) {
	for _, a := range acts {
		if a.Kind == Send {
			routes = append(routes, a.Route)
		}
	}
	return routes
}

func TestASuccessorKnowsWhatWasTold(t *testing.T) {
	set := resumeSettings()
	s, err := New(set, 1)
	if err != nil {
		t.Fatal(err)
	}
	taken := func(id uint32) Event { return Event{Kind: Taken, ID: id, Destination: 5, Left: 8 * time.Second} }
	if got := sends(s.Step(time.Second, []Event{twoZones(), taken(1)})); len(got) != 1 || got[0] != "best" {
		t.Fatalf("sent to %v", got)
	}
	s.Step(1100*time.Millisecond, []Event{{
		Kind: Finished, ID: 1, Route: "best", Outcome: Full, Wait: 2 * time.Second, Report: Report{Told: true, Limit: 40},
	}})
	next := successor(t, s, set, 1200*time.Millisecond)
	if got := sends(next.Step(1200*time.Millisecond, []Event{taken(2)})); len(got) != 1 || got[0] != "other" {
		t.Errorf("during a told wait: sent to %v", got)
	}
	if next.MayStill("best", 2*time.Second) || !next.MayStill("best", 3200*time.Millisecond) {
		t.Error("the told wait is not kept to its end")
	}
}

// Every field of a memory gets across.
func TestAMemoryIsWhole(t *testing.T) {
	next, err := New(resumeSettings(), 1)
	if err != nil {
		t.Fatal(err)
	}
	next.Step(time.Second, []Event{twoZones()})
	want := Memory{Route: "best"}
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
	next.Remember([]Memory{want, {Route: "gone by now"}})
	for _, got := range next.Memories() {
		if got.Route == "best" && !reflect.DeepEqual(got, want) {
			t.Errorf("%+v\nbecame\n%+v", want, got)
		}
	}
}

// A call that is out at the process before has its slot here, and whether it ran is told by its outcome alone.
func TestACallOutAtTheProcessBeforeGoesOn(t *testing.T) {
	set := resumeSettings()
	set.Classes[0].Effect, set.Slots = Unsafe, 1
	s, err := New(set, 1)
	if err != nil {
		t.Fatal(err)
	}
	next := successor(t, s, set, time.Second)
	out := &Out{Call: 1, Route: "best", Sent: 900 * time.Millisecond, Cut: 5 * time.Second}
	got := sends(next.Step(time.Second, []Event{
		{Kind: Taken, ID: 1, Destination: 5, Left: 8 * time.Second, Resumed: &Resumed{Attempts: 1, Out: out}},
		{Kind: Taken, ID: 2, Destination: 5, Left: 8 * time.Second},
	}))
	if len(got) != 0 {
		t.Fatalf("with the one slot taken: sent to %v", got)
	}
	acts := next.Step(1100*time.Millisecond, []Event{{Kind: Finished, ID: 1, Route: "best", Outcome: ConnectFailed}})
	if len(sends(acts)) != 1 {
		t.Errorf("once the slot is free: sent to %v", sends(acts))
	}
	for _, a := range acts {
		if a.Kind == Fail {
			t.Error("a message that never ran has failed")
		}
	}
}

// What was known fades while no process is there, a told wait ends, and what is old is not known any more.
func TestARestartRecallsWhatIsYoung(t *testing.T) {
	set := resumeSettings()
	s, err := New(set, 1)
	if err != nil {
		t.Fatal(err)
	}
	taken := func(id uint32) Event { return Event{Kind: Taken, ID: id, Destination: 5, Left: 8 * time.Second} }
	s.Step(time.Minute, []Event{twoZones(), taken(1)})
	s.Step(time.Minute+100*time.Millisecond, []Event{{
		Kind: Finished, ID: 1, Route: "best", Outcome: Full, Wait: 5 * time.Second, Report: Report{Told: true, Limit: 40},
	}})
	before := s.Memories()
	recall := func(age time.Duration) *Sender {
		next, err := New(set, 2)
		if err != nil {
			t.Fatal(err)
		}
		next.Step(time.Second, []Event{twoZones()})
		next.Recall(slices.Clone(before), time.Minute+200*time.Millisecond, age)
		return next
	}
	young := recall(time.Second)
	if !young.MayStill("best", time.Second) {
		t.Error("the told wait outlasts the restart")
	}
	for i, m := range young.Memories() {
		if m.Pace != before[i].Pace || m.Limit != before[i].Limit {
			t.Errorf("%s: pace %v under limit %v became %v under %v", m.Route, before[i].Pace, before[i].Limit, m.Pace, m.Limit)
		}
		if was := before[i].HalvedAt; was != 0 && m.HalvedAt != was-time.Minute-200*time.Millisecond {
			t.Errorf("%s: refused at %v of the old clock, %v of the new one", m.Route, was, m.HalvedAt)
		}
	}
	if len(young.Memories()) == 0 || young.Memories()[0].Limit != 40 {
		t.Fatalf("nothing recalled: %+v", young.Memories())
	}
	for _, age := range []time.Duration{-time.Second, time.Hour} {
		if m := recall(age).Memories()[0]; m.Limit != 0 || m.Pace != 0 {
			t.Errorf("recalled from %v ago: %+v", age, m)
		}
	}
}
