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

// ChildCommand is the argument with which a program that uses this package runs itself as a child process. The program passes
// the argument after it, a path, to Child.
const ChildCommand = "relay-child"

// heapShare is the share of the memory limit that the Go runtime may use, as in the relay's own program.
const heapShare = 0.7

// job tells a child process what to run: a relay, or a log alone.
type job struct {
	Relay *relayJob
	Log   *logJob
}

// relayJob is a relay's configuration without the fields that can't be encoded as JSON. The fields declared here shadow those
// of relay.Config; the relay under test uses none of them except the backlog.
type relayJob struct {
	relay.Config
	Join, Membership, Disk, Duties *struct{}
	Backlog                        *backlogConfig
}

// childState is a child's report about itself: what it has used since its start.
type childState struct {
	CPU      time.Duration // processor time of the process
	Wall     time.Duration
	Loop     time.Duration // processor time of the thread of the relay's loop
	LoopSeen bool          // whether the thread is known
	Heap     int64         // bytes, after a garbage collection; 0 unless asked for
	Resident int64         // bytes
	Log      *logState     // result of a logJob
}

// Commands that a child understands, one per line.
const (
	queryUsage = "usage"
	queryHeap  = "heap" // usage with the heap's size after a garbage collection
)

// Child is the main function of a child process. It runs the job in the file at path, writes a line to out when it is ready,
// and answers every line of in with its state. It returns when in or ctx ends.
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
	data, j = nil, job{} // otherwise the decoded list would count as the relay's memory
	r, err := relay.New(ctx, cfg, slog.New(spy))
	if err != nil {
		return err
	}
	cfg = relay.Config{}
	ended := make(chan error, 1)
	go func() { ended <- r.Run(ctx) }()
	select {
	case err := <-ended:
		return errors.Join(err, errors.New("relayslope: the relay ended before it was serving"))
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

// heapInUse returns the size of the heap after a garbage collection, in bytes.
func heapInUse() int64 {
	runtime.GC()
	runtime.GC() // objects with finalizers are freed by the second collection
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// logObserver is a log handler that learns from the relay's log lines when it is serving and which thread runs its loop.
type logObserver struct {
	ready      chan childState
	started    time.Time
	cpuAtStart time.Duration // processor time used at the start
	loopThread *atomic.Int64 // thread ID of the loop; 0 if unknown
}

// Log messages of the relay. The loop's goroutine logs loopMessage when it receives an entry that it can't read.
const (
	servingMessage = "serving"
	loopMessage    = "unreadable entry of the list"
)

func (s *logObserver) Enabled(context.Context, slog.Level) bool { return true }
func (s *logObserver) WithAttrs([]slog.Attr) slog.Handler       { return s }
func (s *logObserver) WithGroup(string) slog.Handler            { return s }

// Handle implements slog.Handler. It runs on the goroutine that logs.
func (s *logObserver) Handle(_ context.Context, r slog.Record) error {
	switch r.Message {
	case servingMessage:
		select {
		case s.ready <- s.state():
		default:
		}
	case loopMessage:
		if s.loopThread.Load() == 0 {
			runtime.LockOSThread() // never unlocked: from here on the thread runs nothing but the loop
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

// processCPUTime returns the processor time that this process has used.
func processCPUTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_PROCESS_CPUTIME_ID, &t); err != nil {
		return 0 // can't fail on Linux
	}
	return time.Duration(t.Nano())
}

// threadCPUTime returns the processor time that a thread of this process has used.
func threadCPUTime(tid int64) time.Duration {
	data, _ := os.ReadFile(fmt.Sprintf("/proc/self/task/%d/schedstat", tid))
	first, _, _ := bytes.Cut(data, []byte(" "))
	n, _ := strconv.ParseInt(string(first), 10, 64)
	return time.Duration(n)
}

// residentMemory returns the resident memory of this process, in bytes.
func residentMemory() int64 {
	data, _ := os.ReadFile("/proc/self/statm")
	fields := bytes.Fields(data)
	if len(fields) < 2 {
		return 0
	}
	n, _ := strconv.ParseInt(string(fields[1]), 10, 64)
	return n * int64(os.Getpagesize())
}
