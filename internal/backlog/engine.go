package backlog

import (
	"context"
	"fmt"
	"log/slog"

	"github.com/cockroachdb/pebble/v2"
	"github.com/cockroachdb/pebble/v2/bloom"
)

// DefaultLimit is the bytes on disk that a store may take where nothing is said.
const DefaultLimit = 4 << 30

const (
	defaultCacheSize    = 16 << 20 // blocks, indexes and filters that were read; 7 MB of it are filters at 5.5 million messages
	defaultMemTableSize = 4 << 20  // one write buffer
	maxMemTables        = 4        // of them at most, before a write waits
	defaultTableSize    = 8 << 20  // a table
	maxOpenTables       = 96       // descriptors that tables take at most; the log, the manifest and what is written add some 8
	manifestBytes       = 4 << 20  // of changes, before a new one is begun
	maxCompactions      = 1        // at a time
	blockBytes          = 8 << 10
	filterBits          = 10 // a key: one miss in a hundred reads a block
	maxL0Tables         = 16 // write buffers' worth of tables that wait to be merged, before a write waits
	baseLevelTables     = 4  // tables of the level that these are merged into
	damagedShare        = 16 // damaged files are kept up to the limit's 16th
	bufferShare         = 128
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

// reserve is the bytes that are kept free of what is put, for removals and for what the engine writes before it can give reserve
// back: its logs, those it keeps to be used again, and a compaction of all young tables beside its input. It is a quarter
// of a small limit, and 150 MB of a large one.
func (o *Options) reserve() int64 {
	return (maxL0Tables+2*maxMemTables+1)*o.MemTableSize + (baseLevelTables+2)*o.TableSize
}

// openEngine opens one generation of the openEngine's files.
func (s *Store) openEngine(f *engineFS, readOnly bool, onCorruption func(path string, err error)) (db *pebble.DB, err error) {
	// Damage that the engine doesn't expect is no reason to end the process.
	defer func() {
		if r := recover(); r != nil {
			db, err = nil, fmt.Errorf("%w: the engine gave up: %v", ErrDamaged, r)
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

// logger takes what the engine says. It never ends the process: what the engine calls fatal has failed in the file layer
// first, or is damage that is found again.
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
