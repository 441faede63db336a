package duties

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"onyxroad.dev/onyxroad/internal/duty/call"
	"onyxroad.dev/onyxroad/internal/testbed/network"
	"onyxroad.dev/onyxroad/internal/testbed/process"
)

const (
	joinTimeout = 20 * time.Second // for all stewards to join the cluster
	stopTimeout = 3 * time.Second
	// operatorDelay is how long a steward that was refused by the cluster keeps running before its folder is emptied, which
	// stands for an operator's reaction.
	operatorDelay  = 6 * time.Second
	backupInterval = 5 * time.Second // between copies of the stewards' folders
)

// Third octets of the addresses in a fleet. A node has the addresses 127.F.P.x, where F is 100 plus the fleet's index, P is the
// node's octet, and x is 1 for the address it listens on and 3 for the forwarder that others connect to.
const (
	octetSteward  = 1
	octetWorker   = 20
	octetReceiver = 40
	octetOperator = 50

	portRaft = iota + 5
	portAPI
	portEffects
)

// node is a steward or a worker that runs as a process.
type node struct {
	name  string
	octet int
	dir   string

	mu     sync.Mutex // held during a whole restart
	cmd    *exec.Cmd
	exited chan struct{}
	starts int
}

// fleet is a set of stewards, workers and receivers with a simulated network between them.
type fleet struct {
	index      int
	dir        string
	basePort   int
	programs   Programs
	lease      time.Duration
	duties     int
	starter    *process.Starter
	ctx        context.Context
	cancel     context.CancelFunc
	work       sync.WaitGroup
	stewards   []*node
	workers    []*node
	receivers  []*receiver
	client     *call.Client
	forwarders []*network.Forwarder

	mu        sync.Mutex
	paths     map[[2]int]*network.Path // by the octets of client and server
	replacing sync.Mutex               // held while a steward's folder is replaced: one at a time
}

func (f *fleet) ip(octet int, last byte) net.IP {
	return net.IPv4(127, byte(100+f.index), byte(octet), last)
}

func (f *fleet) addr(octet int, last byte, port int) string {
	return fmt.Sprintf("%v:%d", f.ip(octet, last), f.basePort+port)
}

// path returns the network path for connections from one node to another. Its two directions have separate conditions.
func (f *fleet) path(from, to int) *network.Path {
	f.mu.Lock()
	defer f.mu.Unlock()
	k := [2]int{from, to}
	p := f.paths[k]
	if p == nil {
		p = network.NewPath(network.Conditions{}, uint64(f.index)<<32+uint64(from)<<8+uint64(to))
		f.paths[k] = p
	}
	return p
}

// openForwarder starts a forwarder in front of a node's port. Others connect through it, each over its own path.
func (f *fleet) openForwarder(octet, port int) error {
	x := &network.Forwarder{Target: f.addr(octet, 1, port), PathFor: func(from netip.AddrPort) *network.Path {
		ip := from.Addr().Unmap().As4()
		return f.path(int(ip[2]), octet)
	}}
	if err := x.ForwardTCP(f.addr(octet, 3, port)); err != nil {
		return err
	}
	f.forwarders = append(f.forwarders, x)
	return nil
}

// stewardAddrs returns the stewards' API addresses, as others see them.
func (f *fleet) stewardAddrs() (all []string) {
	for _, s := range f.stewards {
		all = append(all, f.addr(s.octet, 3, portAPI))
	}
	return all
}

