package relay

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

// window limits which messages are at the module when there is a backlog. It limits the messages of each destination,
// and the messages of all destinations that were never sent; it knows nothing of routes. It does no I/O and is owned by
// the loop.
type window struct {
	maxUnsent  int // limit on messages at the module that were never sent
	maxPerDest int // limit for each destination, sent or not
	maxHeld    int // limit for all messages at the module, sent or not
	dests      map[int]*destWindow
	held       int // messages at the module
	sent       int // of these, sent at least once
	onDisk     int // messages on disk or moving there
	loadQueue  []*destWindow
}

// destWindow is the window's state of one destination.
type destWindow struct {
	dest    int
	held    int                 // messages at the module
	unsent  []*message          // of these, never sent; unordered
	onDisk  int                 // messages on disk or moving there
	ended   map[uint32]struct{} // ids of those on disk that have ended, and stay until their notices are confirmed
	loading bool                // a job is loading messages from disk
	queued  bool                // in window.loadQueue
}

func newWindow(size int, share float64, maxHeld int) *window {
	w := &window{maxUnsent: size, maxPerDest: max(1, int(share*float64(size))), maxHeld: 4 * size, dests: map[int]*destWindow{}}
	if maxHeld > 0 {
		// Stay below the module's own limit, so that it never refuses a message for lack of space.
		w.maxHeld = min(w.maxHeld, maxHeld*4/5)
		w.maxUnsent = max(1, min(w.maxUnsent, w.maxHeld/2))
		w.maxPerDest = min(w.maxPerDest, w.maxUnsent)
	}
	return w
}

// dest returns the state of a destination and creates it if needed.
func (w *window) dest(dest int) *destWindow {
	d := w.dests[dest]
	if d == nil {
		d = &destWindow{dest: dest}
		w.dests[dest] = d
	}
	return d
}

// fairShare is the number of messages per destination if all destinations with messages share the window equally.
func (w *window) fairShare() int { return min(w.maxPerDest, max(1, w.maxUnsent/max(1, len(w.dests)))) }

// admits reports whether a new message may go to the module directly. It may not overtake messages of its destination
// that are on disk.
func (w *window) admits(dest int) bool {
	d := w.dests[dest]
	return w.held < w.maxHeld && (d == nil || d.onDisk == 0 && d.held < w.maxPerDest || !storable(dest))
}

// storable reports whether the store can represent the destination's number.
func storable(dest int) bool { return int64(dest) <= math.MaxUint32 }

// add counts a message that is passed to the module.
func (w *window) add(m *message) {
	d := w.dest(m.Dest)
	d.held++
	w.held++
	m.destWindow = d
	if m.sends == 0 {
		m.unsentIndex = len(d.unsent)
		d.unsent = append(d.unsent, m)
		return
	}
	m.unsentIndex = -1
	w.sent++
}

// markSent counts a message's first send.
func (w *window) markSent(m *message) {
	if m.destWindow != nil && m.unsentIndex >= 0 {
		w.removeUnsent(m)
		w.sent++
	}
}

func (w *window) removeUnsent(m *message) {
	d := m.destWindow
	last := d.unsent[len(d.unsent)-1]
	d.unsent[m.unsentIndex], last.unsentIndex = last, m.unsentIndex
	d.unsent[len(d.unsent)-1] = nil
	d.unsent, m.unsentIndex = d.unsent[:len(d.unsent)-1], -1
}

// remove counts out a message that has left the module.
func (w *window) remove(m *message) {
	d := m.destWindow
	if d == nil {
		return
	}
	if m.unsentIndex >= 0 {
		w.removeUnsent(m)
	} else {
		w.sent--
	}
	m.destWindow = nil
	d.held--
	w.held--
	w.queueLoad(d)
	w.dropIfEmpty(d)
}

// addOnDisk changes the number of a destination's messages on disk by n, which may be negative.
func (w *window) addOnDisk(dest, n int) {
	d := w.dest(dest)
	d.onDisk += n
	w.onDisk += n
	w.queueLoad(d)
	w.dropIfEmpty(d)
}

// loadable is the number of messages that may be loaded from disk.
func (d *destWindow) loadable() int { return d.onDisk - len(d.ended) }

// markEnded excludes a message on disk from loads.
func (w *window) markEnded(dest int, id uint32) {
	d := w.dest(dest)
	if d.ended == nil {
		d.ended = map[uint32]struct{}{}
	}
	d.ended[id] = struct{}{}
}

