package relay

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"sync"
	"time"
)

const (
	// The platform answers a notice at once, and a notice is late 300 ms after its message's deadline: a dead
	// connection must not use up that time for the notices that wait behind it. Each time-out doubles the next one, for
	// when answers are slow.
	minNoticeTimeout    = 100 * time.Millisecond
	maxNoticeTimeout    = time.Second
	maxNoticeRetryDelay = 100 * time.Millisecond // after a request that failed without a time-out
	noticeBatch         = 256                    // notices in a request
	noticeIdleTimeout   = 30 * time.Second
	noticeConns         = 2 // one is in use at a time; another may be closing
)

// noticeSender delivers final notices to the platform and repeats each until it is confirmed.
type noticeSender struct {
	log         *slog.Logger
	agent       *agent
	conns       *pool
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

func newNoticeSender(log *slog.Logger, agent *agent, onConfirmed func([]uint32)) *noticeSender {
	conns := newPool(maxNoticeTimeout, noticeIdleTimeout, noticeConns)
	return &noticeSender{log: log, agent: agent, conns: conns, onConfirmed: onConfirmed, signal: make(chan struct{}, 1)}
}

// add queues notices. It never blocks the loop.
func (s *noticeSender) add(ns ...notice) {
	s.mu.Lock()
	s.queue = append(s.queue, ns...)
	s.mu.Unlock()
	select {
	case s.signal <- struct{}{}:
	default:
	}
}

// run sends queued notices until ctx ends. It repeats a notice that was not confirmed: a duplicate does no harm,
// whereas a missing one loses a message.
func (s *noticeSender) run(ctx context.Context) {
	defer s.conns.close()
	delay, timeout := minRetryDelay, minNoticeTimeout
	for {
		s.mu.Lock()
		batch := s.queue[:min(len(s.queue), noticeBatch)]
		s.mu.Unlock()
		if len(batch) == 0 {
			select {
			case <-ctx.Done():
				return
			case <-s.signal:
			}
			continue
		}
		if err := s.post(ctx, batch, timeout); err != nil {
			s.log.Warn("notices not confirmed", "count", len(batch), "err", err)
			switch {
			case errors.Is(err, errAgentMoved):
				delay = minRetryDelay
				continue // immediately, at the new address
			case errors.Is(err, context.DeadlineExceeded):
				timeout = min(maxNoticeTimeout, 2*timeout)
				s.conns.closeIdle("") // they may be dead too
				continue              // without a delay: the time-out was one
			}
			select {
			case <-ctx.Done():
				return
			case <-time.After(delay):
			}
			delay = min(maxNoticeRetryDelay, 2*delay)
			continue
		}
		delay, timeout = minRetryDelay, minNoticeTimeout
		ids := make([]uint32, 0, len(batch))
		for _, n := range batch {
			ids = append(ids, n.id)
		}
		s.mu.Lock()
		if s.queue = s.queue[len(batch):]; len(s.queue) == 0 {
			s.queue = nil
		}
		s.mu.Unlock()
		s.onConfirmed(ids)
	}
}

func (s *noticeSender) post(ctx context.Context, batch []notice, timeout time.Duration) error {
	addr, ctx, done := s.agent.session(ctx)
	defer done()
	err := s.postTo(ctx, addr, batch, timeout)
	if cause := context.Cause(ctx); err != nil && cause != nil {
		return cause
	}
	return err
}

// postTo sends notices to an agent. Its answer must belong to this request: a copy of an earlier answer would confirm
// notices that the platform does not have.
func (s *noticeSender) postTo(ctx context.Context, addr string, batch []notice, timeout time.Duration) error {
	req, err := newNoticeRequest(addr, batch)
	if err != nil {
		return err
	}
	conn, err := s.conn(ctx, addr, timeout)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	a := conn.roundTrip(ctx, req, false, func() {})
	switch {
	case a.err != nil && !errors.Is(a.err, errConnSpent):
		return cmp.Or(ctx.Err(), a.err)
	case a.head.StatusCode != http.StatusNoContent:
		return fmt.Errorf("platform returned status %s", a.head.Status)
	}
	return nil
}

// conn returns a connection to an agent that has settled. timeout is for connecting.
func (s *noticeSender) conn(ctx context.Context, addr string, timeout time.Duration) (*hostConn, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout+s.conns.settleTime)
	defer cancel()
	for {
		conn, _, err := s.conns.get(ctx, peer{addr: addr})
		if err != nil {
			return nil, err
		}
		if ctx.Err() != nil {
			conn.release()
			return nil, ctx.Err()
		}
		if !conn.hasSurplus() {
			return conn, nil
		}
		conn.discard()
	}
}

func newNoticeRequest(addr string, batch []notice) (*http.Request, error) {
	var lines bytes.Buffer
	enc := json.NewEncoder(&lines)
	for _, n := range batch {
		if err := enc.Encode(n); err != nil {
			return nil, err
		}
	}
	return http.NewRequest(http.MethodPost, "http://"+addr+"/v2/finals", &lines)
}
