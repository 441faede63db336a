package duty

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// A model checker for duties: holders, a sequence of leaders, and a receiver, whose messages are delivered
// independently. It explores every state that can be reached within a number of steps, in any order of the steps. Table
// and Leases are the real code and the fence's rule is the real rule; the model adds the network, time in whole ticks,
// and the behaviour of holders.
//
// Invariants: at most one holder at a time has a lease that is valid by its own clock; epochs increase and have one
// holder each; an effect of a holder with a valid lease is never refused.

const (
	modelLease = 2 // ticks
	modelDuty  = "d"
)

type modelMsg struct {
	kind   string // "renew", "renewed", "granted", "effect"
	holder int
	epoch  uint64
	sent   int
	ok     bool
}

type modelHolder struct {
	claim string // id of the pending claim
	epoch uint64 // epoch of the duty that it may hold; 0: none
	until int    // end of the lease by its own clock
	n     int    // claims so far
}

type world struct {
	now       int
	table     *Table
	leases    *Leases
	term      uint64
	pending   *Command // command in flight of the current leader
	holders   []modelHolder
	msgs      []modelMsg
	highest   uint64 // highest epoch seen by the receiver
	epochs    map[uint64]int
	violation string
}

var modelBegin = time.Unix(1000, 0)

func (w *world) at(t int) time.Time { return modelBegin.Add(time.Duration(t) * time.Second) }

func newWorld(holders int) *world {
	w := &world{table: NewTable(), term: 1, holders: make([]modelHolder, holders), epochs: map[uint64]int{}}
	w.leases = NewLeases(w.table, 1, w.at(0))
	return w
}

// actions returns the names of the actions that are possible in this state.
func (w *world) actions() (all []string) {
	all = append(all, "tick")
	if w.term < 3 {
		all = append(all, "leader")
	}
	if w.pending != nil {
		all = append(all, "commit", "abort")
	}
	for i, h := range w.holders {
		switch {
		case h.epoch == 0 && h.claim == "" && h.n < 2:
			all = append(all, fmt.Sprint("wish", i))
		case h.claim != "":
			all = append(all, fmt.Sprint("pick", i))
		case w.now < h.until:
			all = append(all, fmt.Sprint("renew", i), fmt.Sprint("effect", i), fmt.Sprint("release", i))
		}
	}
	all = append(all, "ask")
	for i := range w.msgs {
		all = append(all, fmt.Sprint("deliver", i), fmt.Sprint("lose", i))
	}
	return all
}

func (w *world) do(action string) {
	name := strings.TrimRight(action, "0123456789")
	i := 0
	fmt.Sscan(action[len(name):], &i)
	switch name {
	case "tick":
		w.now++
	case "leader": // a new leader: the command in flight of the old one is lost
		w.term++
		w.pending = nil
		w.leases = NewLeases(w.table, w.term, w.at(w.now))
	case "wish":
		w.holders[i].n++
		w.holders[i].claim = fmt.Sprintf("%d-%d", i, w.holders[i].n)
	case "pick":
		h := w.holders[i]
		c, k := w.leases.PickClaim([]Wish{{Duty: modelDuty, Holder: fmt.Sprint(i), ID: h.claim, Lease: modelLease * time.Second}}, w.at(w.now))
		switch {
		case k < 0:
		case c.Op == "":
			w.send(modelMsg{kind: "granted", holder: i, epoch: w.table.Get(modelDuty).Epoch})
		case w.leases.Begin(c):
			w.pending = &c
		}
	case "commit":
		c := *w.pending
		w.pending = nil
		res := w.table.Apply(c, w.term)
		w.leases.Finish(c, res, w.at(w.now))
		if c.Op == Claim && res.Err == nil {
			var by int
			fmt.Sscan(c.Holder, &by)
			if was, ok := w.epochs[res.Grant.Epoch]; ok && was != by {
				w.violation = "an epoch has two holders"
			}
			w.epochs[res.Grant.Epoch] = by
			w.send(modelMsg{kind: "granted", holder: by, epoch: res.Grant.Epoch})
		}
	case "abort":
		w.leases.Finish(*w.pending, Result{Err: ErrStaleTerm}, w.at(w.now))
		w.pending = nil
	case "renew":
		w.send(modelMsg{kind: "renew", holder: i, epoch: w.holders[i].epoch, sent: w.now})
	case "effect":
		w.send(modelMsg{kind: "effect", holder: i, epoch: w.holders[i].epoch})
	case "release":
		c := w.leases.EndCommand(modelDuty, w.holders[i].epoch, fmt.Sprint(i), "")
		if w.leases.Begin(c) {
			w.pending = &c
		}
		w.holders[i].epoch, w.holders[i].until = 0, 0
	case "ask":
		w.leases.RequestStepDown(modelDuty, StepDownRequest{At: w.at(w.now), Bar: time.Second})
		if c, due := w.leases.RevokeCommand(modelDuty, w.at(w.now)); due && w.leases.Begin(c) {
			w.pending = &c
		}
	case "deliver":
		m := w.msgs[i]
		w.msgs = append(append([]modelMsg(nil), w.msgs[:i]...), w.msgs[i+1:]...)
		w.receive(m)
	case "lose":
		w.msgs = append(append([]modelMsg(nil), w.msgs[:i]...), w.msgs[i+1:]...)
	}
}

