package disk

import (
	"errors"
	"strings"
)

// Prefixed is a view of a directory: the files whose names begin with a prefix, shown without it. It separates two users of one
// directory, or of one emulated disk that is to crash under both at once.
type Prefixed struct {
	FS
	Prefix string
}

// Open opens a file for writing.
func (p Prefixed) Open(name string) (File, error) { return p.FS.Open(p.Prefix + name) }

// OpenRead opens a file for reading in parts, if the directory supports it.
func (p Prefixed) OpenRead(name string) (Reader, error) {
	o, ok := p.FS.(ReadOpener)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return o.OpenRead(p.Prefix + name)
}

// ReadFile returns a file's content.
func (p Prefixed) ReadFile(name string) ([]byte, error) { return p.FS.ReadFile(p.Prefix + name) }

// Names lists the files of the view.
func (p Prefixed) Names() (names []string, err error) {
	all, err := p.FS.Names()
	for _, name := range all {
		if rest, ok := strings.CutPrefix(name, p.Prefix); ok {
			names = append(names, rest)
		}
	}
	return names, err
}

// Rename renames a file.
func (p Prefixed) Rename(from, to string) error { return p.FS.Rename(p.Prefix+from, p.Prefix+to) }

// Remove removes a file.
func (p Prefixed) Remove(name string) error { return p.FS.Remove(p.Prefix + name) }

// Guard creates a subdirectory that contains one empty file.
func (p Prefixed) Guard(name, file string) error { return p.FS.Guard(p.Prefix+name, file) }
