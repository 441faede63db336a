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
func Views(p *plan.Plan, l *ledger.Ledger, fig map[string]float64) {
	by := map[int][]ledger.ViewChange{}
	for _, v := range l.Views {
		by[v.Relay] = append(by[v.Relay], v)
	}
	lives := map[int][]*ledger.Life{}
	for _, x := range l.Lives {
		lives[x.Relay] = append(lives[x.Relay], x)
	}
	index := map[string]int{}
	for r := range p.Relays {
		index[p.Relays[r].Name] = r
	}
	whole := func(r int, from, to time.Duration) bool { // one process of the relay lived through it, and never stood still
		return slices.ContainsFunc(lives[r], func(x *ledger.Life) bool {
			return x.Ready != ledger.Never && x.Ready <= from && (x.End == ledger.Never || x.End >= to) &&
				(x.Asked == ledger.Never || x.Asked >= to) &&
				!slices.ContainsFunc(x.Paused, func(p ledger.Pause) bool { return p.To-p.From > shortPause && p.From < to && p.To > from })
		})
	}
	var killed, left []float64
	for _, x := range l.Lives {
		if x.Asked == ledger.Never || x.End == ledger.Never {
			continue
		}
		name := p.Relays[x.Relay].Name
		for r := range p.Relays {
			if r == x.Relay || !whole(r, x.Asked-2*time.Second, x.End+viewMost) {
				continue
			}
			took := viewMost
			for _, v := range by[r] {
				if v.At >= x.Asked && (slices.Contains(v.Gone, name) || slices.Contains(v.Came, name)) {
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
	for r := range p.Relays {
		ready = max(ready, lives[r][0].Ready)
		i := slices.IndexFunc(by[r], func(v ledger.ViewChange) bool { return v.Present == len(p.Relays) })
		if i < 0 {
			missing++
			continue
		}
		last = max(last, by[r][i].At)
	}
	fig["view_joined_s"], fig["views_never_whole"] = (last - ready).Seconds(), missing
	false_, busiest := 0.0, 0
	for r, vs := range by {
		for i, v := range vs {
			for _, name := range v.Gone {
				if m := index[name]; whole(m, v.At-excuse, v.At) && whole(r, v.At-excuse, v.At) {
					false_++
				}
			}
			n := 0
			for _, w := range vs[i:] {
				if w.At <= v.At+30*time.Second && len(w.Gone)+len(w.Came) > 0 {
					n++
				}
			}
			busiest = max(busiest, n)
		}
	}
	fig["false_removals"], fig["view_changes_30s"] = false_, float64(busiest)
}
