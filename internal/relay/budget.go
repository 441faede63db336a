package relay

import (
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"

	"onyxroad.dev/onyxroad/policy"
)

// memoryKind is a kind of what peers make the relay hold.
type memoryKind int

// The kinds, in the order of memoryKindNames.
const (
	memoryConnections   memoryKind = iota // of clients, with the small requests on them
	memoryHeads                           // large heads that are being read
	memoryBodies                          // large bodies that are being read, or whose requests wait for their answers
	memoryMessages                        // messages that are held, without their bodies
	memoryMessageBodies                   // bodies of messages that are held, and of their calls
	memoryCalls                           // calls in progress, and connections to endpoints
	memoryList                            // discovery's list
	memoryEnds                            // remembered ends
	memoryKindCount
)

var memoryKindNames = [memoryKindCount]string{"connections", "heads", "bodies", "messages", "message_bodies", "calls", "list", "ends"}

// errNoRoom refuses what there is no memory for at the moment.
var errNoRoom = errors.New("no memory for it now")

const (
	defaultProgramBytes = 10_000_000
	programGrowth       = 600_000 // of the resident part of the program's file after the start
	bytesPerMB          = 1_000_000
)

// budget keeps the accounts of what peers make the relay hold. It is charged before memory is used.
type budget struct {
	mu      sync.Mutex
	needs   policy.MemoryNeeds
	plan    policy.MemoryPlan
	used    [memoryKindCount]int64
	refused [memoryKindCount]int64
}

// newBudget returns the budget of a relay with these limits. slots is how many calls it may have in progress.
func newBudget(limits Limits, slots int) *budget {
	b := &budget{needs: policy.MemoryNeeds{
		Limit: int64(limits.MemoryMB * bytesPerMB), Files: int64(limits.DiskMB * bytesPerMB), Program: programBytes(),
		Calls: int64(slots) * policy.EndpointConnectionBytes,
	}}
	b.plan = policy.PlanMemory(b.needs)
	return b
}

// programBytes is the resident part of the program's file and of its libraries.
func programBytes() int64 {
	const sharedField = 2
	data, err := os.ReadFile("/proc/self/statm")
	fields := strings.Fields(string(data))
	if err != nil || len(fields) <= sharedField {
		return defaultProgramBytes
	}
	pages, err := strconv.ParseInt(fields[sharedField], 10, 64)
	if err != nil {
		return defaultProgramBytes
	}
	return pages*int64(os.Getpagesize()) + programGrowth
}

// upgradeShare is the fraction of the limits on connections that each process has while two share them.
const upgradeShare = 0.5

// replan divides the memory anew after a change of the needs. It returns the new plan, and which fraction of the limits on connections
// this process has.
func (b *budget) replan(change func(*policy.MemoryNeeds)) (plan policy.MemoryPlan, share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	change(&b.needs)
	b.plan = policy.PlanMemory(b.needs)
	if b.needs.Upgrading {
		return b.plan, upgradeShare
	}
	return b.plan, 1
}

// ownChangeBytes is the change of the relay's own needs from which the memory is divided anew.
const ownChangeBytes = 128 << 10

// ownChanged reports whether the relay's own needs differ much from those that the plan knows.
func (b *budget) ownChanged(bytes int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return max(bytes-b.needs.Own, b.needs.Own-bytes) > ownChangeBytes
}

// largeBytes is what large requests and the bodies of messages take. Called with mu held.
func (b *budget) largeBytes() int64 {
	return b.used[memoryHeads] + b.used[memoryBodies] + b.used[memoryMessageBodies]
}

// takeLarge charges a part of a request that is not small. It returns errNoRoom if there is no room.
func (b *budget) takeLarge(kind memoryKind, bytes int64) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.hasRoom(bytes, bytes) {
		b.refused[kind]++
		return errNoRoom
	}
	b.used[kind] += bytes
	return nil
}

// give returns what was taken.
func (b *budget) give(kind memoryKind, bytes int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used[kind] -= bytes
}

// set charges what a kind uses now, whether or not there is room: it is needed for what has been accepted.
func (b *budget) set(kind memoryKind, bytes int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used[kind] = bytes
}

