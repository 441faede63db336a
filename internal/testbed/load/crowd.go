package load

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
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
		for i := range connections {
			text := ""
			if l.plan.Experiment.Load.SlowCrowd {
				text = l.unfinishedRequest(i)
			}
			l.wg.Go(func() { l.holdIdleConn(ctx, relay, text) })
		}
	}
}

const (
	slowBodyBytes  = 64 << 10
	slowFieldBytes = 15 << 10 // of the head of many short fields
)

// unfinishedRequest is what client i of a slow crowd sends: nothing, a request with half of its body, or one whose head has
// many short fields, whole or not. No relay may accept it.
func (l *Load) unfinishedRequest(i int) string {
	class := l.plan.Classes[0].Name
	head := fmt.Sprintf("POST /%s HTTP/1.1\r\nHost: x\r\nX-Trace-Id: slow-%d\r\nX-Qos: %s\r\nX-Customer: %s\r\nX-Expires-In-Ms: 900\r\n"+
		"Idempotency-Key: k\r\nEnvelope: dest=%d\r\nContent-Length: %d\r\n", class, i, class, l.plan.Experiment.Load.Customers[0].Name,
		l.plan.Partners[0].ID, slowBodyBytes)
	var fields strings.Builder
	for n := 0; fields.Len() < slowFieldBytes; n++ {
		fmt.Fprintf(&fields, "f%x:\r\n", n)
	}
	half := strings.Repeat("x", slowBodyBytes/2)
	return []string{"", head + "\r\n" + half, head + fields.String(), head + fields.String() + "\r\n" + half}[i%4]
}

// holdIdleConn is a client that connects, sends text, and waits until its connection is closed.
func (l *Load) holdIdleConn(ctx context.Context, relay int, text string) {
	for network.Sleep(ctx, reconnectPause) == nil {
		if !l.alive(relay) {
			continue
		}
		c, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp4", l.addr(relay))
		if err != nil {
			continue
		}
		stop := context.AfterFunc(ctx, func() { c.Close() })
		if _, err := io.WriteString(c, text); err == nil {
			io.Copy(io.Discard, c) // blocks until the connection is closed
		}
		stop()
		c.Close()
	}
}
