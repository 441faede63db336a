package relay

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"onyxroad.dev/onyxroad/internal/clock"
)

// Requests and answers on a connection of a pool.

const (
	// answerReadTimeout bounds the time from the first to the last byte of an answer, as heads and bodies may never end.
	answerReadTimeout = 500 * time.Millisecond
	// lateReadTimeout is for an answer that arrives as its request times out: long enough to read what has been received.
	lateReadTimeout  = time.Millisecond
	maxInformational = 16      // 1xx answers before one
	requestHeadBytes = 1 << 10 // more than the head of a call
)

var (
	errMalformedAnswer = errors.New("malformed answer")
	errConnSpent       = errors.New("the answer is complete, but its connection cannot be reused")
)

// roundTrip writes a request, reads its answer, and releases or discards the connection. onWritten is called once the
// request is written. A request that times out or is cancelled stops reading; its connection is then closed.
func (c *hostConn) roundTrip(ctx context.Context, req *http.Request, keepBody bool, onWritten func()) hostAnswer {
	stop := context.AfterFunc(ctx, func() { c.SetDeadline(pastDeadline) })
	writeErr := writeRequest(c, req)
	if writeErr == nil {
		onWritten()
	}
	a := readAnswer(c, req, keepBody) // a host may answer before the whole request is written
	a.written = writeErr == nil
	if stop() && a.err == nil && a.written {
		c.SetDeadline(time.Time{})
		c.answeredAt = clock.Now()
		c.idleSince = c.answeredAt
		c.release()
	} else {
		c.discard()
	}
	return a
}

// requestBuffers are for requests while they are written.
var requestBuffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// writeRequest writes a request in a single write.
func writeRequest(conn *hostConn, req *http.Request) error {
	text := requestBuffers.Get().(*bytes.Buffer)
	defer requestBuffers.Put(text)
	text.Reset()
	text.Grow(requestHeadBytes + int(req.ContentLength))
	if err := req.Write(text); err != nil {
		return err
	}
	_, err := conn.Write(text.Bytes())
	return err
}

// hostAnswer is what was received in answer to a request.
type hostAnswer struct {
	written     bool           // the whole request was written
	head        *http.Response // of a malformed answer perhaps only the status line; nil if not even that is readable
	body        []byte         // only of an answer to a bundle
	err         error          // not nil if the answer is incomplete or its connection cannot be reused
	firstByteAt time.Time      // zero if nothing was received
}

// readAnswer reads an answer. It returns the body of an answer with status 200 only if keepBody is set.
func readAnswer(conn *hostConn, req *http.Request, keepBody bool) (a hostAnswer) {
	conn.allow(maxHeadBytes)
	_, a.err = conn.r.Peek(1)
	if errors.Is(a.err, os.ErrDeadlineExceeded) {
		// Past its deadline a connection returns not even what it has received. A Retry-After in it still binds.
		conn.SetReadDeadline(clock.Now().Add(lateReadTimeout))
		_, a.err = conn.r.Peek(1)
	}
	if a.err != nil {
		return a
	}
	// If the call times out at this moment, this replaces its deadline and extends the read by answerReadTimeout at most.
	a.firstByteAt = clock.Now()
	conn.SetReadDeadline(a.firstByteAt.Add(answerReadTimeout))
	for range maxInformational {
		var line []byte
		if line, a.err = peekLine(conn.r); a.err != nil {
			return a
		}
		if a.head, a.err = readAnswerHead(conn.r, req); a.err != nil {
			a.head = parseStatusLine(line, req)
			return a
		}
		if a.head.StatusCode >= 200 {
			a.body, a.err = readAnswerBody(conn, a.head, keepBody)
			return a
		}
		a.head = nil
	}
	a.err = errMalformedAnswer
	return a
}

// peekLine returns the first line that is received, without consuming it.
func peekLine(r *bufio.Reader) ([]byte, error) {
	for {
		ahead, _ := r.Peek(r.Buffered())
		if i := bytes.IndexByte(ahead, '\n'); i >= 0 {
			return bytes.Clone(ahead[:i+1]), nil
		}
		if _, err := r.Peek(len(ahead) + 1); err != nil {
			return nil, err // bufio.ErrBufferFull if the line is too long
		}
	}
}

// parseStatusLine parses a status line without its head; nil if it is malformed.
func parseStatusLine(line []byte, req *http.Request) *http.Response {
	head, err := http.ReadResponse(bufio.NewReader(io.MultiReader(bytes.NewReader(line), strings.NewReader("\r\n"))), req)
	if err != nil {
		return nil
	}
	return head
}

// readAnswerBody reads an answer's body. It also returns an error if the connection cannot be reused.
func readAnswerBody(conn *hostConn, head *http.Response, keepBody bool) (body []byte, err error) {
	if head.ContentLength > maxBodyBytes {
		return nil, errMalformedAnswer
	}
	conn.allow(maxWireBytes)
	rest := io.LimitReader(head.Body, maxBodyBytes+1)
	if keepBody && head.StatusCode == http.StatusOK {
		if body, err = io.ReadAll(rest); err == nil && len(body) > maxBodyBytes {
			err = errMalformedAnswer
		}
	} else if n, copyErr := io.Copy(io.Discard, rest); copyErr != nil || n > maxBodyBytes {
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
