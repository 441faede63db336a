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

// transientErrnos are the errors with which accept, socket and connect fail temporarily on Linux.
var transientErrnos = []syscall.Errno{syscall.ECONNABORTED, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL,
	syscall.ENETUNREACH, syscall.EINTR, syscall.EPROTO}

// callFaults makes system calls fail, each for a number of times.
type callFaults struct {
	errno     syscall.Errno
	remaining map[sockets.Call]*atomic.Int64
}

func newCallFaults(errno syscall.Errno, times int64, calls ...sockets.Call) *callFaults {
	f := &callFaults{errno, map[sockets.Call]*atomic.Int64{}}
	for _, c := range calls {
		f.remaining[c] = &atomic.Int64{}
		f.remaining[c].Store(times)
	}
	return f
}

func (f *callFaults) Fail(call sockets.Call) syscall.Errno {
	if n := f.remaining[call]; n != nil && n.Add(-1) >= 0 {
		return f.errno
	}
	return 0
}

func (f *callFaults) MaxBytes(n int) int { return n }

// exhausted reports whether all faults have occurred.
func (f *callFaults) exhausted() bool {
	for _, n := range f.remaining {
		if n.Load() > 0 {
			return false
		}
	}
	return true
}

// An accept that fails for lack of a resource that this process cannot free must not close a connection, new or idle,
// whose request may be in transit.
func TestFailedAcceptClosesNoConnection(t *testing.T) {
	for _, errno := range transientErrnos {
		t.Run(errno.Error(), func(t *testing.T) {
			r := newTestRelay(t)
			fault := newCallFaults(errno, 0, sockets.Accept)
			defer sockets.SetFaults(fault)()
			addr := serveTestClients(t, r)
			silentOne, idleOne := dial(t, addr, ""), dial(t, addr, "GET /_health HTTP/1.1\r\nHost: x\r\n\r\n")
			idle := bufio.NewReader(idleOne)
			readResponse(t, idle)
			eventually(t, "both are held", func() bool {
				r.clients.mu.Lock()
				defer r.clients.mu.Unlock()
				return len(r.clients.conns) == 2
			})
			r.clients.mu.Lock()
			for c := range r.clients.conns {
				c.since = c.since.Add(-time.Second) // longer than silentGrace
			}
			r.clients.mu.Unlock()
			fault.remaining[sockets.Accept].Store(5)
			dial(t, addr, "") // makes the relay call accept once more
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
				if res := readResponse(t, c.r); res.Close {
					t.Errorf("%s: the connection closes with its answer", name)
				}
			}
		})
	}
}

