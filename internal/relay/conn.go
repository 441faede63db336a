package relay

import (
	"bufio"
	"errors"
	"net"
	"os"
	"time"

	"onyxroad.dev/onyxroad/internal/sockets"
)

const (
	maxHeadBytes   = 16 << 10 // bytes of a request's or a response's head
	readBufferSize = 4 << 10  // bytes read ahead of an endpoint
	// requestBufferSize is the bytes read ahead of a client. A small request fits in, and larger bodies bypass the buffer.
	requestBufferSize = 1 << 10
)

var (
	errTooLarge  = errors.New("more bytes than are allowed here")
	pastDeadline = time.Unix(1, 0)
)

// conn is a connection from which HTTP messages are read. It limits how much of a peer's data is read, exposes the bytes
// that follow a message, and detects a peer that sends or disconnects out of turn.
type conn struct {
	net.Conn
	r           *bufio.Reader
	allowance   int // bytes that may still be read
	watchResult chan error
}

func newConn(c net.Conn) *conn { return newConnSize(c, readBufferSize) }

// newConnSize returns a connection that reads so many bytes ahead.
func newConnSize(c net.Conn, size int) *conn {
	x := &conn{Conn: c}
	x.r = bufio.NewReaderSize(x, size)
	return x
}

// allow lets n more bytes be read. It guards against endless heads and bodies.
func (c *conn) allow(n int) { c.allowance = n }

// Read implements io.Reader for the buffered reader.
func (c *conn) Read(b []byte) (int, error) {
	if c.allowance <= 0 {
		return 0, errTooLarge
	}
	n, err := c.Conn.Read(b[:min(len(b), c.allowance)])
	c.allowance -= n
	return n, err
}

// watch detects a peer that sends or disconnects while nothing is expected from it, and then calls onActivity, if
// not nil.
func (c *conn) watch(onActivity func()) {
	c.allow(readBufferSize)
	watched := make(chan error, 1)
	c.watchResult = watched
	go func() {
		_, err := c.r.Peek(1)
		watched <- err
		if onActivity != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			onActivity()
		}
	}()
}

// unread reports whether the peer has sent something that nobody has read, or has disconnected. It asks the system, where
// bytes may have arrived that a watch that has just ended did not see. The connection cannot be used any more if so.
func (c *conn) unread() bool { return c.r.Buffered() > 0 || sockets.Readable(c.Conn) }

// unwatch ends a watch. open is false if the peer has disconnected; quiet is false if it disconnected or sent something.
func (c *conn) unwatch() (open, quiet bool) {
	c.SetReadDeadline(pastDeadline)
	err := <-c.watchResult
	c.SetReadDeadline(time.Time{})
	quiet = errors.Is(err, os.ErrDeadlineExceeded) && c.r.Buffered() == 0
	return err == nil || quiet, quiet
}
