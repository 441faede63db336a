package backlog

import (
	"context"
	"fmt"
	"log/slog"

	"github.com/cockroachdb/pebble/v2"
	"github.com/cockroachdb/pebble/v2/bloom"
)

// DefaultLimit is the default limit of a store's size on disk, in bytes.
const DefaultLimit = 4 << 30

const (
	defaultCacheSize    = 16 << 20 // data, index and filter blocks; the filters of 5.5 million messages take 7 MB
	defaultMemTableSize = 4 << 20  // one memtable
	maxMemTables        = 4        // writes stall beyond this number
	defaultTableSize    = 8 << 20  // one table file
	maxOpenTables       = 96       // file descriptors for tables; the log, the manifest and files being written add about 8
	manifestBytes       = 4 << 20  // size at which the manifest is rotated
	maxCompactions      = 1        // concurrent compactions
	blockBytes          = 8 << 10
	filterBits          = 10  // bits per key: 1 % of the lookups of absent keys read a block
	maxL0Tables         = 16  // L0 tables, each the size of a memtable, at which writes stall until they are compacted
	baseLevelTables     = 4   // tables of the level that L0 is compacted into
	quarantineShare     = 16  // quarantined files take at most 1/16 of the limit
	bufferShare         = 128 // by default, a memtable and a table file take at most 1/128 of the limit each
)

func (o *Options) setDefaults() {
	if o.Limit <= 0 {
		o.Limit = DefaultLimit
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	if o.CacheSize <= 0 {
		o.CacheSize = defaultCacheSize
	}
	if o.MemTableSize <= 0 {
		o.MemTableSize = max(64<<10, min(defaultMemTableSize, o.Limit/bufferShare))
	}
	if o.TableSize <= 0 {
		o.TableSize = max(64<<10, min(defaultTableSize, o.Limit/bufferShare))
	}
}

// reserve returns the number of bytes that additions must leave free. They are needed for removals and for what the engine
// writes before it can release space: its logs, the logs that it keeps for reuse, and the output of a compaction of all L0
// tables, which exists beside its input for a while. This is a quarter of a small limit, and 150 MB of a large one.
func (o *Options) reserve() int64 {
	return (maxL0Tables+2*maxMemTables+1)*o.MemTableSize + (baseLevelTables+2)*o.TableSize
}

// openEngine opens one generation of the engine's files.
func (s *Store) openEngine(f *engineFS, readOnly bool, onCorruption func(path string, err error)) (db *pebble.DB, err error) {
	// The engine panics on some kinds of damage, which must not end the process.
	defer func() {
		if r := recover(); r != nil {
			db, err = nil, fmt.Errorf("%w: the storage engine panicked: %v", ErrDamaged, r)
		}
	}()
	o := &pebble.Options{
		FS:                          f,
		Comparer:                    comparer,
		FormatMajorVersion:          pebble.FormatValueSeparation,
		CacheSize:                   s.opts.CacheSize,
		MemTableSize:                uint64(s.opts.MemTableSize),
		MemTableStopWritesThreshold: maxMemTables,
		L0CompactionThreshold:       2,
		L0StopWritesThreshold:       maxL0Tables,
		LBaseMaxBytes:               baseLevelTables * s.opts.TableSize,
		MaxOpenFiles:                maxOpenTables,
		MaxManifestFileSize:         manifestBytes,
		CompactionConcurrencyRange:  func() (int, int) { return 1, maxCompactions },
		DisableConsistencyCheck:     readOnly,
		ReadOnly:                    readOnly,
		Logger:                      logger{s.log},
		EventListener: &pebble.EventListener{
			BackgroundError: func(err error) { s.log.Debug("backlog: engine", "error", err) },
			DataCorruption: func(i pebble.DataCorruptionInfo) {
				if f.failed() == nil {
					onCorruption(i.Path, i.Details)
				}
			},
		},
	}
	for i := range o.TargetFileSizes {
		o.TargetFileSizes[i] = s.opts.TableSize
	}
	for i := range o.Levels {
		o.Levels[i].BlockSize = blockBytes
		o.Levels[i].FilterPolicy = bloom.FilterPolicy(filterBits)
	}
	o.Experimental.FileCacheShards = 1
	return pebble.Open("/", o)
}

// logger forwards the engine's log messages. Unlike the engine's default logger, Fatalf does not end the process: what the
// engine considers fatal either has failed in engineFS first, or is damage that is detected again later.
type logger struct{ log *slog.Logger }

func (l logger) Infof(format string, args ...any) {
	if l.log.Enabled(context.Background(), slog.LevelDebug) {
		l.log.Debug("backlog: engine", "says", fmt.Sprintf(format, args...))
	}
}

func (l logger) Errorf(format string, args ...any) {
	l.log.Warn("backlog: engine", "says", fmt.Sprintf(format, args...))
}

func (l logger) Fatalf(format string, args ...any) {
	l.log.Error("backlog: engine", "says", fmt.Sprintf(format, args...))
}
