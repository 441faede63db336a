package fleetslope

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

// ownCPUTime returns the processor time that this process has used.
func ownCPUTime() time.Duration {
	var u unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &u); err != nil {
		panic(err) // can't fail for the process itself
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// processCPUTime returns the processor time that another process has used, in nanosecond resolution. It is the sum over the
// process's threads, which is complete because a Go program keeps its threads.
func processCPUTime(pid int) (sum time.Duration, err error) {
	threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	if err != nil || len(threads) == 0 {
		return 0, fmt.Errorf("fleetslope: process %d has ended", pid)
	}
	for _, path := range threads {
		data, err := os.ReadFile(path)
		if err != nil {
			continue // the thread has ended meanwhile
		}
		ns, err := strconv.ParseInt(strings.Fields(string(data) + " -")[0], 10, 64)
		if err != nil {
			return 0, fmt.Errorf("fleetslope: %s: %w", path, err)
		}
		sum += time.Duration(ns)
	}
	return sum, nil
}

// residentBytes returns the resident memory of a process, in bytes; "self" is this process.
func residentBytes(pid string) (float64, error) {
	data, err := os.ReadFile("/proc/" + pid + "/status")
	if err != nil {
		return 0, fmt.Errorf("fleetslope: %w", err)
	}
	for line := range strings.Lines(string(data)) {
		if value, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, err := strconv.ParseFloat(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(value), "kB")), 64)
			return kb * 1024, err
		}
	}
	return 0, fmt.Errorf("fleetslope: process %s has ended", pid)
}

// memoryUsage is the memory of this process in bytes: the heap after a garbage collection, and the resident memory after free
// memory was returned to the system.
type memoryUsage struct{ heap, resident float64 }

func ownMemoryUsage() (m memoryUsage, err error) {
	runtime.GC()
	debug.FreeOSMemory()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	m.heap = float64(s.HeapAlloc)
	m.resident, err = residentBytes("self")
	return m, err
}
