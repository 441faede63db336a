// Package wal is the relay's write-ahead log: what it has taken on, what it has sent, and what has ended, in
// the folder that outlasts the process. Times in it stand on a timeline of package clock, which a step of the wall clock
// does not move: see times.go.
//
// It is kept in one of two ways. By default in one file: what was written survives SIGKILL without a sync, and only the
// machine's loss loses it. With Options.Format 2 in segments, each with a snapshot before it, whose every byte is checked
// when it is read; and with Options.Power so that what the log has told to be durable survives a loss of power too.
//
// Either way reads what the other has left, and a crash on the way from one to the other loses nothing.
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

// ErrFull tells that the log has no room for new work. Ends and outcomes still find room.
var ErrFull = errors.New("wal: no room for new work")

// ErrLocked tells that another process has the log.
var ErrLocked = errors.New("wal: held by another process")

// ErrIndeterminate tells that what was to be written may stand in the log all the same, and can't be taken away now: should the process
// end before it is, the next one finds it.
var ErrIndeterminate = errors.New("wal: what was not written may stand in the log")

// Message is a message that was taken on, with what the log knows of its fate.
type Message struct {
	ID       uint32 // the log's own number for it
	Trace    string // the client's
	Key      string // idempotency key; "" if none
	Order    string // what it is about, in a class that keeps order; "" if none
	Class    int
	Customer int
	Dest     int
	Deadline time.Time
	// Rank orders what a destination is owed where a backlog is kept, in unix nanoseconds: least first. 0: without one.
	Rank int64  `json:",omitempty"`
	Body []byte `json:"-"`

	Attempts int       // sends so far
	MayRun   []Attempt // those of them that have no outcome or one that does not prove that they never ran
	Final    *Final    // the notice that ends it, once decided

	// Withdrawn tells that nothing is owed, since its client left without an answer. It may have run, and should it
	// be handed in once more, that must be known.
	Withdrawn bool `json:",omitempty"`

	// Doubt tells that a part of the log could not be read in which sends of it may have stood.
	Doubt bool `json:",omitempty"`
}

// Attempt is one send.
type Attempt struct {
	N    int
	Host string
	Zone int
	At   time.Time
}

// Final is the notice that ends a message which was not delivered.
type Final struct {
	Deferred bool // the client may safely come again
	Again    time.Duration
}

// Send is an attempt about to be made, and whose.
type Send struct {
	Message *Message
	Attempt Attempt
}

// Recovery is what Open found.
type Recovery struct {
	Messages []*Message // unfinished, in the order in which they were taken on
	// Damaged tells that records before the last were unreadable: a message's sends may be missing from it.
	Damaged bool
	// Report is what reading a folder for segments found; nil without them.
	Report *Report

	times clock.Timeline
}

// Latest is the newest time that stands in what was found; the zero time if there is none.
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

// The kinds of record.
const (
	recAccept byte = iota + 1
	recSend
	recOutcome
	recFinal
	recEnd
	recWithdrawn
	recHeader    // of a file of a folder in segments
	recFooter    // of a snapshot: so many messages
	recSeal      // the segment ends here
	recClock     // the times of what follows
	recCompleted // ends of messages that are no more in the log
	recRejected  // requests that were not taken on
)

const (
	logName  = "wal.log"
	tempName = "wal.tmp"
	lockName = "wal.lock"

	maxRecordBytes = 1 << 20 // of a record: a message's is far smaller

	// Shares of the disk limit. While the log is compacted the old and the new file stand side by side, and
	// both must fit: liveShare + compactShare stays clear of 1 by more than a batch.
	liveShare    = 0.36
	compactShare = 0.5
)

// record is the readable part of every record; a body follows it raw.
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

// Options is how a log is kept. Only Dir and Limit are needed.
type Options struct {
	Dir          string
	Limit        int64   // bytes on disk
	FS           disk.FS // the folder's files; none: the operating system's
	Name         string  // the relay's; a folder in segments of another one is refused, unless Also is its name. Empty: any
	PreviousName string  // another name under which the folder is this relay's
	AdoptForeign bool    // or this is set
	// Format is 1, one file, or 2, segments; none: 1.
	Format int
	// SyncWrites has writes synced, and Durable tell how far. It needs segments.
	SyncWrites bool
	// Notify is called, from any goroutine, whenever Durable has grown or a sync has failed.
	Notify func()
}

// Log is an open log. It is not safe for concurrent use.
type Log struct {
	Options
	state
	backend        backend
	pending        [][]byte // payloads of outcomes and ends not yet written
	clockWritten   bool     // the file that is written says by which timeline
	clockInHeaders bool     // each file says so in its head
}

