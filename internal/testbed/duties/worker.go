package duties

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"onyxroad.dev/onyxroad/internal/duty/call"
	"onyxroad.dev/onyxroad/internal/duty/holder"
)

const receiversPerFleet = 2

// MonotonicTime returns the time of the machine's monotonic clock.
func MonotonicTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &t); err != nil {
		panic(err) // CLOCK_MONOTONIC exists on every Linux
	}
	return time.Duration(t.Nano())
}

// WorkerOptions configure a worker.
type WorkerOptions struct {
	Name      string
	Count     int // holders in this process, each with its own name
	Stewards  []string
	Duties    int
	Lease     time.Duration
	Receivers []string
	Every     time.Duration // between effects
	Local     string        // local IP address of its connections
	Record    string        // file to which its terms are written; empty for none
}

// effect is the message that a worker sends to a receiver.
type effect struct {
	Worker, Duty string
	Epoch        uint64
	Sent         time.Duration
}

// RunWorker claims duties and sends effects while it holds them, until ctx ends. The testbed runs it in a separate process.
func RunWorker(ctx context.Context, o WorkerOptions) error {
	var out io.Writer = io.Discard
	if o.Record != "" {
		f, err := os.OpenFile(o.Record, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return fmt.Errorf("worker: %w", err)
		}
		defer f.Close()
		out = f
	}
	local := net.ParseIP(o.Local)
	w := &worker{options: o, recordFile: out, http: &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{
		DialContext: (&net.Dialer{LocalAddr: &net.TCPAddr{IP: local}}).DialContext, MaxIdleConnsPerHost: 16}}}
	var all sync.WaitGroup
	for i := range max(1, o.Count) {
		name := fmt.Sprintf("%s.%d", o.Name, os.Getpid())
		if o.Count > 1 {
			name = fmt.Sprintf("%s-%d.%d", o.Name, i, os.Getpid())
		}
		h := holder.New(holder.Config{Client: call.NewClient(o.Stewards, local), Name: name, Lease: o.Lease,
			Log: slog.New(slog.NewTextHandler(os.Stderr, nil))})
		for d := range o.Duties {
			h.Register(fmt.Sprintf("duty-%d", d), func(ctx context.Context, t *holder.Term) error { return w.holdDuty(ctx, name, t) })
		}
		all.Go(func() { h.Run(ctx) })
	}
	all.Wait()
	return nil
}

type worker struct {
	options    WorkerOptions
	http       *http.Client
	mu         sync.Mutex
	recordFile io.Writer
}

// writeRecord appends a line to the record file. A line is written by one system call, so that it is complete and survives SIGKILL.
func (w *worker) writeRecord(v any) {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err) // can't fail: plain fields only
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.recordFile.Write(append(data, '\n'))
}

// record is a line of a worker's record file.
type record struct {
	Claim *Claim `json:"claim,omitempty"`
	End   *End   `json:"end,omitempty"`
}

func (w *worker) holdDuty(ctx context.Context, name string, t *holder.Term) error {
	ago := func(at time.Time) time.Duration { return MonotonicTime() - time.Since(at) }
	w.writeRecord(record{Claim: &Claim{name, t.Duty, t.Epoch, ago(t.ClaimedAt), MonotonicTime()}})
	var out sync.WaitGroup
	for n := 0; ctx.Err() == nil; n++ {
		e := effect{name, t.Duty, t.Epoch, MonotonicTime()}
		if !t.Valid() {
			break
		}
		if len(w.options.Receivers) > 0 {
			// In the background: a slow effect must not delay the next one or the end of the term.
			to := w.options.Receivers[n%len(w.options.Receivers)]
			out.Go(func() { w.send(to, e) })
		}
		select {
		case <-ctx.Done():
		case <-time.After(w.options.Every):
		}
	}
	w.writeRecord(record{End: &End{name, t.Duty, t.Epoch, MonotonicTime(), context.Cause(ctx) == holder.ErrLeaseExpired}})
	return nil
}

func (w *worker) send(to string, e effect) {
	data, err := json.Marshal(e)
	if err != nil {
		panic(err)
	}
	if res, err := w.http.Post("http://"+to+"/effect", "application/json", bytes.NewReader(data)); err == nil {
		res.Body.Close()
	}
}
