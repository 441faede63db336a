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
	t         *testing.T
	powerLoss bool // simulate a loss of power; otherwise only the end of the process

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
func (r *crashRun) afterChange(d *crashdisk.Disk, deep bool, op string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.remaining <= 0 || r.failure != "" || r.rng.IntN(12) > 0 {
		return
	}
	crash := d.AfterKill
	if r.powerLoss {
		crash = func() *crashdisk.Disk { return d.Crash(crashdisk.KeepRandom(r.rng)) }
	}
	x := crash()
	before, after := r.acked, maps.Clone(r.acked)
	after.apply(r.put, r.remove)
	r.remaining--
	r.checked++
	if !deep {
		r.checkReopen(x, before, after, op)
		return
	}
	// Opening the store crashes too, once, at a random change of the disk.
	var mu sync.Mutex
	var again *crashdisk.Disk
	rng := rand.New(rand.NewPCG(r.rng.Uint64(), 5))
	x.After = func(op, _ string) {
		mu.Lock()
		defer mu.Unlock()
		if again != nil || rng.IntN(8) > 0 {
			return
		}
		if again = x.AfterKill(); r.powerLoss {
			again = x.Crash(crashdisk.KeepRandom(rng))
		}
	}
	r.checkReopen(x, before, after, op)
	if again != nil && r.failure == "" {
		r.checked++
		r.checkReopen(again, before, after, op+", and while opening the store after it")
	}
}

// checkReopen opens the store on a disk and compares it with the model before and after the change in progress.
func (r *crashRun) checkReopen(d *crashdisk.Disk, before, after model, when string) {
	o := smallOptions(d)
	o.Fsync = r.powerLoss
	s, found, err := Open(o)
	if err != nil {
		r.failure = fmt.Sprintf("%s: %v: %s", when, err, d.Listing())
		return
	}
	defer s.Close()
	if found.Lost || found.Rebuilt || len(found.Problems) > 0 {
		r.failure = fmt.Sprintf("%s: found %+v: %s", when, found, d.Listing())
		return
	}
	if a, b := before.diff(s), after.diff(s); a != "" && b != "" {
		r.failure = fmt.Sprintf("%s: %s; or %s", when, a, b)
	}
}

func (r *crashRun) run(seed uint64, changes int) {
	rng := rand.New(rand.NewPCG(seed, 7))
	var d *crashdisk.Disk
	open := func(on *crashdisk.Disk) *Store {
		d = on
		d.After = func(op, name string) { r.afterChange(on, seed%2 == 0, op+" "+name) }
		o := smallOptions(d)
		o.Fsync = r.powerLoss
		s, _, err := Open(o)
		if err != nil {
			r.t.Fatal(err)
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
		for _, e := range r.acked {
			if rng.IntN(20) == 0 {
				remove = append(remove, e.Ref)
			}
		}
		r.mu.Lock()
		r.put, r.remove = put, remove
		r.mu.Unlock()
		if err := s.Apply(put, remove); err != nil {
			r.t.Fatal(err)
		}
		r.mu.Lock()
		r.acked = maps.Clone(r.acked)
		r.acked.apply(put, remove)
		r.put, r.remove = nil, nil
		wrong, remaining := r.failure, r.remaining
		r.mu.Unlock()
		if wrong != "" {
			r.t.Fatalf("seed %d, change %d: %s", seed, i, wrong)
		}
		if remaining <= 0 {
			break
		}
		if rng.IntN(25) == 0 { // the process is restarted
			next := d.AfterKill()
			if r.powerLoss {
				r.mu.Lock()
				next = d.Crash(crashdisk.KeepRandom(r.rng))
				r.mu.Unlock()
			}
			s.Close()
			s = open(next)
		}
	}
	s.Close()
	if r.failure != "" {
		r.t.Fatalf("seed %d: %s", seed, r.failure)
	}
}

// TestCrashConsistency guards against a crash losing applied changes, applying a change partly, or bringing removed messages
// back. The crashes follow random changes of the disk, and are either a loss of power or the end of the process.
func TestCrashConsistency(t *testing.T) {
	const runs = 8
	for _, powerLoss := range []bool{true, false} {
		t.Run(map[bool]string{true: "power", false: "process"}[powerLoss], func(t *testing.T) {
			checked := 0
			for seed := range uint64(runs) {
				r := &crashRun{t: t, powerLoss: powerLoss, rng: rand.New(rand.NewPCG(seed, 3)), acked: model{},
					remaining: *crashStates / 2 / runs}
				r.run(seed, 100000)
				checked += r.checked
			}
			t.Logf("%d states", checked)
		})
	}
}
