// Package audit evaluates a run from its ledger: which of the platform's rules were violated, and how much worth was
// served. It implements the protocol's specification independently and shares no code with the relay. Anything within the
// tolerance that the protocol allows is not counted as a violation.
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

// Time limits and tolerances of the protocol, as seen at the sockets.
const (
	limitTolerance = 50 * time.Millisecond   // added to every time limit
	finalTolerance = 300 * time.Millisecond  // allowed for a final answer after a message's deadline
	restartGrace   = 1500 * time.Millisecond // after a restarted relay is ready, during which no notice counts as late
	drainGrace     = 500 * time.Millisecond
	waitGrace      = 100 * time.Millisecond
	hostileTimeout = 3 * time.Second
	witnessShare   = 2.0 / 3 // of the calls that overloaded a recovered partner, from relays that had seen it fail
)

// The names of the rules, as results and bounds use them.
const (
	RuleLost          = "lost"       // accepted and never ended, or its connection closed without an answer
	RuleLateFinal     = "late_final" // ended after its deadline
	RuleSecondFinal   = "second_final"
	RuleDuplicate     = "duplicate"
	RuleDrain         = "drain"
	RuleWait          = "wait"
	RuleCold          = "cold"
	RuleWrong         = "wrong"
	RuleHostile       = "hostile"
	RuleCrash         = "crash"
	RuleOverLimit     = "over_limit"
	RuleGivenUp       = "given_up"       // most unattempted messages that restarts recovered, with half of their time left, ended without a call
	RuleRefusedSent   = "refused_sent"   // refused with a status that promises no effect, and sent
	RuleEndedSent     = "ended_sent"     // ended by an answer, a notice or an endpoint's reply, and sent
	RuleDeadlineMoved = "deadline_moved" // a restart computed a wrong remaining time for a message
)

// Rules lists all rules.
var Rules = []string{RuleLost, RuleLateFinal, RuleSecondFinal, RuleDuplicate, RuleDrain, RuleWait, RuleCold, RuleWrong, RuleHostile, RuleCrash, RuleOverLimit, RuleGivenUp, RuleRefusedSent, RuleEndedSent, RuleDeadlineMoved}

// Violation is one violation of a rule.
type Violation struct {
	Rule   string        `json:"rule"`
	At     time.Duration `json:"at"`
	Relay  string        `json:"relay"`
	Detail string        `json:"what"`
}

// Check returns the violations in a run, ordered by time. offset is when the first message was due. Nothing from end on
// counts, because the testbed was shutting down.
func Check(p *plan.Plan, l *ledger.Ledger, offset, end time.Duration) []Violation {
	a := &auditor{plan: p, ledger: l, offset: offset, end: end, lives: map[int][]*ledger.Process{}, calls: map[string][]*ledger.Call{},
		notices: map[string][]ledger.Notice{}}
	for _, x := range l.Processes {
		a.lives[x.Relay] = append(a.lives[x.Relay], x)
	}
	slices.SortStableFunc(l.Calls, func(a, b *ledger.Call) int { return cmp.Compare(a.FirstByte, b.FirstByte) })
	for _, c := range l.Calls {
		for _, t := range c.Traces {
			a.calls[t] = append(a.calls[t], c)
		}
	}
	for _, n := range l.Notices {
		a.notices[n.Trace] = append(a.notices[n.Trace], n)
	}
	a.checkFinals()
	a.checkRepeats()
	a.checkDrains()
	a.checkWaits()
	a.checkCold()
	a.checkSingleRecords()
	a.checkGivenUp()
	a.checkRefused()
	a.checkEnded()
	a.checkDeadlines()
	slices.SortStableFunc(a.violations, func(a, b Violation) int { return cmp.Compare(a.At, b.At) })
	return a.violations
}

// auditor checks one run and collects its violations.
type auditor struct {
	plan        *plan.Plan
	ledger      *ledger.Ledger
	offset, end time.Duration
	lives       map[int][]*ledger.Process
	calls       map[string][]*ledger.Call
	notices     map[string][]ledger.Notice
	violations  []Violation
}

