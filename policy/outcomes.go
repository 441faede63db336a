package policy

import (
	"cmp"
	"math/bits"
	"time"
)

// What the outcome of a call or a probe changes at its route: health, skips, suspicion and answer times.

// sample is one outcome at a route, as input of the failure rules.
type sample struct {
	outcome    Outcome
	retryAfter time.Duration
	sent       time.Duration
	cutShort   bool // ended before an answer could be expected
	tableFull  bool // the connection failed as at a full connection table
}

// failureRule is one failure rule: what it matches, whether the route is skipped, and what else is done.
type failureRule struct {
	name  string
	match func(s *Sender, r *route, o sample) bool
	skip  bool
	then  func(s *Sender, r *route, o sample)
}

// failureRules are evaluated in order; the first that matches decides.
var failureRules = []failureRule{
	// A long Retry-After or a run of refusals means an outage. The destination returns with reduced capacity.
	{"outage", func(s *Sender, r *route, o sample) bool {
		run := r.refusals >= outageRefusals && s.now-r.refusedAt >= outageRefusalSpan
		return o.outcome == Full && (o.retryAfter > outageWait || run)
	}, true, nil},
	{"full", func(_ *Sender, _ *route, o sample) bool {
		return o.outcome == Full
	}, false, (*Sender).halvePace},
	{"trial failed", func(_ *Sender, r *route, _ sample) bool { return r.down }, true, nil},
	// A full connection table refuses at once but may take the next connection, so the route rests for a
	// short time and idle connections are closed.
	{"table full", func(_ *Sender, _ *route, o sample) bool {
		return o.tableFull
	}, false, (*Sender).restAfterTableFull},
	{"failures in a row", func(_ *Sender, r *route, _ sample) bool {
		return r.failStreak >= skipFailStreak
	}, true, nil},
	// An outage may fail most calls and not all of them: successes in between do not clear it.
	{"mostly failing", func(_ *Sender, r *route, _ sample) bool {
		return bits.OnesCount8(r.recentFailures) >= skipRecentFailures
	}, true, nil},
	{"failed", func(*Sender, *route, sample) bool { return true }, false, nil},
}

// looksTableFull reports whether a failed connection looks like a full connection table: it failed at once,
// at a route that answered recently or, with many senders, of a kind that had such failures. Several in a row
// mean an outage.
func (s *Sender) looksTableFull(r *route, o sample) bool {
	scarce := s.settings.Senders > fewSenders && s.now < s.connScarceUntil[r.Kind]
	failed := o.outcome == ConnectFailed && s.now-o.sent < minAnswerTime
	return failed && r.group.tableFullCount < maxTableFull && (s.answeredRecently(r) || scarce)
}

// restAfterTableFull skips a route with a full connection table for a short time and closes its idle
// connections.
func (s *Sender) restAfterTableFull(r *route, _ sample) {
	r.skipUntil = s.now + time.Duration((0.5+s.rng.Float64())*float64(tableFullRest))
	s.emit(Action{Kind: CloseIdle, Route: r.Route})
}

// recordOutcome updates the state of a route with an outcome and applies the failure rules.
func (s *Sender) recordOutcome(r *route, o sample, took time.Duration) {
	if s.now < s.connScarceUntil[r.Kind] && s.settings.Senders > fewSenders {
		s.emit(Action{Kind: CloseIdle, Route: r.Route})
	}
	switch o.outcome {
	case OK:
		s.recordDelivery(r, o.sent, took)
		return
	case NotRun, Cancelled:
		return
	case Full:
		if r.refusals == 0 {
			r.refusedAt = s.now
		}
		r.refusals++
		s.weighWeakEvidence(r)
	default:
		if o.outcome == Timeout || o.outcome == Reset {
			// Calls may be lost with the connection that carries them, so the next call opens a new one.
			s.emit(Action{Kind: CloseIdle, Route: r.Route})
			// A route that answered recently, or after this call was sent, is up: the call was lost. It says
			// nothing about the route's health or how long answers take. Learning from it would have each
			// further loss hold a slot for longer.
			if o.outcome == Reset && s.answeredRecently(r) {
				return
			}
			if r.okAt > o.sent {
				r.recentLosses = r.recentLosses<<1 | 1
				return
			}
		}
		if o.outcome == Timeout {
			s.updateAnswerTime(r, took+took/2)
		}
		o.tableFull = s.looksTableFull(r, o)
		if o.outcome == ConnectFailed && s.now-o.sent < minAnswerTime {
			s.connScarceUntil[r.Kind] = s.now + connScarceSpan
		}
		if o.tableFull {
			r.group.tableFullCount++
			s.weighWeakEvidence(r)
			break
		}
		r.failStreak, r.refusals = r.failStreak+1, 0
		// An outage answers no call, or fails most of them at once. Timeouts between answers are lost calls.
		if o.outcome == Error || o.outcome == ConnectFailed {
			r.recentFailures = r.recentFailures<<1 | 1
		}
		if r.failStreak >= suspectFailStreak || bits.OnesCount8(r.recentFailures) >= suspectRecentFailures {
			s.markSuspect(r)
		} else {
			s.suspectWeakly(r)
		}
		// Failures in a row across the routes of a group mean an outage of all of them.
		if r.group.failStreak++; r.group.failStreak >= skipFailStreak {
			for _, x := range r.group.routes {
				s.markSuspect(x)
			}
		}
	}
	// A call that ended early for lack of time may make its route suspect, but causes no skip.
	if o.cutShort {
		return
	}
	for _, f := range failureRules {
		if f.match(s, r, o) {
			if f.then != nil {
				f.then(s, r, o)
			}
			if f.skip {
				s.skipRoute(r, o.sent)
			}
			return
		}
	}
}

