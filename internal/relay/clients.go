package relay

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/time/rate"

	"onyxroad.dev/onyxroad/internal/clock"
	"onyxroad.dev/onyxroad/internal/invariant"
	"onyxroad.dev/onyxroad/internal/sockets"
)

const (
	maxBodyBytes = 64 << 10
	maxWireBytes = 8 * maxBodyBytes // wire size of a chunked body, however small its chunks
	maxIDBytes   = 256              // of an id or a key

	// A client that sends nothing, or nothing readable, must get an error or a close within 3 s of connecting.
	requestTimeout = 2 * time.Second
	// In a crowd it may have waited before it was accepted.
	crowdedRequestTimeout = time.Second
	idleTimeout           = 2 * time.Minute // of an idle connection
	writeTimeout          = time.Second
	// The rest of a refused request may still be in transit. Closing the connection before it has arrived would send a
	// reset, and the client would lose the answer.
	lingerTimeout  = 3 * time.Second
	maxLingerBytes = 128 << 20

	// A connection that waited while accepting failed gets the rest of requestTimeout for its request, but at least this.
	minRequestTime  = 250 * time.Millisecond
	stallResetAfter = 100 * time.Millisecond // by this time after the last failure, all waiting connections have been accepted

	acceptRetryDelay = 10 * time.Millisecond // after a failed accept
)

// answer is the response to a request of a client or of an operator.
type answer struct {
	status     int
	retryAfter time.Duration // Retry-After of a refusal; 0: none
	text       string
	unread     bool // the request has not been read to its end
}

// encode returns the answer as it is written to a client. Package http needs a buffer of 32 KiB for that.
func (a answer) encode(closeConn bool) []byte {
	const usualBytes = 256
	text := make([]byte, 0, usualBytes+len(a.text))
	text = fmt.Appendf(text, "HTTP/1.1 %03d %s\r\n", a.status, http.StatusText(a.status))
	if closeConn {
		text = append(text, "Connection: close\r\n"...)
	}
	if a.retryAfter > 0 {
		text = fmt.Appendf(text, "Retry-After: %.3f\r\n", a.retryAfter.Seconds())
	}
	if a.text == "" {
		return append(text, "Content-Length: 0\r\n\r\n"...)
	}
	return fmt.Appendf(text, "Content-Type: text/plain; charset=utf-8\r\nContent-Length: %d\r\n\r\n%s\n", len(a.text)+1, a.text)
}

func badRequest(format string, args ...any) answer {
	return answer{status: http.StatusBadRequest, text: fmt.Sprintf(format, args...)}
}

// phase is the state of a client's connection.
type phase int

const (
	phaseSilent    phase = iota // nothing has arrived yet
	phaseReading                // a request is arriving
	phaseBusy                   // a request is being answered
	phaseIdle                   // the last request has been answered
	phaseLingering              // a request was refused; closed except for reading the rest of it
)

// client is one connection of a client. Its own goroutine, serve, reads and closes it, because no other knows whether a
// request has been read. Others only ask for a close (requestClose); they close it themselves only where no answer
// could be in time.
type client struct {
	*conn
	number         uint64 // unique in this process
	phase          phase  // this and the fields up to closed are guarded by clients.mu
	since          time.Time
	firstTimeout   time.Duration // for the first request, from the connect
	closeRequested bool          // a request that has been read is still answered
	kept           bool          // it is kept alive after its answers
	evicted        bool          // it was asked to close for lack of room
	closed         bool

	unanswered atomic.Bool // a request was read, its client has not disconnected, and its answer is not being written yet

	// Owned by the connection's goroutine, and by the one that watches for the client's leave while that runs.
	memory     requestMemory
	surplus    bool   // more has arrived than a next request's beginning, and was dropped
	acceptedID uint32 // id of the message whose answer is being written; 0: none
}

