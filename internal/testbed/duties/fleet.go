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
	joinTimeout = 20 * time.Second // for all stewards to have joined
	stopTimeout   = 3 * time.Second
	// operatorDelay is how long a steward that may take no part is left alone before its folder is emptied, as an operator would.
	operatorDelay = 6 * time.Second
	backupInterval     = 5 * time.Second // that the folders are copied, as by a backup
)

// Places of a fleet's parties among its addresses: 127.F.P.x, x being 1 inside and 3 where the others find it.
const (
	octetSteward  = 1
	octetWorker   = 20
	octetReceiver = 40
	octetOperator = 50

	portRaft = iota + 5
	portAPI
	portEffects
)

// node is one party that runs as a process, or one that the testbed plays.
type node struct {
	name  string
	octet int
	dir  string

	mu    sync.Mutex // held over a whole restart
	cmd   *exec.Cmd
	exited chan struct{}
	starts int
}

// fleet is one fleet of stewards, workers and receivers, with the network between them.
type fleet struct {
	index     int
	dir       string
	basePort      int // port
	programs  Programs
	lease     time.Duration
	duties    int
	starter     *process.Starter
	ctx       context.Context
	cancel    context.CancelFunc
	work      sync.WaitGroup
	stewards  []*node
	workers   []*node
	receivers []*receiver
	client    *call.Client
	forwarders   []*network.Forwarder

	mu    sync.Mutex
	paths map[[2]int]*network.Path // by the places of both sides, the lower first
	replacing  sync.Mutex               // one steward at a time loses its folder
}

func (f *fleet) ip(place int, last byte) net.IP {
	return net.IPv4(127, byte(100+f.index), byte(place), last)
}

func (f *fleet) addr(place int, last byte, port int) string {
	return fmt.Sprintf("%v:%d", f.ip(place, last), f.basePort+port)
}

// path is the way between two parties, the same object either way: each direction has conditions of its own.
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

// openForwarder puts a forwarder before a party's port: others speak to it, and each has a path of its own.
func (f *fleet) openForwarder(place, port int) error {
	x := &network.Forwarder{Target: f.addr(place, 1, port), Choose: func(from netip.AddrPort) *network.Path {
		ip := from.Addr().Unmap().As4()
		return f.path(int(ip[2]), place)
	}}
	if err := x.ForwardTCP(f.addr(place, 3, port)); err != nil {
		return err
	}
	f.forwarders = append(f.forwarders, x)
	return nil
}

// stewardAddrs are the stewards' addresses as the others know them.
func (f *fleet) stewardAddrs() (all []string) {
	for _, s := range f.stewards {
		all = append(all, f.addr(s.octet, 3, portAPI))
	}
	return all
}

