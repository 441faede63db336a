package wal

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"slices"
	"strconv"
	"strings"
	"time"

	"onyxroad.dev/onyxroad/internal/clock"
	"onyxroad.dev/onyxroad/internal/disk"
)

// Files of a segmented folder:
//
// snap-G   a complete snapshot of the live messages when generation G began; written to a temporary file, synced, renamed
// seg-G    records since then, until generation G+1 began
// wal.tmp/ exists as long as the folder is segmented: a version that only knows single files refuses to start on it
//
// The log consists of the newest complete snapshot and every segment from its generation on. A start begins a new generation with
// a snapshot of what it has read, so that no existing file is truncated or overwritten. While the log runs, a new segment is begun
// first, and earlier files are removed once its snapshot exists.

const (
	snapPrefix       = "snap-"
	segPrefix        = "seg-"
	snapTemp         = "snap.tmp"
	guardName        = tempName // older versions remove this file first, which fails for a directory that is not empty
	guardFile        = "kept-in-segments-by-a-newer-version"
	quarantinePrefix = "damaged-" // followed by the file's name and the offset in it
	snapSalt         = 1 << 63

	// SegmentFormat is the format number of a segmented folder.
	SegmentFormat = 2
)

// fileHeader is the first record of a segment or snapshot.
type fileHeader struct {
	Format int
	Name   string // of the relay
	Gen    uint64
	Began  time.Time // when the file was created
	// Only in a segment that continues another one since the same snapshot: the generation of that one, its size, and how many of
	// its bytes were on disk at that time.
	Prev uint64 `json:",omitempty"`
	Good int64  `json:",omitempty"`
	Kept int64  `json:",omitempty"`
	// Clock is the timeline of the times in the file, including Began; nil means the wall clock.
	Clock *clock.Anchor `json:",omitempty"`
}

// Hole is a range of bytes that could not be read.
type Hole struct {
	File     string
	From, To int64
	// Torn means that it is the end of an unfinished write, which was never reported as durable.
	Torn bool
	data []byte
}

// Report describes a folder that was read. If Intact returns true, nothing that was found changes what becomes of messages.
type Report struct {
	Format     int // 0 for an empty folder
	Name       string
	Generation uint64
	Began      time.Time // creation time of the newest file
	Files      []string  // files that make up the log, in order
	Spare      []string  // files that are no longer needed
	Records    int
	Bytes      int64
	Repaired   int // records with one flipped bit, which was corrected
	Holes      []Hole
	Missing    []string // files that must have existed

	// Ends is the number of remembered ends. Only Check counts them.
	Ends int
	// UnreadableEnds lists files of remembered ends that can't be read.
	UnreadableEnds []string
}

// Intact reports whether all data that was reported as durable has been read.
func (r *Report) Intact() bool {
	return len(r.Missing) == 0 && !slices.ContainsFunc(r.Holes, func(h Hole) bool { return !h.Torn })
}

// ErrForeignFolder means that the folder belongs to another relay.
var ErrForeignFolder = errors.New("wal: another relay's folder")

// state is the content of a log: its live messages and the remembered ends.
type state struct {
	live            map[uint32]*Message
	bytes           int64 // estimated size of the live messages
	recent          recentEnds
	priorityOf      func(class int) Priority // nil: UnsafePriority
	times           clock.Timeline
	timelineResumed bool // times continues the timeline of an earlier process
	rawTimes        bool // times are returned as they are stored
}

// segmentFolder is the result of reading a segmented folder.
type segmentFolder struct {
	state
	Report
	snapshotGen uint64 // of the snapshot that was read; 0 if there is none
	newestGen   uint64 // the newest generation of any file
}

func genFileName(prefix string, gen uint64) string { return fmt.Sprintf("%s%08x", prefix, gen) }

func parseGeneration(prefix, name string) (uint64, bool) {
	hex, ok := strings.CutPrefix(name, prefix)
	if !ok || len(hex) < 8 {
		return 0, false
	}
	gen, err := strconv.ParseUint(hex, 16, 63)
	return gen, err == nil && gen > 0 && genFileName(prefix, gen) == name
}

// isSegmented reports whether the folder is segmented: it has the guard directory, and its first snapshot was finished.
func isSegmented(names []string) bool {
	return slices.Contains(names, guardName+"/") && slices.ContainsFunc(names, isSegmentedFile)
}

// isSegmentedFile reports whether name is that of a segment or snapshot.
func isSegmentedFile(name string) bool {
	_, snap := parseGeneration(snapPrefix, name)
	_, seg := parseGeneration(segPrefix, name)
	return snap || seg
}

