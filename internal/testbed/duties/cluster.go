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

// StewardCluster is the stewards of a fleet of relays.
type StewardCluster struct{ f *fleet }

// StartStewards starts so many stewards, whose ports count from base, and waits until they are one cluster.
func StartStewards(ctx context.Context, n int, program, dir string, base int, start *process.Starter) (*StewardCluster, error) {
	f := &fleet{dir: filepath.Join(dir, "stewards"), basePort: base, programs: Programs{Steward: program}, starter: start}
	b := &StewardCluster{f}
	if err := f.startAll(ctx, n, 0, 0, false); err != nil {
		b.Close()
		return nil, err
	}
	return b, nil
}

// Addresses are where relays find them.
func (b *StewardCluster) Addresses() []string { return b.f.stewardAddrs() }

// Outage has all of them gone for a time.
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

// Close ends them.
func (b *StewardCluster) Close() { b.f.stopAll() }