// startAll starts everything and waits until the stewards are one cluster.
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
		_, err := f.client.One(ctx, f.stewardAddrs()[0], call.PathBegin, call.Done{}, &call.JoinOut{}, 2*time.Second)
		var no *call.Refusal
		if errors.As(err, &no) {
			return nil // begun already
		}
		return err
	}); err != nil {
		return fmt.Errorf("duties: begin: %w", err)
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

// retry tries retry something works or ctx ends.
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

// checkAllJoined returns nil if every steward has its place.
func (f *fleet) checkAllJoined(ctx context.Context) error {
	var out call.StewardsOut
	var duties call.DutiesOut
	if err := f.client.Do(ctx, call.PathDuties, nil, &duties, time.Second); err != nil { // there is a leader
		return err
	}
	leader, err := f.leader(ctx)
	if err != nil {
		return err
	}
	if _, err := f.client.One(ctx, f.addr(leader.octet, 3, portAPI), call.PathStewards, nil, &out, time.Second); err != nil {
		return err
	}
	if len(out.Stewards) != len(f.stewards) {
		return fmt.Errorf("%d stewards of %d have joined", len(out.Stewards), len(f.stewards))
	}
	return nil
}

// leader is the steward that leads, by what they say.
func (f *fleet) leader(ctx context.Context) (*node, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	for _, s := range f.stewards {
		var out call.StewardsOut
		if _, err := f.client.One(ctx, f.addr(s.octet, 3, portAPI), call.PathStewards, nil, &out, 0); err != nil {
			continue
		}
		for _, x := range out.Stewards {
			if x.Leader && x.ID == out.Self {
				return s, nil
			}
		}
	}
	return nil, errors.New("no steward leads")
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

// stop ends a node's process and waits until it has.
func (f *fleet) stop(n *node, s syscall.Signal) {
	n.cmd.Process.Signal(s)
	select {
	case <-n.exited:
	case <-time.After(stopTimeout):
		n.cmd.Process.Kill()
		<-n.exited
	}
}

// restart ends a node's process and starts the next one after a while; change may change its folder in between.
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

// pause has a node's process stand still.
func (f *fleet) pause(n *node, d time.Duration) {
	n.mu.Lock()
	cmd := n.cmd
	n.mu.Unlock()
	cmd.Process.Signal(syscall.SIGSTOP)
	network.Sleep(f.ctx, d)
	cmd.Process.Signal(syscall.SIGCONT)
}

// partition has nothing pass between two sets of places.
func (f *fleet) partition(a, b []int, d time.Duration, oneWay bool) {
	set := func(cut bool) {
		for _, x := range a {
			for _, y := range b {
				f.path(x, y).Change(network.Out, func(c *network.Conditions) { c.Cut = cut })
				f.path(y, x).Change(network.Back, func(c *network.Conditions) { c.Cut = cut })
				if oneWay {
					continue
				}
				f.path(x, y).Change(network.Back, func(c *network.Conditions) { c.Cut = cut })
				f.path(y, x).Change(network.Out, func(c *network.Conditions) { c.Cut = cut })
			}
		}
	}
	set(true)
	network.Sleep(f.ctx, d)
	set(false)
}

// delayEffects has everything that a worker sends to receivers take so long: orders that are in flight while their duty moves on.
func (f *fleet) delayEffects(w *node, by, d time.Duration) {
	set := func(by time.Duration) {
		for i := range f.receivers {
			f.path(w.octet, octetReceiver+i).Change(network.Out, func(c *network.Conditions) { c.Delay, c.Jitter = by, 0.5 })
		}
	}
	set(by)
	network.Sleep(f.ctx, d)
	set(0)
}

// backupLoop backupLoop the stewards' folders now and then, as a backup would.
func (f *fleet) backupLoop() {
	for network.Sleep(f.ctx, backupInterval) == nil {
		for _, s := range f.stewards {
			if s.mu.TryLock() {
				os.RemoveAll(filepath.Join(s.dir, "copy"))
				err := os.CopyFS(filepath.Join(s.dir, "copy"), os.DirFS(filepath.Join(s.dir, "dir")))
				if err != nil { // changed meanwhile: no copy then
					os.RemoveAll(filepath.Join(s.dir, "copy"))
				}
				s.mu.Unlock()
			}
		}
	}
}

// replaceFolder has a steward replaceFolder its folder, or get an older one back. The others do without it until it has joined anew, which with an
// older folder takes an operator who empties it.
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
				return nil // no copy yet: it comes back as it was
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

// holderOf is the worker that holds a duty, by the stewards.
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
	return nil, call.Duty{}, fmt.Errorf("nobody holds %s", name)
}

// stopAll ends everything.
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

// history is what the fleet did. Its processes have ended.
func (f *fleet) history() (h History, err error) {
	for _, w := range f.workers {
		data, err := os.ReadFile(filepath.Join(w.dir, "record"))
		if err != nil && !errors.Is(err, os.ErrNotExist) {
			return h, fmt.Errorf("duties: %w", err)
		}
		for in := bufio.NewScanner(bytes.NewReader(data)); in.Scan(); {
			var r record
			if json.Unmarshal(in.Bytes(), &r) != nil {
				continue // cut off by SIGKILL
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

// sample draws a share of nodes, one at least.
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
