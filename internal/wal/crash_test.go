package wal

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"onyxroad.dev/onyxroad/internal/disk/crashdisk"
)

// crashTester runs a log through a random history as a relay would: effects become visible only once they are durable. At every change
// of the disk it emulates a power loss, in every state that this may leave or in random ones, and checks what a start recovers from
// each.
type crashTester struct {
	t        *testing.T
	rng      *rand.Rand
	disk     *crashdisk.Disk
	log      *Log
	notified chan struct{}
	states   *atomic.Int64
	limit    int64

	syncGate sync.RWMutex // while the tester holds it, no sync completes

	mu                  sync.Mutex // guards what follows: promises are not recorded while a state is being checked
	stateRNG            *rand.Rand
	accepted            map[uint32]*Message // acknowledged to the client
	mayRun              map[uint32][]int    // attempts whose first byte may have been sent
	neverRan            map[uint32][]int    // attempts that are known not to have run
	final               map[uint32]Final    // notices that the client was given
	ended               map[uint32]bool
	completed           []*Message // the latest ones whose ends must be remembered
	crashDuringRecovery bool       // also crash during recovery
	finished            bool
}

func newCrashTester(t *testing.T, seed uint64, states *atomic.Int64) *crashTester {
	x := &crashTester{t: t, rng: rand.New(rand.NewPCG(seed, 1)), stateRNG: rand.New(rand.NewPCG(seed, 2)), disk: crashdisk.New(),
		notified: make(chan struct{}, 1), states: states, limit: 14_000, accepted: map[uint32]*Message{}, mayRun: map[uint32][]int{},
		neverRan: map[uint32][]int{}, final: map[uint32]Final{}, ended: map[uint32]bool{}, crashDuringRecovery: true}
	x.disk.After = func(op, name string) { x.checkPowerLoss(op + " " + name) }
	x.disk.Fail = func(op, _ string) error {
		if op == "sync" {
			x.syncGate.RLock()
			x.syncGate.RUnlock() //lint:ignore SA2001 waits until the gate opens
		}
		return nil
	}
	x.open()
	return x
}

func (x *crashTester) open() {
	x.t.Helper()
	l, _, err := OpenWith(Options{FS: x.disk, Limit: x.limit, Name: "n3", Format: SegmentFormat, SyncWrites: true, Notify: func() {
		select {
		case x.notified <- struct{}{}:
		default:
		}
	}})
	if err != nil {
		x.t.Fatalf("open: %v", err)
	}
	x.log = l
}

// waitIdle waits until everything written is durable and no snapshot is being written.
func (x *crashTester) waitIdle() {
	s := x.log.backend.(*segmentedLog)
	for {
		s.mu.Lock()
		quiet := !s.snapshotting && (s.durable == s.written || s.failed != nil)
		s.mu.Unlock()
		if quiet {
			return
		}
		<-x.notified
	}
}

// checkPowerLoss checks what a power loss at this point would leave.
func (x *crashTester) checkPowerLoss(when string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.finished {
		return
	}
	n := x.disk.PendingPieces()
	if n <= 6 {
		for i := range uint64(1) << n {
			x.check(x.disk.Crash(crashdisk.KeepBits(i)), when, x.crashDuringRecovery && i%5 == 0)
		}
		return
	}
	for i := range 24 {
		x.check(x.disk.Crash(crashdisk.KeepRandom(x.stateRNG)), when, x.crashDuringRecovery && i == 0)
	}
	x.check(x.disk.AfterKill(), when, false)
}

// check has a start read a folder, and optionally lose power during that.
func (x *crashTester) check(d *crashdisk.Disk, when string, deep bool) {
	x.states.Add(1)
	text := d.Listing()
	if deep {
		first, draw := true, x.stateRNG
		d.After = func(string, string) {
			for range 2 {
				x.check(d.Crash(crashdisk.KeepRandom(draw)), when+", then during recovery", false)
			}
			first = false
		}
		_ = first
	}
	l, found, err := OpenWith(Options{FS: d, Limit: x.limit, Name: "n3", Format: SegmentFormat, SyncWrites: true})
	if err != nil {
		x.t.Errorf("%s, %s: the start failed: %v", when, text, err)
		return
	}
	d.After = nil
	defer l.Close()
	if !found.Report.Intact() {
		x.t.Errorf("%s, %s: %s", when, text, found.Report.Summary())
	}
	live := map[uint32]*Message{}
	for _, m := range found.Messages {
		live[m.ID] = m
		for _, n := range x.mayRun[m.ID] {
			if !slices.Contains(x.neverRan[m.ID], n) && !slices.ContainsFunc(m.MayRun, func(a Attempt) bool { return a.N == n }) {
				x.t.Errorf("%s, %s: message %d may have run in attempt %d, which was not recovered: %+v", when, text, m.ID, n, m.MayRun)
			}
		}
		if m.Attempts < len(x.mayRun[m.ID]) {
			x.t.Errorf("%s: message %d: %d attempts, %d recovered", when, m.ID, len(x.mayRun[m.ID]), m.Attempts)
		}
	}
	for _, m := range x.completed {
		if _, ok := l.Completed(m.Trace); !ok {
			x.t.Errorf("%s, %s: the end of message %d was not recovered", when, text, m.ID)
		}
	}
	for id, m := range x.accepted {
		got := live[id]
		switch {
		case x.ended[id]:
		case got == nil:
			x.t.Errorf("%s, %s: message %d was accepted and is lost", when, text, id)
		case got.Trace != m.Trace || !bytes.Equal(got.Body, m.Body):
			x.t.Errorf("%s: message %d has other content: %+v", when, id, got)
		case got.Final == nil && x.final[id] != Final{}:
			x.t.Errorf("%s, %s: message %d has no final notice although its client was given one", when, text, id)
		}
	}
}

