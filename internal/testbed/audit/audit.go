// Package audit judges a run by its ledger: which of the platform's rules were broken, and what worth was served. It goes
// by the protocol's pages and shares no code with the relay. Where a moment lies within the slack that the protocol
// leaves, nothing is held against the relay.
package audit

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"onyxroad.dev/onyxroad/internal/testbed/ledger"
	"onyxroad.dev/onyxroad/internal/testbed/plan"
)

// The protocol's figures on sockets.
const (
	slack       = 50 * time.Millisecond   // every time limit is so much longer
	finalSlack  = 300 * time.Millisecond  // after a message's time
	restartMost = 1500 * time.Millisecond // from a restart's ready on, during which no notice is overdue
	drainGrace  = 500 * time.Millisecond
	waitGrace   = 100 * time.Millisecond
	hostileMost = 3 * time.Second
	toldMost    = 2.0 / 3 // of what pushed a partner over, from relays that had seen it fail
)

// The rules, each with its figure.
const (
	Lost      = "lost"       // taken on and never ended, or its connection ended without an answer
	Late      = "late_final" // ended too late
	Second    = "second_final"
	Duplicate = "duplicate"
	Drain     = "drain"
	Wait      = "wait"
	Cold      = "cold"
	Wrong     = "wrong"
	Hostile   = "hostile"
	Crash     = "crash"
	Limit     = "over_limit"
	GivenUp   = "given_up"       // over half of what restarts found untried, with half of its time left, was given up with no call
	SentAgain = "refused_sent"   // refused with a promise of no effect, and sent
	SentEnded = "ended_sent"     // ended by an answer, a notice or an endpoint's word, and sent
	Moved     = "deadline_moved" // a restart takes a message to have more or less time left than it has
)

// Rules are all of them.
var Rules = []string{Lost, Late, Second, Duplicate, Drain, Wait, Cold, Wrong, Hostile, Crash, Limit, GivenUp, SentAgain, SentEnded, Moved}

// Breach is one broken rule.
type Breach struct {
	Rule  string        `json:"rule"`
	At    time.Duration `json:"at"`
	Relay string        `json:"relay"`
	What  string        `json:"what"`
}

// Judge finds the breaches of a run, in the order of their times. offset is when the first message was due; from end on
// nothing is held against anybody: the testbed was ending.
func Judge(p *plan.Plan, l *ledger.Ledger, offset, end time.Duration) []Breach {
	j := &judge{plan: p, l: l, offset: offset, end: end, lives: map[int][]*ledger.Process{}, calls: map[string][]*ledger.Call{},
		notices: map[string][]ledger.Notice{}}
	for _, x := range l.Processes {
		j.lives[x.Relay] = append(j.lives[x.Relay], x)
	}
	slices.SortStableFunc(l.Calls, func(a, b *ledger.Call) int { return cmp.Compare(a.FirstByte, b.FirstByte) })
	for _, c := range l.Calls {
		for _, t := range c.Traces {
			j.calls[t] = append(j.calls[t], c)
		}
	}
	for _, n := range l.Notices {
		j.notices[n.Trace] = append(j.notices[n.Trace], n)
	}
	j.finals()
	j.repeats()
	j.drains()
	j.waits()
	j.cold()
	j.rest()
	j.givenUp()
	j.refused()
	j.ended()
	j.moved()
	slices.SortStableFunc(j.found, func(a, b Breach) int { return cmp.Compare(a.At, b.At) })
	return j.found
}

type judge struct {
	plan        *plan.Plan
	l           *ledger.Ledger
	offset, end time.Duration
	lives       map[int][]*ledger.Process
	calls       map[string][]*ledger.Call
	notices     map[string][]ledger.Notice
	found       []Breach
}

func (j *judge) broken(rule string, at time.Duration, relay int, format string, args ...any) {
	j.found = append(j.found, Breach{rule, at, j.plan.Relays[relay].Name, fmt.Sprintf(format, args...)})
}

// state is what a call's answer said of one of its messages.
func state(c *ledger.Call, trace string) string {
	if c.Status == 200 && len(c.Traces) > 1 {
		if i := slices.Index(c.Traces, trace); i >= 0 && i < len(c.States) {
			return c.States[i]
		}
		return ""
	}
	if c.Status == 200 {
		return "ok"
	}
	return ""
}

// delivered is when a message was delivered: when a 200 for it was written; Never if none was.
func delivered(calls []*ledger.Call, trace string) time.Duration {
	at := ledger.Never
	for _, c := range calls {
		if state(c, trace) == "ok" && (at == ledger.Never || c.Written < at) {
			at = c.Written
		}
	}
	return at
}

