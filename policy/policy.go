// Package policy makes a sender's decisions: which route a message tries, when it moves on, waits, is refused
// or fails. Its interface stands in api.go; the decisions stand here, in pace.go, resume.go and spent.go. The
// mechanism is a tiered provider selector: a message tries the routes of its destination in a fixed order,
// the first failure rule that matches an outcome decides, and a failing route is skipped by later messages
// until its skip expires. Order of reading: constants, failure rules, gate and route, message, the guards
// mayAttempt and mayRefuse, route choice, queue and dispatch, deadlines.
package policy

import (
	"cmp"
	"container/heap"
	"math"
	"math/bits"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	firstSkip    = 2 * time.Second         // first skip: most outages last longer, a trial costs one call
	maxSkip     = 10 * time.Second        // longest skip, the page's own length
	skipGrowth   = 1.5                     // factor from one skip to the next while trials fail
	skipJitter   = 0.2                     // share by which a skip varies: senders do not return in step
	outageWait     = 2500 * time.Millisecond // a told wait beyond this means shut, not a limit's span
	outageRefusals = 4                       // refusals in a row, with no answer between, that mean shut
	sparseRefusals   = 2                       // refusals in a row after which a sparse sender doubts
	weakSuspectChance    = 0.6                     // chance that one does, and that a connection failed at once does
	sparseSpread = 3.5                     // calls at the pace over which refused sparse senders spread
	outageRefusalSpan     = 2 * time.Second         // and over at least this long: longer than a limit's usual span
	skipFailStreak   = 3                       // failures in a row that skip a route
	suspectFailStreak  = 2                       // failures in a row after which a route may be in an outage
	suspectRecentFailures  = 3                       // errors or failed connections of the last 8 outcomes that say so
	skipRecentFailures   = 5                       // the same that skip a route
	paceAfterSkip  = 1.0                     // calls a second after a skip
	minPace    = 0.03                    // calls a second under which a pace does not fall
	minPaceShare     = 0.5                     // of its even part of the limit: a pace does not fall below
	paceGrowth    = 0.25                    // growth of the pace with each success
	paceGrowthNearCeiling    = 0.03                    // the same near the rate that was refused last
	maxGrowthSteps   = 8                       // most seconds that one success counts for
	nearCeiling     = 0.85                    // "near": above this share of that rate
	reportNoise  = 1.25                    // reports of a steady limit differ by less than this factor
	maxPaceOverUse     = 3.0                     // above this multiple of the rate in use a pace does not grow
	paceBurst    = 300 * time.Millisecond  // span of pace that may be sent at once after idling
	informedShare    = 2.0 / 3                 // of a push: less from senders told of failures breaks no failback
	scatterDevs      = 1                       // deviations of the sum of all calls that are kept free
	creditLapseShare   = 0.1                     // of the window: a call due in doubt lapses after this
	ownTrafficShare      = 0.2                     // own deliveries in the part; the rest is even
	roughWeightFactor  = 1.5                     // a rough weight may exceed the truth by this factor
	ownRateSpan      = 10 * time.Second        // span of the mean rate of own deliveries
	timeoutDevs         = 6                       // mean deviations over the mean answer time that a time-out allows
	overdueDevs     = 4                       // the same after which an answer is overdue
	minAnswerTime  = 800 * time.Millisecond  // no answer is overdue before this
	deadlineMargin    = 12 * time.Millisecond   // final answers and time-outs come this long before the deadline
	shedThreshold    = 0.9                     // share of the room beyond which held messages are refused
	groupSlotShare    = 0.4                     // share of the slots that one gate may fill
	maxUnansweredCalls   = 2                       // calls out at a route that has not answered yet
	overShareDelay    = 0.5                     // of its time left: how much later traffic over its share queues
	lateDelay    = 2.0                     // of its time left: how much later a message past its aim queues
	scanDepth    = 24                      // messages of a destination looked at for one that may go
	recentAnswerSpan    = 3 * time.Second         // a route that answered within this is alive
	minRetryAfter  = 500 * time.Millisecond  // least advice with a refusal
	minLimit   = 1.0                     // calls a second that any destination takes
	fewSenders   = 6                       // so many fit any table, and see enough of a route by themselves
	maxTableFull    = 2                       // failed connections in a row that a full table explains
	tableFullRest    = 300 * time.Millisecond  // rest of a route with a full table: about an answer's time
	connScarceSpan   = 30 * time.Second        // how long a kind whose table was full is short of connections
)

// sample is one outcome at a route, as the failure rules see it.
type sample struct {
	outcome Outcome
	retryAfter    time.Duration
	sent    time.Duration
	cutShort   bool // cut off before an answer could be expected
	tableFull   bool // no connection, as when a table is full
}