// backend is how a log is kept.
type backend interface {
	// size is what it takes on disk, in bytes.
	size() int64
	// encodedSize is what payloads would add to it.
	encodedSize(payloads [][]byte) int64
	// startReserve is the room that is kept from what is appended where live messages take so many bytes: the next start needs it.
	startReserve(live int64) int64
	// append appends payloads in one write, all or none.
	append(payloads [][]byte) error
	// compact puts the live messages in the place of all that was appended.
	compact(live [][]byte) error
	// writeNumbers tell the number of the last write, and of the last that is durable.
	writeNumbers() (written, durable uint64)
	// needsNewFile tells that nothing can be appended until tend has had a new file begun.
	needsNewFile() bool
	tryRecover(live func() [][]byte) bool
	// pendingFlushed has what waits for a write that failed go on: all that was noted has been written.
	pendingFlushed()
	failure() error
	reclaim(names []string, l *Log) error
	// ensureRoom tells, before new work is taken on, that outcomes and ends of what is held will find room.
	ensureRoom() error
	close() error
}

// Lock takes the lock on the log in dir, which goes with the file returned, or with the process. Guards against two
// writers: whoever opens the log holds it. ErrHeld tells that another does.
func Lock(dir string) (*os.File, error) { return lock(dir, os.O_CREATE) }

// LockExisting is Lock for whoever must change nothing: the error is fs.ErrNotExist where no log has ever been.
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

// Open reads the log in dir, or begins one, that may take limit bytes of disk, in one file.
func Open(dir string, limit int64) (*Log, Recovery, error) {
	return OpenWith(Options{Dir: dir, Limit: limit})
}

// OpenWith reads the log of a folder, or begins one. The caller has its lock.
func OpenWith(o Options) (*Log, Recovery, error) {
	if o.FS == nil {
		o.FS = disk.Dir(o.Dir)
	}
	l := &Log{Options: o, state: newState()}
	names, err := o.FS.Names()
	if err != nil {
		return nil, Recovery{}, fmt.Errorf("wal: %w", err)
	}
	switch guarded := isSegmented(names); {
	case o.Format == SegmentFormat:
		found, err := l.openSegments(names, guarded)
		l.pruneCompletions()
		return l, found, err
	case guarded:
		if err := l.convertToSingle(names); err != nil {
			return nil, Recovery{}, err
		}
	}
	found, err := l.openSingle()
	l.pruneCompletions()
	return l, found, err
}

// Close writes what is noted and closes the files.
func (l *Log) Close() error { return errors.Join(l.Flush(), l.backend.close()) }

// Written is the number of the last write.
func (l *Log) Written() uint64 {
	n, _ := l.backend.writeNumbers()
	return n
}

// Durable is the number of the last write that is as durable as the log is to be. Without Power every one is.
func (l *Log) Durable() uint64 {
	_, n := l.backend.writeNumbers()
	return n
}

// TryRecover goes on after the disk has failed the log, once it can. In segments a new file is begun with all that is live, and nothing
// more is trusted to the one before; a single file is put in order. False tells that the log still waits for that.
func (l *Log) TryRecover() bool {
	if l.backend.failure() == nil {
		return true
	}
	ok := l.backend.tryRecover(func() [][]byte {
		l.pending = nil // they are in the state
		return l.snapshot()
	})
	if !ok || l.Flush() != nil {
		return false
	}
	l.backend.pendingFlushed()
	return true
}

// Failure is why the log waits for a new file; nil if it does not.
func (l *Log) Failure() error { return l.backend.failure() }

// Reclaim puts the live messages down anew after another process may have opened the log, and not gone on with it.
func (l *Log) Reclaim() error {
	names, err := l.FS.Names()
	if err == nil {
		err = l.backend.reclaim(names, l)
	}
	if err != nil {
		return fmt.Errorf("wal: reclaim: %w", err)
	}
	l.pending = nil // they are in the state
	return nil
}

// Rename has the folder bear another name from the next start on. It comes right before Close, and needs segments.
func (l *Log) Rename(name string) error {
	if s, ok := l.backend.(*segmentedLog); ok {
		s.Name = name
	}
	return l.compact()
}

// Marshal is a message that has no attempts, for what keeps it beside the log. Unmarshal reads it.
func Marshal(m *Message) []byte {
	return payload(record{Kind: recAccept, ID: m.ID, Message: m}, m.Body)
}

// Unmarshal reads what Marshal has written.
func Unmarshal(data []byte) (*Message, error) {
	rec, body, ok := parsePayload(data)
	if !ok || rec.Kind != recAccept || rec.Message == nil {
		return nil, errors.New("wal: no message")
	}
	rec.Message.ID, rec.Message.Body = rec.ID, slices.Clone(body)
	return rec.Message, nil
}

// FillRatio is the part of the room for new work that is taken.
func (l *Log) FillRatio() float64 { return float64(l.bytes) / max(1, float64(l.share(liveShare))) }

// Size is what the log takes on disk, in bytes.
func (l *Log) Size() int64 { return l.backend.size() }

// IsLive tells whether m has no end yet.
func (l *Log) IsLive(m *Message) bool { return l.live[m.ID] != nil }

