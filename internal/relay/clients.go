package relay

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/textproto"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/time/rate"

	"onyxroad.dev/onyxroad/internal/clock"
	"onyxroad.dev/onyxroad/internal/invariant"
	"onyxroad.dev/onyxroad/internal/sockets"
	"onyxroad.dev/onyxroad/internal/wal"
	"onyxroad.dev/onyxroad/policy"
)

const (
	maxBodyBytes = 64 << 10
	maxWireBytes = 8 * maxBodyBytes // a body in chunks, however small
	maxIDBytes   = 256              // bytes of an id or a key

	// A client that sends nothing, or nothing that can be read, is owed an error or a close within 3 s of its
	// connecting.
	requestTimeout = 2 * time.Second
	idleTimeout    = 2 * time.Minute // an idle connection
	writeTimeout   = time.Second
	// What was refused may still be on its way: closed before it has come, the connection would be reset, and the
	// answer lost with it.
	lingerTimeout  = 3 * time.Second
	maxLingerBytes = 128 << 20

	// A connection that waited while accepting failed has the rest of requestFor to come with a request, and this at least.
	minRequestTime  = 250 * time.Millisecond
	stallResetAfter = 100 * time.Millisecond // after the last failure, what waited has been accepted

	acceptRetryDelay = 10 * time.Millisecond // after an accept that failed

	silentGrace = 100 * time.Millisecond // after this a connection on which nothing came makes way first
	idleGrace   = 2 * time.Second        // and an idle one may be closed without need
)

// answer is what a client is told of the message that it handed in.
type answer struct {
	status     int
	retryAfter time.Duration // advice with a refusal; 0: none
	text       string
}

func badRequest(format string, args ...any) answer {
	return answer{status: http.StatusBadRequest, text: fmt.Sprintf(format, args...)}
}

// phase is what a client's connection is at.
type phase int

const (
	phaseSilent    phase = iota // nothing has come yet
	phaseReading                // a request is coming
	phaseBusy                   // it is being answered
	phaseIdle                   // it has been
	phaseLingering              // refused, and closed but for what still comes
)

// client is one connection of a client. Its own goroutine, serve, reads it and closes it: no other knows whether a request has
// been read. Others ask it to end (dismiss); they close it only where no answer is in time any more.
type client struct {
	*conn
	phase          phase // this and what follows: guarded by clients.mu
	since          time.Time
	closeRequested bool // asked to end: a request that has been read still has its answer
	closed         bool

	unanswered atomic.Bool // a request was read, its client has not left, and its answer is not being written yet
}

// clients serves the connections of clients. Where room is short, those that say nothing make way.
type clients struct {
	log            *slog.Logger
	handler        func(c *client, req *http.Request) answer
	limit          int // connections
	keepAliveLimit int // with more than so many, none is kept for long

	mu          sync.Mutex
	changed     sync.Cond // signalled when a connection ends or falls idle
	conns       map[*client]struct{}
	closing     int  // of them, dismissed
	noKeepAlive bool // answers end their connections
	closed      bool // none is accepted any more

	stalledSince, failedAt time.Time // since when accepting has failed, and when it last did; zero: it does not

	guard        *invariant.Guard
	acceptErrors rate.Sometimes // bounds what is logged of them
}

func newClients(log *slog.Logger, most int, answer func(*client, *http.Request) answer) *clients {
	s := &clients{log: log, handler: answer, limit: most, keepAliveLimit: most * 3 / 8, conns: map[*client]struct{}{},
		guard: invariant.New(log), acceptErrors: rate.Sometimes{First: 1, Interval: time.Second}}
	s.changed.L = &s.mu
	return s
}