// unmarkEnded forgets a message that was marked as ended. It is about to be removed from disk.
func (w *window) unmarkEnded(dest int, id uint32) {
	if d := w.dests[dest]; d != nil {
		delete(d.ended, id)
	}
}

// queueLoad queues a destination with messages on disk for nextLoads.
func (w *window) queueLoad(d *destWindow) {
	if d.loadable() > 0 && !d.queued {
		d.queued = true
		w.loadQueue = append(w.loadQueue, d)
	}
}

func (w *window) dropIfEmpty(d *destWindow) {
	if d.held == 0 && d.onDisk == 0 && !d.loading {
		delete(w.dests, d.dest)
	}
}

// loadRequest asks for n messages of a destination to be loaded from disk, but for some ids.
type loadRequest struct {
	dest, n int
	except  map[uint32]struct{}
}

// nextLoads returns what to load from disk now, at most limit messages in all. Destinations come in the order in which
// they were queued. One is loaded only once half of its share is free, so that few reads bring many messages.
func (w *window) nextLoads(limit int) (all []loadRequest) {
	share := w.fairShare()
	room := w.maxUnsent - (w.held - w.sent)
	if share > 1 {
		// Load a sixteenth beyond the window: excess then evicts from the destinations that exceed their share. With more
		// destinations than the window has messages, this would swap messages in and out for ever.
		room = max(room, w.maxUnsent/16)
	}
	room = min(room, w.maxHeld-w.held)
	queue := w.loadQueue
	w.loadQueue = nil
	for i, d := range queue {
		if limit <= 0 || room <= 0 {
			w.loadQueue = append(w.loadQueue, queue[i:]...)
			break
		}
		if d.queued = false; d.loadable() <= 0 || d.loading || d.held > share/2 {
			continue // queued again when one of its messages leaves the module
		}
		n := min(share-d.held, d.loadable(), limit, room)
		d.loading = true
		all = append(all, loadRequest{d.dest, n, maps.Clone(d.ended)})
		limit, room = limit-n, room-n
	}
	return all
}

// finishLoad marks a load as finished, successful or not.
func (w *window) finishLoad(dest int) {
	if d := w.dests[dest]; d != nil {
		d.loading = false
		w.queueLoad(d)
		w.dropIfEmpty(d)
	}
}

// excess picks the messages to evict to disk so that at most maxUnsent unsent ones remain, and atLeast in any case: the
// least urgent ones of the destinations with the most messages, and only evictable ones. If it evicts at all, it frees
// another sixteenth of the window.
func (w *window) excess(atLeast int, evictable func(*message) bool) (all []*message) {
	over := max(atLeast, w.held-w.sent-w.maxUnsent)
	if over <= 0 {
		return nil
	}
	need := over
	over += w.maxUnsent / 16
	share := w.fairShare()
	dests := make([]*destWindow, 0, len(w.dests))
	for _, d := range w.dests {
		if len(d.unsent) > 0 {
			dests = append(dests, d)
		}
	}
	slices.SortFunc(dests, func(a, b *destWindow) int { return cmp.Or(b.held-a.held, a.dest-b.dest) })
	for _, keep := range []int{share, 0} {
		for _, d := range dests {
			if n := min(over-len(all), d.held-keep, len(d.unsent)); n > 0 {
				all = append(all, d.leastUrgent(n, evictable)...)
			}
		}
		if len(all) >= need {
			break // no need to take from destinations within their share
		}
	}
	return all
}

// leastUrgent returns up to n of the least urgent messages that were never sent, and stops at the first that is not
// evictable: an evicted message takes all that rank after it along, which keeps messages of the same order key in
// order.
func (d *destWindow) leastUrgent(n int, evictable func(*message) bool) []*message {
	all := slices.Clone(d.unsent)
	slices.SortFunc(all, func(a, b *message) int { return cmp.Or(cmp.Compare(b.rank(), a.rank()), cmp.Compare(b.ID, a.ID)) })
	all = all[:min(n, len(all))]
	if i := slices.IndexFunc(all, func(m *message) bool { return !evictable(m) }); i >= 0 {
		all = all[:i]
	}
	return all
}

// rank is the message's sort key among those of its destination; see rankOf.
func (m *message) rank() int64 {
	if m.Rank == 0 {
		return m.Deadline.UnixNano()
	}
	return m.Rank
}

// noDeadline is later than every deadline.
const noDeadline = math.MaxInt64
