package disk

import (
	"io"
	"os"
)

// ReadOpener is a directory whose files can be read in parts, which not every user of an FS needs.
type ReadOpener interface {
	// OpenRead opens a file for reading. The error is fs.ErrNotExist if there is no such file. An open file can still be read after
	// its name was removed.
	OpenRead(name string) (Reader, error)
}

// Reader is a file that is open for reading.
type Reader interface {
	io.ReaderAt
	io.Closer
	// Size returns the file's current size in bytes.
	Size() (int64, error)
}

// OpenRead opens a file for reading.
func (d Dir) OpenRead(name string) (Reader, error) {
	f, err := os.Open(d.path(name))
	if err != nil {
		return nil, err
	}
	return reader{f}, nil
}

type reader struct{ *os.File }

func (r reader) Size() (int64, error) {
	info, err := r.Stat()
	if err != nil {
		return 0, err
	}
	return info.Size(), nil
}