// clients serves the connections of clients. At its limit, it closes silent ones to make room for new ones.
type clients struct {
	log            *slog.Logger
	handler        func(c *client, req *http.Request) answer
	budget         *budget         // nil: the requests are small, and not charged
	onUnwritten    func(id uint32) // called with the message whose answer could not be written; may be nil
	limit          int             // most connections
	keepAliveLimit int             // most connections that are kept alive after their answers

	mu          sync.Mutex
	changed     sync.Cond // signalled when a connection ends or becomes idle
	conns       map[*client]struct{}
	kept        int    // how many of conns are kept alive after their answers
	closing     int    // how many of conns were asked to close
	lastNumber  uint64 // of a connection
	noKeepAlive bool   // close each connection with its answer
	closed      bool   // no more connections are accepted

	stalledSince, failedAt time.Time // when accepting began to fail, and when it last did; zero: it does not fail

	guard        *invariant.Guard
	causes       *causes
	acceptErrors rate.Sometimes // limits how often they are logged
}

func newClients(log *slog.Logger, limit int, handler func(*client, *http.Request) answer) *clients {
	s := &clients{log: log, handler: handler, limit: limit, keepAliveLimit: limit * 3 / 8, conns: map[*client]struct{}{},
		guard: invariant.New(log), causes: newCauses(log), acceptErrors: rate.Sometimes{First: 1, Interval: time.Second}}
	s.changed.L = &s.mu
	return s
}

// run accepts connections until the listener is closed.
func (cs *clients) run(l net.Listener) error {
	for accepted := 1; ; accepted++ {
		nc, err := sockets.AcceptFrom(l)
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil
		case err != nil:
			// The client disconnected at once, or the machine lacks a resource that this process cannot free. Neither
			// is a reason to close a connection whose request may be in transit.
			cs.noteAccept(true)
			cs.acceptErrors.Do(func() { cs.log.Warn("accept", "err", err) })
			if errors.Is(err, syscall.EMFILE) {
				cs.makeRoom(true)
			}
			time.Sleep(acceptRetryDelay)
			continue
		}
		cs.noteAccept(false)
		cs.makeRoom(false)
		if accepted%acceptBatch == 0 {
			awaitIdleProcessor()
		}
		c := &client{conn: newConnSize(nc, requestBufferSize), memory: requestMemory{budget: cs.budget}}
		if !cs.admit(c) {
			nc.Close()
			continue
		}
		go cs.serve(c)
	}
}

// admit adds a new connection. It returns false if no more are accepted.
func (cs *clients) admit(c *client) bool {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if cs.closed {
		return false
	}
	cs.lastNumber++
	c.number = cs.lastNumber
	cs.conns[c] = struct{}{}
	now := clock.Now()
	c.since = now
	if !cs.stalledSince.IsZero() {
		c.since = cs.stalledSince // it may have been waiting since then
	}
	c.firstTimeout = requestTimeout
	if cs.free() < newcomerLimit(cs.limit)/spareShare {
		c.firstTimeout = crowdedRequestTimeout
	}
	c.SetReadDeadline(laterOf(c.since.Add(c.firstTimeout), now.Add(minRequestTime)))
	return true
}

// noteAccept records whether accepting fails. The deadline of connections that wait meanwhile runs from their connecting.
func (cs *clients) noteAccept(failed bool) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	now := clock.Now()
	switch {
	case failed && cs.stalledSince.IsZero():
		cs.stalledSince = now
	case !failed && now.Sub(cs.failedAt) > stallResetAfter:
		cs.stalledSince = time.Time{}
	}
	if failed {
		cs.failedAt = now
	}
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// requestClose makes a connection close as soon as no request that it has read is unanswered. Called with mu held.
func (cs *clients) requestClose(c *client) {
	if !c.closeRequested && !c.closed {
		c.closeRequested = true
		cs.closing++
		c.SetReadDeadline(pastDeadline)
	}
}

// drop closes a connection and removes it. Called with mu held.
func (cs *clients) drop(c *client) {
	if !c.closed {
		c.closed = true
		if c.closeRequested {
			cs.closing--
		}
		c.Close()
		if c.kept {
			cs.kept--
		}
		delete(cs.conns, c)
		cs.changed.Broadcast()
	}
}

