package relayslope

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"onyxroad.dev/onyxroad/internal/relay"
	"onyxroad.dev/onyxroad/internal/testbed/scale"
	"onyxroad.dev/onyxroad/internal/wal"
	"onyxroad.dev/onyxroad/policy"
)

const (
	customer = "acme"
	// Messages that are delivered, and messages that are held. What is held has to be in time for longer than the waits
	// that are told.
	classQuick, classHeld = "order", "held"
	quickLifetime              = 30 * time.Second
	heldLifetime               = 8 * time.Hour

	routesPerDest   = 2
	firstVersion = 1000 // of the list that a relay is started with
	cores        = 2    // that a relay may use
	memoryMB     = 4096 // and its memory: no collection of garbage comes sooner for want of it
	// settleTimeout is how long anything of a hollow relay may take to settle.
	settleTimeout = 30 * time.Second
	pollInterval = 20 * time.Millisecond
)

// Spec is a hollow relay: a real one, in a process of its own, with a platform around it that does next to nothing.
type Spec struct {
	Healthy int // destinations listed that take all
	Down    int // destinations listed that take none
	Held    int // messages held over those that are down, untried but for the first of each destination
	// Submitted is how many of them are handed in by HTTP; the others are in the log that the relay is started on.
	Submitted int
	// Refused has those that are down refuse connections, so that each is tried again and again; else they tell a wait of
	// hours, and each is tried once.
	Refused bool
	// Owed is how many messages lie in the backlog over those that are down when the relay starts, on the shelf.
	Owed  int
	backlog *backlogConfig
	// Change changes the relay's configuration before the start; nil: nothing of it.
	Change func(*relay.Config)
}

// harness is a running harness relay.
type harness struct {
	Spec
	*stubPlatform
	*child
	cfg   relay.Config
	rng   *rand.Rand
	loads uint64
	added int // entries that were added to the list
}

// portCounter counts the hollow relays of this process: each has ports of its own.
var portCounter atomic.Uint32

// uniqueAddr is an uniqueAddr that nobody else in this process has, on a loopback uniqueAddr of the process's own.
func uniqueAddr() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d:%d", 64+pid>>16&63, pid>>8&255, pid&255, 20000+portCounter.Add(1)%10000)
}

// start starts a hollow relay, and waits until it holds all that it is to hold.
func (s Spec) start(ctx context.Context, seed uint64, env scale.Env) (h *harness, err error) {
	h = &harness{Spec: s, rng: rand.New(rand.NewPCG(seed, 0x736c6f7065))}
	if h.stubPlatform, err = newPlatform(ctx, firstVersion); err != nil {
		return nil, err
	}
	defer func() {
		if err != nil {
			err = errors.Join(err, h.shutdown())
			h = nil
		}
	}()
	if s.Refused {
		if err := h.stubPlatform.refuseConnections(); err != nil {
			return h, err
		}
	}
	if h.cfg, err = s.configure(h.stubPlatform, seed, env.Dir); err != nil {
		return h, err
	}
	if s.Change != nil {
		s.Change(&h.cfg)
	}
	if err := h.seedLog(s.Held - s.Submitted); err != nil {
		return h, err
	}
	if s.backlog != nil {
		h.cfg.Segments = true
		if err := s.backlog.fill(ctx, h.cfg.Name, s.Owed, h.rng, func(i int) int { return h.Healthy + i%h.Down }); err != nil {
			return h, err
		}
	}
	if h.child, err = startChild(ctx, env.Dir, h.job()); err != nil {
		return h, err
	}
	return h, h.awaitReady(ctx)
}

// job is what the relay's process is told.
func (h *harness) job() job { return job{Relay: &relayJob{Config: h.cfg, Backlog: h.backlog}} }

// shutdown ends all that the hollow relay is made of.
func (h *harness) shutdown() (err error) {
	if h.child != nil {
		err = h.child.kill()
	}
	return errors.Join(err, h.stubPlatform.close())
}

