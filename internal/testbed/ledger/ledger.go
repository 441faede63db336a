// Package ledger records what the testbed's own parties observed in a run: every request and its answer, every call that
// reached an endpoint, every notice, every change of discovery's list, and the start and end of each process. It holds the
// facts as seen on the testbed's side of the sockets; package audit evaluates them. Neither shares code with the relay, so
// that an error there is not repeated here.
//
// Times count from the start of the run, by the monotonic clock.
package ledger

import (
	"fmt"
	"sync"
	"time"
)

// Never is the time of an event that has not happened.
const Never = time.Duration(-1)

// Ledger collects records. Its methods are safe for concurrent use; its slices may be read once the run is over.
type Ledger struct {
	start time.Time

	mu               sync.Mutex
	Submissions      []*Submission
	Calls            []*Call
	Notices          []Notice
	ListChanges      []ListChange
	Processes        []*Process
	HostilePeers     []HostilePeer
	Samples          []Sample
	Outages          []*Outage
	LimitChanges     []LimitChange
	UnexplainedCalls []UnexplainedCall
	ViewChanges      []ViewChange
	Traffic          []Traffic
	// Recoveries are the messages that restarted relays recovered, if they log it.
	Recoveries []Recovery
	// LearnedEnds are the ends of messages that relays learned of from endpoints, if they log it.
	LearnedEnds []LearnedEnd
	// Resubmissions are requests that reused the id of an earlier one.
	Resubmissions []*Resubmission

	byTrace map[string]*Submission
}

// Offset converts a wall-clock time to the time of the run.
func (l *Ledger) Offset(t time.Time) time.Duration { return t.Sub(l.start) }

// Submission is one request of a client. A message may be submitted several times, each time with a new trace.
type Submission struct {
	Message    int // index among the plan's arrivals
	Try        int // 0: the first submission of the message
	Trace      string
	Key        string
	Relay      int
	Due        time.Duration // when the client meant to send it
	Sent       time.Duration // when its last byte was written; Never if it was not written whole
	Deadline   time.Duration // of the message
	Answered   time.Duration // Never if no answer came
	Status     int
	RetryAfter time.Duration // sent with a refusal
	Abandoned  bool          // the client stopped waiting before an answer came
	ConnBroken bool          // the connection ended without an answer after the request was written
}

// Call is one call as it reached an endpoint.
type Call struct {
	Relay       int
	Endpoint    int
	Traces      []string
	Keys        []string
	FirstByte   time.Duration
	LastByte    time.Duration // Never if the call did not arrive whole
	FirstOnConn bool          // the first call on its connection
	Probe       bool
	Status      int           // of the answer; 0: no answer was written
	States      []string      // of the messages, from the answer to a bundle
	Written     time.Duration // when the answer was written, or Never
	RetryAfter  time.Duration // sent with the answer
	MayHaveRun  bool          // the result does not prove that the call was not executed
	Ran         bool
	Latency     time.Duration
	InOutage    bool // the endpoint was in an outage
}

// Notice is a final notice: a line of a POST to /v2/finals.
type Notice struct {
	Relay      int
	Trace      string
	Status     string
	RetryAfter time.Duration
	At         time.Duration
}

// ListChange is a change of the list of a relay's discovery agent. From then on, the relay counts as informed of it.
type ListChange struct {
	Relay    int
	Endpoint int
	State    string // "ready", "draining" or "gone"
	At       time.Duration
}

// Process is one process of a relay.
type Process struct {
	Relay        int
	PID          int
	Start        time.Duration
	Ready        time.Duration // when it first reported ready, or Never
	StopSignaled time.Duration // when the testbed first sent SIGTERM or SIGKILL, or Never
	End          time.Duration // Never while it runs
	Exit         string        // how it ended
	EmptyState   bool          // it started with an empty state folder
	Pauses       []Pause
	Replacement  bool // it was started to replace a running process
}

// ViewChange is a change of a relay's view of its fleet, from its log.
type ViewChange struct {
	Relay, PID   int
	At           time.Duration
	Present      int
	Agreement    string
	Joined, Left []string // names of relays
}

// Traffic is the number of bytes that a member sent to its fleet between two times.
type Traffic struct {
	Relay    int
	From, To time.Duration
	Bytes    int64
}

