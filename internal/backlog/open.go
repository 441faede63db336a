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
//	owner          whose it is, and which generation of the engine's files counts
//	gG-NAME        the engine's files of generation G; a repair writes the next one beside it
//	mend           something could not be read: the next start writes a new generation of what can be
//	damaged-NAME   files that were set aside
//	lock           held by the process that has the folder open
const (
	ownerName  = "owner"
	mendName   = "mend"
	lockName   = "lock"
	asideStart = "damaged-"
	format     = 1
)

// owner is the folder's first file. Its checksum is of the others.
type owner struct {
	Format int
	Name   string // of the relay
	Gen    uint64
	Sum    string
}

func (o owner) sum() string {
	return strconv.FormatUint(xxhash.Sum64String(fmt.Sprintf("%d %s %d", o.Format, o.Name, o.Gen)), 16)
}

func prefixOf(gen uint64) string { return fmt.Sprintf("g%d-", gen) }

// genOf tells the generation that a file's name belongs to.
func genOf(name string) (gen uint64, ok bool) {
	head, _, ok := strings.Cut(name, "-")
	if !ok || !strings.HasPrefix(head, "g") {
		return 0, false
	}
	gen, err := strconv.ParseUint(head[1:], 10, 64)
	return gen, err == nil
}

// Open opens a folder, or makes one. It refuses another relay's folder and one that is in use, and never one of its own for
// damage: what can't be read is set aside and told.
func Open(o Options) (s *Store, found Found, err error) {
	o.defaults()
	s = &Store{o: o, log: o.Log, now: clock.Now, usage: &usage{limit: o.Limit, sizes: map[string]int64{}}}
	defer func() {
		if err != nil {
			s.release()
			s = nil
		}
	}()
	if o.Dir != "" {
		if err := os.MkdirAll(o.Dir, 0o700); err != nil {
			return s, found, fmt.Errorf("%w: %w", ErrDisk, err)
		}
		if s.held, err = lock(o.Dir); err != nil {
			return s, found, err
		}
	}
	if o.FS == nil {
		o.FS = disk.Dir(o.Dir)
	}
	var ok bool
	if s.fs, ok = o.FS.(folder); !ok {
		return s, found, errors.New("backlog: the folder's files can't be read in parts")
	}
	mend, err := s.claim(&found)
	if err != nil {
		return s, found, err
	}
	if err := s.start(mend, &found); err != nil {
		return s, found, err
	}
	found.Messages, found.MaxID = s.messages, s.highest
	return s, found, nil
}

// lock takes the lock on a folder, which goes with the file.
func lock(dir string) (*os.File, error) {
	f, err := os.OpenFile(filepath.Join(dir, lockName), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrDisk, err)
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		f.Close()
		if errors.Is(err, syscall.EWOULDBLOCK) {
			return nil, ErrHeld
		}
		return nil, fmt.Errorf("%w: %w", ErrDisk, err)
	}
	return f, nil
}

// claim reads whose folder it is and what it holds, and makes it this relay's.
func (s *Store) claim(found *Found) (mend bool, err error) {
	names, err := s.fs.Names()
	if err != nil {
		return false, fmt.Errorf("%w: %w", ErrDisk, err)
	}
	var newest uint64
	for _, name := range names {
		if gen, ok := genOf(name); ok {
			newest = max(newest, gen)
		}
		mend = mend || name == mendName
		if err := s.measure(name); err != nil {
			return false, fmt.Errorf("%w: %w", ErrDisk, err)
		}
	}
	own := owner{Format: format, Name: s.o.Name, Gen: 1}
	text, err := s.fs.ReadFile(ownerName)
	var have owner
	switch {
	case errors.Is(err, fs.ErrNotExist) && newest == 0:
	case err != nil && !errors.Is(err, fs.ErrNotExist):
		return false, fmt.Errorf("%w: %w", ErrDisk, err)
	case err != nil || json.Unmarshal(text, &have) != nil || have.sum() != have.Sum:
		own.Gen = max(1, newest)
		found.Aside = append(found.Aside, "the file that tells whose folder it is can't be read: taken for this relay's")
	case have.Format > format:
		return false, fmt.Errorf("%w: format %d is newer than this version's %d", ErrOther, have.Format, format)
	case have.Name != s.o.Name && !s.o.Adopt:
		return false, fmt.Errorf("%w: of %q, not %q", ErrOther, have.Name, s.o.Name)
	default:
		own.Gen = have.Gen
	}
	if s.gen = own.Gen; own.Gen != have.Gen || own.Name != have.Name {
		if err := s.own(); err != nil {
			return false, err
		}
	}
	for _, name := range names { // what a repair left half done, or didn't get to remove
		if gen, ok := genOf(name); ok && gen != s.gen {
			if err := s.fs.Remove(name); err != nil {
				return false, fmt.Errorf("%w: %w", ErrDisk, err)
			}
			s.usage.drop(name)
		}
	}
	return mend, nil
}

// own writes the folder's first file.
func (s *Store) own() error {
	o := owner{Format: format, Name: s.o.Name, Gen: s.gen}
	o.Sum = o.sum()
	text, err := json.Marshal(o)
	if err == nil {
		err = disk.Replace(s.fs, ownerName, append(text, '\n'))
	}
	if err != nil {
		return fmt.Errorf("%w: %w", ErrDisk, err)
	}
	return s.measure(ownerName)
}