// run accepts connections until the listener is closed.
func (s *clients) run(l net.Listener) error {
	for {
		nc, err := sockets.AcceptFrom(l)
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil
		case err != nil:
			// A client that left at once, say, or a machine that is short of what this process can't give back: no reason to
			// close a connection whose request may be on its way.
			s.noteAccept(true)
			s.acceptErrors.Do(func() { s.log.Warn("accept", "err", err) })
			if errors.Is(err, syscall.EMFILE) {
				s.makeRoom(true)
			}
			time.Sleep(acceptRetryDelay)
			continue
		}
		s.noteAccept(false)
		s.makeRoom(false)
		c := &client{conn: newConn(nc)}
		if !s.admit(c) {
			nc.Close()
			continue
		}
		go s.serve(c)
	}
}

// admit enters a new connection; false where none is admitted any more.
func (s *clients) admit(c *client) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.conns[c] = struct{}{}
	now := clock.Now()
	c.since = now
	if !s.stalledSince.IsZero() {
		c.since = s.stalledSince // it may have waited since then
	}
	c.SetReadDeadline(laterOf(c.since.Add(requestTimeout), now.Add(minRequestTime)))
	return true
}

// noteAccept notes whether accepting fails. Connections that waited meanwhile are owed an answer or a close from their connecting on.
func (s *clients) noteAccept(failed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := clock.Now()
	switch {
	case failed && s.stalledSince.IsZero():
		s.stalledSince = now
	case !failed && now.Sub(s.failedAt) > stallResetAfter:
		s.stalledSince = time.Time{}
	}
	if failed {
		s.failedAt = now
	}
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// makeRoom waits until another connection may be held, if need be by having one end; forced, it has one end anyway.
func (s *clients) makeRoom(forced bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := clock.Now()
	if c := s.leastNeeded(now); forced && c != nil {
		s.requestClose(c)
	}
	for len(s.conns) >= s.limit {
		if c := s.leastNeeded(now); c != nil && len(s.conns)-s.closing >= s.limit {
			s.requestClose(c)
		}
		s.changed.Wait()
	}
	// Clients that ask once and keep their connections must not fill the table for good. The usual ones seldom pay:
	// theirs are in use.
	if len(s.conns) > s.keepAliveLimit {
		for c := range s.conns {
			if c.phase == phaseIdle && now.Sub(c.since) > idleGrace {
				s.requestClose(c)
			}
		}
	}
}

// leastNeeded is the connection to end where room is short; nil if all are being answered or about to end.
func (s *clients) leastNeeded(now time.Time) *client {
	rank := func(c *client) int {
		switch age := now.Sub(c.since); {
		case c.closeRequested:
			return 4
		case c.phase == phaseSilent && age > silentGrace:
			return 1
		case c.phase == phaseSilent || c.phase == phaseIdle:
			return 2
		case c.phase == phaseReading || c.phase == phaseLingering:
			return 3
		}
		return 4
	}
	var least *client
	for c := range s.conns {
		if d := rank(c); d < 4 && (least == nil || d < rank(least) || d == rank(least) && c.since.Before(least.since)) {
			least = c
		}
	}
	return least
}

// requestClose has a connection end as soon as it has read no request that is not answered. Called with mu held.
func (s *clients) requestClose(c *client) {
	if !c.closeRequested && !c.closed {
		c.closeRequested = true
		s.closing++
		c.SetReadDeadline(pastDeadline)
	}
}

// drop closes a connection and forgets it. Called with mu held.
func (s *clients) drop(c *client) {
	if !c.closed {
		c.closed = true
		if c.closeRequested {
			s.closing--
		}
		c.Close()
		delete(s.conns, c)
		s.changed.Broadcast()
	}
}

// setPhase notes what a connection is at, and how long it may be read for; false if it was dropped meanwhile, or is to end now.
func (s *clients) setPhase(c *client, p phase) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.closed {
		return false
	}
	was, from := c.phase, c.since
	c.phase, c.since = p, clock.Now()
	switch p {
	case phaseReading:
		if was != phaseSilent { // the time of a first request runs from the connecting
			from = c.since
		}
		c.SetReadDeadline(laterOf(from.Add(requestTimeout), c.since.Add(minRequestTime)))
	case phaseIdle:
		s.changed.Signal()
		if s.noKeepAlive || c.closeRequested {
			return false
		}
		c.SetReadDeadline(c.since.Add(idleTimeout))
	case phaseLingering:
		if c.closeRequested {
			return false
		}
		c.SetReadDeadline(c.since.Add(lingerTimeout))
	}
	return true
}

