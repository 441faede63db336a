// Package wal implements the relay's write-ahead log: accepted messages, send attempts and the ends of messages, stored in the state
// folder so that they survive the process. Times are stored on a timeline of package clock, which a step of the wall clock does not
// move; see times.go.
//
// There are two storage formats. The default is a single file: data survives SIGKILL without a sync, and only the loss of the machine
// loses it. With Options.Format 2 the log consists of segments, each preceded by a snapshot, and every byte is checked by a checksum
// when it is read. With Options.SyncWrites in addition, whatever the log has reported as durable also survives a power loss.
//
// Each format reads what the other one has written, and a crash during a conversion loses nothing.
package wal

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"syscall"
	"time"

	"onyxroad.dev/onyxroad/internal/clock"
	"onyxroad.dev/onyxroad/internal/disk"
)

// ErrFull means that the log has no room for new work. Ends and outcomes can still be written.
var ErrFull = errors.New("wal: no room for new work")

// ErrLocked means that another process holds the log's lock.
var ErrLocked = errors.New("wal: locked by another process")

// ErrIndeterminate means that a failed write may nevertheless be in the log and can't be removed now: if this process ends before
// it is removed, the next one reads it.
var ErrIndeterminate = errors.New("wal: a failed write may still be in the log")

// Message is an accepted message and its state as recorded in the log.
type Message struct {
	ID       uint32 // assigned by the log's owner
	Trace    string // the client's trace id
	Key      string // idempotency key; "" if none
	Order    string // ordering key, in a class that keeps order; "" if none
	Class    int
	Customer int
	Dest     int
	Deadline time.Time
	// Rank is the message's position among those owed to a destination, where a backlog is kept: in Unix nanoseconds, lowest first. 0 if
	// there is no backlog.
	Rank int64  `json:",omitempty"`
	Body []byte `json:"-"`

	Attempts int       // sends so far
	MayRun   []Attempt // attempts without an outcome, or with one that does not prove that they never ran
	Final    *Final    // the notice that ends it, once decided

	// Withdrawn means that no answer or notice is due, because the client disconnected before its answer. The message may have run,
	// which must be known if the client submits it again.
	Withdrawn bool `json:",omitempty"`

	// Doubt means that an unreadable part of the log may have held attempts of this message.
	Doubt bool `json:",omitempty"`
}

// Attempt is one send to an endpoint.
type Attempt struct {
	N    int
	Host string
	Zone int
	At   time.Time
}

// Final is the notice that ends an undelivered message.
type Final struct {
	Deferred bool          // the client may safely submit the message again
	Again    time.Duration // how long the client should wait before that; 0 if unspecified
}

// Send is an attempt that is about to be made, with its message.
type Send struct {
	Message *Message
	Attempt Attempt
}

// Recovery describes what Open read from the folder.
type Recovery struct {
	Messages []*Message // unfinished ones, in the order in which they were accepted
	// Damaged means that there were unreadable records before the last one: attempts may be missing from messages.
	Damaged bool
	// UnreadableEnds is the number of files of remembered ends that could not be read.
	UnreadableEnds int
	// Report describes a folder read for a segmented log; nil for a single file.
	Report *Report

	times clock.Timeline
}

// Latest returns the newest time found in the log, or the zero time if there is none.
func (r *Recovery) Latest() (latest time.Time) {
	if r.Report != nil {
		latest = r.times.Local(r.Report.Began)
	}
	for _, m := range r.Messages {
		for _, a := range m.MayRun {
			if a.At.After(latest) {
				latest = a.At
			}
		}
	}
	return latest
}

// Kinds of record. The values are stored: they must not change.
const (
	recAccept byte = iota + 1
	recSend
	recOutcome
	recFinal
	recEnd
	recWithdrawn
	recHeader     // first record of a segment or snapshot
	recFooter     // last record of a snapshot, with the number of records in it
	recSeal       // end of a segment that was closed in order
	recClock      // timeline of the times in the records that follow
	recCompleted  // ends of messages that are no longer in the log
	recRejected   // requests that were never accepted
	recEndBlock   // the only record of a file of the archive
	recordKindEnd // follows the last kind; not stored
)

const (
	logName  = "wal.log"
	tempName = "wal.tmp"
	lockName = "wal.lock"

	maxRecordBytes = 1 << 20 // far above the size of any message

	// Shares of the disk limit. During a compaction the old and the new file exist side by side and both must fit, so
	// liveShare + compactShare stays below 1 by more than one batch.
	liveShare    = 0.36
	compactShare = 0.5
)

