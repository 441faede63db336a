package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// rig is one play: the platform and its record. All addresses are loopback addresses.
type rig struct {
	root    string // of the repository
	temp    string
	began   time.Time
	trouble bool

	mu     sync.Mutex
	record *os.File
	broken []string
	procs  []*relay
}

func (r *rig) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f  ", time.Since(r.began).Seconds()) + fmt.Sprintf(format, args...)
	fmt.Fprintln(r.record, line)
}

// breaks records that the rule was broken.
func (r *rig) breaks(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.logf("BROKEN %s", text)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = append(r.broken, text)
}

// cannotRun ends the play with 2.
func (r *rig) cannotRun(err error) {
	r.logf("could not run: %v", err)
	r.stop()
	fmt.Println("could not run:", err)
	os.Exit(2)
}

func (r *rig) check(err error) {
	if err != nil {
		r.cannotRun(err)
	}
}

// stop ends every process that the play has started, and removes its folder.
func (r *rig) stop() {
	r.mu.Lock()
	procs := slices.Clone(r.procs)
	r.mu.Unlock()
	for _, p := range procs {
		p.kill()
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(r.temp)
	}
}

// freeAddr returns a loopback address whose port is free.
func (r *rig) freeAddr() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	r.check(err)
	defer l.Close()
	return l.Addr().String()
}

// agent is discovery's agent on a relay's machine.
type agent struct {
	rig  *rig
	addr string

	mu      sync.Mutex
	version int
	servers []object // the whole list
	lines   [][]byte // a line of each change, in order
	changed chan struct{}
	notices []noticeSeen
}

type noticeSeen struct {
	ID     string `json:"id"`
	Status string `json:"status"`
	At     time.Time
}

func (r *rig) startAgent(servers []object) *agent {
	a := &agent{rig: r, version: 41, servers: servers, changed: make(chan struct{})}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	r.check(err)
	a.addr = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /catalog/members", a.list)
	mux.HandleFunc("POST /v2/finals", a.finals)
	go http.Serve(l, mux)
	return a
}

// text is a list in discovery's form. Called with mu held.
func (a *agent) text(full bool, servers []object) []byte {
	text, _ := json.Marshal(object{"version": a.version, "full": full, "servers": servers})
	return append(text, '\n')
}

func (a *agent) list(w http.ResponseWriter, req *http.Request) {
	a.mu.Lock()
	text, seen := a.text(true, a.servers), len(a.lines)
	a.mu.Unlock()
	w.Write(text)
	if req.URL.Query().Get("stream") == "" {
		return
	}
	flush := w.(http.Flusher)
	for {
		flush.Flush()
		a.mu.Lock()
		lines, changed := a.lines[seen:], a.changed
		a.mu.Unlock()
		if len(lines) > 0 {
			w.Write(lines[0])
			seen++
			continue
		}
		select {
		case <-req.Context().Done():
			return
		case <-changed:
		case <-time.After(2 * time.Second):
			fmt.Fprint(w, "\n")
		}
	}
}

// change tells of entries that have changed; state "gone" takes one out of the list.
func (a *agent) change(entries ...object) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.version++
	for _, e := range entries {
		a.servers = slices.DeleteFunc(slices.Clone(a.servers), func(x object) bool { return x["id"] == e["id"] })
		if e["state"] != "gone" {
			a.servers = append(a.servers, e)
		}
		a.rig.logf("the list: %v of kind %v, cell %v, is %v", e["id"], e["kind"], e["cell"], e["state"])
	}
	a.lines = append(a.lines, a.text(false, entries))
	close(a.changed)
	a.changed = make(chan struct{})
}

func (a *agent) finals(w http.ResponseWriter, req *http.Request) {
	lines := bufio.NewScanner(req.Body)
	var all []noticeSeen
	for lines.Scan() {
		if strings.TrimSpace(lines.Text()) == "" {
			continue
		}
		var n noticeSeen
		if err := json.Unmarshal(lines.Bytes(), &n); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		n.At = time.Now()
		all = append(all, n)
	}
	a.mu.Lock()
	a.notices = append(a.notices, all...)
	a.mu.Unlock()
	for _, n := range all {
		a.rig.logf("notice %q %s", n.ID, n.Status)
	}
	w.WriteHeader(http.StatusNoContent)
}

// ended returns the notices for a message.
func (a *agent) ended(id string) (all []noticeSeen) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, n := range a.notices {
		if n.ID == id {
			all = append(all, n)
		}
	}
	return all
}

// call is one call that reached an endpoint whole.
type call struct {
	endpoint string
	at       time.Time
	bundle   bool
	items    []item
	conn     net.Conn // of a call that is being answered
}

type item struct {
	ID   string `json:"id"`
	Key  string `json:"key"`
	Body []byte `json:"body"`
}

