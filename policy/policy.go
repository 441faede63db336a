// Package policy makes the decisions of a sender: which route a message tries, and when the message is
// retried, held, refused or failed. api.go holds the interface; the decisions are in this file and in
// outcomes.go, pace.go, resume.go, slots.go, exclusion.go and giveup.go. A message tries the routes of its
// destination in a fixed order. The first failure rule that matches an outcome decides what follows, and
// later messages skip a failing route until its skip expires.
//
// This file is ordered as follows: constants, route groups and routes, messages, the guards mayAttempt and
// mayRefuse, route choice, queue and dispatch, deadlines.
package policy

import (
	"cmp"
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	firstSkip             = 2 * time.Second         // most outages last longer; a trial costs one call
	maxSkip               = 10 * time.Second        // longest skip, the length that the design gives
	skipGrowth            = 1.5                     // factor from one skip to the next while trials fail
	skipJitter            = 0.2                     // share that skips vary by, to keep senders out of step
	outageWait            = 2500 * time.Millisecond // a longer Retry-After means an outage, not a rate limit
	outageRefusals        = 4                       // refusals in a row that mean an outage
	sparseRefusals        = 2                       // refusals in a row over outageRefusalSpan hinting at one
	weakSuspectChance     = 0.6                     // chance that a single hint makes a route suspect
	sparseSpread          = 3.5                     // spread of refused sparse senders, in calls at the pace
	outageRefusalSpan     = 2 * time.Second         // least span of refusals; rate limits refuse for less
	skipFailStreak        = 3                       // failures in a row that skip a route
	suspectFailStreak     = 2                       // failures in a row that make a route suspect
	suspectRecentFailures = 3                       // errors or failed connections of the last 8 that do so
	skipRecentFailures    = 5                       // the same, that skip a route
	paceAfterSkip         = 1.0                     // calls a second after a skip
	minPace               = 0.03                    // calls a second; a pace does not fall below this
	minPaceShare          = 0.5                     // lowest pace, as a share of an even split of the limit
	paceGrowth            = 0.25                    // growth of the pace with each success
	paceGrowthNearCeiling = 0.03                    // growth of the pace near the rate that was refused last
	maxGrowthSteps        = 8                       // most seconds of growth that one success counts for
	nearCeiling           = 0.85                    // share of the rate refused last that counts as near it
	reportNoise           = 1.25                    // reports of a steady limit differ by a smaller factor
	maxPaceOverUse        = 3.0                     // no growth of a pace over this multiple of the used rate
	paceBurst             = 300 * time.Millisecond  // span of pace that may be sent at once after idling
	informedShare         = 2.0 / 3                 // below this, senders that saw failures violate no rule
	scatterDevs           = 1                       // standard deviations of the sum of calls kept as margin
	creditLapseShare      = 0.1                     // part of OverloadWindow after which unused credit lapses
	ownTrafficShare       = 0.2                     // part of a share split by own deliveries; rest is even
	roughWeightFactor     = 1.5                     // a rough weight may exceed the true one by this factor
	ownRateSpan           = 10 * time.Second        // time constant of the mean rate of own deliveries
	timeoutDevs           = 6                       // mean deviations above mean answer time for a timeout
	overdueDevs           = 4                       // the same, after which an answer is overdue
	minAnswerTime         = 800 * time.Millisecond  // no answer is overdue before this
	deadlineMargin        = 12 * time.Millisecond   // final answers and timeouts precede the deadline by this
	shedThreshold         = 0.9                     // share of MaxHeld above which held messages are refused
	groupSlotShare        = 0.4                     // share of the slots that one route group may use
	maxUnansweredCalls    = 2                       // calls out at a route that has not answered yet
	overShareDelay        = 0.5                     // rank delay over a share, in units of the time left
	lateDelay             = 2.0                     // rank delay past the aim, in units of the time left
	scanDepth             = 24                      // messages of a destination searched for one that may go
	recentAnswerSpan      = 3 * time.Second         // a route that answered within this is taken to work
	minRetryAfter         = 500 * time.Millisecond  // shortest Retry-After sent with a refusal
	minLimit              = 1.0                     // calls a second that any destination takes
	fewSenders            = 6                       // so few fit any table, and each sees enough of a route
	maxTableFull          = 2                       // failed connections in a row that a full table explains
	tableFullRest         = 300 * time.Millisecond  // rest of a route with a full table; about an answer time
	connScarceSpan        = 30 * time.Second        // how long a kind lacks connections after a full table
)

