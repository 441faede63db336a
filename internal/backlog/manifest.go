package backlog

import (
	"bytes"
	"errors"
	"io"
	"slices"
	"strings"

	"github.com/cockroachdb/pebble/v2/record"

	"onyxroad.dev/onyxroad/internal/disk"
)

const markerPrefix = "marker.manifest."

// repairManifest repairs and reports damage that the engine would take for an empty folder or for a torn write at the end of a
// file: a missing manifest marker, and a manifest with fewer readable records than its mirror. Unreadable bytes at the end of a
// log are not repaired, because they cannot be told from a torn write.
func (s *Store) repairManifest(report *OpenReport) error {
	f := s.newEngineFS()
	names, err := f.List("")
	if err != nil {
		return err
	}
	markedManifest, newestManifest, hasData := "", "", false
	for _, name := range slices.Sorted(slices.Values(names)) {
		switch {
		case strings.HasPrefix(name, markerPrefix):
			markedManifest = name[strings.LastIndexByte(name, '.')+1:]
		case strings.HasPrefix(name, manifestPrefix):
			newestManifest = name
		case strings.HasSuffix(name, ".sst"):
			hasData = true
		case strings.HasSuffix(name, ".log"):
			size, _ := s.usage.size(f.name(name))
			hasData = hasData || size > 0
		}
	}
	if markedManifest == "" && !hasData {
		return nil // the folder was only being created
	}
	if markedManifest == "" && newestManifest != "" {
		report.Problems = append(report.Problems, "the manifest marker is missing: the newest manifest is used")
		marker, err := s.fs.Open(f.name(markerPrefix + "999999." + newestManifest))
		if err == nil {
			err = errors.Join(marker.Close(), s.fs.SyncDir())
		}
		if err != nil {
			return err
		}
		markedManifest = newestManifest
	}
	if markedManifest == "" {
		return nil
	}
	if main, mirror, err := s.readManifestPair(f, markedManifest); err != nil {
		return err
	} else if countRecords(mirror) > countRecords(main) {
		if !s.opts.Fsync {
			report.Problems = append(report.Problems, "the manifest is not readable to its end: its mirror is used")
		}
		if err := disk.Replace(s.fs, f.name(markedManifest), mirror); err != nil {
			return err
		}
	}
	return nil
}

// readManifestPair reads a manifest and its mirror. A missing file is returned as empty.
func (s *Store) readManifestPair(f *engineFS, name string) (main, mirror []byte, err error) {
	for to, name := range map[*[]byte]string{&main: name, &mirror: mirrorName(name)} {
		if _, ok := s.usage.size(f.name(name)); !ok {
			continue
		}
		if *to, err = s.fs.ReadFile(f.name(name)); err != nil {
			return nil, nil, err
		}
	}
	return main, mirror, nil
}

// promoteMirror replaces the manifest with its mirror, if they differ.
func (s *Store) promoteMirror(report *OpenReport) error {
	f := s.newEngineFS()
	names, err := f.List("")
	if err != nil {
		return err
	}
	for _, name := range names {
		if !strings.HasPrefix(name, markerPrefix) {
			continue
		}
		name = name[strings.LastIndexByte(name, '.')+1:]
		main, mirror, err := s.readManifestPair(f, name)
		if err != nil {
			return err
		}
		if len(mirror) == 0 || bytes.Equal(main, mirror) {
			return errors.New("backlog: the mirror of the manifest is missing or identical to it")
		}
		report.Problems = append(report.Problems, "the manifest is unreadable: its mirror is used")
		if s.quarantine(f.name(name)) {
			report.Problems = append(report.Problems, damagedPrefix+f.name(name))
		}
		return disk.Replace(s.fs, f.name(name), mirror)
	}
	return errors.New("backlog: there is no manifest marker")
}

// countRecords returns the number of readable records of a manifest. The engine takes whatever follows for a torn write.
func countRecords(data []byte) (n int) {
	r := record.NewReader(bytes.NewReader(data), 0)
	for {
		rec, err := r.Next()
		if err != nil {
			return n
		}
		if _, err := io.Copy(io.Discard, rec); err != nil {
			return n
		}
		n++
	}
}
