// Package tracedisk wraps a directory of the operating system and records every change to a trace, so that a testbed which kills the
// process can compute what a power loss would have left. It also fails or delays calls as a file written by the testbed tells it. Only
// testbed builds include it.
package tracedisk

import (
	"encoding/gob"
	"errors"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"onyxroad.dev/onyxroad/internal/disk"
	"onyxroad.dev/onyxroad/internal/disk/crashdisk"
)

// EnvTrace is the environment variable that holds the path of the trace. A file with that path and the suffix ".faults" lists the
// active faults as words: "full" (writes fail), "broken" (syncs fail), "slow=50ms" (each sync takes that long).
const EnvTrace = "TESTBED_DISK_TRACE"

// BacklogSuffix is appended to the trace's path for the trace of the backlog's directory.
const BacklogSuffix = ".backlog"

// EnvSync is the environment variable that, without a trace, sets how long a sync takes.
const EnvSync = "TESTBED_DISK_SYNC"

// DelayedSync is a directory whose syncs only wait for a fixed time and sync nothing.
type DelayedSync struct {
	disk.Dir
	Delay time.Duration
}

// Open opens a file.
func (d DelayedSync) Open(name string) (disk.File, error) {
	f, err := d.Dir.Open(name)
	return delayedSyncFile{f, d.Delay}, err
}

func (d DelayedSync) SyncDir() error {
	time.Sleep(d.Delay)
	return nil
}

type delayedSyncFile struct {
	disk.File
	delay time.Duration
}

func (f delayedSyncFile) Sync() error {
	time.Sleep(f.delay)
	return nil
}

// Change is one change of the directory.
type Change struct {
	Op   string // "open", "write", "truncate", "sync", "rename", "remove", "guard", "syncdir"
	Name string
	To   string
	Off  int64
	Data []byte
}

// Disk is a directory that records its changes.
type Disk struct {
	disk.Dir
	faultsPath string

	mu  sync.Mutex
	out *gob.Encoder
}

// Open returns a directory that records its changes to a new trace.
func Open(d disk.Dir, trace string) (*Disk, error) {
	f, err := os.OpenFile(trace, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return nil, fmt.Errorf("tracedisk: %w", err)
	}
	return &Disk{Dir: d, faultsPath: trace + ".faults", out: gob.NewEncoder(f)}, nil
}

// record appends a change to the trace. It is called under mu, together with the change itself, so that the trace has the order of the
// changes.
func (d *Disk) record(c Change) {
	if err := d.out.Encode(c); err != nil {
		panic(fmt.Sprintf("tracedisk: %v", err)) // a trace with a gap proves nothing
	}
}

// activeFaults reads which faults are active now.
func (d *Disk) activeFaults() (full, broken bool, slow time.Duration) {
	text, err := os.ReadFile(d.faultsPath)
	if err != nil {
		return false, false, 0
	}
	for _, w := range strings.Fields(string(text)) {
		full, broken = full || w == "full", broken || w == "broken"
		if v, ok := strings.CutPrefix(w, "slow="); ok {
			slow, _ = time.ParseDuration(v)
		}
	}
	return full, broken, slow
}

