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

// A driver has a log live through a drawn history, as a relay would: effects are let out only once they are durable. At
// every change of the disk it has the power fail, in every state that may leave or in drawn ones, and checks what a start
// makes of each.
type driver struct {
	t      *testing.T
	rng    *rand.Rand
	disk   *crashdisk.Disk
	log    *Log
	told   chan struct{}
	states *atomic.Int64
	limit  int64

	gate sync.RWMutex // held by the driver: no sync comes to its end

	mu       sync.Mutex // guards what follows: promises are made while no state is looked at
	draw     *rand.Rand
	taken    map[uint32]*Message // acknowledged
	ran      map[uint32][]int    // attempts whose first byte may have left
	never    map[uint32][]int    // attempts that are known not to have run
	final    map[uint32]Final    // notices that were told
	ended    map[uint32]bool
	complete []*Message // whose ends are to be remembered, the last ones
	deep     bool       // crashes in mid-recovery are tried too
	finished bool
}

func newDriver(t *testing.T, seed uint64, states *atomic.Int64) *driver {
	x := &driver{t: t, rng: rand.New(rand.NewPCG(seed, 1)), draw: rand.New(rand.NewPCG(seed, 2)), disk: crashdisk.New(),
		told: make(chan struct{}, 1), states: states, limit: 14_000, taken: map[uint32]*Message{}, ran: map[uint32][]int{},
		never: map[uint32][]int{}, final: map[uint32]Final{}, ended: map[uint32]bool{}, deep: true}
	x.disk.After = func(op, name string) { x.powerFails(op + " " + name) }
	x.disk.Fail = func(op, _ string) error {
		if op == "sync" {
			x.gate.RLock()
			x.gate.RUnlock() //lint:ignore SA2001 it waits until the gate opens
		}
		return nil
	}
	x.open()
	return x
}

func (x *driver) open() {
	x.t.Helper()
	l, _, err := OpenWith(Options{FS: x.disk, Limit: x.limit, Name: "n3", Format: Format, Power: true, Told: func() {
		select {
		case x.told <- struct{}{}:
		default:
		}
	}})
	if err != nil {
		x.t.Fatalf("open: %v", err)
	}
	x.log = l
}

// settle waits until all that was written is durable and no snapshot is under way.
func (x *driver) settle() {
	s := x.log.keep.(*segments)
	for {
		s.mu.Lock()
		quiet := !s.renewing && (s.durable == s.written || s.failed != nil)
		s.mu.Unlock()
		if quiet {
			return
		}
		<-x.told
	}
}

// powerFails looks at what a loss of power now would leave.
func (x *driver) powerFails(when string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.finished {
		return
	}
	n := x.disk.Pieces()
	if n <= 6 {
		for i := range uint64(1) << n {
			x.check(x.disk.Crash(crashdisk.Number(i)), when, x.deep && i%5 == 0)
		}
		return
	}
	for i := range 24 {
		x.check(x.disk.Crash(crashdisk.Draw(x.draw)), when, x.deep && i == 0)
	}
	x.check(x.disk.Copy(), when, false)
}

