package wal

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io/fs"
	"slices"
	"time"

	"onyxroad.dev/onyxroad/internal/disk"
)

// The log in a single file.

const (
	magic             = 0xC7A1
	recordHeaderBytes = 10 // magic, length, checksum
)

// singleFileLog stores a log in a single file.
type singleFileLog struct {
	fs    disk.FS
	limit int64
	file  disk.File // nil until it could be opened
	used  int64     // length of the valid part
	// strayBytes is the number of bytes after the valid part that may hold records of a failed write, or a torn record. They are
	// removed before the next append: a record that overwrote only a part of them would leave the rest to be read.
	strayBytes int64
	written    uint64 // writes, and recoveries from failed ones
	failed     error  // why the last write failed; nil if it did not
	// replacement is a file written by a compaction, if it is unknown whether its rename to the log's name took effect.
	replacement *replacement
	notify      func()
	buffer      []byte // for the records of a write
}

// replacement is a file that may have replaced the log's.
type replacement struct {
	file disk.File
	used int64
}

// keptBufferBytes is the size up to which the buffer of a write is kept for the next one.
const keptBufferBytes = 128 << 10

// retryDelay is the pause before the log checks whether a failed disk works again.
const retryDelay = 20 * time.Millisecond

// openSingle reads or creates a single-file log.
func (l *Log) openSingle() (Recovery, error) {
	// A crash during a compaction leaves the old file complete and a part of the new one.
	_ = l.FS.Remove(tempName) // on failure, the next compaction overwrites it
	data, err := l.FS.ReadFile(logName)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return Recovery{}, fmt.Errorf("wal: %w", err)
	}
	good, damaged := l.replay(data)
	// Remove the tail before anything is appended: later bytes could be read as a part of a torn record.
	s := &singleFileLog{fs: l.FS, limit: l.Limit, used: good, strayBytes: int64(len(data)) - good, notify: l.Notify}
	if s.failed = s.restore(); s.failed != nil {
		s.retryLater()
	}
	l.backend, l.clockWritten = s, l.timelineResumed
	return Recovery{Messages: l.messages(), Damaged: damaged, times: l.times}, nil
}

func (s *singleFileLog) size() int64 { return s.used }

func (s *singleFileLog) encodedSize(payloads [][]byte) (n int64) {
	for _, p := range payloads {
		n += recordHeaderBytes + int64(len(p))
	}
	return n
}

func (s *singleFileLog) ensureRoom() error                       { return nil }
func (s *singleFileLog) writeNumbers() (written, durable uint64) { return s.written, s.written }
func (s *singleFileLog) needsNewFile() bool                      { return s.file == nil || s.replacement != nil }
func (s *singleFileLog) startReserve(int64) int64                { return 0 }
func (s *singleFileLog) failure() error                          { return s.failed }

// tryRecover repairs the file after a failed write, if the disk allows it.
func (s *singleFileLog) tryRecover(func() [][]byte) bool {
	if s.failed == nil {
		return true
	}
	if err := s.restore(); err != nil {
		s.failed = err
		s.retryLater()
		return false
	}
	s.failed = nil
	return true
}

func (s *singleFileLog) pendingFlushed() { s.written++ }

// retryLater has the log's owner try again after a pause.
func (s *singleFileLog) retryLater() {
	if s.notify != nil {
		time.AfterFunc(retryDelay, s.notify)
	}
}

// restore opens the file if necessary and brings it into the state that the fields describe.
func (s *singleFileLog) restore() error {
	if s.replacement != nil {
		if err := s.resolveReplacement(); err != nil {
			return err
		}
	}
	if s.file == nil {
		f, err := s.fs.Open(logName)
		if err != nil {
			return fmt.Errorf("wal: %w", err)
		}
		s.file = f
	}
	return s.dropStray()
}

// dropStray removes the bytes after the valid part of the file.
func (s *singleFileLog) dropStray() error {
	if s.strayBytes == 0 {
		return nil
	}
	if err := eraseTail(s.file, s.used, s.used+s.strayBytes); err != nil {
		return fmt.Errorf("wal: remove the rest of a failed write: %w", err)
	}
	s.strayBytes = 0
	return nil
}

// eraseTail removes the bytes of a file from an offset to its end. If it can't be truncated, it is filled with zeros, which no record
// begins with.
func eraseTail(f disk.File, from, to int64) error {
	if f.Truncate(from) == nil {
		return nil
	}
	_, err := f.WriteAt(make([]byte, to-from), from)
	return err
}

// reclaim restores the single file if another process has replaced it with segments. Another process that uses a single file has left
// it as it was.
func (s *singleFileLog) reclaim(names []string, l *Log) (rewritten bool, err error) {
	if !isSegmented(names) {
		return false, nil
	}
	if err := writeSingle(s.fs, &segmentFolder{state: l.state}, names); err != nil {
		return false, err
	}
	f, err := s.fs.Open(logName)
	if err != nil {
		return false, err
	}
	data, err := s.fs.ReadFile(logName)
	if err != nil {
		return false, errors.Join(err, f.Close())
	}
	s.replacement = &replacement{f, int64(len(data))}
	s.useReplacement()
	return true, nil
}

