package wal

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"onyxroad.dev/onyxroad/internal/clock"
)

// What goes on beside the log's owner: syncs and snapshots, and how the log goes on after one has failed.

// renew writes a snapshot beside whatever goes on. anew tells that the log waits for it.
func (s *segments) renew(gen uint64, live [][]byte, anew bool) {
	s.mu.Lock()
	s.renewing = true
	s.mu.Unlock()
	s.ended.Go(func() {
		err := s.snapshot(gen, live)
		s.mu.Lock()
		s.renewing = false
		if err != nil {
			s.tried = clock.Now()
		} else if anew {
			s.renewed = gen
		}
		s.mu.Unlock()
		s.Told()
	})
}

// tend goes on after a failure: it has a snapshot written, and then begins a new segment. live is asked for what the
// snapshot shall hold; true tells that the log may be written again.
func (s *segments) tend(live func() [][]byte) bool {
	s.mu.Lock()
	failed, renewing, renewed, tried := s.failed, s.renewing, s.renewed, s.tried
	s.mu.Unlock()
	switch {
	case failed == nil:
		return true
	case renewing:
	case renewed > 0:
		if s.begin(renewed, nil) != nil {
			s.mu.Lock()
			s.renewed = 0 // its snapshot is older than what follows: another one
			s.mu.Unlock()
			return false
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		for _, d := range s.dirty {
			d.file.Close()
		}
		s.dirty, s.failed, s.renewed, s.since = nil, nil, 0, time.Time{}
		s.written++ // a snapshot is a write as well
		s.durable = s.written
		return true
	case clock.Since(tried) >= renewAfter:
		if s.guard() != nil {
			s.mu.Lock()
			s.tried = clock.Now()
			s.mu.Unlock()
			return false
		}
		gen := s.gen + 1
		if !s.Power {
			s.tried = clock.Now()
			if s.snapshot(gen, live()) == nil && s.begin(gen, nil) == nil {
				s.failed = nil
				s.written++
				s.durable = s.written
				return true
			}
			return false
		}
		s.renew(gen, live(), true)
	}
	return false
}

// syncs is the goroutine that brings to disk what was written. One sync serves all writes that came before it.
func (s *segments) syncs() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		for (len(s.dirty) == 0 || s.failed != nil) && !s.closing {
			s.wake.Wait()
		}
		if len(s.dirty) == 0 || s.failed != nil {
			return
		}
		todo, target, began, names := slices.Clone(s.dirty), s.written, clock.Now(), s.names
		s.names = false
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
			s.failed, s.tried = fmt.Errorf("wal: sync: %w", err), time.Time{}
		} else {
			s.synced(todo, target, began)
		}
		s.mu.Unlock()
		s.Told()
		s.mu.Lock()
	}
}

// synced notes what is on disk now; with mu held.
func (s *segments) synced(todo []dirty, target uint64, began time.Time) {
	s.durable = target
	for i, d := range todo {
		if d.file == s.file {
			s.kept = d.size
		}
		if s.dirty[i].size > d.size {
			continue // written to since
		}
		if s.dirty[i].over {
			d.file.Close()
		}
		s.dirty[i].file = nil
	}
	s.dirty = slices.DeleteFunc(s.dirty, func(d dirty) bool { return d.file == nil })
	s.since = time.Time{}
	if s.written > s.durable {
		s.since = began // at the latest
	}
}

// close has what was written on disk, and tells the next reader so.
func (s *segments) close() error {
	var err error
	if !s.worn() {
		err = s.append([][]byte{payload(record{Kind: recSeal}, nil)})
	}
	s.mu.Lock()
	s.closing = true
	s.wake.Signal()
	s.mu.Unlock()
	s.ended.Wait()
	if s.file == nil {
		return err
	}
	if s.failed != nil {
		return errors.Join(err, s.failed, s.file.Close())
	}
	if err == nil && s.Power {
		// A last frame that vouches for all before it: from here on whatever can't be read there is damage.
		s.closed = true
		if err = s.append([][]byte{payload(record{Kind: recSeal}, nil)}); err == nil {
			err = s.file.Sync()
		}
	}
	return errors.Join(err, s.file.Close())
}

func (s *segments) marks() (written, durable uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.written, s.durable
}
