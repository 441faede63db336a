package load

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"onyxroad.dev/onyxroad/internal/testbed/ledger"
	"onyxroad.dev/onyxroad/internal/testbed/network"
	"onyxroad.dev/onyxroad/internal/testbed/plan"
)

// hostileTimeout is how long a hostile peer stays connected: longer than a relay may take to send it an error or to close
// the connection.
const hostileTimeout = 5 * time.Second

// RunHostilePeers starts each hostile peer at its planned time.
func (l *Load) RunHostilePeers(ctx context.Context, offset time.Duration) {
	for i := range l.plan.HostilePeers {
		if network.Sleep(ctx, offset+l.plan.HostilePeers[i].At-l.ledger.Now()) != nil {
			return
		}
		l.wg.Go(func() { l.runHostilePeer(ctx, &l.plan.HostilePeers[i]) })
	}
}

// runHostilePeer runs one peer that makes no valid request. The relay must answer with an error or close the connection.
func (l *Load) runHostilePeer(ctx context.Context, peer *plan.HostilePeer) {
	rec := ledger.HostilePeer{Relay: peer.Relay, Behavior: peer.Way, At: l.ledger.Now(), Rejected: ledger.Never}
	c, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp4", l.addr(peer.Relay))
	if err != nil {
		return // the relay is down
	}
	defer c.Close()
	defer context.AfterFunc(ctx, func() { c.Close() })()
	c.SetDeadline(time.Now().Add(hostileTimeout))
	go l.sendInvalid(ctx, c, peer)
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	switch {
	case err == nil:
		rec.Status = res.StatusCode
		if res.StatusCode >= 400 {
			rec.Rejected = l.ledger.Now()
		}
	case ctx.Err() != nil:
		return
	default:
		if e, ok := err.(net.Error); !ok || !e.Timeout() {
			rec.Rejected = l.ledger.Now()
		}
	}
	rec.RelayDown = !l.alive(peer.Relay)
	l.ledger.Add(rec)
}

// sendInvalid sends what the peer's behavior prescribes. None of it is a request that a relay may accept.
func (l *Load) sendInvalid(ctx context.Context, c net.Conn, peer *plan.HostilePeer) {
	rng := rand.New(rand.NewPCG(peer.Draw, 0x686f7374))
	class := l.plan.Classes[rng.IntN(len(l.plan.Classes))].Name
	header := fmt.Sprintf("POST /%s HTTP/1.1\r\nHost: x\r\nX-Trace-Id: %016x\r\nX-Qos: %s\r\nX-Customer: %s\r\nX-Expires-In-Ms: 900\r\nIdempotency-Key: k\r\n",
		class, rng.Uint64(), class, l.plan.Experiment.Load.Customers[0].Name)
	dest := fmt.Sprintf("Envelope: dest=%d\r\n", l.plan.Partners[0].ID)
	noise := make([]byte, 200)
	for i := range noise {
		noise[i] = byte(rng.UintN(256))
	}
	switch peer.Way {
	case 0: // nothing
	case 1: // a part of the header
		c.Write([]byte(header[:20+rng.IntN(len(header)-20)]))
	case 2: // random bytes
		c.Write(append(noise, "\r\n\r\n"...))
	case 3: // no destination
		c.Write([]byte(header + "Content-Length: 0\r\n\r\n"))
	case 4: // a body that does not arrive
		c.Write([]byte(header + dest + "Content-Length: 300\r\n\r\nabc"))
	case 5: // an endless header
		c.Write([]byte(header))
		for ctx.Err() == nil {
			if _, err := fmt.Fprintf(c, "X-%d: %x\r\n", rng.IntN(1000), noise); err != nil {
				return
			}
		}
	case 6: // contradictory lengths
		c.Write([]byte(header + dest + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"))
	case 7: // one byte at a time
		for _, b := range []byte(header) {
			if _, err := c.Write([]byte{b}); err != nil || network.Sleep(ctx, 100*time.Millisecond) != nil {
				return
			}
		}
	}
}
