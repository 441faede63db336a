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
	// ErrNeedsNewFile tells that the log waits for a new file, since the one before can't be trusted or written any more. Nothing is
	// in the log of what was to be written.
	ErrNeedsNewFile = errors.New("wal: waits for a new file")
	// ErrSlow tells that the disk is behind with what was written: new work would wait too long for its answer.
	ErrSlow = errors.New("wal: the disk is behind")
)

const (
	// maxReserve is the room on the disk that is had ahead of the log for outcomes and ends, in bytes.
	maxReserve = 64 << 10
	// maxSyncDelay is how long a write may have waited for its sync before new work is refused. A client waits 400 ms for its
	// answer by the platform's protocol.
	maxSyncDelay = 150 * time.Millisecond
	// recoveryRetryInterval is the pause between two attempts to begin a new file.
	recoveryRetryInterval = 250 * time.Millisecond
	// quarantineShare is the part of the disk limit that damaged bytes may take which were set aside.
	quarantineShare = 1.0 / 16
)

// segmentedLog keeps a log in segmentedLog with snapshots.
type segmentedLog struct {
	Options
	state       *state    // whose timeline the files go by
	gen         uint64    // of the running segment
	file        disk.File // the running segment; nil: none yet
	used        int64     // bytes of it
	reserved    int64     // bytes that it has on disk at least
	quarantined int64     // bytes on disk of what was set aside
	// needsGuard tells that the folder does not say yet that it is kept in segments. Nothing is written before it does.
	needsGuard bool

	mu            sync.Mutex
	wake          sync.Cond
	otherFiles    map[string]int64  // bytes on disk of the other files that stand
	written       uint64            // writes so far
	durable       uint64            // of these, what is on disk
	syncedBytes   int64             // bytes of the running segment that are on disk
	unsyncedSince time.Time         // the oldest write that isn't; zero: all are
	unsynced      []unsyncedSegment // segments with such, oldest first
	failed        error             // the sync that failed
	snapshotting  bool              // a snapshot is being written
	recoveryGen   uint64            // the generation whose snapshot was written since the failure
	lastFailedTry time.Time         // when a snapshot last failed
	dirUnsynced   bool              // a segment's name may not be on disk
	closing       bool
	sealed        bool // and all is on disk
	background    sync.WaitGroup
}

// unsyncedSegment is a segment with writes that are not yet on disk.
type unsyncedSegment struct {
	file     disk.File
	size     int64
	complete bool // nothing more is written to it
}

// openSegments reads a folder and begins a new generation in segments. A folder in one file is taken over.
func (l *Log) openSegments(names []string, guarded bool) (Recovery, error) {
	s := &segmentedLog{Options: l.Options, state: &l.state, otherFiles: map[string]int64{}}
	s.wake.L = &s.mu
	var found Recovery
	if guarded {
		c, err := readSegmentFolder(l.FS, names, newState())
		if err != nil {
			return found, err
		}
		if c.Name != "" && l.Name != "" && c.Name != l.Name && c.Name != l.PreviousName && !l.AdoptForeign {
			return found, fmt.Errorf("%w: of %q, and this is %q", ErrForeignFolder, c.Name, l.Name)
		}
		l.state, s.gen = c.state, c.newestGen
		found.Report = &c.Report
		left := c.Files
		if c.Intact() {
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
				s.otherFiles[n] = roundUpToSector(int64(len(data)))
			}
		}
		s.quarantine(&c.Report, names)
	} else {
		s.needsGuard = true
		data, err := l.FS.ReadFile(logName)
		if err != nil && !slices.Contains(names, logName) {
			data = nil
		} else if err != nil {
			return found, fmt.Errorf("wal: %w", err)
		}
		good, damaged := l.replay(data)
		found.Damaged = damaged
		found.Report = &Report{Format: 1, Bytes: int64(len(data))}
		if good < int64(len(data)) {
			found.Report.Holes = []Hole{{File: logName, From: good, To: int64(len(data)), Torn: true}}
		}
		if len(data) > 0 {
			s.otherFiles[logName] = roundUpToSector(int64(len(data)))
		}
	}
	found.Messages, found.times = l.messages(), l.times
	l.backend, l.clockInHeaders = s, true
	if s.Notify == nil {
		s.Notify = func() {}
	}
	if l.SyncWrites {
		s.background.Go(s.syncLoop)
	}
	err := s.writeGuard()
	if err == nil {
		err = s.writeSnapshot(s.gen+1, l.snapshot())
	}
	if err == nil {
		err = s.beginSegment(s.gen+1, nil)
	}
	if err != nil {
		s.fail(err) // a full disk say: what was there still counts, and new work waits for a new file
	}
	return found, nil
}