// report adds a violation by a relay.
func (a *auditor) report(rule string, at time.Duration, relay int, format string, args ...any) {
	a.violations = append(a.violations, Violation{rule, at, a.plan.Relays[relay].Name, fmt.Sprintf(format, args...)})
}

// messageState returns the state that a call's answer reported for one of its messages.
func messageState(c *ledger.Call, trace string) string {
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

// deliveredAt returns when a 200 for a message was first written, or Never.
func deliveredAt(calls []*ledger.Call, trace string) time.Duration {
	at := ledger.Never
	for _, c := range calls {
		if messageState(c, trace) == "ok" && (at == ledger.Never || c.Written < at) {
			at = c.Written
		}
	}
	return at
}

// excusedUntil returns the extended time limit for a report that was due from a relay at the given time: restarts, pauses
// and failing connections postpone it. lost tells whether the relay lost its state after since, so that nothing is due.
func (a *auditor) excusedUntil(relay int, since, at time.Duration) (until time.Duration, lost bool) {
	until = a.reachableFrom(relay, at)
	lives := a.lives[relay]
	for i, x := range lives {
		for _, p := range x.Pauses {
			if p.From <= until && until <= p.To+restartGrace {
				until = p.To + restartGrace
			}
		}
		if x.StopSignaled == ledger.Never || x.StopSignaled > until {
			continue
		}
		// The next process that became ready ends the gap; a replacement was ready before the old process ended.
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
			return a.end, false
		case until <= ready+restartGrace:
			until = ready + restartGrace
		}
	}
	return until, false
}

// goneAt returns when an endpoint reported a message as gone, after which no final answer is due, or Never.
func goneAt(calls []*ledger.Call, trace string) time.Duration {
	for _, c := range calls {
		if c.Written != ledger.Never && (c.Status == 410 || messageState(c, trace) == "gone") {
			return c.Written
		}
	}
	return ledger.Never
}

// earlier returns the earlier of two times, either of which may be Never.
func earlier(a, b time.Duration) time.Duration {
	if a == ledger.Never || b != ledger.Never && b < a {
		return b
	}
	return a
}

// reachableFrom returns the first time, from at on, at which a relay can open connections again: while an injected fault
// fails all of them, it cannot report anything.
func (a *auditor) reachableFrom(relay int, at time.Duration) time.Duration {
	for _, f := range a.plan.Faults {
		from, to := a.offset+f.At, a.offset+f.At+f.For+finalTolerance
		if f.Kind == "calls" && slices.Contains(f.Relays, relay) && from <= at && at < to && blocksConnections(f.Rules) {
			at = to
		}
	}
	return at
}

// clientsCutOff reports whether injected faults broke client connections of a relay around a time, so that it could not
// answer on them.
func (a *auditor) clientsCutOff(relay int, at time.Duration) bool {
	return slices.ContainsFunc(a.plan.Faults, func(f plan.Fault) bool {
		from, to := a.offset+f.At-time.Second, a.offset+f.At+f.For+limitTolerance
		return f.Kind == "calls" && slices.Contains(f.Relays, relay) && from <= at && at < to &&
			slices.ContainsFunc(f.Rules, func(rule string) bool {
				return strings.HasPrefix(rule, "recv ") || strings.HasPrefix(rule, "send ")
			})
	})
}

// neverRead reports whether a relay can't have read a request, because an injected fault failed every accept from before the request was
// sent until the relay was told to end. A relay that closes a connection without having read its first request has not lost it.
func (a *auditor) neverRead(h *ledger.Submission) bool {
	sentBy := func(at time.Duration) bool {
		return slices.ContainsFunc(a.calls[h.Trace], func(c *ledger.Call) bool { return c.FirstByte <= at })
	}
	return slices.ContainsFunc(a.plan.Faults, func(f plan.Fault) bool {
		from, to := a.offset+f.At, a.offset+f.At+f.For
		blocked := f.Kind == "calls" && slices.Contains(f.Relays, h.Relay) && from <= h.Sent && h.Sent < to &&
			slices.ContainsFunc(f.Rules, func(rule string) bool { return strings.HasPrefix(rule, "accept ") && strings.HasSuffix(rule, " 1") })
		return blocked && slices.ContainsFunc(a.lives[h.Relay], func(x *ledger.Process) bool {
			return x.StopSignaled != ledger.Never && from <= x.StopSignaled && x.StopSignaled < to && x.End != ledger.Never && h.Sent <= x.End &&
				!sentBy(x.End)
		})
	})
}

