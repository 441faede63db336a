package backlog

import (
	"errors"
	"io"
	"io/fs"
	"os"
	"path"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"

	"onyxroad.dev/onyxroad/internal/disk"
)

// storeFS is the file system that the store needs for its folder.
type storeFS interface {
	disk.FS
	disk.ReadOpener
}

// engineFS implements vfs.FS for one generation of the engine's files, whose names have the generation's prefix in the
// store's flat folder.
//
// After the first failed change, nothing reaches the folder any more, so that it stays as SIGKILL at that moment would have
// left it. The engine is not told, because it ends the process when it cannot write its log. Instead the store calls failed
// before it trusts a commit, and reopens the folder after a failure.
//
// With fsync, changes of names become durable in order: created files are durable before a marker that refers to them is
// created, and before any file is removed. The engine relies on the file system to keep this order.
type engineFS struct {
	dir      storeFS
	prefix   string
	fsync    bool // files and the folder are synced to disk; otherwise syncs do nothing
	readOnly bool // changes are ignored, without being failures
	usage    *diskUsage

	hidden map[string]bool // names that are not listed to the engine; set before the engine is opened

	failure atomic.Pointer[error]
	closing atomic.Bool
	dirty   atomic.Bool // files were created or renamed since the folder was last synced
	mu      sync.Mutex  // serializes syncs of the folder
}

// diskUsage tracks the sizes of the folder's files.
type diskUsage struct {
	limit int64
	total atomic.Int64
	mu    sync.Mutex
	sizes map[string]int64
}

func (u *diskUsage) set(name string, size int64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.total.Add(size - u.sizes[name])
	u.sizes[name] = size
}

func (u *diskUsage) size(name string) (int64, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	size, ok := u.sizes[name]
	return size, ok
}

func (u *diskUsage) remove(name string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.total.Add(-u.sizes[name])
	delete(u.sizes, name)
}

func (u *diskUsage) rename(from, to string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.total.Add(-u.sizes[to])
	u.sizes[to] = u.sizes[from]
	delete(u.sizes, from)
}

var errEngineClosing = errors.New("backlog: the storage engine is being closed")

// fail makes all further changes have no effect.
func (f *engineFS) fail(err error) { f.failure.CompareAndSwap(nil, &err) }

// shutDown is fail for an engine that is about to be closed: its background writes to tables return errors, so that closing does
// not wait for them. While the engine stays open it must not get such errors, since it would retry without a pause.
func (f *engineFS) shutDown() {
	f.fail(errEngineClosing)
	f.closing.Store(true)
}

// failed returns the error of the first change that failed, or nil.
func (f *engineFS) failed() error {
	if err := f.failure.Load(); err != nil {
		return *err
	}
	return nil
}

func (f *engineFS) name(p string) string { return f.prefix + path.Base(p) }

// hide makes a file invisible to the engine.
func (f *engineFS) hide(name string) {
	if f.hidden == nil {
		f.hidden = map[string]bool{}
	}
	f.hidden[name] = true
}

// mutate performs a change unless an earlier one has failed.
func (f *engineFS) mutate(apply func() error) {
	if f.readOnly || f.failed() != nil {
		return
	}
	if err := apply(); err != nil {
		f.fail(err)
	}
}

// isTable reports whether name is a table or blob file, whose failed write the engine survives.
func isTable(name string) bool {
	return strings.HasSuffix(name, ".sst") || strings.HasSuffix(name, ".blob")
}

func (f *engineFS) Create(p string, _ vfs.DiskWriteCategory) (vfs.File, error) {
	name := f.name(p)
	file := &writeHandle{fs: f, name: name}
	f.mutate(func() (err error) {
		if strings.HasPrefix(path.Base(p), "marker.") {
			if err := f.syncDir(); err != nil {
				return err
			}
		}
		if file.file, err = f.create(name); err != nil || !strings.HasPrefix(path.Base(p), manifestPrefix) {
			return err
		}
		file.mirror, err = f.create(f.name(mirrorName(path.Base(p))))
		return err
	})
	return file, file.closingError()
}

// create creates an empty file, replacing an existing one.
func (f *engineFS) create(name string) (disk.File, error) {
	if _, ok := f.usage.size(name); ok {
		if err := f.dir.Remove(name); err != nil {
			return nil, err
		}
	}
	file, err := f.dir.Open(name)
	if err != nil {
		return nil, err
	}
	f.dirty.Store(true)
	f.usage.set(name, 0)
	return file, nil
}

