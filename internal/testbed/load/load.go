// Package load emulates the clients. It is an open-loop load generator: each planned message is submitted when it is due,
// even while earlier ones wait for their answers, so that a stall of a relay counts in full against every message that it
// delays.
package load

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"onyxroad.dev/onyxroad/internal/testbed/ledger"
	"onyxroad.dev/onyxroad/internal/testbed/network"
	"onyxroad.dev/onyxroad/internal/testbed/plan"
	"onyxroad.dev/onyxroad/internal/testbed/platform"
)

const (
	connIdleTimeout  = 5 * time.Second // for which a client keeps an unused connection
	maxBrokenRetries = 4               // of a message whose relay crashed or did not answer
	minTimeLeft      = 50 * time.Millisecond
)

// Load runs the clients of all relays.
type Load struct {
	plan   *plan.Plan
	ledger *ledger.Ledger
	addr   func(relay int) string
	offset time.Duration
	ctx    context.Context
	wg     sync.WaitGroup

	mu       sync.Mutex
	pools    []pool
	lateness *hdrhistogram.Histogram    // microseconds from the due time of a message to its submission
	pending  map[string]*pendingMessage // by trace: messages that a notice may return to the client
	alive    func(relay int) bool
}

// pool holds the idle connections to one relay.
type pool []*conn

type conn struct {
	net.Conn
	r         *bufio.Reader
	idleSince time.Time
}

// pendingMessage is a message that a client may have to submit again.
type pendingMessage struct {
	message     int
	try         int
	refusals    int
	brokenTries int
	retried     bool // its next try is scheduled; guarded by Load.mu
	relay       int
	abandoned   bool // the client has already given up on an answer once
}

// New returns the load of a plan. addr returns a relay's address for clients, alive whether clients may connect to it.
func New(p *plan.Plan, led *ledger.Ledger, addr func(int) string, alive func(int) bool) *Load {
	return &Load{plan: p, ledger: led, addr: addr, alive: alive, pools: make([]pool, len(p.Relays)), pending: map[string]*pendingMessage{},
		lateness: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)}
}

// Run submits every message at its due time, counted from offset. It returns after the last one or when ctx ends. Answers
// and retries continue in the background; see Wait.
func (l *Load) Run(ctx context.Context, offset time.Duration) {
	l.ctx, l.offset = ctx, offset
	for i := range l.plan.Arrivals {
		if network.Sleep(ctx, offset+l.plan.Arrivals[i].At-l.ledger.Now()) != nil {
			return
		}
		l.wg.Go(func() {
			l.submit(&pendingMessage{message: i, relay: l.plan.Arrivals[i].Relay}, "", l.plan.Arrivals[i].At+offset)
		})
	}
}

// Wait waits for all requests and retries, and closes the idle connections.
func (l *Load) Wait() {
	l.wg.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range l.pools {
		for _, c := range p {
			c.Close()
		}
	}
}

// Lateness returns a quantile (0 to 100) of how much later than due the clients submitted messages.
func (l *Load) Lateness(quantile float64) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Duration(l.lateness.ValueAtQuantile(quantile)) * time.Microsecond
}

// traceID returns the id of one submission of a message.
func (l *Load) traceID(w *pendingMessage) string {
	rng := rand.New(rand.NewPCG(l.plan.Arrivals[w.message].Draw, uint64(w.try)))
	return fmt.Sprintf("%016x", rng.Uint64())
}

func (l *Load) idempotencyKey(message int) string {
	rng := rand.New(rand.NewPCG(l.plan.Arrivals[message].Draw, 0x6b6579))
	return fmt.Sprintf("%016x%016x", rng.Uint64(), rng.Uint64())
}

