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
	snapPrefix = "snap-"
	segPrefix  = "seg-"
	snapTemp   = "snap.tmp"
	guardName  = tempName // what a version of before removes first, and can't
	guardFile  = "kept-in-segments-by-a-newer-version"
	setAside   = "damaged-" // and the file's name, and where in it
	snapSalt   = 1 << 63

	// Format is the version of the folder in segments.
	Format = 2
)

// head is the first record of a file.
type head struct {
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

// Sound tells whether everything that was promised has been read.
func (r *Report) Sound() bool {
	return len(r.Missing) == 0 && !slices.ContainsFunc(r.Holes, func(h Hole) bool { return !h.Torn })
}

// ErrOther tells that the folder is another relay's.
var ErrOther = errors.New("wal: another relay's folder")

// state is what a folder tells of messages.
type state struct {
	live       map[uint32]*Message
	bytes      int64 // of the live messages, about
	completed  completions
	turnedAway completions
	times      clock.Timeline
	resumed    bool // times go on with those of an earlier process
	stamped    bool // times are left as they stand in the log
}

// chain is what reading a folder in segments leaves to go on from.
type chain struct {
	state
	Report
	from uint64 // the snapshot's generation
	last uint64 // newest generation seen, in any file
}

func genName(prefix string, gen uint64) string { return fmt.Sprintf("%s%08x", prefix, gen) }

func generation(prefix, name string) (uint64, bool) {
	hex, ok := strings.CutPrefix(name, prefix)
	if !ok || len(hex) < 8 {
		return 0, false
	}
	gen, err := strconv.ParseUint(hex, 16, 63)
	return gen, err == nil && gen > 0 && genName(prefix, gen) == name
}

// inSegments tells whether the folder is kept in segments: it is guarded, and its first snapshot was finished.
func inSegments(names []string) bool {
	return slices.Contains(names, guardName+"/") && slices.ContainsFunc(names, isSegments)
}

// isSegments tells whether a file is one of a folder in segments.
func isSegments(name string) bool {
	_, snap := generation(snapPrefix, name)
	_, seg := generation(segPrefix, name)
	return snap || seg
}

// readChain reads a folder in segments. It changes nothing.
func readChain(d disk.FS, names []string, s state) (*chain, error) {
	c := &chain{state: s, Report: Report{Format: Format}}
	data := map[string][]byte{}
	var snaps, segs []uint64
	for _, n := range names {
		snap, isSnap := generation(snapPrefix, n)
		seg, isSeg := generation(segPrefix, n)
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
		c.last = max(c.last, snap, seg)
		if isSnap {
			snaps = append(snaps, snap)
		} else {
			segs = append(segs, seg)
		}
	}
	slices.Sort(snaps)
	slices.Sort(segs)
	from, newest := uint64(0), &snapshot{}
	for i := len(snaps) - 1; i >= 0 && from == 0; i-- {
		x := &snapshot{}
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
				c.Missing = append(c.Missing, genName(segPrefix, gen))
			}
		}
	}
	c.from = from
	if from > 0 {
		c.take(&newest.Report)
		c.Files = append(c.Files, genName(snapPrefix, from))
		if newest.clock != nil {
			c.resume(newest.clock)
		}
		for _, f := range newest.frames {
			c.apply(f.rec, f.body)
		}
		if len(newest.Holes)+len(c.Missing) > 0 {
			c.doubt()
		}
	}
	var row []*segment
	for _, gen := range segs {
		if gen >= from {
			row = append(row, readSegment(data[genName(segPrefix, gen)], gen))
		}
	}
	c.segments(row)
	for _, n := range names {
		if _, ok := data[n]; ok && !slices.Contains(c.Files, n) {
			c.Spare = append(c.Spare, n)
		}
	}
	c.Generation = c.last
	return c, nil
}

func sectors(n int64) int64 { return (n + disk.Sector - 1) / disk.Sector * disk.Sector }

