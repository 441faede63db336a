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
	beginFor = 20 * time.Second // for all stewards to have joined
	endFor   = 3 * time.Second
	// operatorAfter is how long a steward that may take no part is left alone before its folder is emptied, as an operator would.
	operatorAfter = 6 * time.Second
	copyEvery     = 5 * time.Second // that the folders are copied, as by a backup
)

// Places of a fleet's parties among its addresses: 127.F.P.x, x being 1 inside and 3 where the others find it.
const (
	placeSteward  = 1
	placeWorker   = 20
	placeReceiver = 40
	placeOperator = 50

	portRaft = iota + 5
	portAPI
	portEffects
)

// node is one party that runs as a process, or one that the testbed plays.
type node struct {
	name  string
	place int
	home  string

	mu    sync.Mutex // held over a whole restart
	cmd   *exec.Cmd
	ended chan struct{}
	count int
}

// fleet is one fleet of stewards, workers and receivers, with the network between them.
type fleet struct {
	index     int
	dir       string
	base      int // port
	programs  Programs
	lease     time.Duration
	duties    int
	start     *process.Starter
	ctx       context.Context
	cancel    context.CancelFunc
	work      sync.WaitGroup
	stewards  []*node
	workers   []*node
	receivers []*receiver
	client    *call.Client
	forward   []*network.Forwarder

	mu    sync.Mutex
	links map[[2]int]*network.Path // by the places of both sides, the lower first
	away  sync.Mutex               // one steward at a time loses its folder
}

func (f *fleet) ip(place int, last byte) net.IP {
	return net.IPv4(127, byte(100+f.index), byte(place), last)
}

func (f *fleet) at(place int, last byte, port int) string {
	return fmt.Sprintf("%v:%d", f.ip(place, last), f.base+port)
}

// path is the way between two parties, the same object either way: each direction has conditions of its own.
func (f *fleet) path(from, to int) *network.Path {
	f.mu.Lock()
	defer f.mu.Unlock()
	k := [2]int{from, to}
	p := f.links[k]
	if p == nil {
		p = network.NewPath(network.Conditions{}, uint64(f.index)<<32+uint64(from)<<8+uint64(to))
		f.links[k] = p
	}
	return p
}

// open puts a forwarder before a party's port: others speak to it, and each has a path of its own.
func (f *fleet) open(place, port int) error {
	x := &network.Forwarder{Target: f.at(place, 1, port), PathFor: func(from netip.AddrPort) *network.Path {
		ip := from.Addr().Unmap().As4()
		return f.path(int(ip[2]), place)
	}}
	if err := x.ForwardTCP(f.at(place, 3, port)); err != nil {
		return err
	}
	f.forward = append(f.forward, x)
	return nil
}

// apis are the stewards' addresses as the others know them.
func (f *fleet) apis() (all []string) {
	for _, s := range f.stewards {
		all = append(all, f.at(s.place, 3, portAPI))
	}
	return all
}

// up starts everything and waits until the stewards are one cluster.
func (f *fleet) up(ctx context.Context, stewards, workers, perWorker int, noFence bool) error {
	f.ctx, f.cancel = context.WithCancel(context.Background())
	f.links = map[[2]int]*network.Path{}
	for i := range stewards {
		f.stewards = append(f.stewards, &node{name: fmt.Sprintf("steward-%d", i), place: placeSteward + i})
	}
	for i := range workers {
		f.workers = append(f.workers, &node{name: fmt.Sprintf("worker-%d", i), place: placeWorker + i})
	}
	for _, s := range f.stewards {
		if err := errors.Join(f.open(s.place, portRaft), f.open(s.place, portAPI)); err != nil {
			return err
		}
	}
	for i := range receivers {
		r, err := newReceiver(i, f.at(placeReceiver+i, 1, portEffects), filepath.Join(f.dir, fmt.Sprintf("receiver-%d", i)), noFence)
		if err != nil {
			return err
		}
		f.receivers = append(f.receivers, r)
		if err := f.open(placeReceiver+i, portEffects); err != nil {
			return err
		}
	}
	f.client = call.NewClient(f.apis(), f.ip(placeOperator, 1))
	for _, s := range f.stewards {
		s.home = filepath.Join(f.dir, s.name)
		if err := f.startSteward(s); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, beginFor)
	defer cancel()
	if err := f.until(ctx, func() error {
		_, err := f.client.DoAt(ctx, f.apis()[0], call.PathBegin, call.Empty{}, &call.JoinOut{}, 2*time.Second)
		var no *call.Refusal
		if errors.As(err, &no) {
			return nil // begun already
		}
		return err
	}); err != nil {
		return fmt.Errorf("duties: begin: %w", err)
	}
	if err := f.until(ctx, func() error { return f.complete(ctx) }); err != nil {
		return fmt.Errorf("duties: fleet %d: %w", f.index, err)
	}
	for _, w := range f.workers {
		w.home = filepath.Join(f.dir, w.name)
		if err := f.startWorker(w, perWorker); err != nil {
			return err
		}
	}
	f.work.Go(f.copies)
	return nil
}