// hasRoom reports whether there is room for so many more bytes, of which a part belongs to large requests. Called with mu held.
func (b *budget) hasRoom(bytes, large int64) bool {
	if large > 0 && b.largeBytes()+large > b.plan.Large {
		return false
	}
	// After a start or a hand-over, large messages may take more than their share. That is not at the expense of small ones.
	return min(b.largeBytes(), b.plan.Large)+b.used[memoryMessages]+bytes <= b.plan.Requests
}

// admits reports whether a further message may be held, in addition to pending bytes that are not charged yet.
func (b *budget) admits(body int, pending int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	cost, large := messageCost(body)+pending, int64(0)
	if body > policy.SmallRequestBytes {
		large = cost
	}
	if b.hasRoom(cost, large) {
		return true
	}
	b.refused[memoryMessages]++
	return false
}

// admitsFrom reports whether a connection whose messages take so much may have a further one, in addition to pending bytes that are
// not charged yet. Who floods is refused before others are.
func (b *budget) admitsFrom(held int64, body int, pending int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	used := min(b.largeBytes(), b.plan.Large) + b.used[memoryMessages] + pending
	if held+messageCost(body) <= b.plan.ConnectionShare(used) {
		return true
	}
	b.refused[memoryMessages]++
	return false
}

// messageCost is the memory of a message that is held, with a copy of its body in a call.
func messageCost(body int) int64 { return policy.MessageBytes + 2*int64(body) }

// String formats the accounts for /api/telemetry.
func (b *budget) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var text strings.Builder
	for kind, name := range memoryKindNames {
		fmt.Fprintf(&text, "\nrelay.memory.%s:%d|g\nrelay.memory_refused.%s:%d|c", name, b.used[kind], name, b.refused[kind])
	}
	fmt.Fprintf(&text, "\nrelay.memory_room.requests:%d|g\nrelay.memory_room.connections:%d|g\nrelay.memory_peak:%d|g", b.plan.Requests,
		int64(b.plan.Connections)*policy.ConnectionBytes, peakResidentBytes())
	return text.String()
}

// peakResidentBytes is the largest resident memory of this process so far; 0 if the system does not tell.
func peakResidentBytes() int64 {
	data, err := os.ReadFile("/proc/self/status")
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(data), "VmHWM:")
	fields := strings.Fields(rest)
	if len(fields) == 0 {
		return 0
	}
	kilobytes, _ := strconv.ParseInt(fields[0], 10, 64)
	return kilobytes << 10
}

// requestMemory is what one request has been charged. It is not safe for concurrent use.
type requestMemory struct {
	budget *budget
	taken  [memoryKindCount]int64
}

// grow charges a request for a kind that now needs size bytes. It returns errNoRoom if there is no room.
func (m *requestMemory) grow(kind memoryKind, size int64) error {
	more := size - m.taken[kind]
	if m.budget == nil || more <= 0 {
		return nil
	}
	if err := m.budget.takeLarge(kind, more); err != nil {
		return err
	}
	m.taken[kind] = size
	return nil
}

// release returns all that the request has been charged.
func (m *requestMemory) release() {
	for kind, bytes := range m.taken {
		if bytes > 0 {
			m.budget.give(memoryKind(kind), bytes)
			m.taken[kind] = 0
		}
	}
}

// parsedHeadFactor is how much more memory a head of repeated fields takes once it is parsed.
const parsedHeadFactor = 6

// chargedBody is what the submission's request has been charged for its body: its message takes over that room.
func (in *submission) chargedBody() int64 {
	if in.client == nil {
		return 0
	}
	return in.client.memory.taken[memoryBodies]
}

// growHead charges a request for a head of size bytes.
func (m *requestMemory) growHead(size int) error {
	if size <= policy.SmallRequestBytes {
		return nil
	}
	return m.grow(memoryHeads, parsedHeadFactor*int64(size))
}

// growBody charges a request for a body of size bytes.
func (m *requestMemory) growBody(size int) error {
	if size <= policy.SmallRequestBytes {
		return nil
	}
	return m.grow(memoryBodies, int64(size))
}
