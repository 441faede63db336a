package fleetslope

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"

	"onyxroad.dev/onyxroad/internal/duty"
	"onyxroad.dev/onyxroad/internal/duty/call"
	"onyxroad.dev/onyxroad/internal/duty/holder"
	"onyxroad.dev/onyxroad/internal/testbed/build"
	"onyxroad.dev/onyxroad/internal/testbed/network"
	"onyxroad.dev/onyxroad/internal/testbed/process"
	"onyxroad.dev/onyxroad/internal/testbed/scale"
)

const (
	stewardCount     = 3
	leaseDuration    = 3 * time.Second
	holderBatch      = 8 // holders that start at once; the next batch follows a moment later
	joinTimeout      = 20 * time.Second
	holdTimeout      = 60 * time.Second
	takeoverTimeout  = 60 * time.Second
	restWindow       = 15 * time.Second // the longest wait of a claim: each holder claims once in it
	pollInterval     = 20 * time.Millisecond
	minWaitingShare  = 0.95     // of the wishes: the others are being renewed at any moment
	stewardBaseBytes = 20 << 20 // upper bound in bytes of an idle steward's memory
	holderBytes      = 256 << 10
	dutyBytes        = 16 << 10
)

// stewardCluster is three steward processes, and holders of duties in this process.
type stewardCluster struct {
	starter     *process.Starter
	processes   []*child
	addrs       []string
	client      *call.Client
	clients     []*call.Client // of the holders
	holderRuns  sync.WaitGroup
	stopHolders context.CancelFunc
}

// newStewardCluster returns a cluster that has not been started.
func newStewardCluster() (*stewardCluster, error) {
	apis, err := freeAddrs(stewardCount)
	if err != nil {
		return nil, err
	}
	return &stewardCluster{starter: process.NewStarter(), addrs: apis, client: call.NewClient(apis, nil), stopHolders: func() {}}, nil
}

// startAll starts the stewards and returns when they have formed one cluster.
func (s *stewardCluster) startAll(ctx context.Context, env scale.Env) error {
	listen, err := freeAddrs(stewardCount)
	if err != nil {
		return err
	}
	program, err := filepath.Abs(filepath.Join(env.Build, build.Steward))
	if err != nil {
		return fmt.Errorf("fleetslope: %w", err)
	}
	for i := range stewardCount {
		if err := s.launch(program, filepath.Join(env.Dir, fmt.Sprintf("steward-%d", i)), i, listen[i]); err != nil {
			return err
		}
	}
	err = poll(ctx, "a steward creates the cluster", joinTimeout, 20*time.Millisecond, func() error {
		_, err := s.client.DoAt(ctx, s.addrs[0], call.PathBegin, call.Empty{}, &call.JoinOut{}, 2*time.Second)
		var no *call.Refusal
		if errors.As(err, &no) {
			return nil // the cluster exists already
		}
		return err
	})
	if err != nil {
		return err
	}
	return poll(ctx, "the stewards form one cluster", joinTimeout, 20*time.Millisecond, func() error {
		_, known, err := s.leader(ctx)
		if err == nil && known < stewardCount {
			err = fmt.Errorf("%d stewards have joined", known)
		}
		return err
	})
}

func (s *stewardCluster) launch(program, home string, i int, listen string) error {
	seeds, err := json.Marshal(s.addrs)
	if err != nil {
		return fmt.Errorf("fleetslope: %w", err)
	}
	text := fmt.Sprintf("[steward]\nname = \"steward-%d\"\nfleet = \"slope\"\nlisten = %q\napi = %q\ndir = %q\nseeds = %s\n",
		i, listen, s.addrs[i], filepath.Join(home, "dir"), seeds)
	path := filepath.Join(home, "settings.toml")
	if err := errors.Join(os.MkdirAll(home, 0o700), os.WriteFile(path, []byte(text), 0o600)); err != nil {
		return fmt.Errorf("fleetslope: %w", err)
	}
	c, err := launch(s.starter, home, exec.Command(program, "run", "--config", path))
	if err == nil {
		s.processes = append(s.processes, c)
	}
	return err
}