// startAll starts all nodes and waits until the stewards have formed one cluster.
func (f *fleet) startAll(ctx context.Context, stewards, workers, perWorker int, noFence bool) error {
	f.ctx, f.cancel = context.WithCancel(context.Background())
	f.paths = map[[2]int]*network.Path{}
	for i := range stewards {
		f.stewards = append(f.stewards, &node{name: fmt.Sprintf("steward-%d", i), octet: octetSteward + i})
	}
	for i := range workers {
		f.workers = append(f.workers, &node{name: fmt.Sprintf("worker-%d", i), octet: octetWorker + i})
	}
	for _, s := range f.stewards {
		if err := errors.Join(f.openForwarder(s.octet, portRaft), f.openForwarder(s.octet, portAPI)); err != nil {
			return err
		}
	}
	for i := range receiversPerFleet {
		r, err := newReceiver(i, f.addr(octetReceiver+i, 1, portEffects), filepath.Join(f.dir, fmt.Sprintf("receiver-%d", i)), noFence)
		if err != nil {
			return err
		}
		f.receivers = append(f.receivers, r)
		if err := f.openForwarder(octetReceiver+i, portEffects); err != nil {
			return err
		}
	}
	f.client = call.NewClient(f.stewardAddrs(), f.ip(octetOperator, 1))
	for _, s := range f.stewards {
		s.dir = filepath.Join(f.dir, s.name)
		if err := f.startSteward(s); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	if err := f.retry(ctx, func() error {
		_, err := f.client.DoAt(ctx, f.stewardAddrs()[0], call.PathBegin, call.Empty{}, &call.JoinOut{}, 2*time.Second)
		var no *call.Refusal
		if errors.As(err, &no) {
			return nil // the cluster exists already
		}
		return err
	}); err != nil {
		return fmt.Errorf("duties: create the cluster: %w", err)
	}
	if err := f.retry(ctx, func() error { return f.checkAllJoined(ctx) }); err != nil {
		return fmt.Errorf("duties: fleet %d: %w", f.index, err)
	}
	for _, w := range f.workers {
		w.dir = filepath.Join(f.dir, w.name)
		if err := f.startWorker(w, perWorker); err != nil {
			return err
		}
	}
	f.work.Go(f.backupLoop)
	return nil
}

// retry calls try until it succeeds or ctx ends.
func (f *fleet) retry(ctx context.Context, try func() error) error {
	for {
		err := try()
		if err == nil {
			return nil
		}
		if network.Sleep(ctx, 50*time.Millisecond) != nil {
			return err
		}
	}
}

// checkAllJoined returns nil if there is a leader and every steward has joined the cluster.
func (f *fleet) checkAllJoined(ctx context.Context) error {
	var out call.StewardsOut
	var duties call.DutiesOut
	if err := f.client.Do(ctx, call.PathDuties, nil, &duties, time.Second); err != nil { // fails without a leader
		return err
	}
	leader, err := f.leader(ctx)
	if err != nil {
		return err
	}
	if _, err := f.client.DoAt(ctx, f.addr(leader.octet, 3, portAPI), call.PathStewards, nil, &out, time.Second); err != nil {
		return err
	}
	if len(out.Stewards) != len(f.stewards) {
		return fmt.Errorf("%d of %d stewards have joined", len(out.Stewards), len(f.stewards))
	}
	return nil
}

// leader returns the steward that reports itself as the leader.
func (f *fleet) leader(ctx context.Context) (*node, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	for _, s := range f.stewards {
		var out call.StewardsOut
		if _, err := f.client.DoAt(ctx, f.addr(s.octet, 3, portAPI), call.PathStewards, nil, &out, 0); err != nil {
			continue
		}
		for _, x := range out.Stewards {
			if x.Leader && x.ID == out.Self {
				return s, nil
			}
		}
	}
	return nil, errors.New("no steward reports itself as the leader")
}

func (f *fleet) startSteward(s *node) error {
	dir := filepath.Join(s.dir, "dir")
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return fmt.Errorf("duties: %w", err)
	}
	seeds, err := json.Marshal(f.stewardAddrs())
	if err != nil {
		return fmt.Errorf("duties: %w", err)
	}
	text := fmt.Sprintf("log_format = \"json\"\n[steward]\nname = %q\nfleet = \"testbed\"\nlisten = %q\nadvertise = %q\napi = %q\nadvertise_api = %q\ndir = %q\nseeds = %s\n",
		s.name, f.addr(s.octet, 1, portRaft), f.addr(s.octet, 3, portRaft), f.addr(s.octet, 1, portAPI), f.addr(s.octet, 3, portAPI), dir, seeds)
	path := filepath.Join(s.dir, "settings.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return fmt.Errorf("duties: %w", err)
	}
	return f.launch(s, exec.Command(f.programs.Steward, "run", "--config", path))
}

