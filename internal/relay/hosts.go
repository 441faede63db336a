package relay

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"onyxroad.dev/onyxroad/internal/clock"
	"onyxroad.dev/onyxroad/internal/invariant"
	"onyxroad.dev/onyxroad/policy"
)

// idleTimeoutRatio is the fraction of the hosts' keep-alive limit after which the relay closes an idle connection itself.
// A request that crosses the host's own close ends as a reset, and a reset may have run.
const idleTimeoutRatio = 0.8

// maxReportValue bounds the values of a host's load report.
const maxReportValue = 1e9

// hostClient makes outbound calls.
type hostClient struct {
	*pool
	reportFields []string
	onWritten    func(*call) // called once a call's request is written; may be nil
	guard        *invariant.Guard
}

// call is one request to a host that carries one message or a bundle.
type call struct {
	number   uint32 // assigned by the module
	route    string
	addr     string
	zone     int
	sent     time.Time
	deadline time.Time // when the call times out
	attempts []*attempt
	size     int // upper bound of the body's size as a bundle

	// Shared by the loop and the call's goroutine.
	state   atomic.Int32              // a callState
	written atomic.Pointer[time.Time] // when its request was about to be written; nil: it was not
}

// callState tells whether a call's first byte may have been sent.
type callState = int32

const (
	callPending callState = iota
	callWriting           // its request is being written or has been
	callRevoked           // its request will not be written
)

// beginWrite reports whether the call's request may be written. If so, the call can no longer be revoked.
func (c *call) beginWrite(now time.Time) bool {
	if slices.ContainsFunc(c.attempts, func(a *attempt) bool { return !now.Before(a.deadline) || a.submitterLeft() }) {
		c.revoke()
	}
	if !c.state.CompareAndSwap(callPending, callWriting) {
		return false
	}
	c.written.Store(&now)
	return true
}

// writtenAttr is the time of the write as a log attribute; empty if there was none.
func (c *call) writtenAttr() slog.Attr {
	if at := c.written.Load(); at != nil {
		return slog.Time("written", *at)
	}
	return slog.Attr{}
}

// revoke prevents a call whose request is not being written yet. It returns false if it is too late.
func (c *call) revoke() bool {
	return c.state.CompareAndSwap(callPending, callRevoked) || c.state.Load() == callRevoked
}

// attempt is one message's share of a call.
type attempt struct {
	*call
	m        *message
	n        int
	deadline time.Time
	timer    *time.Timer // ends the attempt before its call; nil if both end together

	submitter *submission // the request that brought the message in the same step; nil: another step, or several requests
	settled   bool        // its outcome has been processed
}

// result is the result of an attempt.
type result struct {
	outcome policy.Outcome
	gone    bool // the host has given the message up: it must not be sent again
	wait    time.Duration
	report  policy.Report
	took    time.Duration // from the start of writing the request to the first byte of the answer
}

func newHostClient(cfg Config) *hostClient {
	idleTimeout := time.Duration(idleTimeoutRatio * float64(cfg.KeepAlive))
	conns := newPool(cfg.ConnectTimeout, idleTimeout, cfg.Limits.Sockets*3/8)
	return &hostClient{pool: conns, reportFields: cfg.Reports, guard: invariant.New(slog.Default())}
}

// do makes a call and returns the results of its attempts, in their order. If it had to wait for a connection, it calls
// allowed before it writes the request.
func (h *hostClient) do(ctx context.Context, c *call, allowed func() bool) []result {
	ctx, cancel := context.WithDeadline(ctx, c.deadline)
	defer cancel()
	conn, outcome := h.connFor(ctx, c, allowed)
	if conn == nil {
		return sameResults(c, result{outcome: outcome})
	}
	req, err := newRequest(c)
	if err != nil {
		conn.release()
		return sameResults(c, result{outcome: policy.NotRun})
	}
	// Since the decision, one of its messages may have ended or expired, or its client left.
	if !c.beginWrite(clock.Now()) {
		conn.release()
		return sameResults(c, result{outcome: policy.NotRun})
	}
	return h.exchange(ctx, req, c, conn)
}