// record is the JSON part of a record; the message body follows it as raw bytes.
type record struct {
	Kind    byte
	ID      uint32
	Message *Message      `json:",omitempty"`
	Attempt *Attempt      `json:",omitempty"`
	N       int           `json:",omitempty"`
	Final   *Final        `json:",omitempty"`
	Head    *fileHeader   `json:",omitempty"`
	Clock   *clock.Anchor `json:",omitempty"`
}

// Options configures a log. Only Dir and Limit are required.
type Options struct {
	Dir          string
	Limit        int64   // bytes on disk, of the log and of the archive of ends
	FS           disk.FS // the folder's files; nil means the operating system's
	Name         string  // the relay's name; a segmented folder of another relay is refused. Empty accepts any
	PreviousName string  // another name that is accepted as this relay's
	AdoptForeign bool    // accept a folder of any relay
	// Format is 1 for a single file (the default) or 2 for segments.
	Format int
	// SyncWrites syncs every write to disk; Durable reports how far. It requires segments.
	SyncWrites bool
	// PriorityOf returns the priority of the ends of a class's messages. Nil means that no message may run again.
	PriorityOf func(class int) Priority
	// Notify is called, from any goroutine, when Durable has advanced, a sync has failed or the log's owner should call TryRecover.
	Notify func()
}

// Log is an open log. It is not safe for concurrent use.
type Log struct {
	Options // Limit is the log's part of the disk limit
	state
	backend         backend
	archive         *archive
	archiving       *archiving // a block that is being written to the archive; nil if none is
	archiveError    error      // why the archive was last not written; nil if it could be
	archiveFailedAt time.Time
	pending         [][]byte // payloads of outcomes and ends that are not yet written
	// unrecorded means that there are recent ends neither in a file nor in pending.
	unrecorded     bool
	acceptBuffer   []byte // for the payloads of messages that are being accepted
	clockWritten   bool   // the file being written already contains the timeline
	clockInHeaders bool   // every file has the timeline in its header
}

// backend stores a log in one of the formats.
type backend interface {
	// size returns the bytes used on disk.
	size() int64
	// encodedSize returns how many bytes the payloads would add.
	encodedSize(payloads [][]byte) int64
	// startReserve returns the bytes that appends must leave free for the next start, given the size of the live messages.
	startReserve(live int64) int64
	// append writes the payloads in one write, all or none.
	append(payloads [][]byte) error
	// compact replaces everything written so far with the live messages. done is false if that goes on in the background: it may still
	// fail, so that what has not been appended must be appended nevertheless.
	compact(live [][]byte) (done bool, err error)
	// writeNumbers returns the number of the last write and of the last durable write.
	writeNumbers() (written, durable uint64)
	// needsNewFile reports whether appends are impossible until tryRecover has begun a new file.
	needsNewFile() bool
	tryRecover(live func() [][]byte) bool
	// pendingFlushed is called after a recovery once all pending records are written, so that whoever waits for a failed write goes on.
	pendingFlushed()
	failure() error
	// reclaim continues after another process may have opened the log. rewritten is true if it has written the whole state anew.
	reclaim(names []string, l *Log) (rewritten bool, err error)
	// ensureRoom makes sure, before new work is accepted, that outcomes and ends of the messages held can still be written.
	ensureRoom() error
	close() error
}

// Lock takes the exclusive lock on the log in dir, which excludes a second writer. It is released when the returned file is closed or
// the process ends. Whoever opens the log must hold it. The error is ErrLocked if another process does.
func Lock(dir string) (*os.File, error) { return lock(dir, os.O_CREATE) }

// LockExisting is Lock for callers that must not create anything: the error is fs.ErrNotExist if there has never been a log.
func LockExisting(dir string) (*os.File, error) { return lock(dir, 0) }

func lock(dir string, flag int) (*os.File, error) {
	f, err := os.OpenFile(filepath.Join(dir, lockName), os.O_RDWR|flag, 0o600)
	if err != nil {
		return nil, fmt.Errorf("wal: %w", err)
	}
	if err := disk.RetryOnEINTR(func() error { return syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB) }); err != nil {
		f.Close()
		if errors.Is(err, syscall.EWOULDBLOCK) {
			return nil, ErrLocked
		}
		return nil, fmt.Errorf("wal: lock: %w", err)
	}
	return f, nil
}

