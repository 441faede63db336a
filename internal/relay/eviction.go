package relay

import (
	"runtime"
	"time"

	"onyxroad.dev/onyxroad/internal/clock"
)

// Room for connections of clients: how many there may be, and which are closed for others.

const (
	readyDelay       = 5 * time.Millisecond // of a goroutine that is ready to run, above which no connection is accepted
	maxProcessorWait = 20 * time.Millisecond
	acceptBatch      = 8                      // connections that are accepted between two such waits
	spareShare       = 8                      // one connection in so many is kept free
	evictedReadTime  = time.Millisecond       // long enough to read what has arrived
	silentGrace      = 60 * time.Millisecond  // connections that send nothing for longer are closed first
	slowGrace        = 30 * time.Millisecond  // and those whose request arrives for longer
	keptGrace        = 250 * time.Millisecond // clients that use their connections send again within this
	idleGrace        = 2 * time.Second        // connections idle for longer may be closed without need
)

// makeRoom waits until the limit allows another connection, and asks one to close if necessary. If forced, it asks one in
// any case.
func (cs *clients) makeRoom(forced bool) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	now := clock.Now()
	if forced {
		if c := cs.leastNeeded(now); c != nil {
			cs.evict(c)
		}
	}
	spare := newcomerLimit(cs.limit) / spareShare
	if cs.free()+cs.closing < spare/2 {
		cs.evictSlow(spare) // ahead of need, because it takes their goroutines a while
	}
	for cs.free() <= 0 {
		if cs.free()+cs.closing <= 0 && !cs.evictOne(rankIdle) {
			time.AfterFunc(slowGrace, func() { cs.mu.Lock(); cs.changed.Broadcast(); cs.mu.Unlock() })
		}
		cs.changed.Wait()
	}
	now = clock.Now()
	// Clients that send one request and keep the connection must not fill the table for good. Regular clients are seldom
	// affected, since their connections are in use.
	if len(cs.conns) > cs.keepAliveLimit {
		for c := range cs.conns {
			if c.phase == phaseIdle && now.Sub(c.since) > idleGrace {
				cs.requestClose(c)
			}
		}
	}
}

// A newcomer is a connection that has not been kept alive after an answer. Their number is limited, so that a crowd of them
// leaves the processor to clients that keep their connections.
const (
	newcomerShare  = 3 // one connection in so many may be a newcomer's
	usualNewcomers = 128
)

// newcomerLimit is how many of limit connections may be newcomers'.
func newcomerLimit(limit int) int { return max(limit/newcomerShare, min(limit, usualNewcomers)) }

// free is how many more connections may be accepted. Called with mu held.
func (cs *clients) free() int {
	newcomers := len(cs.conns) - cs.kept
	return min(cs.limit-len(cs.conns), newcomerLimit(cs.limit)-newcomers)
}

// awaitIdleProcessor waits until the goroutines that are ready to run get their turn soon, so that a crowd of new connections
// does not delay the requests of those that exist. It waits for maxProcessorWait at most.
func awaitIdleProcessor() {
	for began := clock.Now(); ; {
		turn := clock.Now()
		runtime.Gosched()
		now := clock.Now()
		if now.Sub(turn) < readyDelay || now.Sub(began) > maxProcessorWait {
			return
		}
	}
}

// evictSlow asks up to count connections to close that send slowly or, if there are not so many, send nothing.
func (cs *clients) evictSlow(count int) {
	now := clock.Now()
	for rank := rankSlow; rank <= rankSilent; rank++ {
		for c := range cs.conns {
			if count <= 0 {
				return
			}
			if c.rank(now) == rank {
				cs.evict(c)
				count--
			}
		}
	}
}

// evictOne asks the connection that is needed least to close. It returns false if all have a higher rank.
func (cs *clients) evictOne(highest int) bool {
	now := clock.Now()
	c := cs.leastNeeded(now)
	if c == nil || c.rank(now) > highest {
		return false
	}
	cs.evict(c)
	return true
}

// evict asks a connection to close for lack of room. Called with mu held.
func (cs *clients) evict(c *client) {
	cs.causes.count(evictionCauses[c.phase])
	c.evicted = true
	cs.requestClose(c)
}

// Ranks of connections when room is short: those with the lowest are closed first, and those needed not at all.
const (
	rankSlow   = iota // a request arrives slowly, or the rest of a refused one
	rankSilent        // nothing has arrived for a while
	rankIdle          // and has been for longer than clients that use their connections
	rankKept          // idle for a moment
	rankNeeded
)

// rank tells how much a connection is needed. One whose request may be about to arrive, or is arriving at once, is needed.
func (c *client) rank(now time.Time) int {
	age := now.Sub(c.since)
	switch {
	case c.closeRequested:
		return rankNeeded
	case c.phase == phaseSilent && age > silentGrace:
		return rankSilent
	case (c.phase == phaseReading || c.phase == phaseLingering) && age > slowGrace:
		return rankSlow
	case c.phase == phaseIdle && age > keptGrace:
		return rankIdle
	case c.phase == phaseIdle:
		return rankKept
	}
	return rankNeeded
}

// leastNeeded returns the connection to close when room is short; nil if all are needed or closing.
func (cs *clients) leastNeeded(now time.Time) *client {
	var least *client
	leastRank := rankNeeded
	for c := range cs.conns {
		rank := c.rank(now)
		if rank < leastRank || rank == leastRank && least != nil && c.since.Before(least.since) {
			least, leastRank = c, rank
		}
	}
	return least
}

// keep reports whether a connection may be kept alive after its answer. Called with mu held.
func (cs *clients) keep(c *client) bool {
	if !c.kept && cs.kept < cs.keepAliveLimit {
		c.kept = true
		cs.kept++
		cs.changed.Signal()
	}
	return c.kept && cs.kept <= cs.keepAliveLimit
}
