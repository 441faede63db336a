package relay

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math"
	"net/http"
	"sync"
	"time"

	"onyxroad.dev/onyxroad/internal/sockets"
)

const (
	watchTimeout  = 4500 * time.Millisecond // see watcher.timeout
	maxWatchLine  = 1 << 20
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = time.Second
	fetchTimeout  = time.Second
	// A request that fails on this machine puts no load on discovery, so its retry is not spread.
	localFailureDelay = 50 * time.Millisecond
	// Requests that are turned away put load on discovery too: a fleet that retries at once keeps it from serving anyone.
	minRejectedDelay = time.Second
	maxRejectedDelay = 8 * time.Second
	spreadPerRelay   = 150 * time.Millisecond // in fleets of minSpreadFleet relays or more
	minSpreadFleet   = 7
	// A relay counts as informed of a change listDeadline after discovery has it and is reachable, or after a watch
	// falls silent. No delay may exceed that. After discovery has moved, movedListDeadline applies.
	listDeadline      = 6 * time.Second
	movedListDeadline = 4 * time.Second
	replyReserve      = 500 * time.Millisecond // part of the deadline that is kept for the request itself
	// A relay counts as informed at once of what the agent already has: half of the time in which it has to stop
	// sending to a draining host may pass before it asks.
	reconnectSpread  = 250 * time.Millisecond
	servedHeartbeats = 2 // empty lines, sent every 2 s, after which a watch counts as served rather than turned away
)

var (
	errAgentMoved  = errors.New("discovery's address has changed")
	errListTooLong = errors.New("list exceeds 1 MiB")
	errTurnedAway  = errors.New("discovery turns this relay away")
)

// agent is a client of discovery's agent, whose address a new configuration may change.
type agent struct {
	client *http.Client

	mu       sync.Mutex
	addr     string
	moved    context.Context // ends when addr changes
	endMoved context.CancelFunc
}

func newAgent(addr string) *agent {
	a := &agent{addr: addr, client: &http.Client{Transport: &http.Transport{
		DialContext:        sockets.NewDialer(time.Second).DialContext,
		DisableCompression: true,
		MaxConnsPerHost:    4,
		// Keeps no connection for the next request: a list that came twice would be read as the answer to that. Unlike
		// DisableKeepAlives it does not ask the agent to close the connection.
		MaxIdleConnsPerHost: -1,
	}}}
	a.moved, a.endMoved = context.WithCancel(context.Background())
	return a
}

// move changes the agent's address. Requests in progress at the old address end with errAgentMoved.
func (a *agent) move(addr string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.addr == addr {
		return
	}
	a.addr = addr
	a.endMoved()
	a.moved, a.endMoved = context.WithCancel(context.Background())
}

// session returns the agent's address and a context for requests there, which ends with ctx, when the agent moves, or
// when done is called.
func (a *agent) session(ctx context.Context) (addr string, work context.Context, done func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	work, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(a.moved, func() { cancel(errAgentMoved) })
	return a.addr, work, func() { stop(); cancel(nil) }
}

// watcher keeps the relay's list of hosts up to date with discovery's.
type watcher struct {
	log       *slog.Logger
	agent     *agent
	timeout   time.Duration // for the next line of a watch: discovery sends one every 2 s
	onList    func(List)
	fleetSize int            // number of relays that follow the list
	random    func() float64 // from 0 to 1
	sleep     func(context.Context, time.Duration)
	now       func() time.Time

	missedSince time.Time // time of the last line, or of the last request's start: changes since then may have been missed
	moved       bool      // the agent has moved and has not sent a list since
	version     int64     // of the last list passed to onList
	hasList     bool      // the relay starts with a list, which may be outdated
	needFull    bool      // changes are not enough: fetch the full list
	served      bool      // the last watch counts as served; see servedHeartbeats
}

// run follows the list until ctx ends.
func (w *watcher) run(ctx context.Context) {
	delay, rejectedDelay := minRetryDelay, minRejectedDelay
	if w.hasList {
		// With a list to start from, relays that start together spread their requests.
		w.wait(ctx, w.spread(reconnectSpread))
	}
	for ctx.Err() == nil {
		oldVersion := w.version
		err := w.watchOnce(ctx)
		if ctx.Err() != nil {
			return
		}
		w.log.Warn("watch ended", "version", w.version, "err", err)
		if w.version != oldVersion {
			delay = minRetryDelay
		}
		maxSpread := listDeadline
		if w.served {
			delay, maxSpread = minRetryDelay, reconnectSpread
		}
		switch {
		case errors.Is(err, errAgentMoved):
			// Another agent may use other version numbers. The old list stays in use until the new agent sends one.
			w.needFull, w.moved, delay = true, true, minRetryDelay
		case errors.Is(err, errTurnedAway):
			w.wait(ctx, w.capDelay(time.Duration((0.5+w.random())*float64(rejectedDelay))+w.spread(listDeadline)))
			rejectedDelay = min(maxRejectedDelay, 2*rejectedDelay)
		case isLocalFailure(err):
			w.wait(ctx, localFailureDelay)
		default:
			w.wait(ctx, w.capDelay(delay+w.spread(maxSpread)))
			delay, rejectedDelay = min(maxRetryDelay, 2*delay), minRejectedDelay
		}
	}
}