// New returns a Sender with the given settings and no routes or messages. The seed fixes its random choices.
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
		connScarceUntil: map[int]time.Duration{}, msgs: map[uint32]*message{},
		keyQueues: map[string]*keyQueue{}, excluded: map[string]bool{},
		unlistedWaits: map[string]time.Duration{}, customerUse: make([]leakyBucket, len(settings.Customers)),
	}, nil
}

// Step applies the events that have arrived by now and returns the actions to take, in order. The returned
// slice is valid until the next call.
func (s *Sender) Step(now time.Duration, events []Event) []Action {
	s.now, s.actions = now, s.actions[:0]
	// With a coarser clock, a wake may come slightly early. A wake due within a millisecond counts as having
	// come.
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
			s.holdBack(r, e.RetryAfter)
			o := sample{outcome: e.Outcome, retryAfter: e.RetryAfter, sent: s.now - e.Took}
			s.recordOutcome(r, o, e.Took)
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

// Routes and route groups.

// sortRoutes sorts routes by listed weight, lower fee and own zone, and breaks ties by a number drawn once
// for each route. The own zone comes before others since a call holds its slot for the round trip, most of
// which is the distance between zones. The random tie-break keeps hundreds of senders from all loading the
// first of several equal routes.
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

// inOwnZone returns 1 for a route in this sender's zone, else 0.
func (s *Sender) inOwnZone(r *route) int {
	if r.Zone == s.settings.Zone {
		return 1
	}
	return 0
}

// zoneFee returns the fee of a message for the zone of its route.
func (s *Sender) zoneFee(r *route) float64 {
	if r.group.separate && r.Zone >= 0 && r.Zone < len(s.settings.ZoneFees) {
		return s.settings.ZoneFees[r.Zone]
	}
	return 0
}

// limit estimates, on the low side, how many calls a second a route group takes from all senders; 0 if
// unknown. A group that has reported no limit yet is assumed to have the lowest limit reported for its kind.
func (s *Sender) limit(g *routeGroup) float64 {
	if l := cmp.Or(g.limit, s.leastLimit[g.kind]); l > 0 || s.settings.NoWeights || len(g.routes) == 0 {
		return l
	}
	if s.settings.RoughWeights {
		return g.routes[0].Weight / roughWeightFactor
	}
	return g.routes[0].Weight
}

// senderShare is this sender's share of the calls a second that a route group takes from all senders. Since
// traffic is uneven, it mixes an even split and the sender's own delivery rate in a fixed proportion. Over
// all senders each of the two adds up to what the group takes, and so does the mix.
func (s *Sender) senderShare(g *routeGroup) float64 {
	even := (1 - ownTrafficShare) * math.Max(minLimit, s.limit(g)) / float64(s.settings.Senders)
	return even + ownTrafficShare*s.ownDeliveryRate(g)
}

// recoveryRate is how many calls a second this sender may make to a suspect route that takes L calls a second
// from all senders when warm. The destination is overloaded by OverloadFactor*share*L*OverloadWindow calls in
// a window, where share is its share of the warm capacity at the end of the window. Senders that saw a
// failure violate no rule below two thirds of that number, b. They make their calls independently of each
// other, so that a sum of n calls scatters by sqrt(n), or by half a call for each sender where senders are
// few. Solving n + scatterDevs*deviation = b gives n, which is split by shares that add up. An unused call
// lapses, so that a window holds little more than its own budget after an outage of any length. The share
// grows with the time since the first delivery, but no further than the deliveries in a row support: in an
// outage that fails most calls, k successes in a row have a chance of 2^-k.
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

// recoveryOpensAt is when a suspect route takes its next call; 0 for a route that is not suspect. It keeps
// senders from overloading a destination that recovers: all sends to suspect routes of a group draw on one
// budget. The first call is drawn at random, so that the sum over all senders is right. The budget also
// applies during the outage, since nobody reports its end.
func (s *Sender) recoveryOpensAt(r *route) time.Duration {
	g := r.group
	r.setSuspect(r.suspect && (r.recoveringSince == 0 || s.now < r.recoveringSince+s.settings.WarmWithin))
	if r.okAt == 0 && (g.failStreak >= suspectFailStreak || g.anySuspect() ||
		s.now < g.suspectRemovedAt+s.settings.WarmWithin) {
		s.markSuspect(r) // has not answered yet: suspect if its siblings are, or the routes that it replaced
	}
	if !r.suspect {
		return 0
	}
	rate := s.recoveryRate(r)
	// No credit accrues during a Retry-After wait. Otherwise all senders that were told to wait would call at
	// its end.
	g.creditAt = max(g.creditAt, g.waitUntil)
	if s.now > g.creditAt {
		g.credit += rate * (s.now - g.creditAt).Seconds()
		unused := g.credit - rate*creditLapseShare*s.settings.OverloadWindow.Seconds()
		g.credit -= math.Max(0, math.Floor(unused))
		g.creditAt = s.now
	}
	if g.credit >= 1 {
		return 0
	}
	return g.creditAt + max(time.Millisecond, interval(rate/(1-g.credit)))
}

// routeOpensAt is when a route next takes a call as far as its group, skip and pace are concerned;
// math.MaxInt64 if only an outcome can open it.
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

// slotsExhausted reports whether a route or its group holds too many slots. Otherwise silent or very slow
// routes would fill the slots before any timeout shows it. A route that has not answered yet gets only a few
// calls, and none while its oldest call is overdue. A stall of the whole fleet looks the same; it ends with
// the first answer.
func (s *Sender) slotsExhausted(r *route) bool {
	full := r.group.callsOut >= max(2, int(groupSlotShare*float64(s.settings.Slots)))
	unknown := r.okAt == 0 && len(r.calls) >= maxUnansweredCalls
	return s.settings.Slots > 0 && (full || unknown || s.overdue(r))
}

// overdue reports whether the oldest call of a route is overdue and no call sent later has been answered.
func (s *Sender) overdue(r *route) bool {
	return len(r.calls) > 0 && s.now > r.calls[0].overdueAt && r.okSent < r.calls[0].sent
}

// Messages.

func (s *Sender) acceptMessage(e *Event) {
	// The strictest rules, for an unknown class.
	c := &Class{Effect: Unsafe, Ordered: true, Aim: e.TimeLeft / 2, GiveUp: e.TimeLeft, Value: 1}
	if e.Class >= 0 && e.Class < len(s.settings.Classes) {
		c = &s.settings.Classes[e.Class]
	}
	m := &message{id: e.ID, class: c, dest: s.destination(e.Destination)}
	m.deadline = s.now + e.TimeLeft - deadlineMargin
	m.aimBy = s.now + c.Aim - max(0, c.GiveUp-e.TimeLeft)
	m.rank = s.now + time.Duration(float64(m.aimBy-s.now)/math.Max(c.Value, 0.01))
	// A resumed message was counted by the process that accepted it.
	if e.Resumed == nil && s.exceedsShare(e.Customer) {
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

// exceedsShare counts a message against its customer's share and reports whether it exceeds the share.
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

// shedLoad refuses the last message of the longest queue while the number of held messages is near its
// maximum.
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
	listed, c := s.routes[e.Route], s.detachAttempt(m, e.Attempt)
	if listed != nil {
		s.holdBack(listed, e.RetryAfter)
	}
	if c == nil {
		return
	}
	r := c.route
	if r != listed { // the endpoint has left the list since the send, and may have come back
		s.holdBack(r, e.RetryAfter)
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
		res := sample{outcome: o, retryAfter: e.RetryAfter, sent: c.sent, cutShort: short}
		s.recordOutcome(r, res, e.Took)
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

// recordAttempt updates a message with what its attempt may have done.
func (s *Sender) recordAttempt(m *message, e *Event, c *call) {
	switch e.Outcome {
	case ConnectFailed:
		m.failedRoute = c.route
		return
	case Full, NotRun:
		return
	case Timeout, Reset, Cancelled:
		m.timeouts++
		if m.keyQueue != nil {
			m.keyQueue.restUntil = max(m.keyQueue.restUntil, s.now+s.settings.OrderPause)
		}
	}
	m.failedRoute = c.route
	if !m.mayHaveRun || c.sent < m.firstRunAt {
		s.markMayHaveRun(m, c.sent, c.zone)
	}
}

// mayRefuse reports whether a message may be refused, so that its client may submit it again, under the rules
// of its effect.
func (s *Sender) mayRefuse(m *message) bool {
	repeatable := m.class.Effect == Safe || m.class.Effect == Keyed && m.class.GroupAll
	return !m.ended && (repeatable || !m.mayHaveRun && len(m.outstanding) == 0)
}

// mayAttempt is the single guard of all sends. It returns when a send of m to r keeps the rules;
// math.MaxInt64 if never as things stand.
func (s *Sender) mayAttempt(m *message, r *route) time.Duration {
	const never = time.Duration(math.MaxInt64)
	// Rule 1: nothing after the end, the deadline or the last attempt.
	if m.ended || s.now >= m.deadline || s.settings.MaxAttempts > 0 && m.sends >= s.settings.MaxAttempts {
		return never
	}
	// Rule 2: one attempt at a time; repeats only where they are deduplicated.
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
	// Rule 6: the order of the key and its pause.
	at := time.Duration(0)
	if q := m.keyQueue; q != nil {
		if q.messages[0] != m {
			return never
		}
		if m.sends == 0 {
			at = q.restUntil
		}
	}
	// Rule 4: the recovery budget. Rule 5: Retry-After waits.
	return max(at, r.group.waitUntil, s.recoveryOpensAt(r))
}

// Route choice.

// chooseRoute returns the first route in order that takes the message now; otherwise nil and when one may.
func (s *Sender) chooseRoute(m *message) (*route, time.Duration) {
	fallback, soonest := (*route)(nil), time.Duration(math.MaxInt64)
	for _, g := range m.dest.groups {
		var best *route
		for _, r := range g.routes {
			at := s.mayAttempt(m, r)
			if m.deadline-s.now < r.mean {
				continue // not enough time left for an answer
			}
			// An unsafe message is lost with its attempt, so other messages try a skipped route first.
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
			// Routes of one group form one tier: take the one with the fewest calls out, in order.
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

// findNext finds the destination's next message that may go, or when one may.
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

// ranksBefore reports whether message a goes before message b.
func ranksBefore(a, b *message) bool {
	return a.rank < b.rank || a.rank == b.rank && a.id < b.id
}

// dispatch sends the messages that may go, in order of rank and slot cost, while slots are free. It skips
// destinations that nothing has changed since they were found to be blocked.
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

// refuseUnreachable refuses the messages of a destination that opens only after their deadlines. The client
// may submit them through another sender, which may have seen fewer failures.
func (s *Sender) refuseUnreachable(d *dest) {
	for i := len(d.queue) - 1; i >= 0; i-- {
		if m := d.queue[i]; d.opensAt < math.MaxInt64 && d.opensAt >= m.deadline && s.mayRefuseEarly(m) {
			s.refuse(m)
		}
	}
}

// startCall starts a call with the destination's next message and, where its kind allows, with further
// messages for the same route. The call counts once against a limit.
func (s *Sender) startCall(d *dest) {
	r := d.nextRoute
	overdueAt := s.now + s.maxAnswerTime(r, overdueDevs)
	c := &call{route: r, zone: r.Zone, sent: s.now, overdueAt: overdueAt, endsAt: d.next.deadline}
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

// addToCall adds an attempt of m to a call and reports whether mayAttempt allowed it.
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

// maxAnswerTime is how long an answer of a route may take: its mean plus devs mean deviations.
func (s *Sender) maxAnswerTime(r *route, devs int) time.Duration {
	if r.mean == 0 {
		return 2 * minAnswerTime
	}
	return max(minAnswerTime, r.mean+time.Duration(devs)*r.dev)
}

// attemptTimeout is when an attempt times out: as late as the answer times of the route call for, but after
// half of the time left at most. An unsafe message has no second attempt and waits twice as long. A trial of
// a skipped route has the shortest timeout.
func (s *Sender) attemptTimeout(m *message, r *route) time.Duration {
	left := m.deadline - s.now
	usual := max(s.maxAnswerTime(r, timeoutDevs), m.class.Aim/2)
	if m.class.Effect == Keyed && !m.class.GroupAll {
		usual = max(usual, m.class.Aim) // a repeat may use only the routes of one zone
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
	// If half of the time left is too short for an answer, one attempt gets all of it.
	if left/2 >= s.maxAnswerTime(r, overdueDevs) {
		left /= 2
	}
	return s.now + min(left, usual)
}

// Deadlines.

// runTimers gives every message whose time is up its final answer, and demotes those that have missed their
// aim.
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

// demoteLate moves a message back that has missed its aim: messages still in time go first, since they have
// more worth to lose.
func (s *Sender) demoteLate(m *message) {
	queued := m.queued
	s.dequeue(m)
	after := lateDelay * float64(m.deadline-s.now) / math.Max(m.class.Value, 0.01)
	m.rank = max(m.rank, s.now+time.Duration(after))
	if queued {
		s.enqueue(m)
	}
}

// refuse ends a message with a refusal, if the rules of its effect allow one. Its Retry-After covers the
// waits of the destination's groups, up to MaxRetryAfter.
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

// fail ends a message with a failure, which promises nothing about whether it ran.
func (s *Sender) fail(m *message) {
	s.emit(Action{Kind: Fail, ID: m.id})
	s.endMessage(m)
}
