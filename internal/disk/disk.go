// Package disk is the file system interface under a state folder: the few operations that the log and its snapshots need, all in one
// directory. It is implemented by the operating system, or by an emulation that knows what a power loss would leave.
//
// After a power loss it guarantees what the operating system guarantees and no more: data written to a file is there once Sync has
// returned, and a created, renamed or removed name stays so once SyncDir has returned. Anything else may or may not be there, in any
// order, and a write may be torn at 512 bytes.
package disk

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"

	"golang.org/x/sys/unix"
)

// Sector is the size in bytes of the largest write that is atomic.
const Sector = 512

// FS is a directory. Names are plain, without a separator.
type FS interface {
	// Open opens a file for writing and creates it if it does not exist.
	Open(name string) (File, error)
	// ReadFile returns a file's content. The error is fs.ErrNotExist if there is no such file.
	ReadFile(name string) ([]byte, error)
	// Names lists the entries of the directory in its order; the name of a subdirectory ends in a slash.
	Names() ([]string, error)
	Rename(from, to string) error
	// Remove removes a file, or a subdirectory with its content. It is no error if there is none.
	Remove(name string) error
	// Guard creates a subdirectory that contains one empty file, so that os.Remove of the name fails.
	Guard(name, file string) error
	SyncDir() error
}

// File is a file that is open for writing.
type File interface {
	WriteAt(p []byte, off int64) (int, error)
	Truncate(size int64) error
	// Reserve allocates disk space for bytes from off on without changing the file's size. It does nothing if the file
	// system can't.
	Reserve(off, bytes int64) error
	Sync() error
	Close() error
}

// Dir is a directory of the operating system.
type Dir string

func (d Dir) path(name string) string { return filepath.Join(string(d), name) }

// Open opens a file that only this user may read.
func (d Dir) Open(name string) (File, error) {
	f, err := os.OpenFile(d.path(name), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, err
	}
	return file{f}, nil
}

func (d Dir) ReadFile(name string) ([]byte, error) { return os.ReadFile(d.path(name)) }

func (d Dir) Names() ([]string, error) {
	entries, err := os.ReadDir(string(d))
	if err != nil {
		return nil, err
	}
	names := make([]string, 0, len(entries))
	for _, e := range entries {
		if e.IsDir() {
			names = append(names, e.Name()+"/")
		} else {
			names = append(names, e.Name())
		}
	}
	return names, nil
}

func (d Dir) Rename(from, to string) error { return os.Rename(d.path(from), d.path(to)) }

func (d Dir) Remove(name string) error { return os.RemoveAll(d.path(name)) }

func (d Dir) Guard(name, file string) error {
	if err := os.Mkdir(d.path(name), 0o700); err != nil && !errors.Is(err, fs.ErrExist) {
		return err
	}
	inside := filepath.Join(d.path(name), file)
	f, err := os.OpenFile(inside, os.O_WRONLY|os.O_CREATE, 0o600)
	if err != nil {
		return err
	}
	if err := f.Close(); err != nil {
		return err
	}
	return syncDir(d.path(name))
}

// Replace atomically replaces a file: it writes a temporary file, syncs it, renames it and syncs the directory. On failure the
// previous file remains.
func Replace(fs FS, name string, data []byte) error {
	temp := name + ".tmp"
	f, err := fs.Open(temp)
	if err != nil {
		return err
	}
	if err = f.Truncate(0); err == nil {
		_, err = f.WriteAt(data, 0)
	}
	if err == nil {
		err = f.Sync()
	}
	if err = errors.Join(err, f.Close()); err != nil {
		return err
	}
	if err := fs.Rename(temp, name); err != nil {
		return err
	}
	return fs.SyncDir()
}

func (d Dir) SyncDir() error { return syncDir(string(d)) }

func syncDir(path string) error {
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	defer f.Close()
	if err := f.Sync(); err != nil {
		return fmt.Errorf("disk: sync the directory: %w", err)
	}
	return nil
}

type file struct{ *os.File }

// RetryOnEINTR repeats a system call as long as a signal interrupts it.
func RetryOnEINTR(call func() error) error {
	for {
		if err := call(); err != unix.EINTR {
			return err
		}
	}
}

func (f file) Sync() error {
	return RetryOnEINTR(func() error { return unix.Fdatasync(int(f.Fd())) })
}

func (f file) Reserve(off, bytes int64) error {
	err := RetryOnEINTR(func() error { return unix.Fallocate(int(f.Fd()), unix.FALLOC_FL_KEEP_SIZE, off, bytes) })
	if err == unix.EOPNOTSUPP || err == unix.ENOSYS || err == unix.EINVAL {
		return nil
	}
	return err
}
