package policy

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkStep measures one message accepted and delivered by a sender with 400 destinations and 1,000 routes. With a
// backlog, 200 more messages wait for destinations that have no route in service.
func BenchmarkStep(b *testing.B) {
	for _, backlog := range []int{0, 200} {
		b.Run(fmt.Sprintf("backlog=%d", backlog), func(b *testing.B) { benchmarkStep(b, backlog) })
	}
}

func benchmarkStep(b *testing.B, backlog int) {
	set := settings()
	set.Senders, set.Slots, set.MaxHeld = 400, 8, 1000
	s, err := New(set, 1)
	if err != nil {
		b.Fatal(err)
	}
	var list []Listing
	for i := range 1000 {
		list = append(list, Listing{Route: fmt.Sprint("r", i), Destination: i % 400, Kind: i % 2, Weight: 50,
			InService: i%400 < 200})
	}
	now := time.Minute
	evs := []Event{{Kind: ListFull, List: list}}
	for i := range backlog {
		evs = append(evs, Event{Kind: Accepted, ID: uint32(1e9) + uint32(i), Destination: 200 + i, TimeLeft: time.Hour})
	}
	s.Step(now, evs)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now += 10 * ms
		id := uint32(i)
		route := ""
		for _, a := range s.Step(now, []Event{{Kind: Accepted, ID: id, Destination: i % 200, TimeLeft: time.Minute}}) {
			if a.Kind == Send {
				route = a.Route
			}
		}
		if route == "" {
			b.Fatalf("message %d was not sent", i)
		}
		now += 10 * ms
		s.Step(now, []Event{{Kind: Finished, ID: id, Route: route, Outcome: OK, Took: 10 * ms, MessageEnded: true}})
	}
}

// BenchmarkStepHeld measures a message accepted and delivered while many are held for 2,000 destinations that have no
// route in service. The cost of a step depends on the messages that it examines, not on those held.
func BenchmarkStepHeld(b *testing.B) {
	for _, held := range []int{0, 2_000, 10_000, 50_000, 200_000} {
		b.Run(fmt.Sprintf("held=%d", held), func(b *testing.B) { benchmarkStepHeld(b, held) })
	}
}

func benchmarkStepHeld(b *testing.B, held int) {
	const destinations = 2000
	s, err := New(settings(), 1)
	if err != nil {
		b.Fatal(err)
	}
	list := []Listing{{Route: "up", Destination: destinations, Weight: 1e9, InService: true}}
	for d := range destinations {
		list = append(list, Listing{Route: fmt.Sprint("r", d), Destination: d, Weight: 50})
	}
	now := time.Minute
	evs := []Event{{Kind: ListFull, List: list}}
	for i := range held {
		evs = append(evs, Event{Kind: Accepted, ID: uint32(1e9) + uint32(i), Destination: i % destinations, TimeLeft: 6 * time.Hour})
	}
	s.Step(now, evs)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now += ms
		id := uint32(i)
		if len(s.Step(now, []Event{{Kind: Accepted, ID: id, Destination: destinations, TimeLeft: time.Minute}})) == 0 {
			b.Fatalf("message %d was not sent", i)
		}
		s.Step(now, []Event{{Kind: Finished, ID: id, Route: "up", Outcome: OK, Took: ms, MessageEnded: true}})
	}
}