// blocksConnections reports whether injection rules fail every connection that a relay opens.
func blocksConnections(rules []string) bool {
	return slices.ContainsFunc(rules, func(rule string) bool {
		return strings.HasSuffix(rule, " 1") && (strings.HasPrefix(rule, "connect ") || strings.HasPrefix(rule, "socket "))
	})
}

// checkFinals checks that each accepted message has exactly one final answer, in time.
func (a *auditor) checkFinals() {
	for _, h := range a.ledger.Submissions {
		if h.ConnBroken && !a.unavailable(h.Relay, h.Sent) && !a.clientsCutOff(h.Relay, h.Sent) && !a.neverRead(h) {
			a.report(RuleLost, h.Sent, h.Relay, "%s: the connection closed without an answer after the request was written", h.Trace)
		}
		if h.Answered == ledger.Never || h.Status >= 300 {
			continue
		}
		calls, notices := a.calls[h.Trace], a.notices[h.Trace]
		at := earlier(deliveredAt(calls, h.Trace), goneAt(calls, h.Trace))
		if len(notices) > 0 && (at == ledger.Never || notices[0].At < at) {
			at = notices[0].At
		}
		limit, gone := a.excusedUntil(h.Relay, h.Answered, h.Deadline+finalTolerance+limitTolerance)
		switch {
		case gone || limit >= a.end:
		case at == ledger.Never:
			a.report(RuleLost, limit, h.Relay, "%s: accepted at %v, due by %v, never ended", h.Trace, h.Answered, h.Deadline)
		case at > limit:
			a.report(RuleLateFinal, at, h.Relay, "%s: due by %v, ended at %v", h.Trace, h.Deadline, at)
		}
	}
	for trace, ns := range a.notices {
		h := a.ledger.Find(trace)
		if h == nil {
			a.report(RuleWrong, ns[0].At, ns[0].Relay, "notice for %s, which no client submitted", trace)
			continue
		}
		for _, n := range ns[1:] {
			if n.Status != ns[0].Status && !(n.Relay == ns[0].Relay && a.lostState(n.Relay, ns[0].At, n.At)) {
				a.report(RuleSecondFinal, n.At, n.Relay, "%s: %s, after %s at %v", trace, n.Status, ns[0].Status, ns[0].At)
			}
		}
	}
}

// unavailable reports whether a relay had no process that could answer around a time, or was ending then.
func (a *auditor) unavailable(relay int, at time.Duration) bool {
	const margin = time.Second
	lives := a.lives[relay]
	for i, x := range lives {
		to := a.end
		if i+1 < len(lives) && lives[i+1].Ready != ledger.Never {
			to = lives[i+1].Ready
		}
		killed := x.StopSignaled != ledger.Never && x.End != ledger.Never && x.End-x.StopSignaled < margin // SIGKILL, or an exit without a drain
		if killed && x.StopSignaled-margin <= at && at <= to {
			return true
		}
		for _, p := range x.Pauses {
			if p.From-margin <= at && at <= p.To {
				return true
			}
		}
	}
	return at >= a.end-margin
}

