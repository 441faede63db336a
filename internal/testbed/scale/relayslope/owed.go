package relayslope

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"time"

	"onyxroad.dev/onyxroad/internal/backlog"
	"onyxroad.dev/onyxroad/internal/backlog/storage"
	"onyxroad.dev/onyxroad/internal/relay"
	"onyxroad.dev/onyxroad/internal/testbed/scale"
	"onyxroad.dev/onyxroad/internal/wal"
)

// backlogConfig configures the backlog of the relay under test.
type backlogConfig struct {
	Dir    string
	Window int
	Share  float64
	Limit  int64 // bytes
}

const (
	diskPerOwed   = 2000 // bytes of disk for an owed message, at most
	memoryPerOwed = 400  // bytes of memory for an owed message
	owedWindow    = 4096
	owedShare     = 1.0 / 16
	mixedRate     = 1000.0 // messages a second accepted into the backlog, and as many delivered
)

// relayBacklog returns the relay's configuration of the backlog; nil without one.
func (s *backlogConfig) relayBacklog(name string) *relay.Backlog {
	if s == nil {
		return nil
	}
	o := backlog.Options{Dir: s.Dir, Limit: s.Limit, Name: name}
	return &relay.Backlog{Window: s.Window, Share: s.Share, Open: func() (storage.Store, storage.OpenReport, error) {
		store, found, err := backlog.Open(o)
		if err != nil {
			return nil, found, err
		}
		return store, found, nil
	}}
}

// fill writes n messages to the backlog that a relay accepted and has not attempted yet.
func (s *backlogConfig) fill(ctx context.Context, name string, n int, rng *rand.Rand, dest func(i int) int) (err error) {
	store, _, err := backlog.Open(backlog.Options{Dir: s.Dir, Limit: s.Limit, Name: name})
	if err != nil {
		return fmt.Errorf("relayslope: %w", err)
	}
	defer func() { err = errors.Join(err, store.Close()) }()
	const batch = 2000
	until := time.Now().Add(heldLifetime)
	for i := 0; i < n && ctx.Err() == nil; {
		var put []storage.Entry
		for ; len(put) < batch && i < n; i++ {
			trace := fmt.Sprintf("%016x", rng.Uint64())
			body := make([]byte, bodyBytes)
			for k := range body {
				body[k] = byte(rng.Uint32())
			}
			m := &wal.Message{ID: uint32(i + 1), Trace: trace, Key: idempotencyKey(trace), Class: 1, Dest: dest(i),
				Deadline: until.Add(time.Duration(i) * time.Millisecond), Body: body}
			m.Rank = m.Deadline.UnixNano()
			put = append(put, storage.Entry{Ref: storage.Ref{ID: m.ID, Trace: trace, Dest: m.Dest, Rank: m.Rank, Deadline: m.Rank}, Data: wal.Marshal(m)})
		}
		if err := store.Apply(put, nil); err != nil {
			return fmt.Errorf("relayslope: fill the backlog: %w", err)
		}
	}
	return ctx.Err()
}

// owedSlope measures a relay that owes messages on disk.
func owedSlope() scale.Slope {
	return scale.Slope{
		Name: "backlog-owed", Variable: "messages owed",
		About: "a real relay in a process of its own, started on a backlog of messages for 2,000 destinations that told it to wait for hours, " +
			"with a window of 4,096 in memory",
		Sizes: []int{50_000, 100_000, 200_000, 400_000, 800_000}, Small: []int{10_000, 20_000, 30_000, 40_000, 50_000}, Seeds: []uint64{1},
		Figures: []scale.Figure{heapBytes, residentBytes, stepCPU, eventCPU, idleCores, startCPU, startMS,
			{Name: "kill_start_ms", Unit: "ms", About: "time from the process's beginning until clients are let in, after SIGKILL under that"},
			{Name: "disk_bytes", Unit: "bytes", About: "what the backlog takes of the disk"},
			{Name: "both_p99_ms", Unit: "ms", About: "99th percentile, on the clock, of the time from a hand-in to the call at the endpoint, while 1,000 " +
				"messages a second are delivered and 1,000 others are taken on for the disk"},
			{Name: "both_cores", Unit: "cores", About: "processor time of the whole relay in a second of that"}},
		// Besides the relay this counts the testbed, which writes the backlog. The page cache of its files isn't counted.
		Cost: func(n int) scale.Cost { return scale.Cost{Memory: 1<<29 + int64(n)*memoryPerOwed, Processes: 1} },
		Measure: func(ctx context.Context, n int, seed uint64, env scale.Env) (map[string]float64, error) {
			return measureOwed(ctx, Spec{Healthy: healthyCount, Down: 2000, Owed: n}, seed, env)
		},
	}
}

func measureOwed(ctx context.Context, s Spec, seed uint64, env scale.Env) (x map[string]float64, err error) {
	s.backlog = &backlogConfig{Dir: filepath.Join(env.Dir, "backlog"), Window: owedWindow, Share: owedShare, Limit: 1<<30 + int64(s.Owed)*diskPerOwed}
	h, err := s.start(ctx, seed, env)
	if err != nil {
		return nil, err
	}
	defer func() { err = closeRelay(err, h) }()
	if err := h.pinLoop(ctx); err != nil {
		return nil, err
	}
	quiet, err := h.measureUsage(func() error { return sleep(ctx, idleDuration) })
	if err != nil {
		return nil, err
	}
	x = map[string]float64{"start_cpu_ms": millis(h.initial.CPU), "start_ms": millis(h.initial.Wall),
		"idle_cores": quiet.cpu.Seconds() / quiet.wall.Seconds()}
	if err := h.measureLoad(ctx, x, steadyRate, steadyDuration); err != nil {
		return nil, err
	}
	if err := h.measureMixed(ctx, x); err != nil {
		return nil, err
	}
	end, err := h.query(queryHeap)
	if err != nil {
		return nil, err
	}
	x["resident_bytes"], x["heap_bytes"] = float64(end.Resident), float64(end.Heap)
	gauges, err := h.telemetry(ctx)
	x["disk_bytes"] = float64(gauges["relay.backlog.bytes"])
	delete(x, "cores")
	delete(x, "p99_ms")
	if err := h.awaitHeld(ctx); err != nil {
		return nil, err
	}
	// After SIGKILL the relay holds everything again.
	if err := h.child.kill(); err != nil {
		return nil, err
	}
	if h.child, err = startChild(ctx, env.Dir, h.job()); err != nil {
		return nil, err
	}
	x["kill_start_ms"] = millis(h.initial.Wall)
	return x, h.awaitHeld(ctx)
}

// measureMixed measures the relay while it accepts messages into the backlog and delivers others at the same rate.
func (h *harness) measureMixed(ctx context.Context, x map[string]float64) error {
	const n = int(mixedRate) * 3
	h.loads++
	in := newLoad(h.cfg.Listen, h.loads, n, classHeld, heldLifetime, func(i int) int { return h.Healthy + i%h.Down })
	taken := make(chan error, 1)
	go func() { taken <- in.submitAll(ctx, time.Second/time.Duration(mixedRate)) }()
	l, u, err := h.deliverLoad(ctx, mixedRate, time.Duration(n)*time.Second/time.Duration(mixedRate))
	if err = errors.Join(err, <-taken); err != nil {
		return err
	}
	h.Owed += n
	x["both_p99_ms"], x["both_cores"] = l.p99(), u.cpu.Seconds()/u.wall.Seconds()
	return nil
}
