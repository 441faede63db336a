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

// withEngine calls fn with the engine. If the disk has failed by the time fn returns, the folder is reopened for reading only
// and fn is called once more.
func (s *Store) withEngine(fn func(db *pebble.DB) error) error {
	for range 2 {
		s.dbMu.RLock()
		if s.db == nil {
			s.dbMu.RUnlock()
			return s.unavailable()
		}
		err := fn(s.db)
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
	return fmt.Errorf("%w: the folder cannot be opened", ErrDisk)
}

// classify wraps an error of the engine: invalid or missing data as ErrDamaged, anything else as ErrDisk.
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

// isDamage reports whether an error is due to damaged data, so that reading again cannot succeed.
func isDamage(err error) bool {
	return errors.Is(err, ErrDamaged) || pebble.IsCorruptionError(err) || errors.Is(err, fs.ErrNotExist) ||
		errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
}

// get reads the record of a message.
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

// Get returns the message that has an id.
func (s *Store) Get(id uint32) (e Entry, ok bool, err error) {
	err = s.withEngine(func(db *pebble.DB) error {
		e, ok, err = get(db, id)
		return err
	})
	return e, ok, err
}

// Find returns the message that has a trace; if there are several, the one with the lowest id.
func (s *Store) Find(trace string) (r Ref, ok bool, err error) {
	err = s.withEngine(func(db *pebble.DB) error {
		prefix := tracePrefix(trace)
		it, err := db.NewIter(&pebble.IterOptions{LowerBound: prefix, UpperBound: prefixEnd(prefix)})
		if err != nil {
			return err
		}
		defer it.Close()
		for valid := it.SeekPrefixGE(prefix); valid; valid = it.Next() {
			key := it.Key()
			if len(key) != tracePrefixLen+idBytes {
				continue
			}
			e, stored, err := get(db, binary.BigEndian.Uint32(key[tracePrefixLen:]))
			if err != nil {
				return err
			}
			if stored && e.Trace == trace {
				r, ok = e.Ref, true
				return nil
			}
		}
		return it.Error()
	})
	return r, ok, err
}

// prefixEnd returns the smallest key that is greater than all keys with a prefix, or nil if there is none.
func prefixEnd(prefix []byte) []byte {
	end := append([]byte(nil), prefix...)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i]++; end[i] != 0 {
			return end[:i+1]
		}
	}
	return nil
}

// scanStep is what scanIndex does at a position.
type scanStep int

const (
	readMessage scanStep = iota
	skipMessage
	endScan
)

// scanIndex reads up to n messages that an index lists between two keys; choose decides at each position. It also returns the
// position of the first key, or maxPosition if there is none. Messages with unreadable records and index keys without a message
// are skipped and noted as dangling.
func (s *Store) scanIndex(from, to []byte, n int, choose func(position) scanStep) (all []Entry, first position, err error) {
	err = s.withEngine(func(db *pebble.DB) error {
		all, first = nil, maxPosition
		it, err := db.NewIter(&pebble.IterOptions{LowerBound: from, UpperBound: to})
		if err != nil {
			return err
		}
		defer it.Close()
		for valid := it.First(); valid; valid = it.Next() {
			p := decodePosition(it.Key())
			if first == maxPosition {
				first = p
			}
			if len(all) >= n {
				return nil
			}
			switch choose(p) {
			case endScan:
				return nil
			case skipMessage:
				continue
			}
			e, ok, err := get(db, p.id)
			switch {
			case err != nil && (s.files.failed() != nil || !isDamage(err)):
				return err
			case err != nil:
				s.noteDangling(it.Key(), true, fmt.Sprintf("message %d cannot be read: %v", p.id, err))
			case !ok || !isIndexKeyOf(it.Key(), e.Ref):
				s.noteDangling(it.Key(), false, fmt.Sprintf("message %d is in an index but is not stored", p.id))
			default:
				all = append(all, e)
			}
		}
		return it.Error()
	})
	return all, first, err
}

// First returns up to n messages of a destination, but for some ids, most urgent first: in order of rank, then of id.
func (s *Store) First(dest, n int, except map[uint32]struct{}) ([]Entry, error) {
	s.mu.Lock()
	state := s.dests[dest]
	if state == nil || n <= 0 {
		s.mu.Unlock()
		return nil, nil
	}
	low := state.minRank
	s.mu.Unlock()
	all, first, err := s.scanIndex(destKey(dest, low), prefixEnd(destKey(dest, position{})[:5]), n, func(p position) scanStep {
		if _, ok := except[p.id]; ok {
			return skipMessage
		}
		return readMessage
	})
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	state.minRank = first
	s.mu.Unlock()
	return all, nil
}

// Due returns up to n messages whose deadline is at or before by, in order of deadline, then of id. They come after the message
// after in this order, which need not exist. It reads no other records.
func (s *Store) Due(after Ref, by int64, n int) ([]Entry, error) {
	all, _, err := s.scanDeadlines(after, n, func(p position) scanStep {
		if p.time > by {
			return endScan
		}
		return readMessage
	})
	return all, err
}

// NextDue returns the earliest deadline of the messages that come after the message after in the order of Due, and false if
// there are none.
func (s *Store) NextDue(after Ref) (int64, bool, error) {
	_, first, err := s.scanDeadlines(after, 0, func(position) scanStep { return endScan })
	return first.time, err == nil && first != maxPosition, err
}

// scanDeadlines scans the deadline index from the position that follows a message; see scanIndex.
func (s *Store) scanDeadlines(after Ref, n int, choose func(position) scanStep) (all []Entry, first position, err error) {
	s.mu.Lock()
	from := s.minDeadline
	s.mu.Unlock()
	wholeIndex := true
	if last := (position{after.Deadline, after.ID}); !last.less(from) {
		from, wholeIndex = last.next(), false
	}
	all, first, err = s.scanIndex(deadlineKey(from), []byte{keyDeadline + 1}, n, choose)
	if err != nil || !wholeIndex {
		return all, first, err
	}
	s.mu.Lock()
	s.minDeadline = first
	s.mu.Unlock()
	return all, first, nil
}

// isIndexKeyOf reports whether an index key belongs to a message.
func isIndexKeyOf(key []byte, r Ref) bool {
	return slices.ContainsFunc(indexKeys(r), func(k []byte) bool { return bytes.Equal(k, key) })
}

// noteDangling makes the next Apply remove an index key.
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
	s.log.Warn("backlog: damaged data", "what", what)
}
