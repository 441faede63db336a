// Package crashdisk emulates a directory in memory and what a power loss would leave of it: each write, size change, created name,
// rename and removal since the last sync may or may not have reached the disk, in any order, with writes torn at sectors. That is
// harsher than any file system: those at least keep the order of names.
//
// It also fails on demand, like a disk that is full, read-only, slow or broken.
package crashdisk

import (
	"fmt"
	"io/fs"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"

	"onyxroad.dev/onyxroad/internal/disk"
)

// Disk is an emulated directory.
type Disk struct {
	mu            sync.Mutex
	visible       map[string]*inode // as the process sees them
	durable       map[string]*inode // as they are on disk
	unsyncedNames []nameChange      // since the last SyncDir
	// Fail, if set, is called before every operation that changes something and may make it fail. The operations are "write",
	// "reserve", "sync", "open", "rename", "remove", "guard" and "syncdir". A failing write may have written a part.
	Fail func(op, name string) error
	// After, if set, is called after every operation that changes something.
	After func(op, name string)
}

// nameChange is a change of the directory: a name is removed, added, or both.
type nameChange struct {
	from, to string // "" if none
	node     *inode
}

type inode struct {
	data     []byte // as the process sees it
	durable  []byte // as it is on disk
	unsynced []write
	isDir    bool
}

// write is a change of a file since its last sync: bytes at an offset, or a size.
type write struct {
	off  int64
	data []byte
	size int64 // -1 for a write of data
}

// New returns an empty directory.
func New() *Disk { return &Disk{visible: map[string]*inode{}, durable: map[string]*inode{}} }

func (d *Disk) fail(op, name string) error {
	if d.Fail == nil {
		return nil
	}
	return d.Fail(op, name)
}

func (d *Disk) after(op, name string) {
	if d.After != nil {
		d.After(op, name)
	}
}

func (d *Disk) Open(name string) (disk.File, error) {
	if err := d.fail("open", name); err != nil {
		return nil, err
	}
	d.mu.Lock()
	n := d.visible[name]
	made := n == nil
	if made {
		n = &inode{}
		d.visible[name] = n
		d.unsyncedNames = append(d.unsyncedNames, nameChange{to: name, node: n})
	}
	d.mu.Unlock()
	if made {
		d.after("open", name)
	}
	return &File{d, n, name}, nil
}

func (d *Disk) ReadFile(name string) ([]byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := d.visible[name]
	if n == nil || n.isDir {
		return nil, &fs.PathError{Op: "open", Path: name, Err: fs.ErrNotExist}
	}
	return slices.Clone(n.data), nil
}

func (d *Disk) Names() ([]string, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var all []string
	for name, n := range d.visible {
		if n.isDir {
			name += "/"
		}
		all = append(all, name)
	}
	slices.Sort(all)
	return all, nil
}

func (d *Disk) Rename(from, to string) error {
	if err := d.fail("rename", from); err != nil {
		return err
	}
	d.mu.Lock()
	n := d.visible[from]
	if n == nil {
		d.mu.Unlock()
		return &fs.PathError{Op: "rename", Path: from, Err: fs.ErrNotExist}
	}
	delete(d.visible, from)
	d.visible[to] = n
	d.unsyncedNames = append(d.unsyncedNames, nameChange{from, to, n})
	d.mu.Unlock()
	d.after("rename", from)
	return nil
}

func (d *Disk) Remove(name string) error {
	if err := d.fail("remove", name); err != nil {
		return err
	}
	d.mu.Lock()
	_, ok := d.visible[name]
	if ok {
		delete(d.visible, name)
		d.unsyncedNames = append(d.unsyncedNames, nameChange{from: name})
	}
	d.mu.Unlock()
	if ok {
		d.after("remove", name)
	}
	return nil
}

func (d *Disk) Guard(name, _ string) error {
	if err := d.fail("guard", name); err != nil {
		return err
	}
	d.mu.Lock()
	_, ok := d.visible[name]
	if !ok {
		n := &inode{isDir: true}
		d.visible[name] = n
		d.unsyncedNames = append(d.unsyncedNames, nameChange{to: name, node: n})
	}
	d.mu.Unlock()
	if !ok {
		d.after("guard", name)
	}
	return nil
}

func (d *Disk) SyncDir() error {
	done := d.BeginSyncDir()
	if err := d.fail("syncdir", ""); err != nil {
		return err
	}
	done()
	d.after("syncdir", "")
	return nil
}

// BeginSyncDir begins a sync of the directory. Changes made before this call are on disk once done has been called.
func (d *Disk) BeginSyncDir() (done func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	names, todo := maps.Clone(d.visible), len(d.unsyncedNames)
	return func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.durable, d.unsyncedNames = names, slices.Clone(d.unsyncedNames[min(todo, len(d.unsyncedNames)):])
	}
}

// File is a file of a Disk.
type File struct {
	d    *Disk
	n    *inode
	name string
}

func (f *File) WriteAt(p []byte, off int64) (int, error) {
	err := f.d.fail("write", f.name)
	if err != nil {
		p = p[:len(p)/2] // a failing write writes its first half
	}
	f.d.mu.Lock()
	f.n.data = writeAt(f.n.data, p, off)
	f.n.unsynced = append(f.n.unsynced, write{off, slices.Clone(p), -1})
	f.d.mu.Unlock()
	f.d.after("write", f.name)
	return len(p), err
}

