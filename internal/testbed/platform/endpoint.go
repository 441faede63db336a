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
	maxBody        = 64 << 10
	maxAttempts    = 12 // per message
	requestTimeout = 10 * time.Second
)

// server is the listening side of one endpoint.
type server struct {
	platform *Platform
	index    int

	mu          sync.Mutex
	listener    net.Listener
	conns       map[net.Conn]struct{}
	atConnLimit bool // no listener, since the limit of connections is reached
}

// open starts listening. It does nothing if the endpoint listens already or the platform is closed.
func (s *server) open() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener != nil || s.platform.ctx.Err() != nil {
		return nil
	}
	s.atConnLimit = false
	l, err := network.Listen(s.platform.ports.base + portEndpoints + s.index)
	if err != nil {
		return err
	}
	s.listener = l
	s.platform.wg.Go(func() {
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
			open := s.listener == l
			if open {
				s.conns[c] = struct{}{}
				s.enforceConnLimit()
			}
			s.mu.Unlock()
			if !open {
				network.Reset(c)
				continue
			}
			s.platform.wg.Go(func() {
				s.serve(c)
				c.Close()
				s.mu.Lock()
				_, held := s.conns[c]
				delete(s.conns, c)
				full := s.atConnLimit && held
				s.mu.Unlock()
				if full {
					s.open()
				}
			})
		}
	})
	return nil
}

// enforceConnLimit stops listening when the endpoint has as many connections as it accepts. The caller holds mu.
func (s *server) enforceConnLimit() {
	if limit := s.platform.plan.Endpoints[s.index].Conns; limit > 0 && len(s.conns) >= limit {
		s.listener.Close()
		s.listener, s.atConnLimit = nil, true
	}
}

// close resets the endpoint's connections and stops listening, so that new ones are refused.
func (s *server) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener != nil {
		s.listener.Close()
		s.listener = nil
	}
	s.atConnLimit = false
	for c := range s.conns {
		network.Reset(c)
	}
	clear(s.conns)
}

// session is one connection of a relay to an endpoint.
type session struct {
	*server
	conn         net.Conn
	reader       *bufio.Reader
	relay        int
	path         *network.Path
	next         chan error // receives nil at the first byte of the next request, or the error that ended the connection
	firstRequest bool
}

func (s *server) serve(c net.Conn) {
	relay := relayOfAddr(c.LocalAddr())
	if relay < 0 || relay >= len(s.platform.plan.Relays) {
		return
	}
	x := &session{server: s, conn: c, reader: bufio.NewReaderSize(c, 4096), relay: relay,
		path: s.platform.endpointPath(relayEndpoint{relay, s.index}), firstRequest: true, next: make(chan error, 1)}
	idle := time.Duration(s.platform.plan.Experiment.Partners.IdleSeconds * float64(time.Second))
	x.awaitNext(func() {})
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
		case <-s.platform.ctx.Done():
			return
		}
		if !x.handleRequest() {
			return
		}
		x.firstRequest = false
	}
}

// awaitNext waits in the background for the next request or the end of the connection; at the latter it calls onClose.
func (x *session) awaitNext(onClose func()) {
	go func() {
		_, err := x.reader.Peek(1)
		if err != nil {
			onClose()
		}
		x.next <- err
	}()
}

// bundleItem is one message of a call.
type bundleItem struct {
	ID   string `json:"id"`
	Key  string `json:"key"`
	Body []byte `json:"body"`
}

// handleRequest reads and answers one request. It returns false if the connection must be closed.
func (x *session) handleRequest() bool {
	led := x.platform.ledger
	call := &ledger.Call{Relay: x.relay, Endpoint: x.index, FirstByte: led.Now(), LastByte: ledger.Never, Written: ledger.Never,
		FirstOnConn: x.firstRequest, MayHaveRun: false}
	x.conn.SetReadDeadline(time.Now().Add(requestTimeout))
	req, body, err := readRequest(x.reader)
	if err != nil {
		return false // it did not arrive whole, and so did not run
	}
	x.conn.SetReadDeadline(time.Time{})
	call.LastByte = led.Now()
	items, status := x.parse(req, body, call)
	release := func() {}
	if status == 0 && !call.Probe {
		release = x.acquireSlot()
		defer release()
	}
	x.awaitNext(release) // a relay that cancels a call closes its connection, which frees the slot
	switch {
	case status != 0:
		return x.writeAnswer(call, status, nil, "", "") == nil
	case call.Probe:
		return x.answerProbe(req.URL.Path, call)
	}
	call.MayHaveRun = true
	led.Add(call)
	if !x.handleCall(call, items) {
		network.Reset(x.conn)
		return false
	}
	return true
}

// acquireSlot counts a call among the unanswered ones of its relay until release is called.
func (x *session) acquireSlot() (release func()) {
	x.platform.mu.Lock()
	x.platform.inFlight[x.relay]++
	x.platform.mu.Unlock()
	return sync.OnceFunc(func() {
		x.platform.mu.Lock()
		x.platform.inFlight[x.relay]--
		x.platform.mu.Unlock()
	})
}