// setLimit changes how many connections may be held.
func (s *clients) setLimit(most int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit, s.keepAliveLimit = most, most*3/8
}

// disableKeepAlive has each connection closed with its next answer. Idle ones stay open until then: a close could cross a
// request.
func (s *clients) disableKeepAlive() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.noKeepAlive = true
}

// drain has idle connections end, and the others with their next answer.
func (s *clients) drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.noKeepAlive = true
	for c := range s.conns {
		if c.phase == phaseIdle {
			s.requestClose(c)
		}
	}
}

// close has the connections end on which nothing comes, waits for the others until by, and closes them too.
func (s *clients) close(by time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	defer time.AfterFunc(clock.Until(by), func() { s.mu.Lock(); s.changed.Broadcast(); s.mu.Unlock() }).Stop()
	for len(s.conns) > 0 {
		late := !clock.Now().Before(by)
		for c := range s.conns {
			if late {
				s.guard.Closing(c.RemoteAddr().String(), c.unanswered.Load() && c.phase == phaseBusy, 0)
				s.drop(c)
			} else if c.phase == phaseSilent || c.phase == phaseIdle {
				s.requestClose(c)
			}
		}
		if len(s.conns) > 0 {
			s.changed.Wait()
		}
	}
}

// serve reads requests off a connection until one side ends it.
func (s *clients) serve(c *client) {
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if !c.closed {
			s.guard.Closing(c.RemoteAddr().String(), c.unanswered.Load(), 0)
		}
		s.drop(c)
	}()
	for {
		c.allow(maxHeadBytes)
		if _, err := c.r.Peek(1); err != nil || !s.setPhase(c, phaseReading) {
			return
		}
		if !s.handleRequest(c) {
			return
		}
		if c.r.Buffered() == 0 && !s.setPhase(c, phaseIdle) { // else the next request has been read, and is answered
			return
		}
	}
}

// handleRequest reads a handleRequest and answers it; false if the connection is of no further use.
func (s *clients) handleRequest(c *client) bool {
	c.startCapture()
	req, err := http.ReadRequest(c.r)
	head := c.captured
	c.stopCapture()
	if err != nil {
		return s.refuse(c, readErrorAnswer(err))
	}
	switch {
	case hasBothLengths(req, head):
		// One of the two hides what the other does not count: a request in a body, or the other way round.
		return s.refuse(c, badRequest("both Content-Length and Transfer-Encoding"))
	case req.ContentLength > maxBodyBytes:
		return s.refuse(c, answer{status: http.StatusRequestEntityTooLarge, text: "body over 64 KiB"})
	}
	c.allow(maxWireBytes)
	if strings.EqualFold(req.Header.Get("Expect"), "100-continue") {
		io.WriteString(c.Conn, "HTTP/1.1 100 Continue\r\n\r\n")
	}
	c.unanswered.Store(true)
	bodyBuffered := int64(c.r.Buffered()) >= req.ContentLength && req.ContentLength >= 0
	a := s.handler(c, req)
	switch {
	case a.status == 0:
		c.unanswered.Store(false)
		return false // the client has left
	case a.status >= 400 && a.status < 500:
		if bodyBuffered {
			io.Copy(io.Discard, req.Body) // waits for nothing
		}
		if !bodyBuffered || c.r.Buffered() > 0 {
			return s.refuse(c, a)
		}
	}
	last, err := s.reply(c, a, req.Close)
	if err == nil && last && !req.Close {
		s.guard.Closing(c.RemoteAddr().String(), false, c.r.Buffered())
	}
	return err == nil && !last
}

