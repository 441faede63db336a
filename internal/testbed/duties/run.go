// Package duties runs stewards and workers that hold duties, in several fleets at once, under injected faults. It checks that
// the recorded history is linearizable and that no effect of an older holder was accepted after one of a newer holder, and
// measures how long takeovers take.
package duties

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"onyxroad.dev/onyxroad/internal/duty/call"
	"onyxroad.dev/onyxroad/internal/testbed/experiment"
	"onyxroad.dev/onyxroad/internal/testbed/network"
	"onyxroad.dev/onyxroad/internal/testbed/platform"
	"onyxroad.dev/onyxroad/internal/testbed/process"
)

const (
	effectInterval   = 50 * time.Millisecond
	probeInterval    = 50 * time.Millisecond
	leaderKillWindow = 6 * time.Second // for which claims are observed after a leader was stopped
	settleTime       = 2 * time.Second
)

// Programs are the paths of the executables that an experiment runs.
type Programs struct {
	Steward string
	Testbed string // runs the workers
}

// Result is the outcome of an experiment.
type Result struct {
	Fleets  int
	Figures map[string]float64
}

// Run runs an experiment with one seed and reports its figures.
func Run(ctx context.Context, x *experiment.Experiment, seed uint64, quick bool, programs Programs, progress func(string)) (*Result, error) {
	s := x.Stewards
	rng := rand.New(rand.NewPCG(seed, 0x6475747973))
	length := x.Length.D()
	fleets := s.Fleets.DrawInt(rng)
	if quick {
		length = x.Quick.D()
		fleets = min(fleets, max(1, s.QuickFleets))
	}
	dir, err := os.MkdirTemp("", "testbed-")
	if err != nil {
		return nil, fmt.Errorf("duties: %w", err)
	}
	defer os.RemoveAll(dir)
	ports, err := platform.ReservePorts()
	if err != nil {
		return nil, err
	}
	defer ports.Release()
	starter := process.NewStarter()
	c := &runner{experiment: x, length: length, faultCounts: map[string]int{}, probes: map[int][]interval{}, leaderKills: map[int][]time.Duration{}}
	var all sync.WaitGroup
	errs := make([]error, fleets)
	histories := make([]History, fleets)
	for i := range fleets {
		f := &fleet{index: i, dir: filepath.Join(dir, fmt.Sprint(i)), basePort: ports.Base(), programs: programs, lease: s.Lease.D(),
			duties: s.Duties.DrawInt(rng), starter: starter}
		stewards, workers := s.Count.DrawInt(rng)|1, s.Workers.DrawInt(rng)
		own := rand.New(rand.NewPCG(seed, uint64(i)+1))
		all.Go(func() {
			defer f.stopAll()
			if errs[i] = f.startAll(ctx, stewards, workers, max(1, s.Holders), s.Unfenced); errs[i] != nil {
				return
			}
			c.injectFaults(ctx, f, own)
			f.stopAll()
			histories[i], errs[i] = f.history()
		})
	}
	done := make(chan struct{})
	go func() { all.Wait(); close(done) }()
	for began := time.Now(); ; {
		select {
		case <-done:
		case <-time.After(time.Second):
			progress(fmt.Sprintf("%s seed %d: %3.0f of %.0f s, %d fleets", x.Name, seed, time.Since(began).Seconds(), length.Seconds(), fleets))
			continue
		}
		break
	}
	starter.Stop()
	if err := errors.Join(errs...); err != nil {
		return nil, err
	}
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	return &Result{fleets, c.summarize(histories, length)}, nil
}

// runner injects faults into the fleets of an experiment and collects measurements.
type runner struct {
	experiment *experiment.Experiment
	length     time.Duration

	mu          sync.Mutex
	takeovers   []float64 // seconds from a holder's SIGKILL to the next grant
	handOns     []float64 // seconds from an operator's step-down request to the next grant
	leaderCPU   []float64 // leaders' processor time, in cores
	faultCounts map[string]int
	faultErrors []error
	probes      map[int][]interval      // duration of each probe's claim, by fleet
	leaderKills map[int][]time.Duration // when leaders were stopped, by fleet
}