// measure takes a file's size into the count.
func (s *Store) measure(name string) error {
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

func (s *Store) newFiles() *files {
	return &files{dir: s.fs, prefix: prefixOf(s.gen), power: s.o.Power, usage: s.usage}
}

// start opens the engine, or what a repair makes of it.
func (s *Store) start(mend bool, found *Found) error {
	if err := s.tidy(found); err != nil {
		return fmt.Errorf("%w: %w", ErrDisk, err)
	}
	if !mend {
		err := s.reopen()
		if err == nil || errors.Is(err, ErrDisk) {
			return err
		}
		if again := s.takeTwin(found); again == nil {
			if again = s.reopen(); again == nil || errors.Is(again, ErrDisk) {
				return again
			}
		}
		s.log.Warn("backlog: the folder is damaged", "error", err)
		found.Aside = append(found.Aside, err.Error())
	}
	return s.repair(found)
}

// reopen opens the engine to be written, with door held or before anyone else knows the store.
func (s *Store) reopen() error {
	f := s.newFiles()
	db, err := s.engine(f, false, s.corrupt)
	if err == nil {
		err = s.load(db)
	}
	if failed := f.failed(); failed != nil {
		err = fmt.Errorf("%w: %w", ErrDisk, failed)
	}
	if err != nil {
		if db != nil {
			f.end()
			db.Close()
		}
		if errors.Is(err, ErrDisk) || damaged(err) {
			return err
		}
		return fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	s.db, s.files, s.cause = db, f, nil
	return nil
}

// fallBack opens the engine to be read alone, where the disk has failed under it; with door held.
func (s *Store) fallBack() {
	s.cause = s.files.failed()
	s.shut()
	f := s.newFiles()
	f.sealed = true
	db, err := s.engine(f, true, s.corrupt)
	if err == nil {
		err = s.load(db)
	}
	if err != nil {
		if db != nil {
			db.Close()
		}
		s.log.Warn("backlog: can't be read while the disk fails", "error", err)
		return
	}
	s.db, s.files = db, f
}

// shut ends the engine. All that was applied is in its log, so nothing is written any more.
func (s *Store) shut() {
	if s.db == nil {
		return
	}
	s.files.end()
	s.endSweep()
	if err := s.db.Close(); err != nil {
		s.log.Debug("backlog: engine", "error", err)
	}
	s.db = nil
}

// ready has the store ready to be written, and opens the folder anew if the disk has failed.
func (s *Store) ready() error {
	s.door.Lock()
	defer s.door.Unlock()
	if s.closed {
		return ErrClosed
	}
	if s.db != nil && !s.files.sealed {
		if s.files.failed() == nil {
			return nil
		}
		s.fallBack()
	}
	if now := s.now(); now.Sub(s.tried) < retry {
		return fmt.Errorf("%w: %w", ErrDisk, s.cause)
	} else {
		s.tried = now
	}
	was := s.cause
	s.shut()
	err := s.reopen()
	if err == nil {
		s.log.Info("backlog: the disk is back")
		return nil
	}
	s.files = s.newFiles()
	s.files.stop(err)
	s.fallBack()
	if !errors.Is(err, ErrDisk) {
		err = fmt.Errorf("%w: %w", ErrDisk, err)
	}
	if s.cause == nil {
		s.cause = was
	}
	return err
}

// load reads the counters.
func (s *Store) load(db *pebble.DB) error {
	dests, messages := map[int]*queue{}, 0
	it, err := db.NewIter(&pebble.IterOptions{LowerBound: []byte{keyCount}, UpperBound: []byte{keyCount + 1}})
	if err != nil {
		return err
	}
	for good := it.First(); good; good = it.Next() {
		key, value := it.Key(), it.Value()
		if len(key) != 5 || len(value) != 8+8+idBytes {
			return errors.Join(fmt.Errorf("%w: a counter has %d bytes", ErrDamaged, len(value)), it.Close())
		}
		q := &queue{int(binary.BigEndian.Uint64(value)), placeOf(value)}
		dests[int(binary.BigEndian.Uint32(key[1:]))] = q
		messages += q.count
	}
	if err := it.Close(); err != nil {
		return err
	}
	highest, low := uint32(0), lastPlace
	value, closer, err := db.Get([]byte{keyState})
	switch {
	case errors.Is(err, pebble.ErrNotFound):
	case err != nil:
		return err
	case len(value) != idBytes+8+idBytes:
		return errors.Join(fmt.Errorf("%w: the state has %d bytes", ErrDamaged, len(value)), closer.Close())
	default:
		highest, low = binary.BigEndian.Uint32(value), placeOf(value)
		if err := closer.Close(); err != nil {
			return err
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dests, s.sorted, s.messages, s.highest, s.low, s.drops = dests, nil, messages, highest, low, map[string]bool{}
	s.gone = messages + 1
	return nil
}

// Close ends the store. What was applied stays.
func (s *Store) Close() error {
	s.door.Lock()
	defer s.door.Unlock()
	s.closed = true
	s.shut()
	s.release()
	return nil
}

func (s *Store) release() {
	if s.held != nil {
		s.held.Close()
		s.held = nil
	}
}
