package relay

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"onyxroad.dev/onyxroad/internal/clock"
	"onyxroad.dev/onyxroad/internal/sockets"
	"onyxroad.dev/onyxroad/internal/wal"
	"onyxroad.dev/onyxroad/policy"
)

// Requests of clients: what a submission is made of, and the way of one from its head to its answer.

// handleClient answers a client's request.
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

// handleSubmission accepts one message. Malformed requests are answered here and never reach the decision module.
func (r *Relay) handleSubmission(c *client, req *http.Request) answer {
	received := clock.Now()
	m, timeLeft, err := r.parseMessage(req)
	if err != nil {
		return badRequest("%v", err)
	}
	m.Deadline = received.Add(timeLeft)
	if length := int(req.ContentLength); length > policy.SmallRequestBytes && !r.budget.admits(length, 0) {
		return r.submitUnread(c, m) // before the body takes any memory
	}
	if m.Body, err = readBody(req, maxBodyBytes, c.memory.growBody); errors.Is(err, errTooLarge) {
		return answer{status: http.StatusRequestEntityTooLarge, text: "body over 64 KiB"}
	} else if errors.Is(err, errNoRoom) || r.clients.isEvicted(c) && errors.Is(err, os.ErrDeadlineExceeded) {
		m.Body = nil
		return r.submitUnread(c, m)
	} else if err != nil {
		return r.clients.readErrorAnswer(err)
	}
	if a, ok := checkAhead(c); !ok {
		return a
	}
	if !r.clients.setPhase(c, phaseBusy) {
		return answer{}
	}
	in := &submission{m: m, client: c, reply: make(chan answer, 1)}
	c.watchForLeave(func() { in.markLeft(); r.post(clientLeft{in}) })
	if !r.post(in) {
		c.endWatch()
		return answer{status: http.StatusServiceUnavailable, retryAfter: policy.MinRetryAfter}
	}
	a := <-in.reply
	if present, at := c.endWatch(); present {
		in.answered.Store(true)
		r.logAnswer(m, a, at)
		c.acceptedID = m.ID
		return a
	}
	r.clients.causes.count(causeLeft)
	r.withdrawUnanswered(m.ID)
	return answer{}
}

// submitUnread has a request refused for lack of room before its body has been read. The loop decides on the answer, because the id
// may be known, and remembers the refusal.
func (r *Relay) submitUnread(c *client, m *wal.Message) answer {
	r.clients.causes.count(causeNoRoom)
	c.memory.release()
	in := &submission{m: m, unread: true, reply: make(chan answer, 1)}
	if !r.post(in) {
		return answer{status: http.StatusServiceUnavailable, retryAfter: policy.MinRetryAfter, unread: true}
	}
	a := <-in.reply
	a.unread = true
	return a
}

// withdrawUnanswered withdraws the message of a client that has disconnected without an answer. It submits the message
// again, so this one must not be sent as well. An id of 0 stands for no message.
func (r *Relay) withdrawUnanswered(id uint32) {
	if id != 0 {
		r.post(withdrawal{id})
	}
}

// checkAhead looks at what the client has sent behind its request. ok is false if the request cannot be taken.
func checkAhead(c *client) (a answer, ok bool) {
	ahead := sockets.Bytes
	if c.r.Buffered() == 0 {
		ahead = sockets.ReadAhead(c.Conn)
	}
	switch ahead {
	case sockets.Bytes:
		// Clients send one request at a time, so Content-Length was wrong and the body is not the intended one.
		c.surplus = true
		return badRequest("more bytes than the length tells"), false
	case sockets.End:
		return answer{}, false
	}
	return answer{}, true
}

// The buffer for a body grows with what has arrived.
const (
	firstBodyBytes = 1 << 10
	bodyGrowth     = 4 // fewer steps leave less garbage
)

// partBuffers are for bodies that are not whole yet, by their size.
var partBuffers = map[int]*sync.Pool{bodyGrowth * firstBodyBytes: {}, bodyGrowth * bodyGrowth * firstBodyBytes: {}}

// moveBody moves the beginning of a body to a buffer of another size. The one that it was in is used again.
func moveBody(part []byte, size int) []byte {
	var buffer []byte
	if pool := partBuffers[size]; pool != nil {
		if free, ok := pool.Get().(*[]byte); ok {
			buffer = *free
		}
	}
	if buffer == nil {
		buffer = make([]byte, 0, size)
	}
	if pool := partBuffers[cap(part)]; pool != nil {
		free := part[:0]
		pool.Put(&free)
	}
	return append(buffer[:0], part...)
}

// readBody reads a body of at most limit bytes, with a Content-Length or chunked. grow is asked before the body gets more
// room than it has.
func readBody(req *http.Request, limit int64, grow func(bytes int) error) ([]byte, error) {
	length := req.ContentLength
	if length > limit {
		return nil, errTooLarge
	}
	most := int(limit) + 1
	if length >= 0 {
		most = int(length)
	}
	body := make([]byte, 0, min(most, firstBodyBytes))
	for len(body) < most {
		if len(body) == cap(body) {
			size := min(most, bodyGrowth*cap(body))
			if err := grow(size); err != nil {
				return nil, err
			}
			body = moveBody(body, size)
		}
		n, err := req.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return nil, err
		}
	}
	if int64(len(body)) > limit {
		return nil, errTooLarge
	}
	if int64(len(body)) < length {
		return nil, io.ErrUnexpectedEOF
	}
	return body, nil
}

// parseMessage reads a message from a request, except for its body.
func (r *Relay) parseMessage(req *http.Request) (m *wal.Message, timeLeft time.Duration, err error) {
	class := strings.TrimPrefix(req.URL.Path, "/")
	m = &wal.Message{
		Trace: req.Header.Get("X-Trace-Id"),
		Key:   req.Header.Get("Idempotency-Key"),
		Order: req.URL.Query().Get("key"), // the ordering key, for classes that keep order
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
	if limit := r.cfg.maxLifetime(m.Class); err != nil || ms < 0 || ms > limit.Milliseconds() {
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