// checkRepeats checks that messages are repeated only as their class allows, and never after a notice of their end.
func (a *auditor) checkRepeats() {
	for trace, calls := range a.calls {
		h := a.ledger.Find(trace)
		if h == nil {
			continue // reported by checkSingleRecords
		}
		class := &a.plan.Classes[a.plan.Arrivals[h.Message].Class]
		for k, c := range calls {
			for _, b := range calls[:k] {
				// Proof that the earlier call never ran must have been written before the next call was sent.
				if b.LastByte == ledger.Never || !mayRun(b, trace) && b.Written != ledger.Never && b.Written <= c.FirstByte+limitTolerance/10 {
					continue
				}
				if a.lostState(c.Relay, b.FirstByte, c.FirstByte) {
					continue // the id was submitted again after the relay lost its state
				}
				from, to := a.plan.Endpoints[b.Endpoint].Building, a.plan.Endpoints[c.Endpoint].Building
				switch {
				case class.Effect == "unsafe":
					a.report(RuleDuplicate, c.FirstByte, c.Relay, "%s (%s): sent at %v may have run, sent again", trace, class.Name, b.FirstByte)
				case class.Effect == "keyed" && from != to:
					a.report(RuleDuplicate, c.FirstByte, c.Relay, "%s (%s): repeated in another building", trace, class.Name)
				case class.Effect == "keyed" && c.LastByte > b.FirstByte+class.Window.D()+limitTolerance:
					a.report(RuleDuplicate, c.FirstByte, c.Relay, "%s (%s): repeated %v after it may have run", trace, class.Name, c.LastByte-b.FirstByte)
				default:
					continue
				}
				break
			}
		}
		if ns := a.notices[trace]; len(ns) > 0 {
			c := calls[len(calls)-1]
			if c.FirstByte > ns[0].At+waitGrace && c.Relay == ns[0].Relay && !a.lostState(c.Relay, ns[0].At, c.FirstByte) {
				a.report(RuleSecondFinal, c.FirstByte, c.Relay, "%s: sent although its end was reported at %v", trace, ns[0].At)
			}
		}
	}
}

// mayRun reports whether a call's outcome leaves it possible that one of its messages ran.
func mayRun(c *ledger.Call, trace string) bool {
	if c.Status == 200 && len(c.Traces) > 1 {
		switch messageState(c, trace) {
		case "later", "gone", "exhausted":
			return false
		}
	}
	return c.MayHaveRun
}

// checkDrains checks that a relay sends no new calls to an endpoint that discovery reported as draining or gone.
func (a *auditor) checkDrains() {
	type key struct{ relay, endpoint int }
	told := map[key]time.Duration{}
	for _, t := range a.ledger.ListChanges {
		k := key{t.Relay, t.Endpoint}
		if at, ok := told[k]; t.State != "ready" && (!ok || t.At < at) {
			told[k] = t.At
		}
	}
	for _, c := range a.ledger.Calls {
		at, ok := told[key{c.Relay, c.Endpoint}]
		if !ok || c.FirstByte <= at+drainGrace+limitTolerance {
			continue
		}
		at = a.reachableFrom(c.Relay, at) // a change counts as delivered once discovery can be reached
		// A process that was started or paused since then learned of the change only afterwards.
		for _, x := range a.lives[c.Relay] {
			if x.Start <= c.FirstByte && x.Start > at && !x.Replacement {
				at = x.Start
			}
			for _, p := range x.Pauses {
				if p.From <= c.FirstByte && p.To > at {
					at = p.To
				}
			}
		}
		if c.FirstByte > at+drainGrace+limitTolerance {
			a.report(RuleDrain, c.FirstByte, c.Relay, "call to %s, reported as draining at %v", a.plan.Endpoints[c.Endpoint].ID, at)
		}
	}
}

// checkWaits checks that relays honor the wait that a 429 tells them.
func (a *auditor) checkWaits() {
	type key struct{ relay, scope int }
	scope := func(endpoint int) int {
		partner := a.plan.Endpoints[endpoint].Partner
		if a.plan.Experiment.Partners.Kinds[a.plan.Partners[partner].Kind].SeparateRoutes {
			return 1000 + endpoint
		}
		return partner
	}
	told := map[key][]*ledger.Call{}
	for _, c := range a.ledger.Calls {
		if c.Status == 429 && c.RetryAfter > 0 {
			k := key{c.Relay, scope(c.Endpoint)}
			told[k] = append(told[k], c)
		}
	}
	for _, c := range a.ledger.Calls {
		for _, w := range told[key{c.Relay, scope(c.Endpoint)}] {
			if c.LastByte <= w.Written+waitGrace || c.FirstByte >= w.Written+w.RetryAfter-limitTolerance/10 {
				continue
			}
			restarted := slices.ContainsFunc(a.lives[c.Relay], func(x *ledger.Process) bool {
				return !x.Replacement && x.Start > w.Written && x.Start <= c.FirstByte
			})
			if !restarted {
				a.report(RuleWait, c.FirstByte, c.Relay, "call to %s %v after it asked to wait %v", a.plan.Endpoints[c.Endpoint].ID,
					c.FirstByte-w.Written, w.RetryAfter)
				break
			}
		}
	}
}

