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
	// clientMost bounds the clients that wait for their answers at once.
	clientMost = 256
	// deliverWithin is the most that the last delivery may come after the last hand-in.
	deliverWithin = 20 * time.Second
)

// load hands messages in at a steady rate, each by itself, whatever becomes of the ones before, and looks out for them at
// the endpoint.
type load struct {
	addr   string // the relay's
	client *http.Client
	class  string
	expire time.Duration
	place  func(i int) (dest int) // of a message

	run   uint64 // in the traces: no two loads of a relay have one in common
	began []atomic.Int64
	left  atomic.Int64
	done  chan struct{} // closed when all are delivered

	mu    sync.Mutex
	times *hdrhistogram.Histogram // us from hand-in to the call at the endpoint
	start time.Time
}

// newLoad is a load of n messages, none of which is handed in yet.
func newLoad(addr string, run uint64, n int, class string, expire time.Duration, place func(int) int) *load {
	l := &load{began: make([]atomic.Int64, n), addr: addr, run: run, class: class, expire: expire, place: place, done: make(chan struct{}),
		times: hdrhistogram.New(1, (time.Minute).Microseconds(), 3), start: time.Now(),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: clientMost, MaxConnsPerHost: clientMost}}}
	l.left.Store(int64(n))
	return l
}

// traceText is the trace of a load's message.
func traceText(run uint64, i int) string { return fmt.Sprintf("%08x%08x", uint32(run), uint32(i)) }

// handIn hands all messages in, one in each interval; 0: as fast as they are taken. It returns once each has its answer.
func (l *load) handIn(ctx context.Context, interval time.Duration) error {
	defer l.client.CloseIdleConnections()
	tick := time.NewTicker(max(interval, time.Microsecond))
	defer tick.Stop()
	var work sync.WaitGroup
	var mu sync.Mutex
	var failed error
	room := make(chan struct{}, clientMost)
	first := time.Now()
	for i := range l.began {
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
			if err := l.one(ctx, i); err != nil {
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

func (l *load) one(ctx context.Context, i int) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+l.addr+"/"+l.class, bytes.NewReader(make([]byte, bodyBytes)))
	if err != nil {
		return fmt.Errorf("relayslope: %w", err)
	}
	trace := traceText(l.run, i)
	req.Header = http.Header{
		"X-Trace-Id": {trace}, "X-Qos": {l.class}, "X-Customer": {customer}, "Idempotency-Key": {keyText(trace)},
		"X-Expires-In-Ms": {strconv.FormatInt(l.expire.Milliseconds(), 10)}, "Envelope": {"dest=" + strconv.Itoa(l.place(i))},
	}
	l.began[i].Store(int64(time.Since(l.start)))
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

// keyText is the idempotency key of a message.
func keyText(trace string) string { return trace + trace }

// delivered notes a call at the endpoint. A message's second counts for nothing.
func (l *load) delivered(trace string) {
	n, err := strconv.ParseUint(trace, 16, 64)
	if i := int(uint32(n)); err == nil && uint32(n>>32) == uint32(l.run) && i < len(l.began) {
		began := l.began[i].Swap(0)
		if began == 0 {
			return
		}
		took := time.Since(l.start) - time.Duration(began)
		l.mu.Lock()
		l.times.RecordValue(max(1, min(took, time.Minute).Microseconds()))
		l.mu.Unlock()
		if l.left.Add(-1) == 0 {
			close(l.done)
		}
	}
}

// all waits until all messages are delivered.
func (l *load) all(ctx context.Context) error {
	late := time.NewTimer(deliverWithin)
	defer late.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-late.C:
		return fmt.Errorf("relayslope: %d messages of %d are not delivered", l.left.Load(), len(l.began))
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
