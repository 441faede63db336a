package relayslope

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	bodyBytes = 200 // of each message
	// maxClients bounds the requests that are outstanding at one time.
	maxClients = 256
	// deliverTimeout bounds the time from the last submission to the last delivery.
	deliverTimeout = 20 * time.Second
)

// load submits messages at a steady rate, independent of the answers to earlier ones, and tracks their delivery at the
// endpoint.
type load struct {
	addr   string // of the relay
	client *http.Client
	class  string
	expire time.Duration
	destOf func(i int) (dest int) // destination of message i

	runID      uint64 // part of the trace IDs; unique among the loads of a relay
	startTimes []atomic.Int64
	remaining  atomic.Int64
	done       chan struct{} // closed when all messages are delivered

	mu    sync.Mutex
	times *hdrhistogram.Histogram // microseconds from submission to the call at the endpoint
	start time.Time
}

// newLoad returns a load of n messages, none of which is submitted yet.
func newLoad(addr string, run uint64, n int, class string, expire time.Duration, destOf func(int) int) *load {
	l := &load{startTimes: make([]atomic.Int64, n), addr: addr, runID: run, class: class, expire: expire, destOf: destOf, done: make(chan struct{}),
		times: hdrhistogram.New(1, (time.Minute).Microseconds(), 3), start: time.Now(),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxClients, MaxConnsPerHost: maxClients}}}
	l.remaining.Store(int64(n))
	return l
}

// formatTrace returns the trace ID of message i of a load.
func formatTrace(run uint64, i int) string { return fmt.Sprintf("%08x%08x", uint32(run), uint32(i)) }

// submitAll submits all messages, one per interval, or as fast as they are accepted if interval is 0. It returns when all are
// answered.
func (l *load) submitAll(ctx context.Context, interval time.Duration) error {
	defer l.client.CloseIdleConnections()
	tick := time.NewTicker(max(interval, time.Microsecond))
	defer tick.Stop()
	var work sync.WaitGroup
	var mu sync.Mutex
	var failed error
	room := make(chan struct{}, maxClients)
	first := time.Now()
	for i := range l.startTimes {
		// If this falls behind, several messages are submitted at once to keep the rate.
		for interval > 0 && time.Since(first) < time.Duration(i)*interval {
			select {
			case <-ctx.Done():
				work.Wait()
				return ctx.Err()
			case <-tick.C:
			}
		}
		room <- struct{}{}
		work.Go(func() {
			defer func() { <-room }()
			if err := l.submit(ctx, i); err != nil {
				mu.Lock()
				failed = errors.Join(failed, err)
				mu.Unlock()
			}
		})
		mu.Lock()
		stop := failed != nil
		mu.Unlock()
		if stop {
			break
		}
	}
	work.Wait()
	return failed
}

func (l *load) submit(ctx context.Context, i int) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+l.addr+"/"+l.class, bytes.NewReader(make([]byte, bodyBytes)))
	if err != nil {
		return fmt.Errorf("relayslope: %w", err)
	}
	trace := formatTrace(l.runID, i)
	req.Header = http.Header{
		"X-Trace-Id": {trace}, "X-Qos": {l.class}, "X-Customer": {customer}, "Idempotency-Key": {idempotencyKey(trace)},
		"X-Expires-In-Ms": {strconv.FormatInt(l.expire.Milliseconds(), 10)}, "Envelope": {"dest=" + strconv.Itoa(l.destOf(i))},
	}
	l.startTimes[i].Store(int64(time.Since(l.start)))
	res, err := l.client.Do(req)
	if err != nil {
		return fmt.Errorf("relayslope: submit: %w", err)
	}
	defer res.Body.Close()
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		return fmt.Errorf("relayslope: submit: %w", err)
	}
	if res.StatusCode != http.StatusAccepted {
		return fmt.Errorf("relayslope: submit: the relay answered %s", res.Status)
	}
	return nil
}

// idempotencyKey returns the idempotency key of a message.
func idempotencyKey(trace string) string { return trace + trace }

// recordDelivery records a call at the endpoint. It ignores repeated calls of a message and messages of other loads.
func (l *load) recordDelivery(trace string) {
	n, err := strconv.ParseUint(trace, 16, 64)
	if i := int(uint32(n)); err == nil && uint32(n>>32) == uint32(l.runID) && i < len(l.startTimes) {
		began := l.startTimes[i].Swap(0)
		if began == 0 {
			return
		}
		took := time.Since(l.start) - time.Duration(began)
		l.mu.Lock()
		l.times.RecordValue(max(1, min(took, time.Minute).Microseconds()))
		l.mu.Unlock()
		if l.remaining.Add(-1) == 0 {
			close(l.done)
		}
	}
}

// awaitDelivered waits until all messages are delivered.
func (l *load) awaitDelivered(ctx context.Context) error {
	late := time.NewTimer(deliverTimeout)
	defer late.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-late.C:
		return fmt.Errorf("relayslope: %d of %d messages were not delivered", l.remaining.Load(), len(l.startTimes))
	case <-l.done:
		return nil
	}
}

// p99 returns the 99th percentile of the times from submission to delivery, in milliseconds.
func (l *load) p99() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return float64(l.times.ValueAtQuantile(99)) / 1000
}
