package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"onyxroad.dev/onyxroad/internal/disk/tracedisk"
	"onyxroad.dev/onyxroad/internal/testbed/build"
	"onyxroad.dev/onyxroad/internal/wal"
)

type recoveryCmd struct {
	Clients int           `default:"64" help:"Concurrent clients, each sending one message after another."`
	Sync    time.Duration `default:"1ms" help:"Duration of a sync."`
	For     time.Duration `default:"3s" help:"Duration of a run."`
	Plays   int           `default:"3" help:"Runs of each durability, alternately."`
	Least   float64       `default:"0.5" help:"Minimum ratio of the throughput with power durability to that with process durability."`
	Ready   time.Duration `default:"150ms" help:"Maximum start time with a log as large as 3 MB allow."`
	Out     string        `default:"results" help:"Folder for the relay's build."`
}

// Run measures one relay: the cost of durability, and the start time by the size of the log.
func (c *recoveryCmd) Run(ctx context.Context) error {
	root, err := build.FindRoot(".")
	if err != nil {
		return err
	}
	program, revision, err := build.WorkTree(ctx, root, filepath.Join(c.Out, "bin-disk"), "testbed")
	if err != nil {
		return err
	}
	fmt.Printf("revision %s, %d clients, a sync takes %v\n", revision, c.Clients, c.Sync)
	rates := map[string][]float64{}
	for range c.Plays {
		for _, durability := range []string{"process", "power"} {
			rate, times, err := c.throughput(ctx, program, durability)
			if err != nil {
				return err
			}
			rates[durability] = append(rates[durability], rate)
			fmt.Printf("  %-8s %6.0f messages per second, answers p50 %.1f ms, p99 %.1f ms\n", durability, rate,
				float64(times.ValueAtQuantile(50))/1000, float64(times.ValueAtQuantile(99))/1000)
		}
	}
	for _, v := range rates {
		slices.Sort(v)
	}
	ratio := rates["power"][c.Plays/2] / rates["process"][c.Plays/2]
	broken := ratio < c.Least
	fmt.Printf("%s power/process %.2f >= %g (medians)\n", boundLabel(!broken), ratio, c.Least)
	for _, size := range []struct {
		name    string
		diskMB  float64
		full    bool
		bounded bool
	}{{"empty", 3, false, true}, {"3 MB", 3, true, true}, {"64 MB", 64, true, false}} {
		var ready, first []time.Duration
		heldMessages := 0
		for range c.Plays {
			one, err := c.startup(ctx, program, size.diskMB, size.full)
			if err != nil {
				return err
			}
			ready, first, heldMessages = append(ready, one.ready), append(first, one.firstDelivery), one.heldMessages
		}
		slices.Sort(ready)
		slices.Sort(first)
		r, f := ready[c.Plays/2], first[c.Plays/2]
		text := fmt.Sprintf("start with a log of %s, %d messages: ready in %.1f ms, first delivery in %.1f ms", size.name, heldMessages,
			r.Seconds()*1000, f.Seconds()*1000)
		if size.bounded {
			text = fmt.Sprintf("%s %s, ready <= %v", boundLabel(r <= c.Ready), text, c.Ready)
			broken = broken || r > c.Ready
		}
		fmt.Println(text)
	}
	if broken {
		return errBroken
	}
	return nil
}

func boundLabel(ok bool) string {
	if ok {
		return "ok    "
	}
	return "BROKEN"
}

// singleRelay is one relay with an endpoint that answers immediately.
type singleRelay struct {
	dir, addr string
	firstCall chan time.Time // receives the time of the first call at the endpoint
	server    *httptest.Server
	cmd       *exec.Cmd
}

// newSingleRelay starts the endpoint and writes the relay's configuration.
func newSingleRelay(diskMB float64) (*singleRelay, error) {
	dir, err := os.MkdirTemp("", "testbed-")
	if err != nil {
		return nil, err
	}
	x := &singleRelay{dir: dir, firstCall: make(chan time.Time, 1)}
	x.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case x.firstCall <- time.Now():
		default:
		}
		io.Copy(io.Discard, r.Body)
	}))
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	x.addr = l.Addr().String()
	l.Close()
	settings := map[string]any{
		"bounds": map[string]any{"cancel": true, "connect_timeout_ms": 1000, "keepalive_ms": 15000, "max_retry_after_ms": 3000,
			"may_duplicate": true, "open_cap": 200000, "retry_after": true, "send_cap": 8},
		"extra":      map[string]any{"call_slots": 256, "per_call": []int{1}, "separate_routes": []bool{false}},
		"fleet_size": 1, "kinds": []string{"platform"}, "tick_ms": 1, "zones": []string{"a"},
		"rules": map[string]any{"cold_from": 0.2, "fall_ms": 3000, "overload_factor": 2, "warm_within_ms": 14000},
		"services": []map[string]any{{"name": "status", "semantics": "read_like", "group": "all", "goal_time_ms": 3000,
			"give_up_ms": 600000, "repeat_window_ms": 10000, "value": 1}},
		"realms": []map[string]any{{"name": "all", "share": 1}}, "stats": map[string]any{"how": "none"},
	}
	config, err := json.Marshal(map[string]any{
		"name": "n0", "seed": "1", "settings": settings, "listen": x.addr, "discovery": "127.0.0.1:9",
		"limits": map[string]any{"cores": 1, "memory_mb": 512, "sockets": 1024, "disk_mb": diskMB},
		"known": map[string]any{"version": 1, "full": true, "servers": []map[string]any{{"id": "s-1",
			"addr": x.server.Listener.Addr().String(), "zone": "a", "kind": "platform", "cell": 7, "state": "ready", "weight": 1}}},
	})
	if err == nil {
		err = errors.Join(os.Mkdir(filepath.Join(dir, "state"), 0o700), os.WriteFile(filepath.Join(dir, "config.json"), config, 0o600))
	}
	return x, err
}

