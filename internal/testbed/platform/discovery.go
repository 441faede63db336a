package platform

import (
	"bufio"
	"cmp"
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
	"onyxroad.dev/onyxroad/internal/testbed/plan"
)

const (
	keepaliveInterval = 2 * time.Second         // between empty lines of a watch without changes
	maxChangeDelay    = 6 * time.Second         // longest delay of a change that a fault may add
	oldAddressGrace   = 1500 * time.Millisecond // after a move, the old address closes its open connections after this
)

// changeDelay is the range from which the delay is drawn with which a change reaches an agent.
var changeDelay = map[string][2]time.Duration{
	"ready":    {300 * time.Millisecond, 2100 * time.Millisecond},
	"draining": {100 * time.Millisecond, 1000 * time.Millisecond},
	"gone":     {1200 * time.Millisecond, 3600 * time.Millisecond},
}

// entry is an endpoint in discovery's list.
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

// List is discovery's list of endpoints, or a change of it, as it is encoded for relays.
type List struct {
	Version int64   `json:"version"`
	Full    bool    `json:"full"`
	Servers []entry `json:"servers"`
}

// agent is the discovery agent on the machine of one relay.
type agent struct {
	platform *Platform
	relay    int
	rng      *rand.Rand

	mu          sync.Mutex
	moves       int
	servers     []*http.Server
	entries     map[string]entry
	version     int64
	changes     []List // one list per change
	changed     chan struct{}
	silenced    bool
	extraDelay  time.Duration
	heldChanges []entry // changes that came while the agent was silenced

	surplusShare float64 // of the answers that are followed by a copy
	conns        idleConns
}

func newAgent(x *Platform, relay int) (*agent, error) {
	a := &agent{platform: x, relay: relay, rng: rand.New(rand.NewPCG(x.plan.Seed, uint64(relay)+0x6167656e74)), entries: map[string]entry{},
		version: 1, changed: make(chan struct{})}
	for i := range x.plan.Endpoints {
		if x.plan.Endpoints[i].Added == 0 {
			e := a.newEntry(i, "ready")
			a.entries[e.ID] = e
		}
	}
	return a, a.serve()
}

func (a *agent) newEntry(i int, state string) entry {
	p := a.platform.plan
	e := &p.Endpoints[i]
	d := &p.Partners[e.Partner]
	return entry{ID: e.ID, Addr: hostPort(endpointIP(i, a.relay), a.platform.ports.base+portEndpoints+i), Zone: p.Buildings[e.Building],
		Kind: p.Experiment.Partners.Kinds[d.Kind].Name, Cell: d.ID, State: state, Weight: 1, Started: a.platform.partners.startedMS(e.Added),
		index: i}
}

// serve starts a server at the agent's current address.
func (a *agent) serve() error {
	l, err := net.Listen("tcp4", a.platform.ports.Agent(a.relay, a.moves))
	if err != nil {
		return fmt.Errorf("platform: listen as discovery agent: %w", err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /catalog/members", a.handleMembers)
	mux.HandleFunc("POST /v2/finals", a.handleNotices)
	s := &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second,
		BaseContext: func(net.Listener) context.Context { return a.platform.ctx }, ConnContext: withConn, ConnState: a.conns.setState}
	a.servers = append(a.servers, s)
	a.platform.wg.Go(func() { s.Serve(l) })
	return nil
}

func (a *agent) close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, s := range a.servers {
		s.Close()
	}
}

// plannedChange is a change of the list, and when the agent learns of it.
type plannedChange struct {
	at    time.Duration
	index int
	state string
}

// plannedChanges are the changes of the plan, each with its delay. The news of an endpoint keep their order: it never becomes ready
// after it has begun to drain.
func plannedChanges(endpoints []plan.Endpoint, random func() float64) (all []plannedChange) {
	for i, e := range endpoints {
		earliest := time.Duration(0)
		for _, c := range []plannedChange{{e.Added, i, "ready"}, {e.Drains, i, "draining"}, {e.Gone, i, "gone"}} {
			if c.at <= 0 {
				continue
			}
			d := changeDelay[c.state]
			if e.News > 0 {
				d = [2]time.Duration{e.News, e.News}
			}
			c.at = max(earliest, c.at+d[0]+time.Duration(random()*float64(d[1]-d[0])))
			earliest = c.at
			all = append(all, c)
		}
	}
	slices.SortStableFunc(all, func(x, y plannedChange) int { return cmp.Compare(x.at, y.at) })
	return all
}

// followPlan passes the changes of the plan to the agent, each with its delay.
func (a *agent) followPlan(offset time.Duration) {
	all := plannedChanges(a.platform.plan.Endpoints, a.rng.Float64)
	for _, c := range all {
		a.mu.Lock()
		late := min(a.extraDelay, maxChangeDelay)
		a.mu.Unlock()
		if network.Sleep(a.platform.ctx, offset+c.at+late-a.platform.ledger.Now()) != nil {
			return
		}
		a.receive(a.newEntry(c.index, c.state))
	}
}

