package process

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"onyxroad.dev/onyxroad/internal/faultfile"
	"onyxroad.dev/onyxroad/internal/testbed/ledger"
	"onyxroad.dev/onyxroad/internal/testbed/network"
	"onyxroad.dev/onyxroad/internal/testbed/plan"
	"onyxroad.dev/onyxroad/internal/testbed/platform"
)

const (
	readyPollInterval = 10 * time.Millisecond
	readyTimeout      = 30 * time.Second
	// In a planned restart SIGKILL follows SIGTERM after termTimeout, and the next process starts restartPause after the
	// old one has exited.
	termTimeout  = 3700 * time.Millisecond
	restartPause = 600 * time.Millisecond
	// Clients keep sending to a relay for this long after SIGTERM; at most 0.4 s.
	clientGrace        = 300 * time.Millisecond
	signalInterval     = 40 * time.Millisecond // between the signals of a series
	replacementTimeout = 6 * time.Second       // for a replacement to report ready
)

// Fleet runs the processes of the relays under test.
type Fleet struct {
	plan     *plan.Plan
	ledger   *ledger.Ledger
	ports    *platform.Ports
	platform *platform.Platform
	program  string // path of the relay program
	dir      string // folder of the run
	starter  *Starter
	ctx      context.Context
	cancel   context.CancelFunc
	wg       sync.WaitGroup
	http     *http.Client

	// Stewards are the addresses of the stewards that grant duties to members; set before Start.
	Stewards []string

	closeOnce sync.Once

	mu      sync.Mutex
	relays  []*relay
	burners []*exec.Cmd
}

// relay is the state of one relay across its processes.
type relay struct {
	mu         sync.Mutex        // held for the whole of a restart or replacement
	starts     int               // processes started so far
	stateImage map[string][]byte // state folder at the start of the newest process, on a traced disk
	// backlogImage is the same for the backlog's folder; nil without a backlog.
	backlogImage map[string][]byte
	faults       injectedFaults
	running      []*process // oldest first; two during a replacement
	alive        bool       // clients may connect: its process is ready
}

// process is one process of a relay.
type process struct {
	cmd    *exec.Cmd
	record *ledger.Process
	admin  string
	log    *os.File
	exited chan struct{}
}

// New returns a fleet that keeps its files in dir and runs program as the relay.
func New(p *plan.Plan, led *ledger.Ledger, ports *platform.Ports, x *platform.Platform, program, dir string) *Fleet {
	ctx, cancel := context.WithCancel(context.Background())
	f := &Fleet{plan: p, ledger: led, ports: ports, platform: x, program: program, dir: dir, starter: NewStarter(), ctx: ctx, cancel: cancel,
		http: &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}}
	for range p.Relays {
		f.relays = append(f.relays, &relay{})
	}
	return f
}

// Start starts every relay and waits until all are ready.
func (f *Fleet) Start(ctx context.Context) error {
	errs := make([]error, len(f.relays))
	var wg sync.WaitGroup
	slots := make(chan struct{}, 16) // limits concurrent starts: more would only compete for the cores
	for r := range f.relays {
		wg.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			errs[r] = f.startRelay(ctx, r, false)
		})
	}
	wg.Wait()
	f.wg.Go(f.sampleResources)
	return errors.Join(errs...)
}

// Alive reports whether clients may connect to relay r.
func (f *Fleet) Alive(r int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.relays[r].alive
}

func (f *Fleet) setAlive(r int, alive bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.relays[r].alive = alive
}

// startRelay starts a process of relay r and waits until it is ready. With emptyState its state folder is removed first.
func (f *Fleet) startRelay(ctx context.Context, r int, emptyState bool) error {
	p, err := f.startProcess(r, emptyState, false)
	if err != nil {
		return err
	}
	if !f.awaitReady(ctx, p, "http://"+f.ports.Relay(r)+"/_health", readyTimeout) {
		if f.ctx.Err() != nil || ctx.Err() != nil {
			return ctx.Err()
		}
		return fmt.Errorf("process: %s was not ready in %v: %s", f.plan.Relays[r].Name, readyTimeout, lastLine(p.log.Name()))
	}
	f.setAlive(r, true)
	return nil
}