// failureRule is one failure failureRule: what it matches, whether the route is skipped, and what else follows.
type failureRule struct {
	name  string
	match func(s *Sender, r *route, o sample) bool
	skip  bool
	then  func(s *Sender, r *route, o sample)
}

// failureRules is evaluated in order; the first that matches decides.
var failureRules = []failureRule{
	// A long told wait or a run of refusals is a shut destination: it comes back cold.
	{"shut", func(s *Sender, r *route, o sample) bool {
		run := r.refusals >= outageRefusals && s.now-r.refusedAt >= outageRefusalSpan
		return o.outcome == Full && (o.retryAfter > outageWait || run)
	}, true, nil},
	{"full", func(_ *Sender, _ *route, o sample) bool { return o.outcome == Full }, false, (*Sender).halvePace},
	{"trial failed", func(_ *Sender, r *route, _ sample) bool { return r.down }, true, nil},
	// A full table refuses at once and may take the next: a short rest, idle connections closed.
	{"crowded", func(_ *Sender, _ *route, o sample) bool { return o.tableFull }, false, (*Sender).restAfterTableFull},
	{"in a row", func(_ *Sender, r *route, _ sample) bool { return r.failStreak >= skipFailStreak }, true, nil},
	// Outages may fail only most calls: successes between do not clear them.
	{"mostly failing", func(_ *Sender, r *route, _ sample) bool {
		return bits.OnesCount8(r.recentFailures) >= skipRecentFailures
	}, true, nil},
	{"failed", func(*Sender, *route, sample) bool { return true }, false, nil},
}

// New returns a Sender that knows nothing but its settings.
func New(settings Settings, seed uint64) (*Sender, error) {
	if err := settings.Check(); err != nil {
		return nil, err
	}
	settings.Senders = max(1, settings.Senders)
	settings.ColdShare = cmp.Or(max(0, settings.ColdShare), 0.1)
	settings.WarmWithin = cmp.Or(max(0, settings.WarmWithin), 30*time.Second)
	settings.OverloadWindow = cmp.Or(settings.OverloadWindow, 3*time.Second)
	settings.OverloadFactor = cmp.Or(max(0, settings.OverloadFactor), 1)
	return &Sender{
		settings: settings, rng: rand.New(rand.NewPCG(seed, 0x6f6e7978)),
		routes: map[string]*route{}, leastLimit: map[int]float64{}, dests: map[int]*dest{},
		connScarceUntil: map[int]time.Duration{}, msgs: map[uint32]*message{}, keyQueues: map[string]*keyQueue{},
		customerUse: make([]leakyBucket, len(settings.Customers)), excluded: map[string]bool{},
	}, nil
}

// Step takes what has come in at now and returns what to do, in order.
func (s *Sender) Step(now time.Duration, events []Event) []Action {
	s.now, s.actions = now, s.actions[:0]
	// A wake may come a little early, for a clock coarser than ours: one so near does not count as asked for.
	if s.wakeAt <= now+time.Millisecond {
		s.wakeAt = 0
	}
	for i := range events {
		s.handleEvent(&events[i])
	}
	s.removeIdleKeyQueues()
	s.runTimers()
	s.dispatch()
	if n := len(s.timers); n > 0 {
		s.requestWake(s.timers[0].at)
	}
	if s.wantWake > 0 && (s.wakeAt == 0 || s.wantWake < s.wakeAt) {
		s.wakeAt = max(s.wantWake, now+time.Millisecond)
		s.emit(Action{Kind: Wake, Delay: s.wakeAt - now})
	}
	s.wantWake, s.adoptedCalls = 0, nil
	return s.actions
}

func (s *Sender) handleEvent(e *Event) {
	switch e.Kind {
	case Accepted:
		s.acceptMessage(e)
	case Finished:
		s.finishAttempt(e)
	case Probed:
		if r := s.routes[e.Route]; r != nil {
			s.recordLimit(r, e.Report)
			r.group.waitUntil = max(r.group.waitUntil, s.now+e.RetryAfter)
			s.recordOutcome(r, sample{outcome: e.Outcome, retryAfter: e.RetryAfter, sent: s.now - e.Took}, e.Took)
			s.markReady(r.group.dest)
		}
	case Withdrawn:
		if m := s.msgs[e.ID]; m != nil {
			s.endMessage(m)
		}
	case ListFull, ListChanges:
		s.updateList(e.List, e.Kind == ListFull)
	case Excluded, Included:
		s.setExcluded(e.Route, e.Kind == Excluded)
	case ListFailed:
		if s.settings.WatchRequired {
			s.emit(Action{Kind: Watch})
		}
	}
}