// A system call that fails temporarily must not prevent a start.
func TestStartRetriesTransientFailures(t *testing.T) {
	cfg := newTestRelay(t).cfg
	cfg.Admin = "127.0.0.1:0"
	start := func(t *testing.T, cfg Config) {
		t.Helper()
		ctx, cancel := context.WithCancel(t.Context())
		r, err := New(ctx, cfg, discardLogger())
		if err != nil {
			cancel()
			t.Fatalf("the start failed: %v", err)
		}
		done := make(chan error, 1)
		go func() { done <- r.Run(ctx) }()
		defer func() {
			cancel()
			if err := <-done; err != nil {
				t.Errorf("shutdown: %v", err)
			}
		}()
		until := time.After(testTimeout)
		for !r.serving.Load() {
			select {
			case err := <-done:
				done <- err
				t.Fatalf("the start failed: %v", err)
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
				defer sockets.SetFaults(newCallFaults(errno, 3, call))()
				start(t, cfg)
			})
		}
	}
	for _, op := range append(faultdisk.MutatingOps, faultdisk.Read, faultdisk.Names) {
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

// An end that is reported without a record is lost in a restart, which would send the message after all. So the report
// waits while the disk fails. Once the message's deadline has passed, nothing can be sent for it, and its end is
// reported.
func TestEndIsReportedOnceLoggedOrOverdue(t *testing.T) {
	for _, recovers := range []bool{true, false} {
		t.Run(fmt.Sprintf("the disk heals %v", recovers), func(t *testing.T) {
			var failing atomic.Bool
			r := newTestRelayOn(t, func(dir string) disk.FS {
				return &faultdisk.Disk{FS: disk.Dir(dir), Fail: func(op faultdisk.Op, _ string) faultdisk.Fault {
					if failing.Load() && op == faultdisk.Write {
						return faultdisk.Fault{Err: syscall.EIO}
					}
					return faultdisk.Fault{}
				}}
			})
			if a := stepSubmissions(r, newSubmission("m1", 7, time.Second))[0]; a.status != http.StatusAccepted {
				t.Fatalf("%+v", a)
			}
			m := r.byTrace["m1"]
			failing.Store(true)
			r.execute([]policy.Action{{Kind: policy.Fail, ID: m.ID}}, nil)
			if len(r.notices.queue) > 0 {
				t.Error("reported before it is in the log")
			}
			if recovers {
				failing.Store(false)
			}
			reportedAt := time.Time{}
			eventually(t, "the end is reported", func() bool {
				r.maintainLog()
				reportedAt = time.Now()
				return len(r.notices.queue) > 0
			})
			late := reportedAt.Sub(m.Deadline)
			if recovers && late > 0 {
				t.Errorf("reported %v after its deadline, although the disk worked again", late)
			}
			if !recovers && (late < 0 || late > 200*time.Millisecond) {
				t.Errorf("reported %v after its deadline", late)
			}
		})
	}
}

// While the disk fails, no call is made, no endpoint is blamed for it, and no call is lost: it is made once the disk
// works again.
func TestCallWaitsForFailingDisk(t *testing.T) {
	var writes atomic.Int64 // number of writes that succeed
	writes.Store(1)
	r := newTestRelayOn(t, func(dir string) disk.FS {
		return &faultdisk.Disk{FS: disk.Dir(dir), Fail: func(op faultdisk.Op, _ string) faultdisk.Fault {
			if op == faultdisk.Write && writes.Add(-1) < 0 {
				return faultdisk.Fault{Err: syscall.ENOSPC}
			}
			return faultdisk.Fault{}
		}}
	})
	in := newSubmission("m1", 7, 5*time.Second)
	r.step([]any{in}) // one write for the message, another for its send
	if a, ok := answered(in); !ok || a.status != http.StatusAccepted {
		t.Errorf("the message is in the log, but its client is answered %+v, %v", a, ok)
	}
	m := r.byTrace["m1"]
	for range 5 {
		r.step(nil)
		r.maintainLog()
	}
	if r.callsOut > 0 || m.sends != 1 || m.outstanding != 1 {
		t.Errorf("while the disk fails: %d calls out, %d sends", r.callsOut, m.sends)
	}
	if n := r.sender.AvoidedRoutes(r.now()); n > 0 {
		t.Errorf("%d endpoints avoided because of the disk", n)
	}
	writes.Store(1000)
	eventually(t, "the call is made", func() bool { r.step(nil); r.maintainLog(); return r.callsOut > 0 })
	if len(m.MayRun) != 1 {
		t.Errorf("recorded %+v", m.MayRun)
	}
}

// Failing connections must delay notices no longer than they last: a notice is late 300 ms after its message's deadline.
func TestNoticesAreSentOnceConnectionsSucceed(t *testing.T) {
	const tries = 8
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		io.Copy(io.Discard, req.Body)
		w.WriteHeader(http.StatusNoContent)
	}))
	defer s.Close()
	failed := make(chan time.Time, tries)
	defer sockets.SetFaults(reportingFaults{newCallFaults(syscall.ENETUNREACH, tries, sockets.Connect), failed})()
	confirmed := make(chan []uint32, 1)
	f := newNoticeSender(discardLogger(), newAgent(addrOf(s)), func(ids []uint32) { confirmed <- ids })
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	f.add(notice{id: 1, ID: "a", Status: "undeliverable"})
	go f.run(ctx)
	select {
	case <-confirmed:
	case <-time.After(2 * testTimeout):
		t.Fatal("never accepted")
	}
	var last time.Time
	for range tries {
		last = <-failed
	}
	if late := time.Since(last); late > 250*time.Millisecond {
		t.Errorf("accepted %v after the last connection failed", late)
	}
}

// reportingFaults reports the time of each failure.
type reportingFaults struct {
	*callFaults
	failed chan time.Time
}

func (f reportingFaults) Fail(call sockets.Call) syscall.Errno {
	errno := f.callFaults.Fail(call)
	if errno != 0 {
		f.failed <- time.Now()
	}
	return errno
}

// A call to discovery that fails on this machine causes discovery no work and says nothing about it. In a fleet of any
// size the next call must follow at once, or the agent's news in the meantime is missed.
func TestLocalFailureRetriesWatchSoon(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL, syscall.ENETUNREACH,
		syscall.ECONNABORTED} {
		const tries = 20
		fault := newCallFaults(errno, tries, sockets.Connect)
		restore := sockets.SetFaults(fault)
		ctx, cancel := context.WithCancel(t.Context())
		var longest time.Duration
		w := watcher{
			log: discardLogger(), agent: newAgent("127.0.0.1:1"), timeout: testTimeout, fleetSize: 300, random: func() float64 { return 1 }, now: time.Now,
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
			t.Errorf("%v: the next call follows %v after a local failure", errno, longest)
		}
	}
}
