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

// The folder in segments:
//
//	snap-G   what was live when generation G began, whole; written beside, synced, renamed
//	seg-G    what happened since, until generation G+1 began
//	wal.tmp/ stands as long as the folder is kept so: a version that knows one file alone refuses to start on it
//
// What counts is the newest snapshot that is whole and every segment from its generation on. A start begins a new
// generation with a snapshot of what it has read, so that nothing is ever cut or written over. While the log runs, a new
// segment is begun first, and the files before it go once its snapshot is there.

const (
	snapPrefix       = "snap-"
	segPrefix        = "seg-"
	snapTemp         = "snap.tmp"
	guardName        = tempName // what a version of before removes first, and can't
	guardFile        = "kept-in-segments-by-a-newer-version"
	quarantinePrefix = "damaged-" // and the file's name, and where in it
	snapSalt         = 1 << 63

	// SegmentFormat is the version of the folder in segments.
	SegmentFormat = 2
)

// fileHeader is the first record of a file.
type fileHeader struct {
	Format int
	Name   string // of the relay
	Gen    uint64
	Began  time.Time // when it was written
	// Of a segment: the one before it since the same snapshot, with its bytes in all and those that were on disk by then.
	// 0 if there is none.
	Prev uint64 `json:",omitempty"`
	Good int64  `json:",omitempty"`
	Kept int64  `json:",omitempty"`
	// Clock is the timeline of the times in the file, Began among them; none: the wall clock.
	Clock *clock.Anchor `json:",omitempty"`
}

// Hole is bytes that could not be read.
type Hole struct {
	File     string
	From, To int64
	// Torn tells that nothing which was promised can have stood there: it is the end of what was being written.
	Torn bool
	data []byte
}

// Report is what reading a folder found. Only what is not Sound may have changed what becomes of messages.
type Report struct {
	Format     int // 0: an empty folder
	Name       string
	Generation uint64
	Began      time.Time // the newest file
	Files      []string  // that count, in their order
	Spare      []string  // that do not
	Records    int
	Bytes      int64
	Repaired   int // records with one flipped bit, which was flipped back
	Holes      []Hole
	Missing    []string // files that must have been there
}

// Intact tells whether everything that was promised has been read.
func (r *Report) Intact() bool {
	return len(r.Missing) == 0 && !slices.ContainsFunc(r.Holes, func(h Hole) bool { return !h.Torn })
}

// ErrForeignFolder tells that the folder is another relay's.
var ErrForeignFolder = errors.New("wal: another relay's folder")

// state is what a folder tells of messages.
type state struct {
	live            map[uint32]*Message
	bytes           int64 // of the live messages, about
	completed       completionSet
	rejected        completionSet
	times           clock.Timeline
	timelineResumed bool // times go on with those of an earlier process
	rawTimes        bool // times are left as they stand in the log
}

// segmentFolder is what reading a folder in segments leaves to go on from.
type segmentFolder struct {
	state
	Report
	snapshotGen uint64 // the snapshot's generation
	newestGen   uint64 // newest generation seen, in any file
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

// isSegmented tells whether the folder is kept in segments: it is guarded, and its first snapshot was finished.
func isSegmented(names []string) bool {
	return slices.Contains(names, guardName+"/") && slices.ContainsFunc(names, isSegmentedFile)
}

// isSegmentedFile tells whether a file is one of a folder in segments.
func isSegmentedFile(name string) bool {
	_, snap := parseGeneration(snapPrefix, name)
	_, seg := parseGeneration(segPrefix, name)
	return snap || seg
}

// readSegmentFolder reads a folder in segments. It changes nothing.
func readSegmentFolder(d disk.FS, names []string, s state) (*segmentFolder, error) {
	c := &segmentFolder{state: s, Report: Report{Format: SegmentFormat}}
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
			continue // a folder of that name, or gone by now
		} else if err != nil {
			return nil, fmt.Errorf("wal: read %s: %w", n, err)
		}
		data[n] = content
		c.newestGen = max(c.newestGen, snap, seg)
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
		x := &snapshotFile{}
		if x.read(data, snaps[i]) {
			from, newest = snaps[i], x
		} else if i == len(snaps)-1 {
			newest = x
		}
	}
	if from == 0 && len(snaps) > 0 {
		from = snaps[len(snaps)-1] // the best there is
	}
	// An older snapshot does as well where all that happened up to the newer one is there.
	if len(snaps) > 0 {
		for gen := from; gen < snaps[len(snaps)-1]; gen++ {
			if !slices.Contains(segs, gen) {
				c.Missing = append(c.Missing, genFileName(segPrefix, gen))
			}
		}
	}
	c.snapshotGen = from
	if from > 0 {
		c.merge(&newest.Report)
		c.Files = append(c.Files, genFileName(snapPrefix, from))
		if newest.clock != nil {
			c.resumeTimeline(newest.clock)
		}
		for _, f := range newest.entries {
			c.apply(f.rec, f.body)
		}
		if len(newest.Holes)+len(c.Missing) > 0 {
			c.markDoubt()
		}
	}
	var row []*segmentFile
	for _, gen := range segs {
		if gen >= from {
			row = append(row, readSegment(data[genFileName(segPrefix, gen)], gen))
		}
	}
	c.applySegments(row)
	for _, n := range names {
		if _, ok := data[n]; ok && !slices.Contains(c.Files, n) {
			c.Spare = append(c.Spare, n)
		}
	}
	c.Generation = c.newestGen
	return c, nil
}

