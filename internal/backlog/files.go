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

// storeFS is what the store needs of its storeFS.
type storeFS interface {
	disk.FS
	disk.Opener
}

// engineFS is one generation of the engine's engineFS in the store's flat folder: each name has the generation's prefix.
//
// The first change that fails, fails for good: from then on nothing reaches the folder, which stays as SIGKILL at that
// moment would have left it. So the engine, which ends the process where its own log can't be written, never learns of it;
// the store asks failed before it believes in a commit, and opens the folder anew.
//
// Where power may be lost, names that speak of others come and go in their order: what was made is on disk before a marker
// that names it is made, and before anything is removed. The engine trusts the file system to keep that order.
type engineFS struct {
	dir      storeFS
	prefix   string
	fsync    bool // syncs are real
	readOnly bool // nothing is changed, and that is no failure
	usage    *diskUsage

	hidden map[string]bool // names that the engine shall not see; set before it is opened

	failure atomic.Pointer[error]
	closing atomic.Bool
	dirty   atomic.Bool // a name is new since the folder's last sync
	mu      sync.Mutex  // one sync of the folder at a time
}

// diskUsage counts the bytes of the folder's files.
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

var errEngineClosing = errors.New("backlog: the engine is being ended")

// fail has nothing reach the folder any more.
func (f *engineFS) fail(err error) { f.failure.CompareAndSwap(nil, &err) }

// shutDown is stop for an engine that is about to be closed: what it still writes in the background is given up, not waited for.
// While it stays open it must not learn of it, since it would try again at once and for ever.
func (f *engineFS) shutDown() {
	f.fail(errEngineClosing)
	f.closing.Store(true)
}

// failed is what the first change that failed said, or nil.
func (f *engineFS) failed() error {
	if err := f.failure.Load(); err != nil {
		return *err
	}
	return nil
}

func (f *engineFS) name(p string) string { return f.prefix + path.Base(p) }

// hide has the engine not see a file.
func (f *engineFS) hide(name string) {
	if f.hidden == nil {
		f.hidden = map[string]bool{}
	}
	f.hidden[name] = true
}

// mutate makes a mutate unless an earlier one has failed.
func (f *engineFS) mutate(do func() error) {
	if f.readOnly || f.failed() != nil {
		return
	}
	if err := do(); err != nil {
		f.fail(err)
	}
}

// isTable tells a file that the engine can do without.
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

// create makes a file anew, without an older one's bytes.
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

// ReuseForWrite writes no file over: what an old log held can't be taken for a new one's.
func (f *engineFS) ReuseForWrite(from, to string, c vfs.DiskWriteCategory) (vfs.File, error) {
	if err := f.Remove(from); err != nil {
		return nil, err
	}
	return f.Create(to, c)
}

func (f *engineFS) MkdirAll(string, os.FileMode) error { return nil }

// Lock locks nothing: the store holds a lock on its folder.
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

// writeHandle is a file that is being writeHandle.
type writeHandle struct {
	fs     *engineFS
	name   string
	file   disk.File // nil: it was never made
	mirror disk.File // nil: it has none
	size   int64
}

// The manifestPrefix names all tables, and nothing can be read without it: it is written twice.
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

// closingError is an error where the engine is being closed and can do without the file.
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

// readHandle is a file that is being readHandle.
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

// dirHandle is the folder, open to be synced.
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

// fileInfo tells a file's size.
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
