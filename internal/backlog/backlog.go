// Package backlog keeps on disk the messages that a relay owes, has not tried, and has no room for in its window. It knows
// destinations, times and room, and nothing of routes.
//
// What it holds in memory goes by destinations that have messages, not by messages: a start reads the counters alone. The
// engine is pebble, a log-structured merge tree, under a file layer of our own (see files) which turns every failure of the
// disk into the state that SIGKILL would have left; the store then opens its folder anew.
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

	"onyxroad.dev/onyxroad/internal/backlog/owed"
	"onyxroad.dev/onyxroad/internal/disk"
)

var (
	// ErrFull tells that there is no room for what is put. Removals go through.
	ErrFull = owed.ErrFull
	// ErrDisk tells that the disk fails; it wraps the cause. Whether what was applied is there is known only once a later
	// Apply succeeds: applied again it does no harm.
	ErrDisk = errors.New("backlog: the disk fails")
	// ErrDamaged tells that something on disk can't be read. The next Open mends it.
	ErrDamaged = errors.New("backlog: damaged")
	// ErrWrongOwner tells that the folder is another relay's.
	ErrWrongOwner = errors.New("backlog: another relay's folder")
	// ErrLocked tells that another process has the folder open.
	ErrLocked = errors.New("backlog: the folder is in use")
	// ErrClosed tells that the store is closed.
	ErrClosed = errors.New("backlog: closed")
)

// The words that the store shares with the relay.
type (
	Ref        = owed.Ref
	Entry      = owed.Entry
	OpenReport = owed.OpenReport
)

// Options says where and how a store keeps its messages.
type Options struct {
	Dir   string       // own folder, made if there is none
	Limit int64        // bytes on disk, everything counted; DefaultLimit if 0
	Fsync bool         // what Apply has returned for survives a loss of power too; else the process's end alone
	Name  string       // the relay's: a folder of another one is refused, unless Adopt
	Adopt bool         // take over another relay's folder
	FS    disk.FS      // the folder's files, which must be a disk.Opener too; nil: the operating system's
	Log   *slog.Logger // nil: none

	// Sizes of the engine's memory in bytes, and of its files; 0: defaults. For tests.
	CacheSize, MemTableSize, TableSize int64
}

// Store keeps messages on disk. Apply, First, Due, NextDue and Dests belong to one goroutine; the others to any.
type Store struct {
	opts       Options
	fs         storeFS
	log        *slog.Logger
	lockFile   *os.File // the lock on the folder
	usage      *diskUsage
	generation uint64    // of the engine's files
	lastReopen time.Time // when the folder was last opened anew
	now        func() time.Time

	dbMu     sync.RWMutex // held for reading by whoever uses db
	db       *pebble.DB   // nil: can't be opened
	files    *engineFS    // db's
	writeErr error        // why the folder can't be written
	closed   bool

	mu                     sync.Mutex
	dests                  map[int]*destState
	sortedDests            []int // keys of dests, nil: not known
	messages               int
	highest                uint32
	minDeadline            position        // in the order of deadlines: nothing is before it
	dangling               map[string]bool // keys of indexes that find no message that can be read; true: its record goes too
	removedSinceCompaction int             // messages removed since the last sweep; all there are after a start, which doesn't know
	compaction             *compactionJob  // nil: none
	damageNotes            []string        // in plain words, since Open
}

// destState is what is known of one destination.
type destState struct {
	count   int
	minRank position // nothing is before it
}

// Len is how many messages there are.
func (s *Store) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.messages
}

// Count is how many messages a destination has.
func (s *Store) Count(dest int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if q := s.dests[dest]; q != nil {
		return q.count
	}
	return 0
}

// Dests lists the destinations that have messages, with how many, in ascending order.
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

// DiskBytes is the bytes on disk, everything counted.
func (s *Store) DiskBytes() int64 { return s.usage.total.Load() }
