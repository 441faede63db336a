package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

var noon = time.Date(2026, 12, 1, 12, 0, 0, 0, time.UTC)

func proc(name string, incarnation uint64) Process {
	return Process{Name: name, Addr: name + ":1", Incarnation: incarnation, Folder: "f-" + name, State: Serving}
}

func describeMembers(v View) (s string) {
	for _, m := range v.Members {
		s += fmt.Sprintf("%s/%d%s ", m.Name, m.Incarnation, m.Away)
	}
	return s
}

func TestNewestIncarnationWins(t *testing.T) {
	x := NewTracker(proc("a", 5), 3, noon)
	x.ObserveAlive(proc("b", 7), noon)
	if x.ObserveAlive(proc("b", 6), noon) || x.ObserveLost(proc("b", 6), false, noon) {
		t.Error("an older process with the same name changes the view")
	}
	if !x.ObserveAlive(proc("b", 8), noon) || x.ObserveLost(proc("b", 7), false, noon) || x.ObserveAlive(proc("b", 7), noon) {
		t.Error("a superseded process still counts")
	}
	if got := describeMembers(x.View()); got != "a/5 b/8 " {
		t.Error(got)
	}
	// Under this process's own name an older process is ignored and a newer one supersedes it.
	x.ObserveAlive(proc("a", 4), noon)
	if x.View().Superseded {
		t.Error("superseded by an older process")
	}
	x.ObserveAlive(proc("a", 6), noon)
	if !x.View().Superseded {
		t.Error("not superseded by the newer process")
	}
	// Cloned folders started at the same moment: the order of events does not decide which process counts.
	one, two := proc("c", 9), proc("c", 9)
	two.Addr = "elsewhere:1"
	for _, order := range [][]Process{{one, two}, {two, one}} {
		y := NewTracker(proc("a", 5), 3, noon)
		y.ObserveAlive(order[0], noon)
		y.ObserveAlive(order[1], noon)
		if got := y.View().Members[1].Addr; got != "elsewhere:1" && got != one.Addr || got != max(one.Addr, two.Addr) {
			t.Errorf("member at %s", got)
		}
	}
}

func TestAgreement(t *testing.T) {
	x := NewTracker(proc("a", 1), 4, noon)
	now := noon
	want := func(a Agreement, present, mayServe int) {
		t.Helper()
		if v := x.View(); v.Agreement != a || v.Present != present || v.MayServe != mayServe {
			t.Errorf("%s, %d present, %d may serve; want %s, %d, %d", v.Agreement, v.Present, v.MayServe, a, present, mayServe)
		}
	}
	advance := func(d time.Duration) { now = now.Add(d); x.Tick(now) }
	want(Alone, 1, 4)
	for _, n := range []string{"b", "c", "d"} {
		x.ObserveAlive(proc(n, 1), now)
	}
	want(Settling, 4, 4)
	advance(settleTime)
	want(Agreed, 4, 4)
	x.RecordDigest("b", 4711, now)
	want(Settling, 4, 4)
	x.RecordDigest("b", x.View().Digest, now)
	want(Agreed, 4, 4)
	// A member that leaves in order is removed at once, but still counts as serving until the view has settled.
	x.ObserveLost(proc("d", 1), true, now)
	want(Settling, 3, 4)
	advance(settleTime)
	want(Agreed, 3, 3)
	// A member that disappears may be serving until its machine refuses connections.
	x.ObserveLost(proc("c", 1), false, now)
	want(Settling, 2, 3)
	advance(settleTime)
	want(Settling, 2, 3)
	x.RecordProbe("c", true, now)
	advance(settleTime)
	want(Agreed, 2, 2)
	// Two of four members unreachable: a split.
	x.ObserveAlive(proc("c", 2), now)
	x.ObserveAlive(proc("d", 2), now)
	advance(settleTime)
	x.ObserveLost(proc("c", 2), false, now)
	x.ObserveLost(proc("d", 2), false, now)
	want(Split, 2, 4)
	advance(time.Minute)
	want(Split, 2, 4)
	x.ObserveAlive(proc("c", 2), now)
	x.ObserveAlive(proc("d", 2), now)
	advance(settleTime)
	want(Agreed, 4, 4)
	x.ObserveLost(proc("b", 1), false, now)
	x.ObserveLost(proc("c", 2), false, now)
	x.ObserveLost(proc("d", 2), false, now)
	want(Alone, 1, 4)
	advance(forgetAfter)
	if got := describeMembers(x.View()); got != "a/1 " {
		t.Errorf("away members are not forgotten: %s", got)
	}
}

