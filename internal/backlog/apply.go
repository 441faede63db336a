package backlog

import (
	"encoding/binary"
	"fmt"
	"maps"
	"time"

	"github.com/cockroachdb/pebble/v2"
)

// indexOverhead is the maximum space on disk that a message takes besides its record: its index keys and the engine's overhead.
const indexOverhead = 160

// reopenDelay is the minimum time between two attempts to reopen a folder that is not writable.
const reopenDelay = 250 * time.Millisecond

// Apply removes and adds messages atomically, and returns once the change is as durable as Options.Fsync requires. An added
// message replaces one with the same id. Removing a message that does not exist is not an error. ErrFull and ErrDisk leave the
// store in memory unchanged; after ErrDisk the change may nevertheless be on disk.
func (s *Store) Apply(put []Entry, remove []Ref) error {
	for _, e := range put {
		if err := validate(e); err != nil {
			return err
		}
	}
	if err := s.ensureWritable(); err != nil {
		return err
	}
	if len(put) > 0 {
		if need := encodedSize(put); s.DiskBytes()+need+s.opts.reserve() > s.opts.Limit {
			s.compactIfWorthwhile()
			return fmt.Errorf("%w: %d of %d bytes in use, %d more needed", ErrFull, s.DiskBytes(), s.opts.Limit, need)
		}
	}
	s.dbMu.RLock()
	defer s.dbMu.RUnlock()
	c := s.newChange()
	defer c.batch.Close()
	for key, record := range s.danglingKeys() {
		if err := c.dropDangling([]byte(key), record); err != nil {
			return s.applyError(err)
		}
	}
	for _, r := range remove {
		if err := c.remove(r); err != nil {
			return s.applyError(err)
		}
	}
	for _, e := range put {
		if err := c.put(e); err != nil {
			return s.applyError(err)
		}
	}
	if c.batch.Empty() {
		return nil
	}
	if err := c.writeCounters(); err != nil {
		return s.applyError(err)
	}
	if err := s.applyError(c.batch.Commit(pebble.Sync)); err != nil {
		return err
	}
	c.publish()
	return nil
}

// applyError returns the error of a change. A disk failure takes precedence over the error that the engine derives from it.
func (s *Store) applyError(err error) error {
	if failed := s.files.failed(); failed != nil {
		return fmt.Errorf("%w: %w", ErrDisk, failed)
	}
	return s.classify(err)
}

func encodedSize(all []Entry) (n int64) {
	for _, e := range all {
		n += int64(recordHeaderLen + len(e.Trace) + len(e.Data) + indexOverhead)
	}
	return n
}

// change is an Apply in progress: a batch, and the in-memory state after its commit.
type change struct {
	s           *Store
	batch       *pebble.Batch
	dests       map[int]destState // state after the change
	pending     map[uint32]*Ref   // messages added by this change; nil: removed by it
	maxID       uint32
	minDeadline position
	messages    int
	removed     int
	buf         []byte
}

func (s *Store) newChange() *change {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &change{s: s, batch: s.db.NewBatch(), dests: map[int]destState{}, pending: map[uint32]*Ref{}, maxID: s.maxID,
		minDeadline: s.minDeadline, messages: s.messages}
}

// dest returns the state of a destination after the change so far.
func (c *change) dest(dest int) destState {
	if state, ok := c.dests[dest]; ok {
		return state
	}
	c.s.mu.Lock()
	defer c.s.mu.Unlock()
	if state := c.s.dests[dest]; state != nil {
		return *state
	}
	return destState{minRank: maxPosition}
}

// lookup returns the message that has an id after the change so far; damaged means that its record cannot be read.
func (c *change) lookup(id uint32) (r Ref, ok, damaged bool) {
	if r, ok := c.pending[id]; ok {
		if r == nil {
			return Ref{}, false, false
		}
		return *r, true, false
	}
	if id > c.s.maxID {
		return Ref{}, false, false
	}
	e, ok, err := get(c.s.db, id)
	return e.Ref, ok, err != nil
}

