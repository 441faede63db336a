// Package invariant checks at run time the rules that a relay must never break. There is one check each for sending, repeating,
// ending, closing and starting, and all code that does one of these calls it. Violations are counted by name, and the first one
// of each name is logged with its state. In testbed builds a violation ends the process, so that no run can miss one.
//
// The checks only compare the facts that they are given. They make no decisions and change nothing in the relay.
package invariant

import (
	"expvar"
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"time"
)

// Name is the name of an invariant, as used in metrics and logs.
type Name string

// The invariants.
const (
	SendLate        Name = "send_after_its_time"         // after the deadline of the message or the call
	SendAfterEnd    Name = "send_after_the_end_of_sends" // by a process that is ending
	SendDraining    Name = "send_to_a_draining_endpoint" // after the drain grace, or excluded by an operator
	SendUnrecorded  Name = "send_without_a_record"       // the send is not in the log
	SendEnded       Name = "send_of_an_ended_message"    // its final answer is already decided
	RepeatUnsafe    Name = "repeat_of_an_unsafe_message" // an earlier send may have been executed
	RepeatLate      Name = "repeat_outside_its_window"   // a keyed message is repeated too late
	RepeatElsewhere Name = "repeat_outside_its_group"    // in another zone than the first send
	EndTwice        Name = "end_told_twice"              // one process sends two final answers for a message
	EndUnrecorded   Name = "end_without_a_record"        // the end is not in the log although the deadline has not passed
	CloseUnread     Name = "close_over_a_read_request"   // a connection is closed without an answer to a request read from it
	StartLate       Name = "start_ready_late"            // the start took longer than 10 s
	BoundPassed     Name = "bound_passed"                // limit of file descriptors, queues or disk space
)

const (
	// DrainGrace is how long an endpoint may still be called after it was told to drain, by the platform's rules.
	DrainGrace = 500 * time.Millisecond
	// Tolerance is how much every time limit may be exceeded on sockets, by the platform's rules.
	Tolerance = 50 * time.Millisecond
	// ReadyWithin is the maximum time from the start of a process until it must be ready.
	ReadyWithin = 10 * time.Second
)

// Guard counts violations. It is safe for concurrent use.
type Guard struct {
	log         *slog.Logger
	onViolation func(text string) // called for each violation; nil: violations are only counted and logged

	mu     sync.Mutex
	counts *expvar.Map
}

// New returns a guard without violations.
func New(log *slog.Logger) *Guard {
	return &Guard{log: log, onViolation: violationHook, counts: new(expvar.Map).Init()}
}

// OnViolation sets the function that is called for each violation. It is for tests.
func (g *Guard) OnViolation(f func(text string)) { g.onViolation = f }

// report counts a violation, and logs the first one of each name.
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

// Metrics returns the counts in the text format of the admin address's metrics; empty if there were no violations.
func (g *Guard) Metrics() string {
	var b strings.Builder
	g.counts.Do(func(kv expvar.KeyValue) { fmt.Fprintf(&b, "\nrelay.violations.%s:%s|c", kv.Key, kv.Value) })
	return b.String()
}

// Send describes a call that is about to be made.
type Send struct {
	Trace      string
	Endpoint   string
	Recorded   bool          // the send is in the log
	Ended      bool          // the message's final answer is decided
	EndOfSends bool          // the process must not make calls any more
	Draining   time.Duration // time since the endpoint was told to drain or left the list; 0: in service
	Left       time.Duration // time left until the message's deadline
}

// CheckSend checks a call that is about to be made, for one of its messages.
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

// CheckDeadline checks again, right before a request is written, that the deadline of its message has not passed.
func (g *Guard) CheckDeadline(trace, endpoint string, left time.Duration) {
	if left < -Tolerance {
		g.report(SendLate, trace, "endpoint", endpoint, "left", left)
	}
}

// Repeat describes the repeat of a message of which an earlier send may have been executed.
type Repeat struct {
	Trace         string
	Unsafe        bool
	Window        time.Duration // how long repeats are allowed; 0: no limit
	Age           time.Duration // time since the first send that may have been executed
	FirstZone     int           // zone of the first send
	ToZone        int           // zone of the repeat
	OneZone       bool          // repeats must stay in the zone of the first send
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

// CheckEnd checks a final answer that is about to be sent to the platform. alreadySent means that one was sent before.
func (g *Guard) CheckEnd(trace string, alreadySent, recorded bool, left time.Duration) {
	if alreadySent {
		g.report(EndTwice, trace, "left", left)
	}
	if !recorded && left > Tolerance {
		g.report(EndUnrecorded, trace, "left", left)
	}
}

// CheckClose checks a client connection that is about to be closed. unanswered means that a request was read from it but not
// answered, although the client has not disconnected; buffered is the number of bytes read of a further request.
func (g *Guard) CheckClose(peer string, unanswered bool, buffered int) {
	if unanswered || buffered > 0 {
		g.report(CloseUnread, "", "peer", peer, "unanswered", unanswered, "buffered", buffered)
	}
}

// CheckStart checks how long the start of the process took.
func (g *Guard) CheckStart(took time.Duration) {
	if took > ReadyWithin {
		g.report(StartLate, "", "took", took)
	}
}

// CheckBound checks that a value does not exceed its limit.
func (g *Guard) CheckBound(what string, value, limit int64) {
	if value > limit {
		g.report(BoundPassed, "", "what", what, "value", value, "most", limit)
	}
}