// sparse reports whether this sender's share of a route group is less than one call in an overload window.
func (s *Sender) sparse(g *routeGroup) bool {
	return s.senderShare(g)*s.settings.OverloadWindow.Seconds() < 1
}

// suspectWeakly makes a route suspect until its next delivery, if this sender's share is less than one call
// in an overload window. Otherwise hundreds of senders that saw one failure each would overload the
// destination together.
func (s *Sender) suspectWeakly(r *route) {
	if !r.suspect && s.sparse(r.group) {
		s.markSuspect(r)
		r.weakEvidence = true
	}
}

// weighWeakEvidence treats two refusals some time apart as a sign of an outage. If this sender's share is
// less than one call in a warm-up, one refusal or one connection that failed as at a full table is treated so
// with a fixed chance. Otherwise many senders that saw one of these each would all call again at once. Most
// refusals come from a rate limit, so some senders must go on. Those that do make less than two thirds of the
// calls as long as each calls less than five times as often as a sender that saw no failure.
func (s *Sender) weighWeakEvidence(r *route) {
	repeated := r.refusals >= sparseRefusals && s.now-r.refusedAt >= outageRefusalSpan
	infrequent := !s.answeredRecently(r) && s.senderShare(r.group)*s.settings.WarmWithin.Seconds() < 1
	if repeated && s.settings.Senders > fewSenders && !s.sparse(r.group) {
		s.markSuspect(r)
	} else if repeated || infrequent && s.rng.Float64() < weakSuspectChance {
		s.suspectWeakly(r)
	}
}

// answeredRecently reports whether a route has answered within recentAnswerSpan.
func (s *Sender) answeredRecently(r *route) bool {
	return r.okAt > 0 && s.now-r.okAt < recentAnswerSpan
}

// markSuspect puts a route under the recovery budget.
func (s *Sender) markSuspect(r *route) {
	if g := r.group; !g.anySuspect() {
		g.credit, g.creditAt = s.rng.Float64(), s.now
		g.ownRate, g.ownRateAt = s.ownDeliveryRate(g), s.now
	}
	r.setSuspect(true)
	r.weakEvidence, r.recoveringSince, r.okStreak = false, 0, 0
}

// skipRoute starts or prolongs the skip of a route. Failures of calls that were sent before the skip began do
// not prolong it.
func (s *Sender) skipRoute(r *route, sent time.Duration) {
	s.markSuspect(r)
	if r.down && sent < r.skipUntil-r.skipLen {
		return
	}
	next := firstSkip
	if r.down && r.skipLen > 0 {
		next = min(maxSkip, time.Duration(float64(r.skipLen)*skipGrowth))
	}
	r.skipLen = time.Duration(float64(next) * (1 + skipJitter*(2*s.rng.Float64()-1)))
	r.down, r.skipUntil = true, s.now+r.skipLen
}

// updateAnswerTime updates the mean and the mean deviation of the answer times of a route. A timeout counts
// as an answer that takes longer.
func (s *Sender) updateAnswerTime(r *route, took time.Duration) {
	if r.mean == 0 {
		r.mean, r.dev = took, took/2
		return
	}
	d := took - r.mean
	r.mean, r.dev = r.mean+d/8, r.dev+(max(d, -d)-r.dev)/4
}

func (s *Sender) recordDelivery(r *route, sent, took time.Duration) {
	g := r.group
	r.okAt, r.okSent, r.failStreak, r.refusals = s.now, max(r.okSent, sent), 0, 0
	r.recentFailures, r.recentLosses = r.recentFailures<<1, r.recentLosses<<1
	g.failStreak, g.tableFullCount = 0, 0
	s.updateAnswerTime(r, took)
	s.replaceGuessedPace(g)
	if r.down {
		r.down, r.skipUntil, r.skipLen = false, 0, 0
		g.pace, g.tokens, g.tokensAt = paceAfterSkip, 0, s.now
	}
	s.countDelivery(g)
	if r.okStreak++; r.suspect && r.recoveringSince == 0 {
		// One delivery clears weak evidence, unless more than one call waits and nothing tells how many may
		// follow.
		waits := len(g.dest.queue) > s.callCapacity(r)
		r.recoveringSince = s.now
		r.setSuspect(!r.weakEvidence || waits && s.limit(g) == 0)
		// Without a suspicion the pace alone limits what follows, and it grows from the usual rate.
		if usual := max(s.senderShare(g), s.ownDeliveryRate(g)); !r.suspect && (waits || s.limit(g) == 0) {
			g.pace, g.tokens, g.tokensAt, g.grownAt = min(cmp.Or(g.pace, usual), usual), 1, s.now, s.now
			if waits {
				g.tokens = 0
			}
		}
	}
	s.growPace(g)
}