// Routes and gates.

// sortRoutes puts routes in their fixed order: listed weight, lower fee, own zone, a lot drawn once for each
// route. A call holds its slot for the way there and back, and that is most of it from zone to zone. The lot
// guards against hundreds of senders that all load the first of several equal routes.
func (s *Sender) sortRoutes(d *dest) {
	less := func(a, b *route) int {
		switch {
		case a.Weight != b.Weight && !s.settings.NoWeights:
			return cmp.Compare(b.Weight, a.Weight)
		case s.zoneFee(a) != s.zoneFee(b):
			return cmp.Compare(s.zoneFee(a), s.zoneFee(b))
		case s.inOwnZone(a) != s.inOwnZone(b):
			return cmp.Compare(s.inOwnZone(b), s.inOwnZone(a))
		case a.tieBreak != b.tieBreak && s.settings.Senders > fewSenders:
			return cmp.Compare(a.tieBreak, b.tieBreak)
		}
		return cmp.Compare(a.Route, b.Route)
	}
	for _, g := range d.groups {
		slices.SortFunc(g.routes, less)
	}
	if len(d.groups) > 1 {
		slices.SortFunc(d.groups, func(a, b *routeGroup) int { return less(a.routes[0], b.routes[0]) })
	}
}

// inOwnZone is 1 for a route in this sender's zone.
func (s *Sender) inOwnZone(r *route) int {
	if r.Zone == s.settings.Zone {
		return 1
	}
	return 0
}

// zoneFee is what a message costs by its route's zone.
func (s *Sender) zoneFee(r *route) float64 {
	if r.group.separate && r.Zone >= 0 && r.Zone < len(s.settings.ZoneFees) {
		return s.settings.ZoneFees[r.Zone]
	}
	return 0
}

// limit is what a gate takes from all senders, on the low side, in calls a second; 0 if nothing tells. One
// that is told in answers and has not been yet is taken for the least told of its kind.
func (s *Sender) limit(g *routeGroup) float64 {
	if l := cmp.Or(g.limit, s.leastLimit[g.kind]); l > 0 || s.settings.NoWeights || len(g.routes) == 0 {
		return l
	}
	if s.settings.RoughWeights {
		return g.routes[0].Weight / roughWeightFactor
	}
	return g.routes[0].Weight
}

// senderShare is this sender's senderShare of the calls a second that a gate takes from all: a fixed mix of an even senderShare
// and own deliveries, since traffic is uneven. Each adds up to what the gate takes, and so does the mix.
func (s *Sender) senderShare(g *routeGroup) float64 {
	return (1-ownTrafficShare)*math.Max(minLimit, s.limit(g))/float64(s.settings.Senders) + ownTrafficShare*s.ownDeliveryRate(g)
}

// recoveryRate is how many calls a second this sender may make to a route in doubt that takes L from all when
// warm. It falls over at OverloadFactor*share*L*OverloadWindow calls in a window, at the share of the
// window's end. Senders told of a failure break no rule below two thirds of that: b. They draw their calls
// apart: a sum of n scatters by sqrt(n), by half a call for each of few senders. n + scatter*deviation = b
// gives n, shared by parts that add up. A call not made lapses, so that a window holds little more than its
// own after any outage. The share grows with the time since the first delivery, no further than deliveries in
// a row bear out: an outage fails most calls, k in a row have a chance of 2^-k in it.
func (s *Sender) recoveryRate(r *route) float64 {
	share, warming := s.settings.ColdShare, 1-s.settings.ColdShare
	window, warm := s.settings.OverloadWindow.Seconds(), s.settings.WarmWithin.Seconds()
	if r.recoveringSince > 0 {
		share += warming * min((s.now-r.recoveringSince).Seconds()/warm, 1-math.Pow(0.5, float64(r.okStreak)))
	}
	takes := max(minLimit, s.limit(r.group), s.ownDeliveryRate(r.group))
	b := informedShare * s.settings.OverloadFactor * min(1, share+warming*window/warm) * takes * window
	root := (math.Sqrt(scatterDevs*scatterDevs+4*b) - scatterDevs) / 2
	n := max(root*root, b-scatterDevs*math.Sqrt(float64(s.settings.Senders))/2)
	return n / (window * (1 + creditLapseShare)) * s.senderShare(r.group) / takes
}