// startProcess starts a process of relay r. With replacement it runs next to the relay's present process, whose temporary
// files stay.
func (f *Fleet) startProcess(r int, emptyState, replacement bool) (*process, error) {
	home := filepath.Join(f.dir, f.plan.Relays[r].Name)
	state, temp := filepath.Join(home, "state"), filepath.Join(home, "tmp")
	if emptyState {
		os.RemoveAll(state)
	}
	if !replacement {
		os.RemoveAll(temp)
	}
	for _, d := range []string{state, temp} {
		if err := os.MkdirAll(d, 0o700); err != nil {
			return nil, fmt.Errorf("process: %w", err)
		}
	}
	x := f.relays[r]
	if err := f.writeConfig(r); err != nil {
		return nil, err
	}
	env, err := f.relayEnv(r, state)
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	n := x.starts
	x.starts++
	f.mu.Unlock()
	log, err := os.OpenFile(filepath.Join(home, fmt.Sprintf("log.%d", n)), os.O_CREATE|os.O_WRONLY|os.O_TRUNC, 0o600)
	if err != nil {
		return nil, fmt.Errorf("process: %w", err)
	}
	p := &process{cmd: exec.Command(f.program), admin: f.ports.Admin(r, n), log: log, exited: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr, p.cmd.Dir = log, log, home
	p.cmd.Env = []string{"ROUTER_NAME=" + f.plan.Relays[r].Name, "ROUTER_LISTEN=" + f.ports.Relay(r),
		"ROUTER_DISCOVERY=" + f.platform.AgentAddr(r), "ROUTER_STATE=" + state,
		"ROUTER_CONFIG=" + f.configPath(r), "ROUTER_ADMIN_ADDR=" + p.admin, "TMPDIR=" + temp}
	p.cmd.Env = append(p.cmd.Env, env...)
	if f.plan.Experiment.NeedsFaultInjection() {
		p.cmd.Env = append(p.cmd.Env, faultfile.Env+"="+f.faultsPath(r))
	}
	p.record = &ledger.Process{Relay: r, Start: f.ledger.Now(), Ready: ledger.Never, StopSignaled: ledger.Never, End: ledger.Never,
		EmptyState: emptyState, Replacement: replacement}
	if err := f.starter.Start(p.cmd); err != nil {
		log.Close()
		return nil, fmt.Errorf("process: start %s: %w", f.plan.Relays[r].Name, err)
	}
	p.record.PID = p.cmd.Process.Pid
	f.ledger.Add(p.record)
	f.mu.Lock()
	x.running = append(x.running, p)
	f.mu.Unlock()
	f.wg.Go(func() { f.reap(r, p) })
	return p, nil
}

// reap waits for a process to exit and records how it ended.
func (f *Fleet) reap(r int, p *process) {
	p.cmd.Wait()
	p.log.Close()
	f.ledger.Update(func() {
		p.record.End, p.record.Exit = f.ledger.Now(), p.cmd.ProcessState.String()+crashReason(p.log.Name())
	})
	f.mu.Lock()
	x := f.relays[r]
	for i := range x.running {
		if x.running[i] == p {
			x.running = append(x.running[:i], x.running[i+1:]...)
			break
		}
	}
	if len(x.running) == 0 {
		x.alive = false
	}
	f.mu.Unlock()
	close(p.exited)
}

// awaitReady polls url until it answers 200, the process exits, or timeout has passed. It reports whether it got the 200.
func (f *Fleet) awaitReady(ctx context.Context, p *process, url string, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		if err != nil {
			return false
		}
		if res, err := f.http.Do(req); err == nil {
			res.Body.Close()
			if res.StatusCode == http.StatusOK {
				f.ledger.Update(func() { p.record.Ready = f.ledger.Now() })
				return true
			}
		}
		select {
		case <-p.exited:
			return false
		default:
		}
		if network.Sleep(ctx, readyPollInterval) != nil {
			return false
		}
	}
}

// newest returns the newest running process of relay r, or nil.
func (f *Fleet) newest(r int) *process {
	f.mu.Lock()
	defer f.mu.Unlock()
	if n := len(f.relays[r].running); n > 0 {
		return f.relays[r].running[n-1]
	}
	return nil
}

func (f *Fleet) signal(p *process, s syscall.Signal) {
	if s == syscall.SIGTERM || s == syscall.SIGKILL {
		f.ledger.Update(func() {
			if p.record.StopSignaled == ledger.Never {
				p.record.StopSignaled = f.ledger.Now()
			}
		})
	}
	p.cmd.Process.Signal(s)
}