// take adds to a report what reading one file found.
func (r *Report) take(of *Report) {
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

// entries reads every frame that can be read. A damaged one hides none behind it.
func (r *Report) entries(file string, data []byte, salt uint64) (all []entry) {
	hole := int64(-1)
	for at := int64(0); at < int64(len(data)); {
		f, ok := readFrame(data[at:], salt, at)
		if !ok && hole < 0 {
			f, ok = mendFrame(data[at:], salt, at)
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

// snapshot is a snapshot's file.
type snapshot struct {
	Report
	frames []entry
	clock  *clock.Anchor
}

// read reads a snapshot; false if it is not whole.
func (s *snapshot) read(data map[string][]byte, gen uint64) bool {
	name := genName(snapPrefix, gen)
	all := s.entries(name, data[name], gen|snapSalt)
	s.Bytes = int64(len(data[name]))
	whole := false
	for i, e := range all {
		switch {
		case e.rec.Kind == recHead && e.rec.Head != nil:
			s.Name, s.Began, s.clock = e.rec.Head.Name, e.rec.Head.Began, e.rec.Head.Clock
		case e.rec.Kind == recFoot:
			whole = i == len(all)-1 && e.rec.N == len(s.frames) && len(s.Holes) == 0
		default:
			s.frames = append(s.frames, e)
		}
	}
	s.Records = len(s.frames)
	if !whole && len(s.Holes) == 0 {
		s.Holes = append(s.Holes, Hole{File: name, From: s.Bytes, To: s.Bytes})
	}
	return whole
}

// segment is a segment's file.
type segment struct {
	Report
	gen      uint64
	head     *head // nil if it can't be read
	all      []entry
	size     int64
	durable  int64 // bytes that are known to have been on disk by what stands in the segment itself
	promised int64 // by all that is known
}

func readSegment(data []byte, gen uint64) *segment {
	s := &segment{gen: gen, size: int64(len(data))}
	s.all = s.entries(genName(segPrefix, gen), data, gen)
	s.Bytes = s.size
	for _, e := range s.all {
		s.durable = max(s.durable, e.durable)
		if e.rec.Kind == recHead && e.rec.Head != nil {
			s.head, s.Name, s.Began = e.rec.Head, e.rec.Head.Name, e.rec.Head.Began
		}
	}
	return s
}

// segments takes the records of the segments that follow the snapshot, in their order.
func (c *chain) segments(row []*segment) {
	for i := len(row) - 1; i >= 0; i-- {
		s := row[i]
		s.promised = s.durable
		if i+1 == len(row) || row[i+1].head == nil || row[i+1].head.Prev != s.gen {
			continue
		}
		// One that follows was begun when so much of this one was on disk, and is synced after it.
		next := row[i+1]
		s.promised = max(s.promised, next.head.Kept)
		if next.promised > 0 {
			s.promised = max(s.promised, next.head.Good)
		}
	}
	last := uint64(0)
	for _, s := range row {
		if len(s.all) == 0 && s.promised == 0 {
			c.cut(s, 0)
			return // its first write never came to the disk: nothing of it or behind it was promised
		}
		if h := s.head; h != nil && h.Prev > 0 && h.Prev != last && h.Kept > 0 && h.Prev >= c.from {
			c.Missing = append(c.Missing, genName(segPrefix, h.Prev))
			c.doubt()
		}
		last = s.gen
		if !c.segment(s) {
			return
		}
	}
}

// cut notes where a segment ends whose last write did not come to the disk whole.
func (c *chain) cut(s *segment, at int64) {
	if s.size > at {
		c.Holes = append(c.Holes, Hole{File: genName(segPrefix, s.gen), From: at, To: s.size, Torn: true})
	}
}

// segment takes a segment's records; false if it ends before its file does, so that nothing behind it counts.
func (c *chain) segment(s *segment) bool {
	name := genName(segPrefix, s.gen)
	c.Files = append(c.Files, name)
	holes := s.Holes
	s.Holes = nil
	if s.size < s.promised {
		holes = append(holes, Hole{File: name, From: s.size, To: s.promised})
	}
	end := s.size
	for i, h := range holes {
		if h.From >= s.promised {
			holes, end = holes[:i], h.From
			break
		}
	}
	if s.head != nil && s.head.Clock != nil {
		c.resume(s.head.Clock)
	}
	next := 0
	for _, e := range s.all {
		if e.at >= end {
			break
		}
		for ; next < len(holes) && holes[next].From < e.at; next++ {
			c.doubt()
		}
		if e.rec.Kind != recHead && e.rec.Kind != recSeal {
			c.apply(e.rec, e.body)
			s.Records++
		}
	}
	if next < len(holes) {
		c.doubt()
	}
	s.Report.Holes = holes
	c.take(&s.Report)
	if end < s.size {
		c.cut(s, end)
		return false
	}
	return true
}

// doubt marks what is live: what it has sent may be missing.
func (s *state) doubt() {
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

// ignoreAbsent passes on every error but that there is no such file.
func ignoreAbsent(err error) error {
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	return fmt.Errorf("wal: %w", err)
}
