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
	// The classes of messages that are delivered and of messages that are held. Held messages have to live longer than the
	// Retry-After that their destinations send.
	classQuick, classHeld = "order", "held"
	quickLifetime         = 30 * time.Second
	heldLifetime          = 8 * time.Hour

	routesPerDest = 2
	firstVersion  = 1000 // of the list that the relay starts with
	cores         = 2    // limit of the relay
	memoryMB      = 4096 // limit of the relay: high enough not to trigger garbage collections
	// settleTimeout bounds how long the relay may take to reach an expected state.
	settleTimeout = 30 * time.Second
	pollInterval  = 20 * time.Millisecond
)

// Spec describes a relay under test: a real relay in a process of its own, with a stub platform around it.
type Spec struct {
	Healthy int // listed destinations that accept everything
	Down    int // listed destinations that accept nothing
	Held    int // messages held for destinations that are down; those sent before the first answer were attempted
	// Submitted is how many of them are submitted over HTTP; the others are in the log with which the relay starts.
	Submitted int
	// Refused makes the destinations that are down refuse connections, so that each is retried. Otherwise they answer with a
	// Retry-After of hours, and none is attempted after the first answer.
	Refused bool
	// AnswerFrom is the number of calls to destinations that are down from which on these are answered. Earlier ones wait.
	AnswerFrom int64
	// Owed is how many messages for destinations that are down are in the backlog when the relay starts.
	Owed    int
	backlog *backlogConfig
	// Change, unless nil, modifies the relay's configuration before the start.
	Change func(*relay.Config)
}

// harness is a running relay under test with its stub platform.
type harness struct {
	Spec
	*stubPlatform
	*child
	cfg   relay.Config
	rng   *rand.Rand
	loads uint64
	added int // entries added to the list
}

// portCounter numbers the addresses given out by this process, so that each relay has its own ports.
var portCounter atomic.Uint32

// uniqueAddr returns an address that is used only once in this process, on a loopback IP derived from the process ID.
func uniqueAddr() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d:%d", 64+pid>>16&63, pid>>8&255, pid&255, 20000+portCounter.Add(1)%10000)
}

// start starts a relay under test and waits until it holds all messages that it should hold.
func (s Spec) start(ctx context.Context, seed uint64, env scale.Env) (h *harness, err error) {
	h = &harness{Spec: s, rng: rand.New(rand.NewPCG(seed, 0x736c6f7065))}
	if h.stubPlatform, err = newPlatform(ctx, firstVersion, s.AnswerFrom); err != nil {
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

// job returns the job of the relay's process.
func (h *harness) job() job { return job{Relay: &relayJob{Config: h.cfg, Backlog: h.backlog}} }

// shutdown kills the relay and closes the platform.
func (h *harness) shutdown() (err error) {
	if h.child != nil {
		err = h.child.kill()
	}
	return errors.Join(err, h.stubPlatform.close())
}

// configure builds the relay's configuration, with a list that it knows from the start.
func (s Spec) configure(p *stubPlatform, seed uint64, dir string) (c relay.Config, err error) {
	state := filepath.Join(dir, "state")
	if err := os.MkdirAll(state, 0o700); err != nil {
		return c, fmt.Errorf("relayslope: %w", err)
	}
	c = relay.Config{
		Name: "hollow", Listen: uniqueAddr(), Admin: uniqueAddr(), Discovery: p.agentAddr, StateDir: state, Seed: seed,
		// A held message uses some 600 bytes of the log, of which a third may be filled.
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

// entry returns the list entry of route k of destination d. Destinations that are down come after the healthy ones.
func (s Spec) entry(p *stubPlatform, d, k int) entry {
	addr := p.healthyAddr
	if d >= s.Healthy {
		addr = p.downAddr
	}
	return entry{ID: fmt.Sprintf("s-%06x%02x", d, k), Addr: addr, Zone: string(rune('a' + k%2)), Kind: "m1", Cell: d, State: "ready",
		Weight: 500}
}

// listBytes returns the size of the full list as discovery would send it.
func (h *harness) listBytes() (n int) {
	for _, e := range h.cfg.Known.Entries {
		n += len(e) + 1
	}
	return n + len(`{"version":1000,"full":true,"servers":[]}`)
}

// seedLog writes the log of a relay that has accepted n messages and attempted none.
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

// writeLog writes a log of n messages that were accepted and not attempted.
func writeLog(o wal.Options, n int, classAndDest func(i int) (class, dest int)) error {
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
			class, dest := classAndDest(i)
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

// seededRun is the run ID in the traces of messages that were in the log at the start; loads count from 1.
const seededRun = 0

// awaitReady waits until the relay watches the list, holds all messages and was rejected by every destination that is down.
func (h *harness) awaitReady(ctx context.Context) error {
	if err := poll(ctx, "the relay watches the list", func() (bool, error) { return h.hasWatch(), nil }); err != nil {
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
		if err := poll(ctx, "the relay was rejected by each destination that is down", func() (bool, error) { return h.rejected.Load() >= tried, nil }); err != nil {
			return fmt.Errorf("%w: %d of %d", err, h.rejected.Load(), tried)
		}
	}
	return h.awaitHeld(ctx)
}

// awaitHeld waits until the relay holds exactly the expected number of messages.
func (h *harness) awaitHeld(ctx context.Context) error {
	held := int64(0)
	err := poll(ctx, "the relay holds the expected messages", func() (bool, error) {
		x, err := h.telemetry(ctx)
		held = x["relay.current"]
		return held == int64(h.Held+h.Owed), err
	})
	if n := h.notices.Load(); n > 0 {
		err = errors.Join(err, fmt.Errorf("relayslope: %d messages ended with a notice", n))
	}
	if err != nil {
		return fmt.Errorf("%w (%d held, want %d)", err, held, h.Held+h.Owed)
	}
	return nil
}

// telemetry reads the gauges and counters that the relay exposes to operators.
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

// poll calls ok until it returns true or an error, for settleTimeout at most.
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
			return fmt.Errorf("relayslope: timeout after %v waiting until %s", settleTimeout, what)
		case <-time.After(pollInterval):
		}
	}
}

// pinLoop locks the relay's loop to a thread of its own, so that its processor time can be measured. It publishes an unreadable
// entry, and the child locks the thread from which the loop logs about it. The separate thread adds a few microseconds to each
// wake-up of the loop.
func (h *harness) pinLoop(ctx context.Context) error {
	h.publish("no entry")
	return poll(ctx, "the thread of the relay's loop is known", func() (bool, error) {
		s, err := h.query(queryUsage)
		return s.LoopSeen, err
	})
}

// usage is what the relay used during a measurement: elapsed time, and processor time of the process and of the loop.
type usage struct{ wall, cpu, loop time.Duration }

// measureUsage measures what the relay uses while do runs.
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

// sleep waits for d or until ctx ends.
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

// deliverLoad delivers a steady load to healthy destinations, and returns it with what it cost the relay.
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

// loadedDests is the number of destinations of a load.
const loadedDests = 20

// measureChanges publishes n changes of one list entry each, at an interval, and returns what they cost the relay.
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
		// One more change adds a route, which shows in the telemetry when all changes are applied.
		h.added++
		last := h.entry(h.stubPlatform, h.Healthy-1, routesPerDest-1+h.added)
		h.publish(last)
		want := int64(len(h.cfg.Known.Entries) + h.added)
		return poll(ctx, "the relay has applied the changes", func() (bool, error) {
			x, err := h.telemetry(ctx)
			return x["relay.cluster_size"] == want, err
		})
	})
}
