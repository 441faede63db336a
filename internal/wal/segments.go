package wal

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"onyxroad.dev/onyxroad/internal/clock"
	"onyxroad.dev/onyxroad/internal/disk"
)

var (
	// ErrWorn tells that the log waits for a new file, since the one before can't be trusted or written any more. Nothing is
	// in the log of what was to be written.
	ErrWorn = errors.New("wal: waits for a new file")
	// ErrSlow tells that the disk is behind with what was written: new work would wait too long for its answer.
	ErrSlow = errors.New("wal: the disk is behind")
)

const (
	// reserveMost is the room on the disk that is had ahead of the log for outcomes and ends, in bytes.
	reserveMost = 64 << 10
	// stall is how long a write may have waited for its sync before new work is refused. A client waits 400 ms for its
	// answer by the platform's protocol.
	stall = 150 * time.Millisecond
	// renewAfter is the pause between two attempts to begin a new file.
	renewAfter = 250 * time.Millisecond
	// asideShare is the part of the disk limit that damaged bytes may take which were set aside.
	asideShare = 1.0 / 16
)

// segments keeps a log in segments with snapshots.
type segments struct {
	Options
	times    *state    // whose timeline the files go by
	gen      uint64    // of the running segment
	file     disk.File // the running segment; nil: none yet
	used     int64     // bytes of it
	reserved int64     // bytes that it has on disk at least
	aside    int64     // bytes on disk of what was set aside
	// unguarded tells that the folder does not say yet that it is kept in segments. Nothing is written before it does.
	unguarded bool

	mu       sync.Mutex
	wake     sync.Cond
	others   map[string]int64 // bytes on disk of the other files that stand
	written  uint64           // writes so far
	durable  uint64           // of these, what is on disk
	kept     int64            // bytes of the running segment that are on disk
	since    time.Time        // the oldest write that isn't; zero: all are
	dirty    []dirty          // segments with such, oldest first
	failed   error            // the sync that failed
	renewing bool             // a snapshot is being written
	renewed  uint64           // the generation whose snapshot was written since the failure
	tried    time.Time        // when a snapshot last failed
	names    bool             // a segment's name may not be on disk
	closing  bool
	closed   bool // and all is on disk
	ended    sync.WaitGroup
}

// dirty is a segment with writes that are not yet on disk.
type dirty struct {
	file disk.File
	size int64
	over bool // nothing more is written to it
}

// openSegments reads a folder and begins a new generation in segments. A folder in one file is taken over.
func (l *Log) openSegments(names []string, guarded bool) (Recovery, error) {
	s := &segments{Options: l.Options, times: &l.state, others: map[string]int64{}}
	s.wake.L = &s.mu
	var found Recovery
	if guarded {
		c, err := readChain(l.FS, names, newState())
		if err != nil {
			return found, err
		}
		if c.Name != "" && l.Name != "" && c.Name != l.Name && c.Name != l.Also && !l.Adopt {
			return found, fmt.Errorf("%w: of %q, and this is %q", ErrOther, c.Name, l.Name)
		}
		l.state, s.gen = c.state, c.last
		found.Report = &c.Report
		left := c.Files
		if c.Sound() {
			for _, n := range append(c.Spare, snapTemp) {
				if l.FS.Remove(n) != nil {
					left = append(left, n)
				}
			}
		} else {
			left = append(left, c.Spare...)
		}
		for _, n := range left {
			if data, err := l.FS.ReadFile(n); err == nil {
				s.others[n] = sectors(int64(len(data)))
			}
		}
		s.setAside(&c.Report, names)
	} else {
		s.unguarded = true
		data, err := l.FS.ReadFile(name)
		if err != nil && !slices.Contains(names, name) {
			data = nil
		} else if err != nil {
			return found, fmt.Errorf("wal: %w", err)
		}
		good, damaged := l.replay(data)
		found.Damaged = damaged
		found.Report = &Report{Format: 1, Bytes: int64(len(data))}
		if good < int64(len(data)) {
			found.Report.Holes = []Hole{{File: name, From: good, To: int64(len(data)), Torn: true}}
		}
		if len(data) > 0 {
			s.others[name] = sectors(int64(len(data)))
		}
	}
	found.Messages, found.times = l.messages(), l.times
	l.keep, l.headed = s, true
	if s.Told == nil {
		s.Told = func() {}
	}
	if l.Power {
		s.ended.Go(s.syncs)
	}
	err := s.guard()
	if err == nil {
		err = s.snapshot(s.gen+1, l.snapshot())
	}
	if err == nil {
		err = s.begin(s.gen+1, nil)
	}
	if err != nil {
		s.fail(err) // a full disk say: what was there still counts, and new work waits for a new file
	}
	return found, nil
}

