package audit

import (
	"testing"
	"time"

	"onyxroad.dev/onyxroad/internal/testbed/experiment"
	"onyxroad.dev/onyxroad/internal/testbed/ledger"
	"onyxroad.dev/onyxroad/internal/testbed/plan"
)

func TestViewFigures(t *testing.T) {
	const s = time.Second
	p := &plan.Plan{Experiment: &experiment.Experiment{}, Length: 60 * s, Relays: []plan.Relay{{Name: "a"}, {Name: "b"}, {Name: "c"}},
		Faults: []plan.Fault{{Kind: "cut", At: 30 * s, For: 10 * s}}}
	life := func(r int, asked, end time.Duration, exit string) *ledger.Process {
		return &ledger.Process{Relay: r, Ready: s, StopSignaled: asked, End: end, Exit: exit}
	}
	l := &ledger.Ledger{Processes: []*ledger.Process{life(0, ledger.Never, ledger.Never, ""), life(1, ledger.Never, ledger.Never, ""),
		life(2, 5*s, 5*s, "signal: killed")}}
	see := func(r int, at time.Duration, present int, agreement string, came, gone []string) {
		l.ViewChanges = append(l.ViewChanges, ledger.ViewChange{Relay: r, At: at, Present: present, Agreement: agreement, Joined: came, Left: gone})
	}
	for r := range 3 {
		see(r, 2*s, 3, "settling", []string{"a", "b", "c"}, nil)
	}
	see(0, 8*s, 2, "settling", nil, []string{"c"})
	see(1, 9*s, 2, "settling", nil, []string{"c"})
	see(0, 20*s, 1, "alone", nil, []string{"b"}) // a false removal: b is running
	see(0, 21*s, 2, "settling", []string{"b"}, nil)
	see(0, 33*s, 1, "alone", nil, []string{"b"}) // during the cut
	see(0, 45*s, 3, "settling", []string{"b", "c"}, nil)
	fig := map[string]float64{}
	ViewFigures(p, l, 0, fig)
	for name, want := range map[string]float64{"view_killed_p99_s": 4, "view_left_p99_s": 0, "view_joined_s": 1, "views_never_whole": 0,
		"false_removals": 1, "split_known": 1.0 / 3, "view_healed_s": 60, "view_flaps_30s": 1} {
		if got := fig[name]; got < want-0.05 || got > want+0.05 {
			t.Errorf("%s: %v, want %v", name, got, want)
		}
	}
}

func TestIdleFigures(t *testing.T) {
	const s = time.Second
	x := &experiment.Experiment{}
	x.Fleet.NonMembers = 1
	p := &plan.Plan{Experiment: x, Length: 20 * s, Relays: make([]plan.Relay, 3)}
	l := &ledger.Ledger{Traffic: []ledger.Traffic{{Relay: 0, From: 10 * s, To: 20 * s, Bytes: 1000}, {Relay: 1, From: 10 * s, To: 15 * s, Bytes: 1500}}}
	for r, used := range []time.Duration{s / 10, s / 5, s / 20} { // members use 0.01 and 0.02 of a core, the other relay 0.005
		for i, at := range []time.Duration{5 * s, 10 * s, 20 * s} {
			l.Samples = append(l.Samples, ledger.Sample{Relay: r, PID: r + 1, At: at, CPU: s + used*time.Duration(i), MemoryMB: float64(20 - 5*(r/2))})
		}
	}
	fig := map[string]float64{}
	IdleFigures(p, l, 0, fig)
	for name, want := range map[string]float64{"member_cpu": 0.01, "member_memory_mb": 5, "member_bytes_s": 200} {
		if got := fig[name]; got < want-1e-9 || got > want+1e-9 {
			t.Errorf("%s: %v, want %v", name, got, want)
		}
	}
}