// endpoint is a partner's endpoint. answer decides what becomes of a call: it returns the text of the answer, or "" where it has
// dealt with the connection itself.
type endpoint struct {
	rig    *rig
	id     string
	addr   string
	cell   int
	zone   string
	kind   string
	l      net.Listener
	answer func(c *call) string

	mu    sync.Mutex
	calls []*call
	conns map[net.Conn]struct{}
}

func (r *rig) startEndpoint(id string, cell int, kind, zone string, answer func(c *call) string) *endpoint {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	r.check(err)
	e := &endpoint{rig: r, id: id, addr: l.Addr().String(), cell: cell, zone: zone, kind: kind, l: l, answer: answer, conns: map[net.Conn]struct{}{}}
	go e.serve()
	return e
}

// listing is the endpoint's entry in the list.
func (e *endpoint) listing() object { return e.listed("ready") }

func (e *endpoint) listed(state string) object {
	return object{"id": e.id, "addr": e.addr, "zone": e.zone, "kind": e.kind, "cell": e.cell, "state": state, "weight": 1.0, "started_ms": 0}
}

func (e *endpoint) serve() {
	for {
		c, err := e.l.Accept()
		if err != nil {
			return
		}
		go e.serveConn(c)
	}
}

func (e *endpoint) serveConn(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		x := &call{endpoint: e.id, at: time.Now(), conn: c}
		if req.URL.Path == "/events/bundle" {
			x.bundle = true
			if json.Unmarshal(body, &x.items) != nil {
				fmt.Fprint(c, "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n")
				continue
			}
		} else {
			x.items = []item{{req.Header.Get("X-Trace-Id"), req.Header.Get("Idempotency-Key"), body}}
		}
		e.mu.Lock()
		e.calls = append(e.calls, x)
		e.mu.Unlock()
		for _, it := range x.items {
			e.rig.logf("%s gets %q key %q body %.40q bundle %v", e.id, it.ID, it.Key, it.Body, x.bundle)
		}
		text := e.answer(x)
		if text == "" {
			return
		}
		if _, err := io.WriteString(c, text); err != nil {
			return
		}
	}
}

const answerOK = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"

// delivered is the answer that takes everything in a call.
func delivered(c *call) string {
	if !c.bundle {
		return answerOK
	}
	var states []object
	for _, it := range c.items {
		states = append(states, object{"id": it.ID, "state": "ok"})
	}
	text, _ := json.Marshal(states)
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
}

// refusal is an answer that turns a call away.
func refusal(status int, extra string) string {
	return fmt.Sprintf("HTTP/1.1 %d Refused\r\n%sContent-Length: 0\r\n\r\n", status, extra)
}

// got returns the calls with a message, by its id.
func (e *endpoint) got(id string) (all []*call) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, c := range e.calls {
		for _, it := range c.items {
			if it.ID == id {
				all = append(all, c)
			}
		}
	}
	return all
}

// relay is one relay's machine: its folder, addresses and configuration. A process of it is started by start.
type relay struct {
	rig       *rig
	name      string
	listen    string
	admin     string
	dir       string // state folder
	config    string
	extra     string // the project's own settings file; empty: none
	env       []string
	cmd       *exec.Cmd
	exited    chan struct{}
	exitState string
}

// newRelay prepares a relay. settingsFile is the text of the project's own settings file, with DIR for a folder of the relay; empty:
// none.
func (r *rig) newRelay(name string, d deployment, a *agent, servers []object, settingsFile string) *relay {
	p := &relay{rig: r, name: name, listen: r.freeAddr(), admin: r.freeAddr(), dir: filepath.Join(r.temp, name, "state")}
	r.check(os.MkdirAll(p.dir, 0o755))
	p.config = filepath.Join(r.temp, name, "config.json")
	text, err := json.Marshal(object{"name": name, "listen": p.listen, "discovery": a.addr, "seed": "8c1f30d27a5be964",
		"limits": object{"cores": 1.0, "memory_mb": d.memoryMB, "sockets": d.sockets, "disk_mb": d.diskMB},
		"known":  object{"version": 41, "full": true, "servers": servers}, "settings": d.settings()})
	r.check(err)
	r.check(os.WriteFile(p.config, text, 0o644))
	if settingsFile != "" {
		p.extra = filepath.Join(r.temp, name, "ivygauge.toml")
		own := filepath.Join(r.temp, name, "own")
		r.check(os.MkdirAll(own, 0o755))
		r.check(os.WriteFile(p.extra, []byte(strings.ReplaceAll(settingsFile, "DIR", own)), 0o644))
	}
	return p
}

