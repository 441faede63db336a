package backlog

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
	"path"
	"slices"
	"strings"

	"github.com/cockroachdb/pebble/v2"
	"github.com/cockroachdb/pebble/v2/wal"
)

// repair writes a new generation of what can be read of the old one. It takes the disk for both while it goes on. A process
// that ends in its midst leaves the old one as it was.
func (s *Store) repair(found *Found) error {
	old := s.newFiles()
	old.sealed = true
	bad := map[string]bool{} // files of the old generation to be set aside
	from, logs, err := s.openDamaged(old, bad, found)
	if err != nil {
		found.Lost = true
		found.Aside = append(found.Aside, fmt.Sprintf("nothing can be read, the store is begun anew: %v", err))
	}
	names, err := s.fs.Names()
	if err != nil {
		return fmt.Errorf("%w: %w", ErrDisk, err)
	}
	s.gen++
	if err := s.rewrite(from, logs, found); err != nil {
		s.gen--
		return err
	}
	if err := s.own(); err != nil {
		return err
	}
	for _, name := range names {
		gen, ours := genOf(name)
		if !ours && name != mendName || ours && gen >= s.gen {
			continue
		}
		if kept := ours && (found.Lost || bad[name]) && s.keep(name); kept {
			found.Aside = append(found.Aside, asideStart+name)
			continue
		}
		if err := s.fs.Remove(name); err != nil {
			return fmt.Errorf("%w: %w", ErrDisk, err)
		}
		s.usage.drop(name)
	}
	found.Rebuilt = true
	return s.reopen()
}

// keep sets a damaged file aside, if there is room for it.
func (s *Store) keep(name string) bool {
	to := asideStart + name
	s.usage.mu.Lock()
	sum := s.usage.sizes[name]
	for n, size := range s.usage.sizes {
		if strings.HasPrefix(n, asideStart) {
			sum += size
		}
	}
	s.usage.mu.Unlock()
	if sum > s.o.Limit/shareAside || s.fs.Rename(name, to) != nil {
		return false
	}
	s.usage.rename(name, to)
	return true
}

// openDamaged opens what can be opened of the engine's files, to be read alone: first all; then without the options, which
// tell nothing that is needed; then without its newest logs, one more at a time. These are returned, to be read by
// themselves: an old log that no longer counts stops no start, and is not among them.
func (s *Store) openDamaged(f *files, bad map[string]bool, found *Found) (db *pebble.DB, logs []string, err error) {
	corrupt := func(file string, _ error) {
		s.mu.Lock()
		defer s.mu.Unlock()
		bad[f.name(file)] = true
	}
	names, err := f.List("")
	if err != nil {
		return nil, nil, err
	}
	var all []string
	for _, name := range names {
		if strings.HasSuffix(name, ".log") {
			all = append(all, name)
		}
	}
	slices.Sort(all)
	if db, err = s.engine(f, true, corrupt); err == nil {
		return db, nil, nil
	}
	found.Aside = append(found.Aside, err.Error())
	for _, name := range names {
		if strings.HasPrefix(name, "OPTIONS-") {
			f.hide(name)
		}
	}
	for {
		if db, err = s.engine(f, true, corrupt); err == nil {
			slices.Reverse(logs)
			if len(logs) > 0 {
				bad[f.name(logs[0])] = true
			}
			return db, logs, nil
		}
		if len(all) == 0 {
			return nil, nil, err
		}
		newest := all[len(all)-1]
		f.hide(newest)
		all, logs = all[:len(all)-1], append(logs, newest)
	}
}

// rewrite fills the new generation.
func (s *Store) rewrite(from *pebble.DB, logs []string, found *Found) (err error) {
	if from != nil {
		defer from.Close()
	}
	f := s.newFiles()
	to, err := s.engine(f, false, s.corrupt)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrDisk, errors.Join(err, f.failed()))
	}
	defer func() {
		f.end()
		to.Close()
	}()
	if from != nil {
		if err := s.copyMessages(from, to, found); err != nil {
			return fmt.Errorf("%w: %w", ErrDisk, errors.Join(err, f.failed()))
		}
		if err := s.replay(logs, to, found); err != nil {
			return fmt.Errorf("%w: %w", ErrDisk, errors.Join(err, f.failed()))
		}
	}
	if err := recount(to); err != nil {
		return fmt.Errorf("%w: %w", ErrDisk, errors.Join(err, f.failed()))
	}
	if failed := f.failed(); failed != nil {
		return fmt.Errorf("%w: %w", ErrDisk, failed)
	}
	return nil
}

// copyMessages copies the records that can be read, with keys that find them. What can't be read is a range of ids: it is
// passed over whole, so that nothing that was removed comes back.
func (s *Store) copyMessages(from, to *pebble.DB, found *Found) error {
	const batch = 256
	b := to.NewBatch()
	commit := func() error {
		err := b.Commit(pebble.NoSync)
		b.Close()
		b = to.NewBatch()
		return err
	}
	defer func() { b.Close() }()
	for next := uint64(0); next <= math.MaxUint32; {
		last, err := scan(from, uint32(next), func(e Entry) error {
			if err := b.Set(messageKey(e.ID), appendRecord(nil, e), nil); err != nil {
				return err
			}
			for _, key := range indexKeys(e.Ref) {
				if err := b.Set(key, nil, nil); err != nil {
					return err
				}
			}
			if b.Count() < batch*4 {
				return nil
			}
			return commit()
		})
		var stop *writeError
		if errors.As(err, &stop) {
			return stop
		}
		if err == nil {
			break
		}
		after := beyond(from, last)
		found.Aside = append(found.Aside, fmt.Sprintf("messages %d to %d can't be read: %v", last, after-1, err))
		next = after
	}
	return commit()
}

