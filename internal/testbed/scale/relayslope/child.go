package relayslope

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"runtime"
	"runtime/debug"
	"strconv"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"onyxroad.dev/onyxroad/internal/relay"
)

// ChildCommand is the argument with which a program that links this package runs itself as a child: it hands what follows,
// one path, to Child.
const ChildCommand = "relay-child"

// heapShare is the part of the memory limit that the relay's own program lets its heap grow to.
const heapShare = 0.7

// job is what a child is told: to be a relay, or to open a log.
type job struct {
	Relay *relayJob
	Log   *logJob
}

// relayJob is a relay's configuration without what can't be written down: the fields that stand here hide those of the
// same name, and a hollow relay has none of them.
type relayJob struct {
	relay.Config
	Join, Membership, Disk, Duties *struct{}
	Backlog                        *backlogConfig // but for this one
}

// childState is what a child tells of itself: what it has used since it began.
type childState struct {
	CPU      time.Duration // processor time of the process
	Wall     time.Duration
	Loop     time.Duration // processor time of the relay's loop, since its thread is known
	LoopSeen bool          // it is known
	Heap     int64         // bytes that are reached, after a collection; 0 unless asked for
	Resident int64         // bytes
	Log      *logState     // of a child that opened a log
}

// The words that a child understands, a line each.
const (
	queryUsage = "usage"
	queryHeap  = "heap" // and collects what is free
)

// Child is the whole of a child process: it does the job that the file at path describes, tells that it is ready with a
// line on out, and answers every line that comes in. It ends with in, or with ctx.
func Child(ctx context.Context, path string, in io.Reader, out io.Writer) error {
	began, spent := time.Now(), processCPUTime()
	data, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("relayslope: %w", err)
	}
	var j job
	if err := json.Unmarshal(data, &j); err != nil {
		return fmt.Errorf("relayslope: %s: %w", path, err)
	}
	enc := json.NewEncoder(out)
	if j.Log != nil {
		s, err := j.Log.run()
		if err != nil {
			return err
		}
		return enc.Encode(childState{Log: s})
	}
	if j.Relay == nil {
		return fmt.Errorf("relayslope: %s: no job", path)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	spy := &logObserver{ready: make(chan childState, 1), started: began, cpuAtStart: spent, loopThread: &atomic.Int64{}}
	cfg := j.Relay.Config
	cfg.Backlog = j.Relay.Backlog.relayBacklog(cfg.Name)
	debug.SetMemoryLimit(int64(cfg.Limits.MemoryMB * heapShare * (1 << 20)))
	runtime.GOMAXPROCS(max(1, int(cfg.Limits.Cores)))
	data, j = nil, job{} // else the list would count as the relay's
	r, err := relay.New(ctx, cfg, slog.New(spy))
	if err != nil {
		return err
	}
	cfg = relay.Config{}
	ended := make(chan error, 1)
	go func() { ended <- r.Run(ctx) }()
	select {
	case err := <-ended:
		return errors.Join(err, errors.New("relayslope: the relay ended before it served"))
	case s := <-spy.ready:
		if err := enc.Encode(s); err != nil {
			return err
		}
	}
	lines := bufio.NewScanner(in)
	for lines.Scan() {
		s := spy.state()
		if lines.Text() == queryHeap {
			s.Heap = heapInUse()
		}
		if err := enc.Encode(s); err != nil {
			return err
		}
	}
	cancel()
	return errors.Join(lines.Err(), <-ended)
}

// heapInUse collects what is free and tells the bytes that are left.
func heapInUse() int64 {
	runtime.GC()
	runtime.GC() // what has a finalizer goes with the second
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// logObserver reads from a relay's log what it does not tell otherwise: when it serves, and which thread its loop is on.
type logObserver struct {
	ready chan childState
	started time.Time
	cpuAtStart time.Duration // of processor time when it began
	loopThread  *atomic.Int64 // the number of the loop's thread; 0: not known
}

// The relay's own words. The loop says loopMessage itself, when it is told of an entry that it can't read.
const (
	servingMessage = "serving"
	loopMessage    = "unreadable entry of the list"
)

func (s *logObserver) Enabled(context.Context, slog.Level) bool { return true }
func (s *logObserver) WithAttrs([]slog.Attr) slog.Handler       { return s }
func (s *logObserver) WithGroup(string) slog.Handler            { return s }

// Handle is called by the goroutine that logs.
func (s *logObserver) Handle(_ context.Context, r slog.Record) error {
	switch r.Message {
	case servingMessage:
		select {
		case s.ready <- s.state():
		default:
		}
	case loopMessage:
		if s.loopThread.Load() == 0 {
			runtime.LockOSThread() // for good: nothing else runs on the loop's thread from here on
			s.loopThread.Store(int64(unix.Gettid()))
		}
	}
	return nil
}

func (s *logObserver) state() childState {
	x := childState{CPU: processCPUTime() - s.cpuAtStart, Wall: time.Since(s.started), Resident: residentMemory()}
	if tid := s.loopThread.Load(); tid != 0 {
		x.Loop, x.LoopSeen = threadCPUTime(tid), true
	}
	return x
}

// processCPUTime is the processor time that this process has used.
func processCPUTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_PROCESS_CPUTIME_ID, &t); err != nil {
		return 0 // it can't fail on Linux
	}
	return time.Duration(t.Nano())
}

// threadCPUTime is the processor time that a thread of this process has used.
func threadCPUTime(tid int64) time.Duration {
	data, _ := os.ReadFile(fmt.Sprintf("/proc/self/task/%d/schedstat", tid))
	first, _, _ := bytes.Cut(data, []byte(" "))
	n, _ := strconv.ParseInt(string(first), 10, 64)
	return time.Duration(n)
}

// residentMemory is the memory of this process that is in use, in bytes.
func residentMemory() int64 {
	data, _ := os.ReadFile("/proc/self/statm")
	fields := bytes.Fields(data)
	if len(fields) < 2 {
		return 0
	}
	n, _ := strconv.ParseInt(string(fields[1]), 10, 64)
	return n * int64(os.Getpagesize())
}
