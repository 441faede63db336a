package relay

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"encoding/base64"
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"onyxroad.dev/onyxroad/internal/clock"
	"onyxroad.dev/onyxroad/internal/invariant"
	"onyxroad.dev/onyxroad/policy"
)

// idleTimeoutRatio is the share of the hosts' keep-alive limit after which the relay closes an idle connection itself.
// Guards against a request that crosses the host's own close: it ends as a reset, which may have run.
const idleTimeoutRatio = 0.8

const (
	// answerReadTimeout bounds how long an answer may take from its first byte to its last. Guards against heads and bodies
	// that do not end.
	answerReadTimeout = 500 * time.Millisecond
	// lateReadTimeout is for an answer that came as its call was given up: long enough to read what is there.
	lateReadTimeout = time.Millisecond
	// maxReportValue bounds what a host may tell of its limit.
	maxReportValue   = 1e9
	maxInformational = 16 // 1xx answers before one
)

var (
	errMalformedAnswer = errors.New("spoilt answer")
	errConnSpent       = errors.New("the answer is whole, its connection at its end")
)

// hostClient makes the outbound calls.
type hostClient struct {
	*pool
	reportFields []string
	onWritten    func(*call) // told of each call that is written whole; may be nil
	guard        *invariant.Guard
}

// call is one request to a host, with one message or several.
type call struct {
	number   uint32 // the module's
	route    string
	addr     string
	zone     int
	sent     time.Time
	deadline time.Time // given up then
	attempts []*attempt
	size     int // of the body, at most, if it carries several

	progress atomic.Int32 // a callProgress: the loop and the call's goroutine agree by it
}

// callProgress is whether a call's first byte may have left.
type callProgress = int32

const (
	callPending callProgress = iota
	callWriting              // its request is being written, or was
	callRevoked              // it will not be
)

// beginWrite tells whether a call's request may be written. From then on nothing revokes it.
func (c *call) beginWrite(now time.Time) bool {
	if slices.ContainsFunc(c.attempts, func(a *attempt) bool { return !now.Before(a.deadline) }) {
		c.revoke()
	}
	return c.progress.CompareAndSwap(callPending, callWriting)
}

// revoke has a call not be made whose request is not being written yet; false if it is, or was.
func (c *call) revoke() bool {
	return c.progress.CompareAndSwap(callPending, callRevoked) || c.progress.Load() == callRevoked
}

// attempt is one message's part in a call.
type attempt struct {
	*call
	m        *message
	n        int
	deadline time.Time
	timer    *time.Timer // ends it before the rest of its call; nil if it ends with it
	settled  bool        // its outcome is told
}

// result is how an attempt ended.
type result struct {
	outcome policy.Outcome
	gone    bool // the message is over: nothing more is owed
	wait    time.Duration
	report  policy.Report
	took    time.Duration // from when the request was written
}

func newHostClient(cfg Config) *hostClient {
	return &hostClient{pool: newPool(cfg), reportFields: cfg.Reports, guard: invariant.New(slog.Default())}
}

// do makes a call and tells the end of each of its attempts, in their order. clear is asked once more before
// the request is written where a new connection had to come up first.
func (h *hostClient) do(ctx context.Context, c *call, allowed func() bool) []result {
	ctx, cancel := context.WithDeadline(ctx, c.deadline)
	defer cancel()
	conn, isNew, err := h.get(ctx, peer{c.route, c.addr})
	switch {
	case err != nil && isLocalShortage(err):
		return sameResults(c, result{outcome: policy.Moot})
	case err != nil:
		return sameResults(c, result{outcome: policy.ConnectFailed})
	}
	// While the connection came up, a drain or a wait may have been told.
	if isNew && !allowed() {
		conn.release()
		return sameResults(c, result{outcome: policy.Moot})
	}
	req, err := newRequest(c)
	if err != nil {
		conn.release()
		return sameResults(c, result{outcome: policy.Moot})
	}
	// A message of it may have ended since the call was decided on, or its time may be up.
	if !c.beginWrite(clock.Now()) {
		conn.release()
		return sameResults(c, result{outcome: policy.Moot})
	}
	return h.exchange(ctx, req, c, conn)
}