// until tries until something works or ctx ends.
func (f *fleet) until(ctx context.Context, try func() error) error {
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

// complete returns nil if every steward has its place.
func (f *fleet) complete(ctx context.Context) error {
	var out call.StewardsOut
	var duties call.DutiesOut
	if err := f.client.Do(ctx, call.PathDuties, nil, &duties, time.Second); err != nil { // there is a leader
		return err
	}
	leader, err := f.leader(ctx)
	if err != nil {
		return err
	}
	if _, err := f.client.DoAt(ctx, f.at(leader.place, 3, portAPI), call.PathStewards, nil, &out, time.Second); err != nil {
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
		if _, err := f.client.DoAt(ctx, f.at(s.place, 3, portAPI), call.PathStewards, nil, &out, 0); err != nil {
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
	dir := filepath.Join(s.home, "dir")
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return fmt.Errorf("duties: %w", err)
	}
	seeds, err := json.Marshal(f.apis())
	if err != nil {
		return fmt.Errorf("duties: %w", err)
	}
	text := fmt.Sprintf("log_format = \"json\"\n[steward]\nname = %q\nfleet = \"testbed\"\nlisten = %q\nadvertise = %q\napi = %q\nadvertise_api = %q\ndir = %q\nseeds = %s\n",
		s.name, f.at(s.place, 1, portRaft), f.at(s.place, 3, portRaft), f.at(s.place, 1, portAPI), f.at(s.place, 3, portAPI), dir, seeds)
	path := filepath.Join(s.home, "settings.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return fmt.Errorf("duties: %w", err)
	}
	return f.launch(s, exec.Command(f.programs.Steward, "run", "--config", path))
}

func (f *fleet) startWorker(w *node, count int) error {
	if err := os.MkdirAll(w.home, 0o700); err != nil {
		return fmt.Errorf("duties: %w", err)
	}
	args := []string{"work", "--name", w.name, "--count", fmt.Sprint(count), "--duties", fmt.Sprint(f.duties), "--lease", f.lease.String(),
		"--local", f.ip(w.place, 1).String(), "--record", filepath.Join(w.home, "record")}
	for _, a := range f.apis() {
		args = append(args, "--stewards", a)
	}
	for i := range f.receivers {
		args = append(args, "--receivers", f.at(placeReceiver+i, 3, portEffects))
	}
	return f.launch(w, exec.Command(f.programs.Testbed, args...))
}

// launch starts a node's process.
func (f *fleet) launch(n *node, cmd *exec.Cmd) error {
	log, err := os.OpenFile(filepath.Join(n.home, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("duties: %w", err)
	}
	defer log.Close()
	cmd.Stdout, cmd.Stderr, cmd.Dir = log, log, n.home
	if err := f.start.Start(cmd); err != nil {
		return fmt.Errorf("duties: start %s: %w", n.name, err)
	}
	n.cmd, n.ended = cmd, make(chan struct{})
	n.count++
	ended := n.ended
	f.work.Go(func() { cmd.Wait(); close(ended) })
	return nil
}

// stop ends a node's process and waits until it has.
func (f *fleet) stop(n *node, s syscall.Signal) {
	n.cmd.Process.Signal(s)
	select {
	case <-n.ended:
	case <-time.After(endFor):
		n.cmd.Process.Kill()
		<-n.ended
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
	if n.place >= placeWorker {
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

// cut has nothing pass between two sets of places.
func (f *fleet) cut(a, b []int, d time.Duration, oneWay bool) {
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

// delay has everything that a worker sends to receivers take so long: orders that are in flight while their duty moves on.
func (f *fleet) delay(w *node, by, d time.Duration) {
	set := func(by time.Duration) {
		for i := range f.receivers {
			f.path(w.place, placeReceiver+i).Update(network.Outbound, func(c *network.Conditions) { c.Delay, c.Jitter = by, 0.5 })
		}
	}
	set(by)
	network.Sleep(f.ctx, d)
	set(0)
}

// copies copies the stewards' folders now and then, as a backup would.
func (f *fleet) copies() {
	for network.Sleep(f.ctx, copyEvery) == nil {
		for _, s := range f.stewards {
			if s.mu.TryLock() {
				os.RemoveAll(filepath.Join(s.home, "copy"))
				err := os.CopyFS(filepath.Join(s.home, "copy"), os.DirFS(filepath.Join(s.home, "dir")))
				if err != nil { // changed meanwhile: no copy then
					os.RemoveAll(filepath.Join(s.home, "copy"))
				}
				s.mu.Unlock()
			}
		}
	}
}

// lose has a steward lose its folder, or get an older one back. The others do without it until it has joined anew, which with an
// older folder takes an operator who empties it.
func (f *fleet) lose(s *node, pause time.Duration, older bool) error {
	f.away.Lock()
	defer f.away.Unlock()
	dir := filepath.Join(s.home, "dir")
	empty := func() error { return os.RemoveAll(dir) }
	change := empty
	if older {
		change = func() error {
			saved := filepath.Join(s.home, "copy")
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
		if network.Sleep(f.ctx, operatorAfter) != nil {
			return nil
		}
		if err := f.restart(s, syscall.SIGKILL, 0, empty); err != nil {
			return err
		}
	}
	return f.until(f.ctx, func() error { return f.complete(f.ctx) })
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

// down ends everything.
func (f *fleet) down() {
	if f.cancel == nil {
		return
	}
	f.cancel()
	for _, n := range append(append([]*node(nil), f.workers...), f.stewards...) {
		n.mu.Lock()
		if n.cmd != nil {
			n.cmd.Process.Kill()
			<-n.ended
		}
		n.mu.Unlock()
	}
	f.work.Wait()
	for _, x := range f.forward {
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
		data, err := os.ReadFile(filepath.Join(w.home, "record"))
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

// some draws a share of nodes, one at least.
func some(rng *rand.Rand, of []*node, share float64) []*node {
	order := rng.Perm(len(of))
	n := min(len(of), max(1, int(share*float64(len(of))+0.5)))
	var all []*node
	for _, i := range order[:n] {
		all = append(all, of[i])
	}
	return all
}

func places(of []*node) (all []int) {
	for _, n := range of {
		all = append(all, n.place)
	}
	return all
}