// Open reads or creates the log in dir, in a single file of at most limit bytes on disk.
func Open(dir string, limit int64) (*Log, Recovery, error) {
	return OpenWith(Options{Dir: dir, Limit: limit})
}

// OpenWith reads or creates a log. The caller must hold its lock.
func OpenWith(o Options) (*Log, Recovery, error) {
	if o.FS == nil {
		o.FS = disk.Dir(o.Dir)
	}
	logLimit, archiveLimit := splitLimit(o.Limit)
	o.Limit = logLimit
	l := &Log{Options: o, state: newState()}
	l.state.priorityOf = o.PriorityOf
	_ = o.FS.Remove(endsTempName) // on failure, the next block overwrites it
	archive, err := readArchive(o.FS, archiveLimit, o.SyncWrites)
	if err != nil {
		return nil, Recovery{}, err
	}
	l.archive = archive
	found, err := l.openFiles()
	if err != nil {
		return nil, Recovery{}, err
	}
	found.UnreadableEnds = len(archive.unreadable)
	l.dropArchived()
	l.archiveRecent()
	return l, found, nil
}

// openFiles reads or creates the log's files.
func (l *Log) openFiles() (Recovery, error) {
	names, err := l.FS.Names()
	if err != nil {
		return Recovery{}, fmt.Errorf("wal: %w", err)
	}
	segmented := isSegmented(names)
	if l.Format == SegmentFormat {
		return l.openSegments(names, segmented)
	}
	if segmented {
		if err := l.convertToSingle(names); err != nil {
			return Recovery{}, err
		}
	}
	return l.openSingle()
}

// Close writes the pending records and closes the files.
func (l *Log) Close() error {
	l.waitForArchive()
	return errors.Join(l.Flush(), l.backend.close())
}

// ReleaseState drops the state of a log that another process continues. Only Close may be called afterwards.
func (l *Log) ReleaseState() {
	l.live, l.recent, l.pending, l.acceptBuffer, l.bytes = nil, recentEnds{}, nil, nil, 0
	l.unrecorded = false
	l.archive.release()
}

// Written returns the number of the last write.
func (l *Log) Written() uint64 {
	n, _ := l.backend.writeNumbers()
	return n
}

// Durable returns the number of the last write that has the configured durability. Without SyncWrites that is every write.
func (l *Log) Durable() uint64 {
	_, n := l.backend.writeNumbers()
	return n
}

// TryRecover resumes writing after a disk failure, once the disk allows it. A segmented log begins a new file with all live messages and
// no longer trusts the previous one; a single file is repaired. It returns false while the log is still waiting.
func (l *Log) TryRecover() bool {
	if l.backend.failure() == nil {
		return true
	}
	ok := l.backend.tryRecover(func() [][]byte {
		l.pending = nil // the snapshot contains their effect
		return l.snapshot()
	})
	if !ok || l.Flush() != nil {
		return false
	}
	l.backend.pendingFlushed()
	return true
}

// Failure returns why the log waits for a new file, or nil if it does not.
func (l *Log) Failure() error { return l.backend.failure() }

// Reclaim continues after another process may have opened the log without continuing it, and writes the state anew if necessary.
func (l *Log) Reclaim() error {
	names, err := l.FS.Names()
	rewritten := false
	if err == nil {
		archiveErr := l.archive.reclaim()
		rewritten, err = l.backend.reclaim(names, l)
		err = errors.Join(archiveErr, err)
	}
	if rewritten {
		l.pending = nil // the new file contains their effect
	}
	if err != nil {
		return fmt.Errorf("wal: reclaim: %w", err)
	}
	return nil
}

// Rename gives the folder another relay's name for the next start. It must be called right before Close, and needs segments.
func (l *Log) Rename(name string) error {
	if s, ok := l.backend.(*segmentedLog); ok {
		s.Name = name
	}
	return l.compact()
}

// Marshal encodes a message without attempts, for stores other than the log. Unmarshal decodes it.
func Marshal(m *Message) []byte {
	return payload(record{Kind: recAccept, ID: m.ID, Message: m}, m.Body)
}

// Unmarshal decodes a message that Marshal encoded.
func Unmarshal(data []byte) (*Message, error) {
	rec, body, ok := parsePayload(data)
	if !ok || rec.Kind != recAccept || rec.Message == nil {
		return nil, errors.New("wal: the data does not encode a message")
	}
	rec.Message.ID, rec.Message.Body = rec.ID, slices.Clone(body)
	return rec.Message, nil
}

