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

var crashStates = flag.Int("states", 1200, "states that a crash may leave to be drawn, in all")

// crashRun is a store's drawn life on a disk. At drawn changes of the disk it crashes, and what is left has to hold all that
// was applied, and of the change under way all or nothing.
type crashRun struct {
	t     *testing.T
	power bool // else the process alone ends

	mu        sync.Mutex
	rng       *rand.Rand // of the crashes
	acked     model
	put       []Entry // under way
	remove    []Ref
	remaining int // states to be drawn
	checked   int
	failure   string
}

// afterChange is told of a change of the disk.
func (h *crashRun) afterChange(d *crashdisk.Disk, deep bool, op string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.remaining <= 0 || h.failure != "" || h.rng.IntN(12) > 0 {
		return
	}
	crash := d.Copy
	if h.power {
		crash = func() *crashdisk.Disk { return d.Crash(crashdisk.Draw(h.rng)) }
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
	// The start itself crashes, once, at a change that is drawn.
	var mu sync.Mutex
	var again *crashdisk.Disk
	rng := rand.New(rand.NewPCG(h.rng.Uint64(), 5))
	x.After = func(op, _ string) {
		mu.Lock()
		defer mu.Unlock()
		if again != nil || rng.IntN(8) > 0 {
			return
		}
		if again = x.Copy(); h.power {
			again = x.Crash(crashdisk.Draw(rng))
		}
	}
	h.checkReopen(x, before, after, op)
	if again != nil && h.failure == "" {
		h.checked++
		h.checkReopen(again, before, after, op+", and in the start after it")
	}
}

// checkReopen checks what a start makes of a disk.
func (h *crashRun) checkReopen(d *crashdisk.Disk, before, after model, when string) {
	o := smallOptions(d)
	o.Fsync = h.power
	s, found, err := Open(o)
	if err != nil {
		h.failure = fmt.Sprintf("%s: %v: %s", when, err, d.Text())
		return
	}
	defer s.Close()
	if found.Lost || found.Rebuilt || len(found.Problems) > 0 {
		h.failure = fmt.Sprintf("%s: found %+v: %s", when, found, d.Text())
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
		if rng.IntN(25) == 0 { // the process ends and starts again
			next := d.Copy()
			if h.power {
				h.mu.Lock()
				next = d.Crash(crashdisk.Draw(h.rng))
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

// TestCrashConsistency crashes drawn histories, by a loss of power and by the process's end.
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