type interval struct{ from, to time.Duration }

func (c *runner) addSample(to *[]float64, v float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	*to = append(*to, v)
}

// scheduledFault is a fault and when it starts. draw seeds its random choices.
type scheduledFault struct {
	at    time.Duration
	fault experiment.Fault
	draw  uint64
}

// drawSchedule draws the times at which faults start, in order.
func (c *runner) drawSchedule(rng *rand.Rand) (all []scheduledFault) {
	for _, x := range c.experiment.Faults {
		times := 1
		if n := x.Times.Draw(rng); n > 0 {
			times = max(1, int(n*float64(c.length)/float64(c.experiment.Length.D())+0.5))
		}
		for i := range times {
			part := rng.Float64()
			if x.Even {
				part = (float64(i) + part/3) / float64(times)
			}
			at := time.Duration((x.At.Draw(rng) + part*x.Over.Draw(rng)) * float64(c.length))
			all = append(all, scheduledFault{at, x, rng.Uint64()})
		}
	}
	slices.SortFunc(all, func(a, b scheduledFault) int { return int(a.at - b.at) })
	return all
}

// injectFaults runs the schedule of faults against one fleet and takes measurements meanwhile.
func (c *runner) injectFaults(ctx context.Context, f *fleet, rng *rand.Rand) {
	network.Sleep(ctx, settleTime)
	events := c.drawSchedule(rng)
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, c.length)
	defer cancel()
	var all sync.WaitGroup
	if c.experiment.Stewards.Probe {
		all.Go(func() { c.probe(ctx, f) })
	}
	all.Go(func() { c.sampleLeaderCPU(ctx, f) })
	for _, e := range events {
		if network.Sleep(ctx, time.Until(began.Add(e.at))) != nil {
			break
		}
		all.Go(func() {
			if err := c.inject(ctx, f, e); err != nil && f.ctx.Err() == nil && ctx.Err() == nil {
				c.mu.Lock()
				c.faultErrors = append(c.faultErrors, fmt.Errorf("%s: %w", e.fault.Kind, err))
				c.mu.Unlock()
			}
		})
	}
	<-ctx.Done()
	f.cancel() // ends faults that are still active
	all.Wait()
}

// inject applies one fault and returns when it is over.
func (c *runner) inject(ctx context.Context, f *fleet, e scheduledFault) error {
	x, rng := e.fault, rand.New(rand.NewPCG(e.draw, 1))
	d := x.For.Draw(rng)
	share := x.Share.Draw(rng)
	c.mu.Lock()
	c.faultCounts[x.Kind]++
	c.mu.Unlock()
	var targets []*node
	switch x.Of {
	case "leader":
		n, err := f.leader(ctx)
		if err != nil {
			return nil // there is no leader at the moment
		}
		targets = []*node{n}
	case "holder":
		n, _, err := f.holderOf(ctx, fmt.Sprintf("duty-%d", rng.IntN(f.duties)))
		if err != nil {
			return nil
		}
		targets = []*node{n}
	case "workers":
		targets = sample(rng, f.workers, share)
	default:
		targets = sample(rng, f.stewards, share)
	}
	otherOctets := func() (all []int) {
		for _, n := range slices.Concat(f.stewards, f.workers) {
			if !slices.Contains(targets, n) {
				all = append(all, n.octet)
			}
		}
		return all
	}
	switch x.Kind {
	case "kill", "term":
		sig := syscall.SIGKILL
		if x.Kind == "term" {
			sig = syscall.SIGTERM
		}
		switch x.Of {
		case "leader":
			c.mu.Lock()
			c.leaderKills[f.index] = append(c.leaderKills[f.index], MonotonicTime())
			c.mu.Unlock()
		case "holder":
			c.watchTakeover(ctx, f, targets[0])
		}
		return f.forEach(targets, func(n *node) error { return f.restart(n, sig, d, nil) })
	case "empty", "older":
		return f.replaceFolder(targets[0], d, x.Kind == "older")
	case "pause":
		return f.forEach(targets, func(n *node) error { f.pause(n, d); return nil })
	case "cut", "one-way":
		f.partition(octets(targets), otherOctets(), d, x.Kind == "one-way")
	case "delay":
		return f.forEach(targets, func(n *node) error {
			f.delayEffects(n, time.Duration(x.Size.Draw(rng)*float64(time.Second)), d)
			return nil
		})
	case "forget":
		return f.receivers[rng.IntN(receiversPerFleet)].restart()
	case "step-down":
		name := fmt.Sprintf("duty-%d", rng.IntN(f.duties))
		_, g, err := f.holderOf(ctx, name)
		if err != nil {
			return nil
		}
		began := time.Now()
		in := call.StepDownIn{Duty: name, BarMS: int64(x.Size.Draw(rng) * 1000)}
		if err := f.client.Do(ctx, call.PathStepDown, in, &call.Duty{}, call.MaxWait); err != nil {
			return nil // may fail because of other faults
		}
		if c.awaitNewerGrant(ctx, f, name, g.Epoch) {
			c.addSample(&c.handOns, time.Since(began).Seconds())
		}
	default:
		return fmt.Errorf("fault %q does not apply to stewards and workers", x.Kind)
	}
	return nil
}