// FillRatio returns the used fraction of the room for new work, with so many more bytes.
func (l *Log) FillRatio(more int64) float64 {
	return float64(l.bytes+l.excessRecentSize()+more) / max(1, float64(l.share(liveShare)))
}

// LiveBytes returns roughly the bytes that the messages in the log take.
func (l *Log) LiveBytes() int64 { return l.bytes }

// Size returns the bytes that the log uses on disk.
func (l *Log) Size() int64 { return l.backend.size() + l.archive.bytes }

// IsLive reports whether m has no end yet.
func (l *Log) IsLive(m *Message) bool { return l.live[m.ID] != nil }

// Accept records that messages are accepted, all or none. If it returns ErrFull, none of them is in the log.
func (l *Log) Accept(ms ...*Message) error {
	if err := l.backend.ensureRoom(); err != nil {
		return err
	}
	buf := l.encodeAccepts(ms)
	if l.bytes+l.excessRecentSize()+l.backend.encodedSize(buf) > l.share(liveShare) {
		return ErrFull
	}
	if err := l.write(buf); err != nil {
		return err
	}
	for _, m := range ms {
		l.live[m.ID] = m
		l.bytes += estimatedSize(m)
	}
	return nil
}

// encodeAccepts returns the payloads of messages, which are valid until the next call.
func (l *Log) encodeAccepts(ms []*Message) (payloads [][]byte) {
	all := l.acceptBuffer[:0]
	for _, m := range ms {
		begin := len(all)
		all = l.appendAccept(all, m)
		payloads = append(payloads, all[begin:len(all):len(all)])
	}
	if l.acceptBuffer = all; cap(all) > keptBufferBytes {
		l.acceptBuffer = nil
	}
	return payloads
}

// RecordSends records attempts before their first byte is sent, all or none.
func (l *Log) RecordSends(sends ...Send) error {
	var buf [][]byte
	for _, s := range sends {
		stamped := s.Attempt
		stamped.At = l.times.Stamp(stamped.At)
		buf = append(buf, payload(record{Kind: recSend, ID: s.Message.ID, Attempt: &stamped}, nil))
	}
	if err := l.write(buf); err != nil {
		return err
	}
	for _, s := range sends {
		l.bytes -= estimatedSize(s.Message)
		s.Message.addAttempt(s.Attempt)
		l.bytes += estimatedSize(s.Message)
	}
	return nil
}

// NeverRan records an outcome which proves that attempt n had no effect. Other outcomes need no record: they change nothing that a
// restart depends on.
func (l *Log) NeverRan(m *Message, n int) {
	if l.live[m.ID] == nil {
		return
	}
	l.bytes -= estimatedSize(m)
	m.removeAttempt(n)
	l.bytes += estimatedSize(m)
	l.pending = append(l.pending, payload(record{Kind: recOutcome, ID: m.ID, N: n}, nil))
}

// SetFinal records the notice that will end m.
func (l *Log) SetFinal(m *Message, f Final) {
	if l.live[m.ID] == nil {
		return
	}
	m.Final = &f
	l.pending = append(l.pending, payload(record{Kind: recFinal, ID: m.ID, Final: &f}, nil))
}

// Withdraw records that nothing is owed for m any more. The log still remembers which attempts may have run, until End.
func (l *Log) Withdraw(m *Message) {
	if l.live[m.ID] == nil {
		return
	}
	m.Withdrawn = true
	l.pending = append(l.pending, payload(record{Kind: recWithdrawn, ID: m.ID}, nil))
}

// End records that m is no longer kept here and that its trace id may be submitted again: either the client does not know its outcome,
// or the message is kept elsewhere. See Complete.
func (l *Log) End(m *Message) {
	if l.live[m.ID] != nil {
		l.end(m, 0)
	}
}

// end removes m from the log. how is 0 if its end is not remembered.
func (l *Log) end(m *Message, how Completion) {
	delete(l.live, m.ID)
	l.bytes -= estimatedSize(m)
	l.pending = append(l.pending, payload(record{Kind: recEnd, ID: m.ID, N: int(how)}, nil))
}

// Flush writes the pending records. After an error they are kept for the next write.
func (l *Log) Flush() error {
	if len(l.pending) == 0 {
		return nil
	}
	return l.write(nil)
}

