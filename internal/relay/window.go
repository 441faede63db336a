package relay

import (
	"cmp"
	"math"
	"slices"
)

// window is what the module is given of all that is owed, by destination, where a backlog is kept. It knows destinations
// and room, and nothing of routes: of each destination so many messages at most, of all together so many that were never
// sent. It is apart from I/O, and belongs to the loop.
type window struct {
	maxUnsent  int // messages at the module that were never sent
	maxPerDest int // of each destination, sent or not
	maxHeld    int // at the module, sent or not
	dests      map[int]*destWindow
	held       int // at the module
	sent       int // of these, sent at least once
	onDisk     int // on disk, or on the way there
	loadQueue  []*destWindow
}

// destWindow is what the window knows of one destination.
type destWindow struct {
	dest    int
	held    int        // at the module
	unsent  []*message // of these, in no order
	onDisk  int        // on disk, or on the way there
	loading bool       // messages of it are on their way back
	queued  bool       // it is among those that may have room
}

func newWindow(size int, share float64, most int) *window {
	w := &window{maxUnsent: size, maxPerDest: max(1, int(share*float64(size))), maxHeld: 4 * size, dests: map[int]*destWindow{}}
	if most > 0 {
		// The module's own room is for what it has; it never gets so near as to refuse for lack of it.
		w.maxHeld = min(w.maxHeld, most*4/5)
		w.maxUnsent = max(1, min(w.maxUnsent, w.maxHeld/2))
		w.maxPerDest = min(w.maxPerDest, w.maxUnsent)
	}
	return w
}

// dest is a destination's.
func (w *window) dest(dest int) *destWindow {
	c := w.dests[dest]
	if c == nil {
		c = &destWindow{dest: dest}
		w.dests[dest] = c
	}
	return c
}

// fairShare is how many messages of a destination may be at the module where all that owe something get the same.
func (w *window) fairShare() int { return min(w.maxPerDest, max(1, w.maxUnsent/max(1, len(w.dests)))) }

// admits tells whether a new message of a destination may go to the module at once. Not before what is on disk of the same.
func (w *window) admits(dest int) bool {
	c := w.dests[dest]
	return w.held < w.maxHeld && (c == nil || c.onDisk == 0 && c.held < w.maxPerDest || !storable(dest))
}

// storable tells whether the store knows such numbers of destinations.
func storable(dest int) bool { return int64(dest) <= math.MaxUint32 }

// add books a message that the module is given.
func (w *window) add(m *message) {
	c := w.dest(m.Dest)
	c.held++
	w.held++
	m.cell = c
	if m.sends == 0 {
		m.place = len(c.unsent)
		c.unsent = append(c.unsent, m)
		return
	}
	m.place = -1
	w.sent++
}

// markSent books a message's first send.
func (w *window) markSent(m *message) {
	if m.cell != nil && m.place >= 0 {
		w.removeUnsent(m)
		w.sent++
	}
}

func (w *window) removeUnsent(m *message) {
	c := m.cell
	last := c.unsent[len(c.unsent)-1]
	c.unsent[m.place], last.place = last, m.place
	c.unsent[len(c.unsent)-1] = nil
	c.unsent, m.place = c.unsent[:len(c.unsent)-1], -1
}

// remove books a message that the module has done with.
func (w *window) remove(m *message) {
	c := m.cell
	if c == nil {
		return
	}
	if m.place >= 0 {
		w.removeUnsent(m)
	} else {
		w.sent--
	}
	m.cell = nil
	c.held--
	w.held--
	w.queueLoad(c)
	w.dropIfEmpty(c)
}

// addOnDisk books messages that come to the disk or go from there.
func (w *window) addOnDisk(dest, n int) {
	c := w.dest(dest)
	c.onDisk += n
	w.onDisk += n
	w.queueLoad(c)
	w.dropIfEmpty(c)
}

