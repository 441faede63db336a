package fleetslope

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"onyxroad.dev/onyxroad/internal/testbed/build"
	"onyxroad.dev/onyxroad/internal/testbed/network"
	"onyxroad.dev/onyxroad/internal/testbed/process"
	"onyxroad.dev/onyxroad/internal/testbed/scale"
)

const (
	routesPerDest     = 2 // list entries per destination
	changeCount       = 61
	fullListCount     = 5
	changeInterval    = 20 * time.Millisecond // far longer than a change takes, so that changes don't overlap
	idleDuration      = 2 * time.Second
	applyTimeout      = 20 * time.Second
	keepAliveInterval = 2 * time.Second // between the empty lines that keep an idle watch open
)

// configListSlope measures how long a relay takes to apply a change that its agent sends, and what the change costs the relay.
func configListSlope() scale.Slope {
	return scale.Slope{
		Name: "config-list",
		About: "the relay's program and an agent that speaks the discovery protocol; no clients, no calls, one core; " +
			"heeded: seen in relay.cluster_size. A list of more than 1 MiB is none that a relay reads",
		Variable: "destinations listed, two routes each",
		Sizes:    []int{250, 500, 1000, 2000, 4000},
		Small:    []int{20, 40, 80, 160, 320},
		Seeds:    []uint64{1},
		Figures: []scale.Figure{
			{Name: "change_ms", Unit: "ms", About: "from one entry's change at the agent until the relay heeds it, median"},
			{Name: "change_cpu_ms", Unit: "ms", About: "the relay's processor time for one such change, beyond what it takes idle"},
			{Name: "whole_ms", Unit: "ms", About: "from a whole list at the agent until the relay heeds it, median"},
			{Name: "whole_cpu_ms", Unit: "ms", About: "the relay's processor time for a whole list, beyond what it takes idle"},
		},
		Cost: func(size int) scale.Cost {
			return scale.Cost{Memory: 64<<20 + int64(size)*routesPerDest*(8<<10), Processes: 1}
		},
		Measure: measureConfigList,
	}
}

// listEntry is an entry of discovery's list.
type listEntry struct {
	ID     string `json:"id"`
	Addr   string `json:"addr"`
	Zone   string `json:"zone"`
	Kind   string `json:"kind"`
	Cell   int    `json:"cell"`
	State  string `json:"state"`
	Weight int    `json:"weight"`
}

// list is discovery's full list or a change of it.
type list struct {
	Version int         `json:"version"`
	Full    bool        `json:"full"`
	Servers []listEntry `json:"servers"`
}

// newEntry returns the entry of a route to an address that is never called.
func newEntry(id string, cell int, state string) listEntry {
	return listEntry{ID: id, Addr: "127.0.0.1:9", Zone: "a", Kind: "platform", Cell: cell, State: state, Weight: 1}
}

// agent is a stub of discovery's agent. It sends the lines that the measurement gives it, at once.
type agent struct {
	server  *httptest.Server
	version int
	entries []listEntry
	lines   chan []byte
}

func newAgent(destinations int) *agent {
	a := &agent{version: 1, lines: make(chan []byte)}
	for i := range destinations * routesPerDest {
		a.entries = append(a.entries, newEntry(fmt.Sprintf("s-%08x", i), i/routesPerDest, "ready"))
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /catalog/members", a.handleWatch)
	mux.HandleFunc("POST /v2/finals", func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		w.WriteHeader(http.StatusNoContent)
	})
	a.server = httptest.NewServer(mux)
	return a
}

func (a *agent) close() {
	a.server.CloseClientConnections()
	a.server.Close()
}