// recoveryOpensAt is when a route that may be cold takes its next call. Guards against pushing over a returning
// destination: every send to a route in doubt draws on one budget of its gate. The first call is drawn by
// chance, so that the sum over all senders is right. It holds during an outage too, whose end is not told.
func (s *Sender) recoveryOpensAt(r *route) time.Duration {
	g := r.group
	r.suspect = r.suspect && (r.recoveringSince == 0 || s.now < r.recoveringSince+s.settings.WarmWithin)
	if r.okAt == 0 && (g.failStreak >= suspectFailStreak || g.anySuspect() || s.now < g.suspectRemovedAt+s.settings.WarmWithin) {
		s.markSuspect(r) // not answered yet: it stands as its siblings do, or those it replaced
	}
	if !r.suspect {
		return 0
	}
	rate := s.recoveryRate(r)
	// A told wait saves nothing up: all who were told it would call at its end.
	g.creditAt = max(g.creditAt, g.waitUntil)
	if s.now > g.creditAt {
		g.credit += rate * (s.now - g.creditAt).Seconds()
		g.credit -= math.Max(0, math.Floor(g.credit-rate*creditLapseShare*s.settings.OverloadWindow.Seconds()))
		g.creditAt = s.now
	}
	if g.credit >= 1 {
		return 0
	}
	return g.creditAt + max(time.Millisecond, interval(rate/(1-g.credit)))
}

// routeOpensAt is when a route next takes a call, as far as its gate, skip and pace tell; math.MaxInt64 if
// only an outcome can open it.
func (s *Sender) routeOpensAt(r *route) time.Duration {
	g := r.group
	if !r.usable() || r.down && len(r.calls) > 0 || s.slotsExhausted(r) || g.guessed && g.callsOut > 0 {
		return math.MaxInt64
	}
	at := max(g.waitUntil, r.skipUntil, s.recoveryOpensAt(r))
	if g.pace > 0 && !g.guessed {
		s.refillTokens(g, paceBurst)
		if g.tokens < 1 {
			at = max(at, g.tokensAt+interval(g.pace/(1-g.tokens)))
		}
	}
	return at
}

// slotsExhausted tells whether a route or its gate holds too many slots. Guards against silent or very slow routes
// that would fill the slots before any time-out tells: a route that has not answered yet takes only a few
// calls, and none more while its oldest call is overdue. A jam of the whole fleet looks alike; it ends with
// the first answer.
func (s *Sender) slotsExhausted(r *route) bool {
	full := r.group.callsOut >= max(2, int(groupSlotShare*float64(s.settings.Slots)))
	unknown := r.okAt == 0 && len(r.calls) >= maxUnansweredCalls
	return s.settings.Slots > 0 && (full || unknown || s.overdue(r))
}

// overdue tells whether the oldest call of a route is overdue, with none answered that were sent later.
func (s *Sender) overdue(r *route) bool {
	return len(r.calls) > 0 && s.now > r.calls[0].overdueAt && r.okSent < r.calls[0].sent
}

// looksTableFull tells whether a failed connection looks like a full table: it failed at once, at a route that
// answered of late or, among many senders, of a kind that had such failures. Some in a row are an outage.
func (s *Sender) looksTableFull(r *route, o sample) bool {
	scarce := s.settings.Senders > fewSenders && s.now < s.connScarceUntil[r.Kind]
	failed := o.outcome == ConnectFailed && s.now-o.sent < minAnswerTime
	return failed && r.group.tableFullCount < maxTableFull && (s.answeredRecently(r) || scarce)
}

// restAfterTableFull answers a full connection table.
func (s *Sender) restAfterTableFull(r *route, _ sample) {
	r.skipUntil = s.now + time.Duration((0.5+s.rng.Float64())*float64(tableFullRest))
	s.emit(Action{Kind: CloseIdle, Route: r.Route})
}