// connFor returns a connection on which a call may be sent now. If there is none, it returns the outcome of the call.
func (h *hostClient) connFor(ctx context.Context, c *call, allowed func() bool) (*hostConn, policy.Outcome) {
	for {
		conn, delayed, err := h.get(ctx, peer{c.route, c.addr})
		switch {
		case err != nil && isLocalShortage(err):
			return nil, policy.NotRun
		case err != nil:
			return nil, policy.ConnectFailed
		}
		// While the call waited, the host may have announced a drain or a wait.
		if delayed && (ctx.Err() != nil || !allowed()) {
			conn.release()
			return nil, policy.NotRun
		}
		if !conn.hasSurplus() {
			return conn, 0
		}
		conn.discard()
	}
}

// exchange makes a call on a connection and returns the results of its attempts.
func (h *hostClient) exchange(ctx context.Context, req *http.Request, c *call, conn *hostConn) []result {
	began := clock.Now()
	for _, a := range c.attempts {
		h.guard.CheckDeadline(a.m.Trace, c.route, a.m.Deadline.Sub(began))
	}
	several := len(c.attempts) > 1
	a := conn.roundTrip(ctx, req, several, func() {
		if h.onWritten != nil {
			h.onWritten(c)
		}
	})
	if a.firstByteAt.IsZero() {
		a.firstByteAt = clock.Now()
	}
	r := h.headResult(a.head)
	r.took = a.firstByteAt.Sub(began)
	malformed := a.err != nil && !errors.Is(a.err, errConnSpent)
	switch {
	case a.head != nil && a.head.StatusCode == http.StatusOK && !several:
		r.outcome = policy.OK // the status line alone decides
	case malformed:
		// No host starts work before it has the last byte of a request. Once that is written, the call may have run.
		r.outcome = failureOutcome(ctx, a.written)
	case a.head.StatusCode == http.StatusOK:
		return bundleResults(c, r, a.body)
	default:
		r.outcome, r.gone = statusOutcome(a.head)
	}
	return sameResults(c, r)
}

// failureOutcome returns the outcome of a call without a complete answer.
func failureOutcome(ctx context.Context, written bool) policy.Outcome {
	switch {
	case !written:
		return policy.ConnectFailed
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return policy.Timeout
	case ctx.Err() != nil:
		return policy.Cancelled
	}
	return policy.Reset
}

// newRequest builds the request of a call.
func newRequest(c *call) (*http.Request, error) {
	path, body := "/events", c.attempts[0].m.Body
	header := http.Header{"X-Expires-In-Ms": {strconv.FormatInt(max(1, clock.Until(c.deadline).Milliseconds()), 10)}}
	if len(c.attempts) > 1 {
		path, body = "/events/bundle", bundleBody(c)
		header.Set("Content-Type", "application/json")
	} else {
		m := c.attempts[0].m
		header.Set("X-Trace-Id", m.Trace)
		if m.Key != "" {
			header.Set("Idempotency-Key", m.Key)
		}
	}
	req, err := http.NewRequest(http.MethodPost, "http://"+c.addr+path, nil)
	if err != nil {
		return nil, err
	}
	req.Header = header
	if req.ContentLength = int64(len(body)); len(body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(body))
	}
	return req, nil
}

// bundleItem is the wire form of a message in a bundle.
type bundleItem struct {
	ID   string `json:"id"`
	Key  string `json:"key,omitempty"`
	Body []byte `json:"body"`
}

// maxItemSize is the largest size of a message in a bundle: JSON may escape any byte of an id as six.
func maxItemSize(m *message) int {
	return base64.StdEncoding.EncodedLen(len(m.Body)) + 6*(len(m.Trace)+len(m.Key)) + len(`{"id":"","key":"","body":""},[]`)
}

