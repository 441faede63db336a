package relay

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"onyxroad.dev/onyxroad/internal/clock"
	"onyxroad.dev/onyxroad/internal/sockets"
)

const (
	// connRetryInterval is how long a call waits before it tries again to get a connection or a descriptor.
	connRetryInterval = 20 * time.Millisecond
	// settleTime is how long a connection rests after an answer before it carries the next request. A host may send more
	// than the answer: a second copy of it, or noise. Nothing tells such bytes from the next answer once a request is out.
	settleTime = 25 * time.Millisecond
)

var (
	errTooManyConns = errors.New("outbound connection limit reached, and all connections are in use")
	errPoolClosed   = errors.New("connection pool closed")
)

// peer is a host at an address. Connections are not shared with another host that later comes up at the same address.
type peer struct{ route, addr string }

// pool manages the connections to hosts and keeps idle ones for the next call. It replaces http.Transport, which
// resends some requests by itself although a message may not be allowed to run twice, offers no hook between dialling
// and writing a request, and does not show bytes that follow an answer.
type pool struct {
	dial           func(ctx context.Context, network, addr string) (net.Conn, error)
	connectTimeout time.Duration
	idleTimeout    time.Duration
	settleTime     time.Duration
	maxConns       int

	mu     sync.Mutex
	idle   map[peer][]*hostConn // least recently used first
	open   int                  // connections, idle or not
	closed bool
}

// hostConn is a connection to a host.
type hostConn struct {
	*conn
	pool       *pool
	peer       peer
	idleSince  time.Time // end of the last answer, or when it was opened
	answeredAt time.Time // end of the last answer; zero if there was none
	timer      *time.Timer
}

func newPool(connectTimeout, idleTimeout time.Duration, maxConns int) *pool {
	return &pool{
		dial:           sockets.NewDialer(0).DialContext,
		connectTimeout: connectTimeout,
		idleTimeout:    idleTimeout,
		settleTime:     settleTime,
		maxConns:       maxConns,
		idle:           map[peer][]*hostConn{},
	}
}

// get returns an idle connection to a host that has settled, or else opens one. delayed reports whether that took time. At
// the relay's own limits it retries until the connect time-out.
func (p *pool) get(ctx context.Context, to peer) (c *hostConn, delayed bool, err error) {
	for c := p.takeIdle(to); c != nil; c = p.takeIdle(to) {
		waited := c.settle(ctx)
		if _, quiet := c.unwatch(); quiet && clock.Since(c.idleSince) < p.idleTimeout {
			return c, waited, nil
		}
		c.discard() // too old, closed by the host, or unexpected bytes were received
	}
	ctx, cancel := context.WithTimeout(ctx, p.connectTimeout)
	defer cancel()
	for {
		c, err = p.connect(ctx, to)
		if err == nil || !isLocalShortage(err) || errors.Is(err, errPoolClosed) {
			return c, true, err
		}
		p.mu.Lock()
		p.evictOldest()
		p.mu.Unlock()
		select {
		case <-ctx.Done():
			return nil, false, err
		case <-time.After(connRetryInterval):
		}
	}
}

// isLocalShortage reports whether a connection failed for lack of local resources, which says nothing about the host.
func isLocalShortage(err error) bool {
	return errors.Is(err, errTooManyConns) || errors.Is(err, errPoolClosed) || errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) ||
		errors.Is(err, syscall.ENOBUFS) || errors.Is(err, syscall.ENOMEM) || errors.Is(err, syscall.EADDRNOTAVAIL)
}

// connect opens a connection. At the limit it first closes the oldest idle connection.
func (p *pool) connect(ctx context.Context, to peer) (*hostConn, error) {
	p.mu.Lock()
	if p.open >= p.maxConns {
		p.evictOldest()
	}
	if p.closed || p.open >= p.maxConns {
		defer p.mu.Unlock()
		if p.closed {
			return nil, errPoolClosed
		}
		return nil, errTooManyConns
	}
	p.open++
	p.mu.Unlock()
	nc, err := p.dial(ctx, "tcp", to.addr)
	if err != nil {
		p.mu.Lock()
		p.open--
		p.mu.Unlock()
		return nil, fmt.Errorf("connect: %w", err)
	}
	return &hostConn{conn: newConn(nc), pool: p, peer: to, idleSince: clock.Now()}, nil
}