// check has a start read a folder, and perhaps lose power in the middle of that.
func (x *driver) check(d *crashdisk.Disk, when string, deep bool) {
	x.states.Add(1)
	text := d.Text()
	if deep {
		first, draw := true, x.draw
		d.After = func(string, string) {
			for range 2 {
				x.check(d.Crash(crashdisk.Draw(draw)), when+", then in mid-recovery", false)
			}
			first = false
		}
		_ = first
	}
	l, found, err := OpenWith(Options{FS: d, Limit: x.limit, Name: "n3", Format: Format, Power: true})
	if err != nil {
		x.t.Errorf("%s, %s: no start: %v", when, text, err)
		return
	}
	d.After = nil
	defer l.Close()
	if !found.Report.Sound() {
		x.t.Errorf("%s, %s: %s", when, text, found.Report.Words())
	}
	live := map[uint32]*Message{}
	for _, m := range found.Messages {
		live[m.ID] = m
		for _, n := range x.ran[m.ID] {
			if !slices.Contains(x.never[m.ID], n) && !slices.ContainsFunc(m.MayRun, func(a Attempt) bool { return a.N == n }) {
				x.t.Errorf("%s, %s: message %d may have run in attempt %d, and nothing tells: %+v", when, text, m.ID, n, m.MayRun)
			}
		}
		if m.Attempts < len(x.ran[m.ID]) {
			x.t.Errorf("%s: message %d: %d attempts, %d told", when, m.ID, len(x.ran[m.ID]), m.Attempts)
		}
	}
	for _, m := range x.complete {
		if _, ok := l.Completed(m.Trace); !ok {
			x.t.Errorf("%s, %s: the end of message %d is forgotten", when, text, m.ID)
		}
	}
	for id, m := range x.taken {
		got := live[id]
		switch {
		case x.ended[id]:
		case got == nil:
			x.t.Errorf("%s, %s: message %d was taken on, and is lost", when, text, id)
		case got.Trace != m.Trace || !bytes.Equal(got.Body, m.Body):
			x.t.Errorf("%s: message %d is another one: %+v", when, id, got)
		case got.Final == nil && x.final[id] != Final{}:
			x.t.Errorf("%s, %s: message %d was told of its end, and is open", when, text, id)
		}
	}
}

// live lists the messages that are held, by number.
func (x *driver) live() []*Message { return x.log.messages() }

// step does one thing, or several between two syncs.
func (x *driver) step(next *uint32) {
	held := x.rng.IntN(3) == 0
	if held {
		x.gate.Lock()
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
						x.taken[m.ID] = m
					}
				})
			}
		case k < 6:
			m := pick()
			if m.Final != nil || m.Withdrawn {
				continue
			}
			a := Attempt{N: m.Attempts, Host: "s-1", At: noon}
			if err := x.log.Sent(Send{m, a}); errors.Is(err, ErrFull) {
				continue
			} else if err != nil {
				x.t.Fatal(err)
			}
			promises = append(promises, func() { x.ran[m.ID] = append(x.ran[m.ID], a.N) })
		case k == 6:
			if m := pick(); len(m.MayRun) > 0 {
				n := m.MayRun[len(m.MayRun)-1].N
				x.mu.Lock()
				x.never[m.ID] = append(x.never[m.ID], n)
				x.mu.Unlock()
				x.log.NeverRan(m, n)
			}
		case k == 7:
			if m := pick(); m.Final == nil && !m.Withdrawn {
				f := Final{Deferred: true, Again: time.Second}
				x.log.Decide(m, f)
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
					x.complete = append(x.complete, m)
					x.complete = x.complete[max(0, len(x.complete)-completedLeast/2):]
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
		x.gate.Unlock()
	}
	if err != nil && !errors.Is(err, ErrFull) {
		x.t.Fatal(err)
	}
	x.settle()
	if err == nil {
		x.mu.Lock()
		for _, p := range promises {
			p()
		}
		x.mu.Unlock()
	}
}

func (x *driver) end(m *Message) {
	x.mu.Lock()
	x.ended[m.ID] = true
	x.mu.Unlock()
	x.log.End(m)
}

// TestNoCrashStateLosesAPromise has the power fail in over 100,000 states of drawn histories.
func TestNoCrashStateLosesAPromise(t *testing.T) {
	var states atomic.Int64
	t.Run("histories", func(t *testing.T) {
		for seed := range uint64(10) {
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				t.Parallel()
				x := newDriver(t, seed, &states)
				next := uint32(0)
				for i := range 60 {
					x.step(&next)
					switch {
					case t.Failed():
						return
					case i%20 == 13: // the process is killed, and starts again
						x.settle()
						x.log.Close()
						x.open()
					case i%20 == 19: // the power fails
						x.settle()
						x.mu.Lock()
						d := x.disk.Crash(crashdisk.Draw(x.draw))
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
		t.Errorf("%d states alone", states.Load())
	}
}