func (f *engineFS) Link(string, string) error { return vfs.ErrUnsupported }

func (f *engineFS) Open(p string, opts ...vfs.OpenOption) (vfs.File, error) {
	r, err := f.dir.OpenRead(f.name(p))
	if err != nil {
		return nil, err
	}
	file := &readHandle{Reader: r, name: path.Base(p)}
	for _, o := range opts {
		o.Apply(file)
	}
	return file, nil
}

func (f *engineFS) OpenReadWrite(string, vfs.DiskWriteCategory, ...vfs.OpenOption) (vfs.File, error) {
	return nil, vfs.ErrUnsupported
}

func (f *engineFS) OpenDir(string) (vfs.File, error) { return &dirHandle{fs: f}, nil }

func (f *engineFS) syncDir() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.fsync || !f.dirty.Swap(false) {
		return nil
	}
	return f.dir.SyncDir()
}

func (f *engineFS) Remove(p string) error {
	name := f.name(p)
	f.mutate(func() error {
		if err := f.syncDir(); err != nil {
			return err
		}
		all := []string{name}
		if strings.HasPrefix(path.Base(p), manifestPrefix) {
			all = append(all, f.name(mirrorName(path.Base(p))))
		}
		for _, name := range all {
			if err := f.dir.Remove(name); err != nil {
				return err
			}
			f.usage.remove(name)
		}
		return nil
	})
	return nil
}

func (f *engineFS) RemoveAll(p string) error { return f.Remove(p) }

func (f *engineFS) Rename(from, to string) error {
	f.mutate(func() error {
		if err := f.dir.Rename(f.name(from), f.name(to)); err != nil {
			return err
		}
		f.dirty.Store(true)
		f.usage.rename(f.name(from), f.name(to))
		return nil
	})
	return nil
}

// ReuseForWrite creates a new file instead of overwriting the old one, so that old log records cannot be mistaken for new ones.
func (f *engineFS) ReuseForWrite(from, to string, c vfs.DiskWriteCategory) (vfs.File, error) {
	if err := f.Remove(from); err != nil {
		return nil, err
	}
	return f.Create(to, c)
}

func (f *engineFS) MkdirAll(string, os.FileMode) error { return nil }

// Lock does nothing: the store holds a lock on its folder.
func (f *engineFS) Lock(string) (io.Closer, error) { return io.NopCloser(nil), nil }

func (f *engineFS) List(string) ([]string, error) {
	all, err := f.dir.Names()
	if err != nil {
		return nil, err
	}
	var names []string
	for _, name := range all {
		if rest, ok := strings.CutPrefix(name, f.prefix); ok && !f.hidden[rest] {
			names = append(names, rest)
		}
	}
	return names, nil
}

func (f *engineFS) Stat(p string) (vfs.FileInfo, error) {
	r, err := f.dir.OpenRead(f.name(p))
	if err != nil {
		return nil, err
	}
	defer r.Close()
	size, err := r.Size()
	return fileInfo{path.Base(p), size}, err
}

func (f *engineFS) PathBase(p string) string       { return path.Base(p) }
func (f *engineFS) PathJoin(elem ...string) string { return path.Join(elem...) }
func (f *engineFS) PathDir(p string) string        { return path.Dir(p) }
func (f *engineFS) Unwrap() vfs.FS                 { return nil }
func (f *engineFS) GetDiskUsage(string) (vfs.DiskUsage, error) {
	used := f.usage.total.Load()
	return vfs.DiskUsage{AvailBytes: uint64(max(0, f.usage.limit-used)), TotalBytes: uint64(f.usage.limit),
		UsedBytes: uint64(used)}, nil
}

// writeHandle is a file opened for writing.
type writeHandle struct {
	fs     *engineFS
	name   string
	file   disk.File // nil: it could not be created
	mirror disk.File // second copy of a manifest; nil: none
	size   int64
}

// manifestPrefix begins the names of manifests. A manifest lists all tables, and nothing can be read without it, so it is
// written twice.
const manifestPrefix = "MANIFEST-"

func mirrorName(name string) string { return "twin." + name }