// readErrorAnswer is the answer to what cannot be read; none to a client that left or never spoke.
func readErrorAnswer(err error) answer {
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return answer{status: http.StatusRequestTimeout, text: "request not whole in time"}
	case errors.Is(err, errTooLarge):
		return answer{status: http.StatusRequestHeaderFieldsTooLarge, text: "head or body too large"}
	}
	return badRequest("unreadable request")
}

// hasBothLengths tells whether a head gives its body's length in both ways. package http takes one of them and shows the
// other no more, so the head is read once more, by the reader that package http goes by.
func hasBothLengths(req *http.Request, head []byte) bool {
	if len(req.TransferEncoding) == 0 && req.ProtoAtLeast(1, 1) {
		return false // there was no Transfer-Encoding
	}
	r := textproto.NewReader(bufio.NewReader(bytes.NewReader(head)))
	if _, err := r.ReadLine(); err != nil {
		return true
	}
	header, err := r.ReadMIMEHeader()
	return err != nil || header["Content-Length"] != nil && header["Transfer-Encoding"] != nil
}

// refuse answers what is not taken. Where the end of it has not come or cannot be told, the connection ends, but not
// before the rest has come.
func (s *clients) refuse(c *client, a answer) bool {
	if _, err := s.reply(c, a, true); err != nil || !s.setPhase(c, phaseLingering) {
		return false
	}
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		half.CloseWrite()
	}
	io.Copy(io.Discard, io.LimitReader(c.Conn, maxLingerBytes))
	return false
}

// reply writes an answer, with advice if there is any. It returns whether the connection ends with it, asked for or not.
func (s *clients) reply(c *client, a answer, closeConn bool) (bool, error) {
	s.mu.Lock()
	// Clients can hold only so many connections, too: where many are held, those that ask once and stay would keep
	// the others from connecting, long before the table here is full.
	closeConn = closeConn || c.r.Buffered() == 0 && (s.noKeepAlive || c.closeRequested || len(s.conns) > s.keepAliveLimit)
	s.mu.Unlock()
	res := http.Response{StatusCode: a.status, ProtoMajor: 1, ProtoMinor: 1, Header: http.Header{}, Close: closeConn}
	if a.retryAfter > 0 {
		res.Header.Set("Retry-After", strconv.FormatFloat(a.retryAfter.Seconds(), 'f', 3, 64))
	}
	if a.text != "" {
		res.Header.Set("Content-Type", "text/plain; charset=utf-8")
		res.Body, res.ContentLength = io.NopCloser(strings.NewReader(a.text+"\n")), int64(len(a.text)+1)
	}
	var text bytes.Buffer
	if err := res.Write(&text); err != nil {
		return closeConn, err
	}
	c.SetWriteDeadline(clock.Now().Add(writeTimeout))
	c.unanswered.Store(false) // if it can't be written, its client has left
	_, err := c.Write(text.Bytes())
	return closeConn, err
}

// handleClient answers a client's handleClient.
func (r *Relay) handleClient(c *client, req *http.Request) answer {
	switch {
	case req.URL.Path == "/_health" && req.Method == http.MethodGet:
		if !r.hasList.Load() || r.shuttingDown.Load() {
			return answer{status: http.StatusServiceUnavailable}
		}
		return answer{status: http.StatusOK}
	case req.Method != http.MethodPost:
		return answer{status: http.StatusMethodNotAllowed, text: "messages are handed in by POST"}
	}
	return r.handleSubmission(c, req)
}