// exchange writes the request, reads its answer, and keeps or drops the connection.
func (h *hostClient) exchange(ctx context.Context, req *http.Request, c *call, conn *hostConn) []result {
	// A call is given up by closing its connection: no answer to it is read any more.
	stop := context.AfterFunc(ctx, func() { conn.SetDeadline(longAgo) })
	began := clock.Now()
	for _, a := range c.attempts {
		h.guard.InTime(a.m.Trace, c.route, a.m.Deadline.Sub(began))
	}
	err := writeRequest(conn, req)
	written := err == nil
	if written && h.onWritten != nil {
		h.onWritten(c)
	}
	several := len(c.attempts) > 1
	a := readAnswer(conn, req, several) // there may be an answer though not all could be written
	if stop() && a.err == nil && written {
		conn.SetDeadline(time.Time{})
		conn.release()
	} else {
		conn.discard()
	}
	if a.firstByteAt.IsZero() {
		a.firstByteAt = clock.Now()
	}
	r := h.headResult(a.head)
	r.took = a.firstByteAt.Sub(began)
	malformed := a.err != nil && !errors.Is(a.err, errConnSpent)
	switch {
	case a.head != nil && a.head.StatusCode == http.StatusOK && !several:
		r.outcome = policy.OK // with the first line: what follows means nothing
	case malformed:
		// The last byte tells: without it no host has begun. Whatever is doubtful may have run.
		r.outcome = failureOutcome(ctx, written)
	case a.head.StatusCode == http.StatusOK:
		return bundleResults(c, r, a.body)
	default:
		r.outcome, r.gone = statusOutcome(a.head)
	}
	return sameResults(c, r)
}

// writeRequest writes a request in one go.
func writeRequest(conn *hostConn, req *http.Request) error {
	var text bytes.Buffer
	if err := req.Write(&text); err != nil {
		return err
	}
	_, err := conn.Write(text.Bytes())
	return err
}

// hostAnswer is what came in answer to a call.
type hostAnswer struct {
	head        *http.Response // of a spoilt one perhaps its first line alone; nil if that cannot be read either
	body        []byte         // of an answer to several messages
	err         error          // why it is not whole, or more than whole: its connection is of no further use
	firstByteAt time.Time      // its first byte
}

// readAnswer reads an answer, to several messages or to one.
func readAnswer(conn *hostConn, req *http.Request, several bool) (a hostAnswer) {
	conn.allow(headMost)
	_, a.err = conn.r.Peek(1)
	if errors.Is(a.err, os.ErrDeadlineExceeded) {
		// Past a deadline nothing is read, not even what is there: a wait that it tells binds all the same.
		conn.SetReadDeadline(clock.Now().Add(lateReadTimeout))
		_, a.err = conn.r.Peek(1)
	}
	if a.err != nil {
		return a
	}
	// Where the call ended this very moment, this takes the place of its deadline, and it ends so much later.
	a.firstByteAt = clock.Now()
	conn.SetReadDeadline(a.firstByteAt.Add(answerReadTimeout))
	for range maxInformational {
		var line []byte
		if line, a.err = peekLine(conn.r); a.err != nil {
			return a
		}
		if a.head, a.err = http.ReadResponse(conn.r, req); a.err != nil {
			a.head = parseStatusLine(line, req)
			return a
		}
		if a.head.StatusCode >= 200 {
			a.body, a.err = readAnswerBody(conn, a.head, several)
			return a
		}
		a.head = nil
	}
	a.err = errMalformedAnswer
	return a
}

// peekLine looks at what comes, to the end of its first line.
func peekLine(r *bufio.Reader) ([]byte, error) {
	for {
		ahead, _ := r.Peek(r.Buffered())
		if i := bytes.IndexByte(ahead, '\n'); i >= 0 {
			return bytes.Clone(ahead[:i+1]), nil
		}
		if _, err := r.Peek(len(ahead) + 1); err != nil {
			return nil, err // bufio.ErrBufferFull: a line without end
		}
	}
}

// parseStatusLine reads a first line by itself; nil if it cannot be read.
func parseStatusLine(line []byte, req *http.Request) *http.Response {
	head, err := http.ReadResponse(bufio.NewReader(io.MultiReader(bytes.NewReader(line), strings.NewReader("\r\n"))), req)
	if err != nil {
		return nil
	}
	return head
}

