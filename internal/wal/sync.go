package wal

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"onyxroad.dev/onyxroad/internal/clock"
)

// What goes on beside the log's owner: syncs and snapshots, and how the log goes on after one has failed.

// snapshotInBackground writes a snapshot beside whatever goes on. anew tells that the log waits for it.
func (s *segmentedLog) snapshotInBackground(gen uint64, live [][]byte, anew bool) {
	s.mu.Lock()
	s.snapshotting = true
	s.mu.Unlock()
	s.background.Go(func() {
		err := s.writeSnapshot(gen, live)
		s.mu.Lock()
		s.snapshotting = false
		if err != nil {
			s.lastFailedTry = clock.Now()
		} else if anew {
			s.recoveryGen = gen
		}
		s.mu.Unlock()
		s.Notify()
	})
}

// tryRecover goes on after a failure: it has a snapshot written, and then begins a new segment. live is asked for what the
// snapshot shall hold; true tells that the log may be written again.
func (s *segmentedLog) tryRecover(live func() [][]byte) bool {
	s.mu.Lock()
	failed, renewing, renewed, tried := s.failed, s.snapshotting, s.recoveryGen, s.lastFailedTry
	s.mu.Unlock()
	switch {
	case failed == nil:
		return true
	case renewing:
	case renewed > 0:
		if s.beginSegment(renewed, nil) != nil {
			s.mu.Lock()
			s.recoveryGen = 0 // its snapshot is older than what follows: another one
			s.mu.Unlock()
			return false
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		for _, d := range s.unsynced {
			d.file.Close()
		}
		s.unsynced, s.failed, s.recoveryGen, s.unsyncedSince = nil, nil, 0, time.Time{}
		s.written++ // a snapshot is a write as well
		s.durable = s.written
		return true
	case clock.Since(tried) >= recoveryRetryInterval:
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

// syncLoop is the goroutine that brings to disk what was written. One sync serves all writes that came before it.
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
		todo, target, began, names := slices.Clone(s.unsynced), s.written, clock.Now(), s.dirUnsynced
		s.dirUnsynced = false
		s.mu.Unlock()
		var err error
		for _, d := range todo { // the older first: what stands in the later one counts only with it
			if err == nil {
				err = d.file.Sync()
			}
		}
		if err == nil && names {
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

// markSynced notes what is on disk now; with mu held.
func (s *segmentedLog) markSynced(todo []unsyncedSegment, target uint64, began time.Time) {
	s.durable = target
	for i, d := range todo {
		if d.file == s.file {
			s.syncedBytes = d.size
		}
		if s.unsynced[i].size > d.size {
			continue // written to since
		}
		if s.unsynced[i].complete {
			d.file.Close()
		}
		s.unsynced[i].file = nil
	}
	s.unsynced = slices.DeleteFunc(s.unsynced, func(d unsyncedSegment) bool { return d.file == nil })
	s.unsyncedSince = time.Time{}
	if s.written > s.durable {
		s.unsyncedSince = began // at the latest
	}
}

// close has what was written on disk, and tells the next reader so.
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
		// A last frame that vouches for all before it: from here on whatever can't be read there is damage.
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
