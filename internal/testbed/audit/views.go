package audit

import (
	"slices"
	"strings"
	"time"

	"onyxroad.dev/onyxroad/internal/testbed/ledger"
	"onyxroad.dev/onyxroad/internal/testbed/plan"
)

const (
	// viewTimeout is how long the other members' views are searched for a change of the fleet.
	viewTimeout = 20 * time.Second
	// removalGrace is how long after a pause or a restart of a member its removal does not count as false.
	removalGrace = 8 * time.Second
	// shortPause is the longest pause that must not lead to a removal.
	shortPause = 1300 * time.Millisecond
)

// ViewFigures adds the figures on membership views: how many seconds a killed or leaving member stayed in the views of the
// surviving members, how long it took at the start until every view was complete, how often a running member was removed,
// and the largest number of changes of one view in 30 s.
func ViewFigures(p *plan.Plan, l *ledger.Ledger, offset time.Duration, fig map[string]float64) {
	changesByRelay := map[int][]ledger.ViewChange{}
	for _, v := range l.ViewChanges {
		changesByRelay[v.Relay] = append(changesByRelay[v.Relay], v)
	}
	lives := map[int][]*ledger.Process{}
	for _, x := range l.Processes {
		lives[x.Relay] = append(lives[x.Relay], x)
	}
	index := map[string]int{}
	for r := range p.Relays {
		index[p.Relays[r].Name] = r
	}
	undisturbed := func(r int, from, to time.Duration) bool { // one process of the relay ran throughout, without a pause
		return slices.ContainsFunc(lives[r], func(x *ledger.Process) bool {
			return x.Ready != ledger.Never && x.Ready <= from && (x.End == ledger.Never || x.End >= to) &&
				(x.StopSignaled == ledger.Never || x.StopSignaled >= to) &&
				!slices.ContainsFunc(x.Pauses, func(p ledger.Pause) bool { return p.To-p.From > shortPause && p.From < to && p.To > from })
		})
	}
	var killed, left []float64
	for _, x := range l.Processes {
		if x.StopSignaled == ledger.Never || x.End == ledger.Never || x.Relay >= p.Members() {
			continue
		}
		name := p.Relays[x.Relay].Name
		for r := range p.Members() {
			if r == x.Relay || !undisturbed(r, x.StopSignaled-2*time.Second, x.End+viewTimeout) {
				continue
			}
			took := viewTimeout
			for _, v := range changesByRelay[r] {
				if v.At >= x.StopSignaled && (slices.Contains(v.Left, name) || slices.Contains(v.Joined, name)) {
					took = max(0, v.At-x.End)
					break
				}
			}
			if strings.Contains(x.Exit, "killed") {
				killed = append(killed, took.Seconds())
			} else {
				left = append(left, took.Seconds())
			}
		}
	}
	slices.Sort(killed)
	slices.Sort(left)
	fig["view_killed_p99_s"], fig["view_left_p99_s"] = quantile(killed, 0.99), quantile(left, 0.99)
	if len(killed) == 0 {
		fig["view_killed_p99_s"] = 0
	}
	if len(left) == 0 {
		fig["view_left_p99_s"] = 0
	}
	// Counted from when the last member is ready, since no view can be complete before.
	ready, last, missing := time.Duration(0), time.Duration(0), 0.0
	for r := range p.Members() {
		ready = max(ready, lives[r][0].Ready)
		i := slices.IndexFunc(changesByRelay[r], func(v ledger.ViewChange) bool { return v.Present == p.Members() })
		if i < 0 {
			missing++
			continue
		}
		last = max(last, changesByRelay[r][i].At)
	}
	fig["view_joined_s"], fig["views_never_whole"] = (last - ready).Seconds(), missing
	splitFigures(p, changesByRelay, offset, fig)
	healing := func(at time.Duration) bool { // members that return then do so because a partition ended
		return slices.ContainsFunc(p.Faults, func(f plan.Fault) bool {
			return (f.Kind == "cut" || f.Kind == "one-way") && offset+f.At+f.For <= at && at <= offset+f.At+f.For+removalGrace
		})
	}
	fig["view_flaps_30s"] = maxFlaps(changesByRelay, lives, index, healing)
	falseRemovals, busiest := 0.0, 0
	for r, vs := range changesByRelay {
		for i, v := range vs {
			for _, name := range v.Left {
				if partitioned(p, offset, v.At) {
					continue
				}
				if m := index[name]; undisturbed(m, v.At-removalGrace, v.At) && undisturbed(r, v.At-removalGrace, v.At) {
					falseRemovals++
				}
			}
			n := 0
			for _, w := range vs[i:] {
				if w.At <= v.At+30*time.Second && len(w.Left)+len(w.Joined) > 0 {
					n++
				}
			}
			busiest = max(busiest, n)
		}
	}
	fig["false_removals"], fig["view_changes_30s"] = falseRemovals, float64(busiest)
}