// guard marks a folder that was kept in one file before. From here on a version that knows one file alone does not start: it would
// find none of what follows.
func (s *segments) guard() error {
	if !s.unguarded {
		return nil
	}
	if err := errors.Join(s.FS.Guard(guardName, guardFile), s.syncDir()); err != nil {
		return fmt.Errorf("wal: take over the folder: %w", err)
	}
	s.unguarded = false
	return nil
}

// leaveSegments puts a folder in segments back into one file.
func (l *Log) leaveSegments(names []string) error {
	c, err := readChain(l.FS, names, newState())
	if err != nil {
		return err
	}
	return toSingle(l.FS, c, names)
}

// toSingle writes what a folder in segments tells into one file, and then takes the segments away. A crash at any point
// leaves the one or the other, whole.
func toSingle(d disk.FS, c *chain, names []string) error {
	const back = "wal.back"
	var buf []byte
	for _, p := range c.clockRecord() {
		buf = appendRecord(buf, p)
	}
	for _, p := range c.remembered() {
		buf = appendRecord(buf, p)
	}
	for _, m := range c.messages() {
		if m.Doubt && m.Final == nil && !m.Withdrawn {
			m.Final = &Final{} // one file has no doubt: what may have run may not be promised
		}
		buf = appendRecord(buf, c.accepted(m))
	}
	f, err := d.Open(back)
	if err != nil {
		return fmt.Errorf("wal: back to one file: %w", err)
	}
	if err = f.Truncate(0); err == nil {
		_, err = f.WriteAt(buf, 0)
	}
	err = errors.Join(err, f.Sync(), f.Close())
	if err == nil {
		err = errors.Join(d.Rename(back, name), d.SyncDir())
	}
	if err == nil {
		err = errors.Join(d.Remove(guardName), d.SyncDir()) // from here on the one file counts
	}
	for _, n := range names {
		if err == nil && (isSegments(n) || n == snapTemp) {
			err = d.Remove(n)
		}
	}
	if err != nil {
		return fmt.Errorf("wal: back to one file: %w", err)
	}
	return nil
}

// setAside keeps what could not be read, and a report of it in plain words, as far as there is room.
func (s *segments) setAside(r *Report, names []string) {
	room := int64(asideShare * float64(s.Limit))
	for _, n := range names {
		if strings.HasPrefix(n, setAside) {
			if data, err := s.FS.ReadFile(n); err == nil {
				s.aside += sectors(int64(len(data)))
			}
		}
	}
	if r.Sound() {
		return
	}
	put := func(n string, data []byte) {
		if s.aside+sectors(int64(len(data))) > room {
			return
		}
		f, err := s.FS.Open(n)
		if err != nil {
			return // a full disk, or one that is read-only: the log says the same
		}
		f.WriteAt(data, 0)
		f.Close()
		s.aside += sectors(int64(len(data)))
	}
	put(fmt.Sprintf("%s%08x.txt", setAside, s.gen), []byte(r.Words()))
	for _, h := range r.Holes {
		if !h.Torn {
			put(fmt.Sprintf("%s%s-%d", setAside, h.File, h.From), h.data)
		}
	}
}

func (s *segments) syncDir() error {
	if !s.Power {
		return nil
	}
	return s.FS.SyncDir()
}