func (s *singleFileLog) append(payloads [][]byte) error {
	buf := s.buffer[:0]
	if need := int(s.encodedSize(payloads)); need > cap(buf) {
		buf = make([]byte, 0, need)
	}
	for _, p := range payloads {
		buf = appendRecord(buf, p)
	}
	if s.buffer = buf; cap(buf) > keptBufferBytes {
		s.buffer = nil
	}
	if s.needsNewFile() {
		return errors.Join(ErrNeedsNewFile, s.failed)
	}
	if err := s.dropStray(); err != nil {
		return s.fail(err)
	}
	if _, err := s.file.WriteAt(buf, s.used); err != nil {
		// The data may have been written all the same: it must neither precede later records nor be read by the next start.
		s.strayBytes = int64(len(buf))
		err = s.fail(fmt.Errorf("wal: %w", err))
		if cleanErr := s.dropStray(); cleanErr != nil && !errors.Is(err, fs.ErrClosed) { // nothing is written to a closed file
			err = errors.Join(ErrIndeterminate, err, cleanErr)
		}
		return err
	}
	s.used += int64(len(buf))
	s.written++
	s.failed = nil
	return nil
}

// fail records why a write failed.
func (s *singleFileLog) fail(err error) error {
	s.failed = err
	s.retryLater()
	return errors.Join(ErrNeedsNewFile, err)
}

func (s *singleFileLog) compact(live [][]byte) (done bool, err error) {
	var buf []byte
	for _, p := range live {
		buf = appendRecord(buf, p)
	}
	if s.needsNewFile() {
		return false, ErrNeedsNewFile
	}
	if s.used+int64(len(buf))+4*disk.Sector > s.limit {
		return false, ErrFull
	}
	f, err := s.fs.Open(tempName)
	if err != nil {
		return false, fmt.Errorf("wal: compact: %w", err)
	}
	if err = f.Truncate(0); err == nil {
		_, err = f.WriteAt(buf, 0)
	}
	if err != nil {
		return false, errors.Join(fmt.Errorf("wal: compact: %w", err), f.Close(), s.fs.Remove(tempName))
	}
	s.replacement = &replacement{f, int64(len(buf))}
	renameErr := s.fs.Rename(tempName, logName) // a crash leaves either the old or the new file, complete
	if renameErr == nil {
		s.useReplacement()
		return true, nil
	}
	renameErr = fmt.Errorf("wal: compact: %w", renameErr)
	if err := s.resolveReplacement(); err != nil {
		return false, s.fail(errors.Join(renameErr, err))
	}
	if s.file == f {
		return true, nil // the rename took effect despite the error
	}
	return false, renameErr
}

// useReplacement makes the replacement the log's file.
func (s *singleFileLog) useReplacement() {
	if s.file != nil {
		s.file.Close()
	}
	s.file, s.used, s.strayBytes, s.replacement = s.replacement.file, s.replacement.used, 0, nil
}

// resolveReplacement determines whether the replacement has the log's name, although its rename returned an error.
func (s *singleFileLog) resolveReplacement() error {
	names, err := s.fs.Names()
	if err != nil {
		return fmt.Errorf("wal: determine which file is the log: %w", err)
	}
	if !slices.Contains(names, tempName) {
		s.useReplacement()
		return nil
	}
	s.replacement.file.Close()
	s.replacement = nil
	_ = s.fs.Remove(tempName) // on failure, the next compaction overwrites it
	return nil
}

func (s *singleFileLog) close() error {
	if s.file == nil {
		return s.failed
	}
	return errors.Join(s.dropStray(), s.file.Close())
}

// replay applies the records in data, skipping what it can't read. It returns the end of the last readable record, and whether there
// were unreadable bytes before it.
func (s *state) replay(data []byte) (good int64, damaged bool) {
	for at := 0; at < len(data); {
		rec, body, n := readRecord(data[at:])
		if n == 0 {
			at++ // search for the next record, so that a damaged one does not hide later ones
			continue
		}
		if int64(at) != good {
			damaged = true
		}
		at += n
		good = int64(at)
		s.apply(rec, body)
	}
	return good, damaged
}

// appendRecord appends a record: magic, length, checksum, payload.
func appendRecord(buf, payload []byte) []byte {
	buf = binary.LittleEndian.AppendUint16(buf, magic)
	buf = binary.LittleEndian.AppendUint32(buf, uint32(len(payload)))
	buf = binary.LittleEndian.AppendUint32(buf, crc32.ChecksumIEEE(payload))
	return append(buf, payload...)
}

// readRecord reads the record at the start of data; n is 0 if there is no complete one.
func readRecord(data []byte) (rec record, body []byte, n int) {
	if len(data) < recordHeaderBytes || binary.LittleEndian.Uint16(data) != magic {
		return rec, nil, 0
	}
	size := int64(binary.LittleEndian.Uint32(data[2:]))
	if size > maxRecordBytes || size > int64(len(data)-recordHeaderBytes) {
		return rec, nil, 0
	}
	p := data[recordHeaderBytes : recordHeaderBytes+size]
	if crc32.ChecksumIEEE(p) != binary.LittleEndian.Uint32(data[6:]) {
		return rec, nil, 0
	}
	rec, body, ok := parsePayload(p)
	if !ok {
		return rec, nil, 0
	}
	return rec, body, recordHeaderBytes + int(size)
}
