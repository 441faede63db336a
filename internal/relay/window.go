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
	size  int // messages at the module that were never sent
	share int // of each destination, sent or not
	most  int // at the module, sent or not
	cells map[int]*cell
	held  int // at the module
	sent  int // of these, sent at least once
	disk  int // on disk, or on the way there
	wants []*cell
}

// cell is what the window knows of one destination.
type cell struct {
	dest    int
	held    int        // at the module
	unsent  []*message // of these, in no order
	disk    int        // on disk, or on the way there
	loading bool       // messages of it are on their way back
	wanting bool       // it is among those that may have room
}

func newWindow(size int, share float64, most int) *window {
	w := &window{size: size, share: max(1, int(share*float64(size))), most: 4 * size, cells: map[int]*cell{}}
	if most > 0 {
		// The module's own room is for what it has; it never gets so near as to refuse for lack of it.
		w.most = min(w.most, most*4/5)
		w.size = max(1, min(w.size, w.most/2))
		w.share = min(w.share, w.size)
	}
	return w
}

// cell is a destination's.
func (w *window) cell(dest int) *cell {
	c := w.cells[dest]
	if c == nil {
		c = &cell{dest: dest}
		w.cells[dest] = c
	}
	return c
}

// fair is how many messages of a destination may be at the module where all that owe something get the same.
func (w *window) fair() int { return min(w.share, max(1, w.size/max(1, len(w.cells)))) }

// admits tells whether a new message of a destination may go to the module at once. Not before what is on disk of the same.
func (w *window) admits(dest int) bool {
	c := w.cells[dest]
	return w.held < w.most && (c == nil || c.disk == 0 && c.held < w.share || !storable(dest))
}

// storable tells whether the store knows such numbers of destinations.
func storable(dest int) bool { return int64(dest) <= math.MaxUint32 }

// enter books a message that the module is given.
func (w *window) enter(m *message) {
	c := w.cell(m.Dest)
	c.held++
	w.held++
	m.cell = c
	if m.sends == 0 {
		m.unsentIndex = len(c.unsent)
		c.unsent = append(c.unsent, m)
		return
	}
	m.unsentIndex = -1
	w.sent++
}

// sends books a message's first send.
func (w *window) sends(m *message) {
	if m.cell != nil && m.unsentIndex >= 0 {
		w.unlist(m)
		w.sent++
	}
}

func (w *window) unlist(m *message) {
	c := m.cell
	last := c.unsent[len(c.unsent)-1]
	c.unsent[m.unsentIndex], last.unsentIndex = last, m.unsentIndex
	c.unsent[len(c.unsent)-1] = nil
	c.unsent, m.unsentIndex = c.unsent[:len(c.unsent)-1], -1
}

// leave books a message that the module has done with.
func (w *window) leave(m *message) {
	c := m.cell
	if c == nil {
		return
	}
	if m.unsentIndex >= 0 {
		w.unlist(m)
	} else {
		w.sent--
	}
	m.cell = nil
	c.held--
	w.held--
	w.want(c)
	w.forget(c)
}

// stored books messages that come to the disk or go from there.
func (w *window) stored(dest, n int) {
	c := w.cell(dest)
	c.disk += n
	w.disk += n
	w.want(c)
	w.forget(c)
}

// want has a destination looked at for room.
func (w *window) want(c *cell) {
	if c.disk > 0 && !c.wanting {
		c.wanting = true
		w.wants = append(w.wants, c)
	}
}

func (w *window) forget(c *cell) {
	if c.held == 0 && c.disk == 0 && !c.loading {
		delete(w.cells, c.dest)
	}
}

// load is how many messages of a destination shall come back from the disk.
type load struct{ dest, n int }

// loads says what shall come back now, most messages in all: of destinations in the order in which they came to have room.
// Half of a destination's share is waited for, so that few reads bring many.
func (w *window) loads(most int) (all []load) {
	fair := w.fair()
	room := w.size - (w.held - w.sent)
	if fair > 1 {
		// Those that have more than their share make way for those that have less: see excess. With more destinations than
		// room for a message of each, this would have them change places for ever.
		room = max(room, w.size/16)
	}
	room = min(room, w.most-w.held)
	wants := w.wants
	w.wants = nil
	for i, c := range wants {
		if most <= 0 || room <= 0 {
			w.wants = append(w.wants, wants[i:]...)
			break
		}
		if c.wanting = false; c.disk == 0 || c.loading || c.held > fair/2 {
			continue // it wants again when a message of it ends
		}
		n := min(fair-c.held, c.disk, most, room)
		c.loading = true
		all = append(all, load{c.dest, n})
		most, room = most-n, room-n
	}
	return all
}

// loaded books that a load is over, whatever came of it.
func (w *window) loaded(dest int) {
	if c := w.cells[dest]; c != nil {
		c.loading = false
		w.want(c)
		w.forget(c)
	}
}

// excess picks what has to leave the module for the disk, so that the window holds no more than its size, and so many at
// least: of those destinations that have most the least urgent, and none that may not leave. It frees a sixteenth at once.
func (w *window) excess(least int, mayLeave func(*message) bool) (all []*message) {
	over := max(least, w.held-w.sent-w.size)
	if over <= 0 {
		return nil
	}
	need := over
	over += w.size / 16
	fair := w.fair()
	cells := make([]*cell, 0, len(w.cells))
	for _, c := range w.cells {
		if len(c.unsent) > 0 {
			cells = append(cells, c)
		}
	}
	slices.SortFunc(cells, func(a, b *cell) int { return cmp.Or(b.held-a.held, a.dest-b.dest) })
	for _, keep := range []int{fair, 0} {
		for _, c := range cells {
			if n := min(over-len(all), c.held-keep, len(c.unsent)); n > 0 {
				all = append(all, c.least(n, mayLeave)...)
			}
		}
		if len(all) >= need {
			break // who has no more than the others keeps it
		}
	}
	return all
}

// least are the n least urgent messages that were never sent and may leave. With one, all that come after it by its order
// leave: an order of the same key must hold.
func (c *cell) least(n int, mayLeave func(*message) bool) []*message {
	all := slices.Clone(c.unsent)
	slices.SortFunc(all, func(a, b *message) int { return cmp.Or(cmp.Compare(b.rank(), a.rank()), cmp.Compare(b.ID, a.ID)) })
	all = all[:min(n, len(all))]
	if i := slices.IndexFunc(all, func(m *message) bool { return !mayLeave(m) }); i >= 0 {
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

// never is later than any deadline.
const never = math.MaxInt64