func bundleBody(c *call) []byte {
	items := make([]bundleItem, 0, len(c.attempts))
	for _, a := range c.attempts {
		items = append(items, bundleItem{a.m.Trace, a.m.Key, append([]byte{}, a.m.Body...)}) // a nil slice would become null, which is no body
	}
	data, err := json.Marshal(items)
	if err != nil {
		panic(err) // bundleItem marshals without error
	}
	return data
}

// headResult reads from a head what does not depend on the outcome: the advised wait and the load report.
func (h *hostClient) headResult(head *http.Response) (r result) {
	if head != nil {
		r.wait = parseRetryAfter(head.Header.Get("Retry-After"))
		r.report = h.parseReport(head.Header.Get("Endpoint-Load-Metrics"))
	}
	return r
}

// statusOutcome maps a status other than 200 to an outcome.
func statusOutcome(head *http.Response) (o policy.Outcome, gone bool) {
	switch head.StatusCode {
	case http.StatusTooManyRequests:
		return policy.Full, false
	case http.StatusServiceUnavailable:
		if head.Header.Get("Slots-Taken") == "1" {
			return policy.NotRun, false
		}
		return policy.Full, false
	case http.StatusGatewayTimeout:
		return policy.NotRun, false
	case http.StatusGone:
		return policy.NotRun, true
	}
	return policy.Error, false // 500 and unknown codes: the call may have run
}

// bundleResults reads the state of each message of a bundle. A message whose state is missing, unreadable or given twice with
// different values may have run.
func bundleResults(c *call, r result, body []byte) []result {
	unread := r
	unread.outcome = policy.Error
	states := bundleStates(body)
	results := sameResults(c, unread)
	for i, a := range c.attempts {
		switch states[a.m.Trace] {
		case "ok":
			results[i].outcome = policy.OK
		case "error":
			results[i].outcome = policy.Error
		case "later":
			results[i].outcome = policy.Full
		case "gone":
			results[i].outcome, results[i].gone = policy.NotRun, true
		case "exhausted":
			results[i].outcome = policy.NotRun
		}
	}
	return results
}

// bundleStates returns the states in the answer to a bundle by id. An id with different states has none of them.
func bundleStates(body []byte) map[string]string {
	var raw []json.RawMessage
	if json.Unmarshal(body, &raw) != nil {
		return nil
	}
	states := make(map[string]string, len(raw))
	for _, x := range raw {
		var item struct{ ID, State string }
		if json.Unmarshal(x, &item) != nil {
			continue
		}
		if earlier, twice := states[item.ID]; twice && earlier != item.State {
			item.State = ""
		}
		states[item.ID] = item.State
	}
	return states
}

// parseReport reads a host's load report. Fields that are invalid or not configured are ignored.
func (h *hostClient) parseReport(text string) policy.Report {
	var rep policy.Report
	text, ok := strings.CutPrefix(text, "TEXT ")
	if !ok {
		return rep
	}
	for pair := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(pair), "=")
		x, err := strconv.ParseFloat(value, 64)
		// The condition also rejects NaN, which compares as false.
		if err != nil || !(x >= 0 && x <= maxReportValue) || !slices.Contains(h.reportFields, name) {
			continue
		}
		switch name {
		case "x0":
			rep.Remaining = x
		case "x1":
			rep.Limit, rep.Present = x, true
		}
	}
	return rep
}

// parseRetryAfter parses a Retry-After in seconds, with or without decimals. It returns 0 if there is no valid one.
func parseRetryAfter(text string) time.Duration {
	x, err := strconv.ParseFloat(text, 64)
	if err != nil || !(x > 0) || x > 1e6 {
		return 0
	}
	return time.Duration(x * float64(time.Second))
}

// sameResults returns the same result for every attempt of a call.
func sameResults(c *call, r result) []result {
	results := make([]result, len(c.attempts))
	for i := range results {
		results[i] = r
	}
	return results
}
