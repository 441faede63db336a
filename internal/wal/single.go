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

// The log in one file.

const (
	magic             = 0xC7A1
	recordHeaderBytes = 10 // magic, length, checksum
)

// singleFileLog keeps a log in one file.
type singleFileLog struct {
	fs    disk.FS
	limit int64
	file  disk.File // nil: it could not be opened yet
	used  int64     // of the file, all of it good
	// strayBytes is how many bytes behind that may hold records which were not written, or a torn one. They go before anything is
	// appended: a later record that covers a part of them would have the others read.
	strayBytes int64
	written    uint64 // writes, and recoveries from failed ones
	failed     error  // why the last write failed; nil if it did not
	// replacement is a file that a compaction has written, of which it is not known whether it has taken the log's name.
	replacement *replacement
	notify      func()
}

// replacement is a file that may have taken the place of the log's.
type replacement struct {
	file disk.File
	used int64
}

// retryDelay is the pause before the log looks whether a disk that has failed it is well again.
const retryDelay = 20 * time.Millisecond

// openSingle reads the log in one file, or begins it.
func (l *Log) openSingle() (Recovery, error) {
	// A crash in mid-compaction leaves the old file whole and a part of the new one.
	_ = l.FS.Remove(tempName) // the next compaction writes over it
	data, err := l.FS.ReadFile(logName)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return Recovery{}, fmt.Errorf("wal: %w", err)
	}
	good, damaged := l.replay(data)
	// What follows a torn record could not be told from it: the tail goes before anything is appended.
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

// tryRecover goes on after a failed write, if the disk lets it.
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

// retryLater has the log's owner look again after a while.
func (s *singleFileLog) retryLater() {
	if s.notify != nil {
		time.AfterFunc(retryDelay, s.notify)
	}
}

// restore brings the file into the state that the log takes it to be in.
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

// dropStray takes away what stands behind the good part of the file.
func (s *singleFileLog) dropStray() error {
	if s.strayBytes == 0 {
		return nil
	}
	if err := eraseTail(s.file, s.used, s.used+s.strayBytes); err != nil {
		return fmt.Errorf("wal: drop what was not written: %w", err)
	}
	s.strayBytes = 0
	return nil
}

// eraseTail takes away the bytes of a file from an offset to its end. Zeros do as well where it can't be cut: no record begins so.
func eraseTail(f disk.File, from, to int64) error {
	if f.Truncate(from) == nil {
		return nil
	}
	_, err := f.WriteAt(make([]byte, to-from), from)
	return err
}

// reclaim has the one file stand again where another process has put segments in its place. One that keeps a single file
// has changed nothing of it.
func (s *singleFileLog) reclaim(names []string, l *Log) error {
	if !isSegmented(names) {
		return nil
	}
	if err := writeSingle(s.fs, &segmentFolder{state: l.state}, names); err != nil {
		return err
	}
	f, err := s.fs.Open(logName)
	if err != nil {
		return err
	}
	data, err := s.fs.ReadFile(logName)
	if err != nil {
		return errors.Join(err, f.Close())
	}
	s.replacement = &replacement{f, int64(len(data))}
	s.useReplacement()
	return nil
}

func (s *singleFileLog) append(payloads [][]byte) error {
	var buf []byte
	for _, p := range payloads {
		buf = appendRecord(buf, p)
	}
	if s.needsNewFile() {
		return errors.Join(ErrNeedsNewFile, s.failed)
	}
	if err := s.dropStray(); err != nil {
		return s.fail(err)
	}
	if _, err := s.file.WriteAt(buf, s.used); err != nil {
		// All of it may have been written: it must neither stand before later records nor be read by the next start.
		s.strayBytes = int64(len(buf))
		err = s.fail(fmt.Errorf("wal: %w", err))
		if cleanErr := s.dropStray(); cleanErr != nil && !errors.Is(err, fs.ErrClosed) { // a closed file has taken nothing
			err = errors.Join(ErrIndeterminate, err, cleanErr)
		}
		return err
	}
	s.used += int64(len(buf))
	s.written++
	s.failed = nil
	return nil
}

// fail notes why a write failed.
func (s *singleFileLog) fail(err error) error {
	s.failed = err
	s.retryLater()
	return errors.Join(ErrNeedsNewFile, err)
}

func (s *singleFileLog) compact(live [][]byte) error {
	var buf []byte
	for _, p := range live {
		buf = appendRecord(buf, p)
	}
	if s.needsNewFile() {
		return ErrNeedsNewFile
	}
	if s.used+int64(len(buf))+4*disk.Sector > s.limit {
		return ErrFull
	}
	f, err := s.fs.Open(tempName)
	if err != nil {
		return fmt.Errorf("wal: compact: %w", err)
	}
	if err = f.Truncate(0); err == nil {
		_, err = f.WriteAt(buf, 0)
	}
	if err != nil {
		return errors.Join(fmt.Errorf("wal: compact: %w", err), f.Close(), s.fs.Remove(tempName))
	}
	s.replacement = &replacement{f, int64(len(buf))}
	renameErr := s.fs.Rename(tempName, logName) // a crash leaves the one or the other, whole
	if renameErr == nil {
		s.useReplacement()
		return nil
	}
	renameErr = fmt.Errorf("wal: compact: %w", renameErr)
	if err := s.resolveReplacement(); err != nil {
		return s.fail(errors.Join(renameErr, err))
	}
	if s.file == f {
		return nil // it has taken the place all the same
	}
	return renameErr
}

// useReplacement has the replacement be the log's file.
func (s *singleFileLog) useReplacement() {
	if s.file != nil {
		s.file.Close()
	}
	s.file, s.used, s.strayBytes, s.replacement = s.replacement.file, s.replacement.used, 0, nil
}

// resolveReplacement finds out whether the replacement has taken the log's name, though its rename told of an error.
func (s *singleFileLog) resolveReplacement() error {
	names, err := s.fs.Names()
	if err != nil {
		return fmt.Errorf("wal: which file is the log's: %w", err)
	}
	if !slices.Contains(names, tempName) {
		s.useReplacement()
		return nil
	}
	s.replacement.file.Close()
	s.replacement = nil
	_ = s.fs.Remove(tempName) // the next compaction writes over it
	return nil
}

func (s *singleFileLog) close() error {
	if s.file == nil {
		return s.failed
	}
	return errors.Join(s.dropStray(), s.file.Close())
}

// replay applies the records in data. It passes over what it cannot read and returns the end of the last good
// record, and whether unreadable bytes stood before it.
func (s *state) replay(data []byte) (good int64, damaged bool) {
	for at := 0; at < len(data); {
		rec, body, n := readRecord(data[at:])
		if n == 0 {
			at++ // look for the next record: a damaged one must not hide those behind it
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

// readRecord reads the record at the start of data; n is 0 if there is no whole one.
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
