// Package platform is everything that a relay meets besides its clients: destinations with their endpoints, discovery's
// agents, and the taker of final notices. It is written from the platform's protocol alone.
package platform

import (
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"onyxroad.dev/onyxroad/internal/testbed/ledger"
	"onyxroad.dev/onyxroad/internal/testbed/plan"
)

const (
	burstSeconds     = 0.3  // seconds of a plain rate that may come at once
	extraMessageCost = 0.15 // work of each further message in a call, in calls
	drainGrace       = 2 * time.Second
	errorLatency     = 3 * time.Millisecond
)

// partners are the destinations' state. A scope is what shares a limit, a pace and outages: a destination, or one of its
// endpoints where its kind has routes apart.
type partners struct {
	plan   *plan.Plan
	ledger *ledger.Ledger

	mu        sync.Mutex
	rng       *rand.Rand
	offset    time.Duration // of the plan's times
	scopes    []*scope
	endpoints []*endpoint
	tail      plan.Fault // the running "tail" fault, if Size > 0
	tailClass int
}

type scope struct {
	id          int
	partner     int
	kind        int
	fullLimit   float64 // limit in calls a second at full size; 0: none
	limitFactor float64 // of the limit now; 1: as ever
	window      time.Duration
	tokens      float64 // of a plain rate
	refilledAt  time.Duration
	windowStart time.Duration // begin of the running span
	windowCalls float64
	reports     []report
	outage      *ledger.Outage // the last one
	recoveredAt time.Duration  // when it came back; Never: it was never away
	recentCalls []arrival      // since it came back, within the span of a fall
	collapsed   bool
	endpoints   []int
}

type report struct {
	at               time.Duration
	remaining, limit float64
}

type arrival struct {
	at    time.Duration
	relay int
}

// endpoint is one endpoint's state.
type endpoint struct {
	scope       *scope
	coldSince   time.Duration // when it came up cold; Never: it is warm from the start
	busyUntil   time.Duration // when the work that is queued will be done, at its capacity
	slowdown    float64       // times as long as usual
	failureRate float64       // share of the calls that fail at once
	refusing    bool
	hanging     bool
	down        bool
}

func newPartners(p *plan.Plan, led *ledger.Ledger) *partners {
	s := &partners{plan: p, ledger: led, rng: rand.New(rand.NewPCG(p.Seed, 0x706172746e657273)), tailClass: -1}
	kinds := p.Experiment.Partners.Kinds
	for range p.Endpoints {
		s.endpoints = append(s.endpoints, &endpoint{coldSince: ledger.Never, slowdown: 1})
	}
	for i := range p.Partners {
		d := &p.Partners[i]
		k := kinds[d.Kind]
		add := func(members ...int) {
			sc := &scope{id: len(s.scopes), partner: i, kind: d.Kind, fullLimit: d.Limit, limitFactor: 1, recoveredAt: ledger.Never, endpoints: members}
			sc.window = time.Duration(k.Span * float64(time.Second))
			sc.tokens = math.Max(1, d.Limit*burstSeconds)
			s.scopes = append(s.scopes, sc)
			for _, e := range members {
				s.endpoints[e].scope = sc
			}
		}
		if k.Apart {
			for _, e := range d.Endpoints {
				add(e)
			}
		} else {
			add(d.Endpoints...)
		}
		led.Add(ledger.LimitChange{Partner: i, Limit: d.Limit})
	}
	return s
}

// setOffset tells the time from which the plan counts.
func (s *partners) setOffset(offset time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.offset = offset
	for i, e := range s.plan.Endpoints {
		if e.Added > 0 {
			s.endpoints[i].coldSince = offset + e.Added // new machines begin cold
		}
	}
}

// outcome is what an endpoint makes of a call.
type outcome struct {
	status     int
	retryAfter time.Duration // told with a refusal
	latency    time.Duration // until the answer
	ran        bool          // it runs, and was counted
	noAnswer   bool          // no answer is to come
	report     string
	inOutage   bool
}

// warmShare is the part of its capacity that a scope's or an endpoint's machine has at a moment after it came back.
func (s *partners) warmShare(d *plan.Partner, from, now time.Duration) float64 {
	if from == ledger.Never || now >= from+d.Warm {
		return 1
	}
	return d.Cold + (1-d.Cold)*math.Max(0, float64(now-from))/float64(d.Warm)
}