// readSegmentFolder reads a segmented folder without changing it.
func readSegmentFolder(d disk.FS, names []string, s state) (*segmentFolder, error) {
	sf := &segmentFolder{state: s, Report: Report{Format: SegmentFormat}}
	data := map[string][]byte{}
	var snaps, segs []uint64
	for _, n := range names {
		snap, isSnap := parseGeneration(snapPrefix, n)
		seg, isSeg := parseGeneration(segPrefix, n)
		if !isSnap && !isSeg {
			continue
		}
		content, err := d.ReadFile(n)
		if errors.Is(err, fs.ErrNotExist) {
			continue // a directory, or removed in the meantime
		} else if err != nil {
			return nil, fmt.Errorf("wal: read %s: %w", n, err)
		}
		data[n] = content
		sf.newestGen = max(sf.newestGen, snap, seg)
		if isSnap {
			snaps = append(snaps, snap)
		} else {
			segs = append(segs, seg)
		}
	}
	slices.Sort(snaps)
	slices.Sort(segs)
	from, newest := uint64(0), &snapshotFile{}
	for i := len(snaps) - 1; i >= 0 && from == 0; i-- {
		candidate := &snapshotFile{}
		if candidate.read(data, snaps[i]) {
			from, newest = snaps[i], candidate
		} else if i == len(snaps)-1 {
			newest = candidate
		}
	}
	if from == 0 && len(snaps) > 0 {
		from = snaps[len(snaps)-1] // no snapshot is complete: use the newest one as far as it can be read
	}
	// An older snapshot is as good as the newest one if every segment between the two exists.
	if len(snaps) > 0 {
		for gen := from; gen < snaps[len(snaps)-1]; gen++ {
			if !slices.Contains(segs, gen) {
				sf.Missing = append(sf.Missing, genFileName(segPrefix, gen))
			}
		}
	}
	sf.snapshotGen = from
	if from > 0 {
		sf.merge(&newest.Report)
		sf.Files = append(sf.Files, genFileName(snapPrefix, from))
		if newest.clock != nil {
			sf.resumeTimeline(newest.clock)
		}
		for _, f := range newest.entries {
			sf.apply(f.rec, f.body)
		}
		if len(newest.Holes)+len(sf.Missing) > 0 {
			sf.markDoubt()
		}
	}
	var segments []*segmentFile
	for _, gen := range segs {
		if gen >= from {
			segments = append(segments, readSegment(data[genFileName(segPrefix, gen)], gen))
		}
	}
	sf.applySegments(segments)
	for _, n := range names {
		if _, ok := data[n]; ok && !slices.Contains(sf.Files, n) {
			sf.Spare = append(sf.Spare, n)
		}
	}
	sf.Generation = sf.newestGen
	return sf, nil
}

func roundUpToSector(n int64) int64 { return (n + disk.Sector - 1) / disk.Sector * disk.Sector }

// merge adds the report of a single file.
func (r *Report) merge(other *Report) {
	r.Records += other.Records
	r.Bytes += other.Bytes
	r.Repaired += other.Repaired
	r.Holes = append(r.Holes, other.Holes...)
	r.Missing = append(r.Missing, other.Missing...)
	if r.Name == "" {
		r.Name = other.Name
	}
	if other.Began.After(r.Began) {
		r.Began = other.Began
	}
}

// entry is a record that was read, with its position in the file.
type entry struct {
	rec     record
	body    []byte
	at, end int64
	durable int64
}

// readEntries returns every readable record of a file. A damaged record does not hide later ones.
func (r *Report) readEntries(file string, data []byte, salt uint64) (all []entry) {
	hole := int64(-1)
	for at := int64(0); at < int64(len(data)); {
		f, ok := readFrame(data[at:], salt, at)
		if !ok && hole < 0 {
			f, ok = repairFrame(data[at:], salt, at)
		}
		var rec record
		var body []byte
		if ok {
			rec, body, ok = parsePayload(f.payload)
		}
		if !ok {
			if hole < 0 {
				hole = at
			}
			at++
			continue
		}
		if hole >= 0 {
			r.Holes = append(r.Holes, Hole{File: file, From: hole, To: at, data: data[hole:at]})
			hole = -1
		}
		if f.repaired {
			r.Repaired++
		}
		all = append(all, entry{rec, body, at, at + int64(f.size), f.durable})
		at += int64(f.size)
	}
	if hole >= 0 {
		r.Holes = append(r.Holes, Hole{File: file, From: hole, To: int64(len(data)), data: data[hole:]})
	}
	return all
}

// snapshotFile is the content of a snapshot.
type snapshotFile struct {
	Report
	entries []entry
	clock   *clock.Anchor
}

// read reads a snapshot and reports whether it is complete.
func (s *snapshotFile) read(data map[string][]byte, gen uint64) bool {
	name := genFileName(snapPrefix, gen)
	all := s.readEntries(name, data[name], gen|snapSalt)
	s.Bytes = int64(len(data[name]))
	whole := false
	for i, e := range all {
		switch {
		case e.rec.Kind == recHeader && e.rec.Head != nil:
			s.Name, s.Began, s.clock = e.rec.Head.Name, e.rec.Head.Began, e.rec.Head.Clock
		case e.rec.Kind == recFooter:
			whole = i == len(all)-1 && e.rec.N == len(s.entries) && len(s.Holes) == 0
		default:
			s.entries = append(s.entries, e)
		}
	}
	s.Records = len(s.entries)
	if !whole && len(s.Holes) == 0 {
		s.Holes = append(s.Holes, Hole{File: name, From: s.Bytes, To: s.Bytes})
	}
	return whole
}