func (c *change) remove(r Ref) error {
	have, ok, damaged := c.lookup(r.ID)
	switch {
	case damaged:
		if _, closer, err := c.s.db.Get(destKey(r.Dest, position{r.Rank, r.ID})); err != nil {
			return nil // not indexed under this rank; a later read of the index finds the dangling key
		} else if err := closer.Close(); err != nil {
			return err
		}
		have = r
	case !ok:
		return nil
	}
	if err := c.batch.Delete(messageKey(have.ID), nil); err != nil {
		return err
	}
	for _, key := range indexKeys(have) {
		if err := c.batch.Delete(key, nil); err != nil {
			return err
		}
	}
	c.pending[have.ID] = nil
	c.addToCount(have.Dest, -1)
	return nil
}

// dropDangling removes an index key without a readable message, and, if record is set, the unreadable record.
func (c *change) dropDangling(key []byte, record bool) error {
	if key[0] == keyDest {
		c.addToCount(int(binary.BigEndian.Uint32(key[1:])), -1)
	}
	if id := decodePosition(key).id; record {
		c.pending[id] = nil
		if err := c.batch.Delete(messageKey(id), nil); err != nil {
			return err
		}
	}
	return c.batch.Delete(key, nil)
}

func (c *change) put(e Entry) error {
	if have, ok, _ := c.lookup(e.ID); ok {
		if err := c.remove(have); err != nil {
			return err
		}
	}
	c.buf = appendRecord(c.buf[:0], e)
	if err := c.batch.Set(messageKey(e.ID), c.buf, nil); err != nil {
		return err
	}
	for _, key := range indexKeys(e.Ref) {
		if err := c.batch.Set(key, nil, nil); err != nil {
			return err
		}
	}
	c.pending[e.ID] = &e.Ref
	c.addToCount(e.Dest, 1)
	state := c.dests[e.Dest]
	if p := (position{e.Rank, e.ID}); p.less(state.minRank) {
		state.minRank = p
		c.dests[e.Dest] = state
	}
	if p := (position{e.Deadline, e.ID}); p.less(c.minDeadline) {
		c.minDeadline = p
	}
	c.maxID = max(c.maxID, e.ID)
	return nil
}

func (c *change) addToCount(dest, n int) {
	state := c.dest(dest)
	state.count += n
	c.dests[dest] = state
	c.messages += n
	c.removed += max(0, -n)
}

// writeCounters adds the changed counters to the batch.
func (c *change) writeCounters() error {
	for dest, state := range c.dests {
		var err error
		if state.count > 0 {
			err = c.batch.Set(countKey(dest), appendPosition(binary.BigEndian.AppendUint64(nil, uint64(state.count)), state.minRank), nil)
		} else {
			err = c.batch.Delete(countKey(dest), nil)
		}
		if err != nil {
			return err
		}
	}
	if c.messages == 0 {
		c.maxID, c.minDeadline = 0, maxPosition
	}
	return c.batch.Set([]byte{keyState}, appendPosition(binary.BigEndian.AppendUint32(nil, c.maxID), c.minDeadline), nil)
}

// publish updates the in-memory state after the batch was committed.
func (c *change) publish() {
	s := c.s
	s.mu.Lock()
	defer s.mu.Unlock()
	for dest, state := range c.dests {
		switch have := s.dests[dest]; {
		case state.count <= 0:
			if have != nil {
				delete(s.dests, dest)
				s.sortedDests = nil
			}
		case have != nil:
			*have = state
		default:
			s.dests[dest] = &state
			s.sortedDests = nil
		}
	}
	s.maxID, s.minDeadline, s.messages = c.maxID, c.minDeadline, c.messages
	s.removedSinceCompaction += c.removed
	clear(s.dangling)
}

// danglingKeys returns the index keys that were found to have no readable message.
func (s *Store) danglingKeys() map[string]bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.dangling)
}
