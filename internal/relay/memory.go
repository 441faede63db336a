package relay

import (
	"runtime/debug"

	"onyxroad.dev/onyxroad/policy"
)

// What the relay's loop and its limits have to do with the budget of memory.

// Memory of remembered ends.
const (
	recentEndBytes    = 64   // of one of the latest
	maxRecentEnds     = 8192 // the others are archived
	archiveMemoryCost = 1.6  // bytes for each byte of the archive on disk
)

// divideMemory divides the memory anew after a change of the needs, and adapts the limits on connections.
func (r *Relay) divideMemory(change func(*policy.MemoryNeeds)) {
	plan, share := r.budget.replan(change)
	if r.cfg.OwnsProcess {
		debug.SetMemoryLimit(plan.Runtime)
	}
	r.clients.setLimit(min(r.socketLimit(share*clientSocketShare), plan.Connections))
	memoryLimit := int(plan.Requests / policy.EndpointConnectionBytes)
	r.hosts.setMaxConns(min(r.socketLimit(share*endpointSocketShare), max(memoryLimit, r.cfg.Settings.Slots)))
}

// returnMemory gives memory that is no longer used back to the system, in the background.
func (r *Relay) returnMemory() {
	if r.cfg.OwnsProcess {
		go debug.FreeOSMemory()
	}
}

// Shares of the descriptors.
const (
	clientSocketShare   = 9. / 20 // clients with requests need a third; the rest is for slow disconnects
	endpointSocketShare = 3. / 8
)

// socketLimit is how many descriptors a share of them is.
func (r *Relay) socketLimit(share float64) int { return int(share * float64(r.cfg.Limits.Sockets)) }

// loggedMessageBytes is what a message takes in the log besides its body.
const loggedMessageBytes = 400

// chargeMemory charges what the loop holds. Called once a step.
func (r *Relay) chargeMemory() {
	count := int64(len(r.msgs))
	bodies := max(0, r.wal.LiveBytes()-count*loggedMessageBytes)
	r.budget.set(memoryMessages, count*policy.MessageBytes)
	r.budget.set(memoryMessageBodies, 2*bodies) // a call has a copy of the body
	r.budget.set(memoryCalls, int64(r.callsOut)*policy.EndpointConnectionBytes)
}

// chargeOwnMemory charges what the relay needs for itself, and leaves peers what remains.
func (r *Relay) chargeOwnMemory() {
	list := int64(len(r.routes)) * policy.ListEntryBytes
	stats := r.wal.CompletionStats()
	remembered := 0
	for _, n := range stats.Remembered {
		remembered += n
	}
	ends := int64(min(remembered, maxRecentEnds))*recentEndBytes + int64(archiveMemoryCost*float64(stats.ArchiveBytes))
	r.budget.set(memoryList, list)
	r.budget.set(memoryEnds, ends)
	r.budget.set(memoryConnections, int64(r.clients.count())*policy.ConnectionBytes)
	if r.budget.ownChanged(list + ends) {
		r.divideMemory(func(n *policy.MemoryNeeds) { n.Own = list + ends })
	}
}
