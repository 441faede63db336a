package relayslope

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"time"

	"onyxroad.dev/onyxroad/internal/disk"
	"onyxroad.dev/onyxroad/internal/testbed/scale"
	"onyxroad.dev/onyxroad/internal/wal"
)

// logJob tells a child process to open a log without a relay and to write to it until it is compacted.
type logJob struct {
	Dir      string
	Limit    int64 // bytes
	Segments bool
}

// logState is the measurement of a logJob.
type logState struct {
	OpenCPU, OpenWall time.Duration
	Held              int
	Heap              int64 // bytes, after a garbage collection, that the log and the messages it holds use
	Disk              int64 // bytes, after opening
	Compact           int64 // bytes written by a compaction
}

func (j *logJob) options() wal.Options {
	o := wal.Options{Dir: j.Dir, Limit: j.Limit}
	if j.Segments {
		o.Format, o.Name = wal.SegmentFormat, "hollow"
	}
	return o
}

// run opens the log, measures that, and writes to it until the log compacts itself.
func (j *logJob) run() (*logState, error) {
	before := heapInUse()
	o := j.options()
	files := &countingFS{FS: disk.Dir(j.Dir)}
	o.FS = files
	began, spent := time.Now(), processCPUTime()
	l, found, err := wal.OpenWith(o)
	s := &logState{OpenWall: time.Since(began), OpenCPU: processCPUTime() - spent, Held: len(found.Messages)}
	if err != nil {
		return nil, fmt.Errorf("relayslope: %w", err)
	}
	if s.Heap = heapInUse() - before; s.Held == 0 {
		return nil, errors.Join(errors.New("relayslope: the log holds no messages"), l.Close())
	}
	if s.Disk, err = diskUsage(j.Dir); err != nil {
		return nil, errors.Join(err, l.Close())
	}
	// Attempts and their outcomes fill the log until it is compacted. The held messages stay as they are.
	files.tmpBytes.Store(0)
	files.renamed.Store(false)
	for at := time.Now(); !files.renamed.Load(); {
		var sends []wal.Send
		for i := range min(250, s.Held) {
			m := found.Messages[i]
			sends = append(sends, wal.Send{Message: m, Attempt: wal.Attempt{N: m.Attempts, Host: "s-00000000", At: at}})
		}
		if err := l.RecordSends(sends...); err != nil {
			return nil, errors.Join(fmt.Errorf("relayslope: %w", err), l.Close())
		}
		for _, x := range sends {
			l.NeverRan(x.Message, x.Attempt.N)
		}
	}
	s.Compact = files.tmpBytes.Load()
	return s, l.Close()
}

// countingFS counts the bytes written to temporary files, which a compaction renames over the log's files.
type countingFS struct {
	disk.FS
	tmpBytes atomic.Int64 // bytes written to temporary files
	renamed  atomic.Bool
}

// Open opens a file and counts what is written to it if it is one of a compaction's temporary files.
func (c *countingFS) Open(name string) (disk.File, error) {
	f, err := c.FS.Open(name)
	if filepath.Ext(name) == ".tmp" && err == nil {
		f = countingFile{f, c}
	}
	return f, err
}

func (c *countingFS) Rename(from, to string) error {
	c.renamed.Store(true)
	return c.FS.Rename(from, to)
}

type countingFile struct {
	disk.File
	fs *countingFS
}

func (f countingFile) WriteAt(p []byte, off int64) (int, error) {
	n, err := f.File.WriteAt(p, off)
	f.fs.tmpBytes.Add(int64(n))
	return n, err
}

// diskUsage returns the disk space allocated to the files of a folder, in bytes.
func diskUsage(dir string) (n int64, err error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return 0, fmt.Errorf("relayslope: %w", err)
	}
	for _, e := range entries {
		info, err := e.Info()
		if err != nil {
			return 0, fmt.Errorf("relayslope: %w", err)
		}
		if st, ok := info.Sys().(*syscall.Stat_t); ok && info.Mode().IsRegular() {
			n += st.Blocks * 512
		}
	}
	return n, nil
}

// measureLog measures a log that holds the given number of messages.
func measureLog(ctx context.Context, held int, env scale.Env, segments bool) (map[string]float64, error) {
	j := &logJob{Dir: filepath.Join(env.Dir, "log"), Segments: segments}
	if err := os.Mkdir(j.Dir, 0o700); err != nil {
		return nil, fmt.Errorf("relayslope: %w", err)
	}
	// The limit barely fits the held messages, so that the log is compacted soon after more is written.
	j.Limit = 1<<20 + int64(held)*2500
	if err := writeLog(j.options(), held, func(i int) (class, dest int) { return 1, i % 2000 }); err != nil {
		return nil, err
	}
	c, err := startChild(ctx, env.Dir, job{Log: j})
	if err != nil {
		return nil, err
	}
	if err := c.kill(); err != nil {
		return nil, err
	}
	s := c.initial.Log
	if s == nil || s.Held != held {
		return nil, fmt.Errorf("relayslope: the log should hold %d messages: %+v", held, s)
	}
	return map[string]float64{
		"heap_bytes": float64(s.Heap), "disk_bytes": float64(s.Disk), "open_cpu_ms": millis(s.OpenCPU),
		"open_ms": millis(s.OpenWall), "compact_bytes": float64(s.Compact),
	}, nil
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