// excused is until when a relay need not have told anything that was due at a moment: while it restarts or stands still,
// and for a while after. gone is whether what it held is gone with its machine.
func (j *judge) excused(relay int, since, at time.Duration) (until time.Duration, gone bool) {
	until = j.reachable(relay, at)
	lives := j.lives[relay]
	for i, x := range lives {
		for _, p := range x.Pauses {
			if p.From <= until && until <= p.To+restartMost {
				until = p.To + restartMost
			}
		}
		if x.StopSignaled == ledger.Never || x.StopSignaled > until {
			continue
		}
		// A process that was replaced leaves no gap.
		next, ready := i+1, ledger.Never
		for _, y := range lives[next:] {
			if y.Ready != ledger.Never {
				ready = y.Ready
				break
			}
		}
		if next < len(lives) && lives[next].EmptyState && since <= x.StopSignaled {
			return until, true
		}
		switch {
		case ready == ledger.Never:
			return j.end, false
		case until <= ready+restartMost:
			until = ready + restartMost
		}
	}
	return until, false
}

// over is when an endpoint told that a message is over, after which nothing more is owed; Never if none did.
func over(calls []*ledger.Call, trace string) time.Duration {
	for _, c := range calls {
		if c.Written != ledger.Never && (c.Status == 410 || state(c, trace) == "gone") {
			return c.Written
		}
	}
	return ledger.Never
}

// earlier is the earlier of two times, of which either may never have come.
func earlier(a, b time.Duration) time.Duration {
	if a == ledger.Never || b != ledger.Never && b < a {
		return b
	}
	return a
}

// reachable is when a relay can tell what was due at a moment: while each of its connections fails it can tell nobody.
func (j *judge) reachable(relay int, at time.Duration) time.Duration {
	for _, f := range j.plan.Faults {
		from, to := j.offset+f.At, j.offset+f.At+f.For+finalSlack
		if f.Kind == "calls" && slices.Contains(f.Relays, relay) && from <= at && at < to && silences(f.Rules) {
			at = to
		}
	}
	return at
}

// cutOff tells whether connections of a relay's clients were broken by the network about a moment: no relay can answer on one.
func (j *judge) cutOff(relay int, at time.Duration) bool {
	return slices.ContainsFunc(j.plan.Faults, func(f plan.Fault) bool {
		from, to := j.offset+f.At-time.Second, j.offset+f.At+f.For+slack
		return f.Kind == "calls" && slices.Contains(f.Relays, relay) && from <= at && at < to &&
			slices.ContainsFunc(f.Rules, func(rule string) bool {
				return strings.HasPrefix(rule, "recv ") || strings.HasPrefix(rule, "send ")
			})
	})
}

// silences tells whether rules have every connection that a relay makes fail.
func silences(rules []string) bool {
	return slices.ContainsFunc(rules, func(rule string) bool {
		return strings.HasSuffix(rule, " 1") && (strings.HasPrefix(rule, "connect ") || strings.HasPrefix(rule, "socket "))
	})
}

// finals checks that each message that was taken on has one final answer, in time.
func (j *judge) finals() {
	for _, h := range j.l.Submissions {
		if h.ConnBroken && !j.away(h.Relay, h.Sent) && !j.cutOff(h.Relay, h.Sent) {
			j.broken(Lost, h.Sent, h.Relay, "%s: the connection ended with no answer once the request was written", h.Trace)
		}
		if h.Answered == ledger.Never || h.Status >= 300 {
			continue
		}
		calls, notices := j.calls[h.Trace], j.notices[h.Trace]
		at := earlier(delivered(calls, h.Trace), over(calls, h.Trace))
		if len(notices) > 0 && (at == ledger.Never || notices[0].At < at) {
			at = notices[0].At
		}
		limit, gone := j.excused(h.Relay, h.Answered, h.Deadline+finalSlack+slack)
		switch {
		case gone || limit >= j.end:
		case at == ledger.Never:
			j.broken(Lost, limit, h.Relay, "%s: taken on at %v, due by %v, never ended", h.Trace, h.Answered, h.Deadline)
		case at > limit:
			j.broken(Late, at, h.Relay, "%s: due by %v, ended at %v", h.Trace, h.Deadline, at)
		}
	}
	for trace, ns := range j.notices {
		h := j.l.Find(trace)
		if h == nil {
			j.broken(Wrong, ns[0].At, ns[0].Relay, "notice for %s, which no client handed in", trace)
			continue
		}
		for _, n := range ns[1:] {
			if n.Status != ns[0].Status {
				j.broken(Second, n.At, n.Relay, "%s: %s, after %s at %v", trace, n.Status, ns[0].Status, ns[0].At)
			}
		}
	}
}