// spread returns a random delay of at most most, which spreads the requests of a large fleet; 0 in a small one.
func (w *watcher) spread(limit time.Duration) time.Duration {
	if w.fleetSize < minSpreadFleet {
		return 0
	}
	return time.Duration(w.random() * float64(min(limit, time.Duration(w.fleetSize)*spreadPerRelay)))
}

// capDelay limits a delay so that the next request is answered within the list's deadline. A delay that exceeds the
// limit is drawn again below it, so that a fleet that was turned away does not retry all at once.
func (w *watcher) capDelay(d time.Duration) time.Duration {
	within := listDeadline
	if w.moved {
		within = movedListDeadline
	}
	if limit := max(minRetryDelay, within-replyReserve-w.now().Sub(w.missedSince)); d > limit {
		return time.Duration((1 + w.random()) / 2 * float64(limit))
	}
	return d
}

// wait sleeps for d, or until the agent moves or ctx ends.
func (w *watcher) wait(ctx context.Context, d time.Duration) {
	_, session, done := w.agent.session(ctx)
	defer done()
	w.sleep(session, d)
	if errors.Is(context.Cause(session), errAgentMoved) {
		w.needFull, w.moved = true, true
	}
}

// sleep sleeps for d, or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// watchOnce runs one watch until its connection ends or no line arrives within the time-out, which is the only sign of a
// connection that is cut off. It maintains version, so that the next watch resumes where this one ended.
func (w *watcher) watchOnce(ctx context.Context) error {
	addr, ctx, done := w.agent.session(ctx)
	defer done()
	w.served, w.missedSince = false, w.now()
	err := w.stream(ctx, addr)
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}

// stream fetches the full list if it is needed, and then reads the lines of one watch.
func (w *watcher) stream(ctx context.Context, addr string) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silence := time.AfterFunc(w.timeout, cancel)
	defer silence.Stop()
	if w.needFull && w.fetch(ctx, addr) != nil {
		w.version = 0 // makes the watch start with the full list
	}
	res, err := w.get(ctx, fmt.Sprintf("http://%s/catalog/members?stream=1&index=%d", addr, w.version))
	if err != nil {
		return err
	}
	defer res.Body.Close()
	lines := bufio.NewScanner(res.Body)
	lines.Buffer(nil, maxWatchLine)
	heartbeats := 0
	fetched := int64(math.MinInt64) // version of the last full list that was fetched during the watch
	newest := int64(math.MinInt64)  // version of the last line of the watch
	for lines.Scan() {
		silence.Reset(w.timeout)
		w.missedSince = w.now()
		if line := bytes.TrimSpace(lines.Bytes()); len(line) > 0 {
			l, err := parseList(line)
			if err != nil {
				// The line would be as malformed on each retry. Fetch the full list instead.
				w.log.Warn("malformed line in the watch", "err", err)
				w.needFull = true
			} else if l.Version > fetched && l.Version >= newest { // older changes are in the full list, or come a second time
				newest = l.Version
				w.deliver(l)
			}
		} else if heartbeats++; heartbeats >= servedHeartbeats {
			w.served = true
		}
		if w.needFull && w.fetch(ctx, addr) == nil {
			fetched = w.version
		}
	}
	if err := lines.Err(); err != nil {
		w.needFull = w.needFull || errors.Is(err, bufio.ErrTooLong)
		return err
	}
	return io.ErrUnexpectedEOF
}

// deliver passes a list or changes to onList.
func (w *watcher) deliver(l List) {
	w.version, w.needFull, w.moved = l.Version, w.needFull && !l.Full, false
	w.onList(l)
}

// fetch requests the full list.
func (w *watcher) fetch(ctx context.Context, addr string) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	res, err := w.get(ctx, fmt.Sprintf("http://%s/catalog/members", addr))
	if err != nil {
		return err
	}
	defer res.Body.Close()
	data, err := io.ReadAll(io.LimitReader(res.Body, maxWatchLine+1))
	if err != nil {
		return err
	}
	if len(data) > maxWatchLine {
		return errListTooLong
	}
	l, err := parseList(data)
	if err != nil {
		return err
	}
	l.Full = true
	w.deliver(l)
	return nil
}

// freshKnownList is the length of a start up to which the list in the configuration is used as it is. A start that waits for the log
// or the disk misses changes that the relay must follow in its first call.
const freshKnownList = 200 * time.Millisecond

// refreshTimeout bounds how long a start waits for discovery.
const refreshTimeout = 300 * time.Millisecond

// refreshKnownList replaces the list in the configuration with discovery's, if that answers in time.
func (r *Relay) refreshKnownList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	addr, ctx, done := r.agent.session(ctx)
	defer done()
	w := watcher{log: r.log, agent: r.agent, onList: func(l List) { r.cfg.Known = l }}
	if err := w.fetch(ctx, addr); err != nil {
		r.log.Warn("the start took long, and the known list may be outdated", "err", err)
	}
}

// get requests a URL. A status that turns the relay away becomes errTurnedAway.
func (w *watcher) get(ctx context.Context, url string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	res, err := w.agent.client.Do(req)
	if err != nil {
		return nil, err
	}
	if res.StatusCode != http.StatusOK {
		res.Body.Close()
		if res.StatusCode == http.StatusServiceUnavailable || res.StatusCode == http.StatusTooManyRequests {
			return nil, fmt.Errorf("%w: %s", errTurnedAway, res.Status)
		}
		return nil, fmt.Errorf("discovery returned status %s", res.Status)
	}
	return res, nil
}
