package duty

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"sync"

	"onyxroad.dev/onyxroad/internal/disk"
)

const (
	fenceFile = "epochs.json"
	// MaxFencedDuties is the number of duties whose epochs a Fence stores.
	MaxFencedDuties = 64
)

// ErrFenced refuses an effect whose epoch is older than one already seen. Its text is sent to the process that requested
// the effect.
var ErrFenced = errors.New("an order with a newer epoch has come already")

// Fence stores the highest epoch of each duty at a receiver of effects, in a file that survives restarts. Its methods
// may be called from any goroutine.
type Fence struct {
	dir string

	mu     sync.Mutex
	epochs map[string]uint64
}

// OpenFence reads the epochs stored in dir; if dir is empty, nothing is stored. An unreadable file is an error: without
// the epochs, effects of a former holder would be accepted.
func OpenFence(dir string) (*Fence, error) {
	f := &Fence{dir: dir, epochs: map[string]uint64{}}
	if dir == "" {
		return f, nil
	}
	data, err := os.ReadFile(filepath.Join(dir, fenceFile))
	if errors.Is(err, fs.ErrNotExist) {
		return f, nil
	}
	if err == nil {
		err = json.Unmarshal(data, &f.epochs)
	}
	if err != nil {
		return nil, fmt.Errorf("duty: fence: %w", err)
	}
	return f, nil
}

// Admit decides whether an effect with this epoch may be accepted. Before it returns nil, the epoch is on disk, so that
// older epochs are refused from then on. It returns ErrFenced for an older epoch; on any other error the epoch could not
// be stored and the effect must not be accepted.
func (f *Fence) Admit(duty string, epoch uint64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	seen, known := f.epochs[duty]
	switch {
	case epoch < seen:
		return fmt.Errorf("%w: %s has %d, this is %d", ErrFenced, duty, seen, epoch)
	case epoch == seen:
		return nil
	case !known && len(f.epochs) >= MaxFencedDuties:
		return fmt.Errorf("duty: fence: epochs of %d duties are kept, %s is one more", MaxFencedDuties, duty)
	}
	f.epochs[duty] = epoch
	if err := f.save(); err != nil {
		f.epochs[duty] = seen
		if !known {
			delete(f.epochs, duty)
		}
		return fmt.Errorf("duty: fence: %w", err)
	}
	return nil
}

// HighestEpoch returns the highest epoch seen for a duty.
func (f *Fence) HighestEpoch(duty string) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.epochs[duty]
}

func (f *Fence) save() error {
	if f.dir == "" {
		return nil
	}
	data, err := json.Marshal(f.epochs)
	if err != nil {
		return err
	}
	return disk.Replace(disk.Dir(f.dir), fenceFile, data)
}
