// Package faultdisk wraps a directory so that its calls fail as a test, or the testbed, demands. Like a failing system call, a failing
// call may have taken effect in full, in part or not at all. No production program links it.
package faultdisk

import (
	"onyxroad.dev/onyxroad/internal/disk"
)

// Extent is how much of its effect a failing call has had.
type Extent int

// Extents.
const (
	None Extent = iota
	Part        // the first half of a write; nothing of any other call
	Full
)

// Op is a kind of call.
type Op string

// Kinds of call.
const (
	Open     Op = "open"
	Read     Op = "read"
	Names    Op = "names"
	Write    Op = "write"
	Truncate Op = "truncate"
	Reserve  Op = "reserve"
	Sync     Op = "sync"
	Rename   Op = "rename"
	Remove   Op = "remove"
	Guard    Op = "guard"
	SyncDir  Op = "syncdir"
)

// MutatingOps are all calls that change the directory.
var MutatingOps = []Op{Open, Write, Truncate, Reserve, Sync, Rename, Remove, Guard, SyncDir}

// Fault is how a call fails. With the zero Fault it succeeds.
type Fault struct {
	Err    error
	Extent Extent
}

// Disk is a directory with faults. Fail is asked before each call.
type Disk struct {
	disk.FS
	Fail func(op Op, name string) Fault
}

// do makes a call that takes effect in full or not at all.
func (d *Disk) do(op Op, name string, call func() error) error {
	fault := d.Fail(op, name)
	if fault.Err == nil {
		return call()
	}
	if fault.Extent == Full {
		call() // whether it succeeds or not, the caller sees the fault
	}
	return fault.Err
}

// Open opens a file for writing.
func (d *Disk) Open(name string) (f disk.File, err error) {
	err = d.do(Open, name, func() error {
		f, err = d.FS.Open(name)
		return err
	})
	if err != nil {
		if f != nil {
			f.Close()
		}
		return nil, err
	}
	return &file{f, d, name}, nil
}

// ReadFile returns a file's content.
func (d *Disk) ReadFile(name string) (data []byte, err error) {
	err = d.do(Read, name, func() error {
		data, err = d.FS.ReadFile(name)
		return err
	})
	return data, err
}

// Names lists the entries of the directory.
func (d *Disk) Names() (names []string, err error) {
	err = d.do(Names, "", func() error {
		names, err = d.FS.Names()
		return err
	})
	return names, err
}

// Rename renames a file.
func (d *Disk) Rename(from, to string) error {
	return d.do(Rename, to, func() error { return d.FS.Rename(from, to) })
}

// Remove removes a file, or a subdirectory with its content.
func (d *Disk) Remove(name string) error {
	return d.do(Remove, name, func() error { return d.FS.Remove(name) })
}

// Guard creates a subdirectory that contains one empty file.
func (d *Disk) Guard(name, inside string) error {
	return d.do(Guard, name, func() error { return d.FS.Guard(name, inside) })
}

// SyncDir syncs the names in the directory.
func (d *Disk) SyncDir() error { return d.do(SyncDir, "", d.FS.SyncDir) }

type file struct {
	disk.File
	disk *Disk
	name string
}

func (f *file) WriteAt(p []byte, off int64) (int, error) {
	fault := f.disk.Fail(Write, f.name)
	if fault.Err == nil {
		return f.File.WriteAt(p, off)
	}
	switch fault.Extent {
	case Full:
		f.File.WriteAt(p, off)
	case Part:
		f.File.WriteAt(p[:len(p)/2], off)
	}
	return 0, fault.Err
}

func (f *file) Truncate(size int64) error {
	return f.disk.do(Truncate, f.name, func() error { return f.File.Truncate(size) })
}

func (f *file) Reserve(off, bytes int64) error {
	return f.disk.do(Reserve, f.name, func() error { return f.File.Reserve(off, bytes) })
}

func (f *file) Sync() error { return f.disk.do(Sync, f.name, f.File.Sync) }
