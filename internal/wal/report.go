package wal

import (
	"fmt"
	"strings"

	"onyxroad.dev/onyxroad/internal/disk"
)

// Summary describes what reading the folder found and what it means for messages, for an operator.
func (r *Report) Summary() string {
	var b strings.Builder
	add := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	switch r.Format {
	case 0:
		add("The folder is empty: a relay that starts on it has no messages to deliver.")
		return b.String()
	case 1:
		add("The log is a single file (format 1) of %d bytes.", r.Bytes)
	default:
		add("The log is kept in segments (format %d) by relay %q; generation %d, %d records in %d bytes, in %s.", r.Format, r.Name,
			r.Generation, r.Records, r.Bytes, strings.Join(r.Files, ", "))
	}
	for _, n := range r.Spare {
		add("%s is no longer needed; the next start removes it.", n)
	}
	if r.Repaired > 0 {
		add("%d records had one flipped bit, which the checksum locates and which was corrected. Nothing is lost, but the disk "+
			"corrupts data.", r.Repaired)
	}
	for _, h := range r.Holes {
		if h.Torn {
			add("%s ends with %d bytes of an unfinished write. Nothing in them was promised.", h.File,
				h.To-h.From)
		} else {
			add("%s: bytes %d to %d can't be read, although they had reached the disk.", h.File, h.From, h.To)
		}
	}
	for _, n := range r.Missing {
		add("%s is missing, although it had reached the disk.", n)
	}
	if r.Ends > 0 {
		add("%d ends of messages and rejected requests are remembered: their ids are not accepted again.", r.Ends)
	}
	for _, n := range r.UnreadableEnds {
		add("%s can't be read: the ids whose ends it held may be accepted again.", n)
	}
	if r.Intact() {
		add("Nothing that was promised is lost.")
	} else {
		add("Messages accepted in the unreadable part are lost. Each message held before it may " +
			"have run: those that must not run twice are not sent again and end as undeliverable, those that are safe to repeat are sent.")
	}
	return b.String()
}

// Check reads a folder as a start would, and changes nothing. The caller must hold its lock or know that no process writes to it.
func Check(d disk.FS) (*Report, []*Message, error) {
	r, s, err := readFolder(d)
	if err != nil {
		return nil, nil, err
	}
	return r, s.messages(), r.addEnds(d, s)
}

// FindEnd returns how the message or rejected request with a trace id ended; false if its end is not remembered. It changes
// nothing, under the conditions of Check.
func FindEnd(d disk.FS, trace string) (how Completion, found bool, err error) {
	_, s, err := readFolder(d)
	if err != nil {
		return 0, false, err
	}
	digest := digestOf(trace)
	if end, ok := s.recent.entries[digest]; ok {
		return end.how, true, nil
	}
	a, err := readArchive(d, 0, false)
	if err != nil {
		return 0, false, err
	}
	how, found = a.find(digest)
	return how, found, nil
}

// readFolder reads the log of a folder, in either format.
func readFolder(d disk.FS) (*Report, *state, error) {
	names, err := d.Names()
	if err != nil {
		return nil, nil, fmt.Errorf("wal: %w", err)
	}
	if isSegmented(names) {
		sf, err := readSegmentFolder(d, names, newRawTimesState())
		if err != nil {
			return nil, nil, err
		}
		return &sf.Report, &sf.state, nil
	}
	s := newRawTimesState()
	data, err := d.ReadFile(logName)
	if err != nil {
		return &Report{}, &s, ignoreNotExist(err)
	}
	good, damaged := s.replay(data)
	r := &Report{Format: 1, Bytes: int64(len(data)), Files: []string{logName}}
	if damaged {
		r.Holes = append(r.Holes, Hole{File: logName})
	}
	if good < int64(len(data)) {
		r.Holes = append(r.Holes, Hole{File: logName, From: good, To: int64(len(data)), Torn: true})
	}
	return r, &s, nil
}

// addEnds adds the remembered ends of the log and of the archive to a report.
func (r *Report) addEnds(d disk.FS, s *state) error {
	a, err := readArchive(d, 0, false)
	if err != nil {
		return err
	}
	for _, b := range a.unreadable {
		r.UnreadableEnds = append(r.UnreadableEnds, b.fileName())
	}
	r.Ends = a.total()
	for d := range s.recent.entries {
		if _, archived := a.find(d); !archived {
			r.Ends++
		}
	}
	return nil
}
