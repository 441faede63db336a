package disk

import (
	"io"
	"os"
)

// ReadOpener is a folder whose files can be read in parts, which not every user of a folder needs.
type ReadOpener interface {
	// OpenRead opens a file to be read; an error that is fs.ErrNotExist if there is no such file. What is open can be read
	// on after its name has gone.
	OpenRead(name string) (Reader, error)
}

// Reader is a file that is open to be read.
type Reader interface {
	io.ReaderAt
	io.Closer
	// Size is the file's size now, in bytes.
	Size() (int64, error)
}

// OpenRead opens a file to be read.
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
