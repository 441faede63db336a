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

const markerStart = "marker.manifest."

// tidy mends what the engine would take for an empty folder or for a torn end, and says so: a marker that is missing, and a
// manifest that can't be read as far as its twin. Bytes at a log's end that can't be read it can't tell from a torn end.
func (s *Store) tidy(found *Found) error {
	f := s.newFiles()
	names, err := f.List("")
	if err != nil {
		return err
	}
	marked, newest, content := "", "", false
	for _, name := range slices.Sorted(slices.Values(names)) {
		switch {
		case strings.HasPrefix(name, markerStart):
			marked = name[strings.LastIndexByte(name, '.')+1:]
		case strings.HasPrefix(name, manifest):
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
		found.Aside = append(found.Aside, "the file that names the manifest is missing: the newest is taken")
		marker, err := s.fs.Open(f.name(markerStart + "999999." + newest))
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
	if main, twin, err := s.twins(f, marked); err != nil {
		return err
	} else if whole(twin) > whole(main) {
		if !s.o.Power {
			found.Aside = append(found.Aside, "the manifest can't be read to its end: its twin is taken")
		}
		if err := disk.Replace(s.fs, f.name(marked), twin); err != nil {
			return err
		}
	}
	return nil
}

// twins reads a manifest and its twin; none is as one that is empty.
func (s *Store) twins(f *files, name string) (main, twin []byte, err error) {
	for to, name := range map[*[]byte]string{&main: name, &twin: twinOf(name)} {
		if _, ok := s.usage.size(f.name(name)); !ok {
			continue
		}
		if *to, err = s.fs.ReadFile(f.name(name)); err != nil {
			return nil, nil, err
		}
	}
	return main, twin, nil
}

// takeTwin puts the manifest's twin in its place, if it is another.
func (s *Store) takeTwin(found *Found) error {
	f := s.newFiles()
	names, err := f.List("")
	if err != nil {
		return err
	}
	for _, name := range names {
		if !strings.HasPrefix(name, markerStart) {
			continue
		}
		name = name[strings.LastIndexByte(name, '.')+1:]
		main, twin, err := s.twins(f, name)
		if err != nil {
			return err
		}
		if len(twin) == 0 || bytes.Equal(main, twin) {
			return errors.New("backlog: the manifest's twin is no better")
		}
		found.Aside = append(found.Aside, "the manifest can't be read: its twin is taken")
		if s.keep(f.name(name)) {
			found.Aside = append(found.Aside, asideStart+f.name(name))
		}
		return disk.Replace(s.fs, f.name(name), twin)
	}
	return errors.New("backlog: no manifest is named")
}

// whole is how many changes of a manifest can be read. The engine takes whatever follows for a torn end.
func whole(data []byte) (n int) {
	r := record.NewReader(bytes.NewReader(data), 0)
	for {
		one, err := r.Next()
		if err != nil {
			return n
		}
		if _, err := io.Copy(io.Discard, one); err != nil {
			return n
		}
		n++
	}
}
