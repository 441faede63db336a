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
	stewardCount = 3
	lease        = 3 * time.Second
	holdersEach  = 8 // holders begin in so many groups, a moment apart
	beginMost    = 20 * time.Second
	holdMost     = 60 * time.Second
	takeoverMost = 60 * time.Second
	holdersRest  = 15 * time.Second // a claim's longest wait: each holder claims once in it
	lookEvery    = 20 * time.Millisecond
	waitShare    = 0.95     // of wishes: the rest is just being made anew
	stewardBase  = 20 << 20 // bytes that a steward holds with nobody to serve, no more
	holderBytes  = 256 << 10
	dutyBytes    = 16 << 10
)

// stewards are three of the stewards' program, with hollow holders in this process.
type stewards struct {
	start   *process.Starter
	all     []*child
	apis    []string
	client  *call.Client
	clients []*call.Client // of the holders
	work    sync.WaitGroup
	stop    context.CancelFunc
}

// newStewards are stewards that have not been started.
func newStewards() (*stewards, error) {
	apis, err := freeAddrs(stewardCount)
	if err != nil {
		return nil, err
	}
	return &stewards{start: process.NewStarter(), apis: apis, client: call.NewClient(apis, nil), stop: func() {}}, nil
}

// begin starts the stewards and returns once they are one cluster.
func (s *stewards) begin(ctx context.Context, env scale.Env) error {
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
	err = until(ctx, "a steward begins", beginMost, 20*time.Millisecond, func() error {
		_, err := s.client.DoAt(ctx, s.apis[0], call.PathBegin, call.Empty{}, &call.JoinOut{}, 2*time.Second)
		var no *call.Refusal
		if errors.As(err, &no) {
			return nil // begun already
		}
		return err
	})
	if err != nil {
		return err
	}
	return until(ctx, "the stewards are one cluster", beginMost, 20*time.Millisecond, func() error {
		_, known, err := s.leader(ctx)
		if err == nil && known < stewardCount {
			err = fmt.Errorf("%d of them", known)
		}
		return err
	})
}

func (s *stewards) launch(program, home string, i int, listen string) error {
	seeds, err := json.Marshal(s.apis)
	if err != nil {
		return fmt.Errorf("fleetslope: %w", err)
	}
	text := fmt.Sprintf("[steward]\nname = \"steward-%d\"\nfleet = \"slope\"\nlisten = %q\napi = %q\ndir = %q\nseeds = %s\n",
		i, listen, s.apis[i], filepath.Join(home, "dir"), seeds)
	path := filepath.Join(home, "settings.toml")
	if err := errors.Join(os.MkdirAll(home, 0o700), os.WriteFile(path, []byte(text), 0o600)); err != nil {
		return fmt.Errorf("fleetslope: %w", err)
	}
	c, err := launch(s.start, home, exec.Command(program, "run", "--config", path))
	if err == nil {
		s.all = append(s.all, c)
	}
	return err
}

// leader is the steward that leads, by its own word, and how many it knows of.
func (s *stewards) leader(ctx context.Context) (leads *child, known int, err error) {
	for i, c := range s.all {
		var out call.StewardsOut
		if _, err := s.client.DoAt(ctx, s.apis[i], call.PathStewards, nil, &out, 0); err != nil {
			continue
		}
		for _, x := range out.Stewards {
			if x.Leader && x.ID == out.Self {
				return c, len(out.Stewards), nil
			}
		}
	}
	return nil, 0, errors.New("no steward leads")
}

// hold has holders want duties: wants gives those of each. They begin within a second or two.
func (s *stewards) hold(ctx context.Context, holders int, wants func(i int) []string, env scale.Env) error {
	ctx, s.stop = context.WithCancel(ctx)
	for i := range holders {
		c := call.NewClient(s.apis, nil)
		s.clients = append(s.clients, c)
		h := holder.New(holder.Config{Client: c, Name: fmt.Sprintf("holder-%05d", i), Lease: lease, Log: env.Log})
		for _, d := range wants(i) {
			h.Register(d, func(ctx context.Context, _ *holder.Term) error { <-ctx.Done(); return nil })
		}
		s.work.Go(func() { h.Run(ctx) })
		if i%holdersEach == holdersEach-1 {
			if err := network.Sleep(ctx, holdersEach*time.Millisecond); err != nil {
				return err
			}
		}
	}
	return nil
}