// setPhase sets a connection's phase and read deadline. It returns false if the connection was dropped or must close now.
func (cs *clients) setPhase(c *client, p phase) bool {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if c.closed {
		return false
	}
	was, from := c.phase, c.since
	c.phase, c.since = p, clock.Now()
	switch p {
	case phaseReading:
		if c.evicted {
			break // the request is answered from what has arrived
		}
		timeout := c.firstTimeout
		if was != phaseSilent { // the time limit of a first request starts at the connect
			from, timeout = c.since, requestTimeout
		}
		c.SetReadDeadline(laterOf(from.Add(timeout), c.since.Add(minRequestTime)))
	case phaseIdle:
		cs.changed.Signal() // it may be closed for another
		if cs.noKeepAlive || c.closeRequested {
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

// setLimit changes the limit on connections. Above it, those that are not needed are closed.
func (cs *clients) setLimit(limit int) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.limit, cs.keepAliveLimit = limit, limit*3/8
	for len(cs.conns)-cs.closing > limit && cs.evictOne(rankIdle) {
	}
}

// disableKeepAlive makes each connection close with its next answer. Idle ones stay open until then, because a close
// could cross a request.
func (cs *clients) disableKeepAlive() {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.noKeepAlive = true
}

// drain closes idle connections now, and the others with their next answer.
func (cs *clients) drain() {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.noKeepAlive = true
	for c := range cs.conns {
		if c.phase == phaseIdle {
			cs.requestClose(c)
		}
	}
}

// close closes silent and idle connections, waits until by for the others, and then closes them too.
func (cs *clients) close(by time.Time) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.closed = true
	defer time.AfterFunc(clock.Until(by), func() { cs.mu.Lock(); cs.changed.Broadcast(); cs.mu.Unlock() }).Stop()
	for len(cs.conns) > 0 {
		late := !clock.Now().Before(by)
		for c := range cs.conns {
			if late {
				cs.guard.CheckClose(c.RemoteAddr().String(), c.unanswered.Load() && c.phase == phaseBusy, 0)
				cs.drop(c)
			} else if c.phase == phaseSilent || c.phase == phaseIdle {
				cs.requestClose(c)
			}
		}
		if len(cs.conns) > 0 {
			cs.changed.Wait()
		}
	}
}

// serve reads requests from a connection until either side closes it.
func (cs *clients) serve(c *client) {
	defer func() {
		cs.mu.Lock()
		defer cs.mu.Unlock()
		if !c.closed {
			cs.guard.CheckClose(c.RemoteAddr().String(), c.unanswered.Load(), 0)
		}
		cs.drop(c)
	}()
	for {
		c.allow(maxHeadBytes)
		if !cs.awaitRequest(c) || !cs.setPhase(c, phaseReading) {
			return
		}
		if !cs.handleRequest(c) {
			return
		}
		if c.r.Buffered() == 0 && !cs.setPhase(c, phaseIdle) { // otherwise the next request has already been read, and is answered
			return
		}
	}
}

// awaitRequest waits for the first byte of a request. A connection that is closed for another may have sent one that its goroutine
// had no turn to read.
func (cs *clients) awaitRequest(c *client) bool {
	_, err := c.r.Peek(1)
	if errors.Is(err, os.ErrDeadlineExceeded) && cs.isEvicted(c) {
		c.SetReadDeadline(clock.Now().Add(evictedReadTime))
		_, err = c.r.Peek(1)
		c.SetReadDeadline(pastDeadline)
	}
	return err == nil
}

// handleRequest reads and answers one request. It returns false if the connection cannot be used further.
func (cs *clients) handleRequest(c *client) bool {
	defer c.memory.release()
	req, err := readRequest(c.r, c.memory.growHead)
	if err != nil {
		return cs.refuse(c, cs.readErrorAnswer(err))
	}
	if req.ContentLength > maxBodyBytes {
		cs.causes.count(causeTooLarge)
		return cs.refuse(c, answer{status: http.StatusRequestEntityTooLarge, text: "body over 64 KiB"})
	}
	c.allow(maxWireBytes)
	if strings.EqualFold(req.Header.Get("Expect"), "100-continue") {
		io.WriteString(c.Conn, "HTTP/1.1 100 Continue\r\n\r\n")
	}
	c.unanswered.Store(true)
	bodyBuffered := int64(c.r.Buffered()) >= req.ContentLength && req.ContentLength >= 0
	c.acceptedID, c.surplus = 0, false
	a := cs.handler(c, req)
	switch {
	case a.status == 0:
		c.unanswered.Store(false)
		return false // the client has disconnected
	case a.unread:
		return cs.refuse(c, a)
	case a.status >= 400 && a.status < 500:
		if bodyBuffered {
			io.Copy(io.Discard, req.Body) // does not block
		}
		if !bodyBuffered || c.r.Buffered() > 0 || c.surplus {
			cs.causes.count(causeInvalid)
			return cs.refuse(c, a)
		}
	}
	last, err := cs.reply(c, a, req.Close || c.surplus)
	if err != nil && cs.onUnwritten != nil {
		cs.onUnwritten(c.acceptedID)
	}
	if err == nil && c.surplus {
		cs.linger(c)
		return false
	}
	if err == nil && last && !req.Close {
		cs.guard.CheckClose(c.RemoteAddr().String(), false, c.r.Buffered())
	}
	return err == nil && !last
}

// readErrorAnswer is the answer to a request that cannot be read.
func (cs *clients) readErrorAnswer(err error) answer {
	switch {
	case errors.Is(err, errNoRoom):
		cs.causes.count(causeNoRoom)
		return answer{status: http.StatusRequestHeaderFieldsTooLarge, text: err.Error()}
	case errors.Is(err, os.ErrDeadlineExceeded):
		cs.causes.count(causeTimeout)
		return answer{status: http.StatusRequestTimeout, text: "request not whole in time"}
	case errors.Is(err, errTooLarge):
		cs.causes.count(causeTooLarge)
		return answer{status: http.StatusRequestHeaderFieldsTooLarge, text: "head or body too large"}
	case errors.Is(err, errBothLengths):
		return badRequest("%v", err)
	}
	return badRequest("unreadable request")
}

// isEvicted reports whether a connection was asked to close for lack of room.
func (cs *clients) isEvicted(c *client) bool {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return c.evicted
}

// refuse answers a request that is not accepted. The connection is closed, because the end of the request has not
// arrived or cannot be determined, but only after the rest has been read.
func (cs *clients) refuse(c *client, a answer) bool {
	c.memory.release()
	if _, err := cs.reply(c, a, true); err == nil {
		cs.linger(c)
	}
	return false
}

// linger reads the rest of what a client sends after its last answer, with the buffer that the connection has.
func (cs *clients) linger(c *client) {
	if !cs.setPhase(c, phaseLingering) {
		return
	}
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		half.CloseWrite()
	}
	c.allow(maxLingerBytes)
	for drained := 0; drained < maxLingerBytes; {
		if _, err := c.r.Peek(1); err != nil {
			return
		}
		c.r.Discard(c.r.Buffered())
		drained += drain(c.Conn)
	}
}

const drainBufferSize = 16 << 10

// drainBuffers are shared by connections whose input is dropped. One is used only while there is something to read.
var drainBuffers = sync.Pool{New: func() any { return new([drainBufferSize]byte) }}

// drain drops what has arrived on a connection, and returns how much that was.
func drain(c net.Conn) int {
	buffer := drainBuffers.Get().(*[drainBufferSize]byte)
	defer drainBuffers.Put(buffer)
	return sockets.Drain(c, buffer[:])
}

// reply writes an answer. It returns whether the connection closes after it, be it for closeConn or for another reason.
func (cs *clients) reply(c *client, a answer, closeConn bool) (bool, error) {
	cs.mu.Lock()
	// Clients can hold only a limited number of connections, too. If there are many, clients that send one request and
	// stay would keep others from connecting long before the table here is full.
	closeConn = closeConn || c.r.Buffered() == 0 && (cs.noKeepAlive || c.closeRequested || !cs.keep(c))
	cs.mu.Unlock()
	c.SetWriteDeadline(clock.Now().Add(writeTimeout))
	c.unanswered.Store(false) // if the write fails, the client has disconnected
	_, err := c.Write(a.encode(closeConn))
	return closeConn, err
}
