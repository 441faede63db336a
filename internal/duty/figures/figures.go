// Package figures implements the duty of summing the metrics ("figures") of all relays: the relay that holds it queries
// every relay, serves the sums, and reports how many relays answered.
package figures

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"onyxroad.dev/onyxroad/internal/duty/call"
	"onyxroad.dev/onyxroad/internal/duty/holder"
	"onyxroad.dev/onyxroad/internal/membership"
)

// Duty is the name of the duty.
const Duty = "fleet-figures"

const (
	sumInterval           = 2 * time.Second
	requestTimeout        = time.Second
	maxConcurrentRequests = 16
	maxAnswerBytes        = 64 << 10
	maxAge                = 3 * sumInterval // after which a sum is no longer served
)

// Config configures the duty on a relay.
type Config struct {
	Stewards []string
	Lease    time.Duration
	MayHold  bool // this relay may hold the duty
	Name     string
	Admin    string
	Log      *slog.Logger
}

// Figures performs the duty on one relay.
type Figures struct {
	cfg    Config
	client *call.Client
	holder *holder.Holder
	http   *http.Client

	mu       sync.Mutex
	text     string
	storedAt time.Time
}

// New returns a Figures that is not running yet.
func New(cfg Config) *Figures {
	var local net.IP
	if host, _, err := net.SplitHostPort(cfg.Admin); err == nil {
		local = net.ParseIP(host)
	}
	f := &Figures{cfg: cfg, client: call.NewClient(cfg.Stewards, local), http: &http.Client{Timeout: requestTimeout,
		Transport: &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{LocalAddr: &net.TCPAddr{IP: local}}).DialContext}}}
	// During a hand-over two processes of a relay run at the same time: they are separate holders.
	f.holder = holder.New(holder.Config{Client: f.client, Name: fmt.Sprintf("%s.%d", cfg.Name, os.Getpid()), Addr: cfg.Admin, Lease: cfg.Lease,
		Log: cfg.Log})
	return f
}

// Run claims the duty, and performs it while it is held, until ctx ends.
func (f *Figures) Run(ctx context.Context, members func() []membership.Process) {
	defer f.client.Close()
	if f.cfg.MayHold {
		f.holder.Register(Duty, func(ctx context.Context, t *holder.Term) error {
			defer f.store("")
			for ctx.Err() == nil {
				if text := f.sum(ctx, members(), t.Epoch); t.Valid() {
					f.store(text)
				}
				select {
				case <-ctx.Done():
				case <-time.After(sumInterval):
				}
			}
			return nil
		})
	}
	f.holder.Run(ctx)
}

func (f *Figures) store(text string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.text, f.storedAt = text, time.Now()
}

// Metrics returns the fleet's metrics if this relay holds the duty, and otherwise a text that says how to find the holder.
func (f *Figures) Metrics() (text string, held bool) {
	t := f.holder.CurrentTerm(Duty)
	f.mu.Lock()
	defer f.mu.Unlock()
	if t == nil || f.text == "" || time.Since(f.storedAt) > maxAge {
		return "another relay adds the figures up, or none: cherrytrestlectl duties tells", false
	}
	return f.text, true
}

// sum queries every member and returns the sums, and how many members answered, in the format of a relay's metrics.
func (f *Figures) sum(ctx context.Context, members []membership.Process, epoch uint64) string {
	var mu sync.Mutex
	var all sync.WaitGroup
	heard, asked := 0, 0
	total := map[string]float64{}
	types := map[string]string{}
	semaphore := make(chan struct{}, maxConcurrentRequests)
	for _, m := range members {
		if m.Admin == "" {
			continue
		}
		asked++
		all.Go(func() {
			semaphore <- struct{}{}
			defer func() { <-semaphore }()
			values, metricTypes, err := f.fetch(ctx, m.Admin)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			heard++
			for name, v := range values {
				total[name] += v
			}
			maps.Copy(types, metricTypes)
		})
	}
	all.Wait()
	var b strings.Builder
	fmt.Fprintf(&b, "fleet.members:%d|g\nfleet.heard:%d|g\nfleet.silent:%d|g\nfleet.epoch:%d|g", len(members), heard, len(members)-heard, epoch)
	for _, name := range slices.Sorted(maps.Keys(total)) {
		fmt.Fprintf(&b, "\n%s:%s|%s", name, strconv.FormatFloat(total[name], 'f', -1, 64), cmp.Or(types[name], "g"))
	}
	return b.String()
}

// fetch returns the values and types of one relay's metrics, by name. Metrics of the fleet are skipped: every relay
// reports the same, so they must not be summed.
func (f *Figures) fetch(ctx context.Context, addr string) (values map[string]float64, types map[string]string, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/api/telemetry", nil)
	if err != nil {
		return nil, nil, err
	}
	res, err := f.http.Do(req)
	if err != nil {
		return nil, nil, err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return nil, nil, fmt.Errorf("%s answers %s", addr, res.Status)
	}
	values, types = map[string]float64{}, map[string]string{}
	in := bufio.NewScanner(io.LimitReader(res.Body, maxAnswerBytes))
	for in.Scan() {
		name, rest, ok := strings.Cut(in.Text(), ":")
		value, typ, ok2 := strings.Cut(rest, "|")
		v, err := strconv.ParseFloat(value, 64)
		if !ok || !ok2 || err != nil || !strings.HasPrefix(name, "relay.") {
			continue
		}
		values[name], types[name] = v, typ
	}
	return values, types, in.Err()
}