func (f *fleet) forEach(of []*node, do func(*node) error) error {
	errs := make([]error, len(of))
	var all sync.WaitGroup
	for i, n := range of {
		all.Go(func() { errs[i] = do(n) })
	}
	all.Wait()
	return errors.Join(errs...)
}

// awaitNewerGrant waits until a duty has a holder with a newer epoch. It returns false if ctx ends first.
func (c *runner) awaitNewerGrant(ctx context.Context, f *fleet, name string, epoch uint64) bool {
	for ctx.Err() == nil {
		var out call.DutiesOut
		if err := f.client.Do(ctx, call.PathDuties, nil, &out, time.Second); err == nil {
			for _, d := range out.Duties {
				if d.Duty == name && d.Epoch > epoch && d.Holder != "" {
					return true
				}
			}
		}
		network.Sleep(ctx, 5*time.Millisecond)
	}
	return false
}

// watchTakeover kills a worker and measures, for each duty it held, how long it takes until the next grant.
func (c *runner) watchTakeover(ctx context.Context, f *fleet, n *node) {
	var out call.DutiesOut
	if f.client.Do(ctx, call.PathDuties, nil, &out, time.Second) != nil {
		return
	}
	n.mu.Lock()
	n.cmd.Process.Kill()
	began := time.Now()
	n.mu.Unlock()
	for _, d := range out.Duties {
		if len(d.Holder) > len(n.name) && d.Holder[:len(n.name)+1] == n.name+"." {
			f.work.Go(func() {
				if c.awaitNewerGrant(ctx, f, d.Duty, d.Epoch) {
					c.addSample(&c.takeovers, time.Since(began).Seconds())
				}
			})
		}
	}
}

// probe repeatedly claims and releases a duty of its own, and records how long each claim takes.
func (c *runner) probe(ctx context.Context, f *fleet) {
	client := call.NewClient(f.stewardAddrs(), f.ip(octetOperator, 1))
	defer client.Close()
	for n := 0; ctx.Err() == nil; n++ {
		began := MonotonicTime()
		in := call.ClaimIn{Holder: "probe", WaitMS: 2000, Wishes: []call.Wish{{Duty: "probe", ID: fmt.Sprint("probe-", n), LeaseMS: 500}}}
		var out call.ClaimOut
		err := client.Do(ctx, call.PathClaim, in, &out, 2*time.Second)
		if err == nil && len(out.Granted) == 1 && out.Granted[0].Epoch > 0 {
			c.mu.Lock()
			c.probes[f.index] = append(c.probes[f.index], interval{began, MonotonicTime()})
			c.mu.Unlock()
			client.Do(ctx, call.PathRelease, call.ReleaseIn{Holder: "probe", Duty: "probe", Epoch: out.Granted[0].Epoch}, &call.Empty{}, 0)
		}
		network.Sleep(ctx, probeInterval)
	}
}

