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

// repair copies the readable data of the current generation into a new one. Both take up disk space until it is done. If the
// process ends before that, the old generation is still complete.
func (s *Store) repair(report *OpenReport) error {
	old := s.newEngineFS()
	old.readOnly = true
	damagedFiles := map[string]bool{} // damaged files of the old generation, to be quarantined
	from, logs, err := s.openDamaged(old, damagedFiles, report)
	if err != nil {
		report.Lost = true
		report.Problems = append(report.Problems, fmt.Sprintf("nothing is readable, the store starts empty: %v", err))
	}
	names, err := s.fs.Names()
	if err != nil {
		return fmt.Errorf("%w: %w", ErrDisk, err)
	}
	s.generation++
	if err := s.rewrite(from, logs, report); err != nil {
		s.generation--
		return err
	}
	if err := s.writeOwner(); err != nil {
		return err
	}
	for _, name := range names {
		gen, ours := parseGeneration(name)
		if !ours && name != repairName || ours && gen >= s.generation {
			continue
		}
		if kept := ours && (report.Lost || damagedFiles[name]) && s.quarantine(name); kept {
			report.Problems = append(report.Problems, damagedPrefix+name)
			continue
		}
		if err := s.fs.Remove(name); err != nil {
			return fmt.Errorf("%w: %w", ErrDisk, err)
		}
		s.usage.remove(name)
	}
	report.Rebuilt = true
	return s.openForWriting()
}

// quarantine renames a damaged file to keep it for inspection, unless the quarantined files would take more than their share of
// the limit. It reports whether the file was kept.
func (s *Store) quarantine(name string) bool {
	to := damagedPrefix + name
	s.usage.mu.Lock()
	sum := s.usage.sizes[name]
	for n, size := range s.usage.sizes {
		if strings.HasPrefix(n, damagedPrefix) {
			sum += size
		}
	}
	s.usage.mu.Unlock()
	if sum > s.opts.Limit/quarantineShare || s.fs.Rename(name, to) != nil {
		return false
	}
	s.usage.rename(name, to)
	return true
}