// capacity is what an endpoint does now, in calls a second.
func (s *partners) capacity(i int, now time.Duration) float64 {
	e := s.endpoints[i]
	d := &s.plan.Partners[e.scope.partner]
	share := math.Min(s.warmShare(d, e.coldSince, now), s.warmShare(d, e.scope.recoveredAt, now))
	return s.plan.Endpoints[i].Capacity * share / e.slowdown
}

// decide decides on a decide of so many messages from a relay that has reached an endpoint whole. work is what its messages
// take at a partner of usual pace; class is theirs.
func (s *partners) decide(relay, i int, now time.Duration, work time.Duration, messages, class int) (v outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, at := s.endpoints[i], &s.plan.Endpoints[i]
	sc := e.scope
	d := &s.plan.Partners[sc.partner]
	s.recordArrival(sc, relay, now)
	defer func() {
		if sc.outage != nil && sc.outage.To == ledger.Never {
			v.inOutage = true
			if v.noAnswer || v.status != 200 {
				sc.outage.Witnesses[relay] = true
			}
		}
		v.report = s.loadReport(sc, now)
	}()
	admitted := s.admit(sc, now)
	switch {
	case e.hanging:
		return outcome{noAnswer: true}
	case e.refusing || sc.collapsed:
		return outcome{status: 503, latency: errorLatency, retryAfter: s.retryAfter(d)}
	case at.Drains > 0 && now > s.offset+at.Drains+drainGrace:
		return outcome{status: 503, latency: errorLatency}
	case e.failureRate > 0 && s.rng.Float64() < e.failureRate, s.rng.Float64() < d.Errors:
		return outcome{status: 500, latency: errorLatency}
	case !admitted:
		return outcome{status: 503, latency: errorLatency, retryAfter: s.retryAfter(d)}
	}
	// The endpoint works at its capacity through a queue: a call begins once what was before it leaves room.
	rate := s.capacity(i, now)
	cost := time.Duration((1 + extraMessageCost*float64(messages-1)) / rate * float64(time.Second))
	start := max(e.busyUntil, now)
	if wait := start - now; wait.Seconds() > math.Max(d.Depth, 1.5/rate) {
		return outcome{status: 503, latency: errorLatency, retryAfter: s.retryAfter(d)}
	}
	wait := max(0, start-now-time.Duration(float64(time.Second)/rate)) // the call at work before it holds up nobody
	e.busyUntil = start + cost
	v.status, v.ran = 200, true
	serviceTime := float64(work) * (1 + extraMessageCost*float64(messages-1)) / d.Speed * e.slowdown
	if s.tail.Size > 0 && class == s.tailClass && s.rng.Float64() < s.tail.Size {
		serviceTime *= 20
	}
	v.latency = wait + time.Duration(serviceTime)
	return v
}

// retryAfter is the wait that a destination tells with a refusal.
func (s *partners) retryAfter(d *plan.Partner) time.Duration { return d.TellsWait }

// admit counts a call against its scope's limit and tells whether it lies within.
func (s *partners) admit(sc *scope, now time.Duration) bool {
	limit := sc.fullLimit * sc.limitFactor
	if limit <= 0 {
		return true
	}
	countsRefused := s.plan.Experiment.Partners.Kinds[sc.kind].Counts
	if sc.window > 0 {
		s.refill(sc, now)
		maxCalls := math.Max(1, math.Floor(limit*sc.window.Seconds()))
		if sc.windowCalls >= maxCalls {
			if countsRefused {
				sc.windowCalls++
			}
			return false
		}
		sc.windowCalls++
		return true
	}
	s.refill(sc, now)
	if sc.tokens < 1 {
		return false
	}
	sc.tokens--
	return true
}

func (s *partners) refill(sc *scope, now time.Duration) {
	limit := sc.fullLimit * sc.limitFactor
	if sc.window > 0 {
		if now >= sc.windowStart+sc.window {
			sc.windowStart, sc.windowCalls = now-now%sc.window, 0
		}
		return
	}
	sc.tokens = math.Min(math.Max(1, limit*burstSeconds), sc.tokens+limit*(now-sc.refilledAt).Seconds())
	sc.refilledAt = now
}

// remainingShare is the share of the limit that is remainingShare.
func (s *partners) remainingShare(sc *scope, now time.Duration) float64 {
	s.refill(sc, now)
	limit := sc.fullLimit * sc.limitFactor
	if sc.window > 0 {
		return math.Max(0, 1-sc.windowCalls/math.Max(1, limit*sc.window.Seconds()))
	}
	return sc.tokens / math.Max(1, limit*burstSeconds)
}