// queueLoad has a destination looked at for room.
func (w *window) queueLoad(c *destWindow) {
	if c.onDisk > 0 && !c.queued {
		c.queued = true
		w.loadQueue = append(w.loadQueue, c)
	}
}

func (w *window) dropIfEmpty(c *destWindow) {
	if c.held == 0 && c.onDisk == 0 && !c.loading {
		delete(w.dests, c.dest)
	}
}

// loadRequest is how many messages of a destination shall come back from the disk.
type loadRequest struct{ dest, n int }

// nextLoads says what shall come back now, most messages in all: of destinations in the order in which they came to have room.
// Half of a destination's share is waited for, so that few reads bring many.
func (w *window) nextLoads(limit int) (all []loadRequest) {
	share := w.fairShare()
	room := w.maxUnsent - (w.held - w.sent)
	if share > 1 {
		// Those that have more than their share make way for those that have less: see excess. With more destinations than
		// room for a message of each, this would have them change places for ever.
		room = max(room, w.maxUnsent/16)
	}
	room = min(room, w.maxHeld-w.held)
	queue := w.loadQueue
	w.loadQueue = nil
	for i, c := range queue {
		if limit <= 0 || room <= 0 {
			w.loadQueue = append(w.loadQueue, queue[i:]...)
			break
		}
		if c.queued = false; c.onDisk == 0 || c.loading || c.held > share/2 {
			continue // it wants again when a message of it ends
		}
		n := min(share-c.held, c.onDisk, limit, room)
		c.loading = true
		all = append(all, loadRequest{c.dest, n})
		limit, room = limit-n, room-n
	}
	return all
}

// finishLoad books that a load is over, whatever came of it.
func (w *window) finishLoad(dest int) {
	if c := w.dests[dest]; c != nil {
		c.loading = false
		w.queueLoad(c)
		w.dropIfEmpty(c)
	}
}

// excess picks what has to leave the module for the disk, so that the window holds no more than its size, and so many at
// least: of those destinations that have most the least urgent, and none that may not leave. It frees a sixteenth at once.
func (w *window) excess(atLeast int, evictable func(*message) bool) (all []*message) {
	over := max(atLeast, w.held-w.sent-w.maxUnsent)
	if over <= 0 {
		return nil
	}
	need := over
	over += w.maxUnsent / 16
	share := w.fairShare()
	cells := make([]*destWindow, 0, len(w.dests))
	for _, c := range w.dests {
		if len(c.unsent) > 0 {
			cells = append(cells, c)
		}
	}
	slices.SortFunc(cells, func(a, b *destWindow) int { return cmp.Or(b.held-a.held, a.dest-b.dest) })
	for _, keep := range []int{share, 0} {
		for _, c := range cells {
			if n := min(over-len(all), c.held-keep, len(c.unsent)); n > 0 {
				all = append(all, c.leastUrgent(n, evictable)...)
			}
		}
		if len(all) >= need {
			break // who has no more than the others keeps it
		}
	}
	return all
}

// leastUrgent are the n leastUrgent urgent messages that were never sent and may leave. With one, all that come after it by its order
// leave: an order of the same key must hold.
func (c *destWindow) leastUrgent(n int, evictable func(*message) bool) []*message {
	all := slices.Clone(c.unsent)
	slices.SortFunc(all, func(a, b *message) int { return cmp.Or(cmp.Compare(b.rank(), a.rank()), cmp.Compare(b.ID, a.ID)) })
	all = all[:min(n, len(all))]
	if i := slices.IndexFunc(all, func(m *message) bool { return !evictable(m) }); i >= 0 {
		all = all[:i]
	}
	return all
}

// rank is a message's place in its destination's order.
func (m *message) rank() int64 {
	if m.Rank == 0 {
		return m.Deadline.UnixNano()
	}
	return m.Rank
}

// noDeadline is later than any deadline.
const noDeadline = math.MaxInt64