// openDamaged opens as many of the engine's files as possible for reading only: first all of them, then without the options
// file, which is not needed, then also without the newest logs, leaving out one more at a time. It returns the logs left out,
// which must be replayed separately. An obsolete log does not prevent opening, and is not among them.
func (s *Store) openDamaged(f *engineFS, damagedFiles map[string]bool, report *OpenReport) (db *pebble.DB, logs []string, err error) {
	corrupt := func(file string, _ error) {
		s.mu.Lock()
		defer s.mu.Unlock()
		damagedFiles[f.name(file)] = true
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
	if db, err = s.openEngine(f, true, corrupt); err == nil {
		return db, nil, nil
	}
	report.Problems = append(report.Problems, err.Error())
	for _, name := range names {
		if strings.HasPrefix(name, "OPTIONS-") {
			f.hide(name)
		}
	}
	for {
		if db, err = s.openEngine(f, true, corrupt); err == nil {
			slices.Reverse(logs)
			if len(logs) > 0 {
				damagedFiles[f.name(logs[0])] = true
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

// rewrite writes the new generation.
func (s *Store) rewrite(from *pebble.DB, logs []string, report *OpenReport) (err error) {
	if from != nil {
		defer from.Close()
	}
	f := s.newEngineFS()
	to, err := s.openEngine(f, false, s.onCorruption)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrDisk, errors.Join(err, f.failed()))
	}
	defer func() {
		f.shutDown()
		to.Close()
	}()
	if from != nil {
		if err := s.copyMessages(from, to, report); err != nil {
			return fmt.Errorf("%w: %w", ErrDisk, errors.Join(err, f.failed()))
		}
		if err := s.replayLogs(logs, to, report); err != nil {
			return fmt.Errorf("%w: %w", ErrDisk, errors.Join(err, f.failed()))
		}
	}
	if err := rebuildCounters(to); err != nil {
		return fmt.Errorf("%w: %w", ErrDisk, errors.Join(err, f.failed()))
	}
	if failed := f.failed(); failed != nil {
		return fmt.Errorf("%w: %w", ErrDisk, failed)
	}
	return nil
}

// copyMessages copies the readable records and creates their index keys. An unreadable range of ids is skipped as a whole, so
// that no removed message reappears.
func (s *Store) copyMessages(from, to *pebble.DB, report *OpenReport) error {
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
		last, err := scanRecords(from, uint32(next), func(e Entry) error {
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
		after := nextReadable(from, last)
		report.Problems = append(report.Problems, fmt.Sprintf("messages %d to %d cannot be read: %v", last, after-1, err))
		next = after
	}
	return commit()
}

// writeError is an error of the writing side of a copy, as opposed to one of reading the old generation.
type writeError struct{ error }

// scanRecords reads the records in order of id, beginning with id. On failure it returns the first unreadable id and the error.
func scanRecords(db *pebble.DB, id uint32, visit func(Entry) error) (uint32, error) {
	it, err := db.NewIter(&pebble.IterOptions{LowerBound: messageKey(id), UpperBound: []byte{keyMessage + 1}})
	if err != nil {
		return id, err
	}
	defer it.Close()
	for valid := it.First(); valid; valid = it.Next() {
		id = binary.BigEndian.Uint32(it.Key()[1:])
		value, err := it.ValueAndErr()
		if err != nil {
			return id, err
		}
		e, err := decodeRecord(id, value)
		if err != nil {
			return id, err
		}
		if err := visit(e); err != nil {
			return id, &writeError{err}
		}
		id++
	}
	return id, it.Error()
}

// nextReadable returns the lowest id above an unreadable one at which reading succeeds, or finds no more records. It searches
// with doubling steps, then by bisection.
func nextReadable(db *pebble.DB, id uint32) uint64 {
	readable := func(id uint64) bool {
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
	for !readable(low + step) {
		low, step = low+step, step*2
	}
	high := low + step
	for high-low > 1 {
		if mid := (low + high) / 2; readable(mid) {
			high = mid
		} else {
			low = mid
		}
	}
	return high
}

// replayLogs applies the named logs of the old generation, each up to its first unreadable record.
func (s *Store) replayLogs(names []string, to *pebble.DB, report *OpenReport) error {
	if len(names) == 0 {
		return nil
	}
	old := s.newEngineFS()
	old.prefix, old.readOnly = generationPrefix(s.generation-1), true
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
			report.Problems = append(report.Problems, fmt.Sprintf("the rest of %s cannot be read: %v", path.Base(file), err))
		}
	}
	return nil
}

func replayLog(l wal.LogicalLog, to *pebble.DB) error {
	r := l.OpenForRead()
	defer r.Close()
	for {
		rec, _, err := r.NextRecord()
		if errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return err
		}
		data, err := io.ReadAll(rec)
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

// rebuildCounters recomputes the counters from the indexes.
func rebuildCounters(db *pebble.DB) error {
	b := db.NewBatch()
	defer b.Close()
	if err := b.DeleteRange([]byte{keyCount}, []byte{keyCount + 1}, nil); err != nil {
		return err
	}
	err := forEachDest(db, func(dest int, state destState) error {
		return b.Set(countKey(dest), appendPosition(binary.BigEndian.AppendUint64(nil, uint64(state.count)), state.minRank), nil)
	})
	if err != nil {
		return err
	}
	maxID, minDeadline := uint32(0), maxPosition
	it, err := db.NewIter(&pebble.IterOptions{LowerBound: []byte{keyMessage}, UpperBound: []byte{keyMessage + 1}})
	if err != nil {
		return err
	}
	if it.Last() {
		maxID, minDeadline = binary.BigEndian.Uint32(it.Key()[1:]), position{math.MinInt64, 0}
	}
	if err := it.Close(); err != nil {
		return err
	}
	if err := b.Set([]byte{keyState}, appendPosition(binary.BigEndian.AppendUint32(nil, maxID), minDeadline), nil); err != nil {
		return err
	}
	return b.Commit(pebble.Sync)
}

// forEachDest calls visit with the state of each destination that is in the destination index.
func forEachDest(db *pebble.DB, visit func(dest int, state destState) error) error {
	it, err := db.NewIter(&pebble.IterOptions{LowerBound: []byte{keyDest}, UpperBound: []byte{keyDest + 1}})
	if err != nil {
		return err
	}
	defer it.Close()
	at, q := -1, destState{}
	for valid := it.First(); valid; valid = it.Next() {
		if dest := int(binary.BigEndian.Uint32(it.Key()[1:])); dest != at {
			if q.count > 0 {
				if err := visit(at, q); err != nil {
					return err
				}
			}
			at, q = dest, destState{minRank: decodePosition(it.Key())}
		}
		q.count++
	}
	if err := it.Error(); err != nil || q.count == 0 {
		return err
	}
	return visit(at, q)
}

// requestRepair makes the next Open repair the folder.
func (s *Store) requestRepair() {
	if f, err := s.fs.Open(repairName); err == nil {
		f.Close()
	}
}

// onCorruption is called by the engine for a file that it cannot read.
func (s *Store) onCorruption(file string, err error) {
	s.noteDamage(fmt.Sprintf("%s cannot be read: %v", path.Base(file), err))
	s.requestRepair()
}
