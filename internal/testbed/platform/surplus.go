package platform

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"onyxroad.dev/onyxroad/internal/testbed/network"
)

const (
	minSurplusDelay = 300 * time.Microsecond // after the answer
	maxSurplusDelay = 4 * time.Millisecond
)

// surplus is what follows an answer on its connection without belonging to it.
type surplus struct {
	joined string   // in one write with the answer
	pieces []string // after that, one by one
}

// drawSurplus draws a second copy of an answer, another answer, or noise: in one write with the answer, after it, or both.
func drawSurplus(answer string) (s surplus) {
	text := []string{
		answer, answer, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 410 Gone\r\nContent-Length: 0\r\n\r\n", "noise",
	}[rand.IntN(6)]
	cut := 1 + rand.IntN(len(text)-1)
	switch rand.IntN(5) {
	case 0:
		return surplus{joined: text}
	case 1:
		return surplus{joined: text[:cut], pieces: []string{text[cut:]}}
	case 2:
		return surplus{pieces: []string{text[:cut], text[cut:]}}
	}
	return surplus{pieces: []string{text}}
}

// send sends the pieces in the background, each only while no request is out on the connection.
func (s surplus) send(x *Platform, c net.Conn, quiet func() bool) {
	if len(s.pieces) == 0 {
		return
	}
	x.wg.Go(func() {
		for _, piece := range s.pieces {
			if network.Sleep(x.ctx, minSurplusDelay+rand.N(maxSurplusDelay-minSurplusDelay)) != nil || !quiet() {
				return
			}
			if _, err := io.WriteString(c, piece); err != nil {
				return // the relay has closed the connection
			}
		}
	})
}

// idleConns tracks which connections of an HTTP server have no request out.
type idleConns struct{ idle sync.Map }

func (t *idleConns) setState(c net.Conn, state http.ConnState) {
	if state == http.StateIdle {
		t.idle.Store(c, true)
	} else {
		t.idle.Delete(c)
	}
}

func (t *idleConns) isIdle(c net.Conn) bool {
	_, ok := t.idle.Load(c)
	return ok
}

// connKey is the context key of the connection of an HTTP request.
type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// addSurplus has a copy of an answer follow it, for a share of the requests to an agent.
func (a *agent) addSurplus(req *http.Request, answer string) {
	a.mu.Lock()
	share := a.surplusShare
	a.mu.Unlock()
	if share == 0 || rand.Float64() >= share {
		return
	}
	c := req.Context().Value(connKey{}).(net.Conn)
	surplus{pieces: []string{answer}}.send(a.platform, c, func() bool { return a.conns.isIdle(c) })
}

// updateAgentSurplus sets the share of the answers of each agent that are followed by a copy.
func (x *Platform) updateAgentSurplus() {
	x.mu.Lock()
	defer x.mu.Unlock()
	shares := make([]float64, len(x.agents))
	for _, f := range x.activeFaults {
		if f.Kind != "surplus" {
			continue
		}
		for _, r := range f.Relays {
			shares[r] = max(shares[r], f.Size)
		}
	}
	for r, a := range x.agents {
		a.mu.Lock()
		a.surplusShare = shares[r]
		a.mu.Unlock()
	}
}
