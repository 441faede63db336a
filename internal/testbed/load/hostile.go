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

// hostileFor is how long a hostile peer stays: longer than it is owed an error or a close in.
const hostileFor = 5 * time.Second

// RunHostile has the hostile peers come, each when it is planned.
func (l *Load) RunHostile(ctx context.Context, offset time.Duration) {
	for i := range l.plan.HostilePeers {
		if network.Sleep(ctx, offset+l.plan.HostilePeers[i].At-l.book.Now()) != nil {
			return
		}
		l.work.Go(func() { l.hostile(ctx, &l.plan.HostilePeers[i]) })
	}
}

// hostile is one peer that makes no proper request. It is owed an error or a close.
func (l *Load) hostile(ctx context.Context, h *plan.HostilePeer) {
	rec := ledger.Peer{Relay: h.Relay, Way: h.Way, At: l.book.Now(), Ended: ledger.Never}
	c, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp4", l.addr(h.Relay))
	if err != nil {
		return // its relay is not there
	}
	defer c.Close()
	defer context.AfterFunc(ctx, func() { c.Close() })()
	c.SetDeadline(time.Now().Add(hostileFor))
	go l.misbehave(ctx, c, h)
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	switch {
	case err == nil:
		rec.Status = res.StatusCode
		if res.StatusCode >= 400 {
			rec.Ended = l.book.Now()
		}
	case ctx.Err() != nil:
		return
	default:
		if e, ok := err.(net.Error); !ok || !e.Timeout() {
			rec.Ended = l.book.Now()
		}
	}
	rec.Excuse = !l.alive(h.Relay)
	l.book.Add(rec)
}

// misbehave says what the peer says. Nothing of it is a request that may be taken on.
func (l *Load) misbehave(ctx context.Context, c net.Conn, h *plan.HostilePeer) {
	rng := rand.New(rand.NewPCG(h.Draw, 0x686f7374))
	class := l.plan.Classes[rng.IntN(len(l.plan.Classes))].Name
	head := fmt.Sprintf("POST /%s HTTP/1.1\r\nHost: x\r\nX-Trace-Id: %016x\r\nX-Qos: %s\r\nX-Customer: %s\r\nX-Expires-In-Ms: 900\r\nIdempotency-Key: k\r\n",
		class, rng.Uint64(), class, l.plan.Experiment.Load.Customers[0].Name)
	dest := fmt.Sprintf("Envelope: dest=%d\r\n", l.plan.Partners[0].ID)
	noise := make([]byte, 200)
	for i := range noise {
		noise[i] = byte(rng.UintN(256))
	}
	switch h.Way {
	case 0: // says nothing
	case 1: // half a head
		c.Write([]byte(head[:20+rng.IntN(len(head)-20)]))
	case 2: // noise
		c.Write(append(noise, "\r\n\r\n"...))
	case 3: // no destination
		c.Write([]byte(head + "Content-Length: 0\r\n\r\n"))
	case 4: // a body that does not come
		c.Write([]byte(head + dest + "Content-Length: 300\r\n\r\nabc"))
	case 5: // a head without end
		c.Write([]byte(head))
		for ctx.Err() == nil {
			if _, err := fmt.Fprintf(c, "X-%d: %x\r\n", rng.IntN(1000), noise); err != nil {
				return
			}
		}
	case 6: // two lengths
		c.Write([]byte(head + dest + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"))
	case 7: // a byte now and then
		for _, b := range []byte(head) {
			if _, err := c.Write([]byte{b}); err != nil || network.Sleep(ctx, 100*time.Millisecond) != nil {
				return
			}
		}
	}
}
