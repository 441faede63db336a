package duties

import (
	"context"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"onyxroad.dev/onyxroad/internal/testbed/network"
	"onyxroad.dev/onyxroad/internal/testbed/process"
)

// Beside is the stewards of a fleet of relays.
type Beside struct{ f *fleet }

// StartBeside starts so many stewards, whose ports count from base, and waits until they are one cluster.
func StartBeside(ctx context.Context, n int, program, dir string, base int, start *process.Starter) (*Beside, error) {
	f := &fleet{dir: filepath.Join(dir, "stewards"), base: base, programs: Programs{Steward: program}, start: start}
	b := &Beside{f}
	if err := f.up(ctx, n, 0, 0, false); err != nil {
		b.Close()
		return nil, err
	}
	return b, nil
}

// APIs are where relays find them.
func (b *Beside) APIs() []string { return b.f.apis() }

// Down has all of them gone for a time.
func (b *Beside) Down(ctx context.Context, d time.Duration) error {
	var all sync.WaitGroup
	for _, s := range b.f.stewards {
		all.Go(func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			b.f.stop(s, syscall.SIGKILL)
		})
	}
	all.Wait()
	if network.Sleep(ctx, d) != nil {
		return nil
	}
	return b.f.each(b.f.stewards, func(n *node) error {
		n.mu.Lock()
		defer n.mu.Unlock()
		return b.f.startSteward(n)
	})
}

// Close ends them.
func (b *Beside) Close() { b.f.down() }