// configure makes the relay's configuration, with a list that it knows from the start.
func (s Spec) configure(p *stubPlatform, seed uint64, dir string) (c relay.Config, err error) {
	state := filepath.Join(dir, "state")
	if err := os.MkdirAll(state, 0o700); err != nil {
		return c, fmt.Errorf("relayslope: %w", err)
	}
	c = relay.Config{
		Name: "hollow", Listen: uniqueAddr(), Admin: uniqueAddr(), Discovery: p.agentAddr, StateDir: state, Seed: seed,
		// A message held takes some 600 bytes of the log, which may be filled by a third.
		Limits: relay.Limits{Cores: cores, MemoryMB: memoryMB, Sockets: 1024, DiskMB: 64 + float64(s.Held)*4000/1e6},
		Settings: policy.Settings{
			Classes: []policy.Class{
				{Effect: policy.Keyed, Window: 10 * time.Second, Aim: quickLifetime / 3, GiveUp: quickLifetime, Value: 1},
				{Effect: policy.Keyed, Window: 10 * time.Second, Aim: heldLifetime * 3 / 4, GiveUp: heldLifetime, Value: 1},
			},
			Kinds: []policy.Kind{{PerCall: 1}}, Customers: []policy.Customer{{}}, Senders: 1, Slots: 64,
			MaxHeld: 10_000 + 2*s.Held, MaxRetryAfter: 3 * time.Second, WarmWithin: 14 * time.Second, ColdShare: 0.18,
			OverloadFactor: 2, OverloadWindow: 3 * time.Second,
		},
		Classes: []string{classQuick, classHeld}, Customers: []string{customer}, Zones: []string{"a", "b"}, Kinds: []string{"m1"},
		ConnectTimeout: 1500 * time.Millisecond, KeepAlive: 15 * time.Second, Tick: 5 * time.Millisecond, MayDuplicate: true,
		Known: relay.List{Version: firstVersion, Full: true},
	}
	for d := range s.Healthy + s.Down {
		for k := range routesPerDest {
			raw, err := json.Marshal(s.entry(p, d, k))
			if err != nil {
				return c, fmt.Errorf("relayslope: %w", err)
			}
			c.Known.Entries = append(c.Known.Entries, raw)
		}
	}
	return c, nil
}

// entry is a route of a destination in the list. Those that are down come after those that are not.
func (s Spec) entry(p *stubPlatform, d, k int) entry {
	addr := p.healthyAddr
	if d >= s.Healthy {
		addr = p.downAddr
	}
	return entry{ID: fmt.Sprintf("s-%06x%02x", d, k), Addr: addr, Zone: string(rune('a' + k%2)), Kind: "m1", Cell: d, State: "ready",
		Weight: 500}
}

// listBytes is what the whole list weighs as discovery would tell it.
func (h *harness) listBytes() (n int) {
	for _, e := range h.cfg.Known.Entries {
		n += len(e) + 1
	}
	return n + len(`{"version":1000,"full":true,"servers":[]}`)
}

// seedLog writes the log of a relay that has taken n messages on and has tried none.
func (h *harness) seedLog(n int) error {
	if n == 0 {
		return nil
	}
	o := wal.Options{Dir: h.cfg.StateDir, Limit: int64(h.cfg.Limits.DiskMB * 1e6)}
	if h.cfg.Segments {
		o.Format, o.Name = wal.SegmentFormat, h.cfg.Name
	}
	return writeLog(o, n, func(i int) (class, dest int) { return 1, h.Healthy + i%h.Down })
}

// writeLog writes the log of n messages that were taken on and are untried.
func writeLog(o wal.Options, n int, place func(i int) (class, dest int)) error {
	l, _, err := wal.OpenWith(o)
	if err != nil {
		return fmt.Errorf("relayslope: %w", err)
	}
	const batch = 250
	deadline := time.Now().Add(heldLifetime)
	for i := 0; i < n; {
		var ms []*wal.Message
		for ; len(ms) < batch && i < n; i++ {
			trace := formatTrace(seededRun, i)
			class, dest := place(i)
			ms = append(ms, &wal.Message{ID: uint32(i + 1), Trace: trace, Key: idempotencyKey(trace), Class: class, Dest: dest,
				Deadline: deadline, Body: make([]byte, bodyBytes)})
		}
		if err := l.Accept(ms...); err != nil {
			return fmt.Errorf("relayslope: seed the log: %w", errors.Join(err, l.Close()))
		}
	}
	if err := l.Close(); err != nil {
		return fmt.Errorf("relayslope: %w", err)
	}
	return nil
}

// seededRun is in the traces of messages that were in the log at the start; loads count from 1.
const seededRun = 0

// awaitReady waits until the relay follows the list, holds all, and has heard of every destination that is down.
func (h *harness) awaitReady(ctx context.Context) error {
	if err := poll(ctx, "the relay follows the list", func() (bool, error) { return h.hasWatch(), nil }); err != nil {
		return err
	}
	if h.Submitted > 0 {
		h.loads++
		l := newLoad(h.cfg.Listen, h.loads, h.Submitted, classHeld, heldLifetime, func(i int) int { return h.Healthy + i%h.Down })
		if err := l.submitAll(ctx, 0); err != nil {
			return err
		}
	}
	if h.Held+h.Owed > 0 && !h.Refused {
		tried := int64(min(h.Down, h.Held+h.Owed))
		if err := poll(ctx, "each destination that is down has told so", func() (bool, error) { return h.rejected.Load() >= tried, nil }); err != nil {
			return fmt.Errorf("%w: %d of %d", err, h.rejected.Load(), tried)
		}
	}
	return h.awaitHeld(ctx)
}