// handleWatch serves the watch. A relay whose configuration has a list requests nothing else.
func (a *agent) handleWatch(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Get("stream") == "" {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	line := []byte("\n")
	for {
		if _, err := w.Write(line); err != nil || http.NewResponseController(w).Flush() != nil {
			return
		}
		select {
		case <-r.Context().Done():
			return
		case line = <-a.lines:
		case <-time.After(keepAliveInterval):
			line = []byte("\n")
		}
	}
}

// changeLine returns a line that adds an entry or removes it, by its state.
func (a *agent) changeLine(state string) []byte {
	a.version++
	return encodeLine(list{Version: a.version, Servers: []listEntry{newEntry("x-0", 0, state)}})
}

// fullListLine returns a line with the full list and a number of extra entries.
func (a *agent) fullListLine(extra int) []byte {
	a.version++
	all := slices.Clone(a.entries)
	for i := range extra {
		all = append(all, newEntry(fmt.Sprintf("x-%d", i), i, "ready"))
	}
	return encodeLine(list{Version: a.version, Full: true, Servers: all})
}

func encodeLine(l list) []byte {
	data, err := json.Marshal(l)
	if err != nil {
		panic(err) // can't fail: plain fields only
	}
	return append(data, '\n')
}

// send writes a line to the watch.
func (a *agent) send(ctx context.Context, line []byte) error {
	select {
	case a.lines <- line:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// testRelay is a relay process that watches an agent.
type testRelay struct {
	*child
	agent *agent
	admin string
	http  *http.Client
}

// startRelay starts a relay that knows the agent's list, and returns when it is serving.
func startRelay(ctx context.Context, start *process.Starter, a *agent, env scale.Env) (*testRelay, error) {
	addrs, err := freeAddrs(2)
	if err != nil {
		return nil, err
	}
	config, err := json.Marshal(map[string]any{
		"name": "n0", "seed": "1", "listen": addrs[0], "admin_addr": addrs[1], "discovery": a.server.Listener.Addr().String(),
		"limits": map[string]any{"cores": 1, "memory_mb": 1024, "sockets": 256, "disk_mb": 3},
		"known":  list{Version: a.version, Full: true, Servers: a.entries},
		"settings": map[string]any{
			"bounds": map[string]any{"cancel": true, "connect_timeout_ms": 1000, "keepalive_ms": 15000, "max_retry_after_ms": 3000,
				"may_duplicate": true, "open_cap": 1000, "retry_after": true, "send_cap": 8},
			"extra":      map[string]any{"call_slots": 8, "per_call": []int{1}, "separate_routes": []bool{false}},
			"fleet_size": 1, "kinds": []string{"platform"}, "tick_ms": 1, "zones": []string{"a"},
			"rules": map[string]any{"cold_from": 0.2, "fall_ms": 3000, "overload_factor": 2, "warm_within_ms": 14000},
			"services": []map[string]any{{"name": "status", "semantics": "read_like", "group": "all", "goal_time_ms": 3000,
				"give_up_ms": 60000, "repeat_window_ms": 10000, "value": 1}},
			"realms": []map[string]any{{"name": "all", "share": 1}}, "stats": map[string]any{"how": "none"},
		},
	})
	if err != nil {
		return nil, fmt.Errorf("fleetslope: %w", err)
	}
	path, state := filepath.Join(env.Dir, "config.json"), filepath.Join(env.Dir, "state")
	if err := errors.Join(os.MkdirAll(state, 0o700), os.WriteFile(path, config, 0o600)); err != nil {
		return nil, fmt.Errorf("fleetslope: %w", err)
	}
	program, err := filepath.Abs(filepath.Join(env.Build, build.Relay))
	if err != nil {
		return nil, fmt.Errorf("fleetslope: %w", err)
	}
	cmd := exec.Command(program)
	cmd.Env = []string{"ROUTER_CONFIG=" + path, "ROUTER_STATE=" + state}
	x := &testRelay{agent: a, admin: addrs[1], http: &http.Client{Timeout: 2 * time.Second}}
	x.http.Transport = &http.Transport{DisableKeepAlives: true}
	if x.child, err = launch(start, env.Dir, cmd); err != nil {
		return nil, err
	}
	err = poll(ctx, "the relay is serving", applyTimeout, time.Millisecond, func() error { _, err := x.get("/api/ready"); return err })
	if err != nil {
		x.kill()
		return nil, err
	}
	return x, nil
}

func (x *testRelay) get(path string) (string, error) {
	res, err := x.http.Get("http://" + x.admin + path)
	if err != nil {
		return "", err
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	if err == nil && res.StatusCode != http.StatusOK {
		err = errors.New(res.Status)
	}
	return string(body), err
}

// awaitEntries waits until the relay's list has the given number of entries.
func (x *testRelay) awaitEntries(ctx context.Context, entries int) error {
	want := fmt.Sprintf("relay.cluster_size:%d|g", entries)
	return poll(ctx, fmt.Sprintf("the relay has a list of %d entries", entries), applyTimeout, time.Millisecond, func() error {
		body, err := x.get("/api/telemetry")
		if err == nil && !strings.Contains(body, want) {
			err = errors.New("the relay's list has another size")
		}
		return err
	})
}

// medianTime sends changes one after another, each when the previous one is applied, and returns the median time of a change.
func (x *testRelay) medianTime(ctx context.Context, count int, change func(i int) (line []byte, entries int)) (time.Duration, error) {
	var all []time.Duration
	for i := range count {
		line, entries := change(i)
		began := time.Now()
		if err := errors.Join(x.agent.send(ctx, line), x.awaitEntries(ctx, entries)); err != nil {
			return 0, err
		}
		all = append(all, time.Since(began))
	}
	slices.Sort(all)
	return all[count/2], nil
}

// cpuCost sends changes at an interval that is long enough for the relay to finish each, without polling it meanwhile. It returns
// the processor time per change beyond that of an idle relay.
func (x *testRelay) cpuCost(ctx context.Context, count int, apart time.Duration,
	change func(i int) (line []byte, entries int)) (time.Duration, error) {
	var lines [][]byte
	last := 0
	for i := range count {
		line, entries := change(i)
		lines, last = append(lines, line), entries
	}
	idle, idleTime, err := x.measureCPU(func() error { return network.Sleep(ctx, idleDuration) })
	if err != nil {
		return 0, err
	}
	used, took, err := x.measureCPU(func() error {
		for _, line := range lines {
			if err := errors.Join(x.agent.send(ctx, line), network.Sleep(ctx, apart)); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return 0, err
	}
	rest := time.Duration(float64(idle) * took.Seconds() / idleTime.Seconds())
	return (used - rest) / time.Duration(count), x.awaitEntries(ctx, last)
}

// measureCPU returns the relay's processor time while do runs, and how long do took.
func (x *testRelay) measureCPU(do func() error) (used, took time.Duration, err error) {
	before, err := processCPUTime(x.pid())
	if err != nil {
		return 0, 0, err
	}
	began := time.Now()
	if err := do(); err != nil {
		return 0, 0, err
	}
	took = time.Since(began)
	after, err := processCPUTime(x.pid())
	return after - before, took, err
}

func measureConfigList(ctx context.Context, size int, _ uint64, env scale.Env) (map[string]float64, error) {
	a := newAgent(size)
	defer a.close()
	start := process.NewStarter()
	defer start.Stop()
	x, err := startRelay(ctx, start, a, env)
	if err != nil {
		return nil, err
	}
	defer x.kill()
	base := len(a.entries)
	one := func(i int) ([]byte, int) {
		if i%2 == 0 {
			return a.changeLine("ready"), base + 1
		}
		return a.changeLine("gone"), base
	}
	whole := func(i int) ([]byte, int) { return a.fullListLine(2 + i%2), base + 2 + i%2 }
	if err := x.awaitEntries(ctx, base); err != nil {
		return nil, err
	}
	changeTime, err := x.medianTime(ctx, changeCount, one)
	if err != nil {
		return nil, err
	}
	changeCost, err := x.cpuCost(ctx, changeCount, changeInterval+2*changeTime, func(i int) ([]byte, int) { return one(i + 1) })
	if err != nil {
		return nil, err
	}
	wholeTime, err := x.medianTime(ctx, fullListCount, whole)
	if err != nil {
		return nil, err
	}
	wholeCost, err := x.cpuCost(ctx, fullListCount, changeInterval+2*wholeTime, func(i int) ([]byte, int) { return whole(i + 1) })
	return map[string]float64{"change_ms": millis(changeTime), "change_cpu_ms": millis(changeCost), "whole_ms": millis(wholeTime),
		"whole_cpu_ms": millis(wholeCost)}, err
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