// readAnswerBody reads an answer's body. It returns an error also if the connection can carry no further call.
func readAnswerBody(conn *hostConn, head *http.Response, several bool) (body []byte, err error) {
	if head.ContentLength > bodyMost {
		return nil, errMalformedAnswer
	}
	conn.allow(wireMost)
	rest := io.LimitReader(head.Body, bodyMost+1)
	if several && head.StatusCode == http.StatusOK {
		if body, err = io.ReadAll(rest); err == nil && len(body) > bodyMost {
			err = errMalformedAnswer
		}
	} else if n, copyErr := io.Copy(io.Discard, rest); copyErr != nil || n > bodyMost {
		err = cmp.Or(copyErr, errMalformedAnswer)
	}
	switch {
	case err != nil:
		return nil, err
	case conn.r.Buffered() > 0, head.Close, head.ContentLength < 0 && len(head.TransferEncoding) == 0:
		return body, errConnSpent
	}
	return body, nil
}

// failureOutcome is the outcome of a call whose answer did not come.
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

// newRequest makes the request of a call.
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

// bundleItem is a message in a bundle.
type bundleItem struct {
	ID   string `json:"id"`
	Key  string `json:"key,omitempty"`
	Body []byte `json:"body"`
}

// maxItemSize is the most that a message takes in a bundle: any byte of an id may be escaped.
func maxItemSize(m *message) int {
	return base64.StdEncoding.EncodedLen(len(m.Body)) + 6*(len(m.Trace)+len(m.Key)) + len(`{"id":"","key":"","body":""},[]`)
}

func bundleBody(c *call) []byte {
	items := make([]bundleItem, 0, len(c.attempts))
	for _, a := range c.attempts {
		items = append(items, bundleItem{a.m.Trace, a.m.Key, append([]byte{}, a.m.Body...)}) // null is no body
	}
	data, err := json.Marshal(items)
	if err != nil {
		panic(err) // strings and bytes only: cannot fail
	}
	return data
}

// headResult is what a head tells besides its message's end.
func (h *hostClient) headResult(head *http.Response) (r result) {
	if head != nil {
		r.wait = parseRetryAfter(head.Header.Get("Retry-After"))
		r.report = h.parseReport(head.Header.Get("Endpoint-Load-Metrics"))
	}
	return r
}

// statusOutcome is what a status other than 200 says.
func statusOutcome(head *http.Response) (o policy.Outcome, gone bool) {
	switch head.StatusCode {
	case http.StatusTooManyRequests:
		return policy.Full, false
	case http.StatusServiceUnavailable:
		if head.Header.Get("Slots-Taken") == "1" {
			return policy.Moot, false
		}
		return policy.Full, false
	case http.StatusGatewayTimeout:
		return policy.Moot, false
	case http.StatusGone:
		return policy.Moot, true
	}
	return policy.Error, false // 500, and what is not known: it may have run
}

// bundleResults reads the end of each message of a bundle. One that is missing or unreadable may have run.
func bundleResults(c *call, r result, body []byte) []result {
	unread := r
	unread.outcome = policy.Error
	var raw []json.RawMessage
	if json.Unmarshal(body, &raw) != nil {
		raw = nil
	}
	states := make(map[string]string, len(raw))
	for _, x := range raw {
		var item struct{ ID, State string }
		if json.Unmarshal(x, &item) == nil {
			states[item.ID] = item.State
		}
	}
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
			results[i].outcome, results[i].gone = policy.Moot, true
		case "exhausted":
			results[i].outcome = policy.Moot
		}
	}
	return results
}

// parseReport reads what a host tells of its limit.
func (h *hostClient) parseReport(text string) policy.Report {
	var rep policy.Report
	text, ok := strings.CutPrefix(text, "TEXT ")
	if !ok {
		return rep
	}
	for pair := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(pair), "=")
		x, err := strconv.ParseFloat(value, 64)
		// NaN compares as false.
		if err != nil || !(x >= 0 && x <= maxReportValue) || !slices.Contains(h.reportFields, name) {
			continue
		}
		switch name {
		case "x0":
			rep.Left = x
		case "x1":
			rep.Limit, rep.Told = x, true
		}
	}
	return rep
}

// parseRetryAfter reads a Retry-After, whole or decimal; 0 if there is none that can be read.
func parseRetryAfter(text string) time.Duration {
	x, err := strconv.ParseFloat(text, 64)
	if err != nil || !(x > 0) || x > 1e6 {
		return 0
	}
	return time.Duration(x * float64(time.Second))
}

// sameResults gives every attempt of a call the same end.
func sameResults(c *call, r result) []result {
	results := make([]result, len(c.attempts))
	for i := range results {
		results[i] = r
	}
	return results
}