// away tells whether a relay had no process that could have answered, or was ending, about a moment.
func (j *judge) away(relay int, at time.Duration) bool {
	const about = time.Second
	lives := j.lives[relay]
	for i, x := range lives {
		to := j.end
		if i+1 < len(lives) && lives[i+1].Ready != ledger.Never {
			to = lives[i+1].Ready
		}
		killed := x.StopSignaled != ledger.Never && x.End != ledger.Never && x.End-x.StopSignaled < about // SIGKILL, or an end in no order
		if killed && x.StopSignaled-about <= at && at <= to {
			return true
		}
		for _, p := range x.Pauses {
			if p.From-about <= at && at <= p.To {
				return true
			}
		}
	}
	return at >= j.end-about
}

// repeats checks that no message is sent again beyond its class's allowance, and none once it is ended.
func (j *judge) repeats() {
	for trace, calls := range j.calls {
		h := j.l.Find(trace)
		if h == nil {
			continue // told of by rest
		}
		class := &j.plan.Classes[j.plan.Arrivals[h.Message].Class]
		for k, c := range calls {
			for _, b := range calls[:k] {
				// What proves that it never ran has to have been told before the next one left.
				if b.LastByte == ledger.Never || !mayRun(b, trace) && b.Written != ledger.Never && b.Written <= c.FirstByte+slack/10 {
					continue
				}
				if j.emptied(c.Relay, b.FirstByte, c.FirstByte) {
					continue // the id came again to a machine that knows nothing of it
				}
				from, to := j.plan.Endpoints[b.Endpoint].Building, j.plan.Endpoints[c.Endpoint].Building
				switch {
				case class.Effect == "unsafe":
					j.broken(Duplicate, c.FirstByte, c.Relay, "%s (%s): sent at %v may have run, sent again", trace, class.Name, b.FirstByte)
				case class.Effect == "keyed" && from != to:
					j.broken(Duplicate, c.FirstByte, c.Relay, "%s (%s): repeated in another building", trace, class.Name)
				case class.Effect == "keyed" && c.LastByte > b.FirstByte+class.Window.D()+slack:
					j.broken(Duplicate, c.FirstByte, c.Relay, "%s (%s): repeated %v after it may have run", trace, class.Name, c.LastByte-b.FirstByte)
				default:
					continue
				}
				break
			}
		}
		if ns := j.notices[trace]; len(ns) > 0 {
			if c := calls[len(calls)-1]; c.FirstByte > ns[0].At+waitGrace && c.Relay == ns[0].Relay {
				j.broken(Second, c.FirstByte, c.Relay, "%s: sent though its end was told at %v", trace, ns[0].At)
			}
		}
	}
}

// mayRun tells whether a call's outcome leaves open that a message of it has run.
func mayRun(c *ledger.Call, trace string) bool {
	if c.Status == 200 && len(c.Traces) > 1 {
		switch state(c, trace) {
		case "later", "gone", "exhausted":
			return false
		}
	}
	return c.MayHaveRun
}

// drains checks that nothing new goes to an endpoint that a relay was told drains or is gone.
func (j *judge) drains() {
	type key struct{ relay, endpoint int }
	told := map[key]time.Duration{}
	for _, t := range j.l.ListChanges {
		k := key{t.Relay, t.Endpoint}
		if at, ok := told[k]; t.State != "ready" && (!ok || t.At < at) {
			told[k] = t.At
		}
	}
	for _, c := range j.l.Calls {
		at, ok := told[key{c.Relay, c.Endpoint}]
		if !ok || c.FirstByte <= at+drainGrace+slack {
			continue
		}
		at = j.reachable(c.Relay, at) // news counts as told once discovery can be reached
		// What began, or stood still, since then has heard of it only afterwards.
		for _, x := range j.lives[c.Relay] {
			if x.Start <= c.FirstByte && x.Start > at && !x.Replacement {
				at = x.Start
			}
			for _, p := range x.Pauses {
				if p.From <= c.FirstByte && p.To > at {
					at = p.To
				}
			}
		}
		if c.FirstByte > at+drainGrace+slack {
			j.broken(Drain, c.FirstByte, c.Relay, "call to %s, told to drain at %v", j.plan.Endpoints[c.Endpoint].ID, at)
		}
	}
}