// start starts a process of the relay with the command of the deploy file, and waits until it is ready.
func (p *relay) start(admin string) *relay {
	q := *p
	q.admin = admin
	run, err := runCommand(p.rig.root)
	p.rig.check(err)
	if p.extra != "" {
		run += " --config " + p.extra
	}
	q.cmd = exec.Command("/bin/sh", "-c", run)
	q.cmd.Dir = p.rig.root
	q.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	temp := filepath.Join(p.rig.temp, p.name, "tmp")
	p.rig.check(os.MkdirAll(temp, 0o755))
	q.cmd.Env = append(os.Environ(), "TMPDIR="+temp, "ROUTER_NAME="+p.name, "ROUTER_LISTEN="+p.listen, "ROUTER_STATE="+p.dir,
		"ROUTER_CONFIG="+p.config, "ROUTER_ADMIN_ADDR="+admin)
	q.cmd.Env = append(q.cmd.Env, p.env...)
	out, err := os.OpenFile(filepath.Join(p.rig.temp, p.name, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	p.rig.check(err)
	q.cmd.Stdout, q.cmd.Stderr = out, out
	p.rig.check(q.cmd.Start())
	q.exited = make(chan struct{})
	p.rig.mu.Lock()
	p.rig.procs = append(p.rig.procs, &q)
	p.rig.mu.Unlock()
	go func() {
		q.cmd.Wait()
		q.exitState = q.cmd.ProcessState.String()
		out.Close()
		close(q.exited)
	}()
	p.rig.logf("%s started, pid %d", p.name, q.cmd.Process.Pid)
	return &q
}

// awaitReady waits for a 200 at the second address.
func (p *relay) awaitReady(limit time.Duration) bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(limit); time.Now().Before(end) && p.running(); time.Sleep(5 * time.Millisecond) {
		res, err := client.Get("http://" + p.admin + "/api/ready")
		if err != nil {
			continue
		}
		res.Body.Close()
		if res.StatusCode == http.StatusOK {
			p.rig.logf("%s ready, pid %d", p.name, p.cmd.Process.Pid)
			return true
		}
	}
	return false
}

// launch starts a process and waits until it is ready.
func (p *relay) launch() *relay {
	q := p.start(p.admin)
	if !q.awaitReady(10 * time.Second) {
		p.rig.cannotRun(fmt.Errorf("%s is not ready:\n%s", p.name, p.rig.tail(p.name)))
	}
	return q
}

func (p *relay) signal(s syscall.Signal) {
	p.rig.logf("%s gets %v, pid %d", p.name, s, p.cmd.Process.Pid)
	p.cmd.Process.Signal(s)
}

func (p *relay) running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

func (p *relay) kill() {
	if p.running() {
		p.cmd.Process.Kill()
		<-p.exited
	}
}

// tail is the end of a relay's log, without the lines that name source files, and without paths of this machine.
func (r *rig) tail(name string) string {
	data, _ := os.ReadFile(filepath.Join(r.temp, name, "log"))
	var kept strings.Builder
	for line := range strings.Lines(string(data[max(0, len(data)-3000):])) {
		if !strings.HasPrefix(line, "\t") {
			kept.WriteString(line)
		}
	}
	return strings.NewReplacer(r.temp, "FOLDER", r.root, "ROOT").Replace(kept.String())
}

// runCommand returns the command `run` of the deploy file.
func runCommand(root string) (string, error) {
	data, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		return "", err
	}
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(strings.TrimSpace(line), "run = "); ok {
			return strings.Trim(rest, `"`), nil
		}
	}
	return "", fmt.Errorf("no run command in the deploy file")
}

// message is what a client hands in.
type message struct {
	id, class, customer, key, order string
	dest, expiresMS                 int
	body                            []byte
}

func (m message) request() []byte {
	target := "/" + m.class
	if m.order != "" {
		target += "?key=" + m.order
	}
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: origin.svc\r\nX-Trace-Id: %s\r\nX-Qos: %s\r\nX-Customer: %s\r\nX-Expires-In-Ms: %d\r\n",
		target, m.id, m.class, m.customer, m.expiresMS)
	if m.key != "" {
		head += "Idempotency-Key: " + m.key + "\r\n"
	}
	head += fmt.Sprintf("Content-Length: %d\r\nEnvelope: dest=%d\r\n\r\n", len(m.body), m.dest)
	return append([]byte(head), m.body...)
}

// clientConn is a client's connection.
type clientConn struct {
	net.Conn
	in *bufio.Reader
}

func dial(addr string) (*clientConn, error) {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	return &clientConn{c, bufio.NewReader(c)}, nil
}

// handIn hands a message in on the connection and returns the status; 0 if there was no answer in 400 ms.
func (c *clientConn) handIn(m message) (status int, closes bool, err error) {
	if _, err := c.Write(m.request()); err != nil {
		return 0, true, err
	}
	c.SetReadDeadline(time.Now().Add(400 * time.Millisecond))
	res, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return 0, true, err
	}
	io.Copy(io.Discard, res.Body)
	return res.StatusCode, res.Close, nil
}

// submit hands a message in on a new connection.
func (r *rig) submit(addr string, m message) int {
	c, err := dial(addr)
	if err != nil {
		r.logf("client: %s %q: no connection: %v", m.class, m.id, err)
		return -1
	}
	defer c.Close()
	status, _, err := c.handIn(m)
	r.logf("client: %s %q dest %d for %d ms: %d %v", m.class, m.id, m.dest, m.expiresMS, status, errText(err))
	return status
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
