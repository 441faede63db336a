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

// StewardCluster runs the stewards that a fleet of relays uses, without workers or receivers.
type StewardCluster struct{ f *fleet }

// StartStewards starts n stewards, with ports numbered from base, and waits until they have formed one cluster.
func StartStewards(ctx context.Context, n int, program, dir string, base int, start *process.Starter) (*StewardCluster, error) {
	f := &fleet{dir: filepath.Join(dir, "stewards"), basePort: base, programs: Programs{Steward: program}, starter: start}
	b := &StewardCluster{f}
	if err := f.startAll(ctx, n, 0, 0, false); err != nil {
		b.Close()
		return nil, err
	}
	return b, nil
}

// Addresses returns the API addresses of the stewards, as relays see them.
func (b *StewardCluster) Addresses() []string { return b.f.stewardAddrs() }

// Outage kills all stewards, waits for d and starts them again.
func (b *StewardCluster) Outage(ctx context.Context, d time.Duration) error {
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
	return b.f.forEach(b.f.stewards, func(n *node) error {
		n.mu.Lock()
		defer n.mu.Unlock()
		return b.f.startSteward(n)
	})
}

// Close stops all stewards.
func (b *StewardCluster) Close() { b.f.stopAll() }
