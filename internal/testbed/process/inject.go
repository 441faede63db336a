package process

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"

	"onyxroad.dev/onyxroad/internal/testbed/network"
	"onyxroad.dev/onyxroad/internal/testbed/plan"
)

// faults is what is injected into a relay at a moment: into the process that runs, and into the next one from its first call on.
type faults struct {
	mu   sync.Mutex
	wall int // seconds by which the wall clock is off
	now  []string
}

func (f *Fleet) faultsPath(r int) string {
	return filepath.Join(f.dir, f.plan.Relays[r].Name, "faults")
}

// inject has a relay's calls fail for a time, or its wall clock step for good.
func (f *Fleet) inject(r int, x *plan.Fault) error {
	of := &f.relays[r].faults
	of.mu.Lock()
	if x.Kind == "wall-step" {
		step, err := strconv.Atoi(strings.TrimPrefix(x.Rules[0], "wall "))
		if err != nil {
			of.mu.Unlock()
			return fmt.Errorf("process: %w", err)
		}
		of.wall += step
	} else {
		of.now = append(of.now, x.Rules...)
	}
	err := f.writeFaults(r)
	of.mu.Unlock()
	if err != nil || x.Kind == "wall-step" {
		return err
	}
	network.Sleep(f.ctx, x.For)
	of.mu.Lock()
	defer of.mu.Unlock()
	for _, rule := range x.Rules {
		for i := range of.now {
			if of.now[i] == rule {
				of.now = append(of.now[:i], of.now[i+1:]...)
				break
			}
		}
	}
	return f.writeFaults(r)
}

// writeFaults writes what is injected into a relay now; with its faults held.
func (f *Fleet) writeFaults(r int) error {
	of := &f.relays[r].faults
	path := f.faultsPath(r)
	text := fmt.Sprintf("wall %d\n%s\n", of.wall, strings.Join(of.now, "\n"))
	if err := os.WriteFile(path+".new", []byte(text), 0o600); err != nil {
		return fmt.Errorf("process: faults: %w", err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		return fmt.Errorf("process: faults: %w", err)
	}
	return nil
}
