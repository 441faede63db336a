package relay

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"onyxroad.dev/onyxroad/internal/wal"
	"onyxroad.dev/onyxroad/policy"
)

// A host may send more than belongs to a good answer: a second copy of it, the answer of another call, or noise. Nothing of
// that may become the answer to the next call on the connection. These tests have every call but the first of a host end
// with errorAnswer, so that any other outcome comes from surplus bytes.

const errorAnswer = "HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n"

// surplusBytes are what may follow an answer. The pieces are sent one by one.
var surplusBytes = map[string][]string{
	"copy":                {okAnswer},
	"copy in pieces":      {"HTTP/1.", "1 200 OK\r\nCont", "ent-Length: 0\r\n\r\n"},
	"beginning of a copy": {"HT"},
	"never ran":           {"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"},
	"told to wait":        {"HTTP/1.1 429 Slow down\r\nRetry-After: 2\r\nContent-Length: 0\r\n\r\n"},
	"over":                {"HTTP/1.1 410 Gone\r\nContent-Length: 0\r\n\r\n"},
	"answer of a bundle":  {bundleAnswer(`[{"id":"next","state":"ok"},{"id":"another","state":"ok"}]`)},
	"informational":       {"HTTP/1.1 100 Continue\r\n\r\n"},
	"noise":               {"noise"},
	"empty line":          {"\r\n"},
}