func (f *fleet) startWorker(w *node, count int) error {
	if err := os.MkdirAll(w.dir, 0o700); err != nil {
		return fmt.Errorf("duties: %w", err)
	}
	args := []string{"work", "--name", w.name, "--count", fmt.Sprint(count), "--duties", fmt.Sprint(f.duties), "--lease", f.lease.String(),
		"--local", f.ip(w.octet, 1).String(), "--record", filepath.Join(w.dir, "record")}
	for _, a := range f.stewardAddrs() {
		args = append(args, "--stewards", a)
	}
	for i := range f.receivers {
		args = append(args, "--receivers", f.addr(octetReceiver+i, 3, portEffects))
	}
	return f.launch(w, exec.Command(f.programs.Testbed, args...))
}

// launch starts a node's process.
func (f *fleet) launch(n *node, cmd *exec.Cmd) error {
	log, err := os.OpenFile(filepath.Join(n.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("duties: %w", err)
	}
	defer log.Close()
	cmd.Stdout, cmd.Stderr, cmd.Dir = log, log, n.dir
	if err := f.starter.Start(cmd); err != nil {
		return fmt.Errorf("duties: start %s: %w", n.name, err)
	}
	n.cmd, n.exited = cmd, make(chan struct{})
	n.starts++
	ended := n.exited
	f.work.Go(func() { cmd.Wait(); close(ended) })
	return nil
}

// stop signals a node's process and waits until it has exited, with SIGKILL after stopTimeout.
func (f *fleet) stop(n *node, s syscall.Signal) {
	n.cmd.Process.Signal(s)
	select {
	case <-n.exited:
	case <-time.After(stopTimeout):
		n.cmd.Process.Kill()
		<-n.exited
	}
}

// restart stops a node's process and starts a new one after a pause. change, unless nil, modifies the node's folder in between.
func (f *fleet) restart(n *node, s syscall.Signal, pause time.Duration, change func() error) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	f.stop(n, s)
	if change != nil {
		if err := change(); err != nil {
			return err
		}
	}
	if network.Sleep(f.ctx, pause) != nil {
		return nil
	}
	if n.octet >= octetWorker {
		return f.startWorker(n, 1)
	}
	return f.startSteward(n)
}

// pause suspends a node's process for d.
func (f *fleet) pause(n *node, d time.Duration) {
	n.mu.Lock()
	cmd := n.cmd
	n.mu.Unlock()
	cmd.Process.Signal(syscall.SIGSTOP)
	network.Sleep(f.ctx, d)
	cmd.Process.Signal(syscall.SIGCONT)
}

// partition drops all traffic between two sets of octets for d; with oneWay only that from a to b.
func (f *fleet) partition(a, b []int, d time.Duration, oneWay bool) {
	set := func(cut bool) {
		for _, x := range a {
			for _, y := range b {
				f.path(x, y).Update(network.Outbound, func(c *network.Conditions) { c.Cut = cut })
				f.path(y, x).Update(network.Inbound, func(c *network.Conditions) { c.Cut = cut })
				if oneWay {
					continue
				}
				f.path(x, y).Update(network.Inbound, func(c *network.Conditions) { c.Cut = cut })
				f.path(y, x).Update(network.Outbound, func(c *network.Conditions) { c.Cut = cut })
			}
		}
	}
	set(true)
	network.Sleep(f.ctx, d)
	set(false)
}

// delayEffects delays everything that a worker sends to receivers, so that effects are in flight while their duty changes hands.
func (f *fleet) delayEffects(w *node, by, d time.Duration) {
	set := func(by time.Duration) {
		for i := range f.receivers {
			f.path(w.octet, octetReceiver+i).Update(network.Outbound, func(c *network.Conditions) { c.Delay, c.Jitter = by, 0.5 })
		}
	}
	set(by)
	network.Sleep(f.ctx, d)
	set(0)
}

// backupLoop copies the stewards' folders periodically, as a backup would.
func (f *fleet) backupLoop() {
	for network.Sleep(f.ctx, backupInterval) == nil {
		for _, s := range f.stewards {
			if s.mu.TryLock() {
				os.RemoveAll(filepath.Join(s.dir, "copy"))
				err := os.CopyFS(filepath.Join(s.dir, "copy"), os.DirFS(filepath.Join(s.dir, "dir")))
				if err != nil { // the folder changed during the copy
					os.RemoveAll(filepath.Join(s.dir, "copy"))
				}
				s.mu.Unlock()
			}
		}
	}
}