// TestRandomSchedules runs members, network cuts and restarts against trackers whose failure detector is late, reorders
// events and is sometimes wrong. Versions and incarnations must never decrease, and once all members hear each other
// again, they must agree.
func TestRandomSchedules(t *testing.T) {
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 7))
		const n = 6
		now := noon
		live := map[string]Process{}
		trackers := map[string]*Tracker{}
		versions := map[*Tracker]uint64{}
		newest := map[*Tracker]map[string]uint64{}
		cut := map[[2]string]bool{}
		incarnation := uint64(0)
		name := func(i int) string { return string(rune('a' + i)) }
		start := func(i int) {
			incarnation++
			p := proc(name(i), incarnation)
			live[p.Name], trackers[p.Name] = p, NewTracker(p, n, now)
			newest[trackers[p.Name]] = map[string]uint64{}
		}
		check := func() {
			for _, x := range trackers {
				v := x.View()
				if v.Version < versions[x] {
					t.Fatalf("seed %d: version %d after %d", seed, v.Version, versions[x])
				}
				versions[x] = v.Version
				if v.MayServe < v.Present {
					t.Fatalf("seed %d: may serve %d, present %d", seed, v.MayServe, v.Present)
				}
				for _, m := range v.Members {
					if m.Incarnation < newest[x][m.Name] {
						t.Fatalf("seed %d: %s went back to incarnation %d from %d", seed, m.Name, m.Incarnation, newest[x][m.Name])
					}
					newest[x][m.Name] = m.Incarnation
				}
			}
		}
		for i := range n {
			start(i)
		}
		for range 200 {
			now = now.Add(time.Duration(rng.IntN(2000)) * time.Millisecond)
			i, j := name(rng.IntN(n)), name(rng.IntN(n))
			switch rng.IntN(7) {
			case 0:
				start(int(i[0] - 'a'))
			case 1:
				cut[[2]string{i, j}] = !cut[[2]string{i, j}]
			case 2: // the failure detector reports a loss, correctly or not
				trackers[i].ObserveLost(live[j], rng.IntN(4) == 0, now)
			case 3:
				trackers[i].RecordProbe(j, rng.IntN(2) == 0, now)
			case 4:
				trackers[i].RecordDigest(j, trackers[j].View().Digest, now)
			case 5:
				trackers[i].Tick(now)
			default: // gossip, current or stale
				if !cut[[2]string{j, i}] {
					p := live[j]
					p.Incarnation -= uint64(rng.IntN(2)) * min(p.Incarnation-1, uint64(rng.IntN(3)))
					trackers[i].ObserveAlive(p, now)
				}
			}
			check()
		}
		// The network has recovered: every member hears of every other in any order, with late events of old incarnations.
		for range 3 {
			for _, i := range rng.Perm(n) {
				for _, j := range rng.Perm(n) {
					trackers[name(i)].ObserveAlive(live[name(j)], now)
					old := live[name(j)]
					old.Incarnation--
					trackers[name(i)].ObserveLost(old, false, now)
				}
			}
			now = now.Add(digestLifetime)
			for i := range n {
				trackers[name(i)].Tick(now)
			}
			check()
		}
		for i := range n {
			v := trackers[name(i)].View()
			if v.Agreement != Agreed || v.Present != n || v.Digest != trackers["a"].View().Digest {
				t.Fatalf("seed %d: %s sees %s, %s, and a sees %s", seed, name(i), v.Agreement, describeMembers(v), describeMembers(trackers["a"].View()))
			}
		}
	}
}

func TestBeginIncarnation(t *testing.T) {
	dir := t.TempDir()
	folder, one, err := BeginIncarnation(dir, noon)
	if err != nil {
		t.Fatal(err)
	}
	same, two, err := BeginIncarnation(dir, noon.Add(-time.Hour)) // the clock is set back
	if err != nil || same != folder || two <= one {
		t.Errorf("%s/%d after %s/%d, %v", same, two, folder, one, err)
	}
	other, three, err := BeginIncarnation(t.TempDir(), noon.Add(time.Second))
	if err != nil || other == folder || three <= two {
		t.Errorf("emptied folder: %s/%d after %s/%d, %v", other, three, folder, two, err)
	}
}
