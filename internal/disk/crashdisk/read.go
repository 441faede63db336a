package crashdisk

import (
	"io"
	"io/fs"

	"onyxroad.dev/onyxroad/internal/disk"
)

// OpenRead opens a file for reading in parts.
func (d *Disk) OpenRead(name string) (disk.Reader, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := d.visible[name]
	if n == nil || n.isDir {
		return nil, &fs.PathError{Op: "open", Path: name, Err: fs.ErrNotExist}
	}
	return reader{d, n}, nil
}

type reader struct {
	d *Disk
	n *inode
}

func (r reader) ReadAt(p []byte, off int64) (int, error) {
	r.d.mu.Lock()
	defer r.d.mu.Unlock()
	if off >= int64(len(r.n.data)) {
		return 0, io.EOF
	}
	n := copy(p, r.n.data[off:])
	if n < len(p) {
		return n, io.EOF
	}
	return n, nil
}

func (r reader) Size() (int64, error) {
	r.d.mu.Lock()
	defer r.d.mu.Unlock()
	return int64(len(r.n.data)), nil
}

func (r reader) Close() error { return nil }