// takeIdle takes the most recently used of the idle connections that have settled out of the pool, or else the one that
// settles first; nil if there is none.
func (p *pool) takeIdle(to peer) *hostConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[to]
	if len(list) == 0 {
		return nil
	}
	c := list[0]
	for _, x := range slices.Backward(list) {
		if x.settlesIn() <= 0 {
			c = x
			break
		}
	}
	p.remove(c)
	return c
}

// hasSurplus reports whether a connection that has carried an answer has received more than that. On a new connection a host
// may answer before it has read a request.
func (c *hostConn) hasSurplus() bool { return !c.answeredAt.IsZero() && c.unread() }

// settlesIn returns the time until a connection has settled; 0 or less if it has.
func (c *hostConn) settlesIn() time.Duration {
	if c.answeredAt.IsZero() {
		return 0
	}
	return c.pool.settleTime - clock.Since(c.answeredAt)
}

// settle waits until a connection that was idle has settled, the host sends something or disconnects, or ctx ends. It
// returns false if it did not have to wait.
func (c *hostConn) settle(ctx context.Context) (waited bool) {
	rest := c.settlesIn()
	if rest <= 0 {
		return false
	}
	timer := time.NewTimer(rest)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	case err := <-c.watchResult:
		c.watchResult <- err // for unwatch
	}
	return true
}

// release returns a connection to the pool for the next call, and closes it there if the host closes it or sends
// anything.
func (c *hostConn) release() {
	p := c.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		p.discard(c)
		return
	}
	dropIdle := func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.remove(c) {
			p.discard(c)
		}
	}
	c.timer = time.AfterFunc(p.idleTimeout-clock.Since(c.idleSince), dropIdle)
	list := p.idle[c.peer]
	place, _ := slices.BinarySearchFunc(list, c, func(a, b *hostConn) int { return a.idleSince.Compare(b.idleSince) })
	p.idle[c.peer] = slices.Insert(list, place, c)
	c.watch(dropIdle)
}

func (c *hostConn) discard() {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.pool.discard(c)
}

// discard closes a connection that is not idle. It, remove, evictOldest and discardIdle are called with mu held.
func (p *pool) discard(c *hostConn) {
	p.open--
	c.Close()
}

// remove takes an idle connection out of the pool; false if it is not there.
func (p *pool) remove(c *hostConn) bool {
	list := p.idle[c.peer]
	i := slices.Index(list, c)
	if i < 0 {
		return false
	}
	c.timer.Stop()
	if p.idle[c.peer] = slices.Delete(list, i, i+1); len(list) == 1 {
		delete(p.idle, c.peer)
	}
	return true
}

// evictOldest closes the connection that has been idle for the longest time.
func (p *pool) evictOldest() {
	var oldest *hostConn
	for _, list := range p.idle {
		if c := list[0]; oldest == nil || c.idleSince.Before(oldest.idleSince) {
			oldest = c
		}
	}
	if oldest != nil {
		p.remove(oldest)
		p.discard(oldest)
	}
}

// closeIdle closes the idle connections to a host at all of its addresses.
func (p *pool) closeIdle(route string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for to := range p.idle {
		if to.route == route {
			p.discardIdle(to)
		}
	}
}

// discardIdle closes all idle connections to a peer.
func (p *pool) discardIdle(to peer) {
	for _, c := range slices.Clone(p.idle[to]) {
		p.remove(c)
		p.discard(c)
	}
}

// setMaxConns changes the limit on connections, without closing any.
func (p *pool) setMaxConns(limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxConns = limit
}

// close closes all idle connections, and from now on every connection that is released.
func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for to := range p.idle {
		p.discardIdle(to)
	}
}