// writeGuard marks a folder that was kept in one file before. From here on a version that knows one file alone does not start: it would
// find none of what follows.
func (s *segmentedLog) writeGuard() error {
	if !s.needsGuard {
		return nil
	}
	if err := errors.Join(s.FS.Guard(guardName, guardFile), s.syncDir()); err != nil {
		return fmt.Errorf("wal: take over the folder: %w", err)
	}
	s.needsGuard = false
	return nil
}

// convertToSingle puts a folder in segments back into one file.
func (l *Log) convertToSingle(names []string) error {
	c, err := readSegmentFolder(l.FS, names, newState())
	if err != nil {
		return err
	}
	return writeSingle(l.FS, c, names)
}

// writeSingle writes what a folder in segments tells into one file, and then takes the segments away. A crash at any point
// leaves the one or the other, whole.
func writeSingle(d disk.FS, c *segmentFolder, names []string) error {
	const back = "wal.back"
	var buf []byte
	for _, p := range c.clockRecord() {
		buf = appendRecord(buf, p)
	}
	for _, p := range c.completionRecords() {
		buf = appendRecord(buf, p)
	}
	for _, m := range c.messages() {
		if m.Doubt && m.Final == nil && !m.Withdrawn {
			m.Final = &Final{} // one file has no doubt: what may have run may not be promised
		}
		buf = appendRecord(buf, c.acceptPayload(m))
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
		err = errors.Join(d.Rename(back, logName), d.SyncDir())
	}
	if err == nil {
		err = errors.Join(d.Remove(guardName), d.SyncDir()) // from here on the one file counts
	}
	for _, n := range names {
		if err == nil && (isSegmentedFile(n) || n == snapTemp) {
			err = d.Remove(n)
		}
	}
	if err != nil {
		return fmt.Errorf("wal: back to one file: %w", err)
	}
	return nil
}

// quarantine keeps what could not be read, and a report of it in plain words, as far as there is room.
func (s *segmentedLog) quarantine(r *Report, names []string) {
	room := int64(quarantineShare * float64(s.Limit))
	for _, n := range names {
		if strings.HasPrefix(n, quarantinePrefix) {
			if data, err := s.FS.ReadFile(n); err == nil {
				s.quarantined += roundUpToSector(int64(len(data)))
			}
		}
	}
	if r.Intact() {
		return
	}
	put := func(n string, data []byte) {
		if s.quarantined+roundUpToSector(int64(len(data))) > room {
			return
		}
		f, err := s.FS.Open(n)
		if err != nil {
			return // a full disk, or one that is read-only: the log says the same
		}
		f.WriteAt(data, 0)
		f.Close()
		s.quarantined += roundUpToSector(int64(len(data)))
	}
	put(fmt.Sprintf("%s%08x.txt", quarantinePrefix, s.gen), []byte(r.Summary()))
	for _, h := range r.Holes {
		if !h.Torn {
			put(fmt.Sprintf("%s%s-%d", quarantinePrefix, h.File, h.From), h.data)
		}
	}
}

func (s *segmentedLog) syncDir() error {
	if !s.SyncWrites {
		return nil
	}
	return s.FS.SyncDir()
}

