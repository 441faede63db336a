package platform

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"onyxroad.dev/onyxroad/internal/testbed/ledger"
	"onyxroad.dev/onyxroad/internal/testbed/network"
)

const (
	emptyLine = 2 * time.Second         // a watch with nothing to tell gives an empty line so often
	newsMost  = 6 * time.Second         // whatever there is to tell counts as told by then
	oldFor    = 1500 * time.Millisecond // an address that was left closes its open connections after this
)

// News of a change reaches an agent so long after it, drawn for each.
var newsDelay = map[string][2]time.Duration{
	"ready":    {300 * time.Millisecond, 2100 * time.Millisecond},
	"draining": {100 * time.Millisecond, 1000 * time.Millisecond},
	"gone":     {1200 * time.Millisecond, 3600 * time.Millisecond},
}

// entry is one entry of the list.
type entry struct {
	ID      string  `json:"id"`
	Addr    string  `json:"addr,omitempty"`
	Zone    string  `json:"zone"`
	Kind    string  `json:"kind"`
	Cell    int     `json:"cell"`
	State   string  `json:"state"`
	Weight  float64 `json:"weight"`
	Started int64   `json:"started_ms"`
	index   int
}

// List is discovery's list in its own form.
type List struct {
	Version int64   `json:"version"`
	Full    bool    `json:"full"`
	Servers []entry `json:"servers"`
}

// agent is discovery's agent on one relay's machine.
type agent struct {
	x     *Platform
	relay int
	rng   *rand.Rand

	mu      sync.Mutex
	moves   int
	servers []*http.Server
	list    map[string]entry
	version int64
	log     []List // each change by itself
	changed chan struct{}
	quiet   bool
	late    time.Duration
	held    []entry // news that did not come through yet
}

func newAgent(x *Platform, relay int) (*agent, error) {
	a := &agent{x: x, relay: relay, rng: rand.New(rand.NewPCG(x.plan.Seed, uint64(relay)+0x6167656e74)), list: map[string]entry{},
		version: 1, changed: make(chan struct{})}
	for i := range x.plan.Endpoints {
		if x.plan.Endpoints[i].Added == 0 {
			e := a.entry(i, "ready")
			a.list[e.ID] = e
		}
	}
	return a, a.serve()
}

func (a *agent) entry(i int, state string) entry {
	p := a.x.plan
	e := &p.Endpoints[i]
	d := &p.Partners[e.Partner]
	return entry{ID: e.ID, Addr: join(endpointIP(i, a.relay), a.x.ports.base+portEndpoints+i), Zone: p.Buildings[e.Building],
		Kind: p.Experiment.Partners.Kinds[d.Kind].Name, Cell: d.ID, State: state, Weight: 1, Started: a.x.partners.startedMS(e.Added),
		index: i}
}

// serve opens the agent's address.
func (a *agent) serve() error {
	l, err := net.Listen("tcp4", a.x.ports.Agent(a.relay, a.moves))
	if err != nil {
		return fmt.Errorf("platform: agent: %w", err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /catalog/members", a.members)
	mux.HandleFunc("POST /v2/finals", a.finals)
	s := &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second, BaseContext: func(net.Listener) context.Context { return a.x.ctx }}
	a.servers = append(a.servers, s)
	a.x.work.Go(func() { s.Serve(l) })
	return nil
}

func (a *agent) close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, s := range a.servers {
		s.Close()
	}
}

// follow brings the news of the plan's changes to the agent.
func (a *agent) follow(offset time.Duration) {
	type change struct {
		at    time.Duration
		index int
		state string
	}
	var all []change
	for i, e := range a.x.plan.Endpoints {
		for state, at := range map[string]time.Duration{"ready": e.Added, "draining": e.Drains, "gone": e.Gone} {
			if at > 0 {
				d := newsDelay[state]
				all = append(all, change{at + d[0] + time.Duration(a.rng.Float64()*float64(d[1]-d[0])), i, state})
			}
		}
	}
	slices.SortFunc(all, func(x, y change) int { return int(x.at - y.at) })
	for _, c := range all {
		a.mu.Lock()
		late := min(a.late, newsMost)
		a.mu.Unlock()
		if network.Sleep(a.x.ctx, offset+c.at+late-a.x.book.Now()) != nil {
			return
		}
		a.news(a.entry(c.index, c.state))
	}
}

// news is one change that has come to the agent.
func (a *agent) news(e entry) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.quiet {
		a.held = append(a.held, e)
		return
	}
	a.take(e)
}

// take puts a change into the list; with mu held.
func (a *agent) take(e entry) {
	if e.State == "gone" {
		delete(a.list, e.ID)
	} else {
		a.list[e.ID] = e
	}
	a.version++
	a.log = append(a.log, List{Version: a.version, Servers: []entry{e}})
	close(a.changed)
	a.changed = make(chan struct{})
	a.x.book.Add(ledger.Told{Relay: a.relay, Endpoint: e.index, State: e.State, At: a.x.book.Now()})
}

