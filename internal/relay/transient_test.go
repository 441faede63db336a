package relay

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"onyxroad.dev/onyxroad/internal/disk"
	"onyxroad.dev/onyxroad/internal/disk/faultdisk"
	"onyxroad.dev/onyxroad/internal/sockets"
	"onyxroad.dev/onyxroad/policy"
)

// momentary are the errors with which Linux lets accept, socket and connect fail for a moment.
var momentary = []syscall.Errno{syscall.ECONNABORTED, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL,
	syscall.ENETUNREACH, syscall.EINTR, syscall.EPROTO}

// failing has calls fail, each a number of times.
type failing struct {
	errno syscall.Errno
	left  map[sockets.Call]*atomic.Int64
}

func newFailing(errno syscall.Errno, times int64, calls ...sockets.Call) *failing {
	f := &failing{errno, map[sockets.Call]*atomic.Int64{}}
	for _, c := range calls {
		f.left[c] = &atomic.Int64{}
		f.left[c].Store(times)
	}
	return f
}

func (f *failing) Fail(call sockets.Call) syscall.Errno {
	if n := f.left[call]; n != nil && n.Add(-1) >= 0 {
		return f.errno
	}
	return 0
}

func (f *failing) Most(n int) int { return n }

// exhausted tells whether all calls that were to fail have.
func (f *failing) exhausted() bool {
	for _, n := range f.left {
		if n.Load() > 0 {
			return false
		}
	}
	return true
}

// An accept that fails for want of what this process can't give back is no reason to close a connection whose request is on its
// way, be it new or idle.
func TestAFailedAcceptClosesNoConnection(t *testing.T) {
	for _, errno := range momentary {
		t.Run(errno.Error(), func(t *testing.T) {
			r := newTestRelay(t)
			fault := newFailing(errno, 0, sockets.Accept)
			defer sockets.SetFaults(fault)()
			addr := door(t, r)
			silentOne, idleOne := dial(t, addr, ""), dial(t, addr, "GET /_health HTTP/1.1\r\nHost: x\r\n\r\n")
			idle := bufio.NewReader(idleOne)
			read(t, idle)
			eventually(t, "both are held", func() bool {
				r.clients.mu.Lock()
				defer r.clients.mu.Unlock()
				return len(r.clients.conns) == 2
			})
			r.clients.mu.Lock()
			for c := range r.clients.conns {
				c.since = c.since.Add(-time.Second) // longer than a silent one is spared
			}
			r.clients.mu.Unlock()
			fault.left[sockets.Accept].Store(5)
			dial(t, addr, "") // has accept be called once more
			dial(t, addr, "")
			eventually(t, "accept has failed", fault.exhausted)
			for name, c := range map[string]struct {
				r *bufio.Reader
				w interface{ Write([]byte) (int, error) }
			}{"silent": {bufio.NewReader(silentOne), silentOne}, "idle": {idle, idleOne}} {
				if _, err := fmt.Fprint(c.w, "GET /_health HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
					t.Errorf("%s: %v", name, err)
					continue
				}
				if res := read(t, c.r); res.Close {
					t.Errorf("%s: the connection ends with its answer", name)
				}
			}
		})
	}
}

// No call of a start that fails for a moment may refuse it.
func TestAStartOutlastsCallsThatFailForAMoment(t *testing.T) {
	cfg := newTestRelay(t).cfg
	cfg.Admin = "127.0.0.1:0"
	start := func(t *testing.T, cfg Config) {
		t.Helper()
		ctx, cancel := context.WithCancel(t.Context())
		r, err := New(ctx, cfg, quiet())
		if err != nil {
			cancel()
			t.Fatalf("refused: %v", err)
		}
		done := make(chan error, 1)
		go func() { done <- r.Run(ctx) }()
		defer func() {
			cancel()
			if err := <-done; err != nil {
				t.Errorf("the end: %v", err)
			}
		}()
		until := time.After(testTimeout)
		for !r.serving.Load() {
			select {
			case err := <-done:
				done <- err
				t.Fatalf("refused: %v", err)
			case <-until:
				t.Fatal("never ready")
			case <-time.After(time.Millisecond):
			}
		}
	}
	for _, call := range []sockets.Call{sockets.Socket, sockets.Listen} {
		for _, errno := range []syscall.Errno{syscall.ENFILE, syscall.EADDRNOTAVAIL, syscall.EADDRINUSE} {
			t.Run(fmt.Sprint(call, " ", errno), func(t *testing.T) {
				cfg := cfg
				cfg.StateDir = t.TempDir()
				defer sockets.SetFaults(newFailing(errno, 3, call))()
				start(t, cfg)
			})
		}
	}
	for _, op := range append(faultdisk.Changing, faultdisk.Read, faultdisk.Names) {
		for _, errno := range []syscall.Errno{syscall.EIO, syscall.ENOSPC} {
			t.Run(fmt.Sprint(op, " ", errno), func(t *testing.T) {
				t.Parallel()
				cfg := cfg
				cfg.StateDir = t.TempDir()
				var left atomic.Int64
				left.Store(3)
				cfg.Disk = &faultdisk.Disk{FS: disk.Dir(cfg.StateDir), Fail: func(o faultdisk.Op, _ string) faultdisk.Fault {
					if o == op && left.Add(-1) >= 0 {
						return faultdisk.Fault{Err: errno}
					}
					return faultdisk.Fault{}
				}}
				start(t, cfg)
			})
		}
	}
}