// BeginFault starts a fault of relays in the background. It returns false if x is not a fault of relays.
func (f *Fleet) BeginFault(x *plan.Fault) bool {
	var start func(r int) error
	switch x.Kind {
	case "kill":
		start = func(r int) error {
			return f.restart(r, syscall.SIGKILL, max(x.For, restartPause), slices.Contains(x.Emptied, r))
		}
	case "power":
		start = func(r int) error { return f.losePower(r, max(x.For, restartPause)) }
	case "disk-full", "disk-sick", "disk-slow":
		start = func(r int) error { return f.failDisk(r, x) }
	case "term":
		start = func(r int) error { return f.restart(r, syscall.SIGTERM, max(x.For, restartPause), false) }
	case "pause":
		start = func(r int) error { return f.pause(r, x.For) }
	case "replace":
		start = f.replace
	case "starve":
		start = func(r int) error { return f.starve(r, x.For) }
	case "move":
		start = f.moveDiscovery
	case "series":
		start = f.signalSeries
	case "kill-series":
		start = f.killSeries
	case "torn-write":
		start = func(r int) error { return f.tornWrite(r, x) }
	case "wall-step", "calls", "files", "short":
		start = func(r int) error { return f.inject(r, x) }
	default:
		return false
	}
	for _, r := range x.Relays {
		f.wg.Go(func() {
			if err := start(r); err != nil && f.ctx.Err() == nil {
				fmt.Fprintf(os.Stderr, "testbed: %s of %s: %v\n", x.Kind, f.plan.Relays[r].Name, err)
			}
		})
	}
	return true
}

// restart stops the process of relay r with signal s and starts the next one after pause.
func (f *Fleet) restart(r int, s syscall.Signal, pause time.Duration, emptyState bool) error {
	x := f.relays[r]
	x.mu.Lock()
	defer x.mu.Unlock()
	if p := f.newest(r); p != nil {
		// Clients keep sending for a while after SIGTERM.
		grace := time.Duration(0)
		if s == syscall.SIGTERM {
			grace = clientGrace
		}
		time.AfterFunc(grace, func() { f.setAlive(r, false) })
		f.stop(p, s)
	}
	if network.Sleep(f.ctx, pause) != nil {
		return nil
	}
	return f.startRelay(f.ctx, r, emptyState)
}

const (
	seriesKills     = 3
	seriesKillAfter = 500 * time.Millisecond // after the start of a process
)

// killSeries kills the process of relay r, and the next ones soon after their starts.
func (f *Fleet) killSeries(r int) error {
	for kill := range seriesKills {
		if kill > 0 && network.Sleep(f.ctx, seriesKillAfter) != nil {
			return nil
		}
		if err := f.restart(r, syscall.SIGKILL, restartPause, false); err != nil {
			return err
		}
	}
	return nil
}

// stop sends a process a signal and waits until it has exited, sending SIGKILL after termTimeout.
func (f *Fleet) stop(p *process, s syscall.Signal) {
	f.signal(p, s)
	timer := time.NewTimer(termTimeout)
	defer timer.Stop()
	select {
	case <-p.exited:
	case <-timer.C:
		f.signal(p, syscall.SIGKILL)
		<-p.exited
	case <-f.ctx.Done():
	}
}

// pause stops the process of relay r with SIGSTOP for d.
func (f *Fleet) pause(r int, d time.Duration) error {
	p := f.newest(r)
	if p == nil {
		return nil
	}
	from := f.ledger.Now()
	f.signal(p, syscall.SIGSTOP)
	network.Sleep(f.ctx, d)
	f.signal(p, syscall.SIGCONT)
	f.ledger.Update(func() { p.record.Pauses = append(p.record.Pauses, ledger.Pause{From: from, To: f.ledger.Now()}) })
	return nil
}

// replace starts a second process of relay r next to the running one, and stops the old one once the new one is ready or
// replacementTimeout has passed.
func (f *Fleet) replace(r int) error {
	x := f.relays[r]
	x.mu.Lock()
	defer x.mu.Unlock()
	old := f.newest(r)
	next, err := f.startProcess(r, false, true)
	if err != nil {
		return err
	}
	ready := f.awaitReady(f.ctx, next, "http://"+next.admin+"/api/ready", replacementTimeout)
	if old != nil {
		f.stop(old, syscall.SIGTERM)
	}
	if !ready {
		// The new process had its time; with the old one gone it has nothing left to wait for.
		if !f.awaitReady(f.ctx, next, "http://"+next.admin+"/api/ready", readyTimeout) && f.ctx.Err() == nil {
			return errors.New("the replacement process did not become ready")
		}
	}
	f.setAlive(r, true)
	return nil
}

