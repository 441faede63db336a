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

// history is a store's drawn life on a disk. At drawn changes of the disk it crashes, and what is left has to hold all that
// was applied, and of the change under way all or nothing.
type history struct {
	t     *testing.T
	power bool // else the process alone ends

	mu     sync.Mutex
	rng    *rand.Rand // of the crashes
	acked  model
	put    []Entry // under way
	remove []Ref
	left   int // states to be drawn
	seen   int
	wrong  string
}

// changed is told of a change of the disk.
func (h *history) changed(d *crashdisk.Disk, deep bool, op string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.left <= 0 || h.wrong != "" || h.rng.IntN(12) > 0 {
		return
	}
	left := d.AfterKill
	if h.power {
		left = func() *crashdisk.Disk { return d.Crash(crashdisk.KeepRandom(h.rng)) }
	}
	x := left()
	before, after := h.acked, maps.Clone(h.acked)
	after.apply(h.put, h.remove)
	h.left--
	h.seen++
	if !deep {
		h.look(x, before, after, op)
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
		if again = x.AfterKill(); h.power {
			again = x.Crash(crashdisk.KeepRandom(rng))
		}
	}
	h.look(x, before, after, op)
	if again != nil && h.wrong == "" {
		h.seen++
		h.look(again, before, after, op+", and in the start after it")
	}
}

// look checks what a start makes of a disk.
func (h *history) look(d *crashdisk.Disk, before, after model, when string) {
	o := small(d)
	o.Power = h.power
	s, found, err := Open(o)
	if err != nil {
		h.wrong = fmt.Sprintf("%s: %v: %s", when, err, d.Listing())
		return
	}
	defer s.Close()
	if found.Lost || found.Rebuilt || len(found.Aside) > 0 {
		h.wrong = fmt.Sprintf("%s: found %+v: %s", when, found, d.Listing())
		return
	}
	if a, b := before.agrees(s), after.agrees(s); a != "" && b != "" {
		h.wrong = fmt.Sprintf("%s: %s; or %s", when, a, b)
	}
}

func (h *history) live(seed uint64, changes int) {
	rng := rand.New(rand.NewPCG(seed, 7))
	var d *crashdisk.Disk
	open := func(on *crashdisk.Disk) *Store {
		d = on
		d.After = func(op, name string) { h.changed(on, seed%2 == 0, op+" "+name) }
		o := small(d)
		o.Power = h.power
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
		wrong, left := h.wrong, h.left
		h.mu.Unlock()
		if wrong != "" {
			h.t.Fatalf("seed %d, change %d: %s", seed, i, wrong)
		}
		if left <= 0 {
			break
		}
		if rng.IntN(25) == 0 { // the process ends and starts again
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
	if h.wrong != "" {
		h.t.Fatalf("seed %d: %s", seed, h.wrong)
	}
}

// TestNoCrashLosesOrBringsBack crashes drawn histories, by a loss of power and by the process's end.
func TestNoCrashLosesOrBringsBack(t *testing.T) {
	const histories = 8
	for _, power := range []bool{true, false} {
		t.Run(map[bool]string{true: "power", false: "process"}[power], func(t *testing.T) {
			seen := 0
			for seed := range uint64(histories) {
				h := &history{t: t, power: power, rng: rand.New(rand.NewPCG(seed, 3)), acked: model{},
					left: *crashStates / 2 / histories}
				h.live(seed, 100000)
				seen += h.seen
			}
			t.Logf("%d states", seen)
		})
	}
}