// held returns nil if a leader says that so many duties are held, under leases that run, and as many wishes for them wait.
func (s *stewards) held(ctx context.Context, duties, waiting int) error {
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

// bytes is what the holders' calls have cost the network so far, both ways.
func (s *stewards) bytes() (sum int64) {
	for _, c := range s.clients {
		sum += c.Bytes()
	}
	return sum
}

func (s *stewards) close() {
	s.stop()
	for _, c := range s.all {
		c.kill()
	}
	s.work.Wait()
	for _, c := range append(s.clients, s.client) {
		c.Close()
	}
	s.start.Stop()
}

var stewardFigures = []scale.Figure{
	{Name: "leader_cores", Unit: "cores", About: "of the steward that leads, at rest"},
	{Name: "leader_bytes_s", Unit: "bytes/s", About: "of the calls of all holders, both ways, at rest; without what stewards tell " +
		"each other"},
	{Name: "leader_resident_bytes", Unit: "bytes", About: "of the steward that leads, at rest"},
	{Name: "takeover_ms", Unit: "ms", About: "from the leader's end by SIGKILL until another says that all duties are held and " +
		"the wishes wait again"},
}

// stewardSlope is what both slopes of stewards have in common. play tells of a size how many holders there are, how many
// duties, and how many wishes of one holder go out at once.
func stewardSlope(s scale.Slope, play func(size int) (holders, duties, wishes int)) scale.Slope {
	s.Seeds, s.Figures = []uint64{1, 2, 3}, stewardFigures
	s.Cost = func(size int) scale.Cost {
		holders, duties, wishes := play(size)
		each := stewardBase + int64(duties)*dutyBytes + int64(holders)*(holderBytes+int64(wishes)*1024)
		return scale.Cost{Memory: stewardCount * each, Processes: stewardCount}
	}
	s.Measure = func(ctx context.Context, size int, seed uint64, env scale.Env) (map[string]float64, error) {
		holders, duties, wishes := play(size)
		if duties > duty.MaxDuties {
			return nil, fmt.Errorf("fleetslope: stewards know %d duties at most", duty.MaxDuties)
		}
		return measureStewards(ctx, holders, duties, wishes, rand.New(rand.NewPCG(seed, uint64(size))), env)
	}
	return s
}

// stewardHolders measures by holders.
func stewardHolders() scale.Slope {
	const duties = 50
	return stewardSlope(scale.Slope{
		Name: "steward-holders",
		About: "three stewards' programs with a disk and hollow holders in one process: 50 duties, of which each holder " +
			"wants one, as a relay does today. A steward takes 2,048 connections, and a holder has two, so that 11,000 don't fit",
		Variable: "hollow holders", Sizes: []int{50, 100, 200, 400, 800}, Small: []int{10, 20, 30, 40, 50},
	}, func(size int) (int, int, int) { return size, min(duties, size), 1 })
}

// stewardDuties measures by duties.
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
	s, err := newStewards()
	if err != nil {
		return nil, err
	}
	defer s.close()
	if err := s.begin(ctx, env); err != nil {
		return nil, err
	}
	first := rng.IntN(duties)
	err = s.hold(ctx, holders, func(i int) (all []string) {
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
	// All that can't be held wait, but for a holder's own and what goes beyond a claim's bound.
	waiting := holders - duties
	if wishes > 1 {
		waiting = holders*wishes - min(duties, holders*wishes)
	}
	settled := func() error { return s.held(ctx, duties, int(waitShare*float64(waiting))) }
	if err := until(ctx, "all duties are held", holdMost, lookEvery, settled); err != nil {
		return nil, err
	}
	leads, _, err := s.leader(ctx)
	if err != nil {
		return nil, err
	}
	cpu, err := processTime(leads.pid())
	if err != nil {
		return nil, err
	}
	began, bytes := time.Now(), s.bytes()
	if err := network.Sleep(ctx, holdersRest); err != nil {
		return nil, err
	}
	after, err := processTime(leads.pid())
	if err != nil {
		return nil, err
	}
	seconds := time.Since(began).Seconds()
	bytes = s.bytes() - bytes
	holds, err := resident(fmt.Sprint(leads.pid()))
	if err != nil {
		return nil, err
	}
	ended := time.Now()
	leads.kill()
	err = until(ctx, "another leader knows all", takeoverMost, lookEvery, settled)
	return map[string]float64{"leader_cores": (after - cpu).Seconds() / seconds, "leader_bytes_s": float64(bytes) / seconds,
		"leader_resident_bytes": holds, "takeover_ms": millis(time.Since(ended))}, err
}
