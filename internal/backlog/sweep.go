package backlog

import (
	"context"
	"slices"

	"github.com/cockroachdb/pebble/v2"
)

// compactionThreshold is the share of what is owed that has to have gone before a full store is swept.
const compactionThreshold = 8

// compactionJob is a compaction under way of all that is on disk.
type compactionJob struct {
	cancel context.CancelFunc
	done   chan struct{}
}

// compactIfWorthwhile has the room of what was removed given back, where the store is full: the engine does so by itself only as more is
// written, which a full store refuses. One goes on at a time, and none if little was removed since the last. It ends with
// the engine.
func (s *Store) compactIfWorthwhile() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.removedSinceCompaction*compactionThreshold <= s.messages || s.compaction != nil {
		return
	}
	s.removedSinceCompaction = 0
	ctx, cancel := context.WithCancel(context.Background())
	job := &compactionJob{cancel, make(chan struct{})}
	s.compaction = job
	db := s.db
	go func() {
		defer close(job.done)
		if err := compactAll(ctx, db); err != nil {
			s.log.Debug("backlog: a compaction was given up", "error", err)
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.compaction = nil
	}()
}

// compactAll compacts a few tables at a time, so that it takes little room beside them.
func compactAll(ctx context.Context, db *pebble.DB) error {
	levels, err := db.SSTables()
	if err != nil {
		return err
	}
	bounds := [][]byte{{0}, {0xff}}
	for _, level := range slices.Backward(levels) {
		if len(level) == 0 {
			continue
		}
		for i := baseLevelTables; i < len(level); i += baseLevelTables {
			bounds = append(bounds, slices.Clone(level[i].Smallest.UserKey))
		}
		break
	}
	slices.SortFunc(bounds, comparer.Compare)
	for i := range bounds[1:] {
		if err := ctx.Err(); err != nil {
			return err
		}
		if err := db.Compact(ctx, bounds[i], bounds[i+1], false); err != nil {
			return err
		}
	}
	return nil
}

// stopCompaction has a sweep end, and waits for it.
func (s *Store) stopCompaction() {
	s.mu.Lock()
	job := s.compaction
	s.mu.Unlock()
	if job != nil {
		job.cancel()
		<-job.done
	}
}
