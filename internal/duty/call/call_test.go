package call

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// countingListener counts the bytes of its connections at the server's side.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{c, l.bytes}, nil
}

func TestBytesMatchWhatTheStewardSees(t *testing.T) {
	var seen atomic.Int64
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		w.Header().Set(HeaderEra, "1")
		w.Write([]byte(`{"held":[]}`))
	}))
	s.Listener = countingListener{s.Listener, &seen}
	s.Start()
	c := NewClient([]string{s.Listener.Addr().String()}, nil)
	for range 3 {
		var out RenewOut
		if err := c.Do(t.Context(), PathRenew, RenewIn{Holder: "n1", Held: []Held{{Duty: "d", Epoch: 7}}}, &out, 0); err != nil {
			t.Fatal(err)
		}
	}
	c.Close()
	s.Close() // returns once all connections have ended
	if c.Bytes() != seen.Load() || seen.Load() == 0 {
		t.Errorf("%d bytes counted, the steward saw %d", c.Bytes(), seen.Load())
	}
}

// A copy of the answer that extended one lease was read as the answer to the next renewal, which the steward had not made.
func TestCopyOfAnswerIsNotTheNextAnswer(t *testing.T) {
	for name, surplus := range map[string]func(answer string) []string{
		"copy":         func(answer string) []string { return []string{answer} },
		"in pieces":    func(answer string) []string { return []string{answer[:20], answer[20:]} },
		"other status": func(answer string) []string { return []string{strings.Replace(answer, "200 OK", "409 Conflict", 1)} },
		"noise":        func(string) []string { return []string{"noise\r\n"} },
	} {
		t.Run(name, func(t *testing.T) { testSurplusAfterAnswer(t, surplus) })
	}
}

// testSurplusAfterAnswer answers every other request, and sends surplus bytes once the one after it is read.
func testSurplusAfterAnswer(t *testing.T, surplus func(answer string) []string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		last := ""
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			for requests := bufio.NewReader(conn); ; {
				req, err := http.ReadRequest(requests)
				if err != nil {
					break
				}
				io.Copy(io.Discard, req.Body)
				if last != "" {
					for _, piece := range surplus(last) { // they cross with this request
						io.WriteString(conn, piece)
						time.Sleep(time.Millisecond)
					}
					conn.Close()
					last = ""
					break
				}
				const body = `{"held":[{"duty":"d","epoch":7,"ok":true}]}`
				last = fmt.Sprintf("HTTP/1.1 200 OK\r\nSteward-Era: 1\r\nSteward-Request: %s\r\nContent-Length: %d\r\n\r\n%s",
					req.Header.Get(HeaderRequest), len(body), body)
				io.WriteString(conn, last)
			}
		}
	}()
	c := NewClient(nil, nil)
	defer c.Close()
	for i := range 4 {
		var out RenewOut
		_, err := c.DoAt(t.Context(), l.Addr().String(), PathRenew, RenewIn{Holder: "n1", Held: []Held{{Duty: "d", Epoch: 7}}}, &out, 0)
		var refusal *Refusal
		if renewed := err == nil && len(out.Held) == 1 && out.Held[0].OK; renewed != (i%2 == 0) || errors.As(err, &refusal) {
			t.Errorf("request %d: renewed %v, %v", i, renewed, err)
		}
	}
}
