package platform

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"onyxroad.dev/onyxroad/internal/testbed/ledger"
	"onyxroad.dev/onyxroad/internal/testbed/network"
)

const (
	bodyMost    = 64 << 10
	sendCap     = 12 // attempts for a message
	requestTime = 10 * time.Second
)

// server is the listening side of one endpoint.
type server struct {
	x     *Platform
	index int

	mu    sync.Mutex
	l     net.Listener
	conns map[net.Conn]struct{}
	full  bool // no listener, since it holds as many connections as it accepts
}

// open has the endpoint's machine come up.
func (s *server) open() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.l != nil || s.x.ctx.Err() != nil {
		return nil
	}
	s.full = false
	l, err := network.Listen(s.x.ports.base + portEndpoints + s.index)
	if err != nil {
		return err
	}
	s.l = l
	s.x.work.Go(func() {
		for {
			c, err := l.Accept()
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if err != nil {
				time.Sleep(time.Millisecond)
				continue
			}
			s.mu.Lock()
			open := s.l == l
			if open {
				s.conns[c] = struct{}{}
				s.crowd()
			}
			s.mu.Unlock()
			if !open {
				network.Reset(c)
				continue
			}
			s.x.work.Go(func() {
				s.serve(c)
				c.Close()
				s.mu.Lock()
				_, held := s.conns[c]
				delete(s.conns, c)
				full := s.full && held
				s.mu.Unlock()
				if full {
					s.open()
				}
			})
		}
	})
	return nil
}

// crowd refuses further connections while the endpoint holds as many as it accepts; with mu held.
func (s *server) crowd() {
	if most := s.x.plan.Endpoints[s.index].Conns; most > 0 && len(s.conns) >= most {
		s.l.Close()
		s.l, s.full = nil, true
	}
}

// close has it end: its connections are reset, new ones refused.
func (s *server) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.l != nil {
		s.l.Close()
		s.l = nil
	}
	s.full = false
	for c := range s.conns {
		network.Reset(c)
	}
	clear(s.conns)
}

// session is one connection of a relay to an endpoint.
type session struct {
	*server
	c     net.Conn
	r     *bufio.Reader
	relay int
	path  *network.Path
	next  chan error // the next request's first byte has come, or the connection has ended
	fresh bool
}

func (s *server) serve(c net.Conn) {
	relay := caller(c.LocalAddr())
	if relay < 0 || relay >= len(s.x.plan.Relays) {
		return
	}
	x := &session{server: s, c: c, r: bufio.NewReaderSize(c, 4096), relay: relay, path: s.x.path(pair{relay, s.index}),
		fresh: true, next: make(chan error, 1)}
	idle := time.Duration(s.x.plan.Experiment.Partners.IdleSeconds * float64(time.Second))
	x.listen(func() {})
	for {
		timer := time.NewTimer(idle)
		select {
		case err := <-x.next:
			timer.Stop()
			if err != nil {
				return
			}
		case <-timer.C:
			return
		case <-s.x.ctx.Done():
			return
		}
		if !x.exchange() {
			return
		}
		x.fresh = false
	}
}

// listen looks out for the next request, or for the relay to leave, of which it tells left.
func (x *session) listen(left func()) {
	go func() {
		_, err := x.r.Peek(1)
		if err != nil {
			left()
		}
		x.next <- err
	}()
}

// item is a message in a call.
type item struct {
	ID   string `json:"id"`
	Key  string `json:"key"`
	Body []byte `json:"body"`
}

// exchange takes one request and answers it; false if the connection is of no further use.
func (x *session) exchange() bool {
	book := x.x.book
	call := &ledger.Call{Relay: x.relay, Endpoint: x.index, FirstByte: book.Now(), LastByte: ledger.Never, Written: ledger.Never,
		Fresh: x.fresh, MayRun: false}
	x.c.SetReadDeadline(time.Now().Add(requestTime))
	req, body, err := readRequest(x.r)
	if err != nil {
		return false // it never came whole, and so never ran
	}
	x.c.SetReadDeadline(time.Time{})
	call.LastByte = book.Now()
	items, status := x.parse(req, body, call)
	free := func() {}
	if status == 0 && !call.Probe {
		free = x.takeSlot()
		defer free()
	}
	x.listen(free) // a relay that gives up a call closes its connection, and has its slot back
	switch {
	case status != 0:
		return x.write(call, status, nil, "", "") == nil
	case call.Probe:
		return x.probe(req.URL.Path, call)
	}
	call.MayRun = true
	book.Add(call)
	if !x.answer(call, items) {
		network.Reset(x.c)
		return false
	}
	return true
}

