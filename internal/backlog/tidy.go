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

// repairManifest mends what the engine would take for an empty folder or for a torn end, and says so: a marker that is missing, and a
// manifest that can't be read as far as its twin. Bytes at a log's end that can't be read it can't tell from a torn end.
func (s *Store) repairManifest(found *OpenReport) error {
	f := s.newEngineFS()
	names, err := f.List("")
	if err != nil {
		return err
	}
	marked, newest, content := "", "", false
	for _, name := range slices.Sorted(slices.Values(names)) {
		switch {
		case strings.HasPrefix(name, markerPrefix):
			marked = name[strings.LastIndexByte(name, '.')+1:]
		case strings.HasPrefix(name, manifestPrefix):
			newest = name
		case strings.HasSuffix(name, ".sst"):
			content = true
		case strings.HasSuffix(name, ".log"):
			size, _ := s.usage.size(f.name(name))
			content = content || size > 0
		}
	}
	if marked == "" && !content {
		return nil // it was being made
	}
	if marked == "" && newest != "" {
		found.Problems = append(found.Problems, "the file that names the manifest is missing: the newest is taken")
		marker, err := s.fs.Open(f.name(markerPrefix + "999999." + newest))
		if err == nil {
			err = errors.Join(marker.Close(), s.fs.SyncDir())
		}
		if err != nil {
			return err
		}
		marked = newest
	}
	if marked == "" {
		return nil
	}
	if main, twin, err := s.readManifestPair(f, marked); err != nil {
		return err
	} else if countRecords(twin) > countRecords(main) {
		if !s.opts.Fsync {
			found.Problems = append(found.Problems, "the manifest can't be read to its end: its twin is taken")
		}
		if err := disk.Replace(s.fs, f.name(marked), twin); err != nil {
			return err
		}
	}
	return nil
}

// readManifestPair reads a manifest and its twin; none is as one that is empty.
func (s *Store) readManifestPair(f *engineFS, name string) (main, twin []byte, err error) {
	for to, name := range map[*[]byte]string{&main: name, &twin: mirrorName(name)} {
		if _, ok := s.usage.size(f.name(name)); !ok {
			continue
		}
		if *to, err = s.fs.ReadFile(f.name(name)); err != nil {
			return nil, nil, err
		}
	}
	return main, twin, nil
}

// promoteMirror puts the manifest's twin in its place, if it is another.
func (s *Store) promoteMirror(found *OpenReport) error {
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
		main, twin, err := s.readManifestPair(f, name)
		if err != nil {
			return err
		}
		if len(twin) == 0 || bytes.Equal(main, twin) {
			return errors.New("backlog: the manifest's twin is no better")
		}
		found.Problems = append(found.Problems, "the manifest can't be read: its twin is taken")
		if s.setAside(f.name(name)) {
			found.Problems = append(found.Problems, damagedPrefix+f.name(name))
		}
		return disk.Replace(s.fs, f.name(name), twin)
	}
	return errors.New("backlog: no manifest is named")
}

// countRecords is how many changes of a manifest can be read. The engine takes whatever follows for a torn end.
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