// recordOutcome takes an outcome as an observation of its route.
func (s *Sender) recordOutcome(r *route, o sample, took time.Duration) {
	if s.now < s.connScarceUntil[r.Kind] && s.settings.Senders > fewSenders {
		s.emit(Action{Kind: CloseIdle, Route: r.Route})
	}
	switch o.outcome {
	case OK:
		s.recordDelivery(r, o.sent, took)
		return
	case Moot, Cancelled:
		return
	case Full:
		if r.refusals == 0 {
			r.refusedAt = s.now
		}
		r.refusals++
		s.weighWeakEvidence(r)
	default:
		if o.outcome == Timeout || o.outcome == Reset {
			// Calls may be lost with the connection that carries them: the next one takes a fresh one.
			s.emit(Action{Kind: CloseIdle, Route: r.Route})
			// The route lives, or has answered since: this call was lost, and says nothing of the route's
			// standing or of how long answers take. Learned from, each further loss would hold a slot longer.
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
		// An outage answers no call or fails most at once: time-outs between answers are losses, not that.
		if o.outcome == Error || o.outcome == ConnectFailed {
			r.recentFailures = r.recentFailures<<1 | 1
		}
		if r.failStreak >= suspectFailStreak || bits.OnesCount8(r.recentFailures) >= suspectRecentFailures {
			s.markSuspect(r)
		} else {
			s.suspectWeakly(r)
		}
		// Failures in a row over all routes of a gate tell of an outage of them all.
		if r.group.failStreak++; r.group.failStreak >= skipFailStreak {
			for _, x := range r.group.routes {
				s.markSuspect(x)
			}
		}
	}
	// A call cut off early, for lack of time left, may cast doubt on its route but skips none.
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

// sparse tells whether this sender's part of a gate is less than a call in the span of a fall.
func (s *Sender) sparse(g *routeGroup) bool { return s.senderShare(g)*s.settings.OverloadWindow.Seconds() < 1 }

// suspectWeakly puts a route in slight doubt, which one delivery clears, where this sender's part is under a call
// in the span of a fall. Guards against hundreds of senders, told of one failure each, that push as one.
func (s *Sender) suspectWeakly(r *route) {
	if !r.suspect && s.sparse(r.group) {
		s.markSuspect(r)
		r.weakEvidence = true
	}
}

// weighWeakEvidence takes two refusals some time apart for a sign of an outage and, where this sender's part is under a
// call in a warm-up, by chance one refusal or one connection failed as at a full table. Guards against many
// senders told once that all come again. Most refusals being a limit's, some must: those left are under two
// thirds while they come less than five times as often as senders not told.
func (s *Sender) weighWeakEvidence(r *route) {
	repeated := r.refusals >= sparseRefusals && s.now-r.refusedAt >= outageRefusalSpan
	infrequent := !s.answeredRecently(r) && s.senderShare(r.group)*s.settings.WarmWithin.Seconds() < 1
	if repeated && s.settings.Senders > fewSenders && !s.sparse(r.group) {
		s.markSuspect(r)
	} else if repeated || infrequent && s.rng.Float64() < weakSuspectChance {
		s.suspectWeakly(r)
	}
}

// answeredRecently tells whether a route has answered of late.
func (s *Sender) answeredRecently(r *route) bool { return r.okAt > 0 && s.now-r.okAt < recentAnswerSpan }

// markSuspect puts a route under the recovery budget.
func (s *Sender) markSuspect(r *route) {
	if g := r.group; !g.anySuspect() {
		g.credit, g.creditAt = s.rng.Float64(), s.now
		g.ownRate, g.ownRateAt = s.ownDeliveryRate(g), s.now
	}
	r.suspect, r.weakEvidence, r.recoveringSince, r.okStreak = true, false, 0, 0
}

// skipRoute enters a route in the skipRoute table. Failures of calls sent before the skipRoute began add nothing.
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

// updateAnswerTime learns how long answers of a route take. A time-out tells that its answer takes longer.
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
	r.recentFailures, r.recentLosses, g.failStreak, g.tableFullCount = r.recentFailures<<1, r.recentLosses<<1, 0, 0
	s.updateAnswerTime(r, took)
	s.replaceGuessedPace(g)
	if r.down {
		r.down, r.skipUntil, r.skipLen = false, 0, 0
		g.pace, g.tokens, g.tokensAt = paceAfterSkip, 0, s.now
	}
	s.countDelivery(g)
	if r.okStreak++; r.suspect && r.recoveringSince == 0 {
		// One delivery ends a slight doubt, but not where more than a call waits and nothing tells how much
		// may follow it.
		waits := len(g.dest.queue) > s.callCapacity(r)
		r.recoveringSince, r.suspect = s.now, !r.weakEvidence || waits && s.limit(g) == 0
		if usual := max(s.senderShare(g), s.ownDeliveryRate(g)); !r.suspect && waits {
			g.pace, g.tokens, g.tokensAt, g.grownAt = min(cmp.Or(g.pace, usual), usual), 0, s.now, s.now
		}
	}
	s.growPace(g)
}

// Messages.

func (s *Sender) acceptMessage(e *Event) {
	c := &Class{Effect: Unsafe, Ordered: true, Aim: e.TimeLeft / 2, GiveUp: e.TimeLeft, Value: 1} // the strictest
	if e.Class >= 0 && e.Class < len(s.settings.Classes) {
		c = &s.settings.Classes[e.Class]
	}
	m := &message{id: e.ID, class: c, dest: s.destination(e.Destination)}
	m.deadline = s.now + e.TimeLeft - deadlineMargin
	m.aimBy = s.now + c.Aim - max(0, c.GiveUp-e.TimeLeft)
	m.rank = s.now + time.Duration(float64(m.aimBy-s.now)/math.Max(c.Value, 0.01))
	if e.Resumed == nil && s.exceedsShare(e.Customer) { // one taken on before was counted then
		m.rank += time.Duration(overShareDelay * float64(e.TimeLeft))
	}
	s.msgs[m.id] = m
	s.held++
	m.dest.held++
	if c.Ordered && e.Key != "" {
		s.joinKeyQueue(m, e.Key)
	}
	s.applyResumed(m, e.Resumed)
	heap.Push(&s.timers, timer{m.deadline, m})
	heap.Push(&s.timers, timer{m.aimBy, m})
	if len(m.outstanding) == 0 {
		s.enqueue(m)
	}
	s.shedLoad()
}

// exceedsShare counts a message against its customer's share and tells whether it lies beyond.
func (s *Sender) exceedsShare(c int) bool {
	if c < 0 || c >= len(s.customerUse) || s.settings.Customers[c].Quota <= 0 {
		return false
	}
	b, rate := &s.customerUse[c], s.settings.Customers[c].Quota/float64(s.settings.Senders)
	b.level, b.at = math.Max(0, b.level-rate*(s.now-b.at).Seconds())+1, s.now
	if b.level > 1+2*rate {
		b.level--
		return true
	}
	return false
}

// shedLoad refuses the last message of the longest queue while little room is left.
func (s *Sender) shedLoad() {
	if s.settings.MaxHeld <= 0 || s.held <= int(shedThreshold*float64(s.settings.MaxHeld)) {
		return
	}
	var longest *dest
	for _, d := range s.active {
		if longest == nil || cmp.Or(len(d.queue)-len(longest.queue), longest.id-d.id) > 0 {
			longest = d
		}
	}
	if longest == nil {
		return
	}
	for i := len(longest.queue) - 1; i >= 0; i-- {
		if m := longest.queue[i]; s.mayRefuseEarly(m) {
			s.refuse(m)
			return
		}
	}
}

func (s *Sender) finishAttempt(e *Event) {
	m := s.msgs[e.ID]
	r, c := s.routes[e.Route], s.detachAttempt(m, e.Attempt)
	if c != nil {
		r = c.route
	}
	// A told wait keeps every message from the gate until it is over, whoever was told.
	if r != nil && e.RetryAfter > 0 {
		r.group.waitUntil = max(r.group.waitUntil, s.now+e.RetryAfter)
	}
	if c == nil {
		return
	}
	s.recordLimit(r, e.Report)
	c.pending--
	c.delivered = c.delivered || e.Outcome == OK
	if c.pending == 0 {
		s.endCall(c)
		o := e.Outcome
		if c.delivered {
			o = OK
		}
		short := (o == Timeout || o == ConnectFailed) && c.timeoutAt < c.sent+minAnswerTime
		s.recordOutcome(r, sample{outcome: o, retryAfter: e.RetryAfter, sent: c.sent, cutShort: short}, e.Took)
	}
	s.markReady(m.dest)
	s.recordAttempt(m, e, c)
	switch {
	case e.MessageEnded:
		s.endMessage(m)
	case m.ended:
		s.forgetEnded(m)
	case s.exhausted(m):
		s.giveUp(m)
	default:
		s.enqueue(m)
	}
}

// recordAttempt notes for a message what its attempt may have done.
func (s *Sender) recordAttempt(m *message, e *Event, c *call) {
	switch e.Outcome {
	case ConnectFailed:
		m.failedRoute = c.route
		return
	case Full, Moot:
		return
	case Timeout, Reset, Cancelled:
		m.timeouts++
		if m.keyQueue != nil {
			m.keyQueue.restUntil = max(m.keyQueue.restUntil, s.now+s.settings.OrderPause)
		}
	}
	m.failedRoute = c.route
	if !m.mayHaveRun || c.sent < m.firstRunAt {
		s.markMayHaveRun(m, c.sent, c.route.Zone)
	}
}

// mayRefuse tells whether a refusal keeps the rule of effects: the client may come again.
func (s *Sender) mayRefuse(m *message) bool {
	free := m.class.Effect == Safe || m.class.Effect == Keyed && m.class.GroupAll
	return !m.ended && (free || !m.mayHaveRun && len(m.outstanding) == 0)
}

// mayAttempt is the one guard of all sends. It tells when a send of m to r keeps the rules;
// math.MaxInt64 if never as things stand.
func (s *Sender) mayAttempt(m *message, r *route) time.Duration {
	const never = time.Duration(math.MaxInt64)
	// Rule 1: nothing after the end, nothing past the time or the attempts.
	if m.ended || s.now >= m.deadline || s.settings.MaxAttempts > 0 && m.sends >= s.settings.MaxAttempts {
		return never
	}
	// Rule 2: one attempt at a time; repeats only where they are dropped.
	if len(m.outstanding) > 0 {
		return never
	}
	if m.mayHaveRun {
		switch m.class.Effect {
		case Unsafe:
			return never
		case Keyed:
			if !m.class.GroupAll && r.Zone != m.firstRunZone || s.now >= m.windowEnd() {
				return never
			}
		}
	}
	// Rule 3: routes in service only.
	if !r.usable() || r.Destination != m.dest.id {
		return never
	}
	// Rule 6: the key's turn and its rest.
	at := time.Duration(0)
	if t := m.keyQueue; t != nil {
		if t.messages[0] != m {
			return never
		}
		if m.sends == 0 {
			at = t.restUntil
		}
	}
	// Rule 4: the recovery budget. Rule 5: told waits.
	return max(at, r.group.waitUntil, s.recoveryOpensAt(r))
}

// Route choice.

// chooseRoute returns the first route in order that takes the message now; else nil and when one may.
func (s *Sender) chooseRoute(m *message) (*route, time.Duration) {
	fallback, soonest := (*route)(nil), time.Duration(math.MaxInt64)
	for _, g := range m.dest.groups {
		var best *route
		for _, r := range g.routes {
			at := s.mayAttempt(m, r)
			if m.deadline-s.now < r.mean {
				continue // no time left for an answer
			}
			// An unsafe message is lost with its attempt: others try a skipped route first.
			if r.down && m.class.Effect == Unsafe {
				at = max(at, m.deadline-(m.deadline-m.aimBy)/2)
			}
			if at < math.MaxInt64 {
				at = max(at, s.routeOpensAt(r))
			}
			if at > s.now || s.mustWaitForNextCall(m, r) {
				soonest = min(soonest, max(at, s.now+time.Millisecond))
				continue
			}
			if r == m.failedRoute || s.overdue(r) {
				fallback = r
				continue
			}
			// Routes that share a gate are one tier: the one with fewest calls out, in order.
			if best == nil || len(r.calls) < len(best.calls) {
				best = r
			}
		}
		if best != nil {
			return best, s.now
		}
	}
	return fallback, soonest
}

// findNext finds the destination's findNext message that may go, or when one may.
func (s *Sender) findNext(d *dest) {
	d.next, d.nextRoute, d.opensAt = nil, nil, math.MaxInt64
	for _, g := range d.groups {
		for _, r := range g.routes {
			d.opensAt = min(d.opensAt, s.routeOpensAt(r))
		}
	}
	if d.opensAt > s.now {
		return
	}
	d.opensAt = math.MaxInt64
	for i := 0; i < len(d.queue) && i < scanDepth; i++ {
		r, at := s.chooseRoute(d.queue[i])
		if r != nil {
			d.next, d.nextRoute, d.opensAt = d.queue[i], r, 0
			return
		}
		d.opensAt = min(d.opensAt, at)
	}
}

// Queue and dispatch.

// ranksBefore tells which of two messages goes first.
func ranksBefore(a, b *message) bool {
	return a.rank < b.rank || a.rank == b.rank && a.id < b.id
}

// dispatch sends what may go, first in order first, while slots last. Destinations that nothing touched since
// they were found closed are not looked at.
func (s *Sender) dispatch() {
	ready := s.popOpened(s.ready[:0])
	s.ready = ready
	for s.settings.Slots <= 0 || s.slotsUsed < s.settings.Slots {
		var best *dest
		for _, d := range ready {
			if d.next == nil && d.opensAt <= s.now && len(d.queue) > 0 {
				s.findNext(d)
			}
			if d.next != nil && (best == nil || s.dispatchesBefore(d, best)) {
				best = d
			}
		}
		if best == nil {
			break
		}
		s.startCall(best)
		best.next = nil
	}
	for _, d := range ready {
		s.refuseUnreachable(d)
	}
	s.requeueReady()
}

// refuseUnreachable refuses what waits for nothing: messages of a destination that opens only after their deadlines.
// The client may come again elsewhere, to a sender that was told less.
func (s *Sender) refuseUnreachable(d *dest) {
	for i := len(d.queue) - 1; i >= 0; i-- {
		if m := d.queue[i]; d.opensAt < math.MaxInt64 && d.opensAt >= m.deadline && s.mayRefuseEarly(m) {
			s.refuse(m)
		}
	}
}

// startCall starts a call with the destination's next message and, where its kind allows, with further ones for
// the same route: it counts once against a limit.
func (s *Sender) startCall(d *dest) {
	r := d.nextRoute
	c := &call{route: r, sent: s.now, overdueAt: s.now + s.maxAnswerTime(r, overdueDevs), endsAt: d.next.deadline}
	s.callsStarted++
	room, firstAction := s.callCapacity(r), len(s.actions)
	s.addToCall(d.next, c)
	if c.pending == 0 {
		return
	}
	for i := 0; c.pending < room && i < len(d.queue) && i < scanDepth; {
		if m := d.queue[i]; m.failedRoute == r || !c.hasTimeFor(m) || !s.addToCall(m, c) {
			i++
		}
	}
	for i := range s.actions[firstAction:] {
		s.actions[firstAction+i].TimeoutAt = min(s.actions[firstAction+i].TimeoutAt, c.endsAt)
	}
	s.beginCall(c)
}

// addToCall adds an attempt of m to a call, if the guard lets it.
func (s *Sender) addToCall(m *message, c *call) bool {
	if s.mayAttempt(m, c.route) > s.now {
		return false
	}
	s.dequeue(m)
	m.outstanding = append(m.outstanding, attempt{m.sends, c})
	m.sends++
	c.pending++
	c.endsAt = min(c.endsAt, m.deadline)
	timeoutAt := s.attemptTimeout(m, c.route)
	if c.timeoutAt == 0 || timeoutAt < c.timeoutAt {
		c.timeoutAt = timeoutAt
	}
	s.emit(Action{Kind: Send, ID: m.id, Route: c.route.Route, Call: s.callsStarted, TimeoutAt: timeoutAt})
	return true
}

// maxAnswerTime is how long an answer of a route may take: its mean and so many mean deviations.
func (s *Sender) maxAnswerTime(r *route, devs int) time.Duration {
	if r.mean == 0 {
		return 2 * minAnswerTime
	}
	return max(minAnswerTime, r.mean+time.Duration(devs)*r.dev)
}

// attemptTimeout is when an attempt times out: as long as the route's answers have taken, at most half the time left.
// An unsafe message has no second try and waits twice as long; a trial of a skipped route waits least.
func (s *Sender) attemptTimeout(m *message, r *route) time.Duration {
	left := m.deadline - s.now
	usual := max(s.maxAnswerTime(r, timeoutDevs), m.class.Aim/2)
	if m.class.Effect == Keyed && !m.class.GroupAll {
		usual = max(usual, m.class.Aim) // a repeat is bound to few routes
	}
	if s.settings.Slots > 0 && 2*s.slotsUsed > s.settings.Slots {
		usual = min(usual, m.class.Aim)
	}
	if r.down {
		usual = m.class.Aim / 2
	}
	if r.recentLosses != 0 && s.slotsScarce() {
		return s.now + min(left, usual, s.maxAnswerTime(r, timeoutDevs))
	}
	if m.class.Effect == Unsafe {
		return s.now + min(left, 2*usual)
	}
	// Where half of the time is less than an answer may take, one try has all of it.
	if left/2 >= s.maxAnswerTime(r, overdueDevs) {
		left /= 2
	}
	return s.now + min(left, usual)
}

// Deadlines.

// runTimers gives every message whose time is up its final answer.
func (s *Sender) runTimers() {
	s.pruneTimers()
	for len(s.timers) > 0 && (s.timers[0].at <= s.now || s.timers[0].message.ended) {
		m := heap.Pop(&s.timers).(timer).message
		switch {
		case m.ended:
		case s.exhausted(m) || s.now >= m.deadline:
			s.giveUp(m)
		case s.now >= m.aimBy:
			s.demoteLate(m)
		}
	}
}

// demoteLate moves a message back that has missed its aim: what is still in time goes first, with more to lose.
func (s *Sender) demoteLate(m *message) {
	queued := m.queued
	s.dequeue(m)
	after := lateDelay * float64(m.deadline-s.now) / math.Max(m.class.Value, 0.01)
	m.rank = max(m.rank, s.now+time.Duration(after))
	if queued {
		s.enqueue(m)
	}
}

// refuse ends a message with advice to come again once a route may take it.
func (s *Sender) refuse(m *message) {
	if !s.mayRefuse(m) {
		return
	}
	after := time.Duration(0)
	if s.settings.MaxRetryAfter > 0 {
		after = minRetryAfter
		for _, g := range m.dest.groups {
			after = max(after, g.waitUntil-s.now)
		}
		after = min(after, s.settings.MaxRetryAfter)
	}
	s.emit(Action{Kind: Refuse, ID: m.id, Delay: after})
	s.endMessage(m)
}

// fail ends a message for which nothing is promised.
func (s *Sender) fail(m *message) {
	s.emit(Action{Kind: Fail, ID: m.id})
	s.endMessage(m)
}
