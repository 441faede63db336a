// Package rig has what the review's cases share: a record, relay processes started by the deploy file's command, and
// small stand-ins for clients, endpoints and the platform. The stand-ins follow PROTOCOL; all addresses are loopback.
package rig

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Rig is one run of a case.
type Rig struct {
	Root  string // of the repository
	Dir   string // temporary folder
	began time.Time

	mu     sync.Mutex
	record *os.File
	procs  []*Proc
}

// New starts a run. The first argument of the program is the file for the record, in the case's folder.
func New() *Rig {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: PROGRAM REPOSITORY/review/N/record.txt")
		os.Exit(2)
	}
	file, err := filepath.Abs(os.Args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	r := &Rig{Root: filepath.Dir(filepath.Dir(filepath.Dir(file))), began: time.Now()}
	if r.record, err = os.Create(file); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	if r.Dir, err = os.MkdirTemp("", "review-"); err != nil {
		r.CannotRun("temporary folder: %v", err)
	}
	time.AfterFunc(110*time.Second, func() { r.CannotRun("not over after 110 s") })
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() { r.CannotRun("%v", <-stop) }()
	return r
}

// Trouble tells whether the disruption is wanted.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Log writes a line to the record.
func (r *Rig) Log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

func (r *Rig) exit(code int) {
	r.mu.Lock()
	procs := r.procs
	r.mu.Unlock()
	for _, p := range procs {
		p.cmd.Process.Kill()
		<-p.Ended
	}
	os.RemoveAll(r.Dir)
	os.Exit(code)
}

// CannotRun ends the run with status 2.
func (r *Rig) CannotRun(format string, args ...any) {
	r.Log("could not run: "+format, args...)
	fmt.Printf("could not run: "+format+"\n", args...)
	r.exit(2)
}

// End ends the run: with 1 if the rule was broken, else with 0.
func (r *Rig) End(broken []string) {
	for _, b := range broken {
		r.Log("BROKEN: %s", b)
		fmt.Println("broken:", b)
	}
	if len(broken) > 0 {
		r.exit(1)
	}
	r.Log("the rule held")
	fmt.Println("the rule held")
	r.exit(0)
}

// FreeAddr returns an address that nobody listens on.
func (r *Rig) FreeAddr() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		r.CannotRun("free port: %v", err)
	}
	defer l.Close()
	return l.Addr().String()
}

// Proc is a process of the project.
type Proc struct {
	Name  string
	Ended chan struct{}
	cmd   *exec.Cmd
	rig   *Rig
}

// Start runs the deploy file's run command, with more arguments if there are any.
func (r *Rig) Start(name string, env []string, args ...string) *Proc {
	data, err := os.ReadFile(filepath.Join(r.Root, "deploy", "balancer.toml"))
	if err != nil {
		r.CannotRun("%v", err)
	}
	run := ""
	for _, line := range strings.Split(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, "run = "); ok {
			run = strings.Trim(rest, `"`)
		}
	}
	cmd := exec.Command("/bin/sh", "-c", strings.Join(append([]string{run}, args...), " "))
	cmd.Dir, cmd.Env = r.Root, append([]string{"PATH=" + os.Getenv("PATH"), "TMPDIR=" + r.Dir}, env...)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := cmd.StderrPipe()
	if err != nil {
		r.CannotRun("%v", err)
	}
	cmd.Stdout = cmd.Stderr
	if err := cmd.Start(); err != nil {
		r.CannotRun("start: %v", err)
	}
	p := &Proc{Name: name, cmd: cmd, rig: r, Ended: make(chan struct{})}
	r.mu.Lock()
	r.procs = append(r.procs, p)
	r.mu.Unlock()
	r.Log("%s: started, process %d", name, cmd.Process.Pid)
	go func() {
		lines := bufio.NewScanner(out)
		for lines.Scan() {
			r.Log("%s: log: %s", name, lines.Text())
		}
		err := cmd.Wait()
		r.Log("%s: ended (%v)", name, err)
		close(p.Ended)
	}()
	return p
}

// Signal sends a signal to the process.
func (p *Proc) Signal(s syscall.Signal) {
	p.rig.Log("%s: signal %v", p.Name, s)
	p.cmd.Process.Signal(s)
}

// Over tells whether the process has ended.
func (p *Proc) Over() bool {
	select {
	case <-p.Ended:
		return true
	default:
		return false
	}
}