// awaitHeld waits until the relay awaitHeld what it is to hold, no more and no less.
func (h *harness) awaitHeld(ctx context.Context) error {
	held := int64(0)
	err := poll(ctx, "the relay holds what it is to hold", func() (bool, error) {
		x, err := h.telemetry(ctx)
		held = x["relay.current"]
		return held == int64(h.Held+h.Owed), err
	})
	if n := h.notices.Load(); n > 0 {
		err = errors.Join(err, fmt.Errorf("relayslope: %d messages were ended by a notice", n))
	}
	if err != nil {
		return fmt.Errorf("%w (%d held, to be %d)", err, held, h.Held+h.Owed)
	}
	return nil
}

// telemetry are those that operators read.
func (h *harness) telemetry(ctx context.Context) (map[string]int64, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.cfg.Admin+"/api/telemetry", nil)
	if err != nil {
		return nil, fmt.Errorf("relayslope: %w", err)
	}
	req.Close = true
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, fmt.Errorf("relayslope: figures: %w", err)
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	if err != nil {
		return nil, fmt.Errorf("relayslope: figures: %w", err)
	}
	all := map[string]int64{}
	for line := range strings.Lines(string(data)) {
		name, value, _ := strings.Cut(strings.TrimSpace(line), ":")
		value, _, _ = strings.Cut(value, "|")
		if n, err := strconv.ParseInt(value, 10, 64); err == nil {
			all[name] = n
		}
	}
	return all, nil
}

// poll waits poll something holds.
func poll(ctx context.Context, what string, ok func() (bool, error)) error {
	late := time.NewTimer(settleTimeout)
	defer late.Stop()
	for {
		if yes, err := ok(); yes || err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-late.C:
			return errors.New("relayslope: never: " + what)
		case <-time.After(pollInterval):
		}
	}
}

// pinLoop has the relay's loop keep a thread of its own, so that its processor time can be told: an entry that nobody can read
// has it say where it is. The thread costs a few microseconds more each time that the loop is woken.
func (h *harness) pinLoop(ctx context.Context) error {
	h.publish("no entry")
	return poll(ctx, "the relay's loop is known", func() (bool, error) {
		s, err := h.query(queryUsage)
		return s.LoopSeen, err
	})
}

// usage is what a relay used over a time.
type usage struct{ wall, cpu, loop time.Duration }

// measureUsage tells what the relay uses while do is done.
func (h *harness) measureUsage(do func() error) (u usage, err error) {
	from, err := h.query(queryUsage)
	if err != nil {
		return u, err
	}
	began := time.Now()
	if err := do(); err != nil {
		return u, err
	}
	u.wall = time.Since(began)
	to, err := h.query(queryUsage)
	u.cpu, u.loop = to.CPU-from.CPU, to.Loop-from.Loop
	return u, err
}

// sleep lets a time pass.
func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// deliverLoad has a steady load delivered to destinations that take all, and returns it with what it cost the relay.
func (h *harness) deliverLoad(ctx context.Context, rate float64, d time.Duration) (*load, usage, error) {
	h.loads++
	offset := h.rng.IntN(h.Healthy)
	l := newLoad(h.cfg.Listen, h.loads, int(rate*d.Seconds()), classQuick, quickLifetime, func(i int) int { return (offset + i) % min(h.Healthy, loadedDests) })
	h.load.Store(l)
	defer h.load.Store(nil)
	u, err := h.measureUsage(func() error {
		if err := l.submitAll(ctx, time.Duration(float64(time.Second)/rate)); err != nil {
			return err
		}
		return l.awaitDelivered(ctx)
	})
	return l, u, err
}

// loadedDests is to how many destinations a load goes.
const loadedDests = 20

// measureChanges has one entry of the list change n times, and returns what that costs the relay.
func (h *harness) measureChanges(ctx context.Context, n int, each time.Duration) (usage, error) {
	return h.measureUsage(func() error {
		for i := range n {
			e := h.entry(h.stubPlatform, h.rng.IntN(h.Healthy), 1)
			e.Weight = 400 + float64(i%2)
			h.publish(e)
			if err := sleep(ctx, each); err != nil {
				return err
			}
		}
		// The last one adds a route, so that it shows when all are taken.
		h.added++
		last := h.entry(h.stubPlatform, h.Healthy-1, routesPerDest-1+h.added)
		h.publish(last)
		want := int64(len(h.cfg.Known.Entries) + h.added)
		return poll(ctx, "the relay has taken the changes", func() (bool, error) {
			x, err := h.telemetry(ctx)
			return x["relay.cluster_size"] == want, err
		})
	})
}
