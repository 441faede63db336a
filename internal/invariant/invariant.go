// Package invariant is the run-time check of the rules that a relay must not break whatever happens: one guard each for sending,
// repeating, ending, closing and starting, which every call site goes through. A violation is counted by its name, and logged once
// with the state that led to it. In builds for the testbed it ends the process, so that no play passes over one.
//
// The guard decides nothing and changes nothing: it is told facts, and compares them.
package invariant

import (
	"expvar"
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"time"
)

// Name names an invariant.
type Name string

// The invariants.
const (
	SendLate        Name = "send_after_its_time"         // of the message, or of the call
	SendAfterEnd    Name = "send_after_the_end_of_sends" // of a process that is ending
	SendDraining    Name = "send_to_a_draining_endpoint" // beyond the grace, or one out by hand
	SendUnrecorded  Name = "send_without_a_record"       // in the log
	SendEnded       Name = "send_of_an_ended_message"    // its final answer is decided
	RepeatUnsafe    Name = "repeat_of_an_unsafe_message" // an earlier send may have run
	RepeatLate      Name = "repeat_outside_its_window"   // of a keyed message
	RepeatElsewhere Name = "repeat_outside_its_group"    // of zones
	EndTwice        Name = "end_told_twice"              // of a message, by one process
	EndUnrecorded   Name = "end_without_a_record"        // though the message's time is not up
	CloseUnread     Name = "close_over_a_read_request"   // without its answer
	StartLate       Name = "start_ready_late"            // beyond 10 s
	BoundPassed     Name = "bound_passed"                // of descriptors, queues or the disk
)

const (
	// DrainGrace is for how long after it was told to drain an endpoint may still be called, by the platform's rules.
	DrainGrace = 500 * time.Millisecond
	// Tolerance is what every time limit is longer on sockets, by the platform's rules.
	Tolerance = 50 * time.Millisecond
	// ReadyWithin is within what time a process has to be ready, from its start.
	ReadyWithin = 10 * time.Second
)

// Guard counts violations. It is safe for concurrent use.
type Guard struct {
	log         *slog.Logger
	onViolation func(text string) // nil: a violation is counted and logged

	mu     sync.Mutex
	counts *expvar.Map
}

// New returns a guard that has seen nothing.
func New(log *slog.Logger) *Guard {
	return &Guard{log: log, onViolation: violationHook, counts: new(expvar.Map).Init()}
}

// OnViolation has a function called with each violation. It is for tests.
func (g *Guard) OnViolation(f func(text string)) { g.onViolation = f }

// report counts a violation and tells of the first one of its name.
func (g *Guard) report(name Name, trace string, state ...any) {
	g.mu.Lock()
	first := g.counts.Get(string(name)) == nil
	g.counts.Add(string(name), 1)
	g.mu.Unlock()
	if first {
		g.log.Error("invariant violated", append([]any{"invariant", string(name), "trace", trace}, state...)...)
	}
	if g.onViolation != nil {
		g.onViolation(fmt.Sprintf("invariant violated: %s: trace %s %v", name, trace, state))
	}
}

// Metrics are the counts, in the form of the second address; empty as long as nothing was violated.
func (g *Guard) Metrics() string {
	var b strings.Builder
	g.counts.Do(func(kv expvar.KeyValue) { fmt.Fprintf(&b, "\nrelay.violations.%s:%s|c", kv.Key, kv.Value) })
	return b.String()
}

// Send is what is known when a call is about to leave.
type Send struct {
	Trace      string
	Endpoint   string
	Recorded   bool          // the send is in the log
	Ended      bool          // the message's final answer is decided
	EndOfSends bool          // the process makes no more calls
	Draining   time.Duration // since the endpoint was told to drain, or is out of the list; 0: it is in service
	Left       time.Duration // of the message's time
}

// CheckSend checks a call that is about to leave, for one of its messages.
func (g *Guard) CheckSend(s Send) {
	state := []any{"endpoint", s.Endpoint, "left", s.Left, "draining", s.Draining}
	if !s.Recorded {
		g.report(SendUnrecorded, s.Trace, state...)
	}
	if s.Ended {
		g.report(SendEnded, s.Trace, state...)
	}
	if s.EndOfSends {
		g.report(SendAfterEnd, s.Trace, state...)
	}
	if s.Draining > DrainGrace+Tolerance {
		g.report(SendDraining, s.Trace, state...)
	}
	g.CheckDeadline(s.Trace, s.Endpoint, s.Left)
}

// CheckDeadline checks once more, right before a request is written, that its message has time left.
func (g *Guard) CheckDeadline(trace, endpoint string, left time.Duration) {
	if left < -Tolerance {
		g.report(SendLate, trace, "endpoint", endpoint, "left", left)
	}
}

// Repeat is what is known when a message is sent of which an earlier send may have run.
type Repeat struct {
	Trace         string
	Unsafe        bool
	Window        time.Duration // within which it may be repeated; 0: without limit
	Age           time.Duration // of the first send that may have run
	FirstZone     int           // of that
	ToZone        int           // zone
	OneZone       bool          // repeats stay in the zone of the first send
	FirstEndpoint string        // endpoint of the first send
}

// CheckRepeat checks a repeat.
func (g *Guard) CheckRepeat(r Repeat) {
	state := []any{"first", r.FirstEndpoint, "age", r.Age, "zone", r.FirstZone, "to", r.ToZone}
	if r.Unsafe {
		g.report(RepeatUnsafe, r.Trace, state...)
	}
	if r.Window > 0 && r.Age > r.Window+Tolerance {
		g.report(RepeatLate, r.Trace, state...)
	}
	if r.OneZone && r.FirstZone != r.ToZone {
		g.report(RepeatElsewhere, r.Trace, state...)
	}
}

// CheckEnd checks a final answer that is about to be told to the platform.
func (g *Guard) CheckEnd(trace string, again, recorded bool, left time.Duration) {
	if again {
		g.report(EndTwice, trace, "left", left)
	}
	if !recorded && left > Tolerance {
		g.report(EndUnrecorded, trace, "left", left)
	}
}

// CheckClose checks a connection of a client that is about to be closed. unanswered tells that a request was read off it whose answer
// was not written, though its client has not left; buffered is how many bytes were read of a next one.
func (g *Guard) CheckClose(peer string, unanswered bool, buffered int) {
	if unanswered || buffered > 0 {
		g.report(CloseUnread, "", "peer", peer, "unanswered", unanswered, "buffered", buffered)
	}
}

// CheckStart checks how long a start has taken.
func (g *Guard) CheckStart(took time.Duration) {
	if took > ReadyWithin {
		g.report(StartLate, "", "took", took)
	}
}

// CheckBound checks that something that is bounded is within its bound.
func (g *Guard) CheckBound(what string, value, most int64) {
	if value > most {
		g.report(BoundPassed, "", "what", what, "value", value, "most", most)
	}
}
