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

// folder is what the store needs of its folder.
type folder interface {
	disk.FS
	disk.ReadOpener
}

// files is one generation of the engine's files in the store's flat folder: each name has the generation's prefix.
//
// The first change that fails, fails for good: from then on nothing reaches the folder, which stays as SIGKILL at that
// moment would have left it. So the engine, which ends the process where its own log can't be written, never learns of it;
// the store asks failed before it believes in a commit, and opens the folder anew.
//
// Where power may be lost, names that speak of others come and go in their order: what was made is on disk before a marker
// that names it is made, and before anything is removed. The engine trusts the file system to keep that order.
type files struct {
	dir    folder
	prefix string
	power  bool // syncs are real
	sealed bool // nothing is changed, and that is no failure
	usage  *usage

	hidden map[string]bool // names that the engine shall not see; set before it is opened

	broken atomic.Pointer[error]
	ended  atomic.Bool
	dirty  atomic.Bool // a name is new since the folder's last sync
	mu     sync.Mutex  // one sync of the folder at a time
}

// usage counts the bytes of the folder's files.
type usage struct {
	limit int64
	total atomic.Int64
	mu    sync.Mutex
	sizes map[string]int64
}

func (u *usage) set(name string, size int64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.total.Add(size - u.sizes[name])
	u.sizes[name] = size
}

func (u *usage) size(name string) (int64, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	size, ok := u.sizes[name]
	return size, ok
}

func (u *usage) drop(name string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.total.Add(-u.sizes[name])
	delete(u.sizes, name)
}

func (u *usage) rename(from, to string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.total.Add(-u.sizes[to])
	u.sizes[to] = u.sizes[from]
	delete(u.sizes, from)
}

var errEnded = errors.New("backlog: the engine is being ended")

// stop has nothing reach the folder any more.
func (f *files) stop(err error) { f.broken.CompareAndSwap(nil, &err) }

// end is stop for an engine that is about to be closed: what it still writes in the background is given up, not waited for.
// While it stays open it must not learn of it, since it would try again at once and for ever.
func (f *files) end() {
	f.stop(errEnded)
	f.ended.Store(true)
}

// failed is what the first change that failed said, or nil.
func (f *files) failed() error {
	if err := f.broken.Load(); err != nil {
		return *err
	}
	return nil
}

func (f *files) name(p string) string { return f.prefix + path.Base(p) }

// hide has the engine not see a file.
func (f *files) hide(name string) {
	if f.hidden == nil {
		f.hidden = map[string]bool{}
	}
	f.hidden[name] = true
}

// change makes a change unless an earlier one has failed.
func (f *files) change(do func() error) {
	if f.sealed || f.failed() != nil {
		return
	}
	if err := do(); err != nil {
		f.stop(err)
	}
}

// table tells a file that the engine can do without.
func table(name string) bool {
	return strings.HasSuffix(name, ".sst") || strings.HasSuffix(name, ".blob")
}

func (f *files) Create(p string, _ vfs.DiskWriteCategory) (vfs.File, error) {
	name := f.name(p)
	file := &written{f: f, name: name}
	f.change(func() (err error) {
		if strings.HasPrefix(path.Base(p), "marker.") {
			if err := f.syncDir(); err != nil {
				return err
			}
		}
		if file.file, err = f.create(name); err != nil || !strings.HasPrefix(path.Base(p), manifest) {
			return err
		}
		file.twin, err = f.create(f.name(twinOf(path.Base(p))))
		return err
	})
	return file, file.refused()
}

// create makes a file anew, without an older one's bytes.
func (f *files) create(name string) (disk.File, error) {
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

func (f *files) Link(string, string) error { return vfs.ErrUnsupported }

func (f *files) Open(p string, opts ...vfs.OpenOption) (vfs.File, error) {
	r, err := f.dir.OpenRead(f.name(p))
	if err != nil {
		return nil, err
	}
	file := &read{Reader: r, name: path.Base(p)}
	for _, o := range opts {
		o.Apply(file)
	}
	return file, nil
}

func (f *files) OpenReadWrite(string, vfs.DiskWriteCategory, ...vfs.OpenOption) (vfs.File, error) {
	return nil, vfs.ErrUnsupported
}

func (f *files) OpenDir(string) (vfs.File, error) { return &dir{f: f}, nil }

func (f *files) syncDir() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.power || !f.dirty.Swap(false) {
		return nil
	}
	return f.dir.SyncDir()
}

func (f *files) Remove(p string) error {
	name := f.name(p)
	f.change(func() error {
		if err := f.syncDir(); err != nil {
			return err
		}
		all := []string{name}
		if strings.HasPrefix(path.Base(p), manifest) {
			all = append(all, f.name(twinOf(path.Base(p))))
		}
		for _, name := range all {
			if err := f.dir.Remove(name); err != nil {
				return err
			}
			f.usage.drop(name)
		}
		return nil
	})
	return nil
}

func (f *files) RemoveAll(p string) error { return f.Remove(p) }