func (w *writeHandle) Write(p []byte) (int, error) {
	w.fs.mutate(func() error {
		at := w.size
		n, err := w.file.WriteAt(p, at)
		w.size += int64(n)
		w.fs.usage.set(w.name, w.size)
		if err == nil && w.mirror != nil {
			n, err = w.mirror.WriteAt(p, at)
			w.fs.usage.set(w.fs.name(mirrorName(strings.TrimPrefix(w.name, w.fs.prefix))), at+int64(n))
		}
		return err
	})
	return len(p), w.closingError()
}

// closingError returns an error if the engine is being closed and can do without the file.
func (w *writeHandle) closingError() error {
	if w.fs.closing.Load() && isTable(w.name) {
		return errEngineClosing
	}
	return nil
}

func (w *writeHandle) Sync() error {
	if w.fs.fsync {
		w.fs.mutate(func() error {
			if w.mirror == nil {
				return w.file.Sync()
			}
			return errors.Join(w.file.Sync(), w.mirror.Sync())
		})
	}
	return w.closingError()
}

func (w *writeHandle) SyncData() error            { return w.Sync() }
func (w *writeHandle) SyncTo(int64) (bool, error) { return false, nil }

func (w *writeHandle) Close() error {
	var err error
	if w.mirror != nil {
		err = w.mirror.Close()
	}
	if w.file != nil {
		err = errors.Join(err, w.file.Close())
	}
	return err
}

func (w *writeHandle) Stat() (vfs.FileInfo, error)              { return fileInfo{w.name, w.size}, nil }
func (w *writeHandle) Preallocate(int64, int64) error           { return nil }
func (w *writeHandle) Prefetch(int64, int64) error              { return nil }
func (w *writeHandle) Fd() uintptr                              { return vfs.InvalidFd }
func (w *writeHandle) Read([]byte) (int, error)                 { return 0, vfs.ErrUnsupported }
func (w *writeHandle) ReadAt([]byte, int64) (int, error)        { return 0, vfs.ErrUnsupported }
func (w *writeHandle) WriteAt(p []byte, off int64) (int, error) { return 0, vfs.ErrUnsupported }

// readHandle is a file opened for reading.
type readHandle struct {
	disk.Reader
	name string
	at   int64
}

func (r *readHandle) Read(p []byte) (int, error) {
	n, err := r.ReadAt(p, r.at)
	r.at += int64(n)
	if n > 0 && err == io.EOF {
		err = nil
	}
	return n, err
}

func (r *readHandle) Stat() (vfs.FileInfo, error) {
	size, err := r.Size()
	return fileInfo{r.name, size}, err
}

func (r *readHandle) Write([]byte) (int, error)          { return 0, vfs.ErrUnsupported }
func (r *readHandle) WriteAt([]byte, int64) (int, error) { return 0, vfs.ErrUnsupported }
func (r *readHandle) Sync() error                        { return nil }
func (r *readHandle) SyncData() error                    { return nil }
func (r *readHandle) SyncTo(int64) (bool, error)         { return false, nil }
func (r *readHandle) Preallocate(int64, int64) error     { return nil }
func (r *readHandle) Prefetch(int64, int64) error        { return nil }
func (r *readHandle) Fd() uintptr                        { return vfs.InvalidFd }

// dirHandle is the folder, opened to be synced.
type dirHandle struct {
	readHandle
	fs *engineFS
}

func (d *dirHandle) Sync() error {
	d.fs.mutate(d.fs.syncDir)
	return nil
}

func (d *dirHandle) SyncData() error             { return d.Sync() }
func (d *dirHandle) Close() error                { return nil }
func (d *dirHandle) Stat() (vfs.FileInfo, error) { return fileInfo{"/", 0}, nil }

// fileInfo is the vfs.FileInfo of a file; only its size is known.
type fileInfo struct {
	name string
	size int64
}

func (i fileInfo) Name() string           { return i.name }
func (i fileInfo) Size() int64            { return i.size }
func (i fileInfo) Mode() fs.FileMode      { return 0o600 }
func (i fileInfo) ModTime() time.Time     { return time.Time{} }
func (i fileInfo) IsDir() bool            { return i.name == "/" }
func (i fileInfo) Sys() any               { return nil }
func (i fileInfo) DeviceID() vfs.DeviceID { return vfs.DeviceID{} }