// moveDiscovery moves the discovery agent of relay r to another address and announces it by a new configuration and SIGHUP.
func (f *Fleet) moveDiscovery(r int) error {
	f.relays[r].mu.Lock()
	defer f.relays[r].mu.Unlock()
	p := f.newest(r)
	if p == nil {
		return nil
	}
	if _, err := f.platform.MoveAgent(r); err != nil {
		return err
	}
	if err := f.writeConfig(r); err != nil {
		return err
	}
	f.signal(p, syscall.SIGHUP)
	return nil
}

// signalSeries sends relay r signals in quick succession, at last SIGKILL if it has not exited, and starts the next process.
func (f *Fleet) signalSeries(r int) error {
	if err := f.moveDiscovery(r); err != nil {
		return err
	}
	p := f.newest(r)
	if p == nil {
		return nil
	}
	f.wg.Go(func() {
		for _, s := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP} {
			if network.Sleep(f.ctx, signalInterval) != nil {
				return
			}
			f.signal(p, s)
		}
	})
	return f.restart(r, syscall.SIGTERM, restartPause, false)
}

// tornWrite makes the writes of relay r fail, kills it meanwhile, and starts the next process on the resulting files.
func (f *Fleet) tornWrite(r int, x *plan.Fault) error {
	failing := *x
	failing.For = x.For + plan.TornWriteTail
	f.wg.Go(func() {
		if err := f.inject(r, &failing); err != nil && f.ctx.Err() == nil {
			fmt.Fprintf(os.Stderr, "testbed: %s of %s: %v\n", x.Kind, f.plan.Relays[r].Name, err)
		}
	})
	if network.Sleep(f.ctx, x.For) != nil {
		return nil
	}
	return f.restart(r, syscall.SIGKILL, restartPause, false)
}

// KeepLogs copies the logs of all processes into dir, whose previous content is removed.
func (f *Fleet) KeepLogs(dir string) error {
	if err := os.RemoveAll(dir); err != nil {
		return fmt.Errorf("process: copy logs: %w", err)
	}
	for _, r := range f.plan.Relays {
		logs, err := filepath.Glob(filepath.Join(f.dir, r.Name, "log.*"))
		if err != nil {
			return fmt.Errorf("process: copy logs: %w", err)
		}
		for _, path := range logs {
			data, err := os.ReadFile(path)
			if err == nil {
				err = errors.Join(os.MkdirAll(dir, 0o700), os.WriteFile(filepath.Join(dir, r.Name+"-"+filepath.Base(path)), data, 0o600))
			}
			if err != nil {
				return fmt.Errorf("process: copy logs: %w", err)
			}
		}
	}
	return nil
}

// Close kills every process that was started and waits for the fleet's goroutines.
func (f *Fleet) Close() { f.closeOnce.Do(f.close) }

func (f *Fleet) close() {
	f.cancel()
	f.mu.Lock()
	for _, x := range f.relays {
		for _, p := range x.running {
			p.cmd.Process.Kill()
		}
	}
	for _, c := range f.burners {
		c.Process.Kill()
	}
	f.mu.Unlock()
	f.wg.Wait()
	f.starter.Stop()
}

// crashReason returns the line of a log that tells why the process crashed or stopped itself; "" if there is none.
func crashReason(path string) string {
	data, err := os.ReadFile(path)
	if err != nil {
		return ""
	}
	for line := range strings.Lines(string(data)) {
		if strings.HasPrefix(line, "panic: ") || strings.HasPrefix(line, "fatal error: ") || strings.Contains(line, "stopped") {
			return ": " + strings.TrimSpace(line)
		}
	}
	return ""
}

// lastLine returns the last line of a log, for an error message.
func lastLine(path string) string {
	data, err := os.ReadFile(path)
	if err != nil {
		return ""
	}
	lines := strings.Split(strings.TrimSpace(string(data)), "\n")
	return lines[len(lines)-1]
}