// waits checks that a relay that was told to wait does.
func (j *judge) waits() {
	type key struct{ relay, scope int }
	scope := func(endpoint int) int {
		partner := j.plan.Endpoints[endpoint].Partner
		if j.plan.Experiment.Partners.Kinds[j.plan.Partners[partner].Kind].Apart {
			return 1000 + endpoint
		}
		return partner
	}
	told := map[key][]*ledger.Call{}
	for _, c := range j.l.Calls {
		if c.Status == 429 && c.RetryAfter > 0 {
			k := key{c.Relay, scope(c.Endpoint)}
			told[k] = append(told[k], c)
		}
	}
	for _, c := range j.l.Calls {
		for _, w := range told[key{c.Relay, scope(c.Endpoint)}] {
			if c.LastByte <= w.Written+waitGrace || c.FirstByte >= w.Written+w.RetryAfter-slack/10 {
				continue
			}
			restarted := slices.ContainsFunc(j.lives[c.Relay], func(x *ledger.Process) bool {
				return !x.Replacement && x.Start > w.Written && x.Start <= c.FirstByte
			})
			if !restarted {
				j.broken(Wait, c.FirstByte, c.Relay, "call to %s %v after it told to wait %v", j.plan.Endpoints[c.Endpoint].ID,
					c.FirstByte-w.Written, w.RetryAfter)
				break
			}
		}
	}
}

// cold checks that no partner that came back was pushed over by relays that had seen it fail.
func (j *judge) cold() {
	for _, o := range j.l.Outages {
		if o.Collapsed != ledger.Never && float64(o.WitnessCalls) >= toldMost*float64(o.CollapseCalls) {
			most := 0 // the relay to name: any of them
			for r := range o.Witnesses {
				most = r
				break
			}
			j.broken(Cold, o.Collapsed, most, "partner %d was back at %v and pushed over: %d calls, %d of them from relays that had seen it fail",
				j.plan.Partners[o.Partner].ID, o.To, o.CollapseCalls, o.WitnessCalls)
		}
	}
}

// rest checks what needs no more than one record.
func (j *judge) rest() {
	for _, u := range j.l.UnexplainedCalls {
		j.broken(Wrong, u.At, u.Relay, "%s at %s", u.Reason, j.plan.Endpoints[u.Endpoint].ID)
	}
	for _, p := range j.l.HostilePeers {
		switch {
		case p.RelayDown || p.At+hostileMost+slack > j.end || j.away(p.Relay, p.At) || j.away(p.Relay, p.At+hostileMost):
		case p.Rejected == ledger.Never || p.Rejected > p.At+hostileMost+slack:
			j.broken(Hostile, p.At, p.Relay, "a peer of way %d was kept (status %d)", p.Behavior, p.Status)
		}
	}
	for _, lives := range j.lives {
		for i, x := range lives {
			if x.End == ledger.Never || x.StopSignaled != ledger.Never && x.StopSignaled <= x.End || x.End >= j.end {
				continue
			}
			// One whose place another has taken may end by itself.
			if i+1 < len(lives) && lives[i+1].Replacement && lives[i+1].Start < x.End {
				continue
			}
			j.broken(Crash, x.End, x.Relay, "process %d ended: %s", x.PID, x.Exit)
		}
	}
	j.limits()
}

// limits checks what the processes of a relay held together.
func (j *judge) limits() {
	x := j.plan.Experiment.Fleet
	worst := map[string]Breach{}
	for i := 0; i < len(j.l.Samples); {
		// Samples of one relay at one time stand together.
		s, memory, sockets := j.l.Samples[i], 0.0, 0
		k := i
		for ; k < len(j.l.Samples) && j.l.Samples[k].Relay == s.Relay && j.l.Samples[k].At-s.At < slack; k++ {
			memory, sockets = memory+j.l.Samples[k].MemoryMB, sockets+j.l.Samples[k].Sockets
		}
		i = k
		name := j.plan.Relays[s.Relay].Name
		if memory+s.DiskMB > x.MemoryMB {
			worst[name+"memory"] = Breach{Limit, s.At, name, fmt.Sprintf("%.1f MB of memory and files of %.0f", memory+s.DiskMB, x.MemoryMB)}
		}
		if sockets > x.Sockets {
			worst[name+"sockets"] = Breach{Limit, s.At, name, fmt.Sprintf("%d descriptors of %d", sockets, x.Sockets)}
		}
		if s.DiskMB > x.DiskMB {
			worst[name+"disk"] = Breach{Limit, s.At, name, fmt.Sprintf("%.2f MB on disk of %.0f", s.DiskMB, x.DiskMB)}
		}
	}
	for _, b := range worst {
		j.found = append(j.found, b)
	}
}

// Count counts the breaches of each rule.
func Count(found []Breach) map[string]float64 {
	n := map[string]float64{}
	for _, r := range Rules {
		n[r] = 0
	}
	for _, b := range found {
		n[b.Rule]++
	}
	return n
}

// quantile is the value at a share of the sorted values; NaN of none.
func quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return math.NaN()
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}