// leader returns the steward that reports itself as the leader, and the number of stewards that it knows.
func (s *stewardCluster) leader(ctx context.Context) (leads *child, known int, err error) {
	for i, c := range s.processes {
		var out call.StewardsOut
		if _, err := s.client.DoAt(ctx, s.addrs[i], call.PathStewards, nil, &out, 0); err != nil {
			continue
		}
		for _, x := range out.Stewards {
			if x.Leader && x.ID == out.Self {
				return c, len(out.Stewards), nil
			}
		}
	}
	return nil, 0, errors.New("no steward reports itself as the leader")
}

// startHolders starts holders, within a second or two. wants returns the duties that holder i wants.
func (s *stewardCluster) startHolders(ctx context.Context, holders int, wants func(i int) []string, env scale.Env) error {
	ctx, s.stopHolders = context.WithCancel(ctx)
	for i := range holders {
		c := call.NewClient(s.addrs, nil)
		s.clients = append(s.clients, c)
		h := holder.New(holder.Config{Client: c, Name: fmt.Sprintf("holder-%05d", i), Lease: leaseDuration, Log: env.Log})
		for _, d := range wants(i) {
			h.Register(d, func(ctx context.Context, _ *holder.Term) error { <-ctx.Done(); return nil })
		}
		s.holderRuns.Go(func() { h.Run(ctx) })
		if i%holderBatch == holderBatch-1 {
			if err := network.Sleep(ctx, holderBatch*time.Millisecond); err != nil {
				return err
			}
		}
	}
	return nil
}

// checkHeld returns nil if a leader reports at least the given numbers of duties held under unexpired leases and of waiting
// wishes.
func (s *stewardCluster) checkHeld(ctx context.Context, duties, waiting int) error {
	var out call.DutiesOut
	if err := s.client.Do(ctx, call.PathDuties, nil, &out, time.Second); err != nil {
		return err
	}
	held, wait := 0, 0
	for _, d := range out.Duties {
		if d.Holder != "" && d.Left > 0 {
			held++
		}
		wait += d.Waiting
	}
	if held < duties || wait < waiting {
		return fmt.Errorf("%d of %d duties are held, and %d of %d wishes wait", held, duties, wait, waiting)
	}
	return nil
}

// callBytes returns the network traffic of the holders' calls so far, in both directions.
func (s *stewardCluster) callBytes() (sum int64) {
	for _, c := range s.clients {
		sum += c.Bytes()
	}
	return sum
}

func (s *stewardCluster) close() {
	s.stopHolders()
	for _, c := range s.processes {
		c.kill()
	}
	s.holderRuns.Wait()
	for _, c := range append(s.clients, s.client) {
		c.Close()
	}
	s.starter.Stop()
}

var stewardFigures = []scale.Figure{
	{Name: "leader_cores", Unit: "cores", About: "of the steward that leads, at rest"},
	{Name: "leader_bytes_s", Unit: "bytes/s", About: "of the calls of all holders, both ways, at rest; without what stewards tell " +
		"each other"},
	{Name: "leader_resident_bytes", Unit: "bytes", About: "of the steward that leads, at rest"},
	{Name: "takeover_ms", Unit: "ms", About: "from the leader's end by SIGKILL until another says that all duties are held and " +
		"the wishes wait again"},
}