// trouble has discovery fall silent, or its news come late; "" ends that.
func (a *agent) trouble(kind string, size float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.quiet, a.late = kind == "quiet", 0
	if kind == "late-news" {
		a.late = time.Duration(size * float64(time.Second))
	}
	if !a.quiet {
		for _, e := range a.held {
			a.take(e)
		}
		a.held = nil
	}
}

// Move moves a relay's agent to another address: the old one takes no new connections, and closes its open ones after a
// while. It returns the new one.
func (x *Platform) Move(relay int) (string, error) {
	a := x.agents[relay]
	a.mu.Lock()
	defer a.mu.Unlock()
	old := a.servers[len(a.servers)-1]
	a.moves++
	if err := a.serve(); err != nil {
		return "", err
	}
	x.work.Go(func() {
		ctx, cancel := context.WithTimeout(x.ctx, oldFor)
		defer cancel()
		old.Shutdown(ctx)
		old.Close()
	})
	return x.ports.Agent(relay, a.moves), nil
}

// Agent is where a relay finds discovery now.
func (x *Platform) Agent(relay int) string {
	a := x.agents[relay]
	a.mu.Lock()
	defer a.mu.Unlock()
	return x.ports.Agent(relay, a.moves)
}

// Known is the list as a relay's agent has it, for its configuration.
func (x *Platform) Known(relay int) List {
	a := x.agents[relay]
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.whole()
}

// whole is the whole list; with mu held.
func (a *agent) whole() List {
	l := List{Version: a.version, Full: true, Servers: []entry{}}
	for _, e := range a.list {
		l.Servers = append(l.Servers, e)
	}
	slices.SortFunc(l.Servers, func(x, y entry) int { return x.index - y.index })
	return l
}

// silent waits for the end of a silence.
func (a *agent) silent(ctx context.Context) bool {
	for {
		a.mu.Lock()
		quiet := a.quiet
		a.mu.Unlock()
		if !quiet {
			return ctx.Err() == nil
		}
		if network.Sleep(ctx, 20*time.Millisecond) != nil {
			return false
		}
	}
}

// members answers GET /catalog/members, with the list or as a watch.
func (a *agent) members(w http.ResponseWriter, req *http.Request) {
	if !a.silent(req.Context()) {
		return
	}
	enc := json.NewEncoder(w)
	if req.URL.Query().Get("stream") != "1" {
		a.mu.Lock()
		l := a.whole()
		a.mu.Unlock()
		enc.Encode(l)
		return
	}
	var after int64
	fmt.Sscan(req.URL.Query().Get("index"), &after)
	flush := func() { http.NewResponseController(w).Flush() }
	for first := true; ; first = false {
		a.mu.Lock()
		changed, version := a.changed, a.version
		var lines []List
		if first && (after <= 0 || after > version) {
			lines = append(lines, a.whole())
		} else {
			for _, l := range a.log {
				if l.Version > after {
					lines = append(lines, l)
				}
			}
		}
		a.mu.Unlock()
		after = version
		if !a.silent(req.Context()) {
			return
		}
		for _, l := range lines {
			if enc.Encode(l) != nil {
				return
			}
		}
		if first && len(lines) == 0 {
			io.WriteString(w, "\n")
		}
		flush()
		for quiet := true; quiet; {
			timer := time.NewTimer(emptyLine)
			select {
			case <-req.Context().Done():
				timer.Stop()
				return
			case <-changed:
				timer.Stop()
				quiet = false
			case <-timer.C:
				if !a.silent(req.Context()) {
					return
				}
				if _, err := io.WriteString(w, "\n"); err != nil {
					return
				}
				flush()
			}
		}
	}
}

// finals takes final notices, also while discovery is down.
func (a *agent) finals(w http.ResponseWriter, req *http.Request) {
	var notices []ledger.Notice
	lines := bufio.NewScanner(io.LimitReader(req.Body, 4<<20))
	for lines.Scan() {
		var n struct {
			ID     string  `json:"id"`
			Status string  `json:"status"`
			Again  float64 `json:"again_ms"`
		}
		err := json.Unmarshal(lines.Bytes(), &n)
		if err == nil && n.Status != "undeliverable" && n.Status != "deferred" {
			err = errors.New("unknown status")
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		notices = append(notices, ledger.Notice{Relay: a.relay, Trace: n.ID, Status: n.Status,
			Again: time.Duration(n.Again * float64(time.Millisecond)), At: a.x.book.Now()})
	}
	for _, n := range notices {
		a.x.book.Add(n)
		a.x.mu.Lock()
		a.x.over[n.Trace] = true
		a.x.mu.Unlock()
		if a.x.Ended != nil {
			a.x.Ended(n)
		}
	}
	w.WriteHeader(http.StatusNoContent)
}
