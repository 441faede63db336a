package policy

import "time"

// Effect tells what may happen if a message of a class is delivered more than once.
type Effect int

// The effects.
const (
	Safe   Effect = iota // may be repeated, and refused at any time
	Keyed                // repeats are dropped within a group of routes and a window
	Unsafe               // must never take effect twice
)

// Outcome is how an attempt or a probe ended.
type Outcome int

// The outcomes of an attempt. Full, ConnectFailed and NotRun prove that the message did not run.
const (
	OK            Outcome = iota // delivered
	Error                        // answered with an error
	Full                         // refused: the route is at its limit or unavailable
	Timeout                      // no answer in time
	ConnectFailed                // no connection, or the request was not written completely
	Reset                        // the connection ended before the answer
	Cancelled                    // the sender ended the call
	NotRun                       // did not run, for a reason that says nothing about the health of the route
)

// Class is one class of message.
type Class struct {
	Effect   Effect
	GroupAll bool          // Keyed: all routes of the destination share dropped repeats; else the routes of one zone do
	Window   time.Duration // Keyed: how long repeats are dropped, from the first send that may have run
	Ordered  bool          // messages with the same key are sent one after another
	Aim      time.Duration // a message delivered within this earns its full worth
	GiveUp   time.Duration // how long after its acceptance a message may be delivered
	Value    float64       // worth of a message; default 1
}

// Kind is one kind of destination.
type Kind struct {
	Separate bool // each route has its own limit, pace and outages
	PerCall  int  // maximum of messages in a call; default 1
}

// Customer is one customer of the service.
type Customer struct {
	Quota float64 // messages a second within its share, over all senders; 0: no share is set
}

// Settings configure a Sender. Zero values of optional fields mean their defaults.
type Settings struct {
	Classes        []Class
	Kinds          []Kind
	Customers      []Customer
	Senders        int           // number of senders in the fleet; default 1
	Zone           int           // this sender's zone; default the first
	Slots          int           // maximum of calls out at once; 0: no limit
	MaxHeld        int           // maximum of messages held at once; 0: no limit
	MaxAttempts    int           // maximum of attempts for a message; 0: no limit
	MaxRetryAfter  time.Duration // longest Retry-After that clients heed; 0: none is sent
	RoughWeights   bool          // listed weights may be too high or too low by half
	NoWeights      bool          // listed weights carry no information
	WatchRequired  bool          `json:"AskList"`  // list changes are sent only after a Watch action
	ZoneFees       []float64     `json:"Carriage"` // fee for each zone of a separate route
	ColdShare      float64       // share of its capacity that a destination has just after an outage; default 0.1
	WarmWithin     time.Duration // time after which it has all of its capacity; default 30 s
	OverloadFactor float64       // a destination fails if it is sent more than this multiple of its capacity; default 1
	OverloadWindow time.Duration // for this long; default 3 s
	OrderPause     time.Duration // pause of a key after an attempt that may still run
}

// Listing is an entry of the list of routes.
type Listing struct {
	Route       string
	Destination int
	Kind        int
	Zone        int
	Weight      float64 // calls a second from all senders together; 0: unknown
	InService   bool    // false: draining
	Gone        bool    // removed from the list
}

// EventKind is the kind of an Event.
type EventKind int

// The kinds of events.
const (
	Accepted    EventKind = iota // a message was accepted from a client
	Finished                     // an attempt has its outcome
	Withdrawn                    // the client no longer waits
	ListFull                     // the whole list of routes
	ListChanges                  // changes to the list
	ListFailed                   // a request for the list failed
	Woken                        // the time of a Wake action has come
	Probed                       // a probe has its outcome
	Excluded                     // an operator has excluded Route from use, until it is Included
	Included                     // an operator has included Route again
)

// Report is what a destination reports about its limit. It is delayed and noisy.
type Report struct {
	Present   bool    `json:"Told"` // the answer carried a report
	Remaining float64 `json:"Left"` // share of the limit that is left
	Limit     float64 // calls a second; 0: no limit
}

// ResumedMessage is what an earlier process recorded about a message that it had accepted. A call that was out when that
// process ended may have run.
type ResumedMessage struct {
	Attempts     int                 // number of attempts made
	MayHaveRun   bool                // an attempt may have run
	FirstRunAgo  time.Duration       // how long ago the first such attempt was sent
	FirstRunZone int                 // the zone to which it was sent
	Outstanding  *OutstandingAttempt // an attempt that is still out at a process that handed over; nil if none
}

// MinRetryAfter is the shortest Retry-After for a client that is turned away.
const MinRetryAfter = minRetryAfter

// Event is an observation that is given to a Sender.
type Event struct {
	Kind EventKind
	ID   uint32 // of the message

	// Accepted
	Key         string
	Class       int
	Customer    int
	Destination int
	TimeLeft    time.Duration   // time left to the deadline
	Resumed     *ResumedMessage // state from an earlier process; nil if new

	// Finished, Probed; Excluded and Included use only Route
	Attempt      int
	Route        string
	Outcome      Outcome
	Took         time.Duration
	MessageEnded bool          // the message has its final answer
	RetryAfter   time.Duration // wait that came with the outcome; 0: none
	Report       Report

	// ListFull, ListChanges
	List []Listing
}

// ActionKind is the kind of an Action.
type ActionKind int

// The kinds of actions.
const (
	Send      ActionKind = iota // start an attempt
	Refuse                      // end the message with a refusal; the client may safely submit it again
	Fail                        // end the message with a failure; it may or may not have run
	Wake                        // request a Woken event after Delay
	CloseIdle                   // close the idle connections to Route
	Watch                       // subscribe to list changes
)

// ExpiredUnsent is the final action for a message that waited outside a Sender and reached its deadline before any send.
// It has not run, so that its client may submit it again.
const ExpiredUnsent = Refuse

// Action is a decision of a Sender.
type Action struct {
	Kind      ActionKind
	ID        uint32
	Route     string
	Call      uint32        // Send: number of its call; attempts with the same number share a call
	TimeoutAt time.Duration // Send: when the attempt times out
	Delay     time.Duration // Refuse: Retry-After for the client; Wake: time from now
}