func readRequest(r *bufio.Reader) (*http.Request, []byte, error) {
	req, err := http.ReadRequest(r)
	if err != nil {
		return nil, nil, err
	}
	body, err := io.ReadAll(io.LimitReader(req.Body, 8*maxBody))
	return req, body, err
}

// parse reads the messages of a call and checks them against what clients submitted. status is the answer's status if the
// call is invalid, and otherwise 0.
func (x *session) parse(req *http.Request, body []byte, call *ledger.Call) (items []bundleItem, status int) {
	e := &x.platform.plan.Endpoints[x.index]
	kind := x.platform.plan.Experiment.Partners.Kinds[x.platform.plan.Partners[e.Partner].Kind]
	switch {
	case req.Method == http.MethodGet && (req.URL.Path == "/ping" || req.URL.Path == "/_load"):
		call.Probe = true
		return nil, 0
	case req.Method == http.MethodPost && req.URL.Path == "/events":
		items = []bundleItem{{req.Header.Get("X-Trace-Id"), req.Header.Get("Idempotency-Key"), body}}
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
		submission := x.platform.ledger.Find(it.ID)
		reason := ""
		switch {
		case submission == nil:
			reason = "no client submitted " + strconv.Quote(it.ID)
		case submission.Key != it.Key:
			reason = "different key for " + it.ID
		case x.platform.plan.Arrivals[submission.Message].Partner != e.Partner:
			reason = "wrong destination for " + it.ID
		case string(MessageBody(it.ID, len(it.Body))) != string(it.Body) || len(it.Body) != x.platform.plan.Arrivals[submission.Message].Body:
			reason = "different body for " + it.ID
		}
		if reason != "" {
			x.platform.ledger.Add(ledger.UnexplainedCall{Relay: x.relay, Endpoint: x.index, At: call.LastByte, Reason: reason})
			return nil, 400
		}
		if seen[it.ID] {
			return nil, 400
		}
		seen[it.ID] = true
	}
	return items, 0
}

// MessageBody returns the body of n bytes that a client sends with a trace.
func MessageBody(trace string, n int) []byte {
	b := make([]byte, n)
	for i := range b {
		b[i] = trace[i%len(trace)] ^ byte(i>>4) // binary data, not only text
	}
	return b
}

// awaitRequest waits until the request has reached the endpoint.
func (x *session) awaitRequest() error {
	if err := x.path.AwaitArrival(x.platform.ctx, network.Outbound); err != nil {
		return err
	}
	if x.firstRequest {
		// On a new connection, the first request waits for the round trips of a handshake.
		roundTrip := x.path.Conditions(network.Outbound).Delay + x.path.Conditions(network.Inbound).Delay
		return network.Sleep(x.platform.ctx, time.Duration(float64(roundTrip)*x.platform.plan.Handshakes))
	}
	return nil
}

// handleCall executes a call and answers it. It returns false if the connection must be reset.
func (x *session) handleCall(call *ledger.Call, items []bundleItem) bool {
	p, led := x.platform, x.platform.ledger
	resets := x.path.Resets(network.Outbound)
	if resets && rand.IntN(2) == 0 {
		return false // before the call could run; the relay cannot tell
	}
	if x.awaitRequest() != nil {
		return false
	}
	submission := led.Find(items[0].ID)
	arrival := &p.plan.Arrivals[submission.Message]
	states, unfinished := x.countAttempts(items)
	p.mu.Lock()
	slotsExceeded := p.inFlight[x.relay] > p.plan.Relays[x.relay].Slots
	p.mu.Unlock()
	var result outcome
	switch {
	case slotsExceeded:
		return x.refuse(call, 503, "Slots-Taken: 1\r\n", outcome{})
	case unfinished == 0 && len(items) == 1:
		return x.refuse(call, map[string]int{"gone": 410, "exhausted": 504}[states[0]], "", outcome{})
	default:
		result = p.partners.decide(x.relay, x.index, led.Now(), arrival.Work, max(1, unfinished), arrival.Class)
	}
	led.Update(func() {
		call.InOutage, call.RetryAfter, call.Latency, call.Ran = result.inOutage, result.retryAfter, result.latency, result.ran
	})
	if result.noAnswer {
		x.waitForClose(func() bool { return !x.endpointHangs() })
		return false
	}
	if network.Sleep(p.ctx, result.latency) != nil || resets {
		return false
	}
	switch {
	case result.status == 503 && result.retryAfter > 0:
		return x.refuse(call, 429, fmt.Sprintf("Retry-After: %.3f\r\n", result.retryAfter.Seconds()), result)
	case result.status == 503:
		return x.refuse(call, 503, "", result)
	}
	if !x.awaitAnswer() {
		return false
	}
	if garbled := p.plan.Experiment.Partners.Garbled; garbled.Hi > 0 && rand.Float64() < garbled.Hi {
		io.WriteString(x.conn, "HTP/1.1 abc\r\n\r\n")
		return false
	}
	var body []byte
	if len(items) > 1 && result.status == 200 {
		body = encodeBundleAnswer(items, states)
	}
	x.markDelivered(items, states, result.status == 200)
	return x.writeAnswer(call, result.status, body, result.report, "") == nil
}