// An end that is told without a record is forgotten by a restart, which would send the message after all. While the disk takes
// nothing it waits; once the message's time is up nothing can be sent any more, and it is told.
func TestAnEndIsToldOnceItIsInTheLog(t *testing.T) {
	for _, heals := range []bool{true, false} {
		t.Run(fmt.Sprintf("the disk heals %v", heals), func(t *testing.T) {
			var sick atomic.Bool
			r := newTestRelayOn(t, func(dir string) disk.FS {
				return &faultdisk.Disk{FS: disk.Dir(dir), Fail: func(op faultdisk.Op, _ string) faultdisk.Fault {
					if sick.Load() && op == faultdisk.Write {
						return faultdisk.Fault{Err: syscall.EIO}
					}
					return faultdisk.Fault{}
				}}
			})
			if a := decide(r, newHandIn("m1", 7, time.Second))[0]; a.status != http.StatusAccepted {
				t.Fatalf("%+v", a)
			}
			m := r.traces["m1"]
			sick.Store(true)
			r.execute([]policy.Action{{Kind: policy.Fail, ID: m.ID}}, nil)
			if len(r.finals.queue) > 0 {
				t.Error("told before it is in the log")
			}
			if heals {
				sick.Store(false)
			}
			told := time.Time{}
			eventually(t, "the end is told", func() bool {
				r.maintainLog()
				told = time.Now()
				return len(r.finals.queue) > 0
			})
			late := told.Sub(m.Deadline)
			if heals && late > 0 {
				t.Errorf("told %v after its time, though the disk was well again", late)
			}
			if !heals && (late < 0 || late > 200*time.Millisecond) {
				t.Errorf("told %v after its time", late)
			}
		})
	}
}

// While the disk takes nothing no call is made, no endpoint is blamed for that, and none is lost: once the disk is well again the
// call leaves.
func TestACallWaitsForAFailingDisk(t *testing.T) {
	var writes atomic.Int64 // that succeed
	writes.Store(1)
	r := newTestRelayOn(t, func(dir string) disk.FS {
		return &faultdisk.Disk{FS: disk.Dir(dir), Fail: func(op faultdisk.Op, _ string) faultdisk.Fault {
			if op == faultdisk.Write && writes.Add(-1) < 0 {
				return faultdisk.Fault{Err: syscall.ENOSPC}
			}
			return faultdisk.Fault{}
		}}
	})
	in := newHandIn("m1", 7, 5*time.Second)
	r.step([]any{in}) // one write for the message, another for its send
	if a, ok := answered(in); !ok || a.status != http.StatusAccepted {
		t.Errorf("the message is in the log, and its client is told %+v, %v", a, ok)
	}
	m := r.traces["m1"]
	for range 5 {
		r.step(nil)
		r.maintainLog()
	}
	if r.out > 0 || m.sends != 1 || m.out != 1 {
		t.Errorf("while the disk fails: %d calls out, %d sends", r.out, m.sends)
	}
	if n := r.sender.Avoided(r.now()); n > 0 {
		t.Errorf("%d endpoints avoided for what the disk did", n)
	}
	writes.Store(1000)
	eventually(t, "the call leaves", func() bool { r.step(nil); r.maintainLog(); return r.out > 0 })
	if len(m.MayRun) != 1 {
		t.Errorf("recorded %+v", m.MayRun)
	}
}

// Connections that fail for some seconds hold notices back no longer than that: one is late 300 ms after its message's time.
func TestNoticesLeaveAsSoonAsConnectionsComeUp(t *testing.T) {
	const tries = 8
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		io.Copy(io.Discard, req.Body)
		w.WriteHeader(http.StatusNoContent)
	}))
	defer s.Close()
	failed := make(chan time.Time, tries)
	defer sockets.SetFaults(tellingFaults{newFailing(syscall.ENETUNREACH, tries, sockets.Connect), failed})()
	taken := make(chan []uint32, 1)
	f := newNoticeSender(quiet(), newAgent(addrOf(s)), func(ids []uint32) { taken <- ids })
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	f.add(notice{id: 1, ID: "a", Status: "undeliverable"})
	go f.run(ctx)
	select {
	case <-taken:
	case <-time.After(2 * testTimeout):
		t.Fatal("never taken")
	}
	var last time.Time
	for range tries {
		last = <-failed
	}
	if late := time.Since(last); late > 250*time.Millisecond {
		t.Errorf("taken %v after the last connection failed", late)
	}
}

// tellingFaults tells when calls failed.
type tellingFaults struct {
	*failing
	failed chan time.Time
}

func (f tellingFaults) Fail(call sockets.Call) syscall.Errno {
	errno := f.failing.Fail(call)
	if errno != 0 {
		f.failed <- time.Now()
	}
	return errno
}

// A call to discovery that fails on this machine is no work for discovery, and says nothing of it: the next one comes at once, in a
// fleet of any size, or what the agent has meanwhile is not heeded.
func TestCallsThatFailHerePutOffNoNews(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL, syscall.ENETUNREACH,
		syscall.ECONNABORTED} {
		const tries = 20
		fault := newFailing(errno, tries, sockets.Connect)
		restore := sockets.SetFaults(fault)
		ctx, cancel := context.WithCancel(t.Context())
		var longest time.Duration
		w := watcher{
			log: quiet(), agent: newAgent("127.0.0.1:1"), timeout: testTimeout, fleetSize: 300, random: func() float64 { return 1 }, now: time.Now,
			sleep: func(_ context.Context, d time.Duration) {
				if fault.exhausted() {
					cancel()
					return
				}
				longest = max(longest, d)
			},
		}
		w.run(ctx)
		cancel()
		restore()
		if longest > 150*time.Millisecond {
			t.Errorf("%v: the next call comes %v after one that failed here", errno, longest)
		}
	}
}