// submit submits a message once and schedules a retry if the result calls for one. secondTry is the value of the header
// X-Second-Try; "" sends none.
func (l *Load) submit(w *pendingMessage, secondTry string, due time.Duration) {
	a := &l.plan.Arrivals[w.message]
	class := &l.plan.Classes[a.Class]
	now := l.ledger.Now()
	if w.try == 0 {
		l.mu.Lock()
		l.lateness.RecordValue(max(1, int64((now-due)/time.Microsecond)))
		l.mu.Unlock()
	}
	sub := &ledger.Submission{Message: w.message, Try: w.try, Trace: l.traceID(w), Relay: w.relay, Due: due, Sent: ledger.Never,
		Deadline: l.offset + a.At + class.Deadline.D(), Answered: ledger.Never}
	if class.Effect == "keyed" {
		sub.Key = l.idempotencyKey(w.message)
	}
	if sub.Deadline-now < minTimeLeft {
		return
	}
	l.ledger.AddSubmission(sub)
	l.mu.Lock()
	l.pending[sub.Trace] = w
	l.mu.Unlock()
	wait := l.plan.AnswerTimeout
	abandons := a.Leaves > 0 && !w.abandoned
	if abandons {
		wait, w.abandoned = a.Leaves, true
	}
	status, retryAfter, err := l.request(sub, a, secondTry, wait)
	l.resubmit(sub, a)
	switch {
	case err == nil && status < 300:
		return // accepted: the relay is responsible from here on
	case err == nil && (status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable):
		l.retryRefused(w, retryAfter)
	case err == nil:
		return // rejected for good
	case abandons:
		l.scheduleRetry(w, a.Again, "")
	default:
		// The relay was down, the connection broke, or no answer came in time. Submit again to a running relay, unless the
		// message may have been executed and must not be repeated.
		if class.Effect == "unsafe" && l.mayHaveRun(sub.Trace) {
			return
		}
		if w.brokenTries++; w.brokenTries > maxBrokenRetries {
			return
		}
		second := "again"
		if sub.Sent == ledger.Never {
			second = ""
		}
		w.relay = l.runningRelay(w.relay, a.Draw+uint64(w.try))
		l.scheduleRetry(w, a.Again, second)
	}
}

// runningRelay returns relay if it is running, and otherwise another one that is.
func (l *Load) runningRelay(relay int, draw uint64) int {
	n := len(l.plan.Relays)
	for k := range n {
		if r := (relay + k*(1+int(draw%7))) % n; l.alive(r) {
			return r
		}
	}
	return relay
}

func (l *Load) mayHaveRun(trace string) (may bool) {
	l.ledger.Update(func() {
		for i := len(l.ledger.Calls) - 1; i >= 0 && !may; i-- {
			c := l.ledger.Calls[i]
			for _, t := range c.Traces {
				may = may || t == trace && c.MayHaveRun
			}
		}
	})
	return may
}

// retryRefused schedules a retry after a refusal, if the client has retries left.
func (l *Load) retryRefused(w *pendingMessage, retryAfter time.Duration) {
	a := &l.plan.Arrivals[w.message]
	if w.refusals >= a.Retries {
		return
	}
	wait := a.Backoff << w.refusals
	if retryAfter > 0 && a.Heeds {
		wait = retryAfter
	}
	w.refusals++
	l.scheduleRetry(w, wait, "1")
}

// scheduleRetry submits the message again after d, under a new id. A message that has returned to its client by a notice and by the end
// of its connection is submitted again once.
func (l *Load) scheduleRetry(w *pendingMessage, d time.Duration, secondTry string) {
	l.mu.Lock()
	first := !w.retried
	w.retried = true
	l.mu.Unlock()
	if !first {
		return
	}
	next := *w
	next.try++
	next.retried = false
	l.wg.Go(func() {
		if network.Sleep(l.ctx, d) == nil {
			l.submit(&next, secondTry, l.ledger.Now())
		}
	})
}

// HandleNotice processes a notice: the client may submit a deferred message again.
func (l *Load) HandleNotice(n ledger.Notice) {
	l.mu.Lock()
	w := l.pending[n.Trace]
	delete(l.pending, n.Trace)
	l.mu.Unlock()
	if w != nil && n.Status == "deferred" {
		l.retryRefused(w, n.RetryAfter)
	}
}

// request sends a request and reads its answer. If a reused connection fails, because the relay may have closed it before
// it read the request, the request is sent again on a new connection.
func (l *Load) request(sub *ledger.Submission, a *plan.Arrival, secondTry string, wait time.Duration) (
	status int, retryAfter time.Duration, err error) {
	deadline := time.Now().Add(wait)
	for try := 0; ; try++ {
		c, isNew, err := l.connect(sub.Relay, deadline, try > 0)
		if err != nil {
			return 0, 0, err
		}
		status, retryAfter, err = l.exchange(c, sub, a, secondTry, deadline)
		if err == nil || isNew || errors.Is(err, errAnswerTimeout) {
			return status, retryAfter, err
		}
	}
}