// do makes a change and records it, unless the disk is full.
func (d *Disk) do(c Change, make func() error) error {
	if full, _, _ := d.activeFaults(); full && c.Op != "remove" && c.Op != "syncdir" {
		return fmt.Errorf("tracedisk: %s %s: %w", c.Op, c.Name, syscall.ENOSPC)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := make(); err != nil {
		return err
	}
	d.record(c)
	return nil
}

// Open opens a file.
func (d *Disk) Open(name string) (f disk.File, err error) {
	err = d.do(Change{Op: "open", Name: name}, func() error {
		f, err = d.Dir.Open(name)
		return err
	})
	if err != nil {
		return nil, err
	}
	return &file{f, d, name}, nil
}

func (d *Disk) Rename(from, to string) error {
	return d.do(Change{Op: "rename", Name: from, To: to}, func() error { return d.Dir.Rename(from, to) })
}

func (d *Disk) Remove(name string) error {
	return d.do(Change{Op: "remove", Name: name}, func() error { return d.Dir.Remove(name) })
}

func (d *Disk) Guard(name, inside string) error {
	return d.do(Change{Op: "guard", Name: name, To: inside}, func() error { return d.Dir.Guard(name, inside) })
}

// SyncDir syncs nothing: the trace determines what a power loss leaves, and the operating system's disk is not involved.
func (d *Disk) SyncDir() error { return d.sync(Change{Op: "syncdir"}) }

// sync records a sync, which covers the changes recorded before it began.
func (d *Disk) sync(c Change) error {
	_, broken, slow := d.activeFaults()
	d.mu.Lock()
	d.record(Change{Op: "begin-" + c.Op, Name: c.Name})
	d.mu.Unlock()
	time.Sleep(slow)
	if broken {
		return fmt.Errorf("tracedisk: %s %s: %w", c.Op, c.Name, syscall.EIO)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.record(c)
	return nil
}

type file struct {
	disk.File
	d    *Disk
	name string
}

func (f *file) WriteAt(p []byte, off int64) (n int, err error) {
	err = f.d.do(Change{Op: "write", Name: f.name, Off: off, Data: p}, func() error {
		n, err = f.File.WriteAt(p, off)
		return err
	})
	return n, err
}

func (f *file) Truncate(size int64) error {
	return f.d.do(Change{Op: "truncate", Name: f.name, Off: size}, func() error { return f.File.Truncate(size) })
}

func (f *file) Reserve(off, bytes int64) error {
	if full, _, _ := f.d.activeFaults(); full {
		return syscall.ENOSPC
	}
	return f.File.Reserve(off, bytes)
}

func (f *file) Sync() error { return f.d.sync(Change{Op: "sync", Name: f.name}) }

// Replay computes what a trace and a final power loss leave of a directory, given its content before. keep decides for each change that
// was never synced whether it reached the disk.
func Replay(before map[string][]byte, trace string, keep func() bool) (*crashdisk.Disk, error) {
	f, err := os.Open(trace)
	if err != nil {
		return nil, fmt.Errorf("tracedisk: %w", err)
	}
	defer f.Close()
	d := crashdisk.New()
	for name, data := range before {
		if strings.HasSuffix(name, "/") {
			d.Guard(strings.TrimSuffix(name, "/"), "")
			continue
		}
		file, err := d.Open(name)
		if err != nil {
			return nil, err
		}
		file.WriteAt(data, 0)
	}
	d = d.AfterKill() // all of it is on disk
	r := replayState{d: d, files: map[string]*crashdisk.File{}, finishSync: map[string]func(){}}
	for in := gob.NewDecoder(f); ; {
		var c Change
		if err := in.Decode(&c); errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			return d.Crash(keep), nil // the process was killed while it wrote the trace
		} else if err != nil {
			return nil, fmt.Errorf("tracedisk: %w", err)
		}
		if err := r.apply(c); err != nil {
			return nil, fmt.Errorf("tracedisk: %s %s: %w", c.Op, strconv.Quote(c.Name), err)
		}
	}
}

// replayState is the emulated directory to which a trace is being applied.
type replayState struct {
	d          *crashdisk.Disk
	files      map[string]*crashdisk.File
	finishSync map[string]func() // ends the syncs that have begun
}

func (r *replayState) apply(c Change) error {
	f := r.files[c.Name]
	switch c.Op {
	case "open":
		opened, err := r.d.Open(c.Name)
		if err != nil {
			return err
		}
		r.files[c.Name] = opened.(*crashdisk.File)
	case "write":
		_, err := f.WriteAt(c.Data, c.Off)
		return err
	case "truncate":
		return f.Truncate(c.Off)
	case "begin-sync":
		r.finishSync[c.Name] = f.BeginSync()
	case "begin-syncdir":
		r.finishSync[""] = r.d.BeginSyncDir()
	case "sync", "syncdir":
		r.finishSync[c.Name]()
	case "rename":
		r.files[c.To] = f
		return r.d.Rename(c.Name, c.To)
	case "remove":
		return r.d.Remove(c.Name)
	case "guard":
		return r.d.Guard(c.Name, c.To)
	}
	return nil
}
