package policy

// This file divides a relay's memory between what the program needs and what its peers may make it hold. Decisions about
// single requests follow from these figures; package relay keeps the accounts.

// Costs in bytes of memory, with what the runtime needs to manage them.
const (
	// ConnectionBytes is the cost of a client's connection with a small request on it: its goroutines, its buffers, and the
	// parsed request.
	ConnectionBytes = 10 << 10
	// SmallRequestBytes is the size up to which a body belongs to its connection's cost.
	SmallRequestBytes = 4 << 10
	// MessageBytes is the cost of a message that is held, besides its body.
	MessageBytes = 1300
	// EndpointConnectionBytes is the cost of a connection to an endpoint.
	EndpointConnectionBytes = 10 << 10
	// ListEntryBytes is the cost of an endpoint in the list.
	ListEntryBytes = 500
)

// LargeLogShare is the fraction of the log's room for new work that requests may take which are not small.
const LargeLogShare = 0.6

const (
	runtimeBytes     = 5_900_000 // that the runtime counts in a process at rest
	untouchedBytes   = 4_000_000 // part of them that is reserved but never resident
	nextProcessBytes = 3_000_000 // of the next process of an upgrade until this one hands over
	leastRuntime     = 8_000_000
	leastConnections = 32
	leastRequests    = 256 << 10
	leastLarge       = MessageBytes + 2*64<<10 // a message with the largest body, and a copy of it in a call
	largeGarbage     = 250_000                 // that large requests leave until it is collected

	runtimeShare    = 0.7  // of the memory limit, that the runtime may use at most
	filesShare      = 0.15 // of the memory limit, that the folder's files count for at most
	peersShare      = 0.6  // of what the runtime has left; garbage that waits for its collection needs the rest
	connectionShare = 0.45 // of what peers may make the relay hold
	largeShare      = 0.5  // of what requests may take, for those that are not small
)

// MemoryNeeds is what a relay's memory has to hold besides what its peers make it hold. All sizes are in bytes.
type MemoryNeeds struct {
	Limit     int64 // for all processes of the relay, and for the files of its folder
	Files     int64 // largest size of the folder's files
	Program   int64 // resident part of the program's file and of the libraries
	Own       int64 // lists and remembered ends
	Calls     int64 // calls that accepted messages need to end
	Upgrading bool  // two processes share the limit
}

// MemoryPlan is how a relay's memory is divided. All sizes are in bytes.
type MemoryPlan struct {
	Runtime     int64 // soft limit of the language's runtime
	Connections int   // most connections of clients
	Requests    int64 // for requests and messages, besides what belongs to their connections
	Large       int64 // part of Requests for large heads and for bodies that are not small
}

// connectionFactor bounds what the messages of one client's connection may take, as a multiple of the room that is free. A single
// connection then leaves a quarter to others, and the shares of several are equal (dynamic thresholds, as in switch buffers).
const connectionFactor = 3

// ConnectionShare is how many bytes of Requests the messages of one client's connection may take while so many are used.
func (p MemoryPlan) ConnectionShare(used int64) int64 {
	return connectionFactor * max(0, p.Requests-used)
}

// PlanMemory divides a relay's memory. Even the smallest limit leaves room for some connections and small requests.
func PlanMemory(n MemoryNeeds) MemoryPlan {
	// Room for a second process is kept at all times, because an upgrade starts it without a word.
	left := n.Limit - min(n.Files, int64(filesShare*float64(n.Limit))) - 2*n.Program
	if n.Upgrading {
		left /= 2
	} else {
		left -= nextProcessBytes
	}
	runtime := max(leastRuntime, min(left+untouchedBytes, int64(runtimeShare*float64(n.Limit))))
	peers := int64(peersShare * float64(runtime-runtimeBytes-n.Own-n.Calls))
	connections := int64(connectionShare * float64(peers))
	requests := max(leastRequests, peers-connections)
	return MemoryPlan{
		Runtime:     runtime,
		Connections: max(leastConnections, int(connections/ConnectionBytes)),
		Requests:    requests,
		Large:       max(leastLarge, int64(largeShare*float64(requests))-largeGarbage),
	}
}
