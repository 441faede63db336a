package relay

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
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
	watchTimeout  = 4500 * time.Millisecond // see watcher.silence
	maxWatchLine  = 1 << 20
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = time.Second
	// The platform answers a notice at once, and one is late 300 ms after its message's time: a connection that has fallen silent
	// must not take all of that from those that wait behind it. Where answers are slow, later tries wait longer.
	minNoticeTimeout    = 100 * time.Millisecond
	maxNoticeTimeout    = time.Second
	maxNoticeRetryDelay = 100 * time.Millisecond // at most, between a request that failed at once and the next
	fetchTimeout        = time.Second
	// A call that fails on this machine reaches nobody, and there is no reason to spread the next one.
	localFailureDelay = 50 * time.Millisecond
	// Turned away calls are work for discovery too: a fleet that comes again at once keeps it from serving anyone.
	minRejectedDelay = time.Second
	maxRejectedDelay = 8 * time.Second
	spreadPerRelay   = 150 * time.Millisecond // for each relay of a fleet of spreadLeast or more
	minSpreadFleet   = 7
	// Whatever the list has to tell counts as told by then, from when discovery had it and could be reached, or from when a watch
	// fell silent: no pause, for whatever reason, may reach beyond. After a move it is sooner.
	listDeadline      = 6 * time.Second
	movedListDeadline = 4 * time.Second
	replyReserve      = 500 * time.Millisecond // of that is left for the call
	// What the agent has counts as told at once: half of the time in which a drain is to be heeded is for asking.
	reconnectSpread  = 250 * time.Millisecond
	servedHeartbeats = 2   // empty lines, one every 2 s, after which a watch was served, not ended as one too many
	noticeBatch      = 256 // notices in a request
)

var (
	errAgentMoved  = errors.New("discovery has another address now")
	errListTooLong = errors.New("list too long")
	errTurnedAway  = errors.New("discovery turns this relay away")
)

// agent is discovery's agent, which another configuration may put at another address.
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
		IdleConnTimeout:    30 * time.Second,
	}}}
	a.moved, a.endMoved = context.WithCancel(context.Background())
	return a
}

// move has all go to addr from here on: what is under way at the old address ends with errMoved.
func (a *agent) move(addr string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.addr == addr {
		return
	}
	a.addr = addr
	a.endMoved()
	a.moved, a.endMoved = context.WithCancel(context.Background())
	a.client.CloseIdleConnections()
}

// session returns the address and a context for work there, which ends with ctx, when the agent moves, or by done.
func (a *agent) session(ctx context.Context) (addr string, work context.Context, done func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	work, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(a.moved, func() { cancel(errAgentMoved) })
	return a.addr, work, func() { stop(); cancel(nil) }
}

// watcher follows discovery's list.
type watcher struct {
	log       *slog.Logger
	agent     *agent
	timeout   time.Duration // a watch with no line for so long is dead: one comes every 2 s
	onList    func(List)
	fleetSize int            // relays that follow it
	random    func() float64 // from 0 to 1
	sleep     func(context.Context, time.Duration)
	now       func() time.Time

	missedSince time.Time // what discovery has had since then may have been missed: the last line, or the last call's beginning
	moved       bool      // and it has not been heard at its new address
	version     int64     // of the list as told
	hasList     bool      // the relay holds a list, however old
	needFull    bool      // changes alone won't do: the list is to be had whole
	served      bool      // the last watch was
}

// run follows the list until ctx ends.
func (w *watcher) run(ctx context.Context) {
	pause, rejectedDelay := minRetryDelay, minRejectedDelay
	if w.hasList {
		// There is a list to go by. A fleet that starts together must not ask as one.
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
			pause = minRetryDelay
		}
		maxSpread := listDeadline
		if w.served {
			pause, maxSpread = minRetryDelay, reconnectSpread
		}
		switch {
		case errors.Is(err, errAgentMoved):
			// Another agent need not number its versions alike. The old list serves until this one speaks.
			w.needFull, w.moved, pause = true, true, minRetryDelay
		case errors.Is(err, errTurnedAway):
			w.wait(ctx, w.capDelay(time.Duration((0.5+w.random())*float64(rejectedDelay))+w.spread(listDeadline)))
			rejectedDelay = min(maxRejectedDelay, 2*rejectedDelay)
		case failedHere(err):
			w.wait(ctx, localFailureDelay)
		default:
			w.wait(ctx, w.capDelay(pause+w.spread(maxSpread)))
			pause, rejectedDelay = min(maxRetryDelay, 2*pause), minRejectedDelay
		}
	}
}

// spread is this relay's place, within most, among those of a large fleet that would call together.
func (w *watcher) spread(most time.Duration) time.Duration {
	if w.fleetSize < minSpreadFleet {
		return 0
	}
	return time.Duration(w.random() * float64(min(most, time.Duration(w.fleetSize)*spreadPerRelay)))
}

// capDelay is a pause that lets the next call be answered before what the last one has missed counts as told. What is cut off is
// drawn anew: a fleet that is turned away must not come again as one.
func (w *watcher) capDelay(d time.Duration) time.Duration {
	within := listDeadline
	if w.moved {
		within = movedListDeadline
	}
	if most := max(minRetryDelay, within-replyReserve-w.now().Sub(w.missedSince)); d > most {
		return time.Duration((1 + w.random()) / 2 * float64(most))
	}
	return d
}

