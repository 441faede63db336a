package relay

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"onyxroad.dev/onyxroad/internal/disk"
	"onyxroad.dev/onyxroad/policy"
)

func TestRevokedCallIsNotSentOnIdleConnection(t *testing.T) {
	addr, requests := rawHost(t, func(_ int, conn net.Conn, _ *http.Request) bool {
		fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		return true
	})
	h := newTestHostClient(t, testConfig())
	h.do(t.Context(), newCall(addr, "a"), alwaysAllowed)
	ended, late := newCall(addr, "ended"), newCall(addr, "late", "in time")
	ended.revoke()
	late.attempts[0].deadline = time.Now()
	for _, c := range []*call{ended, late} {
		if r := h.do(t.Context(), c, alwaysAllowed); r[0].outcome != policy.NotRun {
			t.Errorf("%s: outcome %v", c.attempts[0].m.Trace, r[0].outcome)
		}
	}
	if n := requests.Load(); n != 1 {
		t.Errorf("the host saw %d requests", n)
	}
	left := newCall(addr, "left")
	if h.do(t.Context(), left, alwaysAllowed); left.revoke() {
		t.Error("a call was revoked after it was sent")
	}
}

// newConnectingRelay returns a relay with one endpoint that takes several messages per call. Its connections are
// established only once up is closed.
func newConnectingRelay(t *testing.T) (r *Relay, up chan struct{}, sent func(id string) bool) {
	var mu sync.Mutex
	bodies := ""
	s := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, req *http.Request) {
		body, _ := io.ReadAll(req.Body)
		mu.Lock()
		defer mu.Unlock()
		bodies += req.Header.Get("X-Trace-Id") + string(body)
	}))
	t.Cleanup(s.Close)
	r = newTestRelayOn(t, func(string) disk.FS { return nil }, func(c *Config) {
		entry, _ := json.Marshal(map[string]any{"id": "s-1", "addr": addrOf(s), "zone": "a", "kind": "platform", "cell": 7,
			"state": "ready", "weight": 500})
		c.Known.Entries = []json.RawMessage{entry}
	})
	up = make(chan struct{})
	t.Cleanup(func() { // before the relay's own cleanup, which waits for its calls
		select {
		case <-up:
		default:
			close(up)
		}
	})
	dial := r.hosts.dial
	r.hosts.dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
		<-up
		return dial(ctx, network, addr)
	}
	return r, up, func(id string) bool {
		mu.Lock()
		defer mu.Unlock()
		return strings.Contains(bodies, id)
	}
}

// A call that waited for its connection was sent to where its endpoint had been when the call was decided, though the list
// had moved it meanwhile: to another building, so that a repeat would not be dropped, or for another destination.
func TestCallToEndpointThatMovesDuringConnectIsNotSent(t *testing.T) {
	for name, change := range map[string]map[string]any{
		"other zone":        {"zone": "b"},
		"other destination": {"cell": 8},
		"other address":     {"addr": "127.0.0.1:1"},
	} {
		t.Run(name, func(t *testing.T) {
			r, up, sent := newConnectingRelay(t)
			stepSubmissions(r, newSubmission("first", 7, 5*time.Second))
			var c *call
			for c = range r.inFlight {
			}
			entry := map[string]any{"id": "s-1", "addr": c.addr, "zone": "a", "kind": "platform", "cell": 7, "state": "ready", "weight": 500}
			maps.Copy(entry, change)
			r.step([]any{List{Version: 2, Entries: []json.RawMessage{entryJSON(entry)}}})
			close(up)
			for ended := false; !ended; {
				_, ended = r.stepNext().(*callFinished)
			}
			if c.state.Load() == callWriting || name != "other zone" && sent("first") {
				t.Error("the call was sent as it had been decided")
			}
		})
	}
}

func TestMessageEndedDuringConnectIsNotSent(t *testing.T) {
	for name, end := range map[string]func(r *Relay, a *attempt){
		"refused":     func(r *Relay, a *attempt) { r.execute([]policy.Action{{Kind: policy.Refuse, ID: a.m.ID}}, nil) },
		"client left": func(r *Relay, a *attempt) { r.step([]any{withdrawal{a.m.ID}}) },
		"timed out":   func(r *Relay, a *attempt) { r.step([]any{attemptTimeout{a}}) },
	} {
		t.Run(name, func(t *testing.T) {
			r, up, sent := newConnectingRelay(t)
			stepSubmissions(r, newSubmission("first", 7, 5*time.Second), newSubmission("second", 7, 5*time.Second))
			var c *call
			for c = range r.inFlight {
			}
			if c == nil || len(c.attempts) != 2 {
				t.Fatalf("%d calls, %d held, call %+v", len(r.inFlight), r.held, c)
			}
			a := c.attempts[0]
			end(r, a)
			if name != "timed out" && a.m.outstanding != 1 {
				t.Errorf("%d attempts out", a.m.outstanding)
			}
			if c.state.Load() != callRevoked {
				t.Error("its call may still be sent")
			}
			close(up)
			for ended := false; !ended; {
				_, ended = r.stepNext().(*callFinished)
			}
			stepUntil(t, r, "the rest of the call is sent again", func() bool { return r.callsOut == 0 })
			if id := a.m.Trace; name != "timed out" && sent(id) {
				t.Errorf("%s was sent after its end", id)
			}
		})
	}
}
