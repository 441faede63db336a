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
	// maxClients bounds the clients that wait for their answers at once.
	maxClients = 256
	// deliverTimeout is the most that the last delivery may come after the last hand-in.
	deliverTimeout = 20 * time.Second
)

// load hands messages in at a steady rate, each by itself, whatever becomes of the ones before, and looks out for them at
// the endpoint.
type load struct {
	addr   string // the relay's
	client *http.Client
	class  string
	expire time.Duration
	destOf  func(i int) (dest int) // of a message

	runID   uint64 // in the traces: no two loads of a relay have one in common
	startTimes []atomic.Int64
	remaining  atomic.Int64
	done  chan struct{} // closed when all are delivered

	mu    sync.Mutex
	times *hdrhistogram.Histogram // us from hand-in to the call at the endpoint
	start time.Time
}

// newLoad is a load of n messages, none of which is handed in yet.
func newLoad(addr string, run uint64, n int, class string, expire time.Duration, place func(int) int) *load {
	l := &load{startTimes: make([]atomic.Int64, n), addr: addr, runID: run, class: class, expire: expire, destOf: place, done: make(chan struct{}),
		times: hdrhistogram.New(1, (time.Minute).Microseconds(), 3), start: time.Now(),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxClients, MaxConnsPerHost: maxClients}}}
	l.remaining.Store(int64(n))
	return l
}

// formatTrace is the trace of a load's message.
func formatTrace(run uint64, i int) string { return fmt.Sprintf("%08x%08x", uint32(run), uint32(i)) }

// submitAll hands all messages in, one in each interval; 0: as fast as they are taken. It returns once each has its answer.
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
		// Behind its time, several go at once: the rate is kept.
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
		return fmt.Errorf("relayslope: hand in: %w", err)
	}
	defer res.Body.Close()
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		return fmt.Errorf("relayslope: hand in: %w", err)
	}
	if res.StatusCode != http.StatusAccepted {
		return fmt.Errorf("relayslope: hand in: the relay answers %s", res.Status)
	}
	return nil
}

// idempotencyKey is the idempotency key of a message.
func idempotencyKey(trace string) string { return trace + trace }

// recordDelivery notes a call at the endpoint. A message's second counts for nothing.
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

// awaitDelivered waits until awaitDelivered messages are delivered.
func (l *load) awaitDelivered(ctx context.Context) error {
	late := time.NewTimer(deliverTimeout)
	defer late.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-late.C:
		return fmt.Errorf("relayslope: %d messages of %d are not delivered", l.remaining.Load(), len(l.startTimes))
	case <-l.done:
		return nil
	}
}

// p99 is the 99th percentile of the times from hand-in to delivery, in ms.
func (l *load) p99() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return float64(l.times.ValueAtQuantile(99)) / 1000
}