// sampleLeaderCPU samples the leader's use of processor time, in cores.
func (c *runner) sampleLeaderCPU(ctx context.Context, f *fleet) {
	var last *node
	used := time.Duration(0)
	for at := time.Now(); network.Sleep(ctx, 2*time.Second) == nil; at = time.Now() {
		n, err := f.leader(ctx)
		if err != nil {
			last = nil
			continue
		}
		n.mu.Lock()
		now := process.CPUTime(n.cmd.Process.Pid)
		n.mu.Unlock()
		if n == last && now > used {
			c.addSample(&c.leaderCPU, (now-used).Seconds()/time.Since(at).Seconds())
		}
		last, used = n, now
	}
}

// summarize audits the histories and computes the figures.
func (c *runner) summarize(histories []History, length time.Duration) map[string]float64 {
	figures := map[string]float64{"fault_seconds": float64(len(histories)) * length.Seconds(), "linearizable": 1, "unknown": 0,
		"lost_to_leaders_end": 0, "fenced": 0, "effects": 0, "claims": 0, "faults_failed": float64(len(c.faultErrors))}
	for _, err := range c.faultErrors {
		fmt.Fprintln(os.Stderr, "testbed:", err)
	}
	var claimTimes []float64
	for i, h := range histories {
		v := h.Audit()
		if !v.Linearizable {
			figures["linearizable"] = 0
		}
		if v.Unknown {
			figures["unknown"]++
		}
		figures["older_taken"] += float64(v.StaleAccepted)
		figures["lease_overlaps"] += float64(v.LeaseOverlaps)
		figures["epochs_reused"] += float64(v.ReusedEpochs)
		figures["claims"] += float64(len(h.Claims))
		for _, e := range h.Effects {
			if figures["effects"]++; !e.Accepted {
				figures["fenced"]++
			}
		}
		for _, at := range c.leaderKills[i] {
			for _, e := range h.Ends {
				if e.Lost && e.At > at && e.At < at+leaderKillWindow {
					figures["lost_to_leaders_end"]++
				}
			}
			longest := time.Duration(0)
			for _, p := range c.probes[i] {
				if p.to > at && p.from < at+leaderKillWindow {
					longest = max(longest, p.to-p.from)
				}
			}
			if len(c.probes[i]) > 0 {
				claimTimes = append(claimTimes, longest.Seconds())
			}
		}
	}
	for kind, n := range c.faultCounts {
		figures["faults_"+kind] = float64(n)
	}
	figures["takeovers"], figures["hand_ons"], figures["leaders_ended"] = float64(len(c.takeovers)), float64(len(c.handOns)), float64(len(claimTimes))
	figures["takeover_p99_s"], figures["hand_on_p99_s"], figures["claim_p99_s"] = p99(c.takeovers), p99(c.handOns), p99(claimTimes)
	figures["takeover_p50_s"], figures["hand_on_p50_s"], figures["claim_p50_s"] = quantile(c.takeovers, 0.5), quantile(c.handOns, 0.5), quantile(claimTimes, 0.5)
	figures["leader_cpu"] = quantile(c.leaderCPU, 0.5)
	return figures
}

func p99(v []float64) float64 { return quantile(v, 0.99) }

// quantile returns the q-quantile of v, which need not be sorted; -1 if v is empty.
func quantile(v []float64, q float64) float64 {
	if len(v) == 0 {
		return -1
	}
	v = slices.Sorted(slices.Values(v))
	return v[min(len(v)-1, int(math.Ceil(q*float64(len(v))))-1)]
}
