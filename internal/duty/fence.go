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
	// MaxFencedDuties bounds the duties that a Fence keeps epochs of.
	MaxFencedDuties = 64
)

// ErrFenced refuses an effect whose epoch is older than one that was seen.
var ErrFenced = errors.New("an order with a newer epoch has come already")

// Fence is what a receiver of effects keeps: the highest epoch of each duty. It outlasts the process, in a file of the folder
// that it is given. Its methods may be called from any goroutine.
type Fence struct {
	dir string

	mu     sync.Mutex
	epochs map[string]uint64
}

// OpenFence reads what an earlier process has kept in dir; with no dir it keeps nothing beyond the process. A file that can't
// be read is an error: without it an old holder's orders would be taken.
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

// Admit tells whether an effect of a duty's holder may be taken, and from then on none with an older epoch is: that it was seen
// is on disk first. ErrFenced: an older one. Anything else: it could not be kept, and the effect must not be taken.
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

// HighestEpoch is the highest epoch of a duty that came here.
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
