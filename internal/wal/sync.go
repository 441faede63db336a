package wal

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"onyxroad.dev/onyxroad/internal/clock"
)

// Background work of a segmented log: syncs and snapshots, and recovery after one has failed.

// snapshotInBackground writes a snapshot in the background. forRecovery means that the log waits for it after a failure.
func (s *segmentedLog) snapshotInBackground(gen uint64, live [][]byte, forRecovery bool) {
	s.mu.Lock()
	s.snapshotting = true
	s.mu.Unlock()
	s.background.Go(func() {
		err := s.writeSnapshot(gen, live)
		s.mu.Lock()
		s.snapshotting = false
		if err != nil {
			s.lastFailedTry = clock.Now()
		} else if forRecovery {
			s.recoveryGen = gen
		}
		s.mu.Unlock()
		s.Notify()
	})
}

// tryRecover resumes after a failure: it has a snapshot written and then begins a new segment. live returns the records for the
// snapshot. The result is true once the log can be written again.
func (s *segmentedLog) tryRecover(live func() [][]byte) bool {
	s.mu.Lock()
	failed, snapshotting, recoveryGen, lastFailedTry := s.failed, s.snapshotting, s.recoveryGen, s.lastFailedTry
	s.mu.Unlock()
	switch {
	case failed == nil:
		return true
	case snapshotting:
	case recoveryGen > 0:
		if s.beginSegment(recoveryGen, nil) != nil {
			s.mu.Lock()
			s.recoveryGen = 0 // the snapshot may be out of date by the next attempt: write another
			s.mu.Unlock()
			return false
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		for _, d := range s.unsynced {
			d.file.Close()
		}
		s.unsynced, s.failed, s.recoveryGen, s.unsyncedSince = nil, nil, 0, time.Time{}
		s.written++ // a snapshot counts as a write
		s.durable = s.written
		return true
	case clock.Since(lastFailedTry) >= recoveryRetryInterval:
		if s.writeGuard() != nil {
			s.mu.Lock()
			s.lastFailedTry = clock.Now()
			s.mu.Unlock()
			return false
		}
		gen := s.gen + 1
		if !s.SyncWrites {
			s.lastFailedTry = clock.Now()
			if s.writeSnapshot(gen, live()) == nil && s.beginSegment(gen, nil) == nil {
				s.failed = nil
				s.written++
				s.durable = s.written
				return true
			}
			return false
		}
		s.snapshotInBackground(gen, live(), true)
	}
	return false
}

// syncLoop runs in a goroutine and syncs what was written. One sync covers all writes before it.
func (s *segmentedLog) syncLoop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		for (len(s.unsynced) == 0 || s.failed != nil) && !s.closing {
			s.wake.Wait()
		}
		if len(s.unsynced) == 0 || s.failed != nil {
			return
		}
		todo, target, began, dirUnsynced := slices.Clone(s.unsynced), s.written, clock.Now(), s.dirUnsynced
		s.dirUnsynced = false
		s.mu.Unlock()
		var err error
		for _, d := range todo { // oldest first: a later segment only counts together with the earlier ones
			if err == nil {
				err = d.file.Sync()
			}
		}
		if err == nil && dirUnsynced {
			err = s.FS.SyncDir()
		}
		s.mu.Lock()
		if err != nil {
			s.failed, s.lastFailedTry = fmt.Errorf("wal: sync: %w", err), time.Time{}
		} else {
			s.markSynced(todo, target, began)
		}
		s.mu.Unlock()
		s.Notify()
		s.mu.Lock()
	}
}

// markSynced records what a sync has brought to disk. The caller must hold mu.
func (s *segmentedLog) markSynced(todo []unsyncedSegment, target uint64, began time.Time) {
	s.durable = target
	for i, d := range todo {
		if d.file == s.file {
			s.syncedBytes = d.size
		}
		if s.unsynced[i].size > d.size {
			continue // written to during the sync
		}
		if s.unsynced[i].complete {
			d.file.Close()
		}
		s.unsynced[i].file = nil
	}
	s.unsynced = slices.DeleteFunc(s.unsynced, func(d unsyncedSegment) bool { return d.file == nil })
	s.unsyncedSince = time.Time{}
	if s.written > s.durable {
		s.unsyncedSince = began // the remaining writes came after the sync began
	}
}

// close syncs everything that was written and records in the segment, for the next reader, that it is durable.
func (s *segmentedLog) close() error {
	var err error
	if !s.needsNewFile() {
		err = s.append([][]byte{payload(record{Kind: recSeal}, nil)})
	}
	s.mu.Lock()
	s.closing = true
	s.wake.Signal()
	s.mu.Unlock()
	s.background.Wait()
	if s.file == nil {
		return err
	}
	if s.failed != nil {
		return errors.Join(err, s.failed, s.file.Close())
	}
	if err == nil && s.SyncWrites {
		// A final frame states that all bytes before it are durable: whatever is unreadable there later is damage.
		s.sealed = true
		if err = s.append([][]byte{payload(record{Kind: recSeal}, nil)}); err == nil {
			err = s.file.Sync()
		}
	}
	return errors.Join(err, s.file.Close())
}

func (s *segmentedLog) writeNumbers() (written, durable uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.written, s.durable
}
