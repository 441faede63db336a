package disk

import (
	"errors"
	"strings"
)

// Prefixed is a view of a folder: the files whose names begin with a prefix, without it. Two users of one folder, or of one
// emulated disk that shall crash under both at once, keep apart by it.
type Prefixed struct {
	FS
	Prefix string
}

// Open opens a file to be written.
func (p Prefixed) Open(name string) (File, error) { return p.FS.Open(p.Prefix + name) }

// OpenRead opens a file to be read in parts, if the folder can.
func (p Prefixed) OpenRead(name string) (Reader, error) {
	o, ok := p.FS.(ReadOpener)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return o.OpenRead(p.Prefix + name)
}

// ReadFile returns a file's bytes.
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

// Guard makes a folder with one empty file in it.
func (p Prefixed) Guard(name, file string) error { return p.FS.Guard(p.Prefix+name, file) }
