package load

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"onyxroad.dev/onyxroad/internal/testbed/network"
)

const (
	idleRelayEvery = 4 // one relay of so many gets idle clients
	reconnectPause = 200 * time.Millisecond
	idleClientSeed = 0x6372_6f77
)

// RunIdleClients starts idle clients that hold connections to some of the relays until ctx ends. They reconnect when a
// relay closes their connection.
func (l *Load) RunIdleClients(ctx context.Context, offset time.Duration) {
	rng := rand.New(rand.NewPCG(l.plan.Seed, idleClientSeed))
	connections := int(l.plan.Experiment.Load.IdleConnections.Draw(rng))
	if connections == 0 || network.Sleep(ctx, offset-l.ledger.Now()) != nil {
		return
	}
	for relay := range l.plan.Relays {
		if relay%idleRelayEvery != 0 {
			continue
		}
		for range connections {
			l.wg.Go(func() { l.holdIdleConn(ctx, relay) })
		}
	}
}

// holdIdleConn is a client that connects and sends nothing.
func (l *Load) holdIdleConn(ctx context.Context, relay int) {
	for network.Sleep(ctx, reconnectPause) == nil {
		if !l.alive(relay) {
			continue
		}
		c, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp4", l.addr(relay))
		if err != nil {
			continue
		}
		stop := context.AfterFunc(ctx, func() { c.Close() })
		c.Read(make([]byte, 1)) // blocks until the connection is closed
		stop()
		c.Close()
	}
}