// awaitAnswer waits until an answer has reached the relay. It returns false if the answer is lost.
func (x *session) awaitAnswer() bool {
	if x.path.AwaitArrival(x.platform.ctx, network.Inbound) != nil || x.path.Resets(network.Inbound) {
		return false
	}
	if x.path.DropsAnswer(network.Inbound) {
		x.waitForClose(func() bool { return false })
		return false
	}
	return true
}

// endpointHangs reports whether the endpoint accepts calls but answers none.
func (x *session) endpointHangs() bool {
	x.platform.partners.mu.Lock()
	defer x.platform.partners.mu.Unlock()
	return x.platform.partners.endpoints[x.index].hanging
}

// waitForClose waits until the relay closes the connection, done returns true, or the run ends.
func (x *session) waitForClose(done func() bool) {
	for len(x.next) == 0 && !done() && network.Sleep(x.platform.ctx, 20*time.Millisecond) == nil {
	}
}

// countAttempts returns the state of each message of a call: "gone" if it was delivered, ended or is past its deadline,
// "exhausted" if it has no attempts left, and else "ok". It counts an attempt for each of the latter, which are unfinished.
func (x *session) countAttempts(items []bundleItem) (states []string, unfinished int) {
	p := x.platform
	now := p.ledger.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, it := range items {
		submission := p.ledger.Find(it.ID)
		state := "ok"
		switch {
		case p.finished[it.ID] || now > submission.Deadline:
			state = "gone"
		case p.attempts[it.ID] >= maxAttempts:
			state = "exhausted"
		default:
			p.attempts[it.ID]++
			unfinished++
		}
		states = append(states, state)
	}
	return states, unfinished
}

// markDelivered records the messages that a successful answer delivers.
func (x *session) markDelivered(items []bundleItem, states []string, ok bool) {
	x.platform.mu.Lock()
	defer x.platform.mu.Unlock()
	for i, it := range items {
		if ok && states[i] == "ok" {
			x.platform.finished[it.ID] = true
		}
	}
}

func encodeBundleAnswer(items []bundleItem, states []string) []byte {
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
		panic(err) // strings always encode
	}
	return data
}

// refuse writes an answer which proves that no message of the call was executed.
func (x *session) refuse(call *ledger.Call, status int, headers string, v outcome) bool {
	return x.awaitAnswer() && x.writeAnswer(call, status, nil, v.report, headers) == nil
}

// writeAnswer writes an answer with a single write and records it.
func (x *session) writeAnswer(call *ledger.Call, status int, body []byte, report, headers string) error {
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\n%s", status, http.StatusText(status), len(body), headers)
	if report != "" {
		fmt.Fprintf(&b, "Endpoint-Load-Metrics: %s\r\n", report)
	}
	b.WriteString("\r\n")
	b.Write(body)
	x.conn.SetWriteDeadline(time.Now().Add(time.Second))
	at := x.platform.ledger.Now()
	var more surplus
	if x.path.AddsSurplus(network.Inbound) {
		more = drawSurplus(b.String())
	}
	b.WriteString(more.joined)
	_, err := io.WriteString(x.conn, b.String())
	more.send(x.platform, x.conn, func() bool { return true }) // by its path's delays, the next request is still on its way
	x.platform.ledger.Update(func() {
		if call.Status, call.Written = status, at; err != nil {
			call.Status, call.Written = 0, ledger.Never
			return
		}
		switch status {
		case 429, 503, 504, 410, 400, 404, 413:
			call.MayHaveRun = false
		}
		if len(body) > 0 {
			call.States = decodeBundleStates(body)
		}
	})
	return err
}

func decodeBundleStates(body []byte) (states []string) {
	var items []struct{ State string }
	if json.Unmarshal(body, &items) == nil {
		for _, it := range items {
			states = append(states, it.State)
		}
	}
	return states
}

// answerProbe answers GET /ping and GET /_load.
func (x *session) answerProbe(path string, call *ledger.Call) bool {
	x.platform.ledger.Add(call)
	if x.awaitRequest() != nil {
		return false
	}
	v := x.platform.partners.decide(x.relay, x.index, x.platform.ledger.Now(), 10*time.Millisecond, 1, -1)
	if v.noAnswer {
		x.waitForClose(func() bool { return !x.endpointHangs() })
		return false
	}
	if network.Sleep(x.platform.ctx, v.latency) != nil || !x.awaitAnswer() {
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
	return x.writeAnswer(call, status, body, v.report, "") == nil
}