// segmentFile is the content of a segment.
type segmentFile struct {
	Report
	gen               uint64
	head              *fileHeader // nil if it can't be read
	entries           []entry
	size              int64
	durableBytes      int64 // that were on disk according to the segment itself
	knownDurableBytes int64 // that were on disk according to all segments
}

func readSegment(data []byte, gen uint64) *segmentFile {
	s := &segmentFile{gen: gen, size: int64(len(data))}
	s.entries = s.readEntries(genFileName(segPrefix, gen), data, gen)
	s.Bytes = s.size
	for _, e := range s.entries {
		s.durableBytes = max(s.durableBytes, e.durable)
		if e.rec.Kind == recHeader && e.rec.Head != nil {
			s.head, s.Name, s.Began = e.rec.Head, e.rec.Head.Name, e.rec.Head.Began
		}
	}
	return s
}

// applySegments applies the records of the segments that follow the snapshot, in order.
func (sf *segmentFolder) applySegments(segments []*segmentFile) {
	for i := len(segments) - 1; i >= 0; i-- {
		s := segments[i]
		s.knownDurableBytes = s.durableBytes
		if i+1 == len(segments) || segments[i+1].head == nil || segments[i+1].head.Prev != s.gen {
			continue
		}
		// The next segment's header says how many bytes of this one were on disk by then, and a sync of the next segment syncs
		// all of this one first.
		next := segments[i+1]
		s.knownDurableBytes = max(s.knownDurableBytes, next.head.Kept)
		if next.knownDurableBytes > 0 {
			s.knownDurableBytes = max(s.knownDurableBytes, next.head.Good)
		}
	}
	last := uint64(0)
	for _, s := range segments {
		if len(s.entries) == 0 && s.knownDurableBytes == 0 {
			sf.addTornTail(s, 0)
			return // its first write never reached the disk: neither it nor later segments were reported as durable
		}
		if h := s.head; h != nil && h.Prev > 0 && h.Prev != last && h.Kept > 0 && h.Prev >= sf.snapshotGen {
			sf.Missing = append(sf.Missing, genFileName(segPrefix, h.Prev))
			sf.markDoubt()
		}
		last = s.gen
		if !sf.applySegment(s) {
			return
		}
	}
}

// addTornTail adds a hole for an unfinished last write at the end of a segment.
func (sf *segmentFolder) addTornTail(s *segmentFile, at int64) {
	if s.size > at {
		sf.Holes = append(sf.Holes, Hole{File: genFileName(segPrefix, s.gen), From: at, To: s.size, Torn: true})
	}
}

// applySegment applies a segment's records. It returns false if the segment ends in a torn write, so that later segments are
// ignored.
func (sf *segmentFolder) applySegment(s *segmentFile) bool {
	name := genFileName(segPrefix, s.gen)
	sf.Files = append(sf.Files, name)
	holes := s.Holes
	s.Holes = nil
	if s.size < s.knownDurableBytes {
		holes = append(holes, Hole{File: name, From: s.size, To: s.knownDurableBytes})
	}
	end := s.size
	for i, h := range holes {
		if h.From >= s.knownDurableBytes {
			holes, end = holes[:i], h.From
			break
		}
	}
	if s.head != nil && s.head.Clock != nil {
		sf.resumeTimeline(s.head.Clock)
	}
	next := 0
	for _, e := range s.entries {
		if e.at >= end {
			break
		}
		for ; next < len(holes) && holes[next].From < e.at; next++ {
			sf.markDoubt()
		}
		if e.rec.Kind != recHeader && e.rec.Kind != recSeal {
			sf.apply(e.rec, e.body)
			s.Records++
		}
	}
	if next < len(holes) {
		sf.markDoubt()
	}
	s.Report.Holes = holes
	sf.merge(&s.Report)
	if end < s.size {
		sf.addTornTail(s, end)
		return false
	}
	return true
}

// markDoubt marks all live messages: attempts may be missing from them.
func (s *state) markDoubt() {
	for _, m := range s.live {
		m.Doubt = true
	}
}

// payload encodes a record: the length of its JSON part, the JSON part and the body.
func payload(rec record, body []byte) []byte { return appendPayload(nil, rec, body) }

// appendPayload appends a record's payload.
func appendPayload(buf []byte, rec record, body []byte) []byte {
	text, err := json.Marshal(rec)
	if err != nil {
		panic(err) // can't fail: the record has plain fields only
	}
	buf = slices.Grow(buf, binary.MaxVarintLen32+len(text)+len(body))
	buf = binary.AppendUvarint(buf, uint64(len(text)))
	return append(append(buf, text...), body...)
}

func parsePayload(p []byte) (rec record, body []byte, ok bool) {
	text, k := binary.Uvarint(p)
	if k <= 0 || text > uint64(len(p)-k) {
		return rec, nil, false
	}
	p = p[k:]
	if json.Unmarshal(p[:text], &rec) != nil {
		return rec, nil, false
	}
	return rec, p[text:], true
}

// ignoreNotExist returns every error except that the file does not exist.
func ignoreNotExist(err error) error {
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	return fmt.Errorf("wal: %w", err)
}
