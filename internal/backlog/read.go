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

// withEngine has use read the engine. Where the disk has failed meanwhile, the folder is opened anew first, to be read alone.
func (s *Store) withEngine(use func(db *pebble.DB) error) error {
	for range 2 {
		s.dbMu.RLock()
		if s.db == nil {
			s.dbMu.RUnlock()
			return s.unavailable()
		}
		err := use(s.db)
		failed := s.files.failed()
		s.dbMu.RUnlock()
		if failed == nil {
			return s.classify(err)
		}
		s.dbMu.Lock()
		if s.db != nil && s.files.failed() != nil && !s.closed {
			s.reopenReadOnly()
		}
		s.dbMu.Unlock()
	}
	return fmt.Errorf("%w", ErrDisk)
}

func (s *Store) unavailable() error {
	if s.closed {
		return ErrClosed
	}
	return fmt.Errorf("%w: the folder can't be opened", ErrDisk)
}

// classify wraps an error of the engine: what is there and is wrong is damage, all else is the disk's failure.
func (s *Store) classify(err error) error {
	switch {
	case err == nil || errors.Is(err, ErrDamaged) || errors.Is(err, ErrDisk):
		return err
	case !isDamage(err):
		return fmt.Errorf("%w: %w", ErrDisk, err)
	}
	s.requestRepair()
	return fmt.Errorf("%w: %w", ErrDamaged, err)
}

// isDamage tells an error that reading again can't change.
func isDamage(err error) bool {
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
	e, err = decodeRecord(id, b)
	return e, err == nil, err
}

// Get returns a message.
func (s *Store) Get(id uint32) (e Entry, ok bool, err error) {
	err = s.withEngine(func(db *pebble.DB) error {
		e, ok, err = get(db, id)
		return err
	})
	return e, ok, err
}

// Find returns the message that has a trace; the one of the least id, if there are more.
func (s *Store) Find(trace string) (r Ref, ok bool, err error) {
	err = s.withEngine(func(db *pebble.DB) error {
		prefix := tracePrefix(trace)
		it, err := db.NewIter(&pebble.IterOptions{LowerBound: prefix, UpperBound: prefixEnd(prefix)})
		if err != nil {
			return err
		}
		defer it.Close()
		for good := it.SeekPrefixGE(prefix); good; good = it.Next() {
			key := it.Key()
			if len(key) != tracePrefixLen+idBytes {
				continue
			}
			e, there, err := get(db, binary.BigEndian.Uint32(key[tracePrefixLen:]))
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

// prefixEnd is the least key that is greater than all that begin with prefix.
func prefixEnd(prefix []byte) []byte {
	end := append([]byte(nil), prefix...)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i]++; end[i] != 0 {
			return end[:i+1]
		}
	}
	return nil
}

// scanIndex reads the messages that an index lists from a key to another, n at most, for as long as wanted says so. It returns
// the place of the first key there is, lastPlace if there is none. A message whose record can't be read is passed over and
// noted, as is an entry of the index without a message.
func (s *Store) scanIndex(from, to []byte, n int, wanted func(position) bool) (all []Entry, first position, err error) {
	err = s.withEngine(func(db *pebble.DB) error {
		all, first = nil, maxPosition
		it, err := db.NewIter(&pebble.IterOptions{LowerBound: from, UpperBound: to})
		if err != nil {
			return err
		}
		defer it.Close()
		for good := it.First(); good; good = it.Next() {
			p := decodePosition(it.Key())
			if first == maxPosition {
				first = p
			}
			if len(all) >= n || !wanted(p) {
				return nil
			}
			e, ok, err := get(db, p.id)
			switch {
			case err != nil && (s.files.failed() != nil || !isDamage(err)):
				return err
			case err != nil:
				s.noteDangling(it.Key(), true, fmt.Sprintf("message %d can't be read: %v", p.id, err))
			case !ok || !isIndexKeyOf(it.Key(), e.Ref):
				s.noteDangling(it.Key(), false, fmt.Sprintf("message %d is listed and not there", p.id))
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
	low := q.minRank
	s.mu.Unlock()
	all, first, err := s.scanIndex(destKey(dest, low), prefixEnd(destKey(dest, position{})[:5]), n, func(position) bool { return true })
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	q.minRank = first
	s.mu.Unlock()
	return all, nil
}

// Due returns the messages whose deadline is by or before, soonest first, n at most. It reads no others.
func (s *Store) Due(by int64, n int) ([]Entry, error) {
	s.mu.Lock()
	low := s.minDeadline
	s.mu.Unlock()
	all, first, err := s.scanIndex(deadlineKey(low), []byte{keyDeadline + 1}, n, func(p position) bool { return p.time <= by })
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	s.minDeadline = first
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
	return s.minDeadline.time, s.minDeadline != maxPosition, nil
}

// isIndexKeyOf tells whether a key of an index is that of a message.
func isIndexKeyOf(key []byte, r Ref) bool {
	return slices.ContainsFunc(indexKeys(r), func(k []byte) bool { return bytes.Equal(k, key) })
}

// noteDangling has the next Apply remove a key of an index.
func (s *Store) noteDangling(key []byte, record bool, why string) {
	s.mu.Lock()
	_, ok := s.dangling[string(key)]
	if !ok {
		s.dangling[string(key)] = record
	}
	s.mu.Unlock()
	if !ok {
		s.noteDamage(why)
	}
}

func (s *Store) noteDamage(what string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.damageNotes) < 100 {
		s.damageNotes = append(s.damageNotes, what)
	}
	s.log.Warn("backlog: damage", "what", what)
}