// Accept records that ms are taken on, all or none. With ErrFull nothing of them is in the log.
func (l *Log) Accept(ms ...*Message) error {
	if err := l.backend.ensureRoom(); err != nil {
		return err
	}
	var buf [][]byte
	for _, m := range ms {
		buf = append(buf, l.acceptPayload(m))
	}
	if l.bytes+l.backend.encodedSize(buf) > l.share(liveShare) {
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

// RecordSends records attempts before their first byte, all or none.
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

// NeverRan notes an outcome which proves that attempt n took no effect. Any other outcome changes nothing of
// what a restart has to go by.
func (l *Log) NeverRan(m *Message, n int) {
	if l.live[m.ID] == nil {
		return
	}
	l.bytes -= estimatedSize(m)
	m.removeAttempt(n)
	l.bytes += estimatedSize(m)
	l.pending = append(l.pending, payload(record{Kind: recOutcome, ID: m.ID, N: n}, nil))
}

// SetFinal notes the notice that will end m.
func (l *Log) SetFinal(m *Message, f Final) {
	if l.live[m.ID] == nil {
		return
	}
	m.Final = &f
	l.pending = append(l.pending, payload(record{Kind: recFinal, ID: m.ID, Final: &f}, nil))
}

// Withdraw notes that nothing is owed for m but to remember what may have run, until End.
func (l *Log) Withdraw(m *Message) {
	if l.live[m.ID] == nil {
		return
	}
	m.Withdrawn = true
	l.pending = append(l.pending, payload(record{Kind: recWithdrawn, ID: m.ID}, nil))
}

// End notes that nothing more is owed for m here, and that its trace id may come again: what has become of it is not known to its
// client, or kept elsewhere. See Complete.
func (l *Log) End(m *Message) {
	if l.live[m.ID] != nil {
		l.end(m, 0)
	}
}

// end takes m out of the log. how is 0 if its end is not remembered.
func (l *Log) end(m *Message, how Completion) {
	delete(l.live, m.ID)
	l.bytes -= estimatedSize(m)
	l.pending = append(l.pending, payload(record{Kind: recEnd, ID: m.ID, N: int(how)}, nil))
}

// Flush writes what is noted. After an error the notes are kept for the next write.
func (l *Log) Flush() error {
	if len(l.pending) == 0 {
		return nil
	}
	return l.write(nil)
}

// write appends the notes and buf in one write. Only buf is given up on an error.
func (l *Log) write(buf [][]byte) error {
	if l.backend.needsNewFile() {
		if len(l.pending)+len(buf) == 0 {
			return nil
		}
		return ErrNeedsNewFile
	}
	all := slices.Concat(l.missingClockRecord(), l.pending, buf)
	if l.backend.size()+l.backend.encodedSize(all) > l.share(compactShare) {
		// The notes are in the state that a compaction writes, so they need no records of their own. Where it
		// fails, the room beyond the share is left.
		if err := l.compact(); err == nil {
			all = buf
		}
	}
	if len(l.pending)+len(buf) == 0 {
		return nil
	}
	if l.backend.size()+l.backend.encodedSize(all)+l.backend.startReserve(l.bytes+l.completionsSize()) > l.Limit-2*disk.Sector {
		return ErrFull
	}
	if err := l.backend.append(all); err != nil {
		return err
	}
	l.pending, l.clockWritten = l.pending[:0], true
	return nil
}

// compact puts the live messages alone in the place of the log.
func (l *Log) compact() error {
	if err := l.backend.compact(l.snapshot()); err != nil {
		return err
	}
	l.pending, l.bytes, l.clockWritten = l.pending[:0], 0, true
	for _, m := range l.live {
		l.bytes += estimatedSize(m)
	}
	return nil
}

// snapshot is the live messages as records.
func (l *Log) snapshot() (all [][]byte) {
	if !l.clockInHeaders {
		all = l.clockRecord()
	}
	all = append(all, l.completionRecords()...)
	for _, m := range l.messages() {
		all = append(all, l.acceptPayload(m))
	}
	return all
}

func (l *Log) share(x float64) int64 { return int64(x * float64(l.Limit)) }

// messages are the live ones in the order in which they were taken on.
func (s *state) messages() []*Message {
	ms := make([]*Message, 0, len(s.live))
	for _, m := range s.live {
		ms = append(ms, m)
	}
	slices.SortFunc(ms, func(a, b *Message) int { return int(int64(a.ID) - int64(b.ID)) })
	return ms
}

// estimatedSize is about what m takes in a new file.
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

// apply takes a record that was read.
func (s *state) apply(rec record, body []byte) {
	m := s.live[rec.ID]
	switch {
	case rec.Kind == recClock && rec.Clock != nil:
		s.resumeTimeline(rec.Clock)
		return
	case rec.Kind == recCompleted:
		s.applyCompletions(&s.completed, body)
		return
	case rec.Kind == recRejected:
		s.applyCompletions(&s.rejected, body)
		return
	case rec.Kind == recAccept && rec.Message != nil:
		m = rec.Message
		m.ID, m.Body = rec.ID, slices.Clone(body)
		s.localize(m)
		s.live[m.ID] = m
		s.bytes += estimatedSize(m)
		return
	case m == nil:
		return // its first record is unreadable
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
		if rec.N > 0 {
			s.rememberCompletion(m, Completion(rec.N))
		}
		return
	}
	s.bytes += estimatedSize(m)
}
