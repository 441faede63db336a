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
	readyPoll = 10 * time.Millisecond
	readyMost = 30 * time.Second
	// A planned restart: SIGKILL comes this long after SIGTERM, and the next start this long after the process's end.
	termMost  = 3700 * time.Millisecond
	restartIn = 600 * time.Millisecond
	// Clients go on coming for so long after SIGTERM, 0.4 s at most.
	clientsFor  = 300 * time.Millisecond
	seriesPause = 40 * time.Millisecond // between signals in a series
	yesWithin   = 6 * time.Second       // that a process which takes another's place has for its yes
)

// Fleet is the relays' processes.
type Fleet struct {
	plan     *plan.Plan
	book     *ledger.Ledger
	ports    *platform.Ports
	platform *platform.Platform
	program  string // the relay's
	dir      string // the run's
	start    *Starter
	ctx      context.Context
	cancel   context.CancelFunc
	work     sync.WaitGroup
	http     *http.Client

	// Stewards are the addresses of those at which members hold duties; set before Start.
	Stewards []string

	closed sync.Once

	mu     sync.Mutex
	relays []*relay
	burn   []*exec.Cmd
}

// relay is one relay over all its processes.
type relay struct {
	mu    sync.Mutex        // held over a whole restart or replacement
	count int               // processes so far
	image map[string][]byte // of its state folder when the last one began, on the testbed's disk
	// and of its backlog's; nil without one
	backlog map[string][]byte
	faults  faults
	now     []*process // that run; two while one takes the other's place
	alive   bool       // clients may come: its process is ready
}

// process is one process of a relay.
type process struct {
	cmd   *exec.Cmd
	life  *ledger.Life
	admin string
	log   *os.File
	ended chan struct{}
}

// New returns a fleet whose files stand in dir. program is the relay's.
func New(p *plan.Plan, book *ledger.Ledger, ports *platform.Ports, x *platform.Platform, program, dir string) *Fleet {
	ctx, cancel := context.WithCancel(context.Background())
	f := &Fleet{plan: p, book: book, ports: ports, platform: x, program: program, dir: dir, start: NewStarter(), ctx: ctx, cancel: cancel,
		http: &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}}
	for range p.Relays {
		f.relays = append(f.relays, &relay{})
	}
	return f
}

// Start starts every relay, and returns once all are ready.
func (f *Fleet) Start(ctx context.Context) error {
	errs := make([]error, len(f.relays))
	var all sync.WaitGroup
	room := make(chan struct{}, 16) // starts at once: more would only share the cores
	for r := range f.relays {
		all.Go(func() {
			room <- struct{}{}
			defer func() { <-room }()
			errs[r] = f.begin(ctx, r, false)
		})
	}
	all.Wait()
	f.work.Go(f.watch)
	return errors.Join(errs...)
}

// Alive tells whether clients may come to a relay.
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

// begin starts a process of a relay and waits until it is ready.
func (f *Fleet) begin(ctx context.Context, r int, emptied bool) error {
	p, err := f.launch(r, emptied, false)
	if err != nil {
		return err
	}
	if !f.awaits(ctx, p, "http://"+f.ports.Relay(r)+"/_health", readyMost) {
		if f.ctx.Err() != nil || ctx.Err() != nil {
			return ctx.Err()
		}
		return fmt.Errorf("process: %s was not ready in %v: %s", f.plan.Relays[r].Name, readyMost, lastLine(p.log.Name()))
	}
	f.setAlive(r, true)
	return nil
}

