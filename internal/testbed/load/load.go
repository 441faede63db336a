// Package load is the clients: it hands each planned message in when it is due, and never later because an earlier one
// still waits for its answer, so that a stall of the relay counts in full against every message that fell into it.
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
	idleFor   = 5 * time.Second // a client keeps a connection for so long
	brokenTry = 4               // times that a message comes again because its relay died or did not answer
	least     = 50 * time.Millisecond
)

// Load is the clients of all relays.
type Load struct {
	plan   *plan.Plan
	book   *ledger.Ledger
	addr   func(relay int) string
	offset time.Duration
	ctx    context.Context
	work   sync.WaitGroup

	mu    sync.Mutex
	pools []pool
	late  *hdrhistogram.Histogram // microseconds from when a message was due to when its client began
	wants map[string]*want        // by trace: messages that a notice may hand back
	alive func(relay int) bool
}

// pool is the idle connections to one relay.
type pool []*conn

type conn struct {
	net.Conn
	r     *bufio.Reader
	since time.Time
}

// want is a message that its client has not had delivered.
type want struct {
	message  int
	try      int
	refusals int
	breaks   int
	relay    int
	left     bool // it has left once already
}

// New returns the load of a plan. addr tells where a relay's clients find it, alive whether it runs.
func New(p *plan.Plan, book *ledger.Ledger, addr func(int) string, alive func(int) bool) *Load {
	return &Load{plan: p, book: book, addr: addr, alive: alive, pools: make([]pool, len(p.Relays)), wants: map[string]*want{},
		late: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)}
}

// Run hands in every message when it is due, counted from offset, and returns when the last one was, or ctx ends. Retries
// and answers go on until Wait.
func (l *Load) Run(ctx context.Context, offset time.Duration) {
	l.ctx, l.offset = ctx, offset
	for i := range l.plan.Arrivals {
		if network.Sleep(ctx, offset+l.plan.Arrivals[i].At-l.book.Now()) != nil {
			return
		}
		l.work.Go(func() { l.handIn(&want{message: i, relay: l.plan.Arrivals[i].Relay}, "", l.plan.Arrivals[i].At+offset) })
	}
}

// Wait waits for what is under way.
func (l *Load) Wait() {
	l.work.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range l.pools {
		for _, c := range p {
			c.Close()
		}
	}
}

// Lateness is how late the clients themselves were, at a quantile from 0 to 100.
func (l *Load) Lateness(quantile float64) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Duration(l.late.ValueAtQuantile(quantile)) * time.Microsecond
}

// trace is a message's id on one occasion.
func (l *Load) trace(w *want) string {
	rng := rand.New(rand.NewPCG(l.plan.Arrivals[w.message].Draw, uint64(w.try)))
	return fmt.Sprintf("%016x", rng.Uint64())
}

func (l *Load) key(message int) string {
	rng := rand.New(rand.NewPCG(l.plan.Arrivals[message].Draw, 0x6b6579))
	return fmt.Sprintf("%016x%016x", rng.Uint64(), rng.Uint64())
}

// handIn hands a message in, once, and sees to what follows.
func (l *Load) handIn(w *want, second string, due time.Duration) {
	a := &l.plan.Arrivals[w.message]
	class := &l.plan.Classes[a.Class]
	now := l.book.Now()
	if w.try == 0 {
		l.mu.Lock()
		l.late.RecordValue(max(1, int64((now-due)/time.Microsecond)))
		l.mu.Unlock()
	}
	h := &ledger.HandIn{Message: w.message, Try: w.try, Trace: l.trace(w), Relay: w.relay, Due: due, Sent: ledger.Never,
		Deadline: l.offset + a.At + class.Deadline.D(), Answered: ledger.Never}
	if class.Effect == "keyed" {
		h.Key = l.key(w.message)
	}
	if h.Deadline-now < least {
		return
	}
	l.book.HandIn(h)
	l.mu.Lock()
	l.wants[h.Trace] = w
	l.mu.Unlock()
	wait := l.plan.AnswerTimeout
	leaves := a.Leaves > 0 && !w.left
	if leaves {
		wait, w.left = a.Leaves, true
	}
	status, again, err := l.request(h, a, second, wait)
	l.resubmit(h, a)
	switch {
	case err == nil && status < 300:
		return // taken on: what comes of it is the relay's to say
	case err == nil && (status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable):
		l.refused(w, again)
	case err == nil:
		return // failed
	case leaves:
		l.later(w, a.Again, "")
	default:
		// Not there, broken off, or no answer in time: to a live relay, unless it may have run and may not be repeated.
		if class.Effect == "unsafe" && l.mayRun(h.Trace) {
			return
		}
		if w.breaks++; w.breaks > brokenTry {
			return
		}
		second := "again"
		if h.Sent == ledger.Never {
			second = ""
		}
		w.relay = l.live(w.relay, a.Draw+uint64(w.try))
		l.later(w, a.Again, second)
	}
}

// live is a relay that runs: the same one if it does.
func (l *Load) live(relay int, draw uint64) int {
	n := len(l.plan.Relays)
	for k := range n {
		if r := (relay + k*(1+int(draw%7))) % n; l.alive(r) {
			return r
		}
	}
	return relay
}

func (l *Load) mayRun(trace string) (may bool) {
	l.book.Do(func() {
		for i := len(l.book.Calls) - 1; i >= 0 && !may; i-- {
			c := l.book.Calls[i]
			for _, t := range c.Traces {
				may = may || t == trace && c.MayRun
			}
		}
	})
	return may
}

