package audit

import (
	"slices"
	"strings"
	"time"

	"onyxroad.dev/onyxroad/internal/testbed/ledger"
	"onyxroad.dev/onyxroad/internal/testbed/plan"
)

const (
	// viewMost is how long a change of the fleet is looked for in the others' views.
	viewMost = 20 * time.Second
	// excuse is how long after a pause or a restart of a member its removal is no false one.
	excuse = 8 * time.Second
	// shortPause is a pause that excuses nothing.
	shortPause = 1300 * time.Millisecond
)

// Views adds what the relays saw of their fleet: how long a member that was killed, or left in order, stayed in the views of
// those that lived on, in seconds; how long the start took until every view held all; how often a member was removed that
// was there; and how many changes the busiest view had in 30 s.
func Views(p *plan.Plan, l *ledger.Ledger, offset time.Duration, fig map[string]float64) {
	by := map[int][]ledger.ViewChange{}
	for _, v := range l.ViewChanges {
		by[v.Relay] = append(by[v.Relay], v)
	}
	lives := map[int][]*ledger.Process{}
	for _, x := range l.Processes {
		lives[x.Relay] = append(lives[x.Relay], x)
	}
	index := map[string]int{}
	for r := range p.Relays {
		index[p.Relays[r].Name] = r
	}
	whole := func(r int, from, to time.Duration) bool { // one process of the relay lived through it, and never stood still
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
			if r == x.Relay || !whole(r, x.StopSignaled-2*time.Second, x.End+viewMost) {
				continue
			}
			took := viewMost
			for _, v := range by[r] {
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
	// The last to be ready begins the count: until then not all are there.
	ready, last, missing := time.Duration(0), time.Duration(0), 0.0
	for r := range p.Members() {
		ready = max(ready, lives[r][0].Ready)
		i := slices.IndexFunc(by[r], func(v ledger.ViewChange) bool { return v.Present == p.Members() })
		if i < 0 {
			missing++
			continue
		}
		last = max(last, by[r][i].At)
	}
	fig["view_joined_s"], fig["views_never_whole"] = (last - ready).Seconds(), missing
	split(p, by, offset, fig)
	healing := func(at time.Duration) bool { // what comes back then has every reason to
		return slices.ContainsFunc(p.Faults, func(f plan.Fault) bool {
			return (f.Kind == "cut" || f.Kind == "one-way") && offset+f.At+f.For <= at && at <= offset+f.At+f.For+excuse
		})
	}
	fig["view_flaps_30s"] = flaps(by, lives, index, healing)
	false_, busiest := 0.0, 0
	for r, vs := range by {
		for i, v := range vs {
			for _, name := range v.Left {
				if cutOff(p, offset, v.At) {
					continue
				}
				if m := index[name]; whole(m, v.At-excuse, v.At) && whole(r, v.At-excuse, v.At) {
					false_++
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
	fig["false_removals"], fig["view_changes_30s"] = false_, float64(busiest)
}

// cutOff tells whether a fault between relays ran at a moment, or had just ended: who is gone then is gone for a reason.
func cutOff(p *plan.Plan, offset, at time.Duration) bool {
	return slices.ContainsFunc(p.Faults, func(f plan.Fault) bool {
		return (f.Kind == "cut" || f.Kind == "one-way") && offset+f.At <= at && at <= offset+f.At+f.For+excuse
	})
}

// split adds, for the last cut between relays, the share of the relays that said in its time that they are split or alone,
// and the seconds from its end until every view held all again; as long as the run where one never did.
func split(p *plan.Plan, by map[int][]ledger.ViewChange, offset time.Duration, fig map[string]float64) {
	for _, f := range p.Faults {
		if f.Kind != "cut" {
			continue
		}
		from, to := offset+f.At, offset+f.At+f.For
		said, healed := 0.0, time.Duration(0)
		for r := range p.Members() {
			whole, known := true, false
			at := p.Length
			for _, v := range by[r] {
				if v.At > from && v.At <= to {
					known = known || v.Agreement == "split" || v.Agreement == "alone"
				}
				if v.At <= to {
					whole = v.Present == p.Members()
				} else if !whole && v.Present == p.Members() {
					whole, at = true, v.At-to
				} else if v.Present < p.Members() {
					whole = false
				}
			}
			if known {
				said++
			}
			if !whole {
				at = p.Length
			} else if at == p.Length {
				at = 0 // it was whole all the time
			}
			healed = max(healed, at)
		}
		fig["split_known"], fig["view_healed_s"] = said/float64(p.Members()), healed.Seconds()
	}
}

// flaps is how often, in any 30 s, a member came back into one view that had gone from it, without a new start of its own.
func flaps(by map[int][]ledger.ViewChange, lives map[int][]*ledger.Process, index map[string]int, healing func(time.Duration) bool) float64 {
	most := 0
	for _, vs := range by {
		gone, back := map[string]bool{}, map[string][]time.Duration{}
		for _, v := range vs {
			for _, name := range v.Left {
				gone[name] = true
			}
			for _, name := range v.Joined {
				began := slices.ContainsFunc(lives[index[name]], func(x *ledger.Process) bool {
					return x.Start <= v.At && v.At <= x.Start+excuse
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

// Rest adds what a member costs at rest over a relay that is none, in the run's second half: share of a core, MB of memory, and
// bytes a second.
func Rest(p *plan.Plan, l *ledger.Ledger, offset time.Duration, fig map[string]float64) {
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