// write appends the pending records and buf in one write. If it fails, only buf is discarded.
func (l *Log) write(buf [][]byte) error {
	if l.backend.needsNewFile() {
		if len(l.pending)+len(buf) == 0 {
			return nil
		}
		return ErrNeedsNewFile
	}
	all := slices.Concat(l.missingClockRecord(), l.pending, buf)
	if l.backend.size()+l.backend.encodedSize(all) > l.share(compactShare) {
		// A compaction that is done has written the state, which includes the pending records. If it fails, the room beyond
		// compactShare is used.
		_ = l.compact()
		all = slices.Concat(l.missingClockRecord(), l.pending, buf)
	}
	if len(l.pending)+len(buf) == 0 {
		return nil
	}
	if l.backend.size()+l.backend.encodedSize(all)+l.backend.startReserve(l.bytes+l.recent.size()) > l.Limit-2*disk.Sector {
		return ErrFull
	}
	if err := l.backend.append(all); err != nil {
		return err
	}
	l.pending, l.clockWritten = l.pending[:0], true
	if l.unrecorded {
		l.unrecorded = false
		l.pending = append(l.pending, l.recent.records()...)
		_ = l.Flush() // on failure, the next write contains them
	}
	return nil
}

// compact replaces the log with its live messages.
func (l *Log) compact() error {
	done, err := l.backend.compact(l.snapshot())
	if err != nil {
		return err
	}
	if done {
		l.pending = l.pending[:0]
	}
	l.bytes, l.clockWritten, l.unrecorded = 0, true, false
	for _, m := range l.live {
		l.bytes += estimatedSize(m)
	}
	return nil
}

// snapshot returns the live messages as records.
func (l *Log) snapshot() (all [][]byte) {
	if !l.clockInHeaders {
		all = l.clockRecord()
	}
	all = append(all, l.recent.records()...)
	for _, m := range l.messages() {
		all = append(all, l.acceptPayload(m))
	}
	return all
}

func (l *Log) share(x float64) int64 { return int64(x * float64(l.Limit)) }

// messages returns the live messages in the order in which they were accepted.
func (s *state) messages() []*Message {
	ms := make([]*Message, 0, len(s.live))
	for _, m := range s.live {
		ms = append(ms, m)
	}
	slices.SortFunc(ms, func(a, b *Message) int { return int(int64(a.ID) - int64(b.ID)) })
	return ms
}

// estimatedSize returns roughly how many bytes m takes in a new file.
func estimatedSize(m *Message) int64 {
	n := 280 + len(m.Body) + len(m.Trace) + len(m.Key) + len(m.Order)
	for _, a := range m.MayRun {
		n += 80 + len(a.Host)
	}
	return int64(n)
}

func (m *Message) addAttempt(a Attempt) {
	m.Attempts = max(m.Attempts, a.N+1)
	m.MayRun = append(m.MayRun, a)
}

func (m *Message) removeAttempt(n int) {
	m.MayRun = slices.DeleteFunc(m.MayRun, func(a Attempt) bool { return a.N == n })
}

// apply updates the state with a record that was read.
func (s *state) apply(rec record, body []byte) {
	m := s.live[rec.ID]
	switch {
	case rec.Kind == recClock && rec.Clock != nil:
		s.resumeTimeline(rec.Clock)
		return
	case rec.Kind == recCompleted, rec.Kind == recRejected:
		s.applyCompletions(rec, body)
		return
	case rec.Kind == recAccept && rec.Message != nil:
		m = rec.Message
		m.ID, m.Body = rec.ID, slices.Clone(body)
		s.localize(m)
		s.live[m.ID] = m
		s.bytes += estimatedSize(m)
		return
	case m == nil:
		return // the record that accepted it is unreadable
	}
	s.bytes -= estimatedSize(m)
	switch {
	case rec.Kind == recSend && rec.Attempt != nil:
		rec.Attempt.At = s.times.Local(rec.Attempt.At)
		m.addAttempt(*rec.Attempt)
	case rec.Kind == recOutcome:
		m.removeAttempt(rec.N)
	case rec.Kind == recFinal && rec.Final != nil:
		m.Final = rec.Final
	case rec.Kind == recWithdrawn:
		m.Withdrawn = true
	case rec.Kind == recEnd:
		delete(s.live, m.ID)
		if how := Completion(rec.N); how >= Delivered && how <= Failed {
			s.rememberCompletion(m, how)
		}
		return
	}
	s.bytes += estimatedSize(m)
}