// launch starts a process of a relay.
func (f *Fleet) launch(r int, emptied, beside bool) (*process, error) {
	home := filepath.Join(f.dir, f.plan.Relays[r].Name)
	state, temp := filepath.Join(home, "state"), filepath.Join(home, "tmp")
	if emptied {
		os.RemoveAll(state)
	}
	if !beside {
		os.RemoveAll(temp)
	}
	for _, d := range []string{state, temp} {
		if err := os.MkdirAll(d, 0o700); err != nil {
			return nil, fmt.Errorf("process: %w", err)
		}
	}
	x := f.relays[r]
	if err := f.configure(r); err != nil {
		return nil, err
	}
	own, err := f.own(r, state)
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	n := x.count
	x.count++
	f.mu.Unlock()
	log, err := os.OpenFile(filepath.Join(home, fmt.Sprintf("log.%d", n)), os.O_CREATE|os.O_WRONLY|os.O_TRUNC, 0o600)
	if err != nil {
		return nil, fmt.Errorf("process: %w", err)
	}
	p := &process{cmd: exec.Command(f.program), admin: f.ports.Admin(r, n), log: log, ended: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr, p.cmd.Dir = log, log, home
	p.cmd.Env = []string{"ROUTER_NAME=" + f.plan.Relays[r].Name, "ROUTER_LISTEN=" + f.ports.Relay(r), "ROUTER_DISCOVERY=" + f.platform.Agent(r),
		"ROUTER_STATE=" + state, "ROUTER_CONFIG=" + f.configPath(r), "ROUTER_ADMIN_ADDR=" + p.admin, "TMPDIR=" + temp}
	p.cmd.Env = append(p.cmd.Env, own...)
	if f.plan.Experiment.NeedsFaultInjection() {
		p.cmd.Env = append(p.cmd.Env, faultfile.Env+"="+f.faultsPath(r))
	}
	p.life = &ledger.Life{Relay: r, Start: f.book.Now(), Ready: ledger.Never, Asked: ledger.Never, End: ledger.Never, Emptied: emptied,
		Replaces: beside}
	if err := f.start.Start(p.cmd); err != nil {
		log.Close()
		return nil, fmt.Errorf("process: start %s: %w", f.plan.Relays[r].Name, err)
	}
	p.life.PID = p.cmd.Process.Pid
	f.book.Add(p.life)
	f.mu.Lock()
	x.now = append(x.now, p)
	f.mu.Unlock()
	f.work.Go(func() { f.reap(r, p) })
	return p, nil
}

// reap notes a process's end.
func (f *Fleet) reap(r int, p *process) {
	p.cmd.Wait()
	p.log.Close()
	f.book.Do(func() { p.life.End, p.life.Exit = f.book.Now(), p.cmd.ProcessState.String()+lastWords(p.log.Name()) })
	f.mu.Lock()
	x := f.relays[r]
	for i := range x.now {
		if x.now[i] == p {
			x.now = append(x.now[:i], x.now[i+1:]...)
			break
		}
	}
	if len(x.now) == 0 {
		x.alive = false
	}
	f.mu.Unlock()
	close(p.ended)
}

// awaits asks until url says yes, the process ends, or the time is over.
func (f *Fleet) awaits(ctx context.Context, p *process, url string, most time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, most)
	defer cancel()
	for {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		if err != nil {
			return false
		}
		if res, err := f.http.Do(req); err == nil {
			res.Body.Close()
			if res.StatusCode == http.StatusOK {
				f.book.Do(func() { p.life.Ready = f.book.Now() })
				return true
			}
		}
		select {
		case <-p.ended:
			return false
		default:
		}
		if network.Sleep(ctx, readyPoll) != nil {
			return false
		}
	}
}

// last is a relay's newest process; nil if none runs.
func (f *Fleet) last(r int) *process {
	f.mu.Lock()
	defer f.mu.Unlock()
	if n := len(f.relays[r].now); n > 0 {
		return f.relays[r].now[n-1]
	}
	return nil
}

func (f *Fleet) signal(p *process, s syscall.Signal) {
	if s == syscall.SIGTERM || s == syscall.SIGKILL {
		f.book.Do(func() {
			if p.life.Asked == ledger.Never {
				p.life.Asked = f.book.Now()
			}
		})
	}
	p.cmd.Process.Signal(s)
}

// Begin has a trouble of relays begin, away from the caller; false if it is none.
func (f *Fleet) Begin(x *plan.Fault) bool {
	var do func(r int) error
	switch x.Kind {
	case "kill":
		do = func(r int) error {
			return f.restart(r, syscall.SIGKILL, max(x.For, restartIn), slices.Contains(x.Emptied, r))
		}
	case "power":
		do = func(r int) error { return f.losePower(r, max(x.For, restartIn)) }
	case "disk-full", "disk-sick", "disk-slow":
		do = func(r int) error { return f.diskFails(r, x) }
	case "term":
		do = func(r int) error { return f.restart(r, syscall.SIGTERM, max(x.For, restartIn), false) }
	case "pause":
		do = func(r int) error { return f.pause(r, x.For) }
	case "replace":
		do = f.replace
	case "starve":
		do = func(r int) error { return f.starve(r, x.For) }
	case "move":
		do = f.move
	case "series":
		do = f.series
	case "torn-write":
		do = func(r int) error { return f.tornWrite(r, x) }
	case "wall-step", "calls", "files", "short":
		do = func(r int) error { return f.inject(r, x) }
	default:
		return false
	}
	for _, r := range x.Relays {
		f.work.Go(func() {
			if err := do(r); err != nil && f.ctx.Err() == nil {
				fmt.Fprintf(os.Stderr, "testbed: %s of %s: %v\n", x.Kind, f.plan.Relays[r].Name, err)
			}
		})
	}
	return true
}

// restart ends a relay's process and starts the next one.
func (f *Fleet) restart(r int, s syscall.Signal, pause time.Duration, emptied bool) error {
	x := f.relays[r]
	x.mu.Lock()
	defer x.mu.Unlock()
	if p := f.last(r); p != nil {
		// Clients go on coming for a while after SIGTERM.
		after := time.Duration(0)
		if s == syscall.SIGTERM {
			after = clientsFor
		}
		time.AfterFunc(after, func() { f.setAlive(r, false) })
		f.end(p, s)
	}
	if network.Sleep(f.ctx, pause) != nil {
		return nil
	}
	return f.begin(f.ctx, r, emptied)
}