func (w *world) send(m modelMsg) {
	if len(w.msgs) < 2 {
		w.msgs = append(w.msgs, m)
	} // further messages are lost
}

func (w *world) receive(m modelMsg) {
	h := &w.holders[m.holder]
	switch m.kind {
	case "renew": // answered by the current leader, which has confirmed that it leads
		m.ok = w.leases.Renew(modelDuty, m.epoch, fmt.Sprint(m.holder), w.at(w.now))
		m.kind = "renewed"
		w.send(m)
	case "granted": // the holder confirms a grant by a renewal before it relies on it
		if h.claim != "" && w.table.Get(modelDuty).Epoch >= m.epoch {
			h.claim = ""
			w.send(modelMsg{kind: "renew", holder: m.holder, epoch: m.epoch, sent: w.now})
		}
	case "renewed":
		if m.ok && m.epoch >= h.epoch && m.sent+modelLease > h.until {
			h.epoch, h.until = m.epoch, m.sent+modelLease
		}
	case "effect":
		if m.epoch < w.highest {
			if w.now < h.until && h.epoch == m.epoch {
				w.violation = "an effect of a valid holder is refused"
			}
			return
		}
		w.highest = m.epoch
	}
}

// check returns the invariant that this state violates, or "".
func (w *world) check() string {
	valid := 0
	for _, h := range w.holders {
		if h.epoch > 0 && w.now < h.until {
			valid++
		}
	}
	if valid > 1 {
		return "two holders have valid leases"
	}
	return w.violation
}

// key identifies a state; times are relative to the present.
func (w *world) key() string {
	var b strings.Builder
	for _, h := range w.holders {
		fmt.Fprint(&b, h.claim, h.epoch, max(0, h.until-w.now), h.n, ";")
	}
	for _, m := range w.msgs {
		fmt.Fprint(&b, m.kind, m.holder, m.epoch, max(-modelLease, m.sent-w.now), m.ok, ";")
	}
	g := w.table.Get(modelDuty)
	fmt.Fprint(&b, w.highest, w.term, w.pending, g, w.leases.inFlight, max(-3, min(0, w.leases.termBegan.Unix()-w.at(w.now).Unix())))
	if c := w.leases.timings[modelDuty]; c != nil {
		since := func(t time.Time) int64 { return max(-9, t.Unix()-w.at(w.now).Unix()) }
		fmt.Fprint(&b, "c", c.epoch, since(c.expiresAt), since(c.grantedAt), since(c.endedAt))
		for h, t := range c.bars {
			fmt.Fprint(&b, h, since(t))
		}
	}
	if a, ok := w.leases.stepDowns[modelDuty]; ok {
		fmt.Fprint(&b, "a", a.Epoch, max(-3, a.At.Unix()-w.at(w.now).Unix()))
	}
	return b.String()
}

// explore visits every state within depth steps and returns their number. If one violates an invariant, it also returns
// the steps that lead to it and the invariant.
func explore(holders, depth int, broken func(*world)) (trace []string, states int, what string) {
	type node struct {
		parent int
		action string
		depth  int
	}
	nodes := []node{{parent: -1}}
	seen := map[string]bool{}
	path := func(i int) (p []string) {
		for ; nodes[i].parent >= 0; i = nodes[i].parent {
			p = append(p, nodes[i].action)
		}
		for a, b := 0, len(p)-1; a < b; a, b = a+1, b-1 {
			p[a], p[b] = p[b], p[a]
		}
		return p
	}
	for i := 0; i < len(nodes); i++ {
		steps := path(i)
		replay := func() *world {
			w := newWorld(holders)
			if broken != nil {
				broken(w)
			}
			for _, a := range steps {
				w.do(a)
			}
			return w
		}
		w := replay()
		if what := w.check(); what != "" {
			return steps, len(seen), what
		}
		if k := w.key(); seen[k] {
			continue
		} else {
			seen[k] = true
		}
		if nodes[i].depth == depth {
			continue
		}
		for _, a := range w.actions() {
			nodes = append(nodes, node{i, a, nodes[i].depth + 1})
		}
	}
	return nil, len(seen), ""
}

func TestEveryStateKeepsTheInvariants(t *testing.T) {
	depth := 10
	if testing.Short() {
		depth = 8
	}
	for _, holders := range []int{2, 3} {
		trace, states, what := explore(holders, depth-holders+2, nil)
		if what != "" {
			t.Fatalf("%d holders: %s after %v", holders, what, trace)
		}
		t.Logf("%d holders, %d steps: %d states", holders, depth-holders+2, states)
	}
}
