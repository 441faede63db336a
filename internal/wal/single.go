package wal

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io/fs"

	"onyxroad.dev/onyxroad/internal/disk"
)

// The log in one file.

const (
	magic     = 0xC7A1
	headBytes = 10 // magic, length, checksum
)

// single keeps a log in one file.
type single struct {
	d     disk.FS
	limit int64
	file  disk.File
	used  int64 // of the file, all of it good
}

// openSingle reads the log in one file, or begins it.
func (l *Log) openSingle() (Recovery, error) {
	// A crash in mid-compaction leaves the old file whole and a part of the new one.
	if err := l.FS.Remove(tempName); err != nil {
		return Recovery{}, fmt.Errorf("wal: %w", err)
	}
	data, err := l.FS.ReadFile(name)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return Recovery{}, fmt.Errorf("wal: %w", err)
	}
	good, damaged := l.replay(data)
	f, err := l.FS.Open(name)
	if err != nil {
		return Recovery{}, fmt.Errorf("wal: %w", err)
	}
	// What follows a torn record could not be told from it: the tail goes before anything is appended.
	if err := f.Truncate(good); err != nil {
		f.Close()
		return Recovery{}, fmt.Errorf("wal: drop a torn tail: %w", err)
	}
	l.keep, l.anchored = &single{d: l.FS, limit: l.Limit, file: f, used: good}, l.resumed
	return Recovery{Messages: l.messages(), Damaged: damaged, times: l.times}, nil
}

func (s *single) size() int64 { return s.used }

func (s *single) framed(payloads [][]byte) (n int64) {
	for _, p := range payloads {
		n += headBytes + int64(len(p))
	}
	return n
}

func (s *single) fit() error                       { return nil }
func (s *single) marks() (written, durable uint64) { return 0, 0 }
func (s *single) worn() bool                       { return false }
func (s *single) tend(func() [][]byte) bool        { return true }
func (s *single) forStart(int64) int64             { return 0 }
func (s *single) failure() error                   { return nil }

// reclaim has the one file stand again where another process has put segments in its place. One that keeps a single file
// has changed nothing of it.
func (s *single) reclaim(names []string, l *Log) error {
	if !inSegments(names) {
		return nil
	}
	if err := toSingle(s.d, &chain{state: l.state}, names); err != nil {
		return err
	}
	f, err := s.d.Open(name)
	if err != nil {
		return err
	}
	data, err := s.d.ReadFile(name)
	if err != nil {
		return errors.Join(err, f.Close())
	}
	s.file.Close()
	s.file, s.used = f, int64(len(data))
	return nil
}

func (s *single) append(payloads [][]byte) error {
	var buf []byte
	for _, p := range payloads {
		buf = appendRecord(buf, p)
	}
	if _, err := s.file.WriteAt(buf, s.used); err != nil {
		// A part may have been written: it must not stand before later records.
		return errors.Join(fmt.Errorf("wal: %w", err), s.file.Truncate(s.used))
	}
	s.used += int64(len(buf))
	return nil
}

func (s *single) compact(live [][]byte) error {
	var buf []byte
	for _, p := range live {
		buf = appendRecord(buf, p)
	}
	if s.used+int64(len(buf))+4*disk.Sector > s.limit {
		return ErrFull
	}
	f, err := s.d.Open(tempName)
	if err != nil {
		return fmt.Errorf("wal: compact: %w", err)
	}
	if err = f.Truncate(0); err == nil {
		_, err = f.WriteAt(buf, 0)
	}
	if err == nil {
		err = s.d.Rename(tempName, name) // a crash leaves the one or the other, whole
	}
	if err != nil {
		return errors.Join(fmt.Errorf("wal: compact: %w", err), f.Close(), s.d.Remove(tempName))
	}
	s.file.Close()
	s.file, s.used = f, int64(len(buf))
	return nil
}

func (s *single) close() error { return s.file.Close() }

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
	if len(data) < headBytes || binary.LittleEndian.Uint16(data) != magic {
		return rec, nil, 0
	}
	size := int64(binary.LittleEndian.Uint32(data[2:]))
	if size > mostBytes || size > int64(len(data)-headBytes) {
		return rec, nil, 0
	}
	p := data[headBytes : headBytes+size]
	if crc32.ChecksumIEEE(p) != binary.LittleEndian.Uint32(data[6:]) {
		return rec, nil, 0
	}
	rec, body, ok := parsePayload(p)
	if !ok {
		return rec, nil, 0
	}
	return rec, body, headBytes + int(size)
}