func (x *singleRelay) close() {
	if x.cmd != nil {
		x.cmd.Process.Kill()
		x.cmd.Wait()
	}
	x.server.CloseClientConnections()
	x.server.Close()
	os.RemoveAll(x.dir)
}

// start starts the relay and returns when it was started and when it reported that it is ready.
func (x *singleRelay) start(ctx context.Context, program, durability string, sync time.Duration) (began, ready time.Time, err error) {
	own := filepath.Join(x.dir, "settings.toml")
	if err := os.WriteFile(own, fmt.Appendf(nil, "[state]\ndurability = %q\n", durability), 0o600); err != nil {
		return began, ready, err
	}
	x.cmd = exec.Command(program)
	x.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	x.cmd.Env = []string{"ROUTER_CONFIG=" + filepath.Join(x.dir, "config.json"), "ROUTER_STATE=" + filepath.Join(x.dir, "state"),
		"IVYGAUGE_CONFIG=" + own, tracedisk.EnvSync + "=" + sync.String()}
	began = time.Now()
	if err := x.cmd.Start(); err != nil {
		return began, ready, err
	}
	for ctx.Err() == nil && time.Since(began) < 30*time.Second {
		res, err := http.Get("http://" + x.addr + "/_health")
		if err == nil {
			res.Body.Close()
			if res.StatusCode == http.StatusOK {
				return began, time.Now(), nil
			}
		}
		time.Sleep(500 * time.Microsecond)
	}
	return began, ready, errors.New("the relay did not become ready")
}

// throughput measures a relay while clients send one message after another.
func (c *recoveryCmd) throughput(ctx context.Context, program, durability string) (rate float64, times *hdrhistogram.Histogram, err error) {
	x, err := newSingleRelay(16)
	if err != nil {
		return 0, nil, err
	}
	defer x.close()
	if _, _, err := x.start(ctx, program, durability, c.Sync); err != nil {
		return 0, nil, err
	}
	times = hdrhistogram.New(1, 60_000_000, 3)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: c.Clients}}
	var workers sync.WaitGroup
	var mu sync.Mutex
	done, refused := 0, 0
	began := time.Now()
	for k := range c.Clients {
		workers.Go(func() {
			for i := 0; time.Since(began) < c.For && ctx.Err() == nil; i++ {
				req, err := http.NewRequest(http.MethodPost, "http://"+x.addr+"/status", bytes.NewReader(make([]byte, 200)))
				if err != nil {
					panic(err) // fixed text: cannot fail
				}
				for name, v := range map[string]string{"X-Trace-Id": fmt.Sprintf("t-%d-%d", k, i), "X-Qos": "status", "X-Customer": "all",
					"Idempotency-Key": "k", "Envelope": "dest=7", "X-Expires-In-Ms": "60000"} {
					req.Header.Set(name, v)
				}
				at := time.Now()
				res, err := client.Do(req)
				if err != nil {
					continue
				}
				res.Body.Close()
				mu.Lock()
				if res.StatusCode == http.StatusAccepted {
					done++
					times.RecordValue(time.Since(at).Microseconds())
				} else {
					refused++
				}
				mu.Unlock()
			}
		})
	}
	workers.Wait()
	if refused > done/100 {
		return 0, nil, fmt.Errorf("%d of %d messages refused", refused, done+refused)
	}
	return float64(done) / time.Since(began).Seconds(), times, ctx.Err()
}

// startResult is the result of one start.
type startResult struct {
	ready, firstDelivery time.Duration
	heldMessages         int
}

// startup measures the start of a relay with a full or an empty log.
func (c *recoveryCmd) startup(ctx context.Context, program string, diskMB float64, full bool) (s startResult, err error) {
	x, err := newSingleRelay(diskMB)
	if err != nil {
		return s, err
	}
	defer x.close()
	if s.heldMessages, err = fillLog(filepath.Join(x.dir, "state"), int64(diskMB*1e6), full); err != nil {
		return s, err
	}
	began, ready, err := x.start(ctx, program, "power", c.Sync)
	if err != nil {
		return s, err
	}
	s.ready = ready.Sub(began)
	select {
	case at := <-x.firstCall:
		s.firstDelivery = at.Sub(began)
	case <-time.After(10 * time.Second):
		return s, errors.New("no message was delivered in 10 s")
	case <-ctx.Done():
		return s, ctx.Err()
	}
	return s, nil
}

// fillLog writes a log with a single message or, if full, as large as the limit allows, with the records that delivered messages
// leave between held ones.
func fillLog(dir string, limit int64, full bool) (held int, err error) {
	l, _, err := wal.OpenWith(wal.Options{Dir: dir, Limit: limit * 9 / 10, Format: wal.SegmentFormat, Name: "n0"})
	if err != nil {
		return 0, err
	}
	for id := uint32(1); id == 1 || full; id++ {
		m := &wal.Message{ID: id, Trace: fmt.Sprintf("held-%d", id), Key: "k", Dest: 7, Deadline: time.Now().Add(time.Minute),
			Body: make([]byte, 200)}
		if err := l.Accept(m); errors.Is(err, wal.ErrFull) {
			break
		} else if err != nil {
			return 0, err
		}
		held++
		if id%3 == 0 {
			// One delivered message for every two that stay in the log.
			if err := l.RecordSends(wal.Send{Message: m, Attempt: wal.Attempt{Host: "s-1", At: time.Now()}}); err != nil {
				return 0, err
			}
			l.End(m)
			held--
		}
	}
	return held, l.Close()
}
