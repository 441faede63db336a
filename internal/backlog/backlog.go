// Package backlog stores on disk the messages that a relay has accepted, has not attempted yet, and cannot fit into its
// in-memory window. It deals with destinations, deadlines and disk space, and knows nothing about routes.
//
// Memory use grows with the number of destinations that have messages, not with the number of messages: opening a store
// reads only the counters. The storage engine is Pebble, a log-structured merge tree. It runs on engineFS, a file system
// layer that turns every disk failure into the on-disk state that SIGKILL would have left; the store then reopens its folder.
package backlog

import (
	"errors"
	"iter"
	"log/slog"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/pebble/v2"

	"onyxroad.dev/onyxroad/internal/backlog/storage"
	"onyxroad.dev/onyxroad/internal/disk"
)

var (
	// ErrFull is returned when there is no space for the added messages. Changes that only remove messages still succeed.
	ErrFull = storage.ErrFull
	// ErrDisk is returned when the disk fails; it wraps the cause. Whether the failed change was stored is known only once a
	// later Apply succeeds. Applying the same change again is harmless.
	ErrDisk = errors.New("backlog: the disk fails")
	// ErrDamaged is returned when stored data cannot be read. The next Open repairs the folder.
	ErrDamaged = errors.New("backlog: damaged")
	// ErrWrongOwner is returned when the folder belongs to another relay.
	ErrWrongOwner = errors.New("backlog: another relay's folder")
	// ErrLocked is returned when another process has the folder open.
	ErrLocked = errors.New("backlog: the folder is in use")
	// ErrClosed is returned by a closed store.
	ErrClosed = errors.New("backlog: closed")
)

// Types shared with the relay, which must not link the storage engine.
type (
	Ref        = storage.Ref
	Entry      = storage.Entry
	OpenReport = storage.OpenReport
)

// Options configures a store.
type Options struct {
	Dir   string       // dedicated folder, created if missing
	Limit int64        // total bytes on disk, including all overhead; 0: DefaultLimit
	Fsync bool         // applied changes also survive a power loss; otherwise only the end of the process
	Name  string       // name of the relay; a folder of another relay is refused unless Adopt is set
	Adopt bool         // take over another relay's folder
	FS    disk.FS      // file system of the folder, which must also be a disk.ReadOpener; nil: the operating system's
	Log   *slog.Logger // nil: no logging

	// Sizes in bytes of the engine's block cache, of one memtable and of one table file; 0: defaults. For tests.
	CacheSize, MemTableSize, TableSize int64
}

// Store keeps messages on disk. Apply, First, Due, NextDue and Dests must be called from a single goroutine; all other
// methods are safe for concurrent use.
type Store struct {
	opts       Options
	fs         storeFS
	log        *slog.Logger
	lockFile   *os.File // holds the lock on the folder
	usage      *diskUsage
	generation uint64    // current generation of the engine's files
	lastReopen time.Time // last attempt to reopen the folder
	now        func() time.Time

	dbMu     sync.RWMutex // read-locked while db is in use
	db       *pebble.DB   // nil: could not be opened
	files    *engineFS    // file system used by db
	writeErr error        // why the folder is not writable
	closed   bool

	mu                     sync.Mutex
	dests                  map[int]*destState
	sortedDests            []int // sorted keys of dests; nil: must be recomputed
	messages               int
	maxID                  uint32
	minDeadline            position        // lower bound of all positions in the deadline index
	dangling               map[string]bool // index keys without a readable message; true: delete the record as well
	removedSinceCompaction int             // messages removed since the last full compaction; after opening assumed to be all
	compaction             *compactionJob  // nil: none is running
	rangeCompacted         func()          // called after each range of a full compaction; for tests
	damageNotes            []string        // descriptions of damage found since Open
}

// destState is the in-memory state of one destination.
type destState struct {
	count   int
	minRank position // lower bound of all positions in the destination's index
}

// Len returns the number of stored messages.
func (s *Store) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.messages
}

// Count returns the number of messages of a destination.
func (s *Store) Count(dest int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state := s.dests[dest]; state != nil {
		return state.count
	}
	return 0
}

// Dests yields the destinations that have messages, in ascending order, with their number of messages.
func (s *Store) Dests() iter.Seq2[int, int] {
	return func(yield func(int, int) bool) {
		s.mu.Lock()
		if s.sortedDests == nil {
			s.sortedDests = make([]int, 0, len(s.dests))
			for d := range s.dests {
				s.sortedDests = append(s.sortedDests, d)
			}
			slices.Sort(s.sortedDests)
		}
		all := s.sortedDests
		s.mu.Unlock()
		for _, d := range all {
			if n := s.Count(d); n > 0 && !yield(d, n) {
				return
			}
		}
	}
}

// DiskBytes returns the total number of bytes on disk, including all overhead.
func (s *Store) DiskBytes() int64 { return s.usage.total.Load() }
