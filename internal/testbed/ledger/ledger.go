// Package ledger is what the testbed's own parties saw in a run: every request and its answer, every call that reached an
// endpoint, every notice, what was told, and how each process fared. It holds facts as they stood on the emulator's side
// of the sockets, and judges nothing; package audit does. Neither shares code with the relay, so that an error there is
// not repeated here.
//
// Times are from the start of the run, by its monotonic clock.
package ledger

import (
	"fmt"
	"sync"
	"time"
)

// Never is a time that has not come.
const Never = time.Duration(-1)

// Ledger collects records. It is safe for concurrent use; the slices are to be read once the run is over.
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
	Limits           []LimitChange
	UnexplainedCalls []UnexplainedCall
	Views            []ViewChange
	Traffic          []Traffic
	// Recoveries is what restarts told of the messages that they found, where relays log it.
	Recoveries []Recovery
	// LearnedEnds are the ends that relays have learned of from endpoints, where they log them.
	LearnedEnds []LearnedEnd
	// Resubmissions are ids that were handed in again.
	Resubmissions []*Resubmission

	byTrace map[string]*Submission
}

// Offset is a moment of the wall clock, as the ledger counts.
func (l *Ledger) Offset(t time.Time) time.Duration { return t.Sub(l.start) }

// Submission is one request that a client made. A message may be handed in several times, under a fresh trace each.
type Submission struct {
	Message    int // index among the plan's arrivals
	Try        int // 0: the first
	Trace      string
	Key        string
	Relay      int
	Due        time.Duration // when it was to be sent
	Sent       time.Duration // its last byte; Never if it was not written whole
	Deadline   time.Duration // the message's
	Answered   time.Duration // Never if no answer came
	Status     int
	RetryAfter time.Duration // told with a refusal
	Abandoned  bool          // its client went away before an answer
	ConnBroken bool          // the connection ended with no answer once the request was written
}

// Call is one call as it reached an endpoint.
type Call struct {
	Relay       int
	Endpoint    int
	Traces      []string
	Keys        []string
	FirstByte   time.Duration
	LastByte    time.Duration // Never if it did not come whole
	FirstOnConn bool          // the first on its connection
	Probe       bool
	Status      int           // of the answer; 0: none was written
	States      []string      // of a bundle's answer
	Written     time.Duration // the answer's; Never
	RetryAfter  time.Duration // told with it
	MayHaveRun  bool          // what became of it does not prove that it never ran
	Ran         bool
	Latency     time.Duration
	InOutage    bool // the endpoint was in an outage that had not ended
}

// Notice is a line of a POST to /v2/finals.
type Notice struct {
	Relay      int
	Trace      string
	Status     string
	RetryAfter time.Duration
	At         time.Duration
}

// ListChange is a change of the list that a relay's agent had, and so counts as told to it.
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
	Ready        time.Duration // its first 200 to /_health; Never
	StopSignaled time.Duration // SIGTERM or SIGKILL by the testbed; Never
	End          time.Duration // Never while it runs
	Exit         string        // how it ended
	EmptyState   bool          // it began with an empty folder
	Pauses       []Pause
	Replacement  bool // a process beside which it was started
}

// ViewChange is a change of what a relay sees of its fleet, by its own log.
type ViewChange struct {
	Relay, PID   int
	At           time.Duration
	Present      int
	Agreement    string
	Joined, Left []string // names
}

// Traffic is what a member's part in its fleet cost the network between two moments.
type Traffic struct {
	Relay    int
	From, To time.Duration
	Bytes    int64
}

// Recovery is a message that a restart found, with the time that it took it to have left.
type Recovery struct {
	Relay     int
	Trace     string
	At        time.Duration
	Remaining time.Duration
	// Attempts are those that its relay has on record, those among them that could not connect and reached no endpoint.
	Attempts int
}

// LearnedEnd is the end of a message that a relay has learned of from an endpoint.
type LearnedEnd struct {
	Relay int
	Trace string
	At    time.Duration
}

// Resubmission is one request under the id of an earlier one. It counts for no worth.
type Resubmission struct {
	Relay    int
	Trace    string
	Sent     time.Duration
	Deadline time.Duration // that it states
	Answered time.Duration // Never if no answer came
	Status   int
}

// Pause is a time for which a process stood still.
type Pause struct{ From, To time.Duration }

// HostilePeer is a hostile peer.
type HostilePeer struct {
	Relay     int
	Behavior  int
	At        time.Duration // it connected
	Rejected  time.Duration // an error or a close came; Never
	Status    int           // of an error; 0: a close
	RelayDown bool          // its relay was not there, or died, meanwhile
}

// Sample is what a process held at a moment.
type Sample struct {
	Relay, PID int
	At         time.Duration
	MemoryMB   float64
	Sockets    int
	DiskMB     float64
	CPU        time.Duration // used so far
}

// Outage is a time for which a scope, a destination or one endpoint of separate routes, failed or refused most calls.
type Outage struct {
	Scope         int // the testbed's number for it
	Partner       int
	From, To      time.Duration // To: Never until it is over
	Witnesses     map[int]bool  // relays whose calls failed there, or were refused, meanwhile
	Collapsed     time.Duration // pushed over after it; Never
	CollapseCalls int           // calls in the span that pushed it over
	WitnessCalls  int           // and those of them from witnesses
}

// LimitChange is a limit from a moment on.
type LimitChange struct {
	Partner int
	At      time.Duration
	Limit   float64
}

// UnexplainedCall is a call that no client's request explains.
type UnexplainedCall struct {
	Relay, Endpoint int
	At              time.Duration
	Reason          string
}

// New returns a ledger that begins now.
func New() *Ledger { return &Ledger{start: time.Now(), byTrace: map[string]*Submission{}} }

// Now is the time of the run.
func (l *Ledger) Now() time.Duration { return time.Since(l.start) }

// StartTime is when the run began.
func (l *Ledger) StartTime() time.Time { return l.start }

// Update changes records that were added before.
func (l *Ledger) Update(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f()
}

// AddSubmission adds a request that is about to be made.
func (l *Ledger) AddSubmission(h *Submission) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Submissions = append(l.Submissions, h)
	l.byTrace[h.Trace] = h
}

// Find returns the request with a trace; nil if there is none.
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
		l.Limits = append(l.Limits, x)
	case UnexplainedCall:
		l.UnexplainedCalls = append(l.UnexplainedCalls, x)
	case ViewChange:
		l.Views = append(l.Views, x)
	case Traffic:
		l.Traffic = append(l.Traffic, x)
	case Recovery:
		l.Recoveries = append(l.Recoveries, x)
	case LearnedEnd:
		l.LearnedEnds = append(l.LearnedEnds, x)
	case *Resubmission:
		l.Resubmissions = append(l.Resubmissions, x)
	default:
		panic(fmt.Sprintf("ledger: no place for %T", x))
	}
}
