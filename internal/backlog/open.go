package backlog

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/pebble/v2"

	"onyxroad.dev/onyxroad/internal/clock"
	"onyxroad.dev/onyxroad/internal/disk"
)

// The folder is flat:
//
//	owner          the relay that owns the folder, and the current generation of the engine's files
//	gG-NAME        the engine's files of generation G; a repair writes the next generation beside it
//	mend           requests a repair: some data was unreadable, and the next open rewrites the readable data
//	damaged-NAME   quarantined damaged files
//	lock           locked by the process that has the folder open
const (
	ownerName     = "owner"
	repairName    = "mend"
	lockName      = "lock"
	damagedPrefix = "damaged-"
	ownerFormat   = 1
)

// owner is the content of the owner file. Sum is the checksum of the other fields.
type owner struct {
	Format int
	Name   string // name of the relay
	Gen    uint64
	Sum    string
}

func (o owner) checksum() string {
	return strconv.FormatUint(xxhash.Sum64String(fmt.Sprintf("%d %s %d", o.Format, o.Name, o.Gen)), 16)
}

func generationPrefix(gen uint64) string { return fmt.Sprintf("g%d-", gen) }

// parseGeneration returns the generation that a file name belongs to.
func parseGeneration(name string) (gen uint64, ok bool) {
	head, _, ok := strings.Cut(name, "-")
	if !ok || !strings.HasPrefix(head, "g") {
		return 0, false
	}
	gen, err := strconv.ParseUint(head[1:], 10, 64)
	return gen, err == nil
}

// Open opens a folder, or creates it. It refuses the folder of another relay and one that is in use. Damage is no reason for
// refusal: everything readable is kept, the damage is reported, and damaged files are quarantined while there is room for them.
func Open(o Options) (s *Store, report OpenReport, err error) {
	o.setDefaults()
	s = &Store{opts: o, log: o.Log, now: clock.Now, usage: &diskUsage{limit: o.Limit, sizes: map[string]int64{}}}
	defer func() {
		if err != nil {
			s.unlock()
			s = nil
		}
	}()
	if o.Dir != "" {
		if err := os.MkdirAll(o.Dir, 0o700); err != nil {
			return s, report, fmt.Errorf("%w: %w", ErrDisk, err)
		}
		if s.lockFile, err = lockDir(o.Dir); err != nil {
			return s, report, err
		}
	}
	if o.FS == nil {
		o.FS = disk.Dir(o.Dir)
	}
	var ok bool
	if s.fs, ok = o.FS.(storeFS); !ok {
		return s, report, errors.New("backlog: the file system does not support reading parts of files")
	}
	repairRequested, err := s.claimFolder(&report)
	if err != nil {
		return s, report, err
	}
	if err := s.openOrRepair(repairRequested, &report); err != nil {
		return s, report, err
	}
	report.Messages, report.MaxID = s.messages, s.maxID
	return s, report, nil
}

// lockDir locks a folder until the returned file is closed.
func lockDir(dir string) (*os.File, error) {
	f, err := os.OpenFile(filepath.Join(dir, lockName), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrDisk, err)
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		f.Close()
		if errors.Is(err, syscall.EWOULDBLOCK) {
			return nil, ErrLocked
		}
		return nil, fmt.Errorf("%w: %w", ErrDisk, err)
	}
	return f, nil
}

