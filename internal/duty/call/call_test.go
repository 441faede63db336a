package call

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
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