// snapshot writes what was live when generation gen began. Older files then go.
func (s *segments) snapshot(gen uint64, live [][]byte) error {
	salt := gen | snapSalt
	add := func(buf []byte, p []byte) []byte { return appendFrame(buf, salt, int64(len(buf)), 0, p) }
	buf := add(nil, payload(record{Kind: recHead, Head: &head{Format: Format, Name: s.Name, Gen: gen, Began: s.times.times.Stamp(clock.Now()), Clock: s.times.clockAnchor()}}, nil))
	for _, p := range live {
		buf = add(buf, p)
	}
	buf = add(buf, payload(record{Kind: recFoot, N: len(live)}, nil))
	if s.size()+sectors(int64(len(buf)))+2*disk.Sector > s.Limit {
		return ErrFull
	}
	s.count(snapTemp, sectors(int64(len(buf))))
	defer s.count(snapTemp, 0)
	f, err := s.FS.Open(snapTemp)
	if err != nil {
		return fmt.Errorf("wal: snapshot: %w", err)
	}
	if err = f.Truncate(0); err == nil {
		_, err = f.WriteAt(buf, 0)
	}
	if err == nil && s.Power {
		err = f.Sync()
	}
	if err = errors.Join(err, f.Close()); err == nil {
		if err = s.FS.Rename(snapTemp, genName(snapPrefix, gen)); err == nil {
			err = s.syncDir()
		}
		if err != nil {
			s.withdrawSnapshot(gen, err)
		}
	}
	if err != nil {
		return errors.Join(fmt.Errorf("wal: snapshot: %w", err), s.FS.Remove(snapTemp))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for n := range s.others {
		g, isSnap := generation(snapPrefix, n)
		if !isSnap {
			g, _ = generation(segPrefix, n)
		}
		if g >= gen {
			continue
		}
		if s.FS.Remove(n) == nil {
			delete(s.others, n)
		}
	}
	s.others[genName(snapPrefix, gen)] = sectors(int64(len(buf)))
	return nil
}

// withdrawSnapshot takes away a snapshot whose rename may have had its effect. While it stands, no segment before it counts: where
// it can't be taken away, nothing more is written to them.
func (s *segments) withdrawSnapshot(gen uint64, cause error) {
	s.mu.Lock()
	followed := gen <= s.gen
	s.mu.Unlock()
	if followed {
		return // the segments that follow it count
	}
	if err := s.FS.Remove(genName(snapPrefix, gen)); err != nil {
		s.fail(errors.Join(cause, err))
	}
}

// count counts a file as taking so many bytes of the disk.
func (s *segments) count(name string, bytes int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.others[name] = bytes; bytes == 0 {
		delete(s.others, name)
	}
}

// begin begins the segment of a generation. prev is the one that it follows on; nil after a snapshot.
func (s *segments) begin(gen uint64, prev *head) error {
	n := genName(segPrefix, gen)
	f, err := s.FS.Open(n)
	if err != nil {
		return fmt.Errorf("wal: segment: %w", err)
	}
	h := head{Format: Format, Name: s.Name, Gen: gen, Began: s.times.times.Stamp(clock.Now()), Clock: s.times.clockAnchor()}
	if prev != nil {
		h.Prev, h.Good, h.Kept = prev.Prev, prev.Good, prev.Kept
	}
	buf := appendFrame(nil, gen, 0, 0, payload(record{Kind: recHead, Head: &h}, nil))
	if err = f.Truncate(0); err == nil {
		_, err = f.WriteAt(buf, 0)
	}
	if err != nil {
		return errors.Join(fmt.Errorf("wal: segment: %w", err), f.Close(), s.FS.Remove(n))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.file != nil {
		if old := genName(segPrefix, s.gen); prev != nil {
			s.others[old] = sectors(s.used)
		} else if err := s.FS.Remove(old); err != nil { // all that it told is in the snapshot
			s.others[old] = sectors(s.used)
		}
		if i := len(s.dirty) - 1; i >= 0 && s.dirty[i].file == s.file {
			s.dirty[i].over = true
		} else {
			s.file.Close()
		}
	}
	s.file, s.gen, s.used, s.reserved, s.kept, s.names = f, gen, int64(len(buf)), 0, 0, true
	return nil
}

func (s *segments) size() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.aside + sectors(max(s.used, s.reserved))
	for _, b := range s.others {
		n += b
	}
	return n
}

func (s *segments) framed(payloads [][]byte) (n int64) {
	for _, p := range payloads {
		n += frameBytes + int64(len(p))
	}
	return n
}

// forStart is room for the snapshot that a start begins with.
func (s *segments) forStart(live int64) int64 { return sectors(live) + 2*disk.Sector }

// fit has room on the disk for what ends the work that is held.
func (s *segments) fit() error {
	s.mu.Lock()
	worn, since := s.failed != nil || s.file == nil, s.since
	s.mu.Unlock()
	if worn {
		return ErrWorn
	}
	if !since.IsZero() && clock.Since(since) > stall {
		return ErrSlow
	}
	ahead := min(reserveMost, s.Limit/16)
	if s.reserved-s.used < ahead/2 {
		if err := s.file.Reserve(s.used, ahead); err != nil {
			return fmt.Errorf("wal: %w", err)
		}
		s.mu.Lock()
		s.reserved = s.used + ahead
		s.mu.Unlock()
	}
	return nil
}

func (s *segments) append(payloads [][]byte) error {
	if s.worn() {
		return ErrWorn
	}
	s.mu.Lock()
	kept := s.kept
	s.mu.Unlock()
	if !s.Power || s.closed {
		kept = s.used // what was written is there for whoever reads it next
	}
	at := s.used
	var buf []byte
	for _, p := range payloads {
		buf = appendFrame(buf, s.gen, at+int64(len(buf)), kept, p)
		if !s.Power {
			kept = at + int64(len(buf))
		}
	}
	if _, err := s.file.WriteAt(buf, at); err != nil {
		return s.takeBack(at, int64(len(buf)), fmt.Errorf("wal: %w", err))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.used += int64(len(buf))
	s.written++
	if !s.Power || s.closed {
		s.durable = s.written
		return nil
	}
	if s.since.IsZero() {
		s.since = clock.Now()
	}
	if i := len(s.dirty) - 1; i >= 0 && s.dirty[i].file == s.file {
		s.dirty[i].size = s.used
	} else {
		s.dirty = append(s.dirty, dirty{file: s.file, size: s.used})
	}
	s.wake.Signal()
	return nil
}

// takeBack takes away what a failed write may have left behind the good part of the segment. Where that fails as well, the segment
// is given up.
func (s *segments) takeBack(at, size int64, cause error) error {
	if err := erase(s.file, at, at+size); err != nil {
		s.fail(cause)
		return errors.Join(ErrUnclear, cause, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reserved = 0 // what was cut off was had with it
	return cause
}

// compact begins a new generation. Without Power, when it returns, the files before it are gone; with it they go once the
// snapshot is on disk, and what is written meanwhile is as durable as before.
func (s *segments) compact(live [][]byte) error {
	if s.worn() {
		return ErrWorn
	}
	if !s.Power {
		if err := s.snapshot(s.gen+1, live); err != nil {
			return err
		}
		if err := s.begin(s.gen+1, nil); err != nil {
			s.fail(err) // the segment before it no longer counts
			return err
		}
		return nil
	}
	s.mu.Lock()
	busy := s.renewing || clock.Since(s.tried) < renewAfter // one that fails must not leave segment after segment
	prev := head{Prev: s.gen, Good: s.used, Kept: s.kept}
	s.mu.Unlock()
	if busy {
		return ErrFull
	}
	if err := s.begin(s.gen+1, &prev); err != nil {
		return err
	}
	s.renew(s.gen, live, false)
	return nil
}

func (s *segments) fail(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failed = errors.Join(ErrWorn, err)
}

func (s *segments) worn() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.failed != nil || s.file == nil
}

func (s *segments) goOn() {} // the new file counts as a write

func (s *segments) failure() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.failed
}

// reclaim begins a generation after every one that another process may have begun.
func (s *segments) reclaim(names []string, l *Log) error {
	s.fail(errors.New("another process had the log"))
	for _, n := range names {
		for _, prefix := range []string{snapPrefix, segPrefix} {
			if g, ok := generation(prefix, n); ok {
				s.gen = max(s.gen, g)
				s.mu.Lock()
				if _, known := s.others[n]; !known {
					s.others[n] = disk.Sector
				}
				s.mu.Unlock()
			}
		}
	}
	gen := s.gen + 1
	err := errors.Join(s.FS.Guard(guardName, guardFile), s.syncDir())
	if err == nil {
		err = s.snapshot(gen, l.snapshot())
	}
	if err == nil {
		err = s.begin(gen, nil)
	}
	if err == nil {
		err = s.FS.Remove(name) // of one that keeps a single file
	}
	if err != nil {
		return err // it stays worn, and Tend tries again
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, d := range s.dirty {
		d.file.Close()
	}
	s.dirty, s.failed, s.renewed, s.since = nil, nil, 0, time.Time{}
	s.written++
	s.durable = s.written
	return nil
}