// Wait waits until ok, for limit at most; otherwise the case could not run.
func (r *Rig) Wait(what string, limit time.Duration, ok func() bool) {
	for end := time.Now().Add(limit); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			r.CannotRun("%s: not within %v", what, limit)
		}
	}
}

// Get calls a URL and returns the status, 0 if there is no answer.
func Get(url string) int {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := c.Get(url)
	if err != nil {
		return 0
	}
	res.Body.Close()
	return res.StatusCode
}

// Server is an entry of discovery's list.
type Server struct {
	ID      string  `json:"id"`
	Addr    string  `json:"addr"`
	Zone    string  `json:"zone"`
	Kind    string  `json:"kind"`
	Cell    int     `json:"cell"`
	State   string  `json:"state"`
	Weight  float64 `json:"weight"`
	Started int64   `json:"started_ms"`
}

// List is discovery's list or a change to it.
type List struct {
	Version int64    `json:"version"`
	Full    bool     `json:"full"`
	Servers []Server `json:"servers"`
}

// Agent is the platform: discovery's agent, and the receiver of notices.
type Agent struct {
	Addr string
	rig  *Rig

	mu      sync.Mutex
	list    map[string]Server
	changes []List
	version int64
	more    chan struct{}
	notices map[string][]string
	firstAt map[string]time.Time // of the first notice
}

// NewAgent starts an agent with a list.
func (r *Rig) NewAgent(servers ...Server) *Agent {
	a := &Agent{rig: r, list: map[string]Server{}, version: 40, more: make(chan struct{}), notices: map[string][]string{},
		firstAt: map[string]time.Time{}}
	for _, s := range servers {
		a.list[s.ID] = s
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		r.CannotRun("agent: %v", err)
	}
	a.Addr = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /catalog/members", a.members)
	mux.HandleFunc("POST /v2/finals", a.finals)
	go http.Serve(l, mux)
	return a
}

// Full returns the whole list.
func (a *Agent) Full() List {
	a.mu.Lock()
	defer a.mu.Unlock()
	l := List{Version: a.version, Full: true}
	for _, s := range a.list {
		l.Servers = append(l.Servers, s)
	}
	return l
}

// Change sets the state of an endpoint in the list; "gone" removes it.
func (a *Agent) Change(id, state string) {
	a.mu.Lock()
	s := a.list[id]
	a.mu.Unlock()
	s.State = state
	a.Put(s)
}

// Put adds an endpoint to the list, or changes its entry.
func (a *Agent) Put(s Server) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.list[s.ID] = s
	if s.State == "gone" {
		delete(a.list, s.ID)
	}
	a.version++
	a.changes = append(a.changes, List{Version: a.version, Servers: []Server{s}})
	close(a.more)
	a.more = make(chan struct{})
	a.rig.Log("discovery: %s is %s", s.ID, s.State)
}

func (a *Agent) members(w http.ResponseWriter, req *http.Request) {
	enc := json.NewEncoder(w)
	if req.URL.Query().Get("stream") != "1" {
		enc.Encode(a.Full())
		return
	}
	index := int64(0)
	fmt.Sscan(req.URL.Query().Get("index"), &index)
	rc := http.NewResponseController(w)
	beat := time.NewTicker(2 * time.Second)
	defer beat.Stop()
	first := true
	for {
		a.mu.Lock()
		more := a.more
		var out []List
		if first && index < 40 {
			a.mu.Unlock()
			l := a.Full()
			a.mu.Lock()
			out, index = []List{l}, l.Version
		}
		for _, c := range a.changes {
			if c.Version > index {
				out, index = append(out, c), c.Version
			}
		}
		if first && len(out) == 0 {
			out = []List{{Version: a.version, Servers: []Server{}}}
		}
		a.mu.Unlock()
		first = false
		for _, l := range out {
			enc.Encode(l)
		}
		rc.Flush()
		select {
		case <-req.Context().Done():
			return
		case <-more:
		case <-beat.C:
			io.WriteString(w, "\n")
			rc.Flush()
		}
	}
}