// wait lets d pass; less if the agent moves.
func (w *watcher) wait(ctx context.Context, d time.Duration) {
	_, session, done := w.agent.session(ctx)
	defer done()
	w.sleep(session, d)
	if errors.Is(context.Cause(session), errAgentMoved) {
		w.needFull, w.moved = true, true
	}
}

// sleep lets d pass; less if ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// watchOnce is one watch, until its connection ends or falls silent. A connection that is cut off says nothing:
// only the missing lines tell. version is kept up, so that the next watch resumes where this one ended.
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

func (w *watcher) stream(ctx context.Context, addr string) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silence := time.AfterFunc(w.timeout, cancel)
	defer silence.Stop()
	if w.needFull && w.fetch(ctx, addr) != nil {
		w.version = 0 // the watch itself may give the whole list
	}
	res, err := w.get(ctx, fmt.Sprintf("http://%s/catalog/members?stream=1&index=%d", addr, w.version))
	if err != nil {
		return err
	}
	defer res.Body.Close()
	lines := bufio.NewScanner(res.Body)
	lines.Buffer(nil, maxWatchLine)
	heartbeats := 0
	fetched := int64(math.MinInt64) // changes up to this version are in the whole list that was fetched meanwhile
	for lines.Scan() {
		silence.Reset(w.timeout)
		w.missedSince = w.now()
		if line := bytes.TrimSpace(lines.Bytes()); len(line) > 0 {
			l, err := parseList(line)
			if err != nil {
				// Asked for once more it would be as unreadable, for ever: the whole list makes up for it.
				w.log.Warn("unreadable line of the watch", "err", err)
				w.needFull = true
			} else if l.Version > fetched { // else it was on its way when the whole list was fetched
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

func (w *watcher) deliver(l List) {
	w.version, w.needFull, w.moved = l.Version, w.needFull && !l.Full, false
	w.onList(l)
}

// fetch asks for the whole list.
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
		return nil, fmt.Errorf("discovery answers %s", res.Status)
	}
	return res, nil
}

// noticeSender delivers the final notices to the platform, each until it is taken.
type noticeSender struct {
	log         *slog.Logger
	agent       *agent
	onConfirmed func(ids []uint32)

	mu     sync.Mutex
	queue  []notice
	signal chan struct{}
}

// notice tells the platform how a message ended.
type notice struct {
	id      uint32
	ID      string `json:"id"`
	Status  string `json:"status"`
	AgainMS int64  `json:"again_ms,omitempty"`
}

func newNoticeSender(log *slog.Logger, agent *agent, taken func([]uint32)) *noticeSender {
	return &noticeSender{log: log, agent: agent, onConfirmed: taken, signal: make(chan struct{}, 1)}
}

// add queues notices. It never waits, so that the loop does not.
func (f *noticeSender) add(ns ...notice) {
	f.mu.Lock()
	f.queue = append(f.queue, ns...)
	f.mu.Unlock()
	select {
	case f.signal <- struct{}{}:
	default:
	}
}

// run sends what is queued until ctx ends. A notice that the platform did not confirm goes again: one for a
// message that is over does no harm, one that is missing loses a message.
func (f *noticeSender) run(ctx context.Context) {
	pause, wait := minRetryDelay, minNoticeTimeout
	for {
		f.mu.Lock()
		batch := f.queue[:min(len(f.queue), noticeBatch)]
		f.mu.Unlock()
		if len(batch) == 0 {
			select {
			case <-ctx.Done():
				return
			case <-f.signal:
			}
			continue
		}
		if err := f.post(ctx, batch, wait); err != nil {
			f.log.Warn("notices not taken", "count", len(batch), "err", err)
			switch {
			case errors.Is(err, errAgentMoved):
				pause = minRetryDelay
				continue // at once, to the new address
			case errors.Is(err, context.DeadlineExceeded):
				wait = min(maxNoticeTimeout, 2*wait)
				f.agent.client.CloseIdleConnections() // as silent, perhaps
				continue                              // it has waited
			}
			select {
			case <-ctx.Done():
				return
			case <-time.After(pause):
			}
			pause = min(maxNoticeRetryDelay, 2*pause)
			continue
		}
		pause, wait = minRetryDelay, minNoticeTimeout
		ids := make([]uint32, 0, len(batch))
		for _, n := range batch {
			ids = append(ids, n.id)
		}
		f.mu.Lock()
		if f.queue = f.queue[len(batch):]; len(f.queue) == 0 {
			f.queue = nil
		}
		f.mu.Unlock()
		f.onConfirmed(ids)
	}
}

func (f *noticeSender) post(ctx context.Context, batch []notice, wait time.Duration) error {
	addr, ctx, done := f.agent.session(ctx)
	defer done()
	err := f.postTo(ctx, addr, batch, wait)
	if cause := context.Cause(ctx); err != nil && cause != nil {
		return cause
	}
	return err
}

func (f *noticeSender) postTo(ctx context.Context, addr string, batch []notice, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	var lines bytes.Buffer
	enc := json.NewEncoder(&lines)
	for _, n := range batch {
		if err := enc.Encode(n); err != nil {
			return err
		}
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/v2/finals", &lines)
	if err != nil {
		return err
	}
	res, err := f.agent.client.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if _, err := io.Copy(io.Discard, io.LimitReader(res.Body, bodyMost)); err != nil {
		return err
	}
	if res.StatusCode != http.StatusNoContent {
		return fmt.Errorf("platform answers %s", res.Status)
	}
	return nil
}