func roundUpToSector(n int64) int64 { return (n + disk.Sector - 1) / disk.Sector * disk.Sector }

// merge adds to a report what reading one file found.
func (r *Report) merge(of *Report) {
	r.Records += of.Records
	r.Bytes += of.Bytes
	r.Repaired += of.Repaired
	r.Holes = append(r.Holes, of.Holes...)
	r.Missing = append(r.Missing, of.Missing...)
	if r.Name == "" {
		r.Name = of.Name
	}
	if of.Began.After(r.Began) {
		r.Began = of.Began
	}
}

// entry is a record that was read.
type entry struct {
	rec     record
	body    []byte
	at, end int64
	durable int64
}

// readEntries reads every frame that can be read. A damaged one hides none behind it.
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

// snapshotFile is a snapshotFile's file.
type snapshotFile struct {
	Report
	entries []entry
	clock   *clock.Anchor
}

// read reads a snapshot; false if it is not whole.
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

// segmentFile is a segmentFile's file.
type segmentFile struct {
	Report
	gen           uint64
	head          *fileHeader // nil if it can't be read
	entries       []entry
	size          int64
	durableBytes  int64 // bytes that are known to have been on disk by what stands in the segment itself
	promisedBytes int64 // by all that is known
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

// applySegments takes the records of the applySegments that follow the snapshot, in their order.
func (c *segmentFolder) applySegments(row []*segmentFile) {
	for i := len(row) - 1; i >= 0; i-- {
		s := row[i]
		s.promisedBytes = s.durableBytes
		if i+1 == len(row) || row[i+1].head == nil || row[i+1].head.Prev != s.gen {
			continue
		}
		// One that follows was begun when so much of this one was on disk, and is synced after it.
		next := row[i+1]
		s.promisedBytes = max(s.promisedBytes, next.head.Kept)
		if next.promisedBytes > 0 {
			s.promisedBytes = max(s.promisedBytes, next.head.Good)
		}
	}
	last := uint64(0)
	for _, s := range row {
		if len(s.entries) == 0 && s.promisedBytes == 0 {
			c.addTornTail(s, 0)
			return // its first write never came to the disk: nothing of it or behind it was promised
		}
		if h := s.head; h != nil && h.Prev > 0 && h.Prev != last && h.Kept > 0 && h.Prev >= c.snapshotGen {
			c.Missing = append(c.Missing, genFileName(segPrefix, h.Prev))
			c.markDoubt()
		}
		last = s.gen
		if !c.applySegment(s) {
			return
		}
	}
}

// addTornTail notes where a segment ends whose last write did not come to the disk whole.
func (c *segmentFolder) addTornTail(s *segmentFile, at int64) {
	if s.size > at {
		c.Holes = append(c.Holes, Hole{File: genFileName(segPrefix, s.gen), From: at, To: s.size, Torn: true})
	}
}

// applySegment takes a applySegment's records; false if it ends before its file does, so that nothing behind it counts.
func (c *segmentFolder) applySegment(s *segmentFile) bool {
	name := genFileName(segPrefix, s.gen)
	c.Files = append(c.Files, name)
	holes := s.Holes
	s.Holes = nil
	if s.size < s.promisedBytes {
		holes = append(holes, Hole{File: name, From: s.size, To: s.promisedBytes})
	}
	end := s.size
	for i, h := range holes {
		if h.From >= s.promisedBytes {
			holes, end = holes[:i], h.From
			break
		}
	}
	if s.head != nil && s.head.Clock != nil {
		c.resumeTimeline(s.head.Clock)
	}
	next := 0
	for _, e := range s.entries {
		if e.at >= end {
			break
		}
		for ; next < len(holes) && holes[next].From < e.at; next++ {
			c.markDoubt()
		}
		if e.rec.Kind != recHeader && e.rec.Kind != recSeal {
			c.apply(e.rec, e.body)
			s.Records++
		}
	}
	if next < len(holes) {
		c.markDoubt()
	}
	s.Report.Holes = holes
	c.merge(&s.Report)
	if end < s.size {
		c.addTornTail(s, end)
		return false
	}
	return true
}

// markDoubt marks what is live: what it has sent may be missing.
func (s *state) markDoubt() {
	for _, m := range s.live {
		m.Doubt = true
	}
}

// payload is a record as it stands in a file: the length of its readable part, that, and the body.
func payload(rec record, body []byte) []byte {
	text, err := json.Marshal(rec)
	if err != nil {
		panic(err) // plain fields only: cannot fail
	}
	buf := make([]byte, 0, binary.MaxVarintLen32+len(text)+len(body))
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

// ignoreNotExist passes on every error but that there is no such file.
func ignoreNotExist(err error) error {
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	return fmt.Errorf("wal: %w", err)
}