// stewardSlope completes a slope with what both slopes of stewards share. counts returns, for a size, the numbers of holders, of
// duties, and of wishes that one holder sends at once.
func stewardSlope(s scale.Slope, counts func(size int) (holders, duties, wishes int)) scale.Slope {
	s.Seeds, s.Figures = []uint64{1, 2, 3}, stewardFigures
	s.Cost = func(size int) scale.Cost {
		holders, duties, wishes := counts(size)
		each := stewardBaseBytes + int64(duties)*dutyBytes + int64(holders)*(holderBytes+int64(wishes)*1024)
		return scale.Cost{Memory: stewardCount * each, Processes: stewardCount}
	}
	s.Measure = func(ctx context.Context, size int, seed uint64, env scale.Env) (map[string]float64, error) {
		holders, duties, wishes := counts(size)
		if duties > duty.MaxDuties {
			return nil, fmt.Errorf("fleetslope: stewards support %d duties at most", duty.MaxDuties)
		}
		return measureStewards(ctx, holders, duties, wishes, rand.New(rand.NewPCG(seed, uint64(size))), env)
	}
	return s
}

// stewardHolders measures stewards against the number of holders.
func stewardHolders() scale.Slope {
	const duties = 50
	return stewardSlope(scale.Slope{
		Name: "steward-holders",
		About: "three stewards' programs with a disk and hollow holders in one process: 50 duties, of which each holder " +
			"wants one, as a relay does today. A steward takes 2,048 connections, and a holder has two, so that 11,000 don't fit",
		Variable: "hollow holders", Sizes: []int{50, 100, 200, 400, 800}, Small: []int{10, 20, 30, 40, 50},
	}, func(size int) (int, int, int) { return size, min(duties, size), 1 })
}

// stewardDuties measures stewards against the number of duties.
func stewardDuties() scale.Slope {
	const holders = 200
	return stewardSlope(scale.Slope{
		Name: "steward-duties",
		About: "three stewards' programs with a disk and 200 hollow holders in one process, each of which wants all duties. " +
			"300 don't fit: a holder claims up to 128 duties at once, and 32,768 wishes may wait",
		Variable: "duties", Sizes: []int{16, 32, 64, 128, 256, 512}, Small: []int{2, 4, 6, 8, 10},
	}, func(size int) (int, int, int) { return holders, size, min(size, call.MaxWishes) })
}

func measureStewards(ctx context.Context, holders, duties, wishes int, rng *rand.Rand,
	env scale.Env) (map[string]float64, error) {
	s, err := newStewardCluster()
	if err != nil {
		return nil, err
	}
	defer s.close()
	if err := s.startAll(ctx, env); err != nil {
		return nil, err
	}
	first := rng.IntN(duties)
	err = s.startHolders(ctx, holders, func(i int) (all []string) {
		for k := range duties {
			if wishes > 1 || k == (first+i)%duties {
				all = append(all, fmt.Sprintf("duty-%d", k))
			}
		}
		return all
	}, env)
	if err != nil {
		return nil, err
	}
	// All wishes that can't be granted wait, except those for duties that the holder has and those beyond a claim's limit.
	waiting := holders - duties
	if wishes > 1 {
		waiting = holders*wishes - min(duties, holders*wishes)
	}
	settled := func() error { return s.checkHeld(ctx, duties, int(minWaitingShare*float64(waiting))) }
	if err := poll(ctx, "all duties have holders", holdTimeout, pollInterval, settled); err != nil {
		return nil, err
	}
	leads, _, err := s.leader(ctx)
	if err != nil {
		return nil, err
	}
	cpu, err := processCPUTime(leads.pid())
	if err != nil {
		return nil, err
	}
	began, bytes := time.Now(), s.callBytes()
	if err := network.Sleep(ctx, restWindow); err != nil {
		return nil, err
	}
	after, err := processCPUTime(leads.pid())
	if err != nil {
		return nil, err
	}
	seconds := time.Since(began).Seconds()
	bytes = s.callBytes() - bytes
	holds, err := residentBytes(fmt.Sprint(leads.pid()))
	if err != nil {
		return nil, err
	}
	ended := time.Now()
	leads.kill()
	err = poll(ctx, "another leader reports all duties and wishes", takeoverTimeout, pollInterval, settled)
	return map[string]float64{"leader_cores": (after - cpu).Seconds() / seconds, "leader_bytes_s": float64(bytes) / seconds,
		"leader_resident_bytes": holds, "takeover_ms": millis(time.Since(ended))}, err
}
