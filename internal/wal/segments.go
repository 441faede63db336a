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
	// ErrNeedsNewFile means that the current file can no longer be trusted or written, and that the log waits for a new one. Nothing
	// that was to be written is in the log.
	ErrNeedsNewFile = errors.New("wal: waiting for a new file")
	// ErrSlow means that syncs are behind: new work would wait too long for its answer.
	ErrSlow = errors.New("wal: the disk is behind")
)

const (
	// maxReserve is the disk space in bytes that is reserved ahead of the log for outcomes and ends.
	maxReserve = 64 << 10
	// maxSyncDelay is how long a write may wait for its sync before new work is refused. By the platform's protocol a client
	// waits 400 ms for its answer.
	maxSyncDelay = 150 * time.Millisecond
	// recoveryRetryInterval is the pause between two attempts to begin a new file.
	recoveryRetryInterval = 250 * time.Millisecond
	// quarantineShare is the part of the disk limit that copies of damaged bytes may take.
	quarantineShare = 1.0 / 16
)

// segmentedLog stores a log as segments with snapshots.
type segmentedLog struct {
	Options
	state       *state    // whose timeline the files use
	gen         uint64    // of the current segment
	file        disk.File // the current segment; nil if there is none yet
	used        int64     // bytes written to the current segment
	reserved    int64     // bytes of disk space that the current segment has at least
	quarantined int64     // bytes on disk of copies of damaged data
	// needsGuard means that the folder is not yet marked as segmented. No segment or snapshot is written before it is.
	needsGuard bool

	mu            sync.Mutex
	wake          sync.Cond
	otherFiles    map[string]int64  // bytes on disk of all other files
	written       uint64            // number of writes so far
	durable       uint64            // how many of them are on disk
	syncedBytes   int64             // bytes of the current segment that are on disk
	unsyncedSince time.Time         // of the oldest unsynced write; zero if there is none
	unsynced      []unsyncedSegment // oldest first
	failed        error             // why a new file is needed
	snapshotting  bool              // a snapshot is being written in the background
	recoveryGen   uint64            // the generation whose snapshot was written since the failure; 0 if none
	lastFailedTry time.Time         // when a snapshot or an attempt to recover last failed
	dirUnsynced   bool              // a segment's name may not be on disk
	closing       bool
	sealed        bool // the final sync is done, so that every byte before the last seal is durable
	background    sync.WaitGroup
}

// unsyncedSegment is a segment with writes that are not yet on disk.
type unsyncedSegment struct {
	file     disk.File
	size     int64
	complete bool // no more writes follow
}

// openSegments reads a folder and begins a new generation of segments. A single-file log is converted.
func (l *Log) openSegments(names []string, segmented bool) (Recovery, error) {
	s := &segmentedLog{Options: l.Options, state: &l.state, otherFiles: map[string]int64{}}
	s.wake.L = &s.mu
	var found Recovery
	if segmented {
		sf, err := readSegmentFolder(l.FS, names, l.state)
		if err != nil {
			return found, err
		}
		if sf.Name != "" && l.Name != "" && sf.Name != l.Name && sf.Name != l.PreviousName && !l.AdoptForeign {
			return found, fmt.Errorf("%w: of %q, and this is %q", ErrForeignFolder, sf.Name, l.Name)
		}
		l.state, s.gen = sf.state, sf.newestGen
		found.Report = &sf.Report
		kept := sf.Files
		if sf.Intact() {
			for _, n := range append(sf.Spare, snapTemp) {
				if l.FS.Remove(n) != nil {
					kept = append(kept, n)
				}
			}
		} else {
			kept = append(kept, sf.Spare...)
		}
		for _, n := range kept {
			if data, err := l.FS.ReadFile(n); err == nil {
				s.otherFiles[n] = roundUpToSector(int64(len(data)))
			}
		}
		s.quarantine(&sf.Report, names)
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
		s.fail(err) // for example a full disk: the existing files stay valid, and new work waits for a new file
	}
	return found, nil
}

// writeGuard marks a folder that held a single-file log as segmented. From then on a version that only knows single files refuses
// to start: it would not see what is written later.
func (s *segmentedLog) writeGuard() error {
	if !s.needsGuard {
		return nil
	}
	if err := errors.Join(s.FS.Guard(guardName, guardFile), s.syncDir()); err != nil {
		return fmt.Errorf("wal: mark the folder as segmented: %w", err)
	}
	s.needsGuard = false
	return nil
}

// convertToSingle converts a segmented folder to a single file.
func (l *Log) convertToSingle(names []string) error {
	s := newState()
	s.priorityOf = l.priorityOf
	sf, err := readSegmentFolder(l.FS, names, s)
	if err != nil {
		return err
	}
	return writeSingle(l.FS, sf, names)
}

// writeSingle writes the state of a segmented folder to a single file and then removes the segments. A crash at any point leaves
// one of the two formats intact.
func writeSingle(d disk.FS, sf *segmentFolder, names []string) error {
	const temp = "wal.back"
	var buf []byte
	for _, p := range sf.clockRecord() {
		buf = appendRecord(buf, p)
	}
	for _, p := range sf.recent.records() {
		buf = appendRecord(buf, p)
	}
	for _, m := range sf.messages() {
		if m.Doubt && m.Final == nil && !m.Withdrawn {
			m.Final = &Final{} // a single file can't record the doubt: end the message as one that may have run
		}
		buf = appendRecord(buf, sf.acceptPayload(m))
	}
	f, err := d.Open(temp)
	if err != nil {
		return fmt.Errorf("wal: convert to a single file: %w", err)
	}
	if err = f.Truncate(0); err == nil {
		_, err = f.WriteAt(buf, 0)
	}
	err = errors.Join(err, f.Sync(), f.Close())
	if err == nil {
		err = errors.Join(d.Rename(temp, logName), d.SyncDir())
	}
	if err == nil {
		err = errors.Join(d.Remove(guardName), d.SyncDir()) // from here on the single file is the log
	}
	for _, n := range names {
		if err == nil && (isSegmentedFile(n) || n == snapTemp) {
			err = d.Remove(n)
		}
	}
	if err != nil {
		return fmt.Errorf("wal: convert to a single file: %w", err)
	}
	return nil
}