// recordArrival counts what reaches a scope that is coming back, and has it fall over where that is too much. It is a budget:
// whatever arrives within a span has to stay under a multiple of what the scope can do then.
func (s *partners) recordArrival(sc *scope, relay int, now time.Duration) {
	if sc.recoveredAt == ledger.Never || sc.collapsed || sc.outage == nil {
		return
	}
	exp, d := s.plan.Experiment.Partners, &s.plan.Partners[sc.partner]
	if now > sc.recoveredAt+d.Warm {
		return
	}
	span := time.Duration(exp.FallSeconds * float64(time.Second))
	sc.recentCalls = append(sc.recentCalls, arrival{now, relay})
	sc.recentCalls = slices.DeleteFunc(sc.recentCalls, func(a arrival) bool { return a.at < now-span })
	capacity := 0.0
	for _, e := range sc.endpoints {
		if at := &s.plan.Endpoints[e]; at.Added <= now-s.offset && (at.Gone == 0 || at.Gone > now-s.offset) {
			capacity += s.capacity(e, now)
		}
	}
	budget := exp.FallFactor * capacity * exp.FallSeconds
	if float64(len(sc.recentCalls)) <= maxCallsForBudget(budget) {
		return
	}
	sc.collapsed = true
	s.ledger.Update(func() {
		o := sc.outage
		o.Collapsed, o.CollapseCalls = now, len(sc.recentCalls)
		for _, a := range sc.recentCalls {
			if o.Witnesses[a.relay] {
				o.WitnessCalls++
			}
		}
	})
}

// maxCallsForBudget is how many calls a budget of so many allows, by the site's terms: what is beyond it by chance breaks no rule.
func maxCallsForBudget(budget float64) float64 {
	const smallBudget = 30 // calls
	deviations := 2.0
	if budget < smallBudget {
		deviations = 3
	}
	return budget + deviations*math.Sqrt(budget) + deviations
}

// beginFault has a trouble strike endpoints; end is its counterpart.
func (s *partners) beginFault(f *plan.Fault, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch f.Kind {
	case "tail":
		s.tail, s.tailClass = *f, int(f.At/time.Millisecond)%len(s.plan.Classes)
		return
	case "limits":
		for _, p := range f.Partners {
			s.setLimitFactor(p, f.Size, now)
		}
		return
	}
	affected := map[*scope]int{}
	for _, i := range f.Endpoints {
		e := s.endpoints[i]
		affected[e.scope]++
		switch f.Kind {
		case "slow":
			e.slowdown = f.Size
		case "errors":
			e.failureRate = f.Size
		case "shut":
			e.refusing = true
		case "down":
			e.down = true
		case "hang":
			e.hanging = true
		}
	}
	if f.Kind == "slow" || f.Kind == "errors" && f.Size < 0.5 {
		return
	}
	for _, sc := range s.scopes { // in their order
		if affected[sc] < len(sc.endpoints) || sc.outage != nil && sc.outage.To == ledger.Never {
			continue
		}
		sc.outage = &ledger.Outage{Scope: sc.id, Partner: sc.partner, From: now, To: ledger.Never, Collapsed: ledger.Never,
			Witnesses: map[int]bool{}}
		s.ledger.Add(sc.outage)
	}
}

func (s *partners) endFault(f *plan.Fault, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch f.Kind {
	case "tail":
		s.tail, s.tailClass = plan.Fault{}, -1
		return
	case "limits":
		for _, p := range f.Partners {
			s.setLimitFactor(p, 1, now)
		}
		return
	}
	for _, i := range f.Endpoints {
		e := s.endpoints[i]
		e.slowdown, e.failureRate, e.refusing, e.down, e.hanging = 1, 0, false, false, false
		if sc := e.scope; sc.outage != nil && sc.outage.To == ledger.Never {
			sc.outage.To, sc.recoveredAt, sc.recentCalls = now, now, nil
		}
	}
}

// setLimitFactor sets what part of its setLimitFactor a destination takes.
func (s *partners) setLimitFactor(partner int, factor float64, now time.Duration) {
	for _, sc := range s.scopes {
		if sc.partner == partner {
			sc.limitFactor = factor
			s.ledger.Add(ledger.LimitChange{Partner: partner, At: now, Limit: sc.fullLimit * factor})
		}
	}
}