// writeSnapshot writes what was live when generation gen began. Older files then go.
func (s *segmentedLog) writeSnapshot(gen uint64, live [][]byte) error {
	salt := gen | snapSalt
	add := func(buf []byte, p []byte) []byte { return appendFrame(buf, salt, int64(len(buf)), 0, p) }
	buf := add(nil, payload(record{Kind: recHeader, Head: &fileHeader{Format: SegmentFormat, Name: s.Name, Gen: gen, Began: s.state.times.Stamp(clock.Now()), Clock: s.state.clockAnchor()}}, nil))
	for _, p := range live {
		buf = add(buf, p)
	}
	buf = add(buf, payload(record{Kind: recFooter, N: len(live)}, nil))
	if s.size()+roundUpToSector(int64(len(buf)))+2*disk.Sector > s.Limit {
		return ErrFull
	}
	s.setFileSize(snapTemp, roundUpToSector(int64(len(buf))))
	defer s.setFileSize(snapTemp, 0)
	f, err := s.FS.Open(snapTemp)
	if err != nil {
		return fmt.Errorf("wal: snapshot: %w", err)
	}
	if err = f.Truncate(0); err == nil {
		_, err = f.WriteAt(buf, 0)
	}
	if err == nil && s.SyncWrites {
		err = f.Sync()
	}
	if err = errors.Join(err, f.Close()); err == nil {
		if err = s.FS.Rename(snapTemp, genFileName(snapPrefix, gen)); err == nil {
			err = s.syncDir()
		}
		if err != nil {
			s.discardSnapshot(gen, err)
		}
	}
	if err != nil {
		return errors.Join(fmt.Errorf("wal: snapshot: %w", err), s.FS.Remove(snapTemp))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for n := range s.otherFiles {
		g, isSnap := parseGeneration(snapPrefix, n)
		if !isSnap {
			g, _ = parseGeneration(segPrefix, n)
		}
		if g >= gen {
			continue
		}
		if s.FS.Remove(n) == nil {
			delete(s.otherFiles, n)
		}
	}
	s.otherFiles[genFileName(snapPrefix, gen)] = roundUpToSector(int64(len(buf)))
	return nil
}

// discardSnapshot takes away a snapshot whose rename may have had its effect. While it stands, no segment before it counts: where
// it can't be taken away, nothing more is written to them.
func (s *segmentedLog) discardSnapshot(gen uint64, cause error) {
	s.mu.Lock()
	followed := gen <= s.gen
	s.mu.Unlock()
	if followed {
		return // the segments that follow it count
	}
	if err := s.FS.Remove(genFileName(snapPrefix, gen)); err != nil {
		s.fail(errors.Join(cause, err))
	}
}

// setFileSize counts a file as taking so many bytes of the disk.
func (s *segmentedLog) setFileSize(name string, bytes int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.otherFiles[name] = bytes; bytes == 0 {
		delete(s.otherFiles, name)
	}
}

// beginSegment begins the segment of a generation. prev is the one that it follows on; nil after a snapshot.
func (s *segmentedLog) beginSegment(gen uint64, prev *fileHeader) error {
	n := genFileName(segPrefix, gen)
	f, err := s.FS.Open(n)
	if err != nil {
		return fmt.Errorf("wal: segment: %w", err)
	}
	h := fileHeader{Format: SegmentFormat, Name: s.Name, Gen: gen, Began: s.state.times.Stamp(clock.Now()), Clock: s.state.clockAnchor()}
	if prev != nil {
		h.Prev, h.Good, h.Kept = prev.Prev, prev.Good, prev.Kept
	}
	buf := appendFrame(nil, gen, 0, 0, payload(record{Kind: recHeader, Head: &h}, nil))
	if err = f.Truncate(0); err == nil {
		_, err = f.WriteAt(buf, 0)
	}
	if err != nil {
		return errors.Join(fmt.Errorf("wal: segment: %w", err), f.Close(), s.FS.Remove(n))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.file != nil {
		if old := genFileName(segPrefix, s.gen); prev != nil {
			s.otherFiles[old] = roundUpToSector(s.used)
		} else if err := s.FS.Remove(old); err != nil { // all that it told is in the snapshot
			s.otherFiles[old] = roundUpToSector(s.used)
		}
		if i := len(s.unsynced) - 1; i >= 0 && s.unsynced[i].file == s.file {
			s.unsynced[i].complete = true
		} else {
			s.file.Close()
		}
	}
	s.file, s.gen, s.used, s.reserved, s.syncedBytes, s.dirUnsynced = f, gen, int64(len(buf)), 0, 0, true
	return nil
}

func (s *segmentedLog) size() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.quarantined + roundUpToSector(max(s.used, s.reserved))
	for _, b := range s.otherFiles {
		n += b
	}
	return n
}

func (s *segmentedLog) encodedSize(payloads [][]byte) (n int64) {
	for _, p := range payloads {
		n += frameHeaderBytes + int64(len(p))
	}
	return n
}

// startReserve is room for the snapshot that a start begins with.
func (s *segmentedLog) startReserve(live int64) int64 { return roundUpToSector(live) + 2*disk.Sector }

// ensureRoom has room on the disk for what ends the work that is held.
func (s *segmentedLog) ensureRoom() error {
	s.mu.Lock()
	worn, since := s.failed != nil || s.file == nil, s.unsyncedSince
	s.mu.Unlock()
	if worn {
		return ErrNeedsNewFile
	}
	if !since.IsZero() && clock.Since(since) > maxSyncDelay {
		return ErrSlow
	}
	ahead := min(maxReserve, s.Limit/16)
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

func (s *segmentedLog) append(payloads [][]byte) error {
	if s.needsNewFile() {
		return ErrNeedsNewFile
	}
	s.mu.Lock()
	kept := s.syncedBytes
	s.mu.Unlock()
	if !s.SyncWrites || s.sealed {
		kept = s.used // what was written is there for whoever reads it next
	}
	at := s.used
	var buf []byte
	for _, p := range payloads {
		buf = appendFrame(buf, s.gen, at+int64(len(buf)), kept, p)
		if !s.SyncWrites {
			kept = at + int64(len(buf))
		}
	}
	if _, err := s.file.WriteAt(buf, at); err != nil {
		return s.undoWrite(at, int64(len(buf)), fmt.Errorf("wal: %w", err))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.used += int64(len(buf))
	s.written++
	if !s.SyncWrites || s.sealed {
		s.durable = s.written
		return nil
	}
	if s.unsyncedSince.IsZero() {
		s.unsyncedSince = clock.Now()
	}
	if i := len(s.unsynced) - 1; i >= 0 && s.unsynced[i].file == s.file {
		s.unsynced[i].size = s.used
	} else {
		s.unsynced = append(s.unsynced, unsyncedSegment{file: s.file, size: s.used})
	}
	s.wake.Signal()
	return nil
}

// undoWrite takes away what a failed write may have left behind the good part of the segment. Where that fails as well, the segment
// is given up.
func (s *segmentedLog) undoWrite(at, size int64, cause error) error {
	if err := eraseTail(s.file, at, at+size); err != nil {
		s.fail(cause)
		return errors.Join(ErrIndeterminate, cause, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reserved = 0 // what was cut off was had with it
	return cause
}

// compact begins a new generation. Without Power, when it returns, the files before it are gone; with it they go once the
// snapshot is on disk, and what is written meanwhile is as durable as before.
func (s *segmentedLog) compact(live [][]byte) error {
	if s.needsNewFile() {
		return ErrNeedsNewFile
	}
	if !s.SyncWrites {
		if err := s.writeSnapshot(s.gen+1, live); err != nil {
			return err
		}
		if err := s.beginSegment(s.gen+1, nil); err != nil {
			s.fail(err) // the segment before it no longer counts
			return err
		}
		return nil
	}
	s.mu.Lock()
	busy := s.snapshotting || clock.Since(s.lastFailedTry) < recoveryRetryInterval // one that fails must not leave segment after segment
	prev := fileHeader{Prev: s.gen, Good: s.used, Kept: s.syncedBytes}
	s.mu.Unlock()
	if busy {
		return ErrFull
	}
	if err := s.beginSegment(s.gen+1, &prev); err != nil {
		return err
	}
	s.snapshotInBackground(s.gen, live, false)
	return nil
}

func (s *segmentedLog) fail(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failed = errors.Join(ErrNeedsNewFile, err)
}

func (s *segmentedLog) needsNewFile() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.failed != nil || s.file == nil
}

func (s *segmentedLog) pendingFlushed() {} // the new file counts as a write

func (s *segmentedLog) failure() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.failed
}

// reclaim begins a generation after every one that another process may have begun.
func (s *segmentedLog) reclaim(names []string, l *Log) error {
	s.fail(errors.New("another process had the log"))
	for _, n := range names {
		for _, prefix := range []string{snapPrefix, segPrefix} {
			if g, ok := parseGeneration(prefix, n); ok {
				s.gen = max(s.gen, g)
				s.mu.Lock()
				if _, known := s.otherFiles[n]; !known {
					s.otherFiles[n] = disk.Sector
				}
				s.mu.Unlock()
			}
		}
	}
	gen := s.gen + 1
	err := errors.Join(s.FS.Guard(guardName, guardFile), s.syncDir())
	if err == nil {
		err = s.writeSnapshot(gen, l.snapshot())
	}
	if err == nil {
		err = s.beginSegment(gen, nil)
	}
	if err == nil {
		err = s.FS.Remove(logName) // of one that keeps a single file
	}
	if err != nil {
		return err // it stays worn, and Tend tries again
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, d := range s.unsynced {
		d.file.Close()
	}
	s.unsynced, s.failed, s.recoveryGen, s.unsyncedSince = nil, nil, 0, time.Time{}
	s.written++
	s.durable = s.written
	return nil
}
