package backlog

import (
	"bytes"
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
		if err := s.compactAll(ctx, db); err != nil {
			s.log.Debug("backlog: compaction aborted", "error", err)
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.compaction = nil
	}()
}

// compactAll compacts the store a few tables at a time, so that it needs little additional disk space. Each range is chosen by
// the tables of its moment: while others are compacted, the store may be emptied and filled again. Keys past the last one at
// the start are left alone.
func (s *Store) compactAll(ctx context.Context, db *pebble.DB) error {
	tables, err := tablesBelowL0(db)
	if err != nil {
		return err
	}
	if len(tables) == 0 {
		return db.Compact(ctx, []byte{0}, []byte{0xff}, false)
	}
	end := append(slices.Clone(slices.MaxFunc(tables, compareLargest).Largest.UserKey), 0)
	for from := []byte{0}; comparer.Compare(from, end) < 0; {
		if err := ctx.Err(); err != nil {
			return err
		}
		tables, err := tablesBelowL0(db)
		if err != nil {
			return err
		}
		to := rangeEnd(tables, from, end, uint64(baseLevelTables*s.opts.TableSize))
		if err := db.Compact(ctx, from, to, false); err != nil {
			return err
		}
		if s.rangeCompacted != nil {
			s.rangeCompacted()
		}
		from = to
	}
	return nil
}

// tablesBelowL0 returns the tables of all levels below L0, in the order of their smallest keys. A table of L0 may span all keys.
func tablesBelowL0(db *pebble.DB) ([]pebble.SSTableInfo, error) {
	levels, err := db.SSTables()
	if err != nil {
		return nil, err
	}
	tables := slices.Concat(levels[1:]...)
	slices.SortFunc(tables, func(a, b pebble.SSTableInfo) int {
		return comparer.Compare(a.Smallest.UserKey, b.Smallest.UserKey)
	})
	return tables, nil
}

func compareLargest(a, b pebble.SSTableInfo) int {
	return comparer.Compare(a.Largest.UserKey, b.Largest.UserKey)
}

// rangeEnd returns the end, at most end, of a range that begins at from and holds about size bytes of the tables. The tables
// are in the order of their smallest keys.
func rangeEnd(tables []pebble.SSTableInfo, from, end []byte, size uint64) []byte {
	var bytesInRange uint64
	for _, table := range tables {
		smallest := table.Smallest.UserKey
		if comparer.Compare(table.Largest.UserKey, from) < 0 {
			continue
		}
		if comparer.Compare(smallest, end) >= 0 {
			break
		}
		if bytesInRange >= size && comparer.Compare(smallest, from) > 0 {
			return bytes.Clone(smallest)
		}
		bytesInRange += table.Size
	}
	return end
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
