// Package figures is the duty of adding up the figures of all relays: one relay of the fleet asks the others and answers for all,
// and tells how many it has heard.
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

// Duty is the duty's name.
const Duty = "fleet-figures"

const (
	every    = 2 * time.Second
	askFor   = time.Second
	askMost  = 16 // relays at once
	textMost = 64 << 10
	oldFor   = 3 * every // after which a sum is no answer any more
)

// Config is a relay's part.
type Config struct {
	Stewards []string
	Lease    time.Duration
	Sum      bool // it may add up the fleet's figures
	Name     string
	Admin    string
	Log      *slog.Logger
}

// Figures is a relay's part in the fleet's duties.
type Figures struct {
	cfg    Config
	client *call.Client
	holder *holder.Holder
	http   *http.Client

	mu    sync.Mutex
	text  string
	since time.Time
}

// New returns a part that has not begun.
func New(cfg Config) *Figures {
	var local net.IP
	if host, _, err := net.SplitHostPort(cfg.Admin); err == nil {
		local = net.ParseIP(host)
	}
	f := &Figures{cfg: cfg, client: call.NewClient(cfg.Stewards, local), http: &http.Client{Timeout: askFor,
		Transport: &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{LocalAddr: &net.TCPAddr{IP: local}}).DialContext}}}
	// Two processes of a relay may run side by side, while one takes the other's place: they are two holders.
	f.holder = holder.New(holder.Config{Client: f.client, Name: fmt.Sprintf("%s.%d", cfg.Name, os.Getpid()), Addr: cfg.Admin, Lease: cfg.Lease,
		Log: cfg.Log})
	return f
}

// Run claims the duty and does it while it is held, until ctx ends.
func (f *Figures) Run(ctx context.Context, members func() []membership.Process) {
	defer f.client.Close()
	if f.cfg.Sum {
		f.holder.Want(Duty, func(ctx context.Context, t *holder.Term) error {
			defer f.keep("")
			for ctx.Err() == nil {
				if text := f.sum(ctx, members(), t.Epoch); t.Valid() {
					f.keep(text)
				}
				select {
				case <-ctx.Done():
				case <-time.After(every):
				}
			}
			return nil
		})
	}
	f.holder.Run(ctx)
}

func (f *Figures) keep(text string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.text, f.since = text, time.Now()
}

// Metrics returns the fleet's metrics if this relay holds the duty, and otherwise a text that says who may.
func (f *Figures) Metrics() (text string, held bool) {
	t := f.holder.Holds(Duty)
	f.mu.Lock()
	defer f.mu.Unlock()
	if t == nil || f.text == "" || time.Since(f.since) > oldFor {
		return "another relay adds the figures up, or none: cherrytrestlectl duties tells", false
	}
	return f.text, true
}

// sum asks every member and adds up what is heard.
func (f *Figures) sum(ctx context.Context, members []membership.Process, epoch uint64) string {
	var mu sync.Mutex
	var all sync.WaitGroup
	heard, asked := 0, 0
	total := map[string]float64{}
	kind := map[string]string{}
	room := make(chan struct{}, askMost)
	for _, m := range members {
		if m.Admin == "" {
			continue
		}
		asked++
		all.Go(func() {
			room <- struct{}{}
			defer func() { <-room }()
			values, kinds, err := f.ask(ctx, m.Admin)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			heard++
			for name, v := range values {
				total[name] += v
			}
			maps.Copy(kind, kinds)
		})
	}
	all.Wait()
	var b strings.Builder
	fmt.Fprintf(&b, "fleet.members:%d|g\nfleet.heard:%d|g\nfleet.silent:%d|g\nfleet.epoch:%d|g", len(members), heard, len(members)-heard, epoch)
	for _, name := range slices.Sorted(maps.Keys(total)) {
		fmt.Fprintf(&b, "\n%s:%s|%s", name, strconv.FormatFloat(total[name], 'f', -1, 64), cmp.Or(kind[name], "g"))
	}
	return b.String()
}

// ask reads one relay's figures. Those of the fleet, which each relay tells alike, are nothing to add up.
func (f *Figures) ask(ctx context.Context, addr string) (values map[string]float64, kinds map[string]string, err error) {
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
	values, kinds = map[string]float64{}, map[string]string{}
	in := bufio.NewScanner(io.LimitReader(res.Body, textMost))
	for in.Scan() {
		name, rest, ok := strings.Cut(in.Text(), ":")
		value, k, ok2 := strings.Cut(rest, "|")
		v, err := strconv.ParseFloat(value, 64)
		if !ok || !ok2 || err != nil || !strings.HasPrefix(name, "relay.") {
			continue
		}
		values[name], kinds[name] = v, k
	}
	return values, kinds, in.Err()
}