// end ends a process and waits until it has.
func (f *Fleet) end(p *process, s syscall.Signal) {
	f.signal(p, s)
	timer := time.NewTimer(termMost)
	defer timer.Stop()
	select {
	case <-p.ended:
	case <-timer.C:
		f.signal(p, syscall.SIGKILL)
		<-p.ended
	case <-f.ctx.Done():
	}
}

// pause stops a relay's process for a time.
func (f *Fleet) pause(r int, d time.Duration) error {
	p := f.last(r)
	if p == nil {
		return nil
	}
	from := f.book.Now()
	f.signal(p, syscall.SIGSTOP)
	network.Sleep(f.ctx, d)
	f.signal(p, syscall.SIGCONT)
	f.book.Do(func() { p.life.Paused = append(p.life.Paused, ledger.Pause{From: from, To: f.book.Now()}) })
	return nil
}

// replace has a second process take a relay's place.
func (f *Fleet) replace(r int) error {
	x := f.relays[r]
	x.mu.Lock()
	defer x.mu.Unlock()
	old := f.last(r)
	next, err := f.launch(r, false, true)
	if err != nil {
		return err
	}
	yes := f.awaits(f.ctx, next, "http://"+next.admin+"/api/ready", yesWithin)
	if old != nil {
		f.end(old, syscall.SIGTERM)
	}
	if !yes {
		// It had its time; with the old one gone nothing is left that it could wait for.
		if !f.awaits(f.ctx, next, "http://"+next.admin+"/api/ready", readyMost) && f.ctx.Err() == nil {
			return errors.New("the new process never said yes")
		}
	}
	f.setAlive(r, true)
	return nil
}

// move has discovery move for a relay, and tells it by a new configuration and SIGHUP.
func (f *Fleet) move(r int) error {
	f.relays[r].mu.Lock()
	defer f.relays[r].mu.Unlock()
	p := f.last(r)
	if p == nil {
		return nil
	}
	if _, err := f.platform.Move(r); err != nil {
		return err
	}
	if err := f.configure(r); err != nil {
		return err
	}
	f.signal(p, syscall.SIGHUP)
	return nil
}

// series has signals come in quick succession, the last of them SIGKILL, and starts the next process.
func (f *Fleet) series(r int) error {
	if err := f.move(r); err != nil {
		return err
	}
	p := f.last(r)
	if p == nil {
		return nil
	}
	f.work.Go(func() {
		for _, s := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP} {
			if network.Sleep(f.ctx, seriesPause) != nil {
				return
			}
			f.signal(p, s)
		}
	})
	return f.restart(r, syscall.SIGTERM, restartIn, false)
}

// tornWrite has a relay's writes fail, kills it while they do, and starts the next process on what that left.
func (f *Fleet) tornWrite(r int, x *plan.Fault) error {
	failing := *x
	failing.For = x.For + plan.TornWriteTail
	f.work.Go(func() {
		if err := f.inject(r, &failing); err != nil && f.ctx.Err() == nil {
			fmt.Fprintf(os.Stderr, "testbed: %s of %s: %v\n", x.Kind, f.plan.Relays[r].Name, err)
		}
	})
	if network.Sleep(f.ctx, x.For) != nil {
		return nil
	}
	return f.restart(r, syscall.SIGKILL, restartIn, false)
}

// KeepLogs copies the processes' logs into a folder, which is emptied first.
func (f *Fleet) KeepLogs(dir string) error {
	if err := os.RemoveAll(dir); err != nil {
		return fmt.Errorf("process: keep logs: %w", err)
	}
	for _, r := range f.plan.Relays {
		logs, err := filepath.Glob(filepath.Join(f.dir, r.Name, "log.*"))
		if err != nil {
			return fmt.Errorf("process: keep logs: %w", err)
		}
		for _, path := range logs {
			data, err := os.ReadFile(path)
			if err == nil {
				err = errors.Join(os.MkdirAll(dir, 0o700), os.WriteFile(filepath.Join(dir, r.Name+"-"+filepath.Base(path)), data, 0o600))
			}
			if err != nil {
				return fmt.Errorf("process: keep logs: %w", err)
			}
		}
	}
	return nil
}

// Close ends everything that was started.
func (f *Fleet) Close() { f.closed.Do(f.close) }

func (f *Fleet) close() {
	f.cancel()
	f.mu.Lock()
	for _, x := range f.relays {
		for _, p := range x.now {
			p.cmd.Process.Kill()
		}
	}
	for _, c := range f.burn {
		c.Process.Kill()
	}
	f.mu.Unlock()
	f.work.Wait()
	f.start.End()
}

// lastWords are why a process ended by a panic; nothing if it did not.
func lastWords(path string) string {
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

// lastLine is the end of a log, for a message.
func lastLine(path string) string {
	data, err := os.ReadFile(path)
	if err != nil {
		return ""
	}
	lines := strings.Split(strings.TrimSpace(string(data)), "\n")
	return lines[len(lines)-1]
}