// claimFolder checks the owner of the folder, claims it for this relay and records the sizes of its files. repairRequested
// reports whether an earlier process requested a repair.
func (s *Store) claimFolder(report *OpenReport) (repairRequested bool, err error) {
	names, err := s.fs.Names()
	if err != nil {
		return false, fmt.Errorf("%w: %w", ErrDisk, err)
	}
	var newest uint64
	for _, name := range names {
		if gen, ok := parseGeneration(name); ok {
			newest = max(newest, gen)
		}
		repairRequested = repairRequested || name == repairName
		if err := s.trackSize(name); err != nil {
			return false, fmt.Errorf("%w: %w", ErrDisk, err)
		}
	}
	own := owner{Format: ownerFormat, Name: s.opts.Name, Gen: 1}
	text, err := s.fs.ReadFile(ownerName)
	var stored owner
	switch {
	case errors.Is(err, fs.ErrNotExist) && newest == 0:
	case err != nil && !errors.Is(err, fs.ErrNotExist):
		return false, fmt.Errorf("%w: %w", ErrDisk, err)
	case err != nil || json.Unmarshal(text, &stored) != nil || stored.checksum() != stored.Sum:
		own.Gen = max(1, newest)
		report.Problems = append(report.Problems, "the owner file is unreadable: the folder is assumed to belong to this relay")
	case stored.Format > ownerFormat:
		return false, fmt.Errorf("%w: format %d is newer than this version's %d", ErrWrongOwner, stored.Format, ownerFormat)
	case stored.Name != s.opts.Name && !s.opts.Adopt:
		return false, fmt.Errorf("%w: it belongs to %q, not to %q", ErrWrongOwner, stored.Name, s.opts.Name)
	default:
		own.Gen = stored.Gen
	}
	if s.generation = own.Gen; own.Gen != stored.Gen || own.Name != stored.Name {
		if err := s.writeOwner(); err != nil {
			return false, err
		}
	}
	for _, name := range names { // left by an interrupted repair
		if gen, ok := parseGeneration(name); ok && gen != s.generation {
			if err := s.fs.Remove(name); err != nil {
				return false, fmt.Errorf("%w: %w", ErrDisk, err)
			}
			s.usage.remove(name)
		}
	}
	return repairRequested, nil
}

// writeOwner writes the owner file.
func (s *Store) writeOwner() error {
	o := owner{Format: ownerFormat, Name: s.opts.Name, Gen: s.generation}
	o.Sum = o.checksum()
	text, err := json.Marshal(o)
	if err == nil {
		err = disk.Replace(s.fs, ownerName, append(text, '\n'))
	}
	if err != nil {
		return fmt.Errorf("%w: %w", ErrDisk, err)
	}
	return s.trackSize(ownerName)
}

// trackSize adds a file's size to the tracked disk usage.
func (s *Store) trackSize(name string) error {
	r, err := s.fs.OpenRead(name)
	if errors.Is(err, fs.ErrNotExist) || strings.HasSuffix(name, "/") {
		return nil
	} else if err != nil {
		return err
	}
	defer r.Close()
	size, err := r.Size()
	if err == nil {
		s.usage.set(name, size)
	}
	return err
}

func (s *Store) newEngineFS() *engineFS {
	return &engineFS{dir: s.fs, prefix: generationPrefix(s.generation), fsync: s.opts.Fsync, usage: s.usage}
}

// openOrRepair opens the engine. It repairs the folder if repairRequested is set, or if the engine cannot be opened because of
// damage.
func (s *Store) openOrRepair(repairRequested bool, report *OpenReport) error {
	if err := s.repairManifest(report); err != nil {
		return fmt.Errorf("%w: %w", ErrDisk, err)
	}
	if !repairRequested {
		err := s.openForWriting()
		if err == nil || errors.Is(err, ErrDisk) {
			return err
		}
		if retryErr := s.promoteMirror(report); retryErr == nil {
			if retryErr = s.openForWriting(); retryErr == nil || errors.Is(retryErr, ErrDisk) {
				return retryErr
			}
		}
		s.log.Warn("backlog: the folder is damaged", "error", err)
		report.Problems = append(report.Problems, err.Error())
	}
	return s.repair(report)
}