// partitioned reports whether a fault between relays was active at a time, or had just ended: removals then are justified.
func partitioned(p *plan.Plan, offset, at time.Duration) bool {
	return slices.ContainsFunc(p.Faults, func(f plan.Fault) bool {
		return (f.Kind == "cut" || f.Kind == "one-way") && offset+f.At <= at && at <= offset+f.At+f.For+removalGrace
	})
}

// splitFigures adds, for the last cut between relays, the share of the members that reported themselves as split or alone
// while it lasted, and the seconds from its end until every view was complete again (the run's length if one never was).
func splitFigures(p *plan.Plan, changesByRelay map[int][]ledger.ViewChange, offset time.Duration, fig map[string]float64) {
	for _, f := range p.Faults {
		if f.Kind != "cut" {
			continue
		}
		from, to := offset+f.At, offset+f.At+f.For
		aware, healed := 0.0, time.Duration(0)
		for r := range p.Members() {
			complete, known := true, false
			at := p.Length
			for _, v := range changesByRelay[r] {
				if v.At > from && v.At <= to {
					known = known || v.Agreement == "split" || v.Agreement == "alone"
				}
				if v.At <= to {
					complete = v.Present == p.Members()
				} else if !complete && v.Present == p.Members() {
					complete, at = true, v.At-to
				} else if v.Present < p.Members() {
					complete = false
				}
			}
			if known {
				aware++
			}
			if !complete {
				at = p.Length
			} else if at == p.Length {
				at = 0 // the view was complete all the time
			}
			healed = max(healed, at)
		}
		fig["split_known"], fig["view_healed_s"] = aware/float64(p.Members()), healed.Seconds()
	}
}

// maxFlaps returns the most times in any 30 s that one member returned to one view after a removal, without having restarted.
func maxFlaps(changesByRelay map[int][]ledger.ViewChange, lives map[int][]*ledger.Process, index map[string]int, healing func(time.Duration) bool) float64 {
	most := 0
	for _, vs := range changesByRelay {
		gone, back := map[string]bool{}, map[string][]time.Duration{}
		for _, v := range vs {
			for _, name := range v.Left {
				gone[name] = true
			}
			for _, name := range v.Joined {
				began := slices.ContainsFunc(lives[index[name]], func(x *ledger.Process) bool {
					return x.Start <= v.At && v.At <= x.Start+removalGrace
				})
				if gone[name] && !began && !healing(v.At) {
					back[name] = append(back[name], v.At)
				}
				gone[name] = false
			}
		}
		for _, at := range back {
			for i := range at {
				n := 0
				for _, b := range at[i:] {
					if b <= at[i]+30*time.Second {
						n++
					}
				}
				most = max(most, n)
			}
		}
	}
	return float64(most)
}

// IdleFigures adds what an idle member costs over a relay that is not a member, in the second half of the run: share of a
// core, MB of memory, and bytes per second.
func IdleFigures(p *plan.Plan, l *ledger.Ledger, offset time.Duration, fig map[string]float64) {
	type span struct{ first, last ledger.Sample }
	spans := map[int]*span{}
	memory := map[bool][]float64{}
	for _, s := range l.Samples {
		if s.At < offset+p.Length/2 || s.At > offset+p.Length {
			continue
		}
		if x := spans[s.PID]; x == nil {
			spans[s.PID] = &span{s, s}
		} else {
			x.last = s
		}
		memory[s.Relay < p.Members()] = append(memory[s.Relay < p.Members()], s.MemoryMB)
	}
	cpu, n := map[bool]float64{}, map[bool]float64{}
	for _, x := range spans {
		if took := x.last.At - x.first.At; took > 0 {
			member := x.first.Relay < p.Members()
			cpu[member] += (x.last.CPU - x.first.CPU).Seconds() / took.Seconds()
			n[member]++
		}
	}
	for _, v := range memory {
		slices.Sort(v)
	}
	fig["member_cpu"] = cpu[true]/n[true] - cpu[false]/n[false]
	fig["member_memory_mb"] = quantile(memory[true], 0.5) - quantile(memory[false], 0.5)
	sum := 0.0
	for _, t := range l.Traffic {
		sum += float64(t.Bytes) / (t.To - t.From).Seconds()
	}
	fig["member_bytes_s"] = sum / float64(len(l.Traffic))
}