func (a *Agent) finals(w http.ResponseWriter, req *http.Request) {
	lines := bufio.NewScanner(req.Body)
	for lines.Scan() {
		var n struct{ ID, Status string }
		if json.Unmarshal(lines.Bytes(), &n) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		a.mu.Lock()
		if a.notices[n.ID] = append(a.notices[n.ID], n.Status); len(a.notices[n.ID]) == 1 {
			a.firstAt[n.ID] = time.Now()
		}
		a.mu.Unlock()
		a.rig.Log("platform: notice %s %s", n.ID, n.Status)
	}
	w.WriteHeader(http.StatusNoContent)
}

// Notices returns the notices for a message.
func (a *Agent) Notices(id string) []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]string{}, a.notices[id]...)
}

// FirstNotice returns when the first notice for a message came; zero if none did.
func (a *Agent) FirstNotice(id string) time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.firstAt[id]
}

// Call is a call that has arrived whole at an endpoint.
type Call struct {
	At       time.Time
	Endpoint *Endpoint
	ID, Key  string
	Answer   string
}

// Endpoint is an endpoint of a destination.
type Endpoint struct {
	Server
	rig     *Rig
	Handler func(c *Call) int // returns the status of the answer; 0: none is given, the connection stays open

	mu    sync.Mutex
	calls []*Call
}

// NewEndpoint starts an endpoint.
func (r *Rig) NewEndpoint(id, zone, kind string, cell int, handler func(c *Call) int) *Endpoint {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		r.CannotRun("endpoint: %v", err)
	}
	e := &Endpoint{rig: r, Handler: handler, Server: Server{ID: id, Addr: l.Addr().String(), Zone: zone, Kind: kind, Cell: cell,
		State: "ready", Weight: 1}}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /events", func(w http.ResponseWriter, req *http.Request) {
		if _, err := io.ReadAll(req.Body); err != nil {
			return // its last byte has not arrived
		}
		if status := e.run(req, req.Header.Get("X-Trace-Id"), req.Header.Get("Idempotency-Key")); status != 0 {
			w.WriteHeader(status)
		}
	})
	mux.HandleFunc("POST /events/bundle", func(w http.ResponseWriter, req *http.Request) {
		var items []struct{ ID, Key string }
		if data, err := io.ReadAll(req.Body); err != nil || json.Unmarshal(data, &items) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		type state struct {
			ID    string `json:"id"`
			State string `json:"state"`
		}
		states := []state{}
		for _, x := range items {
			switch e.run(req, x.ID, x.Key) {
			case 0:
				return
			case http.StatusOK:
				states = append(states, state{x.ID, "ok"})
			default:
				states = append(states, state{x.ID, "error"})
			}
		}
		json.NewEncoder(w).Encode(states)
	})
	go http.Serve(l, mux)
	return e
}

// run runs one message of a call and returns the status of its answer; 0 if the relay gave the call up before there was one.
func (e *Endpoint) run(req *http.Request, id, key string) int {
	c := &Call{At: time.Now(), Endpoint: e, ID: id, Key: key}
	e.mu.Lock()
	e.calls = append(e.calls, c)
	e.mu.Unlock()
	e.rig.Log("%s (%s): call with %s, key %s", e.ID, e.Zone, id, key)
	status := e.Handler(c)
	if status == 0 {
		<-req.Context().Done()
		e.rig.Log("%s: the relay has given up %s", e.ID, id)
		return 0
	}
	e.rig.Log("%s: answers %s with %d", e.ID, id, status)
	return status
}

// Calls returns the calls that have arrived.
func (e *Endpoint) Calls() []*Call {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]*Call{}, e.calls...)
}

// Message is what a client hands in.
type Message struct {
	Class, Customer, ID, Key string
	Dest                     int
	Left                     time.Duration
	Body                     string
}

// Request is the request with which a client hands the message in.
func (m Message) Request() []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "POST /%s HTTP/1.1\r\nHost: origin.svc\r\nX-Trace-Id: %s\r\nX-Qos: %s\r\nX-Customer: %s\r\nX-Expires-In-Ms: %d\r\n",
		m.Class, m.ID, m.Class, m.Customer, m.Left.Milliseconds())
	if m.Key != "" {
		fmt.Fprintf(&b, "Idempotency-Key: %s\r\n", m.Key)
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\nEnvelope: dest=%d\r\n\r\n%s", len(m.Body), m.Dest, m.Body)
	return b.Bytes()
}