// quarantine stores copies of unreadable bytes and a text report of them, as far as there is room.
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
	write := func(n string, data []byte) {
		if s.quarantined+roundUpToSector(int64(len(data))) > room {
			return
		}
		f, err := s.FS.Open(n)
		if err != nil {
			return // a full or read-only disk: the log's own writes report the same
		}
		f.WriteAt(data, 0)
		f.Close()
		s.quarantined += roundUpToSector(int64(len(data)))
	}
	write(fmt.Sprintf("%s%08x.txt", quarantinePrefix, s.gen), []byte(r.Summary()))
	for _, h := range r.Holes {
		if !h.Torn {
			write(fmt.Sprintf("%s%s-%d", quarantinePrefix, h.File, h.From), h.data)
		}
	}
}

func (s *segmentedLog) syncDir() error {
	if !s.SyncWrites {
		return nil
	}
	return s.FS.SyncDir()
}

// writeSnapshot writes the messages that were live when generation gen began, and then removes older files.
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

// discardSnapshot removes a snapshot whose rename failed but may have taken effect. As long as it exists, earlier segments are
// ignored: if it can't be removed, nothing more is written to them.
func (s *segmentedLog) discardSnapshot(gen uint64, cause error) {
	s.mu.Lock()
	followed := gen <= s.gen
	s.mu.Unlock()
	if followed {
		return // its own segment exists already, and is read after it
	}
	if err := s.FS.Remove(genFileName(snapPrefix, gen)); err != nil {
		s.fail(errors.Join(cause, err))
	}
}

// setFileSize records how many bytes of the disk a file takes; 0 if it does not exist.
func (s *segmentedLog) setFileSize(name string, bytes int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.otherFiles[name] = bytes; bytes == 0 {
		delete(s.otherFiles, name)
	}
}

// beginSegment begins the segment of a generation. prev describes the segment that it continues; nil after a snapshot.
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
		} else if err := s.FS.Remove(old); err != nil { // its content is in the snapshot
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

// startReserve returns the room for the snapshot that the next start begins with.
func (s *segmentedLog) startReserve(live int64) int64 { return roundUpToSector(live) + 2*disk.Sector }

// ensureRoom reserves disk space for the records that end the messages held, and refuses new work while syncs are behind.
func (s *segmentedLog) ensureRoom() error {
	s.mu.Lock()
	needsNew, since := s.failed != nil || s.file == nil, s.unsyncedSince
	s.mu.Unlock()
	if needsNew {
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
		kept = s.used // without syncs, a completed write counts as durable
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

// undoWrite removes what a failed write may have left after the valid part of the segment. If that fails as well, nothing
// more is written to the segment.
func (s *segmentedLog) undoWrite(at, size int64, cause error) error {
	if err := eraseTail(s.file, at, at+size); err != nil {
		s.fail(cause)
		return errors.Join(ErrIndeterminate, cause, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reserved = 0 // truncating the file also released its reserved space
	return cause
}

// compact begins a new generation. Without SyncWrites the earlier files are gone when it returns. With SyncWrites they are removed
// once the snapshot is on disk, and writes in the meantime are as durable as before.
func (s *segmentedLog) compact(live [][]byte) (done bool, err error) {
	if s.needsNewFile() {
		return false, ErrNeedsNewFile
	}
	if !s.SyncWrites {
		if err := s.writeSnapshot(s.gen+1, live); err != nil {
			return false, err
		}
		if err := s.beginSegment(s.gen+1, nil); err != nil {
			s.fail(err) // the snapshot supersedes the previous segment
			return false, err
		}
		return true, nil
	}
	s.mu.Lock()
	busy := s.snapshotting || clock.Since(s.lastFailedTry) < recoveryRetryInterval // failing snapshots must not pile up segments
	prev := fileHeader{Prev: s.gen, Good: s.used, Kept: s.syncedBytes}
	s.mu.Unlock()
	if busy {
		return false, ErrFull
	}
	if err := s.beginSegment(s.gen+1, &prev); err != nil {
		return false, err
	}
	s.snapshotInBackground(s.gen, live, false)
	return false, nil
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

func (s *segmentedLog) pendingFlushed() {} // beginning the new file already counts as a write

func (s *segmentedLog) failure() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.failed
}

// reclaim begins a generation later than any that another process may have begun.
func (s *segmentedLog) reclaim(names []string, l *Log) (rewritten bool, err error) {
	s.fail(errors.New("another process may have written the log"))
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
	err = errors.Join(s.FS.Guard(guardName, guardFile), s.syncDir())
	if err == nil {
		err = s.writeSnapshot(gen, l.snapshot())
	}
	if err == nil {
		err = s.beginSegment(gen, nil)
	}
	if err == nil {
		err = s.FS.Remove(logName) // left by a process that uses a single file
	}
	if err != nil {
		return false, err // TryRecover tries again
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, d := range s.unsynced {
		d.file.Close()
	}
	s.unsynced, s.failed, s.recoveryGen, s.unsyncedSince = nil, nil, 0, time.Time{}
	s.written++
	s.durable = s.written
	return true, nil
}
