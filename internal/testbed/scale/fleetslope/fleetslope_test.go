package fleetslope

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"os"
	"os/exec"
	"sync"
	"sync/atomic"
	"testing"

	"go.uber.org/goleak"

	"onyxroad.dev/onyxroad/internal/membership/gossip"
	"onyxroad.dev/onyxroad/internal/testbed/process"
	"onyxroad.dev/onyxroad/internal/testbed/scale"
)

func testEnv(t *testing.T) scale.Env {
	return scale.Env{Dir: t.TempDir(), Log: slog.New(slog.DiscardHandler)}
}

// checkNoGoroutineLeak reports goroutines that remain. It retries because a probe of the library that runs during its shutdown
// ends within the probe interval only.
func checkNoGoroutineLeak(t *testing.T) {
	t.Helper()
	var err error
	for range 20 {
		if err = goleak.Find(); err == nil {
			return
		}
	}
	t.Error(err)
}

func TestMemberJoinFigures(t *testing.T) {
	defer checkNoGoroutineLeak(t)
	got, err := memberJoin().Measure(t.Context(), 5, 1, testEnv(t))
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range settleFigures {
		if got[f.Name] <= 0 {
			t.Errorf("%s is %v, want more than 0", f.Name, got[f.Name])
		}
	}
	if got["peak_bytes_s"] < got["mean_bytes_s"] || got["peak_cores"] < got["mean_cores"] {
		t.Errorf("peaks below means: %v", got)
	}
}

func TestFailedStartsLeaveNothingRunning(t *testing.T) {
	defer checkNoGoroutineLeak(t)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if _, err := memberLossOne().Measure(ctx, 5, 1, testEnv(t)); !errors.Is(err, context.Canceled) {
		t.Errorf("got %v, want context.Canceled", err)
	}
	if _, err := configListSlope().Measure(t.Context(), 5, 1, testEnv(t)); err == nil {
		t.Error("a relay without a program was measured")
	}
	if _, err := stewardDuties().Measure(t.Context(), 5, 1, testEnv(t)); err == nil {
		t.Error("stewards without a program were measured")
	}
}

func TestChildIsKilled(t *testing.T) {
	defer checkNoGoroutineLeak(t)
	start := process.NewStarter()
	defer start.Stop()
	c, err := launch(start, t.TempDir(), exec.Command("sleep", "60"))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := processCPUTime(c.pid()); err != nil {
		t.Error(err)
	}
	c.kill()
	if c.cmd.ProcessState == nil || c.cmd.ProcessState.Success() {
		t.Errorf("the process was not ended by a signal: %v", c.cmd.ProcessState)
	}
	if _, err := processCPUTime(c.pid()); err == nil {
		t.Error("got the processor time of a process that has ended")
	}
}

// The only seed of a member is a listener that reads everything and closes its own direction at once. The bytes that it reads
// have to be those that the member counted.
func TestCountedBytesEqualReceivedBytes(t *testing.T) {
	defer checkNoGoroutineLeak(t)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var received atomic.Int64
	var conns sync.WaitGroup
	closed := make(chan struct{}, 1)
	conns.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			conns.Go(func() {
				defer c.Close()
				c.(*net.TCPConn).CloseWrite() // the answer is an end of file
				n, err := io.Copy(io.Discard, c)
				if err != nil {
					t.Error(err)
				}
				received.Add(n)
				select {
				case closed <- struct{}{}:
				default:
				}
			})
		}
	})
	f, err := newMemberFleet(1)
	if err != nil {
		t.Fatal(err)
	}
	if err := f.startMember(t.Context(), 0, f.all[0], []string{l.Addr().String()}, gossip.Join, testEnv(t)); err != nil {
		t.Fatal(err)
	}
	<-closed
	if err := f.close(); err != nil {
		t.Error(err)
	}
	l.Close()
	conns.Wait()
	if f.totalBytes() != received.Load() || received.Load() == 0 {
		t.Errorf("%d bytes were counted, %d received", f.totalBytes(), received.Load())
	}
}

func TestSizesBeyondLimitsAreRefused(t *testing.T) {
	limits := scale.Limits{Memory: 11 << 30, Processes: 300}
	for _, s := range Slopes() {
		if err := limits.Check(s, s.Sizes, s.Seeds); err != nil {
			t.Errorf("%s: its own sizes: %v", s.Name, err)
		}
		if err := limits.Check(s, s.Small, s.Seeds); err != nil {
			t.Errorf("%s: its small sizes: %v", s.Name, err)
		}
		huge := append(append([]int(nil), s.Sizes[:4]...), 1<<22)
		if err := limits.Check(s, huge, s.Seeds); err == nil {
			t.Errorf("%s: %d is not refused", s.Name, huge[4])
		}
	}
	if _, err := newMemberFleet(maxMembers + 1); err == nil {
		t.Error("a fleet with more members than addresses was accepted")
	}
}

func TestViewsAgreeNeedsAllLiveMembers(t *testing.T) {
	f, err := newMemberFleet(3)
	if err != nil {
		t.Fatal(err)
	}
	see := func(i int, digest uint64, present int) { f.all[i].lastView.Store(&viewSummary{digest, present}) }
	see(0, 7, 3)
	see(1, 7, 3)
	if f.viewsAgree(3) {
		t.Error("agreed although one member has reported no view")
	}
	see(2, 8, 3)
	if f.viewsAgree(3) {
		t.Error("agreed although one member has another view")
	}
	see(2, 7, 3)
	if !f.viewsAgree(3) || f.viewsAgree(2) {
		t.Error("three equal views: want agreement on 3 members only")
	}
	f.all[2].ended.Store(true)
	see(0, 5, 2)
	see(1, 5, 2)
	if !f.viewsAgree(f.liveCount()) {
		t.Error("the two remaining members have equal views and don't agree")
	}
}

func TestPartitionSeparatesMembers(t *testing.T) {
	c := &partition{}
	if c.separates(memberAddr(0), memberAddr(1)) {
		t.Error("separated before the partition")
	}
	c.groups.Store(partitionGroups)
	for _, x := range []struct {
		from, to  int
		separated bool
	}{{0, 1, true}, {0, 3, false}, {251, 500, false}, {250, 252, true}, {7, 7, false}} {
		if got := c.separates(memberAddr(x.from), memberAddr(x.to)); got != x.separated {
			t.Errorf("separates(%d, %d) is %v", x.from, x.to, got)
		}
	}
	lost := &partitionedTransport{nil, memberAddr(0), c}
	if _, err := lost.WriteTo(make([]byte, 17), memberAddr(1)); err != nil || c.lostBytes.Load() != 17 {
		t.Errorf("%d bytes were dropped, want 17: %v", c.lostBytes.Load(), err)
	}
	if _, err := lost.DialTimeout(memberAddr(1), 0); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("dial into another group: got %v, want os.ErrDeadlineExceeded", err)
	}
}

func TestTrackerAgreesAfterEachChange(t *testing.T) {
	got, err := memberView().Measure(t.Context(), 60, 1, testEnv(t))
	if err != nil || got["heap_bytes"] <= 0 || got["gathered_ms"] != 110 {
		t.Errorf("%v, %v", got, err)
	}
}
