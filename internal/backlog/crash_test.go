package backlog

import (
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"sync"
	"testing"

	"onyxroad.dev/onyxroad/internal/disk/crashdisk"
)

var crashStates = flag.Int("states", 1200, "total number of post-crash disk states to check")

// crashRun applies random changes to a store and simulates crashes at random changes of its disk. The disk that a crash leaves
// must hold all applied changes, and the change in progress either completely or not at all.
type crashRun struct {
	t     *testing.T
	power bool // simulate a loss of power; otherwise only the end of the process

	mu        sync.Mutex
	rng       *rand.Rand // picks crash points and states
	acked     model
	put       []Entry // additions of the change in progress
	remove    []Ref
	remaining int // number of states still to check
	checked   int
	failure   string
}

// afterChange is called after each change of the disk.
func (h *crashRun) afterChange(d *crashdisk.Disk, deep bool, op string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.remaining <= 0 || h.failure != "" || h.rng.IntN(12) > 0 {
		return
	}
	crash := d.AfterKill
	if h.power {
		crash = func() *crashdisk.Disk { return d.Crash(crashdisk.KeepRandom(h.rng)) }
	}
	x := crash()
	before, after := h.acked, maps.Clone(h.acked)
	after.apply(h.put, h.remove)
	h.remaining--
	h.checked++
	if !deep {
		h.checkReopen(x, before, after, op)
		return
	}
	// Opening the store crashes too, once, at a random change of the disk.
	var mu sync.Mutex
	var again *crashdisk.Disk
	rng := rand.New(rand.NewPCG(h.rng.Uint64(), 5))
	x.After = func(op, _ string) {
		mu.Lock()
		defer mu.Unlock()
		if again != nil || rng.IntN(8) > 0 {
			return
		}
		if again = x.AfterKill(); h.power {
			again = x.Crash(crashdisk.KeepRandom(rng))
		}
	}
	h.checkReopen(x, before, after, op)
	if again != nil && h.failure == "" {
		h.checked++
		h.checkReopen(again, before, after, op+", and while opening the store after it")
	}
}

// checkReopen opens the store on a disk and compares it with the model before and after the change in progress.
func (h *crashRun) checkReopen(d *crashdisk.Disk, before, after model, when string) {
	o := smallOptions(d)
	o.Fsync = h.power
	s, found, err := Open(o)
	if err != nil {
		h.failure = fmt.Sprintf("%s: %v: %s", when, err, d.Listing())
		return
	}
	defer s.Close()
	if found.Lost || found.Rebuilt || len(found.Problems) > 0 {
		h.failure = fmt.Sprintf("%s: found %+v: %s", when, found, d.Listing())
		return
	}
	if a, b := before.diff(s), after.diff(s); a != "" && b != "" {
		h.failure = fmt.Sprintf("%s: %s; or %s", when, a, b)
	}
}

func (h *crashRun) run(seed uint64, changes int) {
	rng := rand.New(rand.NewPCG(seed, 7))
	var d *crashdisk.Disk
	open := func(on *crashdisk.Disk) *Store {
		d = on
		d.After = func(op, name string) { h.afterChange(on, seed%2 == 0, op+" "+name) }
		o := smallOptions(d)
		o.Fsync = h.power
		s, _, err := Open(o)
		if err != nil {
			h.t.Fatal(err)
		}
		return s
	}
	s := open(crashdisk.New())
	for i := range changes {
		var put []Entry
		var remove []Ref
		for range rng.IntN(8) {
			put = append(put, message(uint32(1+rng.IntN(90)), rng.IntN(5), int64(rng.IntN(30)), int64(rng.IntN(30)), i,
				rng.IntN(3000)))
		}
		for _, e := range h.acked {
			if rng.IntN(20) == 0 {
				remove = append(remove, e.Ref)
			}
		}
		h.mu.Lock()
		h.put, h.remove = put, remove
		h.mu.Unlock()
		if err := s.Apply(put, remove); err != nil {
			h.t.Fatal(err)
		}
		h.mu.Lock()
		h.acked = maps.Clone(h.acked)
		h.acked.apply(put, remove)
		h.put, h.remove = nil, nil
		wrong, remaining := h.failure, h.remaining
		h.mu.Unlock()
		if wrong != "" {
			h.t.Fatalf("seed %d, change %d: %s", seed, i, wrong)
		}
		if remaining <= 0 {
			break
		}
		if rng.IntN(25) == 0 { // the process is restarted
			next := d.AfterKill()
			if h.power {
				h.mu.Lock()
				next = d.Crash(crashdisk.KeepRandom(h.rng))
				h.mu.Unlock()
			}
			s.Close()
			s = open(next)
		}
	}
	s.Close()
	if h.failure != "" {
		h.t.Fatalf("seed %d: %s", seed, h.failure)
	}
}

// TestCrashConsistency guards against a crash losing applied changes, applying a change partly, or bringing removed messages
// back. The crashes follow random changes of the disk, and are either a loss of power or the end of the process.
func TestCrashConsistency(t *testing.T) {
	const histories = 8
	for _, power := range []bool{true, false} {
		t.Run(map[bool]string{true: "power", false: "process"}[power], func(t *testing.T) {
			seen := 0
			for seed := range uint64(histories) {
				h := &crashRun{t: t, power: power, rng: rand.New(rand.NewPCG(seed, 3)), acked: model{},
					remaining: *crashStates / 2 / histories}
				h.run(seed, 100000)
				seen += h.checked
			}
			t.Logf("%d states", seen)
		})
	}
}