// takeSlot counts a call among those that its relay has out; the function returned ends that, once.
func (x *session) takeSlot() (free func()) {
	x.x.mu.Lock()
	x.x.slots[x.relay]++
	x.x.mu.Unlock()
	return sync.OnceFunc(func() {
		x.x.mu.Lock()
		x.x.slots[x.relay]--
		x.x.mu.Unlock()
	})
}

func readRequest(r *bufio.Reader) (*http.Request, []byte, error) {
	req, err := http.ReadRequest(r)
	if err != nil {
		return nil, nil, err
	}
	body, err := io.ReadAll(io.LimitReader(req.Body, 8*bodyMost))
	return req, body, err
}

// parse reads what a call carries. status is that of its answer if it can be none.
func (x *session) parse(req *http.Request, body []byte, call *ledger.Call) (items []item, status int) {
	e := &x.x.plan.Endpoints[x.index]
	kind := x.x.plan.Experiment.Partners.Kinds[x.x.plan.Partners[e.Partner].Kind]
	switch {
	case req.Method == http.MethodGet && (req.URL.Path == "/ping" || req.URL.Path == "/_load"):
		call.Probe = true
		return nil, 0
	case req.Method == http.MethodPost && req.URL.Path == "/events":
		items = []item{{req.Header.Get("X-Trace-Id"), req.Header.Get("Idempotency-Key"), body}}
	case req.Method == http.MethodPost && req.URL.Path == "/events/bundle" && kind.Batch > 1:
		if err := json.Unmarshal(body, &items); err != nil || len(items) == 0 {
			return nil, 400
		}
		if len(items) > kind.Batch {
			return nil, 413
		}
	default:
		return nil, 404
	}
	seen := map[string]bool{}
	for _, it := range items {
		call.Traces, call.Keys = append(call.Traces, it.ID), append(call.Keys, it.Key)
		h := x.x.book.Find(it.ID)
		what := ""
		switch {
		case h == nil:
			what = "no client handed in " + strconv.Quote(it.ID)
		case h.Key != it.Key:
			what = "another key for " + it.ID
		case x.x.plan.Arrivals[h.Message].Partner != e.Partner:
			what = "wrong destination for " + it.ID
		case string(Body(it.ID, len(it.Body))) != string(it.Body) || len(it.Body) != x.x.plan.Arrivals[h.Message].Body:
			what = "another body for " + it.ID
		}
		if what != "" {
			x.x.book.Add(ledger.Unknown{Relay: x.relay, Endpoint: x.index, At: call.LastByte, What: what})
			return nil, 400
		}
		if seen[it.ID] {
			return nil, 400
		}
		seen[it.ID] = true
	}
	return items, 0
}

// Body is the body of so many bytes that a client sends with a trace.
func Body(trace string, n int) []byte {
	b := make([]byte, n)
	for i := range b {
		b[i] = trace[i%len(trace)] ^ byte(i>>4) // any bytes, not text alone
	}
	return b
}

// cross waits until the request has reached the endpoint.
func (x *session) cross() error {
	if err := x.path.Pass(x.x.ctx, network.Out); err != nil {
		return err
	}
	if x.fresh {
		// A new connection costs its first request round trips, as a handshake would.
		trip := x.path.Conditions(network.Out).Delay + x.path.Conditions(network.Back).Delay
		return network.Sleep(x.x.ctx, time.Duration(float64(trip)*x.x.plan.Handshakes))
	}
	return nil
}

// answer has a call take its course; false if the connection is to be reset.
func (x *session) answer(call *ledger.Call, items []item) bool {
	p, book := x.x, x.x.book
	resets := x.path.Resets(network.Out)
	if resets && rand.IntN(2) == 0 {
		return false // before it could run; nobody can tell
	}
	if x.cross() != nil {
		return false
	}
	h := book.Find(items[0].ID)
	a := &p.plan.Arrivals[h.Message]
	states, left := x.over(items)
	p.mu.Lock()
	crowded := p.slots[x.relay] > p.plan.Relays[x.relay].Slots
	p.mu.Unlock()
	var v verdict
	switch {
	case crowded:
		return x.refuse(call, 503, "Slots-Taken: 1\r\n", verdict{})
	case left == 0 && len(items) == 1:
		return x.refuse(call, map[string]int{"gone": 410, "exhausted": 504}[states[0]], "", verdict{})
	default:
		v = p.partners.call(x.relay, x.index, book.Now(), a.Work, max(1, left), a.Class)
	}
	book.Do(func() { call.Outage, call.Wait, call.Work, call.Ran = v.outage, v.wait, v.work, v.run })
	if v.never {
		x.left(func() bool { return !x.hangs() })
		return false
	}
	if network.Sleep(p.ctx, v.work) != nil || resets {
		return false
	}
	switch {
	case v.status == 503 && v.wait > 0:
		return x.refuse(call, 429, fmt.Sprintf("Retry-After: %.3f\r\n", v.wait.Seconds()), v)
	case v.status == 503:
		return x.refuse(call, 503, "", v)
	}
	if !x.back() {
		return false
	}
	if garbled := p.plan.Experiment.Partners.Garbled; garbled.Hi > 0 && rand.Float64() < garbled.Hi {
		io.WriteString(x.c, "HTP/1.1 abc\r\n\r\n")
		return false
	}
	var body []byte
	if len(items) > 1 && v.status == 200 {
		body = bundleAnswer(items, states)
	}
	x.finish(items, states, v.status == 200)
	return x.write(call, v.status, body, v.report, "") == nil
}