func (f *File) Truncate(size int64) error {
	if err := f.d.fail("write", f.name); err != nil {
		return err
	}
	f.d.mu.Lock()
	changed := int64(len(f.n.data)) != size
	if changed {
		f.n.data = resize(f.n.data, size)
		f.n.unsynced = append(f.n.unsynced, write{size: size})
	}
	f.d.mu.Unlock()
	if changed {
		f.d.after("truncate", f.name)
	}
	return nil
}

func (f *File) Reserve(int64, int64) error { return f.d.fail("reserve", f.name) }

func (f *File) Sync() error {
	done := f.BeginSync()
	if err := f.d.fail("sync", f.name); err != nil {
		return err
	}
	done()
	f.d.after("sync", f.name)
	return nil
}

// BeginSync begins a sync. Data written before this call is on disk once done has been called; later data need not be.
func (f *File) BeginSync() (done func()) {
	f.d.mu.Lock()
	defer f.d.mu.Unlock()
	todo, data := len(f.n.unsynced), slices.Clone(f.n.data)
	return func() {
		f.d.mu.Lock()
		defer f.d.mu.Unlock()
		f.n.durable, f.n.unsynced = data, slices.Clone(f.n.unsynced[min(todo, len(f.n.unsynced)):])
	}
}

func (f *File) Close() error { return nil }

func writeAt(data, p []byte, off int64) []byte {
	if end := off + int64(len(p)); int64(len(data)) < end {
		data = resize(data, end)
	}
	copy(data[off:], p)
	return data
}

func resize(data []byte, size int64) []byte {
	if int64(len(data)) >= size {
		return data[:size:size]
	}
	return append(slices.Clip(data), make([]byte, size-int64(len(data)))...)
}

// PendingPieces returns the number of changes that may each have reached the disk or not. A power loss now may leave the directory
// in 2 to that power states.
func (d *Disk) PendingPieces() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := len(d.unsyncedNames)
	for _, node := range d.inodes() {
		for _, w := range node.unsynced {
			n += len(splitAtSectors(w))
		}
	}
	return n
}

// inodes lists the files, each once, ordered by their names on disk and then by their visible names. The caller must hold mu.
func (d *Disk) inodes() (all []*inode) {
	seen := map[*inode]bool{}
	add := func(n *inode) {
		if n != nil && !seen[n] {
			seen[n] = true
			all = append(all, n)
		}
	}
	for _, of := range []map[string]*inode{d.durable, d.visible} {
		for _, name := range slices.Sorted(maps.Keys(of)) {
			add(of[name])
		}
	}
	for _, m := range d.unsyncedNames {
		add(m.node)
	}
	return all
}

// splitAtSectors splits a write at sector boundaries.
func splitAtSectors(w write) (all []write) {
	if w.data == nil {
		return []write{w}
	}
	for off, data := w.off, w.data; len(data) > 0; {
		n := min(int64(len(data)), disk.Sector-off%disk.Sector)
		all = append(all, write{off, data[:n], -1})
		off, data = off+n, data[n:]
	}
	return all
}

// Crash returns the directory after a power loss. keep decides for each pending change whether it reached the disk.
func (d *Disk) Crash(keep func() bool) *Disk {
	d.mu.Lock()
	defer d.mu.Unlock()
	after := map[*inode]*inode{}
	for _, n := range d.inodes() {
		now := &inode{data: slices.Clone(n.durable), isDir: n.isDir}
		for _, w := range n.unsynced {
			for _, p := range splitAtSectors(w) {
				switch {
				case !keep():
				case p.data == nil:
					now.data = resize(now.data, p.size)
				default:
					now.data = writeAt(now.data, p.data, p.off)
				}
			}
		}
		now.durable = slices.Clone(now.data)
		after[n] = now
	}
	x := New()
	for name, n := range d.durable {
		x.visible[name] = after[n]
	}
	for _, m := range d.unsyncedNames {
		if !keep() {
			continue
		}
		if m.from != "" {
			delete(x.visible, m.from)
		}
		if m.to != "" {
			x.visible[m.to] = after[m.node]
		}
	}
	x.durable = maps.Clone(x.visible)
	return x
}

// KeepRandom returns a keep function for Crash that decides at random, with a random bias from nearly nothing to nearly everything.
func KeepRandom(rng *rand.Rand) func() bool {
	p := [...]float64{0.03, 0.3, 0.5, 0.7, 0.97}[rng.IntN(5)]
	return func() bool { return rng.Float64() < p }
}

// KeepBits returns a keep function for Crash that uses the bits of n, lowest first. All n below 2 to the power of PendingPieces yield
// every state.
func KeepBits(n uint64) func() bool {
	return func() bool {
		bit := n&1 == 1
		n >>= 1
		return bit
	}
}

// AfterKill returns the directory as the process sees it, with everything on disk: what remains after SIGKILL.
func (d *Disk) AfterKill() *Disk { return d.Crash(func() bool { return true }) }

// FlipBit flips a bit of a file on disk.
func (d *Disk) FlipBit(name string, bit int) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := d.visible[name]
	if n == nil || bit/8 >= len(n.data) {
		return fmt.Errorf("crashdisk: no bit %d in %s", bit, name)
	}
	n.data[bit/8] ^= 1 << (bit % 8)
	n.durable = slices.Clone(n.data)
	return nil
}

// Listing returns the files with their sizes.
func (d *Disk) Listing() string {
	names, _ := d.Names()
	var b strings.Builder
	for _, n := range names {
		data, _ := d.ReadFile(n)
		fmt.Fprintf(&b, "%s:%d ", n, len(data))
	}
	return b.String()
}