// live returns the live messages in the order of their ids.
func (x *crashTester) live() []*Message { return x.log.messages() }

// step does one operation, or several between two syncs.
func (x *crashTester) step(next *uint32) {
	held := x.rng.IntN(3) == 0
	if held {
		x.syncGate.Lock()
	}
	var promises []func()
	for range 1 + x.rng.IntN(4) {
		ms := x.live()
		pick := func() *Message { return ms[x.rng.IntN(len(ms))] }
		switch k := x.rng.IntN(10); {
		case k < 3 || len(ms) == 0:
			var in []*Message
			for range 1 + x.rng.IntN(3) {
				*next++
				m := message(*next)
				m.Deadline = time.Now().Add(time.Hour)
				m.Body = bytes.Repeat([]byte{byte(*next)}, x.rng.IntN(200))
				in = append(in, m)
			}
			if err := x.log.Accept(in...); errors.Is(err, ErrFull) || errors.Is(err, ErrSlow) {
				for _, m := range ms[:len(ms)/2] {
					x.end(m)
				}
			} else if err != nil {
				x.t.Fatal(err)
			} else {
				promises = append(promises, func() {
					for _, m := range in {
						x.accepted[m.ID] = m
					}
				})
			}
		case k < 6:
			m := pick()
			if m.Final != nil || m.Withdrawn {
				continue
			}
			a := Attempt{N: m.Attempts, Host: "s-1", At: noon}
			if err := x.log.RecordSends(Send{m, a}); errors.Is(err, ErrFull) {
				continue
			} else if err != nil {
				x.t.Fatal(err)
			}
			promises = append(promises, func() { x.mayRun[m.ID] = append(x.mayRun[m.ID], a.N) })
		case k == 6:
			if m := pick(); len(m.MayRun) > 0 {
				n := m.MayRun[len(m.MayRun)-1].N
				x.mu.Lock()
				x.neverRan[m.ID] = append(x.neverRan[m.ID], n)
				x.mu.Unlock()
				x.log.NeverRan(m, n)
			}
		case k == 7:
			if m := pick(); m.Final == nil && !m.Withdrawn {
				f := Final{Deferred: true, Again: time.Second}
				x.log.SetFinal(m, f)
				promises = append(promises, func() { x.final[m.ID] = f })
			}
		case k == 8:
			if m := pick(); x.rng.IntN(2) == 0 {
				x.end(m)
			} else {
				x.mu.Lock()
				x.ended[m.ID] = true
				x.mu.Unlock()
				x.log.Complete(m, Delivered)
				promises = append(promises, func() {
					x.completed = append(x.completed, m)
					x.completed = x.completed[max(0, len(x.completed)-minCompletions/2):]
				})
			}
		default:
			if err := x.log.Flush(); err != nil && !errors.Is(err, ErrFull) {
				x.t.Fatal(err)
			}
		}
	}
	err := x.log.Flush()
	if held {
		x.syncGate.Unlock()
	}
	if err != nil && !errors.Is(err, ErrFull) {
		x.t.Fatal(err)
	}
	x.waitIdle()
	if err == nil {
		x.mu.Lock()
		for _, p := range promises {
			p()
		}
		x.mu.Unlock()
	}
}

func (x *crashTester) end(m *Message) {
	x.mu.Lock()
	x.ended[m.ID] = true
	x.mu.Unlock()
	x.log.End(m)
}

// TestPowerLossKeepsDurableState emulates a power loss in over 100,000 states of random histories.
func TestPowerLossKeepsDurableState(t *testing.T) {
	var states atomic.Int64
	t.Run("histories", func(t *testing.T) {
		for seed := range uint64(10) {
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				t.Parallel()
				x := newCrashTester(t, seed, &states)
				next := uint32(0)
				for i := range 60 {
					x.step(&next)
					switch {
					case t.Failed():
						return
					case i%20 == 13: // the process is killed and restarted
						x.waitIdle()
						x.log.Close()
						x.open()
					case i%20 == 19: // the power fails
						x.waitIdle()
						x.mu.Lock()
						d := x.disk.Crash(crashdisk.KeepRandom(x.stateRNG))
						x.mu.Unlock()
						d.After, d.Fail = x.disk.After, x.disk.Fail
						x.log.Close()
						x.disk = d
						x.open()
					}
				}
				x.mu.Lock()
				x.finished = true
				x.mu.Unlock()
				x.log.Close()
			})
		}
	})
	t.Logf("%d states", states.Load())
	if states.Load() < 100_000 {
		t.Errorf("only %d states", states.Load())
	}
}
