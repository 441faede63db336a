package backlog

import (
	"encoding/binary"
	"fmt"
	"maps"
	"time"

	"github.com/cockroachdb/pebble/v2"
)

// perMessage is what a message takes on disk beside its record, at most: the keys that find it, with the engine's own.
const perMessage = 160

// retry is how long a folder that can't be written is left alone.
const retry = 250 * time.Millisecond

// Apply removes messages and puts others, all or none, and returns once that is as durable as Options say. A message that
// is put under an id that is there takes its place; one that is removed and not there is no error. ErrFull and ErrDisk
// leave the store as it was, ErrDisk perhaps not on disk.
func (s *Store) Apply(put []Entry, remove []Ref) error {
	for _, e := range put {
		if err := check(e); err != nil {
			return err
		}
	}
	if err := s.ready(); err != nil {
		return err
	}
	if len(put) > 0 {
		if need := bytesOf(put); s.Disk()+need+s.o.room() > s.o.Limit {
			s.sweepIfWorth()
			return fmt.Errorf("%w: %d bytes of %d taken, %d to be put", ErrFull, s.Disk(), s.o.Limit, need)
		}
	}
	s.door.RLock()
	defer s.door.RUnlock()
	c := s.newChange()
	defer c.batch.Close()
	for key, record := range s.orphans() {
		if err := c.drop([]byte(key), record); err != nil {
			return s.applied(err)
		}
	}
	for _, r := range remove {
		if err := c.remove(r); err != nil {
			return s.applied(err)
		}
	}
	for _, e := range put {
		if err := c.put(e); err != nil {
			return s.applied(err)
		}
	}
	if c.batch.Empty() {
		return nil
	}
	if err := c.finish(); err != nil {
		return s.applied(err)
	}
	if err := s.applied(c.batch.Commit(pebble.Sync)); err != nil {
		return err
	}
	c.take()
	return nil
}

// applied tells what came of a change: the disk's failure goes before whatever the engine made of it.
func (s *Store) applied(err error) error {
	if failed := s.files.failed(); failed != nil {
		return fmt.Errorf("%w: %w", ErrDisk, failed)
	}
	return s.explain(err)
}

func bytesOf(all []Entry) (n int64) {
	for _, e := range all {
		n += int64(recordHead + len(e.Trace) + len(e.Data) + perMessage)
	}
	return n
}

// change is an Apply under way: a batch, and what it will make of the state in memory.
type change struct {
	s        *Store
	batch    *pebble.Batch
	queues   map[int]queue   // as they will be
	fresh    map[uint32]*Ref // put by this change; nil: removed by it
	highest  uint32
	low      place
	messages int
	gone     int
	buf      []byte
}

func (s *Store) newChange() *change {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &change{s: s, batch: s.db.NewBatch(), queues: map[int]queue{}, fresh: map[uint32]*Ref{}, highest: s.highest,
		low: s.low, messages: s.messages}
}

// queue is a destination's as the change will leave it.
func (c *change) queue(dest int) queue {
	if q, ok := c.queues[dest]; ok {
		return q
	}
	c.s.mu.Lock()
	defer c.s.mu.Unlock()
	if q := c.s.dests[dest]; q != nil {
		return *q
	}
	return queue{low: lastPlace}
}

// known tells what the store has under an id as the change goes on. A record that can't be read is damaged.
func (c *change) known(id uint32) (r Ref, ok, damaged bool) {
	if r, ok := c.fresh[id]; ok {
		if r == nil {
			return Ref{}, false, false
		}
		return *r, true, false
	}
	if id > c.s.highest {
		return Ref{}, false, false
	}
	e, ok, err := get(c.s.db, id)
	return e.Ref, ok, err != nil
}

func (c *change) remove(r Ref) error {
	have, ok, damaged := c.known(r.ID)
	switch {
	case damaged:
		if _, closer, err := c.s.db.Get(destKey(r.Dest, place{r.Rank, r.ID})); err != nil {
			return nil // it is known under no such rank: the index's own readers come upon it
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
	c.fresh[have.ID] = nil
	c.count(have.Dest, -1)
	return nil
}

// drop removes an index's key that finds no message, and the record that can't be read.
func (c *change) drop(key []byte, record bool) error {
	if key[0] == keyDest {
		c.count(int(binary.BigEndian.Uint32(key[1:])), -1)
	}
	if id := placeOf(key).id; record {
		c.fresh[id] = nil
		if err := c.batch.Delete(messageKey(id), nil); err != nil {
			return err
		}
	}
	return c.batch.Delete(key, nil)
}

func (c *change) put(e Entry) error {
	if have, ok, _ := c.known(e.ID); ok {
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
	c.fresh[e.ID] = &e.Ref
	c.count(e.Dest, 1)
	q := c.queues[e.Dest]
	if p := (place{e.Rank, e.ID}); p.less(q.low) {
		q.low = p
		c.queues[e.Dest] = q
	}
	if p := (place{e.Deadline, e.ID}); p.less(c.low) {
		c.low = p
	}
	c.highest = max(c.highest, e.ID)
	return nil
}

func (c *change) count(dest, n int) {
	q := c.queue(dest)
	q.count += n
	c.queues[dest] = q
	c.messages += n
	c.gone += max(0, -n)
}

// finish adds the counters to the batch.
func (c *change) finish() error {
	for dest, q := range c.queues {
		var err error
		if q.count > 0 {
			err = c.batch.Set(countKey(dest), appendPlace(binary.BigEndian.AppendUint64(nil, uint64(q.count)), q.low), nil)
		} else {
			err = c.batch.Delete(countKey(dest), nil)
		}
		if err != nil {
			return err
		}
	}
	if c.messages == 0 {
		c.highest, c.low = 0, lastPlace
	}
	return c.batch.Set([]byte{keyState}, appendPlace(binary.BigEndian.AppendUint32(nil, c.highest), c.low), nil)
}

// take has the state in memory follow a change that is on disk.
func (c *change) take() {
	s := c.s
	s.mu.Lock()
	defer s.mu.Unlock()
	for dest, q := range c.queues {
		switch have := s.dests[dest]; {
		case q.count <= 0:
			if have != nil {
				delete(s.dests, dest)
				s.sorted = nil
			}
		case have != nil:
			*have = q
		default:
			s.dests[dest] = &q
			s.sorted = nil
		}
	}
	s.highest, s.low, s.messages = c.highest, c.low, c.messages
	s.gone += c.gone
	clear(s.drops)
}

// orphans are the keys of indexes that find no message.
func (s *Store) orphans() map[string]bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.drops)
}
