package wal

import (
	"fmt"
	"strings"

	"onyxroad.dev/onyxroad/internal/disk"
)

// Summary says in plain words what reading a folder found, and what it means for messages.
func (r *Report) Summary() string {
	var b strings.Builder
	say := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	switch r.Format {
	case 0:
		say("The folder is empty: a relay that starts on it owes nothing.")
		return b.String()
	case 1:
		say("The folder is kept in one file (format 1), %d bytes.", r.Bytes)
	default:
		say("The folder is kept in segments (format %d) by relay %q; generation %d, %d records in %d bytes, in %s.", r.Format, r.Name,
			r.Generation, r.Records, r.Bytes, strings.Join(r.Files, ", "))
	}
	for _, n := range r.Spare {
		say("%s no longer counts; the next start takes it away.", n)
	}
	if r.Repaired > 0 {
		say("%d records had one flipped bit, which the checksum names: read as they were written. Nothing is lost, but the disk "+
			"loses bits.", r.Repaired)
	}
	for _, h := range r.Holes {
		if h.Torn {
			say("%s ends with %d bytes of a write that was never finished. Nobody was promised what stood in them.", h.File,
				h.To-h.From)
		} else {
			say("%s: bytes %d to %d can't be read, and they were on disk once.", h.File, h.From, h.To)
		}
	}
	for _, n := range r.Missing {
		say("%s is missing, and it was on disk once.", n)
	}
	if r.Intact() {
		say("Nothing that was promised is lost.")
	} else {
		say("Messages that were taken on in the part that can't be read are lost. Of those that were held before it, each may " +
			"have run: what may never run twice is not sent again and ends as undeliverable, what is safe to repeat is sent.")
	}
	return b.String()
}

// Check reads a folder as a start would, and changes nothing. The caller has its lock, or knows that nobody writes.
func Check(d disk.FS) (*Report, []*Message, error) {
	names, err := d.Names()
	if err != nil {
		return nil, nil, fmt.Errorf("wal: %w", err)
	}
	if isSegmented(names) {
		c, err := readSegmentFolder(d, names, newRawTimesState())
		if err != nil {
			return nil, nil, err
		}
		return &c.Report, c.messages(), nil
	}
	data, err := d.ReadFile(logName)
	if err != nil {
		return &Report{}, nil, ignoreNotExist(err)
	}
	s := newRawTimesState()
	good, damaged := s.replay(data)
	r := &Report{Format: 1, Bytes: int64(len(data)), Files: []string{logName}}
	if damaged {
		r.Holes = append(r.Holes, Hole{File: logName})
	}
	if good < int64(len(data)) {
		r.Holes = append(r.Holes, Hole{File: logName, From: good, To: int64(len(data)), Torn: true})
	}
	return r, s.messages(), nil
}