var (
	errAnswerTimeout = errors.New("no answer in time")
	errRelayDown     = errors.New("relay is down")
)

func (l *Load) connect(relay int, deadline time.Time, forceNew bool) (c *conn, isNew bool, err error) {
	for !forceNew {
		l.mu.Lock()
		p := l.pools[relay]
		if len(p) == 0 {
			l.mu.Unlock()
			break
		}
		c, l.pools[relay] = p[len(p)-1], p[:len(p)-1]
		l.mu.Unlock()
		if time.Since(c.idleSince) < connIdleTimeout {
			return c, false, nil
		}
		c.Close()
	}
	// While a relay shuts down, its clients use the connections that are still open but open no new ones.
	if !l.alive(relay) {
		return nil, true, errRelayDown
	}
	nc, err := (&net.Dialer{Deadline: deadline}).DialContext(l.ctx, "tcp4", l.addr(relay))
	if err != nil {
		return nil, true, err
	}
	return &conn{Conn: nc, r: bufio.NewReaderSize(nc, 1024)}, true, nil
}

func (l *Load) exchange(c *conn, sub *ledger.Submission, a *plan.Arrival, secondTry string, deadline time.Time) (
	status int, retryAfter time.Duration, err error) {
	defer func() {
		if err != nil {
			c.Close()
		}
	}()
	c.SetDeadline(deadline)
	if _, err := c.Write(l.requestText(sub, a, secondTry)); err != nil {
		return 0, 0, err
	}
	l.ledger.Update(func() { sub.Sent = l.ledger.Now() })
	res, err := http.ReadResponse(c.r, nil)
	if err == nil {
		_, err = io.Copy(io.Discard, io.LimitReader(res.Body, 64<<10))
	}
	// A line that the deadline cuts off reads as a malformed answer, since bufio.Reader.ReadLine drops the error behind it.
	var late net.Error
	if errors.As(err, &late) && late.Timeout() || err != nil && !time.Now().Before(deadline) {
		l.ledger.Update(func() { sub.Abandoned = true })
		return 0, 0, errAnswerTimeout
	}
	if err != nil {
		// Only a failure of a new connection counts: a relay may close an idle one just as a request is sent, which is then
		// sent again.
		l.ledger.Update(func() { sub.ConnBroken = c.idleSince.IsZero() })
		return 0, 0, err
	}
	if x, e := strconv.ParseFloat(res.Header.Get("Retry-After"), 64); e == nil {
		retryAfter = time.Duration(x * float64(time.Second))
	}
	l.ledger.Update(func() {
		sub.Answered, sub.Status, sub.RetryAfter, sub.ConnBroken = l.ledger.Now(), res.StatusCode, retryAfter, false
	})
	if res.Close {
		c.Close()
	} else {
		c.SetDeadline(time.Time{})
		c.idleSince = time.Now()
		l.mu.Lock()
		l.pools[sub.Relay] = append(l.pools[sub.Relay], c)
		l.mu.Unlock()
	}
	return res.StatusCode, retryAfter, nil
}

// requestText returns a request as it is sent.
func (l *Load) requestText(sub *ledger.Submission, a *plan.Arrival, secondTry string) []byte {
	class := l.plan.Classes[a.Class].Name
	b := fmt.Appendf(nil, "POST /%s HTTP/1.1\r\nHost: origin.svc\r\nX-Trace-Id: %s\r\nX-Qos: %s\r\nX-Customer: %s\r\nX-Expires-In-Ms: %d\r\n"+
		"Content-Length: %d\r\nEnvelope: dest=%d\r\n", class, sub.Trace, class, l.plan.Experiment.Load.Customers[a.Customer].Name,
		max(1, (sub.Deadline-l.ledger.Now()).Milliseconds()), a.Body, l.plan.Partners[a.Partner].ID)
	if sub.Key != "" {
		b = fmt.Appendf(b, "Idempotency-Key: %s\r\n", sub.Key)
	}
	if secondTry != "" {
		b = fmt.Appendf(b, "X-Second-Try: %s\r\n", secondTry)
	}
	b = append(b, "\r\n"...)
	return append(b, platform.MessageBody(sub.Trace, a.Body)...)
}
