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

// injectedFaults is what is injected into a relay at a moment: into the process that runs, and into the next one from its first call on.
type injectedFaults struct {
	mu         sync.Mutex
	wallOffset int // seconds by which the wall clock is off
	rules      []string
}

func (f *Fleet) faultsPath(r int) string {
	return filepath.Join(f.dir, f.plan.Relays[r].Name, "faults")
}

// inject has a relay's calls fail for a time, or its wall clock step for good.
func (f *Fleet) inject(r int, x *plan.Fault) error {
	injected := &f.relays[r].faults
	injected.mu.Lock()
	if x.Kind == "wall-step" {
		step, err := strconv.Atoi(strings.TrimPrefix(x.Rules[0], "wall "))
		if err != nil {
			injected.mu.Unlock()
			return fmt.Errorf("process: %w", err)
		}
		injected.wallOffset += step
	} else {
		injected.rules = append(injected.rules, x.Rules...)
	}
	err := f.writeFaults(r)
	injected.mu.Unlock()
	if err != nil || x.Kind == "wall-step" {
		return err
	}
	network.Sleep(f.ctx, x.For)
	injected.mu.Lock()
	defer injected.mu.Unlock()
	for _, rule := range x.Rules {
		for i := range injected.rules {
			if injected.rules[i] == rule {
				injected.rules = append(injected.rules[:i], injected.rules[i+1:]...)
				break
			}
		}
	}
	return f.writeFaults(r)
}

// writeFaults writes what is injected into a relay now; with its faults held.
func (f *Fleet) writeFaults(r int) error {
	injected := &f.relays[r].faults
	path := f.faultsPath(r)
	text := fmt.Sprintf("wall %d\n%s\n", injected.wallOffset, strings.Join(injected.rules, "\n"))
	if err := os.WriteFile(path+".new", []byte(text), 0o600); err != nil {
		return fmt.Errorf("process: faults: %w", err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		return fmt.Errorf("process: faults: %w", err)
	}
	return nil
}