// HandIn hands a message in and returns the status of the answer; 0: none within 400 ms.
func (r *Rig) HandIn(relay string, m Message) int {
	conn, err := net.DialTimeout("tcp", relay, 400*time.Millisecond)
	if err != nil {
		r.Log("client: %s not handed in: %v", m.ID, err)
		return 0
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(400 * time.Millisecond))
	conn.Write(m.Request())
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		r.Log("client: %s handed in, no answer: %v", m.ID, err)
		return 0
	}
	res.Body.Close()
	r.Log("client: %s (%s, dest %d) handed in, answer %d", m.ID, m.Class, m.Dest, res.StatusCode)
	return res.StatusCode
}

// Config is what a relay is told.
func (r *Rig) Config(name, listen, admin string, a *Agent, settings map[string]any) map[string]any {
	return map[string]any{
		"name": name, "listen": listen, "admin_addr": admin, "discovery": a.Addr, "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3},
		"known":  a.Full(), "settings": settings,
	}
}

// WriteConfig writes a configuration file and returns the environment of a process with it.
func (r *Rig) WriteConfig(file string, c map[string]any) []string {
	data, err := json.MarshalIndent(c, "", " ")
	if err == nil {
		err = os.WriteFile(filepath.Join(r.Dir, file), data, 0o600)
	}
	state := filepath.Join(r.Dir, "state-"+c["name"].(string))
	if err == nil {
		err = os.MkdirAll(state, 0o700)
	}
	if err != nil {
		r.CannotRun("%v", err)
	}
	return []string{
		"ROUTER_NAME=" + c["name"].(string), "ROUTER_LISTEN=" + c["listen"].(string), "ROUTER_DISCOVERY=" + c["discovery"].(string),
		"ROUTER_STATE=" + state, "ROUTER_CONFIG=" + filepath.Join(r.Dir, file), "ROUTER_ADMIN_ADDR=" + c["admin_addr"].(string),
	}
}

// Settings are those of the site saskatoon-lab, for a fleet of three.
func Settings(zone int) map[string]any {
	class := func(name string, value float64, aim, deadline int, late float64, semantics, group string, window int) map[string]any {
		return map[string]any{"name": name, "value": value, "goal_time_ms": float64(aim), "give_up_ms": float64(deadline), "late_worth": late,
			"semantics": semantics, "group": group, "repeat_window_ms": float64(window), "stream": false}
	}
	realm := func(name string, quota, share float64) map[string]any {
		return map[string]any{"name": name, "quota_per_s": quota, "share": share}
	}
	return map[string]any{
		"fleet_size": 3, "me": 0, "zone": zone, "zones": []string{"north-bldg", "south-bldg", "annex"},
		"kinds": []string{"railways", "elevators", "short-lines"}, "tick_ms": 5.0, "domain_type": "deliver",
		"membership_mode": "push", "stage": 0, "tiers": "partner-systems", "value_by": "request", "weight_kind": "none",
		"over_share_worth": 0.1,
		"bounds": map[string]any{"cancel": true, "connect_timeout_ms": 1500.0, "cpu_us_per_request": 0.0, "cpu_us_per_s": 50000,
			"keepalive_ms": 10000.0, "max_retry_after_ms": 3000.0, "may_duplicate": true, "open_cap": 155, "peers": false,
			"probes": true, "retry_after": false, "send_cap": 12, "streams_per_conn": 1},
		"extra": map[string]any{"call_slots": 11, "carriage": []float64{0, 0, 0}, "loses_worth": "even", "per_call": []int{5, 1, 1},
			"separate_routes": []bool{false, true, false}, "turned_away_price": 0.0},
		"rules": map[string]any{"answer_slack_ms": 20.0, "ask_within_ms": 10000.0, "cold_from": 0.14, "fall_ms": 2000.0,
			"overload_factor": 2.5, "stop_sending_within_ms": 500.0, "warm_within_ms": 9700.0},
		"stats":  map[string]any{"fields": []string{"x0", "x1"}, "how": "answers"},
		"realms": []any{realm("prairie-grain-coop", 21, 0.54), realm("aspen-pulse", 11, 0.28), realm("wheatland-farms", 7, 0.18)},
		"services": []any{
			class("car-status", 1, 1500, 5000, 0.1, "read_like", "all", 5000),
			class("car-orders", 2, 2000, 28000, 0.5, "idempotency_key", "zone", 7500),
			class("freight-payments", 5, 3000, 20000, 0.3, "non_idempotent", "all", 5000),
		},
	}
}