// openForWriting opens the engine for reading and writing. The caller holds dbMu, or is the only user of the store.
func (s *Store) openForWriting() error {
	f := s.newEngineFS()
	db, err := s.openEngine(f, false, s.onCorruption)
	if err == nil {
		err = s.loadCounters(db)
	}
	if failed := f.failed(); failed != nil {
		err = fmt.Errorf("%w: %w", ErrDisk, failed)
	}
	if err != nil {
		if db != nil {
			f.shutDown()
			db.Close()
		}
		if errors.Is(err, ErrDisk) || isDamage(err) {
			return err
		}
		return fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	s.db, s.files, s.writeErr = db, f, nil
	return nil
}

// reopenReadOnly reopens the engine for reading only, after the disk failed. The caller holds dbMu.
func (s *Store) reopenReadOnly() {
	s.writeErr = s.files.failed()
	s.closeEngine()
	f := s.newEngineFS()
	f.readOnly = true
	db, err := s.openEngine(f, true, s.onCorruption)
	if err == nil {
		err = s.loadCounters(db)
	}
	if err != nil {
		if db != nil {
			db.Close()
		}
		s.log.Warn("backlog: cannot be read while the disk fails", "error", err)
		return
	}
	s.db, s.files = db, f
}

// closeEngine closes the engine. Nothing needs to be written: all applied changes are in its log.
func (s *Store) closeEngine() {
	if s.db == nil {
		return
	}
	s.files.shutDown()
	s.stopCompaction()
	if err := s.db.Close(); err != nil {
		s.log.Debug("backlog: engine", "error", err)
	}
	s.db = nil
}

// ensureWritable makes sure that the store can be written. It reopens the folder if the disk has failed.
func (s *Store) ensureWritable() error {
	s.dbMu.Lock()
	defer s.dbMu.Unlock()
	if s.closed {
		return ErrClosed
	}
	if s.db != nil && !s.files.readOnly {
		if s.files.failed() == nil {
			return nil
		}
		s.reopenReadOnly()
	}
	if now := s.now(); now.Sub(s.lastReopen) < reopenDelay {
		return fmt.Errorf("%w: %w", ErrDisk, s.writeErr)
	} else {
		s.lastReopen = now
	}
	previousErr := s.writeErr
	s.closeEngine()
	err := s.openForWriting()
	if err == nil {
		s.log.Info("backlog: the disk works again")
		return nil
	}
	s.files = s.newEngineFS()
	s.files.fail(err)
	s.reopenReadOnly()
	if !errors.Is(err, ErrDisk) {
		err = fmt.Errorf("%w: %w", ErrDisk, err)
	}
	if s.writeErr == nil {
		s.writeErr = previousErr
	}
	return err
}

// loadCounters reads the counters.
func (s *Store) loadCounters(db *pebble.DB) error {
	dests, messages := map[int]*destState{}, 0
	it, err := db.NewIter(&pebble.IterOptions{LowerBound: []byte{keyCount}, UpperBound: []byte{keyCount + 1}})
	if err != nil {
		return err
	}
	for valid := it.First(); valid; valid = it.Next() {
		key, value := it.Key(), it.Value()
		if len(key) != 5 || len(value) != 8+8+idBytes {
			return errors.Join(fmt.Errorf("%w: a counter has an invalid length of %d bytes", ErrDamaged, len(value)), it.Close())
		}
		state := &destState{int(binary.BigEndian.Uint64(value)), decodePosition(value)}
		dests[int(binary.BigEndian.Uint32(key[1:]))] = state
		messages += state.count
	}
	if err := it.Close(); err != nil {
		return err
	}
	maxID, minDeadline := uint32(0), maxPosition
	value, closer, err := db.Get([]byte{keyState})
	switch {
	case errors.Is(err, pebble.ErrNotFound):
	case err != nil:
		return err
	case len(value) != idBytes+8+idBytes:
		return errors.Join(fmt.Errorf("%w: the state record has an invalid length of %d bytes", ErrDamaged, len(value)), closer.Close())
	default:
		maxID, minDeadline = binary.BigEndian.Uint32(value), decodePosition(value)
		if err := closer.Close(); err != nil {
			return err
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dests, s.sortedDests, s.messages, s.maxID, s.minDeadline, s.dangling = dests, nil, messages, maxID, minDeadline, map[string]bool{}
	s.removedSinceCompaction = messages + 1
	return nil
}

// Close closes the store. Applied changes stay on disk.
func (s *Store) Close() error {
	s.dbMu.Lock()
	defer s.dbMu.Unlock()
	s.closed = true
	s.closeEngine()
	s.unlock()
	return nil
}

func (s *Store) unlock() {
	if s.lockFile != nil {
		s.lockFile.Close()
		s.lockFile = nil
	}
}