// Recovery is a message that a restarted relay recovered, with the time that the relay took it to have left.
type Recovery struct {
	Relay     int
	Trace     string
	At        time.Duration
	Remaining time.Duration
	// Attempts counts the attempts on record at the relay, including those that failed to connect and reached no endpoint.
	Attempts int
}

// LearnedEnd is the end of a message that a relay learned of from an endpoint.
type LearnedEnd struct {
	Relay int
	Trace string
	At    time.Duration
}

// Resubmission is a request that reuses the id of an earlier one. It yields no worth.
type Resubmission struct {
	Relay    int
	Trace    string
	Sent     time.Duration
	Deadline time.Duration // as stated in the request
	Answered time.Duration // Never if no answer came
	Status   int
}

// Pause is a period for which a process was stopped.
type Pause struct{ From, To time.Duration }

// HostilePeer is a connection of a peer that makes no valid request.
type HostilePeer struct {
	Relay     int
	Behavior  int
	At        time.Duration // when it connected
	Rejected  time.Duration // when it got an error or the connection was closed, or Never
	Status    int           // of the answer; 0: no answer
	RelayDown bool          // the relay was down at the end
}

// Sample is the resource usage of a process at a time.
type Sample struct {
	Relay, PID int
	At         time.Duration
	MemoryMB   float64
	Sockets    int
	DiskMB     float64
	CPU        time.Duration // processor time used so far
}

// Outage is a period in which a scope failed or refused most calls. A scope is a destination, or one endpoint where the
// destination has separate routes.
type Outage struct {
	Scope         int // its number in the testbed
	Partner       int
	From, To      time.Duration // To is Never while the outage lasts
	Witnesses     map[int]bool  // relays whose calls failed or were refused meanwhile
	Collapsed     time.Duration // when calls overloaded the scope after the outage, or Never
	CollapseCalls int           // calls in the period that caused the collapse
	WitnessCalls  int           // those of CollapseCalls that came from witnesses
}

// LimitChange is the limit of a destination from a time on.
type LimitChange struct {
	Partner int
	At      time.Duration
	Limit   float64
}

// UnexplainedCall is a call that no request of a client explains.
type UnexplainedCall struct {
	Relay, Endpoint int
	At              time.Duration
	Reason          string
}

// New returns an empty ledger of a run that starts now.
func New() *Ledger { return &Ledger{start: time.Now(), byTrace: map[string]*Submission{}} }

// Now returns the time of the run.
func (l *Ledger) Now() time.Duration { return time.Since(l.start) }

// StartTime returns the wall-clock time at which the run started.
func (l *Ledger) StartTime() time.Time { return l.start }

// Update calls f with the ledger locked, to change records that were added before.
func (l *Ledger) Update(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f()
}

// AddSubmission adds a request that is about to be sent.
func (l *Ledger) AddSubmission(sub *Submission) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Submissions = append(l.Submissions, sub)
	l.byTrace[sub.Trace] = sub
}

// Find returns the submission with a trace, or nil.
func (l *Ledger) Find(trace string) *Submission {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.byTrace[trace]
}

// Add adds a record, which is one of the types above.
func (l *Ledger) Add(x any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch x := x.(type) {
	case *Call:
		l.Calls = append(l.Calls, x)
	case Notice:
		l.Notices = append(l.Notices, x)
	case ListChange:
		l.ListChanges = append(l.ListChanges, x)
	case *Process:
		l.Processes = append(l.Processes, x)
	case HostilePeer:
		l.HostilePeers = append(l.HostilePeers, x)
	case Sample:
		l.Samples = append(l.Samples, x)
	case *Outage:
		l.Outages = append(l.Outages, x)
	case LimitChange:
		l.LimitChanges = append(l.LimitChanges, x)
	case UnexplainedCall:
		l.UnexplainedCalls = append(l.UnexplainedCalls, x)
	case ViewChange:
		l.ViewChanges = append(l.ViewChanges, x)
	case Traffic:
		l.Traffic = append(l.Traffic, x)
	case Recovery:
		l.Recoveries = append(l.Recoveries, x)
	case LearnedEnd:
		l.LearnedEnds = append(l.LearnedEnds, x)
	case *Resubmission:
		l.Resubmissions = append(l.Resubmissions, x)
	default:
		panic(fmt.Sprintf("ledger: unknown record type %T", x))
	}
}