// handleSubmission takes one message. Whatever is malformed ends here and never reaches the decision module.
func (r *Relay) handleSubmission(c *client, req *http.Request) answer {
	received := clock.Now()
	m, timeLeft, err := r.parseMessage(req)
	if err != nil {
		return badRequest("%v", err)
	}
	m.Deadline = received.Add(timeLeft)
	if m.Body, err = readBody(req); errors.Is(err, errTooLarge) {
		return answer{status: http.StatusRequestEntityTooLarge, text: "body over 64 KiB"}
	} else if err != nil {
		return readErrorAnswer(err)
	}
	if c.r.Buffered() > 0 {
		// Clients send one request at a time: the length was wrong, and the body is not what was meant.
		return badRequest("more bytes than the length tells")
	}
	if !r.clients.setPhase(c, phaseBusy) {
		return answer{}
	}
	in := &submission{m: m, reply: make(chan answer, 1)}
	c.watch(nil)
	if !r.post(in) {
		c.unwatch()
		return answer{status: http.StatusServiceUnavailable, retryAfter: policy.RetryAdvice}
	}
	a := <-in.reply
	if open, _ := c.unwatch(); open {
		return a
	}
	// A client that has left without the answer hands the message in anew: this one must not be sent as well.
	if m.ID != 0 {
		r.post(withdrawal{m.ID})
	}
	return answer{}
}

// readBody reads a body, which is as long as its head tells, or comes in chunks.
func readBody(req *http.Request) ([]byte, error) {
	if req.ContentLength >= 0 {
		body := make([]byte, req.ContentLength)
		_, err := io.ReadFull(req.Body, body)
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(req.Body, maxBodyBytes+1))
	if err == nil && len(body) > maxBodyBytes {
		err = errTooLarge
	}
	return body, err
}

// parseMessage reads all of a request but its body.
func (r *Relay) parseMessage(req *http.Request) (m *wal.Message, timeLeft time.Duration, err error) {
	class := strings.TrimPrefix(req.URL.Path, "/")
	m = &wal.Message{
		Trace: req.Header.Get("X-Trace-Id"),
		Key:   req.Header.Get("Idempotency-Key"),
		Order: req.URL.Query().Get("key"), // what the message is about, where its class keeps order
		Class: slices.Index(r.cfg.Classes, class),
	}
	switch {
	case m.Class < 0:
		return nil, 0, fmt.Errorf("unknown class %q", class)
	case req.Header.Get("X-Qos") != class:
		return nil, 0, errors.New("path and X-Qos differ")
	case m.Trace == "" || max(len(m.Trace), len(m.Key), len(m.Order)) > maxIDBytes:
		return nil, 0, errors.New("no X-Trace-Id, or an id or key too long")
	case len(req.Header["X-Trace-Id"]) > 1 || len(req.Header["Idempotency-Key"]) > 1:
		return nil, 0, errors.New("more than one id or key")
	case m.Key == "" && r.cfg.Settings.Classes[m.Class].Effect == policy.Keyed:
		return nil, 0, errors.New("no Idempotency-Key")
	}
	if len(r.cfg.Customers) > 0 {
		if m.Customer = slices.Index(r.cfg.Customers, req.Header.Get("X-Customer")); m.Customer < 0 {
			return nil, 0, fmt.Errorf("unknown customer %q", req.Header.Get("X-Customer"))
		}
	}
	ms, err := strconv.ParseInt(req.Header.Get("X-Expires-In-Ms"), 10, 64)
	if most := r.cfg.longest(m.Class); err != nil || ms < 0 || ms > most.Milliseconds() {
		return nil, 0, errors.New("bad X-Expires-In-Ms")
	}
	if m.Dest, err = parseDestination(req.Header.Get("Envelope")); err != nil {
		return nil, 0, err
	}
	return m, time.Duration(ms) * time.Millisecond, nil
}

// parseDestination finds dest among the name=value pairs of an envelope.
func parseDestination(envelope string) (int, error) {
	for _, pair := range strings.FieldsFunc(envelope, func(c rune) bool { return strings.ContainsRune(",;& ", c) }) {
		if value, ok := strings.CutPrefix(pair, "dest="); ok {
			n, err := strconv.Atoi(value)
			if err != nil || n < 0 {
				return 0, fmt.Errorf("bad dest %q", value)
			}
			return n, nil
		}
	}
	return 0, errors.New("no dest in the Envelope")
}