// refused has the message come again after a refusal, if its client does.
func (l *Load) refused(w *want, again time.Duration) {
	a := &l.plan.Arrivals[w.message]
	if w.refusals >= a.Retries {
		return
	}
	wait := a.Backoff << w.refusals
	if again > 0 && a.Heeds {
		wait = again
	}
	w.refusals++
	l.later(w, wait, "1")
}

// later hands the message in once more after d.
func (l *Load) later(w *want, d time.Duration, second string) {
	next := *w
	next.try++
	l.work.Go(func() {
		if network.Sleep(l.ctx, d) == nil {
			l.handIn(&next, second, l.book.Now())
		}
	})
}

// Ended is told of each notice: a message that is handed back may come again.
func (l *Load) Ended(n ledger.Notice) {
	l.mu.Lock()
	w := l.wants[n.Trace]
	delete(l.wants, n.Trace)
	l.mu.Unlock()
	if w != nil && n.Status == "deferred" {
		l.refused(w, n.Again)
	}
}

// request makes a request and reads its answer. A connection that its relay closed before it read the request is no end:
// the request goes once more on a new one.
func (l *Load) request(h *ledger.HandIn, a *plan.Arrival, second string, wait time.Duration) (status int, again time.Duration, err error) {
	by := time.Now().Add(wait)
	for try := 0; ; try++ {
		c, fresh, err := l.connect(h.Relay, by, try > 0)
		if err != nil {
			return 0, 0, err
		}
		status, again, err = l.exchange(c, h, a, second, by)
		if err == nil || fresh || errors.Is(err, errLeft) {
			return status, again, err
		}
	}
}

var (
	errLeft = errors.New("no answer in time")
	errAway = errors.New("relay not there")
)

func (l *Load) connect(relay int, by time.Time, fresh bool) (c *conn, isFresh bool, err error) {
	for !fresh {
		l.mu.Lock()
		p := l.pools[relay]
		if len(p) == 0 {
			l.mu.Unlock()
			break
		}
		c, l.pools[relay] = p[len(p)-1], p[:len(p)-1]
		l.mu.Unlock()
		if time.Since(c.since) < idleFor {
			return c, false, nil
		}
		c.Close()
	}
	// While a relay ends its clients come on the connections that stay open, and on no new ones.
	if !l.alive(relay) {
		return nil, true, errAway
	}
	nc, err := (&net.Dialer{Deadline: by}).DialContext(l.ctx, "tcp4", l.addr(relay))
	if err != nil {
		return nil, true, err
	}
	return &conn{Conn: nc, r: bufio.NewReaderSize(nc, 1024)}, true, nil
}

func (l *Load) exchange(c *conn, h *ledger.HandIn, a *plan.Arrival, second string, by time.Time) (status int, again time.Duration, err error) {
	defer func() {
		if err != nil {
			c.Close()
		}
	}()
	c.SetDeadline(by)
	if _, err := c.Write(l.text(h, a, second)); err != nil {
		return 0, 0, err
	}
	l.book.Do(func() { h.Sent = l.book.Now() })
	res, err := http.ReadResponse(c.r, nil)
	if err == nil {
		_, err = io.Copy(io.Discard, io.LimitReader(res.Body, 64<<10))
	}
	var late net.Error
	if errors.As(err, &late) && late.Timeout() {
		l.book.Do(func() { h.Left = true })
		return 0, 0, errLeft
	}
	if err != nil {
		// A relay may close a connection between requests, and a request that crosses that comes once more.
		l.book.Do(func() { h.Broken = c.since.IsZero() })
		return 0, 0, err
	}
	if x, e := strconv.ParseFloat(res.Header.Get("Retry-After"), 64); e == nil {
		again = time.Duration(x * float64(time.Second))
	}
	l.book.Do(func() {
		h.Answered, h.Status, h.Again, h.Broken = l.book.Now(), res.StatusCode, again, false
	})
	if res.Close {
		c.Close()
	} else {
		c.SetDeadline(time.Time{})
		c.since = time.Now()
		l.mu.Lock()
		l.pools[h.Relay] = append(l.pools[h.Relay], c)
		l.mu.Unlock()
	}
	return res.StatusCode, again, nil
}

// text is a request as it goes over the wire.
func (l *Load) text(h *ledger.HandIn, a *plan.Arrival, second string) []byte {
	class := l.plan.Classes[a.Class].Name
	b := fmt.Appendf(nil, "POST /%s HTTP/1.1\r\nHost: origin.svc\r\nX-Trace-Id: %s\r\nX-Qos: %s\r\nX-Customer: %s\r\nX-Expires-In-Ms: %d\r\n"+
		"Content-Length: %d\r\nEnvelope: dest=%d\r\n", class, h.Trace, class, l.plan.Experiment.Load.Customers[a.Customer].Name,
		max(1, (h.Deadline-l.book.Now()).Milliseconds()), a.Body, l.plan.Partners[a.Partner].ID)
	if h.Key != "" {
		b = fmt.Appendf(b, "Idempotency-Key: %s\r\n", h.Key)
	}
	if second != "" {
		b = fmt.Appendf(b, "X-Second-Try: %s\r\n", second)
	}
	b = append(b, "\r\n"...)
	return append(b, platform.Body(h.Trace, a.Body)...)
}
