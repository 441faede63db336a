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
	began time.Time

	mu       sync.Mutex
	HandIns  []*HandIn
	Calls    []*Call
	Notices  []Notice
	Told     []Told
	Lives    []*Life
	Peers    []Peer
	Samples  []Sample
	Outages  []*Outage
	Limits   []LimitChange
	Unknowns []Unknown
	Views    []ViewChange
	Traffic  []Traffic
	// Recovered is what restarts told of the messages that they found, where relays log it.
	Recovered []Recovered
	// Learned are the ends that relays have learned of from endpoints, where they log them.
	Learned []Learned
	// Resubmissions are ids that were handed in again.
	Resubmissions []*Resubmission

	byTrace map[string]*HandIn
}

// At is a moment of the wall clock, as the ledger counts.
func (l *Ledger) At(t time.Time) time.Duration { return t.Sub(l.began) }

// HandIn is one request that a client made. A message may be handed in several times, under a fresh trace each.
type HandIn struct {
	Message  int // index among the plan's arrivals
	Try      int // 0: the first
	Trace    string
	Key      string
	Relay    int
	Due      time.Duration // when it was to be sent
	Sent     time.Duration // its last byte; Never if it was not written whole
	Deadline time.Duration // the message's
	Answered time.Duration // Never if no answer came
	Status   int
	Again    time.Duration // told with a refusal
	Left     bool          // its client went away before an answer
	Broken   bool          // the connection ended with no answer once the request was written
}

// Call is one call as it reached an endpoint.
type Call struct {
	Relay     int
	Endpoint  int
	Traces    []string
	Keys      []string
	FirstByte time.Duration
	LastByte  time.Duration // Never if it did not come whole
	Fresh     bool          // the first on its connection
	Probe     bool
	Status    int           // of the answer; 0: none was written
	States    []string      // of a bundle's answer
	Written   time.Duration // the answer's; Never
	Wait      time.Duration // told with it
	MayRun    bool          // what became of it does not prove that it never ran
	Ran       bool
	Work      time.Duration
	Outage    bool // the endpoint was in an outage that had not ended
}

// Notice is a line of a POST to /v2/finals.
type Notice struct {
	Relay  int
	Trace  string
	Status string
	Again  time.Duration
	At     time.Duration
}

// Told is a change of the list that a relay's agent had, and so counts as told to it.
type Told struct {
	Relay    int
	Endpoint int
	State    string // "ready", "draining" or "gone"
	At       time.Duration
}

// Life is one process of a relay.
type Life struct {
	Relay    int
	PID      int
	Start    time.Duration
	Ready    time.Duration // its first 200 to /_health; Never
	Asked    time.Duration // SIGTERM or SIGKILL by the testbed; Never
	End      time.Duration // Never while it runs
	Exit     string        // how it ended
	Emptied  bool          // it began with an empty folder
	Paused   []Pause
	Replaces bool // a process beside which it was started
}

// ViewChange is a change of what a relay sees of its fleet, by its own log.
type ViewChange struct {
	Relay, PID int
	At         time.Duration
	Present    int
	Agreement  string
	Came, Gone []string // names
}

// Traffic is what a member's part in its fleet cost the network between two moments.
type Traffic struct {
	Relay    int
	From, To time.Duration
	Bytes    int64
}

// Recovered is a message that a restart found, with the time that it took it to have left.
type Recovered struct {
	Relay int
	Trace string
	At    time.Duration
	Left  time.Duration
	// Attempts are those that its relay has on record, those among them that could not connect and reached no endpoint.
	Attempts int
}

// Learned is the end of a message that a relay has learned of from an endpoint.
type Learned struct {
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

// Peer is a hostile peer.
type Peer struct {
	Relay  int
	Way    int
	At     time.Duration // it connected
	Ended  time.Duration // an error or a close came; Never
	Status int           // of an error; 0: a close
	Excuse bool          // its relay was not there, or died, meanwhile
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
	Scope    int // the testbed's number for it
	Partner  int
	From, To time.Duration // To: Never until it is over
	Witness  map[int]bool  // relays whose calls failed there, or were refused, meanwhile
	Fell     time.Duration // pushed over after it; Never
	Pushed   int           // calls in the span that pushed it over
	ByThose  int           // and those of them from witnesses
}

// LimitChange is a limit from a moment on.
type LimitChange struct {
	Partner int
	At      time.Duration
	Limit   float64
}

// Unknown is a call that no client's request explains.
type Unknown struct {
	Relay, Endpoint int
	At              time.Duration
	What            string
}

// New returns a ledger that begins now.
func New() *Ledger { return &Ledger{began: time.Now(), byTrace: map[string]*HandIn{}} }

// Now is the time of the run.
func (l *Ledger) Now() time.Duration { return time.Since(l.began) }

// Began is when the run began.
func (l *Ledger) Began() time.Time { return l.began }

// Do changes records that were added before.
func (l *Ledger) Do(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f()
}

// HandIn adds a request that is about to be made.
func (l *Ledger) HandIn(h *HandIn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.HandIns = append(l.HandIns, h)
	l.byTrace[h.Trace] = h
}

// Find returns the request with a trace; nil if there is none.
func (l *Ledger) Find(trace string) *HandIn {
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
	case Told:
		l.Told = append(l.Told, x)
	case *Life:
		l.Lives = append(l.Lives, x)
	case Peer:
		l.Peers = append(l.Peers, x)
	case Sample:
		l.Samples = append(l.Samples, x)
	case *Outage:
		l.Outages = append(l.Outages, x)
	case LimitChange:
		l.Limits = append(l.Limits, x)
	case Unknown:
		l.Unknowns = append(l.Unknowns, x)
	case ViewChange:
		l.Views = append(l.Views, x)
	case Traffic:
		l.Traffic = append(l.Traffic, x)
	case Recovered:
		l.Recovered = append(l.Recovered, x)
	case Learned:
		l.Learned = append(l.Learned, x)
	case *Resubmission:
		l.Resubmissions = append(l.Resubmissions, x)
	default:
		panic(fmt.Sprintf("ledger: no place for %T", x))
	}
}