// replaceFolder restarts a steward with an empty folder, or with an older copy of it, and waits until it has joined the cluster
// again. With an older copy the cluster refuses it until the folder is emptied, which is done after operatorDelay.
func (f *fleet) replaceFolder(s *node, pause time.Duration, older bool) error {
	f.replacing.Lock()
	defer f.replacing.Unlock()
	dir := filepath.Join(s.dir, "dir")
	empty := func() error { return os.RemoveAll(dir) }
	change := empty
	if older {
		change = func() error {
			saved := filepath.Join(s.dir, "copy")
			if _, err := os.Stat(filepath.Join(saved, "steward.json")); err != nil {
				return nil // there is no copy yet: the folder is kept
			}
			return errors.Join(os.RemoveAll(dir), os.Rename(saved, dir))
		}
	}
	if err := f.restart(s, syscall.SIGKILL, pause, change); err != nil {
		return err
	}
	if older {
		if network.Sleep(f.ctx, operatorDelay) != nil {
			return nil
		}
		if err := f.restart(s, syscall.SIGKILL, 0, empty); err != nil {
			return err
		}
	}
	return f.retry(f.ctx, func() error { return f.checkAllJoined(f.ctx) })
}

// holderOf returns the worker that holds a duty, as the stewards report it.
func (f *fleet) holderOf(ctx context.Context, name string) (*node, call.Duty, error) {
	var out call.DutiesOut
	if err := f.client.Do(ctx, call.PathDuties, nil, &out, time.Second); err != nil {
		return nil, call.Duty{}, err
	}
	for _, d := range out.Duties {
		if d.Duty != name || d.Holder == "" {
			continue
		}
		for _, w := range f.workers {
			if len(d.Holder) > len(w.name) && d.Holder[:len(w.name)+1] == w.name+"." {
				return w, d, nil
			}
		}
	}
	return nil, call.Duty{}, fmt.Errorf("duty %s has no holder", name)
}

// stopAll kills all processes and closes forwarders and receivers.
func (f *fleet) stopAll() {
	if f.cancel == nil {
		return
	}
	f.cancel()
	for _, n := range append(append([]*node(nil), f.workers...), f.stewards...) {
		n.mu.Lock()
		if n.cmd != nil {
			n.cmd.Process.Kill()
			<-n.exited
		}
		n.mu.Unlock()
	}
	f.work.Wait()
	for _, x := range f.forwarders {
		x.Close()
	}
	for _, r := range f.receivers {
		r.server.Close()
	}
	if f.client != nil {
		f.client.Close()
	}
}

// history collects what workers and receivers recorded. The workers must have exited.
func (f *fleet) history() (h History, err error) {
	for _, w := range f.workers {
		data, err := os.ReadFile(filepath.Join(w.dir, "record"))
		if err != nil && !errors.Is(err, os.ErrNotExist) {
			return h, fmt.Errorf("duties: %w", err)
		}
		for in := bufio.NewScanner(bytes.NewReader(data)); in.Scan(); {
			var r record
			if json.Unmarshal(in.Bytes(), &r) != nil {
				continue // a line cut short by SIGKILL
			}
			if r.Claim != nil {
				h.Claims = append(h.Claims, *r.Claim)
			}
			if r.End != nil {
				h.Ends = append(h.Ends, *r.End)
			}
		}
	}
	for _, r := range f.receivers {
		r.mu.Lock()
		h.Effects = append(h.Effects, r.effects...)
		r.mu.Unlock()
	}
	return h, nil
}

// sample draws a share of the nodes at random, at least one.
func sample(rng *rand.Rand, of []*node, share float64) []*node {
	order := rng.Perm(len(of))
	n := min(len(of), max(1, int(share*float64(len(of))+0.5)))
	var all []*node
	for _, i := range order[:n] {
		all = append(all, of[i])
	}
	return all
}

func octets(of []*node) (all []int) {
	for _, n := range of {
		all = append(all, n.octet)
	}
	return all
}
