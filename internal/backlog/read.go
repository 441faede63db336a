package backlog

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"slices"

	"github.com/cockroachdb/pebble/v2"
)

// view has use read the engine. Where the disk has failed meanwhile, the folder is opened anew first, to be read alone.
func (s *Store) view(use func(db *pebble.DB) error) error {
	for range 2 {
		s.door.RLock()
		if s.db == nil {
			s.door.RUnlock()
			return s.shutReason()
		}
		err := use(s.db)
		failed := s.files.failed()
		s.door.RUnlock()
		if failed == nil {
			return s.explain(err)
		}
		s.door.Lock()
		if s.db != nil && s.files.failed() != nil && !s.closed {
			s.fallBack()
		}
		s.door.Unlock()
	}
	return fmt.Errorf("%w", ErrDisk)
}

func (s *Store) shutReason() error {
	if s.closed {
		return ErrClosed
	}
	return fmt.Errorf("%w: the folder can't be opened", ErrDisk)
}

// explain wraps an error of the engine: what is there and is wrong is damage, all else is the disk's failure.
func (s *Store) explain(err error) error {
	switch {
	case err == nil || errors.Is(err, ErrDamaged) || errors.Is(err, ErrDisk):
		return err
	case !damaged(err):
		return fmt.Errorf("%w: %w", ErrDisk, err)
	}
	s.mend()
	return fmt.Errorf("%w: %w", ErrDamaged, err)
}

// damaged tells an error that reading again can't change.
func damaged(err error) bool {
	return errors.Is(err, ErrDamaged) || pebble.IsCorruptionError(err) || errors.Is(err, fs.ErrNotExist) ||
		errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
}

// get reads a message's record.
func get(db *pebble.DB, id uint32) (e Entry, ok bool, err error) {
	b, closer, err := db.Get(messageKey(id))
	if errors.Is(err, pebble.ErrNotFound) {
		return Entry{}, false, nil
	} else if err != nil {
		return Entry{}, false, err
	}
	defer closer.Close()
	e, err = readRecord(id, b)
	return e, err == nil, err
}

// Get returns a message.
func (s *Store) Get(id uint32) (e Entry, ok bool, err error) {
	err = s.view(func(db *pebble.DB) error {
		e, ok, err = get(db, id)
		return err
	})
	return e, ok, err
}

// Find returns the message that has a trace; the one of the least id, if there are more.
func (s *Store) Find(trace string) (r Ref, ok bool, err error) {
	err = s.view(func(db *pebble.DB) error {
		prefix := tracePrefix(trace)
		it, err := db.NewIter(&pebble.IterOptions{LowerBound: prefix, UpperBound: after(prefix)})
		if err != nil {
			return err
		}
		defer it.Close()
		for good := it.SeekPrefixGE(prefix); good; good = it.Next() {
			key := it.Key()
			if len(key) != tracePlace+idBytes {
				continue
			}
			e, there, err := get(db, binary.BigEndian.Uint32(key[tracePlace:]))
			if err != nil {
				return err
			}
			if there && e.Trace == trace {
				r, ok = e.Ref, true
				return nil
			}
		}
		return it.Error()
	})
	return r, ok, err
}

// after is the least key that is greater than all that begin with prefix.
func after(prefix []byte) []byte {
	end := append([]byte(nil), prefix...)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i]++; end[i] != 0 {
			return end[:i+1]
		}
	}
	return nil
}

// row reads the messages that an index lists from a key to another, n at most, for as long as wanted says so. It returns
// the place of the first key there is, lastPlace if there is none. A message whose record can't be read is passed over and
// noted, as is an entry of the index without a message.
func (s *Store) row(from, to []byte, n int, wanted func(place) bool) (all []Entry, first place, err error) {
	err = s.view(func(db *pebble.DB) error {
		all, first = nil, lastPlace
		it, err := db.NewIter(&pebble.IterOptions{LowerBound: from, UpperBound: to})
		if err != nil {
			return err
		}
		defer it.Close()
		for good := it.First(); good; good = it.Next() {
			p := placeOf(it.Key())
			if first == lastPlace {
				first = p
			}
			if len(all) >= n || !wanted(p) {
				return nil
			}
			e, ok, err := get(db, p.id)
			switch {
			case err != nil && (s.files.failed() != nil || !damaged(err)):
				return err
			case err != nil:
				s.noteDrop(it.Key(), true, fmt.Sprintf("message %d can't be read: %v", p.id, err))
			case !ok || !finds(it.Key(), e.Ref):
				s.noteDrop(it.Key(), false, fmt.Sprintf("message %d is listed and not there", p.id))
			default:
				all = append(all, e)
			}
		}
		return it.Error()
	})
	return all, first, err
}

// First returns the n most urgent messages of a destination, in order of rank and id.
func (s *Store) First(dest, n int) ([]Entry, error) {
	s.mu.Lock()
	q := s.dests[dest]
	if q == nil || n <= 0 {
		s.mu.Unlock()
		return nil, nil
	}
	low := q.low
	s.mu.Unlock()
	all, first, err := s.row(destKey(dest, low), after(destKey(dest, place{})[:5]), n, func(place) bool { return true })
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	q.low = first
	s.mu.Unlock()
	return all, nil
}

// Due returns the messages whose deadline is by or before, soonest first, n at most. It reads no others.
func (s *Store) Due(by int64, n int) ([]Entry, error) {
	s.mu.Lock()
	low := s.low
	s.mu.Unlock()
	all, first, err := s.row(deadlineKey(low), []byte{keyDeadline + 1}, n, func(p place) bool { return p.time <= by })
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	s.low = first
	s.mu.Unlock()
	return all, nil
}

// NextDue is the soonest deadline there is.
func (s *Store) NextDue() (int64, bool, error) {
	if _, err := s.Due(0, 0); err != nil {
		return 0, false, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.low.time, s.low != lastPlace, nil
}

// finds tells whether a key of an index is that of a message.
func finds(key []byte, r Ref) bool {
	return slices.ContainsFunc(indexKeys(r), func(k []byte) bool { return bytes.Equal(k, key) })
}

// noteDrop has the next Apply remove a key of an index.
func (s *Store) noteDrop(key []byte, record bool, why string) {
	s.mu.Lock()
	_, ok := s.drops[string(key)]
	if !ok {
		s.drops[string(key)] = record
	}
	s.mu.Unlock()
	if !ok {
		s.noteDamage(why)
	}
}

func (s *Store) noteDamage(what string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.damage) < 100 {
		s.damage = append(s.damage, what)
	}
	s.log.Warn("backlog: damage", "what", what)
}
