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

// injectedFaults are the faults in effect for a relay. They apply to the running process, and to the next one from its
// first call on.
type injectedFaults struct {
	mu         sync.Mutex
	wallOffset int // seconds by which the wall clock is off
	rules      []string
}

func (f *Fleet) faultsPath(r int) string {
	return filepath.Join(f.dir, f.plan.Relays[r].Name, "faults")
}

// inject makes system calls of relay r fail for the duration of x, or steps its wall clock permanently.
func (f *Fleet) inject(r int, x *plan.Fault) error {
	injected := &f.relays[r].faults
	injected.mu.Lock()
	if x.Kind == "wall-step" {
		step, err := strconv.Atoi(strings.TrimPrefix(x.Rules[0], "wall "))
		if err != nil {
			injected.mu.Unlock()
			return fmt.Errorf("process: parse wall-clock step: %w", err)
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

// writeFaults writes the faults file of relay r. The caller holds the mutex of its faults.
func (f *Fleet) writeFaults(r int) error {
	injected := &f.relays[r].faults
	path := f.faultsPath(r)
	text := fmt.Sprintf("wall %d\n%s\n", injected.wallOffset, strings.Join(injected.rules, "\n"))
	if err := os.WriteFile(path+".new", []byte(text), 0o600); err != nil {
		return fmt.Errorf("process: write faults file: %w", err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		return fmt.Errorf("process: write faults file: %w", err)
	}
	return nil
}
