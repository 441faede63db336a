package process

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sys/unix"

	"onyxroad.dev/onyxroad/internal/testbed/ledger"
	"onyxroad.dev/onyxroad/internal/testbed/network"
)

const (
	sampleInterval      = 500 * time.Millisecond
	diskBlock           = 512
	clockTicksPerSecond = 100 // USER_HZ, the unit of processor time in /proc
)

// sampleResources records the memory, sockets, disk space and processor time of every process periodically.
func (f *Fleet) sampleResources() {
	for network.Sleep(f.ctx, sampleInterval) == nil {
		for r, x := range f.relays {
			f.mu.Lock()
			running := append([]*process(nil), x.running...)
			f.mu.Unlock()
			disk := diskMB(filepath.Join(f.dir, f.plan.Relays[r].Name, "state"))
			for _, p := range running {
				s := ledger.Sample{Relay: r, PID: p.record.PID, At: f.ledger.Now(), DiskMB: disk}
				s.MemoryMB, s.CPU = memoryMB(s.PID), CPUTime(s.PID)
				if fds, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", s.PID)); err == nil {
					s.Sockets = len(fds)
				}
				if s.MemoryMB > 0 {
					f.ledger.Add(s)
				}
			}
		}
	}
}

// memoryMB returns the anonymous and shared memory of a process. File-backed pages, such as the program's text, don't count.
func memoryMB(pid int) float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	kb := 0.0
	for line := range strings.Lines(string(data)) {
		name, value, _ := strings.Cut(line, ":")
		if name == "RssAnon" || name == "RssShmem" {
			x, _ := strconv.ParseFloat(strings.TrimSuffix(strings.TrimSpace(value), " kB"), 64)
			kb += x
		}
	}
	return kb / 1024
}

// CPUTime returns the user and system time that a process has used; 0 if it cannot be read.
func CPUTime(pid int) time.Duration {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(data), ") ") // the process name before it may contain spaces
	fields := strings.Fields(rest)
	if len(fields) < 13 {
		return 0
	}
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	return time.Duration(user+system) * time.Second / clockTicksPerSecond
}

// diskMB returns the size of the files of a folder, each rounded up to whole blocks.
func diskMB(dir string) float64 {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return 0
	}
	sum := int64(0)
	for _, e := range entries {
		if info, err := e.Info(); err == nil && info.Mode().IsRegular() {
			sum += (info.Size() + diskBlock - 1) / diskBlock * diskBlock
		}
	}
	return float64(sum) / (1 << 20)
}

// starve pins relay r to one core for d, together with a process that keeps that core busy.
func (f *Fleet) starve(r int, d time.Duration) error {
	p := f.newest(r)
	if p == nil {
		return nil
	}
	var allCPUs, oneCPU unix.CPUSet
	if err := unix.SchedGetaffinity(p.record.PID, &allCPUs); err != nil {
		return fmt.Errorf("process: get CPU affinity: %w", err)
	}
	n := 0
	for cpu := range 1024 {
		if allCPUs.IsSet(cpu) {
			if n == r%allCPUs.Count() {
				oneCPU.Set(cpu)
			}
			n++
		}
	}
	self, err := os.Executable()
	if err != nil {
		return fmt.Errorf("process: %w", err)
	}
	burner := exec.Command(self, "burn", "--for", d.String())
	if err := f.starter.Start(burner); err != nil {
		return fmt.Errorf("process: start CPU burner: %w", err)
	}
	f.mu.Lock()
	f.burners = append(f.burners, burner)
	f.mu.Unlock()
	defer burner.Wait()
	if err := setAffinity(burner.Process.Pid, &oneCPU); err != nil {
		return err
	}
	if err := setAffinity(p.record.PID, &oneCPU); err != nil {
		return err
	}
	network.Sleep(f.ctx, d)
	burner.Process.Kill()
	return setAffinity(p.record.PID, &allCPUs)
}

// setAffinity sets the CPU affinity of every thread of a process.
func setAffinity(pid int, set *unix.CPUSet) error {
	threads, err := os.ReadDir(fmt.Sprintf("/proc/%d/task", pid))
	if err != nil {
		return nil // the process has exited
	}
	for _, t := range threads {
		tid, _ := strconv.Atoi(t.Name())
		if err := unix.SchedSetaffinity(tid, set); err != nil && err != unix.ESRCH {
			return fmt.Errorf("process: set CPU affinity: %w", err)
		}
	}
	return nil
}