// receive applies a change, or holds it back while the agent is silenced.
func (a *agent) receive(e entry) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.silenced {
		a.heldChanges = append(a.heldChanges, e)
		return
	}
	a.apply(e)
}

// apply puts a change into the list and wakes the watches. The caller holds mu.
func (a *agent) apply(e entry) {
	if e.State == "gone" {
		delete(a.entries, e.ID)
	} else {
		a.entries[e.ID] = e
	}
	a.version++
	a.changes = append(a.changes, List{Version: a.version, Servers: []entry{e}})
	close(a.changed)
	a.changed = make(chan struct{})
	a.platform.ledger.Add(ledger.ListChange{Relay: a.relay, Endpoint: e.index, State: e.State, At: a.platform.ledger.Now()})
}

// setFault silences the agent or delays its changes by size seconds; kind "" ends either.
func (a *agent) setFault(kind string, size float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.silenced, a.extraDelay = kind == "quiet", 0
	if kind == "late-news" {
		a.extraDelay = time.Duration(size * float64(time.Second))
	}
	if !a.silenced {
		for _, e := range a.heldChanges {
			a.apply(e)
		}
		a.heldChanges = nil
	}
}

// MoveAgent moves a relay's agent to another address and returns that. The old address accepts no new connections and
// closes its open ones after oldAddressGrace.
func (x *Platform) MoveAgent(relay int) (string, error) {
	a := x.agents[relay]
	a.mu.Lock()
	defer a.mu.Unlock()
	old := a.servers[len(a.servers)-1]
	a.moves++
	if err := a.serve(); err != nil {
		return "", err
	}
	x.wg.Go(func() {
		ctx, cancel := context.WithTimeout(x.ctx, oldAddressGrace)
		defer cancel()
		old.Shutdown(ctx)
		old.Close()
	})
	return x.ports.Agent(relay, a.moves), nil
}

// AgentAddr returns the current address of a relay's agent.
func (x *Platform) AgentAddr(relay int) string {
	a := x.agents[relay]
	a.mu.Lock()
	defer a.mu.Unlock()
	return x.ports.Agent(relay, a.moves)
}

// KnownList returns the list of a relay's agent, for the relay's configuration.
func (x *Platform) KnownList(relay int) List {
	a := x.agents[relay]
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.fullList()
}

// fullList returns the full list. The caller holds mu.
func (a *agent) fullList() List {
	l := List{Version: a.version, Full: true, Servers: []entry{}}
	for _, e := range a.entries {
		l.Servers = append(l.Servers, e)
	}
	slices.SortFunc(l.Servers, func(x, y entry) int { return x.index - y.index })
	return l
}

// awaitSilenceEnd waits until the agent is not silenced. It returns false if ctx ended.
func (a *agent) awaitSilenceEnd(ctx context.Context) bool {
	for {
		a.mu.Lock()
		silenced := a.silenced
		a.mu.Unlock()
		if !silenced {
			return ctx.Err() == nil
		}
		if network.Sleep(ctx, 20*time.Millisecond) != nil {
			return false
		}
	}
}

// handleMembers answers GET /catalog/members with the list, or with stream=1 as a watch.
func (a *agent) handleMembers(w http.ResponseWriter, req *http.Request) {
	if !a.awaitSilenceEnd(req.Context()) {
		return
	}
	enc := json.NewEncoder(w)
	if req.URL.Query().Get("stream") != "1" {
		a.mu.Lock()
		l := a.fullList()
		a.mu.Unlock()
		if enc.Encode(l) == nil {
			a.addSurplus(req, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
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
			lines = append(lines, a.fullList())
		} else {
			for _, l := range a.changes {
				if l.Version > after {
					lines = append(lines, l)
				}
			}
		}
		a.mu.Unlock()
		after = version
		if !a.awaitSilenceEnd(req.Context()) {
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
		for unchanged := true; unchanged; {
			timer := time.NewTimer(keepaliveInterval)
			select {
			case <-req.Context().Done():
				timer.Stop()
				return
			case <-changed:
				timer.Stop()
				unchanged = false
			case <-timer.C:
				if !a.awaitSilenceEnd(req.Context()) {
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

// handleNotices answers POST /v2/finals, which carries final notices. It does so while the agent is silenced, too.
func (a *agent) handleNotices(w http.ResponseWriter, req *http.Request) {
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
			RetryAfter: time.Duration(n.Again * float64(time.Millisecond)), At: a.platform.ledger.Now()})
	}
	for _, n := range notices {
		a.platform.ledger.Add(n)
		a.platform.mu.Lock()
		a.platform.finished[n.Trace] = true
		a.platform.mu.Unlock()
		if a.platform.OnNotice != nil {
			a.platform.OnNotice(n)
		}
	}
	w.WriteHeader(http.StatusNoContent)
	a.addSurplus(req, "HTTP/1.1 204 No Content\r\n\r\n")
}
