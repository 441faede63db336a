package backlog

import (
	"context"
	"slices"

	"github.com/cockroachdb/pebble/v2"
)

// compactionThreshold sets when a full store is compacted: once the messages removed since the last compaction are more than
// 1/compactionThreshold of the stored ones.
const compactionThreshold = 8

// compactionJob is a running compaction of the whole store.
type compactionJob struct {
	cancel context.CancelFunc
	done   chan struct{}
}

// compactIfWorthwhile starts a compaction of a full store to release the space of removed messages. The engine itself compacts
// only as more is written, which a full store refuses. At most one compaction runs at a time, and none is started if few
// messages were removed since the last one. Closing the engine stops it.
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
			s.log.Debug("backlog: compaction aborted", "error", err)
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.compaction = nil
	}()
}

// compactAll compacts the store a few tables at a time, so that it needs little additional disk space.
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

// stopCompaction cancels a running compaction and waits for it to end.
func (s *Store) stopCompaction() {
	s.mu.Lock()
	job := s.compaction
	s.mu.Unlock()
	if job != nil {
		job.cancel()
		<-job.done
	}
}