// writeError is a failure of whoever took what was read.
type writeError struct{ error }

// scan reads the records from an id on. It returns the first id that it could not read, with the error.
func scan(db *pebble.DB, id uint32, take func(Entry) error) (uint32, error) {
	it, err := db.NewIter(&pebble.IterOptions{LowerBound: messageKey(id), UpperBound: []byte{keyMessage + 1}})
	if err != nil {
		return id, err
	}
	defer it.Close()
	for good := it.First(); good; good = it.Next() {
		id = binary.BigEndian.Uint32(it.Key()[1:])
		value, err := it.ValueAndErr()
		if err != nil {
			return id, err
		}
		e, err := readRecord(id, value)
		if err != nil {
			return id, err
		}
		if err := take(e); err != nil {
			return id, &writeError{err}
		}
		id++
	}
	return id, it.Error()
}

// beyond finds the least id above one that can't be read from which on something can, or there is nothing: by steps that
// double, then by halves.
func beyond(db *pebble.DB, id uint32) uint64 {
	reads := func(id uint64) bool {
		if id > math.MaxUint32 {
			return true
		}
		it, err := db.NewIter(&pebble.IterOptions{LowerBound: messageKey(uint32(id)), UpperBound: []byte{keyMessage + 1}})
		if err != nil {
			return false
		}
		defer it.Close()
		if it.First() {
			_, err := it.ValueAndErr()
			return err == nil
		}
		return it.Error() == nil
	}
	low, step := uint64(id), uint64(1)
	for !reads(low + step) {
		low, step = low+step, step*2
	}
	high := low + step
	for high-low > 1 {
		if mid := (low + high) / 2; reads(mid) {
			high = mid
		} else {
			low = mid
		}
	}
	return high
}

// replay applies what these logs of the old generation hold, each up to the first piece of it that can't be read.
func (s *Store) replay(names []string, to *pebble.DB, found *Found) error {
	if len(names) == 0 {
		return nil
	}
	old := s.newFiles()
	old.prefix, old.sealed = prefixOf(s.gen-1), true
	logs, err := wal.Scan(wal.Dir{FS: old, Dirname: "/"})
	if err != nil {
		return err
	}
	for _, l := range logs {
		_, file := l.SegmentLocation(0)
		if !slices.Contains(names, path.Base(file)) {
			continue
		}
		err := replayLog(l, to)
		var stop *writeError
		if errors.As(err, &stop) {
			return stop
		} else if err != nil {
			found.Aside = append(found.Aside, fmt.Sprintf("what follows in %s can't be read: %v", path.Base(file), err))
		}
	}
	return nil
}

func replayLog(l wal.LogicalLog, to *pebble.DB) error {
	r := l.OpenForRead()
	defer r.Close()
	for {
		one, _, err := r.NextRecord()
		if errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return err
		}
		data, err := io.ReadAll(one)
		if err != nil {
			return err
		}
		b := to.NewBatch()
		if err := b.SetRepr(data); err != nil {
			return errors.Join(err, b.Close())
		}
		if err := errors.Join(b.Commit(pebble.NoSync), b.Close()); err != nil {
			return &writeError{err}
		}
	}
}

// recount writes the counters by what the indexes hold.
func recount(db *pebble.DB) error {
	b := db.NewBatch()
	defer b.Close()
	if err := b.DeleteRange([]byte{keyCount}, []byte{keyCount + 1}, nil); err != nil {
		return err
	}
	err := eachDest(db, func(dest int, q queue) error {
		return b.Set(countKey(dest), appendPlace(binary.BigEndian.AppendUint64(nil, uint64(q.count)), q.low), nil)
	})
	if err != nil {
		return err
	}
	highest, low := uint32(0), lastPlace
	it, err := db.NewIter(&pebble.IterOptions{LowerBound: []byte{keyMessage}, UpperBound: []byte{keyMessage + 1}})
	if err != nil {
		return err
	}
	if it.Last() {
		highest, low = binary.BigEndian.Uint32(it.Key()[1:]), place{math.MinInt64, 0}
	}
	if err := it.Close(); err != nil {
		return err
	}
	if err := b.Set([]byte{keyState}, appendPlace(binary.BigEndian.AppendUint32(nil, highest), low), nil); err != nil {
		return err
	}
	return b.Commit(pebble.Sync)
}

// eachDest counts the index of destinations.
func eachDest(db *pebble.DB, tell func(dest int, q queue) error) error {
	it, err := db.NewIter(&pebble.IterOptions{LowerBound: []byte{keyDest}, UpperBound: []byte{keyDest + 1}})
	if err != nil {
		return err
	}
	defer it.Close()
	at, q := -1, queue{}
	for good := it.First(); good; good = it.Next() {
		if dest := int(binary.BigEndian.Uint32(it.Key()[1:])); dest != at {
			if q.count > 0 {
				if err := tell(at, q); err != nil {
					return err
				}
			}
			at, q = dest, queue{low: placeOf(it.Key())}
		}
		q.count++
	}
	if err := it.Error(); err != nil || q.count == 0 {
		return err
	}
	return tell(at, q)
}

// mend has the next start repair the folder.
func (s *Store) mend() {
	if f, err := s.fs.Open(mendName); err == nil {
		f.Close()
	}
}

// corrupt is told by the engine of a file that it can't read.
func (s *Store) corrupt(file string, err error) {
	s.noteDamage(fmt.Sprintf("%s can't be read: %v", path.Base(file), err))
	s.mend()
}