// bundleAnswer returns a good answer to a call with several messages.
func bundleAnswer(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// surplusHost answers its first call, and passes the connection to the test.
func surplusHost(t *testing.T, firstAnswer string) (addr string, first chan net.Conn) {
	first = make(chan net.Conn, 1)
	addr, _ = rawHost(t, func(n int, conn net.Conn, _ *http.Request) bool {
		if n == 1 {
			fmt.Fprint(conn, firstAnswer)
			first <- conn
			return true
		}
		fmt.Fprint(conn, errorAnswer)
		return true
	})
	return addr, first
}

// sendPieces writes the pieces one by one, each seen by the relay's side before the next.
func sendPieces(t *testing.T, conn net.Conn, pieces []string) {
	for _, piece := range pieces {
		if _, err := fmt.Fprint(conn, piece); err != nil {
			t.Logf("the relay has closed the connection: %v", err)
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// The next call has taken the connection and waits for it to settle when the surplus bytes arrive.
func TestSurplusBytesWhileCallWaitsForConnection(t *testing.T) {
	for name, pieces := range surplusBytes {
		for _, messages := range [][]string{{"next"}, {"next", "another"}} {
			t.Run(fmt.Sprintf("%s, %d messages", name, len(messages)), func(t *testing.T) {
				addr, first := surplusHost(t, okAnswer)
				h := newTestHostClient(t, testConfig())
				h.settleTime = testTimeout
				h.do(t.Context(), newCall(addr, "a"), alwaysAllowed)
				outcomes := make(chan policy.Outcome, 1)
				go func() { outcomes <- h.do(t.Context(), newCall(addr, messages...), alwaysAllowed)[0].outcome }()
				eventually(t, "the next call waits for the connection", func() bool {
					h.mu.Lock()
					defer h.mu.Unlock()
					return h.open == 1 && len(h.idle) == 0
				})
				sendPieces(t, <-first, pieces)
				if got := <-outcomes; got != policy.Error {
					t.Errorf("outcome %v of a call that ended with an error", got)
				}
			})
		}
	}
}

// What follows the answer to a bundle is not the answer to the next call either: in one write with it, or while that waits.
func TestSurplusBytesAfterBundleAnswer(t *testing.T) {
	answer := bundleAnswer(`[{"id":"a","state":"ok"},{"id":"b","state":"later"}]`)
	for name, pieces := range surplusBytes {
		for mode, joined := range map[string]int{"in one write": 1, "while the next call waits": 0} {
			t.Run(name+", "+mode, func(t *testing.T) {
				text := answer
				if joined > 0 {
					text += pieces[0]
				}
				addr, first := surplusHost(t, text)
				h := newTestHostClient(t, testConfig())
				h.settleTime = testTimeout
				if r := h.do(t.Context(), newCall(addr, "a", "b"), alwaysAllowed); r[0].outcome != policy.OK || r[1].outcome != policy.Full {
					t.Errorf("outcomes %v and %v of the bundle", r[0].outcome, r[1].outcome)
				}
				outcomes := make(chan policy.Outcome, 1)
				go func() { outcomes <- h.do(t.Context(), newCall(addr, "next"), alwaysAllowed)[0].outcome }()
				eventually(t, "the next call has the connection, or none is kept", func() bool {
					h.mu.Lock()
					defer h.mu.Unlock()
					return len(h.idle) == 0
				})
				sendPieces(t, <-first, pieces[joined:])
				if got := <-outcomes; got != policy.Error {
					t.Errorf("outcome %v of a call that ended with an error", got)
				}
			})
		}
	}
}

// The surplus bytes arrive once the connection has settled and the next call only waits for the loop's word.
func TestSurplusBytesBeforeRequestIsWritten(t *testing.T) {
	for name, pieces := range surplusBytes {
		t.Run(name, func(t *testing.T) {
			addr, first := surplusHost(t, okAnswer)
			h := newTestHostClient(t, testConfig())
			h.settleTime = 20 * time.Millisecond
			h.do(t.Context(), newCall(addr, "a"), alwaysAllowed)
			var once sync.Once
			r := h.do(t.Context(), newCall(addr, "next"), func() bool {
				once.Do(func() { sendPieces(t, <-first, pieces) })
				return true
			})
			if r[0].outcome != policy.Error {
				t.Errorf("outcome %v of a call that ended with an error", r[0].outcome)
			}
		})
	}
}

// The surplus bytes come in one write with the answer, whole or begun, whatever the answer was.
func TestSurplusBytesInOneWriteWithTheAnswer(t *testing.T) {
	for _, answer := range []struct {
		text    string
		outcome policy.Outcome
	}{
		{okAnswer, policy.OK},
		{"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody", policy.OK},
		{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", policy.OK},
		{errorAnswer, policy.Error},
		{"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", policy.Full},
	} {
		for name, pieces := range surplusBytes {
			addr, first := surplusHost(t, answer.text+pieces[0])
			h := newTestHostClient(t, testConfig())
			if r := h.do(t.Context(), newCall(addr, "a"), alwaysAllowed); r[0].outcome != answer.outcome {
				t.Errorf("%q and %s: outcome %v", answer.text, name, r[0].outcome)
			}
			go sendPieces(t, <-first, pieces[1:])
			if r := h.do(t.Context(), newCall(addr, "next"), alwaysAllowed); r[0].outcome != policy.Error {
				t.Errorf("%q and %s: outcome %v of a call that ended with an error", answer.text, name, r[0].outcome)
			}
		}
	}
}

// A copy that came 0.3 to 4 ms after a 200 was taken for the answer to the next call, and that message for delivered.
func TestCopiesJustAfterAnswersDeliverNothing(t *testing.T) {
	const callers, callsOfEach = 12, 40
	var mu sync.Mutex
	succeeded := map[string]bool{} // by id, as the host answered
	addr, _ := rawHost(t, func(_ int, conn net.Conn, req *http.Request) bool {
		answer := errorAnswer
		ok := rand.IntN(2) == 0
		if ok {
			answer = okAnswer
		}
		mu.Lock()
		succeeded[req.Header.Get("X-Trace-Id")] = ok
		mu.Unlock()
		time.Sleep(time.Millisecond) // the time of a call, in which a late copy would find the next request out
		fmt.Fprint(conn, answer)
		if ok && rand.IntN(4) == 0 {
			time.AfterFunc(300*time.Microsecond+rand.N(3700*time.Microsecond), func() { fmt.Fprint(conn, okAnswer) })
		}
		return true
	})
	h := newTestHostClient(t, testConfig())
	var done sync.WaitGroup
	for caller := range callers {
		done.Go(func() {
			for i := range callsOfEach {
				id := fmt.Sprintf("%d-%d", caller, i)
				outcome := h.do(context.Background(), newCall(addr, id), alwaysAllowed)[0].outcome
				mu.Lock()
				ran, ok := succeeded[id]
				mu.Unlock()
				if outcome == policy.OK != (ran && ok) {
					t.Errorf("call %s: outcome %v, delivered %v", id, outcome, ran && ok)
				}
			}
		})
	}
	done.Wait()
}

// An answer to a bundle may bring states of other messages, and states twice. The last one counted, so that a message with an
// "ok" was sent again as one that never ran.
func TestSurplusStatesInBundleAnswer(t *testing.T) {
	const a, b = `{"id":"a","state":"ok"}`, `{"id":"b","state":"error"}`
	for body, want := range map[string][2]policy.Outcome{
		"[" + a + "," + b + "]":                                  {policy.OK, policy.Error},
		"[" + a + "," + b + "," + a + "," + b + "]":              {policy.OK, policy.Error},
		"[" + a + "," + b + `,{"id":"c","state":"later"}]`:       {policy.OK, policy.Error},
		"[" + a + "," + b + `,{"id":"a","state":"later"}]`:       {policy.Error, policy.Error},
		"[" + a + "," + b + `,{"id":"b","state":"exhausted"}]`:   {policy.OK, policy.Error},
		`[{"id":"a","state":"later"},` + a + "," + b + "]":       {policy.Error, policy.Error},
		"[" + a + "," + b + `,"noise",7,null,{"state":"later"}]`: {policy.OK, policy.Error},
		"[" + a + "," + b + "][" + a + "," + b + "]":             {policy.Error, policy.Error}, // not JSON
	} {
		results := bundleResults(newCall("", "a", "b"), result{outcome: policy.OK}, []byte(body))
		if results[0].outcome != want[0] || results[1].outcome != want[1] {
			t.Errorf("%s: outcomes %v and %v, want %v", body, results[0].outcome, results[1].outcome, want)
		}
	}
}

// Between two processes that hand over, an answer or an outcome that comes twice counts once.
func TestRepeatedHandoverFramesCountOnce(t *testing.T) {
	link := newHandoverLink(nil)
	in := &submission{m: &wal.Message{}, reply: make(chan answer, 2)}
	link.pending[1] = in
	link.resolve(forwardedAnswer{Seq: 1, ID: 7, Status: http.StatusAccepted})
	link.resolve(forwardedAnswer{Seq: 1, ID: 8, Status: http.StatusServiceUnavailable})
	if a := <-in.reply; a.status != http.StatusAccepted || in.m.ID != 7 || len(in.reply) != 0 {
		t.Errorf("answer %+v for message %d, %d more", a, in.m.ID, len(in.reply))
	}

	r := newTestRelay(t)
	r.knownDests[unlistedDest] = true
	stepSubmissions(r, newSubmission("m", unlistedDest, 5*time.Second))
	m := r.byTrace["m"]
	m.outstanding, m.MayRun = 1, []wal.Attempt{{N: 0, Host: "s-1"}}
	r.predecessorAttempts[attemptKey{m.ID, 0}] = &attempt{call: &call{route: "s-1"}, m: m}
	outcome := forwardedOutcome{ID: m.ID, N: 0, Outcome: policy.Timeout}
	if evs := r.applyForwardedOutcome(nil, outcome); len(evs) != 1 {
		t.Errorf("%d events for the outcome", len(evs))
	}
	outcome.Outcome = policy.ConnectFailed
	if evs := r.applyForwardedOutcome(nil, outcome); len(evs) != 0 || len(m.MayRun) != 1 || m.outstanding != 0 {
		t.Errorf("%d events for its copy, %d attempts that may have run, %d out", len(evs), len(m.MayRun), m.outstanding)
	}
}