// back waits until an answer has reached the relay; false if it never does.
func (x *session) back() bool {
	if x.path.Pass(x.x.ctx, network.Back) != nil || x.path.Resets(network.Back) {
		return false
	}
	if x.path.Silences(network.Back) {
		x.left(func() bool { return false })
		return false
	}
	return true
}

// hangs tells whether the endpoint takes calls and answers none.
func (x *session) hangs() bool {
	x.x.partners.mu.Lock()
	defer x.x.partners.mu.Unlock()
	return x.x.partners.endpoints[x.index].hang
}

// left waits until the relay has left, the trouble that over tells of is over, or the run is.
func (x *session) left(over func() bool) {
	for len(x.next) == 0 && !over() && network.Sleep(x.x.ctx, 20*time.Millisecond) == nil {
	}
}

// over tells which messages of a call are over, withdrawn or out of attempts, and counts the others' attempt.
func (x *session) over(items []item) (states []string, left int) {
	p := x.x
	now := p.book.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, it := range items {
		h := p.book.Find(it.ID)
		state := "ok"
		switch {
		case p.over[it.ID] || now > h.Deadline:
			state = "gone"
		case p.sends[it.ID] >= sendCap:
			state = "exhausted"
		default:
			p.sends[it.ID]++
			left++
		}
		states = append(states, state)
	}
	return states, left
}

// finish notes what is delivered with an answer.
func (x *session) finish(items []item, states []string, ok bool) {
	x.x.mu.Lock()
	defer x.x.mu.Unlock()
	for i, it := range items {
		if ok && states[i] == "ok" {
			x.x.over[it.ID] = true
		}
	}
}

func bundleAnswer(items []item, states []string) []byte {
	type state struct {
		ID    string `json:"id"`
		State string `json:"state"`
	}
	out := make([]state, len(items))
	for i, it := range items {
		out[i] = state{it.ID, states[i]}
	}
	data, err := json.Marshal(out)
	if err != nil {
		panic(err) // strings alone: cannot fail
	}
	return data
}

// refuse writes an answer which proves that nothing of the call has run.
func (x *session) refuse(call *ledger.Call, status int, headers string, v verdict) bool {
	return x.back() && x.write(call, status, nil, v.report, headers) == nil
}

// write writes an answer in one go and notes it.
func (x *session) write(call *ledger.Call, status int, body []byte, report, headers string) error {
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\n%s", status, http.StatusText(status), len(body), headers)
	if report != "" {
		fmt.Fprintf(&b, "Endpoint-Load-Metrics: %s\r\n", report)
	}
	b.WriteString("\r\n")
	b.Write(body)
	x.c.SetWriteDeadline(time.Now().Add(time.Second))
	at := x.x.book.Now()
	_, err := io.WriteString(x.c, b.String())
	x.x.book.Do(func() {
		if call.Status, call.Written = status, at; err != nil {
			call.Status, call.Written = 0, ledger.Never
			return
		}
		switch status {
		case 429, 503, 504, 410, 400, 404, 413:
			call.MayRun = false
		}
		if len(body) > 0 {
			call.States = bundleStates(body)
		}
	})
	return err
}

func bundleStates(body []byte) (states []string) {
	var items []struct{ State string }
	if json.Unmarshal(body, &items) == nil {
		for _, it := range items {
			states = append(states, it.State)
		}
	}
	return states
}

// probe answers GET /ping and /_load.
func (x *session) probe(path string, call *ledger.Call) bool {
	x.x.book.Add(call)
	if x.cross() != nil {
		return false
	}
	v := x.x.partners.call(x.relay, x.index, x.x.book.Now(), 10*time.Millisecond, 1, -1)
	if v.never {
		x.left(func() bool { return !x.hangs() })
		return false
	}
	if network.Sleep(x.x.ctx, v.work) != nil || !x.back() {
		return false
	}
	status := 200
	if v.status != 200 {
		status = 503
	}
	var body []byte
	if path == "/_load" {
		body = []byte(v.report)
	}
	return x.write(call, status, body, v.report, "") == nil
}