func (f *files) Rename(from, to string) error {
	f.change(func() error {
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
func (f *files) ReuseForWrite(from, to string, c vfs.DiskWriteCategory) (vfs.File, error) {
	if err := f.Remove(from); err != nil {
		return nil, err
	}
	return f.Create(to, c)
}

func (f *files) MkdirAll(string, os.FileMode) error { return nil }

// Lock locks nothing: the store holds a lock on its folder.
func (f *files) Lock(string) (io.Closer, error) { return io.NopCloser(nil), nil }

func (f *files) List(string) ([]string, error) {
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

func (f *files) Stat(p string) (vfs.FileInfo, error) {
	r, err := f.dir.OpenRead(f.name(p))
	if err != nil {
		return nil, err
	}
	defer r.Close()
	size, err := r.Size()
	return info{path.Base(p), size}, err
}

func (f *files) PathBase(p string) string       { return path.Base(p) }
func (f *files) PathJoin(elem ...string) string { return path.Join(elem...) }
func (f *files) PathDir(p string) string        { return path.Dir(p) }
func (f *files) Unwrap() vfs.FS                 { return nil }
func (f *files) GetDiskUsage(string) (vfs.DiskUsage, error) {
	used := f.usage.total.Load()
	return vfs.DiskUsage{AvailBytes: uint64(max(0, f.usage.limit-used)), TotalBytes: uint64(f.usage.limit),
		UsedBytes: uint64(used)}, nil
}

// written is a file that is being written.
type written struct {
	f    *files
	name string
	file disk.File // nil: it was never made
	twin disk.File // nil: it has none
	size int64
}

// The manifest names all tables, and nothing can be read without it: it is written twice.
const manifest = "MANIFEST-"

func twinOf(name string) string { return "twin." + name }

func (w *written) Write(p []byte) (int, error) {
	w.f.change(func() error {
		at := w.size
		n, err := w.file.WriteAt(p, at)
		w.size += int64(n)
		w.f.usage.set(w.name, w.size)
		if err == nil && w.twin != nil {
			n, err = w.twin.WriteAt(p, at)
			w.f.usage.set(w.f.name(twinOf(strings.TrimPrefix(w.name, w.f.prefix))), at+int64(n))
		}
		return err
	})
	return len(p), w.refused()
}

// refused is an error where the engine is being closed and can do without the file.
func (w *written) refused() error {
	if w.f.ended.Load() && table(w.name) {
		return errEnded
	}
	return nil
}

func (w *written) Sync() error {
	if w.f.power {
		w.f.change(func() error {
			if w.twin == nil {
				return w.file.Sync()
			}
			return errors.Join(w.file.Sync(), w.twin.Sync())
		})
	}
	return w.refused()
}

func (w *written) SyncData() error            { return w.Sync() }
func (w *written) SyncTo(int64) (bool, error) { return false, nil }

func (w *written) Close() error {
	var err error
	if w.twin != nil {
		err = w.twin.Close()
	}
	if w.file != nil {
		err = errors.Join(err, w.file.Close())
	}
	return err
}

func (w *written) Stat() (vfs.FileInfo, error)              { return info{w.name, w.size}, nil }
func (w *written) Preallocate(int64, int64) error           { return nil }
func (w *written) Prefetch(int64, int64) error              { return nil }
func (w *written) Fd() uintptr                              { return vfs.InvalidFd }
func (w *written) Read([]byte) (int, error)                 { return 0, vfs.ErrUnsupported }
func (w *written) ReadAt([]byte, int64) (int, error)        { return 0, vfs.ErrUnsupported }
func (w *written) WriteAt(p []byte, off int64) (int, error) { return 0, vfs.ErrUnsupported }

// read is a file that is being read.
type read struct {
	disk.Reader
	name string
	at   int64
}

func (r *read) Read(p []byte) (int, error) {
	n, err := r.ReadAt(p, r.at)
	r.at += int64(n)
	if n > 0 && err == io.EOF {
		err = nil
	}
	return n, err
}

func (r *read) Stat() (vfs.FileInfo, error) {
	size, err := r.Size()
	return info{r.name, size}, err
}

func (r *read) Write([]byte) (int, error)          { return 0, vfs.ErrUnsupported }
func (r *read) WriteAt([]byte, int64) (int, error) { return 0, vfs.ErrUnsupported }
func (r *read) Sync() error                        { return nil }
func (r *read) SyncData() error                    { return nil }
func (r *read) SyncTo(int64) (bool, error)         { return false, nil }
func (r *read) Preallocate(int64, int64) error     { return nil }
func (r *read) Prefetch(int64, int64) error        { return nil }
func (r *read) Fd() uintptr                        { return vfs.InvalidFd }

// dir is the folder, open to be synced.
type dir struct {
	read
	f *files
}

func (d *dir) Sync() error {
	d.f.change(d.f.syncDir)
	return nil
}

func (d *dir) SyncData() error             { return d.Sync() }
func (d *dir) Close() error                { return nil }
func (d *dir) Stat() (vfs.FileInfo, error) { return info{"/", 0}, nil }

// info tells a file's size.
type info struct {
	name string
	size int64
}

func (i info) Name() string           { return i.name }
func (i info) Size() int64            { return i.size }
func (i info) Mode() fs.FileMode      { return 0o600 }
func (i info) ModTime() time.Time     { return time.Time{} }
func (i info) IsDir() bool            { return i.name == "/" }
func (i info) Sys() any               { return nil }
func (i info) DeviceID() vfs.DeviceID { return vfs.DeviceID{} }