// checkCold checks that no recovering partner was overloaded mostly by relays that had seen it fail.
func (a *auditor) checkCold() {
	for _, o := range a.ledger.Outages {
		if o.Collapsed != ledger.Never && float64(o.WitnessCalls) >= witnessShare*float64(o.CollapseCalls) {
			relay := 0 // any of the witnesses, to name one in the report
			for r := range o.Witnesses {
				relay = r
				break
			}
			a.report(RuleCold, o.Collapsed, relay, "partner %d recovered at %v and was overloaded again: %d calls, %d of them from relays that had seen it fail",
				a.plan.Partners[o.Partner].ID, o.To, o.CollapseCalls, o.WitnessCalls)
		}
	}
}

// checkSingleRecords checks the rules that a single record can violate: unknown messages, hostile peers, crashes, limits.
func (a *auditor) checkSingleRecords() {
	for _, u := range a.ledger.UnexplainedCalls {
		a.report(RuleWrong, u.At, u.Relay, "%s at %s", u.Reason, a.plan.Endpoints[u.Endpoint].ID)
	}
	for _, p := range a.ledger.HostilePeers {
		switch {
		case p.RelayDown || p.At+hostileTimeout+limitTolerance > a.end || a.unavailable(p.Relay, p.At) || a.unavailable(p.Relay, p.At+hostileTimeout):
		case p.Rejected == ledger.Never || p.Rejected > p.At+hostileTimeout+limitTolerance:
			a.report(RuleHostile, p.At, p.Relay, "a hostile peer of kind %d was not disconnected in time (status %d)", p.Behavior, p.Status)
		}
	}
	for _, lives := range a.lives {
		for i, x := range lives {
			if x.End == ledger.Never || x.StopSignaled != ledger.Never && x.StopSignaled <= x.End || x.End >= a.end {
				continue
			}
			// A process may exit by itself once its replacement has started.
			if i+1 < len(lives) && lives[i+1].Replacement && lives[i+1].Start < x.End {
				continue
			}
			a.report(RuleCrash, x.End, x.Relay, "process %d exited: %s", x.PID, x.Exit)
		}
	}
	a.checkLimits()
}

// checkLimits checks the resources that all processes of a relay use together.
func (a *auditor) checkLimits() {
	x := a.plan.Experiment.Fleet
	violations := map[string]Violation{}
	for i := 0; i < len(a.ledger.Samples); {
		// Samples of one relay at one time are adjacent.
		s, memory, sockets := a.ledger.Samples[i], 0.0, 0
		k := i
		for ; k < len(a.ledger.Samples) && a.ledger.Samples[k].Relay == s.Relay && a.ledger.Samples[k].At-s.At < limitTolerance; k++ {
			memory, sockets = memory+a.ledger.Samples[k].MemoryMB, sockets+a.ledger.Samples[k].Sockets
		}
		i = k
		name := a.plan.Relays[s.Relay].Name
		if memory+s.DiskMB > x.MemoryMB {
			violations[name+"memory"] = Violation{RuleOverLimit, s.At, name, fmt.Sprintf("%.1f MB of memory and files of %.0f", memory+s.DiskMB, x.MemoryMB)}
		}
		if sockets > x.Sockets {
			violations[name+"sockets"] = Violation{RuleOverLimit, s.At, name, fmt.Sprintf("%d descriptors of %d", sockets, x.Sockets)}
		}
		if s.DiskMB > x.DiskMB {
			violations[name+"disk"] = Violation{RuleOverLimit, s.At, name, fmt.Sprintf("%.2f MB on disk of %.0f", s.DiskMB, x.DiskMB)}
		}
	}
	for _, b := range violations {
		a.violations = append(a.violations, b)
	}
}

// CountByRule returns the number of violations of each rule.
func CountByRule(found []Violation) map[string]float64 {
	n := map[string]float64{}
	for _, r := range Rules {
		n[r] = 0
	}
	for _, b := range found {
		n[b.Rule]++
	}
	return n
}

// quantile returns the q-quantile of sorted values, or NaN if there are none.
func quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return math.NaN()
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}
