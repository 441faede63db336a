package load

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"onyxroad.dev/onyxroad/internal/testbed/network"
)

const (
	crowdedEvery = 4 // of so many relays one is crowded
	crowdPause   = 200 * time.Millisecond
	crowdSalt    = 0x6372_6f77
)

// RunCrowd has idle clients hold connections at some of the relays until ctx ends. One that its relay closes comes again.
func (l *Load) RunCrowd(ctx context.Context, offset time.Duration) {
	rng := rand.New(rand.NewPCG(l.plan.Seed, crowdSalt))
	connections := int(l.plan.Experiment.Load.IdleConnections.Draw(rng))
	if connections == 0 || network.Sleep(ctx, offset-l.book.Now()) != nil {
		return
	}
	for relay := range l.plan.Relays {
		if relay%crowdedEvery != 0 {
			continue
		}
		for range connections {
			l.work.Go(func() { l.idle(ctx, relay) })
		}
	}
}

// idle is a client that connects and says nothing.
func (l *Load) idle(ctx context.Context, relay int) {
	for network.Sleep(ctx, crowdPause) == nil {
		if !l.alive(relay) {
			continue
		}
		c, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp4", l.addr(relay))
		if err != nil {
			continue
		}
		stop := context.AfterFunc(ctx, func() { c.Close() })
		c.Read(make([]byte, 1)) // until it is closed
		stop()
		c.Close()
	}
}
